"""The bytes of the store's files, version 2, without I/O; docs/store.md has them as a table.

A file is a head and records. The log is one row of segments: a record holds all batches of one sync, so every
record but the newest is known to have been synced, and a whole one after a bad one shows damage, not a torn end. A
record's tag (XXH3-64, seeded with the segment's number) covers its head and content, so that one that strayed from
another file is not taken; each entry has a tag of its own (XXH32), so that a value can be read without its record.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

MAGIC, VERSION, RECORD_MARK = b"oqstore\0", 2, b"\xd7oqr"
_FILE_HEADER = struct.Struct("<8sHB5xQQQ")  # magic, version, kind, zeros, number, first sequence, tag
_RECORD_HEADER = struct.Struct("<4sIB3xQQQQ")  # mark, length, kind, zeros, sequence, store time, clock, tag
_ENTRY_HEADER = struct.Struct("<IBBHIQ")  # tag, flags, table length, key length, value length, end of life
_ENTRY_FIELDS = struct.Struct("<BBHIQ")  # an entry's head without its tag
_U64 = struct.Struct("<Q")
SEGMENT, HINT, IDENTITY = 3, 4, 5  # kinds of files; 1 and 2 were version 1's
GROUP, TRIM, CLOSE, LISTING, END = 1, 2, 3, 4, 5  # kinds of records
DELETED = 1
HEADER_SIZE, RECORD_HEADER_SIZE, ENTRY_HEADER_SIZE = _FILE_HEADER.size, _RECORD_HEADER.size, _ENTRY_HEADER.size
MAX_TABLE_BYTES, MAX_KEY_BYTES, MAX_VALUE_BYTES = 255, 65_535, 16 * 1024 * 1024
MAX_BATCH_BYTES, MAX_CONTENT_BYTES = 32 * 1024 * 1024, 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Record:
    """A whole record and where it stands; `time` and `clock` in ms."""

    kind: int
    sequence: int
    time: int
    clock: int
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
    """Bytes at `offset` that are no whole record or head."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"offset {offset}: {reason}")
        self.offset, self.reason = offset, reason


def write_header(kind: int, number: int, first: int) -> bytes:
    """The head of a file; `first` is the sequence number of its first record."""
    unsigned = _FILE_HEADER.pack(MAGIC, VERSION, kind, number, first, 0)[:-8]
    return unsigned + _U64.pack(xxhash.xxh3_64_intdigest(unsigned))


def read_header(data: bytes, kind: int, number: int) -> int:
    """The first sequence number; Bad where the head is not that of this file, or of a later version."""
    if len(data) < HEADER_SIZE:
        raise FormatError(0, "the head is cut short")
    magic, version, _, _, _, _ = _FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise FormatError(0, "not a store's file")
    if version > VERSION:
        raise FormatError(0, f"written by version {version}, this one reads up to {VERSION}")
    first = int.from_bytes(data[HEADER_SIZE - 16 : HEADER_SIZE - 8], "little")
    if data[:HEADER_SIZE] != write_header(kind, number, first):
        raise FormatError(0, "the head is damaged or another file's")
    return first


def write_entry(number: int, table: bytes, key: bytes, value: bytes | None, expires_at: int = 0) -> bytes:
    """An entry for the segment of this number."""
    deleted = value is None
    rest = (
        _ENTRY_FIELDS.pack(DELETED if deleted else 0, len(table), len(key), len(value or b""), expires_at)
        + table
        + key
        + (value or b"")
    )
    return xxhash.xxh32_digest(rest, number & 0xFFFFFFFF)[::-1] + rest


def read_entry(data: bytes, offset: int, number: int, base: int = 0) -> Entry:
    """The entry at `offset` of `data`, which begins at `base` of the file; Bad where it is not whole."""
    if offset + ENTRY_HEADER_SIZE > len(data):
        raise FormatError(base + offset, "an entry is cut short")
    checksum, flags, tables, keys, values, expires_at = _ENTRY_HEADER.unpack_from(data, offset)
    at = offset + ENTRY_HEADER_SIZE
    end = at + tables + keys + values
    if (
        end > len(data)
        or flags > DELETED
        or xxhash.xxh32_intdigest(data[offset + 4 : end], number & 0xFFFFFFFF) != checksum
    ):
        raise FormatError(base + offset, "an entry's tag does not fit")
    table = data[at : at + tables].decode("utf-8", "replace")
    value = None if flags else data[at + tables + keys : end]
    return Entry(table, data[at + tables : at + tables + keys], value, expires_at, base + offset, base + end)


def entries(record: Record, number: int) -> Iterator[Entry]:
    """The entries of a group, in order."""
    offset = 0
    while offset < len(record.content):
        entry = read_entry(record.content, offset, number, record.start + RECORD_HEADER_SIZE)
        yield entry
        offset = entry.end - record.start - RECORD_HEADER_SIZE


def write_record(number: int, kind: int, sequence: int, time: int, clock: int, content: bytes) -> bytes:
    """A record for the file of this number; times in ms."""
    unsigned = _RECORD_HEADER.pack(RECORD_MARK, len(content), kind, sequence, time, clock, 0)[:-8]
    hasher = xxhash.xxh3_64(unsigned, number)
    hasher.update(content)
    return unsigned + _U64.pack(hasher.intdigest()) + content


def read_record(data: bytes, offset: int, number: int) -> Record:
    """The record at `offset`, or Bad."""
    if offset + RECORD_HEADER_SIZE > len(data):
        raise FormatError(offset, "a record's head is cut short")
    mark, length, kind, sequence, time, clock, checksum = _RECORD_HEADER.unpack_from(data, offset)
    at = offset + RECORD_HEADER_SIZE
    end = at + length
    if mark != RECORD_MARK:
        raise FormatError(offset, "no record begins here")
    if length > MAX_CONTENT_BYTES or end > len(data):
        raise FormatError(offset, "a record is cut short")
    content = data[at:end]
    hasher = xxhash.xxh3_64(data[offset : at - 8], number)
    hasher.update(content)
    if hasher.intdigest() != checksum:
        raise FormatError(offset, "a record's tag does not fit")
    return Record(kind, sequence, time, clock, content, offset, end)


def records(data: bytes, number: int, offset: int = HEADER_SIZE) -> Iterator[Record]:
    """The records from `offset` until the end; Bad at the first that is none."""
    while offset < len(data):
        record = read_record(data, offset, number)
        yield record
        offset = record.end


def next_record(data: bytes, offset: int, number: int, above: int = 0) -> Record | None:
    """The first whole record that begins after `offset` with a sequence number over `above`, if any does."""
    at = offset
    while (at := data.find(RECORD_MARK, at + 1)) >= 0:
        try:
            record = read_record(data, at, number)
        except FormatError:
            continue
        if record.sequence > above:
            return record
    return None


def read_trim(record: Record) -> int:
    """The oldest segment that a TRIM leaves."""
    return int.from_bytes(record.content, "little")


def write_trim(oldest: int) -> bytes:
    """What a TRIM holds."""
    return _U64.pack(oldest)


class Listing(msgspec.Struct, array_like=True):
    """A piece of a hint: last places of a table's keys in one segment, as u64 of offset << 32 | length."""

    table: str
    keys: list[bytes]
    places: bytes
    ends: list[tuple[int, int]]  # index of a key, its end of life
    removed: list[bytes]


class Closing(msgspec.Struct, array_like=True):
    """The end of a hint: what its segment was when the hint was written."""

    size: int
    sequence: int
    oldest: int


def write_listing(table: str, found: Sequence[tuple[bytes, int, int]], removed: list[bytes]) -> bytes:
    """The content of a LISTED record from (key, offset << 32 | length, end of life)."""
    places = array("Q", [p for _, p, _ in found]).tobytes()
    ends = [(i, e) for i, (_, _, e) in enumerate(found) if e]
    return msgspec.msgpack.encode(Listing(table, [k for k, _, _ in found], places, ends, removed))


def read_listing(content: bytes) -> tuple[Listing, array[int]]:
    """A listing and its places."""
    listing: Listing = msgspec.msgpack.decode(content, type=Listing)
    return listing, array("Q", listing.places)


def write_closing(size: int, sequence: int, oldest: int) -> bytes:
    """The content of a hint's END."""
    return msgspec.msgpack.encode(Closing(size, sequence, oldest))


def read_closing(content: bytes) -> Closing:
    """A hint's END."""
    return msgspec.msgpack.decode(content, type=Closing)
