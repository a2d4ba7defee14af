"""What the store's files share: names, sizes, changes, errors."""

from __future__ import annotations

from dataclasses import dataclass

from otterquay.store import format as fm
from otterquay.store.files import Files

PART_SUFFIX, IDENTITY_FILE = ".part", "format"
MAX_GROUP_BYTES = 4 * 1024 * 1024  # bytes of batches after which a sync takes no further ones
MAX_PENDING_BYTES = 128 * 1024 * 1024  # bytes of batches that may wait for the disk; one further behind fails
MIN_MOVE_LIMIT_BYTES, MAX_STEP_ENTRIES = (
    64 * 1024,
    512,
)  # bytes that a step of compaction may move, entries it may look at


class StoreCorrupted(Exception):
    """A file is damaged where no crash can have left it so; nothing was changed."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name}: offset {offset}: {reason}")
        self.name, self.offset, self.reason = name, offset, reason


class StoreFailed(Exception):
    """The store takes no writes: another process has it, it is closed, or a write or sync failed."""


@dataclass(frozen=True, slots=True)
class Put:
    """Set a key's value; it lives for `life_s` seconds of store time, for good with None."""

    table: str
    key: bytes
    value: bytes
    ttl_s: float | None = None


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a key; no error when there is none."""

    table: str
    key: bytes


Change = Put | Delete


@dataclass(frozen=True, slots=True)
class Options:
    """Sizes. Compaction keeps all segments under `slack` times what is alive and two segments more."""

    segment_bytes: int = 8 * 1024 * 1024
    slack: float = 2.0


@dataclass(slots=True)
class Segment:
    """A segment as the store knows it."""

    size: int
    first: int  # sequence number of its first record


def segment_name(number: int) -> str:
    """The name of the segment of this number."""
    return f"{number:016x}.seg"


def hint_name(number: int) -> str:
    """The name of the hint beside a closed segment."""
    return f"{number:016x}.hint"


async def new_segment(files: Files, number: int, first: int) -> None:
    """A segment with its head, whose first record will have this sequence number; it lasts when this returns."""
    name = segment_name(number)
    files.create(name)
    files.append(name, fm.write_header(fm.SEGMENT, number, first))
    await files.sync(name)
    await files.sync_folder()


# the last place (offset << 32 | length) and end of life by key, None for a removed one
KeyChanges = dict[str, dict[bytes, tuple[int, int] | None]]
