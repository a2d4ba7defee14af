"""The log in memory, from a snapshot's end on, and the writes that keep it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from otterquay.cores.effects import Effects
from otterquay.group.messages import Entry

LOG, META = "raft-log", "raft"
SNAPSHOT = b"snapshot"


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state after the entry at `index`."""

    index: int
    term: int
    state: bytes


def _key(index: int) -> bytes:
    return index.to_bytes(8)


class Log:
    """Entries `base`+1 to `last`; what is up to `base` is in the snapshot."""

    def __init__(self) -> None:
        self.base = self.base_term = 0
        self.state: bytes | None = None  # the snapshot's
        self.entries: list[Entry] = []

    @property
    def last(self) -> int:
        """Index of the newest entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Its term."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Term of an entry, None where it is not in the log (any more)."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def after(self, index: int, most: int, most_bytes: int) -> list[Entry]:
        """Entries that follow, one at least where there is one, then as many as fit."""
        found: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.base : index - self.base + most]:
            size += len(entry.data) + 16
            if found and size > most_bytes:
                break
            found.append(entry)
        return found

    def add(self, entry: Entry, out: Effects) -> int:
        """One more at the end."""
        self.entries.append(entry)
        out.write(LOG, _key(self.last), msgspec.msgpack.encode(entry))
        return self.last

    def merge(self, before: int, entries: list[Entry], out: Effects) -> int:
        """Take a leader's entries after `before`; what differs goes. Returns the last index that agrees."""
        at = before
        for entry in entries:
            at += 1
            if at <= self.base:
                continue  # settled: it is in the snapshot
            if at <= self.last:
                if self.entries[at - self.base - 1].term == entry.term:
                    continue
                for gone in range(at, self.last + 1):
                    out.write(LOG, _key(gone), None)
                del self.entries[at - self.base - 1 :]
            self.add(entry, out)
        return max(at, self.base)

    def cut(self, index: int, state: bytes, out: Effects) -> None:
        """The state at `index` takes the place of the entries up to it."""
        term = self.term_at(index) or 0
        self.reset(index, term, state, self.entries[index - self.base :], out)

    def reset(self, index: int, term: int, state: bytes, keep: list[Entry], out: Effects) -> None:
        """Begin with a snapshot; the entries kept follow on it."""
        for gone in range(self.base + 1, self.last + 1):
            if not index < gone <= index + len(keep):
                out.write(LOG, _key(gone), None)
        out.write(META, SNAPSHOT, msgspec.msgpack.encode(Snapshot(index, term, state)))
        self.base, self.base_term, self.state, self.entries = index, term, state, list(keep)

    def load(self, snapshot: bytes | None, rows: Iterable[tuple[bytes, bytes]]) -> None:
        """What the disk holds. ValueError where a place is missing."""
        if snapshot is not None:
            found: Snapshot = msgspec.msgpack.decode(snapshot, type=Snapshot)
            self.base, self.base_term, self.state = found.index, found.term, found.state
        for key, value in rows:
            index = int.from_bytes(key)
            if index <= self.base:
                continue
            if index != self.last + 1:
                raise ValueError(f"the log has entry {index} after {self.last}")
            self.entries.append(msgspec.msgpack.decode(value, type=Entry))
