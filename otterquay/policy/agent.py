"""All decisions of otterquay, joined; their types, events and actions are in otterquay/interface.py."""

from otterquay import interface as it
from otterquay.policy.bins import Bins
from otterquay.policy.requests import Life
from otterquay.policy.state import BIN_MS
from otterquay.policy.updates import News

STOOD_MS, EARLY_MS = 100.0, 1.0  # this late, it stood still; how early a timer may be


class Agent(News, Bins, Life):  # hand it every event in order, carry out the actions it returns
    def handle(self, now: float, event: it.Event) -> list[it.Action]:  # passes over what is of no use
        self.now, self.out, self.stood = now, [], now if now > self.next_bin_at + STOOD_MS else self.stood
        getattr(self, f"_{type(event).__name__.lower()}", lambda _: None)(event)
        return self.out

    def _timerfired(self, _: it.Started | it.TimerFired) -> None:
        if self.now >= self.next_bin_at - EARLY_MS:  # clocks round; one that did not count would be the last
            self.out.extend([it.Watch(True)] * self.unwatched)  # again where it failed or was dropped
            self.unwatched = False
            self._close_bin()
            self.next_bin_at = max(self.next_bin_at, self.now - BIN_MS / 2) + BIN_MS  # none for time we stood still
            self.out.append(it.SetTimer(self.next_bin_at - self.now, 0))

    _started = _timerfired
