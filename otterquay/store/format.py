"""File format of the store, version 2: encoding and decoding, without I/O; docs/store.md has it as a table.

A file is a header followed by records. The log is a sequence of segments. A record holds all batches of one sync,
so every record but the newest is known to have been synced: an intact record after a bad one means damage, not a
torn tail. A record's checksum (XXH3-64, seeded with the segment number) covers its header and content, so that a
record of another file is rejected; each entry has its own checksum (XXH32), so that a value can be read without its
record.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

MAGIC = b"oqstore\0"
VERSION = 2
RECORD_MARK = b"\xd7oqr"
_FILE_HEADER = struct.Struct("<8sHB5xQQQ")  # magic, version, kind, zeros, number, first sequence, checksum
_RECORD_HEADER = struct.Struct("<4sIB3sQQQQ")  # mark, length, kind, boot, sequence, store time, clock, checksum
_ENTRY_HEADER = struct.Struct("<IBBHIQ")  # checksum, flags, table length, key length, value length, expiry
_ENTRY_FIELDS = struct.Struct("<BBHIQ")  # an entry's header without the checksum
_U64 = struct.Struct("<Q")
SEGMENT, HINT, IDENTITY = 3, 4, 5  # kinds of files; version 1 used 1 and 2
GROUP, TRIM, CLOSE, LISTING, END = 1, 2, 3, 4, 5  # kinds of records
DELETED = 1  # flag of an entry that removes its key
UNKNOWN_BOOT = 0
BOOT_TAG_BYTES = 3
MAX_BOOT_TAG = (1 << 8 * BOOT_TAG_BYTES) - 1
HEADER_SIZE, RECORD_HEADER_SIZE, ENTRY_HEADER_SIZE = _FILE_HEADER.size, _RECORD_HEADER.size, _ENTRY_HEADER.size
MAX_TABLE_BYTES = 255
MAX_KEY_BYTES = 65_535
MAX_VALUE_BYTES = 16 * 1024 * 1024
MAX_BATCH_BYTES = 32 * 1024 * 1024
MAX_CONTENT_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Timestamp:
    """Store time and the clock's reading at one moment, in ms, and the tag of the boot that the clock counts from.

    Records of earlier versions have zeros in place of the tag, which read as `UNKNOWN_BOOT`.
    """

    time: int
    clock: int
    boot: int = UNKNOWN_BOOT


@dataclass(frozen=True, slots=True)
class Record:
    """An intact record; `start` and `end` are offsets in the file."""

    kind: int
    sequence: int
    timestamp: Timestamp
    content: bytes
    start: int
    end: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One change of a key. `value` is None for a removal; `expires_at` is store time in ms, 0 for never.

    `start` and `end` are offsets in the file.
    """

    table: str
    key: bytes
    value: bytes | None
    expires_at: int
    start: int
    end: int


class FormatError(Exception):
    """The bytes at `offset` are no intact header, record or entry."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"offset {offset}: {reason}")
        self.offset, self.reason = offset, reason


def write_header(kind: int, number: int, first: int) -> bytes:
    """Encode a file header; `first` is the sequence number of its first record."""
    fields = _FILE_HEADER.pack(MAGIC, VERSION, kind, number, first, 0)[:-8]
    return fields + _U64.pack(xxhash.xxh3_64_intdigest(fields))


def read_header(data: bytes, kind: int, number: int) -> int:
    """Check a file header and return its first sequence number.

    FormatError: the header is damaged, belongs to another file or has a later version.
    """
    if len(data) < HEADER_SIZE:
        raise FormatError(0, "file header is truncated")
    magic, version, _, _, _, _ = _FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError(0, "not a store file")
    if version > VERSION:
        raise FormatError(0, f"written by version {version}, this one reads up to {VERSION}")
    first = int.from_bytes(data[HEADER_SIZE - 16 : HEADER_SIZE - 8], "little")
    if data[:HEADER_SIZE] != write_header(kind, number, first):
        raise FormatError(0, "file header is damaged or belongs to another file")
    return first


def write_entry(number: int, table: bytes, key: bytes, value: bytes | None, expires_at: int = 0) -> bytes:
    """Encode an entry for the segment of this number."""
    deleted = value is None
    rest = (
        _ENTRY_FIELDS.pack(DELETED if deleted else 0, len(table), len(key), len(value or b""), expires_at)
        + table
        + key
        + (value or b"")
    )
    return xxhash.xxh32_digest(rest, number & 0xFFFFFFFF)[::-1] + rest


def read_entry(data: bytes, offset: int, number: int, base: int = 0) -> Entry:
    """Decode the entry at `offset` of `data`, which starts at `base` in the file.

    FormatError: the entry is not intact.
    """
    if offset + ENTRY_HEADER_SIZE > len(data):
        raise FormatError(base + offset, "entry is truncated")
    checksum, flags, table_length, key_length, value_length, expires_at = _ENTRY_HEADER.unpack_from(data, offset)
    body_start = offset + ENTRY_HEADER_SIZE
    end = body_start + table_length + key_length + value_length
    if (
        end > len(data)
        or flags > DELETED
        or xxhash.xxh32_intdigest(data[offset + 4 : end], number & 0xFFFFFFFF) != checksum
    ):
        raise FormatError(base + offset, "entry checksum mismatch")
    table = data[body_start : body_start + table_length].decode("utf-8", "replace")
    value = None if flags else data[body_start + table_length + key_length : end]
    return Entry(
        table,
        data[body_start + table_length : body_start + table_length + key_length],
        value,
        expires_at,
        base + offset,
        base + end,
    )


def entries(record: Record, number: int) -> Iterator[Entry]:
    """The entries of a GROUP record, in order."""
    offset = 0
    while offset < len(record.content):
        entry = read_entry(record.content, offset, number, record.start + RECORD_HEADER_SIZE)
        yield entry
        offset = entry.end - record.start - RECORD_HEADER_SIZE


def write_record(number: int, kind: int, sequence: int, timestamp: Timestamp, content: bytes) -> bytes:
    """Encode a record for the file of this number."""
    boot = timestamp.boot.to_bytes(BOOT_TAG_BYTES, "little")
    fields = _RECORD_HEADER.pack(
        RECORD_MARK, len(content), kind, boot, sequence, timestamp.time, timestamp.clock, 0
    )[:-8]
    hasher = xxhash.xxh3_64(fields, number)
    hasher.update(content)
    return fields + _U64.pack(hasher.intdigest()) + content


def read_record(data: bytes, offset: int, number: int) -> Record:
    """Decode the record at `offset`; FormatError if it is not intact."""
    if offset + RECORD_HEADER_SIZE > len(data):
        raise FormatError(offset, "record header is truncated")
    mark, length, kind, boot, sequence, time, clock, checksum = _RECORD_HEADER.unpack_from(data, offset)
    body_start = offset + RECORD_HEADER_SIZE
    end = body_start + length
    if mark != RECORD_MARK:
        raise FormatError(offset, "no record starts here")
    if length > MAX_CONTENT_BYTES or end > len(data):
        raise FormatError(offset, "record is truncated")
    content = data[body_start:end]
    hasher = xxhash.xxh3_64(data[offset : body_start - 8], number)
    hasher.update(content)
    if hasher.intdigest() != checksum:
        raise FormatError(offset, "record checksum mismatch")
    timestamp = Timestamp(time, clock, int.from_bytes(boot, "little"))
    return Record(kind, sequence, timestamp, content, offset, end)


def records(data: bytes, number: int, offset: int = HEADER_SIZE) -> Iterator[Record]:
    """The records from `offset` to the end; FormatError at the first that is not intact."""
    while offset < len(data):
        record = read_record(data, offset, number)
        yield record
        offset = record.end


def next_record(data: bytes, offset: int, number: int, above: int = 0) -> Record | None:
    """The first intact record that starts after `offset` with a sequence number over `above`, or None."""
    position = offset
    while (position := data.find(RECORD_MARK, position + 1)) >= 0:
        try:
            record = read_record(data, position, number)
        except FormatError:
            continue
        if record.sequence > above:
            return record
    return None


def read_trim(record: Record) -> int:
    """Decode a TRIM: the number of the oldest segment that it leaves."""
    return int.from_bytes(record.content, "little")


def write_trim(oldest: int) -> bytes:
    """Encode the content of a TRIM."""
    return _U64.pack(oldest)


class Listing(msgspec.Struct, array_like=True):
    """A LISTING record of a hint: last places of a table's keys in one segment, as u64 of offset << 32 | length."""

    table: str
    keys: list[bytes]
    places: bytes
    ends: list[tuple[int, int]]  # index in `keys`, expiry
    removed: list[bytes]


class Closing(msgspec.Struct, array_like=True):
    """The END record of a hint: the state of its segment when the hint was written."""

    size: int
    sequence: int
    oldest: int


def write_listing(table: str, listed: Sequence[tuple[bytes, int, int]], removed: list[bytes]) -> bytes:
    """Encode the content of a LISTING record from tuples of key, offset << 32 | length, and expiry."""
    places = array("Q", [p for _, p, _ in listed]).tobytes()
    ends = [(i, e) for i, (_, _, e) in enumerate(listed) if e]
    return msgspec.msgpack.encode(Listing(table, [k for k, _, _ in listed], places, ends, removed))


def read_listing(content: bytes) -> tuple[Listing, array[int]]:
    """Decode a LISTING record into the listing and its places."""
    listing: Listing = msgspec.msgpack.decode(content, type=Listing)
    return listing, array("Q", listing.places)


def write_closing(size: int, sequence: int, oldest: int) -> bytes:
    """Encode the content of a hint's END record."""
    return msgspec.msgpack.encode(Closing(size, sequence, oldest))


def read_closing(content: bytes) -> Closing:
    """Decode a hint's END record."""
    return msgspec.msgpack.decode(content, type=Closing)
