"""What the store holds, in memory: for each key of each table the place of its entry. No I/O, no clock.

A place is one number: segment << 64 | offset << 32 | length of the entry. Views see the index as it was when they
were taken: before a key changes, each open view is given the place that it had.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import islice

from sortedcontainers import SortedList

LENGTH_MASK = 0xFFFFFFFF
SCAN_CHUNK_KEYS = 256  # keys taken from an order at a time by a scan


def pack_place(segment: int, offset: int, length: int) -> int:
    """Pack a place."""
    return segment << 64 | offset << 32 | length


def unpack_place(at: int) -> tuple[int, int, int]:
    """Segment, offset and length of a place."""
    return at >> 64, at >> 32 & LENGTH_MASK, at & LENGTH_MASK


class Table:
    """One table: places by key, ends of life of those that have one, and keys in order once asked for."""

    __slots__ = ("expiry_times", "places", "sorted_keys")

    def __init__(self) -> None:
        self.places: dict[bytes, int] = {}
        self.expiry_times: dict[bytes, int] = {}
        self.sorted_keys: SortedList[bytes] | None = None

    def keys_in_order(self) -> SortedList[bytes]:
        """The keys in order, kept so from now on."""
        if self.sorted_keys is None:
            self.sorted_keys = SortedList(self.places)
        return self.sorted_keys


class Undo:
    """What one view must see in place of the index; `now` is store time in ms when it was taken."""

    __slots__ = ("now", "previous", "removed_keys")

    def __init__(self, now: int) -> None:
        self.now = now
        self.previous: dict[
            tuple[str, bytes], tuple[int, int] | None
        ] = {}  # place and end of life, None: no key then
        self.removed_keys: dict[str, SortedList[bytes]] = {}  # keys that left the index since


class Index:
    """All tables, the bytes of entries that count, and open views."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}
        self.live_bytes = 0
        self.open_views: list[Undo] = []
        self._expiry_heap: list[tuple[int, str, bytes]] = []

    def put(self, name: str, key: bytes, at: int, expires_at: int = 0) -> None:
        """A key has this entry now."""
        table = self.tables.get(name)
        if table is None:
            table = self.tables[name] = Table()
        old = table.places.get(key)
        if self.open_views:
            self._save_for_views(name, key, table, old)
        if old is None:
            if table.sorted_keys is not None:
                table.sorted_keys.add(key)
        else:
            self.live_bytes -= old & LENGTH_MASK
        table.places[key] = at
        self.live_bytes += at & LENGTH_MASK
        if expires_at:
            table.expiry_times[key] = expires_at
            heappush(self._expiry_heap, (expires_at, name, key))
        elif table.expiry_times:
            table.expiry_times.pop(key, None)

    def relocate(self, name: str, key: bytes, at: int) -> None:
        """A key's entry was written again elsewhere, the same; the key may have ended meanwhile."""
        if key in self.tables[name].places:
            self.tables[name].places[key] = at

    def remove(self, name: str, key: bytes) -> None:
        """A key is no more."""
        table = self.tables.get(name)
        old = table.places.get(key) if table else None
        if table is None or old is None:
            return
        if self.open_views:
            self._save_for_views(name, key, table, old)
            for undo in self.open_views:
                undo.removed_keys.setdefault(name, SortedList()).add(key)
        del table.places[key]
        table.expiry_times.pop(key, None)
        self.live_bytes -= old & LENGTH_MASK
        if table.sorted_keys is not None:
            table.sorted_keys.remove(key)

    def _save_for_views(self, name: str, key: bytes, table: Table, old: int | None) -> None:
        was = None if old is None else (old, table.expiry_times.get(key, 0))
        for undo in self.open_views:
            undo.previous.setdefault((name, key), was)

    def expire(self, now: int, max_keys: int) -> int:
        """Drop up to `most` keys whose life has ended by `now`, ms of store time; how many went."""
        expired = 0
        while expired < max_keys and self._expiry_heap and self._expiry_heap[0][0] <= now:
            expires_at, name, key = heappop(self._expiry_heap)
            if self.tables[name].expiry_times.get(key) == expires_at:
                self.remove(name, key)
                expired += 1
        return expired

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
        table.places.update(zip(keys, [base | p for p in places], strict=True))
        if table.expiry_times:
            for key in keys:
                table.expiry_times.pop(key, None)
        for i, expires_at in ends:
            table.expiry_times[keys[i]] = expires_at
            heappush(self._expiry_heap, (expires_at, name, keys[i]))
        for key in removed:
            table.places.pop(key, None)
            table.expiry_times.pop(key, None)

    def recount_live_bytes(self) -> None:
        """Count the bytes that are alive anew, after `load`."""
        self.live_bytes = sum(at & LENGTH_MASK for t in self.tables.values() for at in t.places.values())

    def find(self, name: str, key: bytes, now: int, undo: Undo | None = None) -> int | None:
        """The place of a key that is alive at `now`, or at the time of the view; None where there is none."""
        if undo is not None:
            now = undo.now
            if (name, key) in undo.previous:
                was = undo.previous[name, key]
                return None if was is None or 0 < was[1] <= now else was[0]
        table = self.tables.get(name)
        at = table.places.get(key) if table else None
        if table is None or at is None or (table.expiry_times and 0 < table.expiry_times.get(key, 0) <= now):
            return None
        return at

    def keys(self, name: str, first: bytes, before: bytes | None, undo: Undo) -> Iterator[bytes]:
        """Keys in order that the view may hold, from `first` to under `before`; the index may change meanwhile."""
        table = self.tables.get(name)
        order = table.keys_in_order() if table else SortedList[bytes]()
        start, inclusive = first, True
        while True:
            chunk = list(islice(order.irange(start, before, (inclusive, False)), SCAN_CHUNK_KEYS))
            full = len(chunk) == SCAN_CHUNK_KEYS
            gone = undo.removed_keys.get(name)
            if gone:
                end, closed = (chunk[-1], True) if full else (before, False)
                chunk = sorted({*chunk, *gone.irange(start, end, (inclusive, closed))})
            yield from chunk
            if not full:
                return
            start, inclusive = chunk[-1], False
