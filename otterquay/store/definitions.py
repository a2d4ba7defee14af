"""Definitions shared by the store's modules: file names, limits, changes, options and errors."""

from __future__ import annotations

from dataclasses import dataclass

from otterquay.store import format as fm
from otterquay.store.files import Files

PART_SUFFIX = ".part"
IDENTITY_FILE = "format"
MAX_GROUP_BYTES = 4 * 1024 * 1024  # no batch joins a group that has reached this size
MAX_PENDING_BYTES = 128 * 1024 * 1024  # batches waiting for the disk; the store fails beyond this
MIN_MOVE_LIMIT_BYTES = 64 * 1024  # the limit on the bytes moved by a compaction step is never below this
MAX_STEP_ENTRIES = 512  # entries that one step of compaction or expiry examines


class StoreCorrupted(Exception):
    """A file has damage that no crash can have caused; nothing was changed."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name}: offset {offset}: {reason}")
        self.name, self.offset, self.reason = name, offset, reason


class StoreFailed(Exception):
    """The store accepts no writes: another process holds it, it is closed, or a write or sync failed."""


@dataclass(frozen=True, slots=True)
class Put:
    """Set a key's value; it expires after `ttl_s` seconds of store time, or never with None."""

    table: str
    key: bytes
    value: bytes
    ttl_s: float | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key; removing a missing key is no error."""

    table: str
    key: bytes


Change = Put | Delete


@dataclass(frozen=True, slots=True)
class Options:
    """Size settings. Compaction keeps all segments under `slack` times the live bytes plus two segments."""

    segment_bytes: int = 8 * 1024 * 1024
    slack: float = 2.0


@dataclass(slots=True)
class Segment:
    """State of one segment."""

    size: int
    first: int  # sequence number of its first record


def segment_name(number: int) -> str:
    """File name of a segment."""
    return f"{number:016x}.seg"


def hint_name(number: int) -> str:
    """File name of the hint of a closed segment."""
    return f"{number:016x}.hint"


async def new_segment(files: Files, number: int, first: int) -> None:
    """Create a segment with its header and sync both; `first` is the sequence number of its first record."""
    name = segment_name(number)
    files.create(name)
    files.append(name, fm.write_header(fm.SEGMENT, number, first))
    await files.sync(name)
    await files.sync_folder()


# by table and key: last place (offset << 32 | length) and expiry, or None for a removed key
KeyChanges = dict[str, dict[bytes, tuple[int, int] | None]]
