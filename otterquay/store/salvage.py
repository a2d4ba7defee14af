"""Verification, salvage of damaged stores, and backup of stores that are in use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.clock import StoreClock
from otterquay.store.definitions import IDENTITY_FILE, StoreFailed, segment_name
from otterquay.store.files import Files, numbered
from otterquay.store.recovery import MAX_READ_ATTEMPTS, open_store


@dataclass(slots=True)
class Report:
    """Result of `verify` or `salvage`: counts of intact records and entries, and all damage found."""

    records: int = 0
    entries: int = 0
    newest: fm.Timestamp | None = None  # of the last intact record
    damage: list[tuple[str, int, str]] = field(default_factory=list)  # file, offset, reason
    missing: list[tuple[int, int]] = field(default_factory=list)  # first and last of missing sequence numbers


def verify(files: Files) -> Report:
    """Read every record and entry, including the segments that opening loads from hints. OSError."""
    report = Report()
    sequence: int | None = None
    for number in numbered(files.names(), ".seg"):
        sequence = _read_segment(files, number, report, sequence, lambda entry: None)
    return report


def _read_segment(
    files: Files, number: int, report: Report, sequence: int | None, on_entry: Callable[[fm.Entry], None]
) -> int | None:
    name, data, at = segment_name(number), files.read(segment_name(number)), fm.HEADER_SIZE
    try:
        first = fm.read_header(data, fm.SEGMENT, number)
        sequence = first - 1 if sequence is None else sequence
    except fm.FormatError as error:
        report.damage.append((name, error.offset, error.reason))
    while at < len(data):
        try:
            record = fm.read_record(data, at, number)
        except fm.FormatError as error:
            report.damage.append((name, error.offset, error.reason))
            found = fm.next_record(data, at, number)
            if found is None:
                break  # in the newest segment this may be a torn tail
            record = found
        if sequence is not None and record.sequence > sequence + 1:
            report.missing.append((sequence + 1, record.sequence - 1))
        sequence, at = record.sequence, record.end
        report.records += 1
        report.newest = record.timestamp
        try:
            for entry in fm.entries(record, number) if record.kind == fm.GROUP else ():
                report.entries += 1
                on_entry(entry)
        except fm.FormatError as error:
            report.damage.append((name, error.offset, error.reason))
    return sequence


async def salvage(
    damaged: Files,
    destination: Files,
    log: Logger,
    clock: Callable[[], float],
    boot_id: str | None = None,
) -> Report:
    """Copy the intact records of a damaged store into a new one. The damaged store is not changed.

    `clock` and `boot_id` are those of `open_store`.
    A missing record may have removed or replaced a key, which then has an older value; see `missing`.
    """
    report, sequence = Report(), None
    entries: dict[tuple[str, bytes], fm.Entry] = {}

    def on_entry(entry: fm.Entry) -> None:
        if entry.value is None:
            entries.pop((entry.table, entry.key), None)
        else:
            entries[entry.table, entry.key] = entry

    for number in numbered(damaged.names(), ".seg"):
        sequence = _read_segment(damaged, number, report, sequence, on_entry)
    store = await open_store(destination, log, clock, boot_id=boot_id)
    if store.tables() or store.sequence:
        await store.close()
        raise StoreFailed("destination folder is not empty")
    if report.newest:
        store.clock = StoreClock(clock, boot_id)
        store.clock.replay(report.newest)
        store.clock.resume()
    await store.commit_entries(list(entries.values()))
    await store.close()
    return report


async def backup(files: Files, destination: Files) -> tuple[int, int]:
    """Copy all segments of a store that may be in use; returns their number and total bytes.

    The copy has everything that was committed before the call. If compaction removes a segment before it is opened,
    the copy starts again. The newest record of the copy may be torn; opening truncates it.
    OSError; FileExistsError: the destination is not empty.
    """
    if destination.names():
        raise FileExistsError("destination folder is not empty")
    for _ in range(MAX_READ_ATTEMPTS):
        numbers = numbered(files.names(), ".seg")
        try:
            sizes = {n: files.size(segment_name(n)) for n in numbers}  # opens the files, which then stay readable
        except FileNotFoundError:
            continue
        if not numbers:
            raise FileNotFoundError("folder has no segments of a store")
        total = 0
        for n in numbers:
            name = segment_name(n)
            destination.create(name)
            for at in range(0, sizes[n], 1 << 20):
                destination.append(name, files.read(name, at, min(1 << 20, sizes[n] - at)))
            await destination.sync(name)
            total += sizes[n]
        destination.create(IDENTITY_FILE)
        destination.append(IDENTITY_FILE, files.read(IDENTITY_FILE))
        await destination.sync(IDENTITY_FILE)
        await destination.sync_folder()
        return len(numbers), total
    raise FileNotFoundError("compaction removed segments faster than they could be opened for the copy")
