"""A disk in memory that knows what lasts: the store's file layer for tests and simulated days.

What POSIX allows a crash to leave (fsync(2), rename(2)): of the writes since a file's last sync any part, in any
order, in sectors, with zeros where one is missing; of the names made, changed and removed since the folder's last
sync any of them. A sync that fails leaves pages that look clean and are not on the disk.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

SECTOR = 64  # smaller than any disk's, so that small records are torn too


@dataclass(slots=True)
class _File:
    cache: bytearray = field(default_factory=bytearray)  # what reading shows
    disk: bytearray = field(default_factory=bytearray)
    dirty: list[tuple[int, bytes | None]] = field(default_factory=list)  # offset and bytes, or a cut to this size

    def copy(self) -> _File:
        return _File(bytearray(self.cache), bytearray(self.disk), list(self.dirty))


def _write(data: bytearray, offset: int, what: bytes | None) -> None:
    if what is None:
        del data[offset:]
        return
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(what)] = what


class FaultDisk:
    """Files by name. `moment` is called before each operation that changes something; `fail` may raise OSError."""

    def __init__(
        self, files: dict[str, bytes] | None = None, capacity: int | None = None, sector: int = SECTOR
    ) -> None:
        self.files = {name: _File(bytearray(d), bytearray(d)) for name, d in (files or {}).items()}
        self.durable_names = dict(self.files)  # names as the folder on the disk has them
        self.name_changes: list[
            tuple[str, str | None, _File | None]
        ] = []  # since its last sync: made, moved, removed
        self.capacity, self.sector = capacity, sector
        self.locked = False
        self.before_change: Callable[[], None] = lambda: None
        self.fail: Callable[[str, str], None] = lambda operation, name: None
        self.short_write_rng = random.Random(0)

    def _begin_operation(self, operation: str, name: str) -> None:
        if operation != "read":
            self.before_change()
        self.fail(operation, name)

    def contents(self) -> dict[str, bytes]:
        """What reading shows now."""
        return {name: bytes(f.cache) for name, f in self.files.items()}

    # --- the file layer ---
    def names(self) -> list[str]:
        """All names."""
        return sorted(self.files)

    def _file(self, name: str) -> _File:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def size(self, name: str) -> int:
        """Bytes of a file."""
        return len(self._file(name).cache)

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Bytes of a file."""
        self._begin_operation("read", name)
        data = self._file(name).cache
        return bytes(data[offset:] if length < 0 else data[offset : offset + length])

    def create(self, name: str) -> None:
        """A new file."""
        self._begin_operation("create", name)
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "there is one", name)
        self.files[name] = _File()
        self.name_changes.append((name, None, self.files[name]))

    def append(self, name: str, data: bytes) -> None:
        """Bytes at the end; an error leaves some of them, as a short write does."""
        self.write_at(name, self.size(name), data, "append")

    def write_at(self, name: str, offset: int, data: bytes, operation: str = "write_at") -> None:
        """Bytes over what is there."""
        file = self._file(name)
        error: OSError | None = None
        try:
            self._begin_operation(operation, name)
        except OSError as raised:
            error, data = raised, data[: self.short_write_rng.randint(0, len(data))]
        if self.capacity is not None:
            room = self.capacity - sum(len(f.cache) for f in self.files.values())
            if len(data) > room:
                error, data = OSError(errno.ENOSPC, "No space left on device"), data[: max(room, 0)]
        for at in range(0, len(data), self.sector):
            file.dirty.append((offset + at, data[at : at + self.sector]))
        _write(file.cache, offset, data)
        if error:
            raise error

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        self._begin_operation("truncate", name)
        self._file(name).dirty.append((size, None))
        _write(self._file(name).cache, size, None)

    async def sync(self, name: str) -> None:
        """Writes last; a sync that fails forgets them."""
        file = self._file(name)
        try:
            self._begin_operation("sync", name)
        except OSError:
            file.dirty = []
            raise
        for offset, what in file.dirty:
            _write(file.disk, offset, what)
        file.dirty = []

    def rename(self, old: str, new: str) -> None:
        """Another name for a file."""
        self._begin_operation("rename", old)
        self.files[new] = self._file(old)
        del self.files[old]
        self.name_changes.append((old, new, self.files[new]))

    def remove(self, name: str) -> None:
        """Remove a name."""
        self._begin_operation("remove", name)
        self._file(name)
        del self.files[name]
        self.name_changes.append((name, None, None))

    async def sync_folder(self) -> None:
        """Names last."""
        self._begin_operation("sync_folder", "")
        self.durable_names, self.name_changes = dict(self.files), []

    def lock(self) -> bool:
        """Whether nobody had it."""
        was, self.locked = self.locked, True
        return not was

    async def close(self) -> None:
        """Let go of the lock."""
        self.locked = False

    # --- what may be left ---
    def after_power_loss(self, rng: random.Random) -> FaultDisk:
        """A state that the loss of power now may leave."""
        names = dict(self.durable_names)
        for old, new, file in self.name_changes:
            if rng.random() < 0.5:
                if new is not None and file is not None:
                    if names.get(old) is file:
                        del names[old]
                    names[new] = file
                elif file is not None:
                    names[old] = file
                else:
                    names.pop(old, None)
        left = FaultDisk(sector=self.sector)
        for name, file in names.items():
            disk, keep = bytearray(file.disk), rng.choice((0.0, 0.5, 0.9, 1.0))
            for offset, what in file.dirty:
                if rng.random() < keep:
                    _write(disk, offset, what)
            left.files[name] = _File(bytearray(disk), disk)
        left.durable_names = dict(left.files)
        return left

    def after_kill(self) -> FaultDisk:
        """What the end of the process now leaves: all that was written, also what may not last yet."""
        left = FaultDisk(capacity=self.capacity, sector=self.sector)
        copies = {id(f): f.copy() for f in [*self.files.values(), *self.durable_names.values()]}
        for _, _, file in self.name_changes:
            if file is not None:
                copies.setdefault(id(file), file.copy())
        left.files = {name: copies[id(f)] for name, f in self.files.items()}
        left.durable_names = {name: copies[id(f)] for name, f in self.durable_names.items()}
        left.name_changes = [(a, b, copies[id(f)] if f else None) for a, b, f in self.name_changes]
        return left
