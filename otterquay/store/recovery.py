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
from dataclasses import dataclass, field

import msgspec

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store import format1
from otterquay.store.engine import (
    GROUP_MOST,
    IDENTITY,
    PART,
    Damaged,
    Options,
    Segment,
    Store,
    StoreFailed,
    hint_name,
    new_segment,
    segment_name,
)
from otterquay.store.files import Files, numbered
from otterquay.store.index import place

LOOKS = 8  # times that reading beside a writer begins anew


async def open_store(
    files: Files, log: Logger, clock: Callable[[], float], options: Options | None = None, look: bool = False,
    hints: bool = True,
) -> Store:
    """Recover what is there, or begin. `clock` is in seconds and may start anywhere; it ends lives of entries.

    `look` takes no lock, changes nothing and yields a store that takes no writes; a writer may be at work.
    StoreFailed: another process has it, or, to look, there is none. Damaged: it cannot be trusted. OSError.
    """
    if not look and not files.lock():
        raise StoreFailed("another process has this store open")
    try:
        for attempt in range(LOOKS):
            store = Store(files, log, clock, options or Options())
            try:
                if not look:
                    await _complete(store)
                elif IDENTITY not in files.names():
                    raise StoreFailed("no store of this version is here")
                await _recover(store, look, hints)
                break
            except (Damaged, FileNotFoundError):  # a writer rolls or removes segments while they are read
                if not look or attempt == LOOKS - 1:
                    raise
    except BaseException:
        await files.close()
        raise
    if look:
        store.failed = "opened to look in"
    return store


async def _complete(store: Store) -> None:
    """Begin a store, finish a beginning or an upgrade that a crash cut off, and upgrade."""
    files = store.files
    names = files.names()
    for name in names:
        if name.endswith(PART):
            files.remove(name)
    segments = numbered(names, ".seg")
    if IDENTITY in names:
        _identity(files)
        if format1.present(names):  # an upgrade had lasted, and they had not all gone
            await _remove_old(files, names)
        return
    old = format1.present(names)
    if not old and segments and (segments != [1] or files.size(segment_name(1)) > fm.HEAD_SIZE):
        raise Damaged(IDENTITY, 0, "the file that says what this folder is, is gone")
    for number in segments:
        files.remove(segment_name(number))
    if segments:
        await files.sync_folder()
    if old:
        await _upgrade(store, names)
    else:
        await new_segment(files, 1, 1)
    part = IDENTITY + PART
    files.create(part)
    files.append(part, fm.write_head(fm.IDENTITY, 0, 0))
    await files.sync(part)
    files.rename(part, IDENTITY)
    await files.sync_folder()
    if old:
        await _remove_old(files, names)


def _identity(files: Files) -> None:
    try:
        fm.read_head(files.read(IDENTITY), fm.IDENTITY, 0)
    except fm.Bad as bad:
        raise Damaged(IDENTITY, bad.offset, bad.reason) from None


async def _upgrade(store: Store, names: list[str]) -> None:
    """Version 1: all that it holds goes into the first segment."""
    files, name = store.files, segment_name(1)
    try:
        held = format1.amounts(names, files.read)
    except format1.Bad as bad:
        where, _, reason = bad.reason.partition(": ")
        raise Damaged(where, bad.offset, f"version 1: {reason}") from None
    files.create(name)
    files.append(name, fm.write_head(fm.SEGMENT, 1, 1))
    content: list[bytes] = []
    size = sequence = 0
    items = list(held.items())
    for i, ((table, key), value) in enumerate(items):
        content.append(fm.write_entry(1, table.encode(), key, value))
        size += len(content[-1])
        if size >= GROUP_MOST or i == len(items) - 1:
            sequence += 1
            files.append(name, fm.write_record(1, fm.GROUP, sequence, 0, 0, b"".join(content)))
            content, size = [], 0
    await files.sync(name)
    await files.sync_folder()
    store.log.warning("store_upgraded", version=fm.VERSION, keys=len(held))


async def _remove_old(files: Files, names: list[str]) -> None:
    for name in names:
        if name.endswith((".log", ".base")):
            files.remove(name)
    await files.sync_folder()


async def _recover(store: Store, look: bool, hints: bool) -> None:
    files = store.files
    names = files.names()
    _identity(files)
    numbers = numbered(names, ".seg")
    if not numbers:
        raise Damaged(segment_name(1), 0, "all segments are gone")
    for expected, number in enumerate(numbers, numbers[0]):
        if number != expected:
            raise Damaged(segment_name(expected), 0, "a segment is gone")
    store.number, last = numbers[0], numbers[-1]
    newest = dict[int, tuple[int, int]]()
    for number in numbers:
        known = hints and number != last and hint_name(number) in names and _load_hint(store, number)
        if not known:
            newest[number] = await _replay(store, number, last, look)
        store.number = number
    if store.oldest < numbers[0]:
        raise Damaged(segment_name(store.oldest), 0, "the oldest segment is gone")
    store.index.settle()
    store.now()
    if not look:
        # a process may have ended between writing and syncing, or a sync may have failed and left pages that only
        # look clean: what is shown from now on must last, so the newest record is written again over itself
        for number in numbers[-2:]:
            name = segment_name(number)
            if number in newest:
                start, end = newest[number]
                files.write_at(name, start, files.read(name, start, end - start))
            await files.sync(name)
        await files.sync_folder()
        for number in numbers:
            if number < store.oldest:
                await store.remove_segment(number)


def _load_hint(store: Store, number: int) -> bool:
    """Whether the hint is whole and of this segment; then its places are loaded. Damaged: the segment is not."""
    name = hint_name(number)
    found = list[tuple[fm.Listing, list[int]]]()
    try:
        data = store.files.read(name)
        head = store.files.read(segment_name(number), 0, fm.HEAD_SIZE)
        first = fm.read_head(data, fm.HINT, number)
        if first != fm.read_head(head, fm.SEGMENT, number):
            return False
        closing, record = None, None
        for record in fm.records(data, number):
            if record.kind == fm.END:
                closing = fm.read_closing(record.content)
            elif record.kind == fm.LISTED and closing is None:
                listing, places = fm.read_listing(record.content)
                found.append((listing, list(places)))
            else:
                return False
    except (fm.Bad, msgspec.MsgspecError, OSError, ValueError) as error:
        store.log.warning("hint_not_taken", file=name, reason=str(error))
        return False
    if closing is None or record is None:
        return False
    size = store.files.size(segment_name(number))
    if closing.size != size:
        raise Damaged(segment_name(number), min(size, closing.size),
                      f"{size} bytes where {closing.size} were closed")
    _begins(store, number, first)
    for listing, at in found:
        store.index.load(listing.table, number, listing.keys, at, listing.ends, listing.removed)
    store.sequence, store.oldest = closing.sequence, max(store.oldest, closing.oldest)
    store.time, store.clock_at = max(store.time, record.time), record.clock
    store.segments[number] = Segment(size, first)
    return True


def _begins(store: Store, number: int, first: int) -> None:
    if store.segments and first != store.sequence + 1:
        raise Damaged(segment_name(number), 0, f"begins with record {first} after {store.sequence}")
    if not store.segments:
        store.sequence = first - 1


async def _replay(store: Store, number: int, last: int, look: bool) -> tuple[int, int]:
    """Read a segment whole; the newest record may be torn, and is cut. Where its last record, or head, stands."""
    name, files = segment_name(number), store.files
    data = files.read(name)
    start, good, closed, first = 0, 0, False, 0
    store.ops = {}
    store.number = number
    try:
        first = fm.read_head(data, fm.SEGMENT, number)
        _begins(store, number, first)
        good = fm.HEAD_SIZE
        for record in fm.records(data, number):
            if closed or record.sequence != store.sequence + (record.kind != fm.CLOSE):
                raise Damaged(name, record.start, f"record {record.sequence} after {store.sequence}")
            closed = record.kind == fm.CLOSE
            _apply(store, number, record)
            store.sequence, start, good = record.sequence, record.start, record.end
            store.time, store.clock_at = max(store.time, record.time), record.clock
    except fm.Bad as bad:
        empty_after = number == last - 1 and files.size(segment_name(last)) <= fm.HEAD_SIZE
        torn = number == last or (empty_after and good)
        if good == 0:  # a head that no CLOSE vouches for was mended with the segment before it, unless one may not
            torn = look and number == last and len(data) <= fm.HEAD_SIZE and bool(store.segments)
        if not torn or (good and fm.next_record(data, bad.offset, number, store.sequence) is not None):
            raise Damaged(name, bad.offset, bad.reason) from None
        store.cut_bytes += len(data) - good
        store.log.warning("store_tail_cut", file=name, offset=good, bytes=len(data) - good, reason=bad.reason)
        if not look:
            files.truncate(name, good)
            await files.sync(name)
    store.segments[number] = Segment(good, first)
    if closed and number == last:
        raise Damaged(segment_name(number + 1), 0, "the segment after a closed one is gone")
    if not closed and number != last:
        if number != last - 1 or files.size(segment_name(last)) > fm.HEAD_SIZE:
            raise Damaged(name, good, "the segment was not closed and the next one is in use")
        if not look:  # a crash came between the next segment and the CLOSE, or before the next one lasted
            await _begin_segment(store, last)
            await store.append(fm.CLOSE, b"")
            start, good = good, store.segments[number].size
    return start, good


async def _begin_segment(store: Store, number: int) -> None:
    """The next segment is there with its head, and lasts."""
    name, files = segment_name(number), store.files
    head = fm.write_head(fm.SEGMENT, number, store.sequence + 1)
    found = files.read(name)
    if len(found) < len(head) or found == bytes(len(head)):
        files.truncate(name, 0)
        files.append(name, head)
    await files.sync(name)
    await files.sync_folder()


def _apply(store: Store, number: int, record: fm.Record) -> None:
    if record.kind == fm.TRIM:
        store.oldest = max(store.oldest, fm.trim(record))
    elif record.kind == fm.GROUP:
        for entry in fm.entries(record, number):
            spot = entry.start << 32 | entry.end - entry.start
            if entry.value is None:
                store.index.drop(entry.table, entry.key)
                store.ops.setdefault(entry.table, {})[entry.key] = None
            else:
                store.index.put(entry.table, entry.key, place(number, 0, 0) | spot, entry.ends)
                store.ops.setdefault(entry.table, {})[entry.key] = (spot, entry.ends)


@dataclass(slots=True)
class Report:
    """What `verify` or `salvage` found: (file, offset, reason) of what is not whole, and records read."""

    records: int = 0
    entries: int = 0
    time: int = 0  # the newest record's store time and clock, ms
    clock: int = 0
    bad: list[tuple[str, int, str]] = field(default_factory=list)
    missing: list[tuple[int, int]] = field(default_factory=list)  # first and last of sequence numbers not found


def verify(files: Files) -> Report:
    """Read every record and entry, also those that opening takes from hints. OSError."""
    report = Report()
    sequence: int | None = None
    for number in numbered(files.names(), ".seg"):
        sequence = _read_whole(files, number, report, sequence, lambda entry: None)
    return report


def _read_whole(
    files: Files, number: int, report: Report, sequence: int | None, take: Callable[[fm.Entry], None]
) -> int | None:
    name, data, at = segment_name(number), files.read(segment_name(number)), fm.HEAD_SIZE
    try:
        first = fm.read_head(data, fm.SEGMENT, number)
        sequence = first - 1 if sequence is None else sequence
    except fm.Bad as bad:
        report.bad.append((name, bad.offset, bad.reason))
    while at < len(data):
        try:
            record = fm.read_record(data, at, number)
        except fm.Bad as bad:
            report.bad.append((name, bad.offset, bad.reason))
            found = fm.next_record(data, at, number)
            if found is None:
                break  # the newest segment's end may be a torn record
            record = found
        if sequence is not None and record.sequence > sequence + 1:
            report.missing.append((sequence + 1, record.sequence - 1))
        sequence, at = record.sequence, record.end
        report.records += 1
        report.time, report.clock = record.time, record.clock
        try:
            for entry in fm.entries(record, number) if record.kind == fm.GROUP else ():
                report.entries += 1
                take(entry)
        except fm.Bad as bad:
            report.bad.append((name, bad.offset, bad.reason))
    return sequence


async def salvage(damaged: Files, to: Files, log: Logger, clock: Callable[[], float]) -> Report:
    """Put what is whole of a damaged store into a new one. The damaged one is left as it is.

    A change that is missing may have removed or replaced a key: then an older value shows, and `missing` says so.
    """
    report, sequence = Report(), None
    held: dict[tuple[str, bytes], fm.Entry] = {}

    def take(entry: fm.Entry) -> None:
        if entry.value is None:
            held.pop((entry.table, entry.key), None)
        else:
            held[entry.table, entry.key] = entry

    for number in numbered(damaged.names(), ".seg"):
        sequence = _read_whole(damaged, number, report, sequence, take)
    store = await open_store(to, log, clock)
    if store.tables() or store.sequence:
        await store.close()
        raise StoreFailed("the folder to salvage into is not empty")
    store.time, store.clock_at = report.time, report.clock
    await store.adopt(list(held.values()))
    await store.close()
    return report


async def backup(files: Files, to: Files) -> tuple[int, int]:
    """Copy a store that may be in use: all segments as far as they are; returns how many and their bytes.

    What was committed before is in the copy. A segment that compaction removes while it is copied begins it anew.
    The copy's newest record may be torn: opening cuts it. OSError; FileExistsError when there is something there.
    """
    if to.names():
        raise FileExistsError("the folder to copy to is not empty")
    for _ in range(LOOKS):
        numbers = numbered(files.names(), ".seg")
        try:
            sizes = {n: files.size(segment_name(n)) for n in numbers}  # opens each: from here on it can be read
        except FileNotFoundError:
            continue
        if not numbers:
            raise FileNotFoundError("no store is here")
        total = 0
        for n in numbers:
            name = segment_name(n)
            to.create(name)
            for at in range(0, sizes[n], 1 << 20):
                to.append(name, files.read(name, at, min(1 << 20, sizes[n] - at)))
            await to.sync(name)
            total += sizes[n]
        to.create(IDENTITY)
        to.append(IDENTITY, files.read(IDENTITY))
        await to.sync(IDENTITY)
        await to.sync_folder()
        return len(numbers), total
    raise FileNotFoundError("the store's segments went faster than they could be copied")
