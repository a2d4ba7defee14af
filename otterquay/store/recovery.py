"""Opening a store: what a crash may have left is put in order, and anything else is refused with file and offset.

Which states a crash can leave follows from the order of the engine's steps:

- A segment's name and head last before the CLOSE that ends the one before, so a segment missing after a CLOSE, or
  between two others, was lost otherwise.
- A record is appended once the one before it is synced: only the newest can be torn. It is the last of the last
  segment or, while that one is still empty, the CLOSE before it.
- A segment goes once a TRIM that says so is synced, the oldest first, and its going lasts before the next one's:
  what may come back is one segment older than the newest TRIM, and all later ones are there still.
- `format` gets its name once the first segment, or what an upgrade wrote, lasts.
"""

from __future__ import annotations

from collections.abc import Callable

from otterquay.logs import Logger
from otterquay.store import format as fm
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

MAX_READ_ATTEMPTS = 8  # times that reading beside a writer begins anew


async def open_store(
    files: Files,
    log: Logger,
    clock: Callable[[], float],
    options: Options | None = None,
    read_only: bool = False,
    hints: bool = True,
) -> Store:
    """Recover what is there, or begin. `clock` is in seconds and may start anywhere; it ends lives of entries.

    `look` takes no lock, changes nothing and yields a store that takes no writes; a writer may be at work.
    StoreFailed: another process has it, or, to look, there is none. Damaged: it cannot be trusted. OSError.
    """
    if not read_only and not files.lock():
        raise StoreFailed("another process has this store open")
    try:
        for attempt in range(MAX_READ_ATTEMPTS):
            store = Store(files, log, clock, options or Options())
            try:
                if not read_only:
                    await initialize(store)
                elif IDENTITY_FILE not in files.names():
                    raise StoreFailed("no store of this version is here")
                await _recover(store, read_only, hints)
                break
            except (StoreCorrupted, FileNotFoundError):  # a writer rolls or removes segments while they are read
                if not read_only or attempt == MAX_READ_ATTEMPTS - 1:
                    raise
    except BaseException:
        await files.close()
        raise
    if read_only:
        store.failed = "opened to look in"
    return store


async def _recover(store: Store, read_only: bool, hints: bool) -> None:
    files = store.files
    names = files.names()
    check_identity(files)
    numbers = numbered(names, ".seg")
    if not numbers:
        raise StoreCorrupted(segment_name(1), 0, "all segments are gone")
    for expected, number in enumerate(numbers, numbers[0]):
        if number != expected:
            raise StoreCorrupted(segment_name(expected), 0, "a segment is gone")
    store.active_segment, last = numbers[0], numbers[-1]
    newest = dict[int, tuple[int, int]]()
    for number in numbers:
        known = hints and number != last and hint_name(number) in names and load_hint(store, number)
        if not known:
            newest[number] = await _replay(store, number, last, read_only)
        store.active_segment = number
    if store.oldest < numbers[0]:
        raise StoreCorrupted(segment_name(store.oldest), 0, "the oldest segment is gone")
    store.index.recount_live_bytes()
    store.now()
    if not read_only:
        # a process may have ended between writing and syncing, or a sync may have failed and left pages that only
        # look clean: what is shown from now on must last, so the newest record is written again over itself
        for number in numbers[-2:]:
            name = segment_name(number)
            if number in newest:
                start, end = newest[number]
                files.write_at(name, start, files.read(name, start, end - start))
            await files.sync(name)
        await files.sync_folder()
        stale = [number for number in numbers if number < store.oldest]
        if stale:  # a hint may have said so that an earlier version wrote ahead of its TRIM: the log says it first
            await store.append(fm.TRIM, fm.write_trim(store.oldest))
        for number in stale:
            await store.remove_segment(number)
    store.trimmed_to = store.oldest


async def _replay(store: Store, number: int, last: int, read_only: bool) -> tuple[int, int]:
    """Read a segment whole; the newest record may be torn, and is cut. Where its last record, or head, stands."""
    name, files = segment_name(number), store.files
    data = files.read(name)
    start, good, closed, first = 0, 0, False, 0
    store.key_changes = {}
    store.active_segment = number
    try:
        first = fm.read_header(data, fm.SEGMENT, number)
        check_sequence(store, number, first)
        good = fm.HEADER_SIZE
        for record in fm.records(data, number):
            if closed or record.sequence != store.sequence + (record.kind != fm.CLOSE):
                raise StoreCorrupted(name, record.start, f"record {record.sequence} after {store.sequence}")
            closed = record.kind == fm.CLOSE
            _apply(store, number, record)
            store.sequence, start, good = record.sequence, record.start, record.end
            store.time, store.last_clock = max(store.time, record.time), record.clock
    except fm.FormatError as error:
        empty_after = number == last - 1 and files.size(segment_name(last)) <= fm.HEADER_SIZE
        torn = number == last or (empty_after and good)
        if good == 0:  # a head that no CLOSE vouches for was mended with the segment before it, unless one may not
            torn = read_only and number == last and len(data) <= fm.HEADER_SIZE and bool(store.segments)
        if not torn or (good and fm.next_record(data, error.offset, number, store.sequence) is not None):
            raise StoreCorrupted(name, error.offset, error.reason) from None
        store.truncated_bytes += len(data) - good
        store.log.warning("store_tail_cut", file=name, offset=good, bytes=len(data) - good, reason=error.reason)
        if not read_only:
            files.truncate(name, good)
            await files.sync(name)
    store.segments[number] = Segment(good, first)
    if closed and number == last:
        raise StoreCorrupted(segment_name(number + 1), 0, "the segment after a closed one is gone")
    if not closed and number != last:
        if number != last - 1 or files.size(segment_name(last)) > fm.HEADER_SIZE:
            raise StoreCorrupted(name, good, "the segment was not closed and the next one is in use")
        if not read_only:  # a crash came between the next segment and the CLOSE, or before the next one lasted
            await _begin_segment(store, last)
            await store.append(fm.CLOSE, b"")
            start, good = good, store.segments[number].size
    return start, good


async def _begin_segment(store: Store, number: int) -> None:
    """The next segment is there with its head, and lasts."""
    name, files = segment_name(number), store.files
    head = fm.write_header(fm.SEGMENT, number, store.sequence + 1)
    found = files.read(name)
    if len(found) < len(head) or found == bytes(len(head)):
        files.truncate(name, 0)
        files.append(name, head)
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
