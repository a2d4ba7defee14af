"""The in-memory Raft log after the newest snapshot, and the writes that persist it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from otterquay.cores.effects import Effects
from otterquay.group.messages import Entry

LOG, META = "raft-log", "raft"
SNAPSHOT = b"snapshot"


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's state after applying the entry at `index`."""

    index: int
    term: int
    state: bytes


def _key(index: int) -> bytes:
    return index.to_bytes(8)


class Log:
    """Entries `snapshot_index` + 1 to `last`; the snapshot covers all entries up to `snapshot_index`."""

    def __init__(self) -> None:
        self.snapshot_index = self.snapshot_term = 0
        self.snapshot_state: bytes | None = None
        self.entries: list[Entry] = []

    @property
    def last(self) -> int:
        """Index of the newest entry."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int | None:
        """Term of an entry; None if the log does not have it, or no longer has it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Entries that follow `index`: at least one if there is any, then as many as fit the limits."""
        found: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.snapshot_index : index - self.snapshot_index + max_entries]:
            size += len(entry.data) + 16
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def append(self, entry: Entry, out: Effects) -> int:
        """Appends an entry and returns its index."""
        self.entries.append(entry)
        out.write(LOG, _key(self.last), msgspec.msgpack.encode(entry))
        return self.last

    def merge(self, before: int, entries: list[Entry], out: Effects) -> int:
        """Takes a leader's entries after `before` and removes conflicting ones; returns the last matching index."""
        at = before
        for entry in entries:
            at += 1
            if at <= self.snapshot_index:
                continue  # already committed and part of the snapshot
            if at <= self.last:
                if self.entries[at - self.snapshot_index - 1].term == entry.term:
                    continue
                for conflicting in range(at, self.last + 1):
                    out.write(LOG, _key(conflicting), None)
                del self.entries[at - self.snapshot_index - 1 :]
            self.append(entry, out)
        return max(at, self.snapshot_index)

    def compact(self, index: int, state: bytes, out: Effects) -> None:
        """Replaces the entries up to `index` by a snapshot of the state there."""
        term = self.term_at(index) or 0
        self.reset(index, term, state, self.entries[index - self.snapshot_index :], out)

    def reset(self, index: int, term: int, state: bytes, keep: list[Entry], out: Effects) -> None:
        """Restarts the log from a snapshot, followed by the entries in `keep`."""
        for removed in range(self.snapshot_index + 1, self.last + 1):
            if not index < removed <= index + len(keep):
                out.write(LOG, _key(removed), None)
        out.write(META, SNAPSHOT, msgspec.msgpack.encode(Snapshot(index, term, state)))
        self.snapshot_index, self.snapshot_term, self.snapshot_state, self.entries = index, term, state, list(keep)

    def load(self, snapshot: bytes | None, rows: Iterable[tuple[bytes, bytes]]) -> None:
        """Loads what the disk holds. ValueError if an entry is missing."""
        if snapshot is not None:
            found: Snapshot = msgspec.msgpack.decode(snapshot, type=Snapshot)
            self.snapshot_index, self.snapshot_term, self.snapshot_state = found.index, found.term, found.state
        for key, value in rows:
            index = int.from_bytes(key)
            if index <= self.snapshot_index:
                continue
            if index != self.last + 1:
                raise ValueError(f"the log has entry {index} after {self.last}")
            self.entries.append(msgspec.msgpack.decode(value, type=Entry))
