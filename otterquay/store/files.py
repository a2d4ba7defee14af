"""The file layer under the store, handed in so that faults can be put in its place. Names are of one folder."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """What the store asks of a disk. Anything may raise OSError; after `sync` and `sync_folder` it must last."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> None: ...

    def append(self, name: str, data: bytes) -> None: ...

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...

    def lock(self) -> bool: ...

    def close(self) -> None: ...


class Disk:
    """Real files in a folder, which is made when it is not there."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._open: dict[str, int] = {}
        self._lock: int | None = None

    def names(self) -> list[str]:
        """All names but the lock's."""
        return sorted(p.name for p in self._folder.iterdir() if p.name != "lock")

    def read(self, name: str) -> bytes:
        """A whole file."""
        return (self._folder / name).read_bytes()

    def create(self, name: str) -> None:
        """A new, empty file; FileExistsError when there is one."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self._open[name] = os.open(self._folder / name, flags, 0o644)

    def _file(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self._folder / name, os.O_WRONLY | os.O_APPEND)
        return self._open[name]

    def append(self, name: str, data: bytes) -> None:
        """All of `data` at the end, also where the system takes it in pieces."""
        view, file = memoryview(data), self._file(name)
        while view:
            view = view[os.write(file, view):]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        os.ftruncate(self._file(name), size)

    def sync(self, name: str) -> None:
        """What was written to a file lasts."""
        os.fsync(self._file(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of one that may have it."""
        os.replace(self._folder / old, self._folder / new)
        if old in self._open:
            self._open[new] = self._open.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        if name in self._open:
            os.close(self._open.pop(name))
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Names that were made, changed and removed last."""
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def lock(self) -> bool:
        """Whether this process, and no other, now writes here."""
        self._lock = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            return False
        return True

    def close(self) -> None:
        """Close all, and let go of the lock."""
        for file in self._open.values():
            os.close(file)
        self._open.clear()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
