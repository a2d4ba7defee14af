"""The agent: joins all decision modules behind one method. Events and actions are in `otterquay.interface`."""

from otterquay import interface as it
from otterquay.policy.bins import BinProcessing
from otterquay.policy.requests import RequestHandling
from otterquay.policy.state import BIN_MS
from otterquay.policy.updates import Updates

# An event that comes this long after a bin was due to close shows an event-loop stall of the agent itself.
STALL_MS = 100.0
# A timer may fire this much early, as clocks are rounded.
MAX_TIMER_EARLY_MS = 1.0


class Agent(Updates, BinProcessing, RequestHandling):
    """Decides for one agent: give it every event in order and carry out the actions that it returns."""

    def handle(self, now: float, event: it.Event) -> list[it.Action]:
        """Return the actions for an event; an event of no use to the decisions is ignored."""
        self.now, self.actions, self.stalled_at = (
            now,
            [],
            now if now > self.next_bin_at + STALL_MS else self.stalled_at,
        )
        getattr(self, f"_{type(event).__name__.lower()}", lambda _: None)(event)
        return self.actions

    def _timerfired(self, _: it.Started | it.TimerFired) -> None:
        # A timer that fired a little early must count: the next one is set only here.
        if self.now >= self.next_bin_at - MAX_TIMER_EARLY_MS:
            # Watch the server list again where the watch failed or was dropped.
            self.actions.extend([it.Watch(True)] * self.watch_needed)
            self.watch_needed = False
            self._close_bin()
            # Bins missed during a stall are not made up for.
            self.next_bin_at = max(self.next_bin_at, self.now - BIN_MS / 2) + BIN_MS
            self.actions.append(it.SetTimer(self.next_bin_at - self.now, 0))

    _started = _timerfired
