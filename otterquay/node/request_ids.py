"""The ids of requests that may not come again: those of open requests, and of ended ones that may have run.

A client that has left may send its request once more. One with an effect that may have run must not run again, so
its id is remembered for as long as an attempt may run or be repeated. Times are seconds on the event loop's clock.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b

from otterquay import interface as it

MAX_REMEMBERED_IDS = 131072
DIGEST_BYTES = 16


def remember_for_s(cls: it.RequestClass) -> float:
    """How long the id of a request that may have run is remembered, from its end; 0 if it may run again."""
    if cls.effect is it.Effect.SAFE:
        return 0.0
    return (cls.deadline_ms + cls.repeat_window_ms) / 1e3


class RequestIds:
    """Open ids, and remembered ones; its length is the number of open ones."""

    def __init__(self, max_remembered: int = MAX_REMEMBERED_IDS) -> None:
        self._max_remembered = max_remembered
        self._open: set[bytes] = set()
        self._remembered: set[bytes] = set()  # digests, as an id may have 128 bytes
        self._expiries: list[tuple[float, bytes]] = []  # a heap of the remembered ones

    def __len__(self) -> int:
        return len(self._open)

    def is_open(self, id: bytes) -> bool:
        """Whether a request of this id has no end yet."""
        return id in self._open

    def may_have_run(self, id: bytes, now: float) -> bool:
        """Whether a request of this id has ended and may have run."""
        self._expire(now)
        return bool(self._remembered) and self._digest(id) in self._remembered

    def is_full(self, now: float) -> bool:
        """Whether no further request may be taken whose id would have to be remembered."""
        self._expire(now)
        return len(self._remembered) + len(self._open) >= self._max_remembered

    def open(self, id: bytes) -> None:
        """A request of this id begins."""
        self._open.add(id)

    def end(self, id: bytes, remembered_until: float = 0.0) -> None:
        """The request of this id has ended; it is free at once, or remembered until then."""
        if id not in self._open:
            return
        self._open.discard(id)
        if remembered_until > 0.0:
            digest = self._digest(id)
            self._remembered.add(digest)
            heapq.heappush(self._expiries, (remembered_until, digest))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            self._remembered.discard(heapq.heappop(self._expiries)[1])

    @staticmethod
    def _digest(id: bytes) -> bytes:
        return blake2b(id, digest_size=DIGEST_BYTES).digest()
