"""All decisions of otterquay, joined; their types, events and actions are in otterquay/interface.py."""

from otterquay import interface as it
from otterquay.policy.bins import BinProcessing
from otterquay.policy.requests import RequestHandling
from otterquay.policy.state import BIN_MS
from otterquay.policy.updates import Updates

STALL_MS, MAX_TIMER_EARLY_MS = 100.0, 1.0  # this late, it stood still; how early a timer may be


class Agent(
    Updates, BinProcessing, RequestHandling
):  # hand it every event in order, carry out the actions it returns
    def handle(self, now: float, event: it.Event) -> list[it.Action]:  # passes over what is of no use
        self.now, self.actions, self.stalled_at = (
            now,
            [],
            now if now > self.next_bin_at + STALL_MS else self.stalled_at,
        )
        getattr(self, f"_{type(event).__name__.lower()}", lambda _: None)(event)
        return self.actions

    def _timerfired(self, _: it.Started | it.TimerFired) -> None:
        if (
            self.now >= self.next_bin_at - MAX_TIMER_EARLY_MS
        ):  # clocks round; one that did not count would be the last
            self.actions.extend([it.Watch(True)] * self.watch_needed)  # again where it failed or was dropped
            self.watch_needed = False
            self._close_bin()
            self.next_bin_at = max(self.next_bin_at, self.now - BIN_MS / 2) + BIN_MS  # none for time we stood still
            self.actions.append(it.SetTimer(self.next_bin_at - self.now, 0))

    _started = _timerfired
