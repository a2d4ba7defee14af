"""Bounds the memory that client input takes, over all connections of an agent.

Input is held from its arrival until its request has ended, with its last attempt. Once all connections together
hold `resume_below` bytes, no more is read from those that hold more than their share, so that the flow control of
the transport holds the rest back at the clients. Input that has waited for MAX_WAIT_S is read all the same, as its
client's time runs: a request for which there is no room then is refused. Sizes are bytes of memory, not as sent.
"""

from __future__ import annotations

from typing import Protocol

from otterquay.ordered_set import OrderedSet

MAX_READ_BYTES = 65536  # in one read
MIN_READ_BYTES = 4096
EXPECTED_READ_BYTES = 8192  # by a connection that reads on, before the budget is asked again
MIN_SHARE_BYTES = 8192
RESUME_SHARE = 0.75  # of the limit
CEILING_SHARE = 1.25  # of the limit: beyond it one connection at a time reads more than its share, to its end
MAX_WAIT_S = 0.25  # for unread input
REQUEST_BYTES = 2500  # what an open request takes beside its content
COPIES = 2  # of a request's content: as it came, and as it was encoded for the appliance


def request_size(content_bytes: int) -> int:
    """The memory that an open request with this content takes."""
    return REQUEST_BYTES + COPIES * content_bytes


class InputReader(Protocol):
    """A connection whose input is held back. `waiting_since` and `unread_since` are None while it is not."""

    waiting_since: float | None
    unread_since: float | None  # when it began to wait, until what lay unread meanwhile has been read

    @property
    def held_bytes(self) -> int:
        """The memory that its input takes."""

    def has_unread_input(self) -> bool:
        """Whether input of it lies unread."""

    def read_on(self) -> None:
        """Read again."""

    def __hash__(self) -> int: ...


class InputBudget:
    """The memory held, and the connections that wait for room. Times are seconds on the event loop's clock."""

    def __init__(self, limit_bytes: int, max_connections: int) -> None:
        self.limit = limit_bytes
        self.resume_below = int(limit_bytes * RESUME_SHARE)
        self.share = max(limit_bytes // (2 * max_connections), MIN_SHARE_BYTES)  # of one connection
        self.held = 0
        self._waiting: OrderedSet[InputReader] = OrderedSet()
        self._favoured: InputReader | None = None  # reads beyond the limit, so that one request always comes whole

    def charge(self, size: int) -> None:
        """Count memory as held, or as released if `size` is below 0."""
        self.held += size
        if size < 0:
            self._resume()

    @property
    def is_crowded(self) -> bool:
        """Whether connections wait for room."""
        return bool(self._waiting)

    def has_room(self, reader: InputReader) -> bool:
        """Whether a connection may read."""
        if self.held < self.resume_below or reader.held_bytes < self.share or reader is self._favoured:
            return True
        return reader.unread_since is not None and self.held < self.limit

    def read_size(self, reader: InputReader) -> int:
        """How much a connection may read at once."""
        room = max(self.resume_below - self.held, self.share - reader.held_bytes, MIN_READ_BYTES)
        return min(room, MAX_READ_BYTES)

    def may_take(self, size: int, reader: InputReader | None = None) -> bool:
        """Whether a request of this size may be taken, from a connection if it came on one of these."""
        if self.held + size <= self.limit:
            return True
        if reader is None:
            return False
        own = reader.held_bytes
        return own + size <= self.share or (reader is self._favoured and own < self.share)

    def wait(self, reader: InputReader) -> None:
        """Let a connection read on as soon as there is room; the one that has waited longest goes first."""
        self._waiting.add(reader)

    def forget(self, reader: InputReader) -> None:
        """A connection has ended."""
        self._waiting.discard(reader)
        if self._favoured is reader:
            self._favoured = None

    def resume_overdue(self, now: float) -> None:
        """Let those read on whose input has waited too long; beyond the limit, one at a time."""
        if (favoured := self._favoured) and not self._needs_favour(favoured):
            self._favoured = None
        expected = self.held
        for reader in list(self._waiting):
            if reader.waiting_since is None or now - reader.waiting_since < MAX_WAIT_S:
                return
            if not reader.has_unread_input():
                continue  # it may be ended for that, and is in nobody's way
            if expected >= self.limit:
                if self._favoured:
                    return
                self._favoured = reader
            self.stop_waiting(reader)
            expected += EXPECTED_READ_BYTES

    def _needs_favour(self, reader: InputReader) -> bool:
        if reader.held_bytes < self.share:
            return False
        return reader.has_unread_input() or self.held >= self.limit * CEILING_SHARE

    def _resume(self) -> None:
        expected = self.held
        while self._waiting and expected < self.resume_below:
            self.stop_waiting(next(iter(self._waiting)))
            expected += EXPECTED_READ_BYTES

    def stop_waiting(self, reader: InputReader) -> None:
        """Let a connection read on."""
        self._waiting.discard(reader)
        reader.read_on()
