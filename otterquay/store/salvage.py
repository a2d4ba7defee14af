"""Reading a store's files whole: to verify, to save what is left of a damaged one, to copy one that is in use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.logs import Logger
from otterquay.store import format as fm
from otterquay.store.definitions import IDENTITY_FILE, StoreFailed, segment_name
from otterquay.store.files import Files, numbered
from otterquay.store.recovery import MAX_READ_ATTEMPTS, open_store


@dataclass(slots=True)
class Report:
    """What `verify` or `salvage` found: (file, offset, reason) of what is not whole, and records read."""

    records: int = 0
    entries: int = 0
    time: int = 0  # the newest record's store time and clock, ms
    clock: int = 0
    damage: list[tuple[str, int, str]] = field(default_factory=list)
    missing: list[tuple[int, int]] = field(default_factory=list)  # first and last of sequence numbers not found


def verify(files: Files) -> Report:
    """Read every record and entry, also those that opening takes from hints. OSError."""
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
                on_entry(entry)
        except fm.FormatError as error:
            report.damage.append((name, error.offset, error.reason))
    return sequence


async def salvage(damaged: Files, destination: Files, log: Logger, clock: Callable[[], float]) -> Report:
    """Put what is whole of a damaged store into a new one. The damaged one is left as it is.

    A change that is missing may have removed or replaced a key: then an older value shows, and `missing` says so.
    """
    report, sequence = Report(), None
    held: dict[tuple[str, bytes], fm.Entry] = {}

    def on_entry(entry: fm.Entry) -> None:
        if entry.value is None:
            held.pop((entry.table, entry.key), None)
        else:
            held[entry.table, entry.key] = entry

    for number in numbered(damaged.names(), ".seg"):
        sequence = _read_segment(damaged, number, report, sequence, on_entry)
    store = await open_store(destination, log, clock)
    if store.tables() or store.sequence:
        await store.close()
        raise StoreFailed("the folder to salvage into is not empty")
    store.time, store.last_clock = report.time, report.clock
    await store.commit_entries(list(held.values()))
    await store.close()
    return report


async def backup(files: Files, destination: Files) -> tuple[int, int]:
    """Copy a store that may be in use: all segments as far as they are; returns how many and their bytes.

    What was committed before is in the copy. A segment that compaction removes while it is copied begins it anew.
    The copy's newest record may be torn: opening cuts it. OSError; FileExistsError when there is something there.
    """
    if destination.names():
        raise FileExistsError("the folder to copy to is not empty")
    for _ in range(MAX_READ_ATTEMPTS):
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
    raise FileNotFoundError("the store's segments went faster than they could be copied")
