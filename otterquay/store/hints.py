"""Hint files: the last place of each key in a closed segment, so that opening need not read the segment itself."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.clock import StoreClock
from otterquay.store.definitions import KeyChanges, Segment, StoreCorrupted, hint_name, segment_name
from otterquay.store.files import Files
from otterquay.store.index import Index

HINT_KEYS = 2048  # keys per listing record; the event loop runs other tasks between records


class HintedStore(Protocol):
    """What hints read of a store and, when it is opened, set in it. The fields are those of `engine.Store`."""

    files: Files
    log: Logger
    index: Index
    segments: dict[int, Segment]
    sequence: int
    oldest: int
    clock: StoreClock
    failed: str | None


async def write_hint(store: HintedStore, number: int, key_changes: KeyChanges, sequence: int, oldest: int) -> None:
    """Write the hint of a closed segment, without sync or rename: opening ignores an incomplete or foreign hint.

    `oldest` comes from a durable TRIM. Opening removes segments that a hint declares obsolete, and a power cut may
    lose the hint but not the TRIM: a hint must never be ahead of the log.
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
                live, removed = list[tuple[bytes, int, int]](), list[bytes]()
                for key in keys[i : i + HINT_KEYS]:
                    last = changed[key]
                    if last is None:
                        removed.append(key)
                    else:
                        live.append((key, *last))
                store.files.append(
                    name,
                    fm.write_record(
                        number,
                        fm.LISTING,
                        sequence,
                        store.clock.timestamp(),
                        fm.write_listing(table, live, removed),
                    ),
                )
                await asyncio.sleep(0)
        closing = fm.write_closing(segment.size, sequence, oldest)
        store.files.append(name, fm.write_record(number, fm.END, sequence, store.clock.timestamp(), closing))
    except OSError as error:  # the store works without the hint
        store.log.warning("hint_not_written", file=name, reason=str(error))


def load_hint(store: HintedStore, number: int) -> bool:
    """Load the places of a segment's hint; False if the hint is incomplete or belongs to another segment.

    StoreCorrupted: the size or sequence of the segment does not match.
    """
    name = hint_name(number)
    listings = list[tuple[fm.Listing, list[int]]]()
    try:
        data = store.files.read(name)
        segment_header = store.files.read(segment_name(number), 0, fm.HEADER_SIZE)
        first = fm.read_header(data, fm.HINT, number)
        if first != fm.read_header(segment_header, fm.SEGMENT, number):
            return False
        closing, record = None, None
        for record in fm.records(data, number):
            if record.kind == fm.END:
                closing = fm.read_closing(record.content)
            elif record.kind == fm.LISTING and closing is None:
                listing, places = fm.read_listing(record.content)
                listings.append((listing, list(places)))
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
            segment_name(number), min(size, closing.size), f"{size} bytes, but it was closed with {closing.size}"
        )
    check_sequence(store, number, first)
    for listing, entry_places in listings:
        store.index.load(listing.table, number, listing.keys, entry_places, listing.ends, listing.removed)
    store.sequence, store.oldest = closing.sequence, max(store.oldest, closing.oldest)
    store.clock.replay(record.timestamp)
    store.segments[number] = Segment(size, first)
    return True


def check_sequence(store: HintedStore, number: int, first: int) -> None:
    """Check that a segment's first record follows the last record so far; StoreCorrupted if not."""
    if store.segments and first != store.sequence + 1:
        raise StoreCorrupted(
            segment_name(number), 0, f"begins with record {first}, but the last one was {store.sequence}"
        )
    if not store.segments:
        store.sequence = first - 1
