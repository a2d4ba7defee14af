"""An in-memory disk that models durability: the store's file layer for tests and simulated days.

After a crash it leaves what POSIX allows (fsync(2), rename(2)): any subset of the sectors written since a file's
last sync, in any order, with zeros where one is missing, and any subset of the names created, renamed and removed
since the folder's last sync. A failed sync leaves pages that seem clean but are not on disk.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

SECTOR_BYTES = 64  # smaller than on real disks, so that small records can be torn too


@dataclass(slots=True)
class _File:
    cache: bytearray = field(default_factory=bytearray)  # what reads return
    disk: bytearray = field(default_factory=bytearray)
    # unsynced changes: (offset, bytes), or (size, None) to truncate
    dirty: list[tuple[int, bytes | None]] = field(default_factory=list)

    def copy(self) -> _File:
        return _File(bytearray(self.cache), bytearray(self.disk), list(self.dirty))


def _write(data: bytearray, offset: int, chunk: bytes | None) -> None:
    if chunk is None:
        del data[offset:]
        return
    if len(data) < offset:
        data.extend(bytes(offset - len(data)))
    data[offset : offset + len(chunk)] = chunk


class FaultDisk:
    """Files by name, with fault injection.

    `before_change` is called before each operation that changes something, `fail` before every operation, and may
    raise OSError.
    """

    def __init__(
        self, files: dict[str, bytes] | None = None, capacity: int | None = None, sector: int = SECTOR_BYTES
    ) -> None:
        self.files = {name: _File(bytearray(d), bytearray(d)) for name, d in (files or {}).items()}
        self.durable_names = dict(self.files)  # the directory as it is on disk
        # creations, renames and removals since the last sync of the folder
        self.name_changes: list[tuple[str, str | None, _File | None]] = []
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
        """All files as reads return them now."""
        return {name: bytes(f.cache) for name, f in self.files.items()}

    # --- the file layer ---
    def names(self) -> list[str]:
        """All file names."""
        return sorted(self.files)

    def _file(self, name: str) -> _File:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return self.files[name]

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return len(self._file(name).cache)

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Read part of a file."""
        self._begin_operation("read", name)
        data = self._file(name).cache
        return bytes(data[offset:] if length < 0 else data[offset : offset + length])

    def create(self, name: str) -> None:
        """Create a file."""
        self._begin_operation("create", name)
        if name in self.files:
            raise FileExistsError(errno.EEXIST, "file exists", name)
        self.files[name] = _File()
        self.name_changes.append((name, None, self.files[name]))

    def append(self, name: str, data: bytes) -> None:
        """Append bytes; on an error some of them may be written, as with a short write."""
        self.write_at(name, self.size(name), data, "append")

    def write_at(self, name: str, offset: int, data: bytes, operation: str = "write_at") -> None:
        """Write bytes at an offset."""
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
        """Truncate a file."""
        self._begin_operation("truncate", name)
        self._file(name).dirty.append((size, None))
        _write(self._file(name).cache, size, None)

    async def sync(self, name: str) -> None:
        """Make writes durable; a failed sync drops them, though reads still return them."""
        file = self._file(name)
        try:
            self._begin_operation("sync", name)
        except OSError:
            file.dirty = []
            raise
        for offset, chunk in file.dirty:
            _write(file.disk, offset, chunk)
        file.dirty = []

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._begin_operation("rename", old)
        self.files[new] = self._file(old)
        del self.files[old]
        self.name_changes.append((old, new, self.files[new]))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._begin_operation("remove", name)
        self._file(name)
        del self.files[name]
        self.name_changes.append((name, None, None))

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        self._begin_operation("sync_folder", "")
        self.durable_names, self.name_changes = dict(self.files), []

    def lock(self) -> bool:
        """Take the lock; False if it was taken."""
        was_locked, self.locked = self.locked, True
        return not was_locked

    async def close(self) -> None:
        """Release the lock."""
        self.locked = False

    # --- states after a crash ---
    def after_power_loss(self, rng: random.Random) -> FaultDisk:
        """A random state that a power loss at this point may leave."""
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
            disk, kept_share = bytearray(file.disk), rng.choice((0.0, 0.5, 0.9, 1.0))
            for offset, chunk in file.dirty:
                if rng.random() < kept_share:
                    _write(disk, offset, chunk)
            left.files[name] = _File(bytearray(disk), disk)
        left.durable_names = dict(left.files)
        return left

    def after_kill(self) -> FaultDisk:
        """The state after the end of the process: all that was written, durable or not."""
        left = FaultDisk(capacity=self.capacity, sector=self.sector)
        copies = {id(f): f.copy() for f in [*self.files.values(), *self.durable_names.values()]}
        for _, _, file in self.name_changes:
            if file is not None:
                copies.setdefault(id(file), file.copy())
        left.files = {name: copies[id(f)] for name, f in self.files.items()}
        left.durable_names = {name: copies[id(f)] for name, f in self.durable_names.items()}
        left.name_changes = [(a, b, copies[id(f)] if f else None) for a, b, f in self.name_changes]
        return left
