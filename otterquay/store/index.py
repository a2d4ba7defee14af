"""The in-memory index: the place of the current entry of each key of each table. No I/O, no clock.

A place is one integer: segment << 64 | offset << 32 | length of the entry. Views see the index as it was when they
were opened: before a key changes, its old place is saved in the undo log of each open view.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from itertools import islice

from sortedcontainers import SortedList

LENGTH_MASK = 0xFFFFFFFF
SCAN_CHUNK_KEYS = 256  # keys that a scan reads from the sorted list at a time


def pack_place(segment: int, offset: int, length: int) -> int:
    """Encode a place as one integer."""
    return segment << 64 | offset << 32 | length


def unpack_place(place: int) -> tuple[int, int, int]:
    """Decode a place into segment, offset and length."""
    return place >> 64, place >> 32 & LENGTH_MASK, place & LENGTH_MASK


class Table:
    """One table: places and expiry times by key, and the sorted keys once they have been requested."""

    __slots__ = ("expiry_times", "places", "sorted_keys")

    def __init__(self) -> None:
        self.places: dict[bytes, int] = {}
        self.expiry_times: dict[bytes, int] = {}
        self.sorted_keys: SortedList[bytes] | None = None

    def keys_in_order(self) -> SortedList[bytes]:
        """The sorted keys; maintained from the first call on."""
        if self.sorted_keys is None:
            self.sorted_keys = SortedList(self.places)
        return self.sorted_keys


class Undo:
    """The undo log of one view: old places of keys changed since it was opened at `now`, store time in ms."""

    __slots__ = ("now", "previous", "removed_keys")

    def __init__(self, now: int) -> None:
        self.now = now
        # by table and key: place and expiry, or None for a key that did not exist
        self.previous: dict[tuple[str, bytes], tuple[int, int] | None] = {}
        self.removed_keys: dict[str, SortedList[bytes]] = {}  # by table: keys removed from the index since


class Index:
    """All tables, the number of live bytes and the undo logs of open views."""

    def __init__(self) -> None:
        self.tables: dict[str, Table] = {}
        self.live_bytes = 0
        self.open_views: list[Undo] = []
        self._expiry_heap: list[tuple[int, str, bytes]] = []

    def put(self, name: str, key: bytes, place: int, expires_at: int = 0) -> None:
        """Set the current entry of a key."""
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
        table.places[key] = place
        self.live_bytes += place & LENGTH_MASK
        if expires_at:
            table.expiry_times[key] = expires_at
            heappush(self._expiry_heap, (expires_at, name, key))
        elif table.expiry_times:
            table.expiry_times.pop(key, None)

    def relocate(self, name: str, key: bytes, place: int) -> None:
        """Update the place of an entry that compaction rewrote, unless the key has expired meanwhile."""
        if key in self.tables[name].places:
            self.tables[name].places[key] = place

    def remove(self, name: str, key: bytes) -> None:
        """Remove a key."""
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
        old_entry = None if old is None else (old, table.expiry_times.get(key, 0))
        for undo in self.open_views:
            undo.previous.setdefault((name, key), old_entry)

    def expire(self, now: int, max_keys: int) -> int:
        """Remove up to `max_keys` keys that have expired by `now`, store time in ms; returns how many."""
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
        expiries: list[tuple[int, int]],
        removed: list[bytes],
    ) -> None:
        """Load the places from a segment's hint; call `recount_live_bytes` after the last one."""
        table = self.tables.setdefault(name, Table())
        base = segment << 64
        table.places.update(zip(keys, [base | p for p in places], strict=True))
        if table.expiry_times:
            for key in keys:
                table.expiry_times.pop(key, None)
        for i, expires_at in expiries:
            table.expiry_times[keys[i]] = expires_at
            heappush(self._expiry_heap, (expires_at, name, keys[i]))
        for key in removed:
            table.places.pop(key, None)
            table.expiry_times.pop(key, None)

    def recount_live_bytes(self) -> None:
        """Recount the live bytes, after `load`."""
        self.live_bytes = sum(place & LENGTH_MASK for t in self.tables.values() for place in t.places.values())

    def find(self, name: str, key: bytes, now: int, undo: Undo | None = None) -> int | None:
        """The place of a key that is live at `now`, or in the view of `undo`; None if there is none."""
        if undo is not None:
            now = undo.now
            if (name, key) in undo.previous:
                old_entry = undo.previous[name, key]
                return None if old_entry is None or 0 < old_entry[1] <= now else old_entry[0]
        table = self.tables.get(name)
        place = table.places.get(key) if table else None
        if table is None or place is None or (table.expiry_times and 0 < table.expiry_times.get(key, 0) <= now):
            return None
        return place

    def keys(self, name: str, first: bytes, before: bytes | None, undo: Undo) -> Iterator[bytes]:
        """Sorted keys, from `first` up to but without `before`, that the view may hold.

        The index may change during the iteration.
        """
        table = self.tables.get(name)
        sorted_keys = table.keys_in_order() if table else SortedList[bytes]()
        start, inclusive = first, True
        while True:
            chunk = list(islice(sorted_keys.irange(start, before, (inclusive, False)), SCAN_CHUNK_KEYS))
            full = len(chunk) == SCAN_CHUNK_KEYS
            removed = undo.removed_keys.get(name)
            if removed:
                end, closed = (chunk[-1], True) if full else (before, False)
                chunk = sorted({*chunk, *removed.irange(start, end, (inclusive, closed))})
            yield from chunk
            if not full:
                return
            start, inclusive = chunk[-1], False
