"""Opening a store: repairs every state that a crash can leave and rejects any other, with file and offset.

Which states a crash can leave follows from the order of the engine's steps:

- A segment's name and header are durable before the CLOSE of the segment before it. A segment that is missing after
  a CLOSE, or between two others, was therefore not lost by a crash.
- A record is appended once the one before it is synced: only the newest can be torn. It is the last of the last
  segment or, while that one is still empty, the CLOSE before it.
- Segments are removed after a TRIM that names them is synced, the oldest first, and each removal is durable before
  the next: a crash can bring back one segment older than the newest TRIM, and all later ones still exist.
- `format` gets its name once the first segment, or the result of an upgrade, is durable.
"""

from __future__ import annotations

from collections.abc import Callable

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.clock import StoreClock
from otterquay.store.definitions import (
    IDENTITY_FILE,
    Options,
    Segment,
    StoreCorrupted,
    StoreFailed,
    hint_name,
    segment_name,
)
from otterquay.store.engine import Store
from otterquay.store.files import Files, numbered
from otterquay.store.hints import check_sequence, load_hint
from otterquay.store.index import pack_place
from otterquay.store.initialization import check_identity, initialize

MAX_READ_ATTEMPTS = 8  # attempts to read a store while a writer changes it


async def open_store(
    files: Files,
    log: Logger,
    clock: Callable[[], float],
    options: Options | None = None,
    read_only: bool = False,
    hints: bool = True,
    boot_id: str | None = None,
) -> Store:
    """Open a store, recovering it after a crash, or create it.

    Entries expire by `clock`, which is in seconds and may start at any value. `boot_id` names the boot that it
    counts from (`read_boot_id`). The time since the newest record counts if that is of the same boot; otherwise,
    and with None, it is unknown and taken as none.

    With `read_only` it takes no lock, changes nothing and returns a store without writes; a writer may be active.
    StoreFailed: another process holds the store or, with `read_only`, there is none. StoreCorrupted: the files are
    damaged. OSError.
    """
    if not read_only and not files.lock():
        raise StoreFailed("another process holds the lock of this store")
    try:
        for attempt in range(MAX_READ_ATTEMPTS):
            store = Store(files, log, StoreClock(clock, boot_id), options or Options())
            try:
                if not read_only:
                    await initialize(store)
                elif IDENTITY_FILE not in files.names():
                    raise StoreFailed("folder has no store of this version")
                store.was_incomplete = store.reserve.is_spent()
                await _recover(store, read_only, hints)
                if store.was_incomplete and not read_only:
                    await store.reserve.sync()
                break
            except (StoreCorrupted, FileNotFoundError):  # a writer may roll or remove segments meanwhile
                if not read_only or attempt == MAX_READ_ATTEMPTS - 1:
                    raise
    except BaseException as error:
        if isinstance(error, OSError) and not read_only:  # what the process does without the store is not stored
            store.reserve.spend()
        await files.close()
        raise
    if read_only:
        store.is_repairable = False
        store.failed = "opened read-only"
    return store


async def _recover(store: Store, read_only: bool, hints: bool) -> None:
    files = store.files
    names = files.names()
    check_identity(files)
    numbers = numbered(names, ".seg")
    if not numbers:
        raise StoreCorrupted(segment_name(1), 0, "all segments are missing")
    for expected, number in enumerate(numbers, numbers[0]):
        if number != expected:
            raise StoreCorrupted(segment_name(expected), 0, "segment is missing")
    store.active_segment, last = numbers[0], numbers[-1]
    newest = dict[int, tuple[int, int]]()
    for number in numbers:
        known = hints and number != last and hint_name(number) in names and load_hint(store, number)
        if not known:
            newest[number] = await _replay(store, number, last, read_only)
        store.active_segment = number
    if store.oldest < numbers[0]:
        raise StoreCorrupted(segment_name(store.oldest), 0, "the oldest segment is missing")
    store.index.recount_live_bytes()
    is_time_known = store.clock.resume()
    if not is_time_known:
        store.log.info("store_time_stood", store_time_ms=store.time)
    if not read_only:
        # The process may have ended between a write and its sync, or a sync may have failed and left pages that the
        # kernel takes for clean. Whatever readers see must be durable, so the newest record is rewritten in place.
        for number in numbers[-2:]:
            name = segment_name(number)
            if number in newest:
                start, end = newest[number]
                files.write_at(name, start, files.read(name, start, end - start))
            await files.sync(name)
        await files.sync_folder()
        stale = [number for number in numbers if number < store.oldest]
        if stale:  # hints of earlier versions may be ahead of the log: write the TRIM before segments are removed
            await store.append(fm.TRIM, fm.write_trim(store.oldest))
        for number in stale:
            await store.remove_segment(number)
        if store.clock.is_boot_known and not is_time_known and not stale:
            await _write_timestamp(store)
    store.trimmed_to = store.oldest


async def _write_timestamp(store: Store) -> None:
    """Write a record of this boot, so that time counts from here if the store is opened again within the boot.

    Without it, entries would not age over restarts between which nothing is written.
    """
    try:
        await store.append(fm.TRIM, fm.write_trim(store.oldest))
    except OSError as error:  # as after any other failed write; reading goes on
        store.fail(error)


async def _replay(store: Store, number: int, last: int, read_only: bool) -> tuple[int, int]:
    """Apply all records of a segment, truncating a torn newest one; returns start and end of the last intact one.

    Without any record these are those of the header.
    """
    name, files = segment_name(number), store.files
    data = files.read(name)
    start, valid_end, closed, first = 0, 0, False, 0
    store.key_changes = {}
    store.active_segment = number
    try:
        first = fm.read_header(data, fm.SEGMENT, number)
        check_sequence(store, number, first)
        valid_end = fm.HEADER_SIZE
        for record in fm.records(data, number):
            if closed or record.sequence != store.sequence + (record.kind != fm.CLOSE):
                raise StoreCorrupted(
                    name, record.start, f"record {record.sequence} follows record {store.sequence}"
                )
            closed = record.kind == fm.CLOSE
            _apply(store, number, record)
            store.sequence, start, valid_end = record.sequence, record.start, record.end
            store.clock.replay(record.timestamp)
    except fm.FormatError as error:
        empty_after = number == last - 1 and files.size(segment_name(last)) <= fm.HEADER_SIZE
        torn = number == last or (empty_after and valid_end)
        # a torn header with no CLOSE before it was already repaired with the previous segment, unless read-only
        if valid_end == 0:
            torn = read_only and number == last and len(data) <= fm.HEADER_SIZE and bool(store.segments)
        if not torn or (valid_end and fm.next_record(data, error.offset, number, store.sequence) is not None):
            raise StoreCorrupted(name, error.offset, error.reason) from None
        store.truncated_bytes += len(data) - valid_end
        store.log.warning(
            "store_tail_cut", file=name, offset=valid_end, bytes=len(data) - valid_end, reason=error.reason
        )
        if not read_only:
            files.truncate(name, valid_end)
            await files.sync(name)
    store.segments[number] = Segment(valid_end, first)
    if closed and number == last:
        raise StoreCorrupted(segment_name(number + 1), 0, "the segment after a closed one is missing")
    if not closed and number != last:
        if number != last - 1 or files.size(segment_name(last)) > fm.HEADER_SIZE:
            raise StoreCorrupted(name, valid_end, "segment was not closed, but the next one has records")
        if not read_only:  # crash after the next segment was created and before the CLOSE was synced
            await _complete_segment(store, last)
            await store.append(fm.CLOSE, b"")
            start, valid_end = valid_end, store.segments[number].size
    return start, valid_end


async def _complete_segment(store: Store, number: int) -> None:
    """Make the next segment and its header durable, writing the header if it is missing."""
    name, files = segment_name(number), store.files
    header = fm.write_header(fm.SEGMENT, number, store.sequence + 1)
    found = files.read(name)
    if len(found) < len(header) or found == bytes(len(header)):
        files.truncate(name, 0)
        files.append(name, header)
    await files.sync(name)
    await files.sync_folder()


def _apply(store: Store, number: int, record: fm.Record) -> None:
    if record.kind == fm.TRIM:
        store.oldest = max(store.oldest, fm.read_trim(record))
    elif record.kind == fm.GROUP:
        for entry in fm.entries(record, number):
            location = entry.start << 32 | entry.end - entry.start
            if entry.value is None:
                store.index.remove(entry.table, entry.key)
                store.key_changes.setdefault(entry.table, {})[entry.key] = None
            else:
                store.index.put(entry.table, entry.key, pack_place(number, 0, 0) | location, entry.expires_at)
                store.key_changes.setdefault(entry.table, {})[entry.key] = (location, entry.expires_at)
