"""File format version 1, read for upgrades only: log segments with one record per batch, and base snapshots.

A base replaced all segments up to its number. Each batch stored the last sequence number that was synced when it
was written, which distinguishes a torn group at the end from damage to synced records.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from otterquay.store.files import numbered

MAGIC, VERSION = b"oqstore\0", 1
_FILE_HEADER = struct.Struct("<8sHBxIQQ")  # magic, version, kind, reserved, number, checksum
_RECORD_HEADER = struct.Struct("<IBxxxQQQ")  # length, kind, sequence, synced, checksum
LOG, BASE = 1, 2
BATCH, PIECE, END = 1, 2, 3
HEADER_SIZE, RECORD_HEADER_SIZE = _FILE_HEADER.size, _RECORD_HEADER.size
MAX_CONTENT_BYTES = 64 * 1024 * 1024

Change = tuple[str, bytes, bytes | None]  # table, key, value; None removes


@dataclass(frozen=True, slots=True)
class Record:
    """An intact record; `start` and `end` are offsets in the file."""

    kind: int
    sequence: int
    synced: int
    changes: list[Change]
    start: int
    end: int


class FormatError(Exception):
    """The bytes at `offset` are no intact record or header."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"offset {offset}: {reason}")
        self.offset, self.reason = offset, reason


def _record_checksum(number: int, kind: int, sequence: int, synced: int, content: bytes) -> int:
    head = struct.pack("<QBQQI", number, kind, sequence, synced, len(content))
    return xxhash.xxh3_64_intdigest(head + content)


def write_header(kind: int, number: int) -> bytes:
    """Encode a file header."""
    checksum = xxhash.xxh3_64_intdigest(struct.pack("<HBQ", VERSION, kind, number))
    return _FILE_HEADER.pack(MAGIC, VERSION, kind, 0, number, checksum)


def read_header(data: bytes, kind: int, number: int) -> None:
    """Check a file header; FormatError if it is damaged, belongs to another file or has a later version."""
    if len(data) < HEADER_SIZE:
        raise FormatError(0, "file header is truncated")
    magic, version, found, reserved, named, checksum = _FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError(0, "not a store file")
    if version > VERSION:
        raise FormatError(0, f"written by version {version}, this one reads up to {VERSION}")
    intact = data[:HEADER_SIZE] == write_header(kind, number)
    if not intact or (found, named, reserved) != (kind, number, 0) or not checksum:
        raise FormatError(0, "file header is damaged or belongs to another file")


def read_record(data: bytes, offset: int, number: int) -> Record:
    """Decode the record at `offset`; FormatError if it is not intact."""
    if offset + RECORD_HEADER_SIZE > len(data):
        raise FormatError(offset, "record header is truncated")
    length, kind, sequence, synced, checksum = _RECORD_HEADER.unpack_from(data, offset)
    end = offset + RECORD_HEADER_SIZE + length
    if length > MAX_CONTENT_BYTES or end > len(data):
        raise FormatError(offset, "record is truncated")
    content = data[offset + RECORD_HEADER_SIZE : end]
    if (
        data[offset + 5 : offset + 8] != b"\0\0\0"
        or _record_checksum(number, kind, sequence, synced, content) != checksum
    ):
        raise FormatError(offset, "record checksum mismatch")
    return Record(kind, sequence, synced, msgspec.msgpack.decode(content, type=list[Change]), offset, end)


def records(data: bytes, number: int) -> Iterator[Record]:
    """The records after the header; FormatError at the first that is not intact."""
    offset = HEADER_SIZE
    while offset < len(data):
        record = read_record(data, offset, number)
        yield record
        offset = record.end


def later_record(data: bytes, offset: int, number: int, sequence: int) -> int | None:
    """Offset of an intact record after `offset` that was written after the sync of `sequence`, or None."""
    for at in range(offset + 1, len(data) - RECORD_HEADER_SIZE + 1):
        length, kind, _, synced, _ = _RECORD_HEADER.unpack_from(data, at)
        if kind == BATCH and synced >= sequence and at + RECORD_HEADER_SIZE + length <= len(data):
            try:
                read_record(data, at, number)
            except (FormatError, msgspec.MsgspecError):
                continue
            return at
    return None


def has_files(names: Sequence[str]) -> bool:
    """Whether there are files of this version."""
    return bool(numbered(names, ".base") or numbered(names, ".log"))


def read_all(names: Sequence[str], read: Callable[[str], bytes]) -> dict[tuple[str, bytes], bytes]:
    """All keys and values in a folder of this version; FormatError with the file's name before the reason."""
    bases, logs = numbered(names, ".base"), numbered(names, ".log")
    base_number, sequence, ended = bases[-1] if bases else 0, 0, not bases
    values: dict[tuple[str, bytes], bytes] = {}
    files = [(BASE, base_number, f"{base_number:016x}.base")] if bases else []
    logs = [n for n in logs if n > base_number]
    files += [(LOG, n, f"{n:016x}.log") for n in logs]
    if logs != list(range(base_number + 1, base_number + 1 + len(logs))) or not logs:
        raise FormatError(0, f"{base_number + 1:016x}.log: segment is missing")
    for kind, number, name in files:
        data, good = read(name), 0
        try:
            read_header(data, kind, number)
            for record in records(data, number):
                if kind == LOG and (record.kind != BATCH or record.sequence != sequence + 1):
                    raise FormatError(record.start, f"sequence {record.sequence} after {sequence}")
                for table, key, value in record.changes:
                    if value is None:
                        values.pop((table, key), None)
                    else:
                        values[table, key] = value
                sequence, good, ended = record.sequence, record.end, ended or record.kind == END
        except FormatError as error:
            torn = (
                number == logs[-1]
                and kind == LOG
                and (
                    later_record(data, error.offset, number, sequence + 1) is None
                    and (good or len(data) <= HEADER_SIZE)
                )
            )
            if not torn:
                raise FormatError(error.offset, f"{name}: {error.reason}") from None
        if not ended:
            raise FormatError(len(data), f"{name}: base has no END record")
    return values
