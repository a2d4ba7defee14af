"""What the store holds, in memory: for each key of each table the place of its entry. No I/O, no clock.

A place is one number: segment << 64 | offset << 32 | length of the entry. Views see the index as it was when they
were taken: before a key changes, each open view is given the place that it had.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import islice

from sortedcontainers import SortedList

LENGTH = 0xFFFFFFFF
CHUNK = 256  # keys taken from an order at a time by a scan


def place(segment: int, offset: int, length: int) -> int:
    """Pack a place."""
    return segment << 64 | offset << 32 | length


def unpack(at: int) -> tuple[int, int, int]:
    """Segment, offset and length of a place."""
    return at >> 64, at >> 32 & LENGTH, at & LENGTH


class Table:
    """One table: places by key, ends of life of those that have one, and keys in order once asked for."""

    __slots__ = ("at", "expiry_times", "order")

    def __init__(self) -> None:
        self.at: dict[bytes, int] = {}
        self.expiry_times: dict[bytes, int] = {}
        self.order: SortedList[bytes] | None = None

    def ordered(self) -> SortedList[bytes]:
        """The keys in order, kept so from now on."""
        if self.order is None:
            self.order = SortedList(self.at)
        return self.order


class Undo:
    """What one view must see in place of the index; `now` is store time in ms when it was taken."""

    __slots__ = ("gone", "now", "was")

    def __init__(self, now: int) -> None:
        self.now = now
        self.was: dict[tuple[str, bytes], tuple[int, int] | None] = {}  # place and end of life, None: no key then
        self.gone: dict[str, SortedList[bytes]] = {}  # keys that left the index since


class Index:
    """All tables, the bytes of entries that count, and open views."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}
        self.live_bytes = 0
        self.undo: list[Undo] = []
        self._due: list[tuple[int, str, bytes]] = []

    def put(self, name: str, key: bytes, at: int, ends: int = 0) -> None:
        """A key has this entry now."""
        table = self.tables.get(name)
        if table is None:
            table = self.tables[name] = Table()
        old = table.at.get(key)
        if self.undo:
            self._remember(name, key, table, old)
        if old is None:
            if table.order is not None:
                table.order.add(key)
        else:
            self.live_bytes -= old & LENGTH
        table.at[key] = at
        self.live_bytes += at & LENGTH
        if ends:
            table.expiry_times[key] = ends
            heappush(self._due, (ends, name, key))
        elif table.expiry_times:
            table.expiry_times.pop(key, None)

    def moved(self, name: str, key: bytes, at: int) -> None:
        """A key's entry was written again elsewhere, the same; the key may have ended meanwhile."""
        if key in self.tables[name].at:
            self.tables[name].at[key] = at

    def drop(self, name: str, key: bytes) -> None:
        """A key is no more."""
        table = self.tables.get(name)
        old = table.at.get(key) if table else None
        if table is None or old is None:
            return
        if self.undo:
            self._remember(name, key, table, old)
            for undo in self.undo:
                undo.gone.setdefault(name, SortedList()).add(key)
        del table.at[key]
        table.expiry_times.pop(key, None)
        self.live_bytes -= old & LENGTH
        if table.order is not None:
            table.order.remove(key)

    def _remember(self, name: str, key: bytes, table: Table, old: int | None) -> None:
        was = None if old is None else (old, table.expiry_times.get(key, 0))
        for undo in self.undo:
            undo.was.setdefault((name, key), was)

    def expire(self, now: int, most: int) -> int:
        """Drop up to `most` keys whose life has ended by `now`, ms of store time; how many went."""
        went = 0
        while went < most and self._due and self._due[0][0] <= now:
            ends, name, key = heappop(self._due)
            if self.tables[name].expiry_times.get(key) == ends:
                self.drop(name, key)
                went += 1
        return went

    def load(
        self,
        name: str,
        segment: int,
        keys: list[bytes],
        places: Iterable[int],
        ends: list[tuple[int, int]],
        removed: list[bytes],
    ) -> None:
        """The last places of many keys in one segment, as a hint has them; `settle` counts what is alive."""
        table = self.tables.setdefault(name, Table())
        base = segment << 64
        table.at.update(zip(keys, [base | p for p in places], strict=True))
        if table.expiry_times:
            for key in keys:
                table.expiry_times.pop(key, None)
        for i, until in ends:
            table.expiry_times[keys[i]] = until
            heappush(self._due, (until, name, keys[i]))
        for key in removed:
            table.at.pop(key, None)
            table.expiry_times.pop(key, None)

    def settle(self) -> None:
        """Count the bytes that are alive anew, after `load`."""
        self.live_bytes = sum(at & LENGTH for t in self.tables.values() for at in t.at.values())

    def find(self, name: str, key: bytes, now: int, undo: Undo | None = None) -> int | None:
        """The place of a key that is alive at `now`, or at the time of the view; None where there is none."""
        if undo is not None:
            now = undo.now
            if (name, key) in undo.was:
                was = undo.was[name, key]
                return None if was is None or 0 < was[1] <= now else was[0]
        table = self.tables.get(name)
        at = table.at.get(key) if table else None
        if table is None or at is None or (table.expiry_times and 0 < table.expiry_times.get(key, 0) <= now):
            return None
        return at

    def keys(self, name: str, first: bytes, before: bytes | None, undo: Undo) -> Iterator[bytes]:
        """Keys in order that the view may hold, from `first` to under `before`; the index may change meanwhile."""
        table = self.tables.get(name)
        order = table.ordered() if table else SortedList[bytes]()
        start, inclusive = first, True
        while True:
            chunk = list(islice(order.irange(start, before, (inclusive, False)), CHUNK))
            full = len(chunk) == CHUNK
            gone = undo.gone.get(name)
            if gone:
                end, closed = (chunk[-1], True) if full else (before, False)
                chunk = sorted({*chunk, *gone.irange(start, end, (inclusive, closed))})
            yield from chunk
            if not full:
                return
            start, inclusive = chunk[-1], False
