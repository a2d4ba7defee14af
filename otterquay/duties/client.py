"""An agent's client of the group: sends one proposal at a time, retried under the same number until answered."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.messages import Done, Elsewhere, Propose

MAX_QUEUED = 256
ResultCallback = Callable[[float, cm.Result, Effects], None]


@dataclass(slots=True)
class Client:
    """Queues proposals and sends them to the leader.

    `incarnation` increases with every start of the agent, which tells its proposals from those of earlier starts.
    """

    me: int
    incarnation: int
    members: Sequence[int]
    retry_s: float = 0.5
    target_index: int = 0  # index into `members` of the member to send to
    number: int = 0
    queue: deque[tuple[cm.Command, ResultCallback]] = field(default_factory=deque)
    in_flight: cm.Proposal | None = None
    sent_at: float = -1e9
    first_sent_at: float = 0.0  # when the proposal in flight was first sent

    def propose(self, now: float, command: cm.Command, on_result: ResultCallback, out: Effects) -> bool:
        """Queues a command; False if the queue is full. `on_result` is never called before this returns."""
        if len(self.queue) >= MAX_QUEUED:
            return False
        self.queue.append((command, on_result))
        self.tick(now, out)
        return True

    def tick(self, now: float, out: Effects) -> None:
        """Sends the next proposal, or retries the one in flight with another member."""
        if self.in_flight is None:
            if not self.queue:
                return
            self.number += 1
            self.in_flight = cm.Proposal(self.me, self.incarnation, self.number, self.queue[0][0])
            self.first_sent_at = now
        elif now - self.sent_at < self.retry_s:
            return
        else:
            self.target_index = (self.target_index + 1) % len(self.members)
        self._send(now, out)

    def _send(self, now: float, out: Effects) -> None:
        assert self.in_flight is not None
        self.sent_at = now
        out.send(self.members[self.target_index], Propose(self.in_flight))

    def handle_elsewhere(self, now: float, m: Elsewhere, out: Effects) -> None:
        """Handles a redirect: the member asked is not the leader."""
        if self.in_flight is None or (m.incarnation, m.number) != (self.incarnation, self.in_flight.number):
            return
        if m.leader in self.members:
            leader = self.members.index(m.leader)
            if leader != self.target_index:
                self.target_index = leader
                self._send(now, out)

    def handle_done(self, now: float, sender: int, m: Done, out: Effects) -> None:
        """Handles an answer; ignores one to an earlier proposal or incarnation."""
        if self.in_flight is None or (m.incarnation, m.number) != (self.incarnation, self.in_flight.number):
            return
        if sender in self.members:
            self.target_index = self.members.index(sender)
        self.in_flight = None
        _, on_result = self.queue.popleft()
        on_result(now, m.result, out)
        self.tick(now, out)

    def clear(self) -> None:
        """Drops all queued commands; the proposal in flight may still take effect."""
        self.queue.clear()
        self.in_flight = None
