"""Hints: where the last places of a closed segment's keys stand, so that opening need not read its values."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from otterquay.store import format as fm
from otterquay.store.definitions import KeyChanges, Segment, StoreCorrupted, hint_name, segment_name

if TYPE_CHECKING:
    from otterquay.store.engine import Store

HINT_KEYS = 2048  # keys in a piece of a hint; between pieces other work of the loop goes on


async def write_hint(store: Store, number: int, key_changes: KeyChanges, sequence: int, oldest: int) -> None:
    """Without sync or rename: a hint that is not whole, or not of its segment, is not taken.

    `oldest` is what a lasting TRIM says. Opening takes segments away on a hint's word, and a hint may be lost by a
    power cut that the TRIM outlives: it must never say more than the log does.
    """
    name, segment = hint_name(number), store.segments.get(number)
    try:
        if segment is None:
            return
        store.files.create(name)
        store.files.append(name, fm.write_header(fm.HINT, number, segment.first))
        for table, changed in key_changes.items():
            keys = list(changed)
            for i in range(0, len(keys), HINT_KEYS):
                if number not in store.segments or store.failed:
                    return
                found, removed = list[tuple[bytes, int, int]](), list[bytes]()
                for key in keys[i : i + HINT_KEYS]:
                    last = changed[key]
                    if last is None:
                        removed.append(key)
                    else:
                        found.append((key, *last))
                store.files.append(
                    name,
                    fm.write_record(
                        number,
                        fm.LISTING,
                        sequence,
                        store.time,
                        max(store.last_clock, 0),
                        fm.write_listing(table, found, removed),
                    ),
                )
                await asyncio.sleep(0)
        closing = fm.write_closing(segment.size, sequence, oldest)
        store.files.append(
            name, fm.write_record(number, fm.END, sequence, store.time, max(store.last_clock, 0), closing)
        )
    except OSError as error:  # the store is as good without it
        store.log.warning("hint_not_written", file=name, reason=str(error))


def load_hint(store: Store, number: int) -> bool:
    """Whether the hint is whole and of this segment; then its places are loaded. Damaged: the segment is not."""
    name = hint_name(number)
    found = list[tuple[fm.Listing, list[int]]]()
    try:
        data = store.files.read(name)
        head = store.files.read(segment_name(number), 0, fm.HEADER_SIZE)
        first = fm.read_header(data, fm.HINT, number)
        if first != fm.read_header(head, fm.SEGMENT, number):
            return False
        closing, record = None, None
        for record in fm.records(data, number):
            if record.kind == fm.END:
                closing = fm.read_closing(record.content)
            elif record.kind == fm.LISTING and closing is None:
                listing, places = fm.read_listing(record.content)
                found.append((listing, list(places)))
            else:
                return False
    except (fm.FormatError, msgspec.MsgspecError, OSError, ValueError) as error:
        store.log.warning("hint_not_taken", file=name, reason=str(error))
        return False
    if closing is None or record is None:
        return False
    size = store.files.size(segment_name(number))
    if closing.size != size:
        raise StoreCorrupted(
            segment_name(number), min(size, closing.size), f"{size} bytes where {closing.size} were closed"
        )
    check_sequence(store, number, first)
    for listing, at in found:
        store.index.load(listing.table, number, listing.keys, at, listing.ends, listing.removed)
    store.sequence, store.oldest = closing.sequence, max(store.oldest, closing.oldest)
    store.time, store.last_clock = max(store.time, record.time), record.clock
    store.segments[number] = Segment(size, first)
    return True


def check_sequence(store: Store, number: int, first: int) -> None:
    """A segment follows on the one before it; Damaged where it does not."""
    if store.segments and first != store.sequence + 1:
        raise StoreCorrupted(segment_name(number), 0, f"begins with record {first} after {store.sequence}")
    if not store.segments:
        store.sequence = first - 1
