"""The file layer of the store, passed in so that tests can replace it. All files are in one folder."""

from __future__ import annotations

import asyncio
import fcntl
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

LOCK = "lock"


def numbered(names: Sequence[str], suffix: str) -> list[int]:
    """Sorted numbers of the files named by sixteen hexadecimal digits and this suffix."""
    return sorted(int(n[:16], 16) for n in names if n.endswith(suffix) and len(n) == 16 + len(suffix))


class Files(Protocol):
    """File operations that the store needs. Any may raise OSError.

    Data is durable after `sync`, and created, renamed or removed names are after `sync_folder`.
    """

    def names(self) -> list[str]: ...

    def size(self, name: str) -> int: ...

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes: ...

    def create(self, name: str) -> None: ...

    def append(self, name: str, data: bytes) -> None: ...

    def write_at(self, name: str, offset: int, data: bytes) -> None: ...

    def truncate(self, name: str, size: int) -> None: ...

    async def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    async def sync_folder(self) -> None: ...

    def lock(self) -> bool: ...

    async def close(self) -> None: ...


class Disk:
    """Files in a folder, which is created if missing. Syncs block the event loop."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self._open: dict[str, int] = {}
        self._lock: int | None = None

    def names(self) -> list[str]:
        """All file names but that of the lock."""
        return sorted(n for n in os.listdir(self.folder) if n != LOCK)

    def _file(self, name: str) -> int:
        if name not in self._open:
            try:
                self._open[name] = os.open(self.folder / name, os.O_RDWR)
            except PermissionError:  # enough for a read-only store
                self._open[name] = os.open(self.folder / name, os.O_RDONLY)
        return self._open[name]

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return os.fstat(self._file(name)).st_size

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Read `length` bytes from `offset`, or all that follow if it is negative; fewer at the end of the file."""
        file = self._file(name)
        length = length if length >= 0 else max(os.fstat(file).st_size - offset, 0)
        found = os.pread(file, length, offset)
        while len(found) < length and (more := os.pread(file, length - len(found), offset + len(found))):
            found += more
        return found

    def create(self, name: str) -> None:
        """Create an empty file; FileExistsError if it exists."""
        self._open[name] = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o644)

    def append(self, name: str, data: bytes) -> None:
        """Append all of `data`, retrying short writes."""
        self.write_at(name, self.size(name), data)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`, retrying short writes."""
        view, file = memoryview(data), self._file(name)
        while view:
            wrote = os.pwrite(file, view, offset)
            view, offset = view[wrote:], offset + wrote

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file."""
        os.ftruncate(self._file(name), size)

    async def sync(self, name: str) -> None:
        """Make the data and size of a file durable (fdatasync)."""
        os.fdatasync(self._file(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        os.replace(self.folder / old, self.folder / new)
        if new in self._open:
            os.close(self._open.pop(new))
        if old in self._open:
            self._open[new] = self._open.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        if name in self._open:
            os.close(self._open.pop(name))
        (self.folder / name).unlink()

    async def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def lock(self) -> bool:
        """Take the exclusive lock (flock, released with the process); False if another process holds it."""
        self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            return False
        return True

    async def close(self) -> None:
        """Close all files and release the lock."""
        for file in self._open.values():
            os.close(file)
        self._open.clear()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


class BackgroundSyncDisk(Disk):
    """A disk whose files are synced by a subprocess, so that syncs do not block the event loop.

    The subprocess keeps each file open from its first sync on: the kernel reports a write error since then once, to
    that descriptor. If the subprocess ends unexpectedly, the sync fails, and with it the store; the next sync, one
    of the store's repair, starts another one.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._sync_process: asyncio.subprocess.Process | None = None

    async def _request(self, line: str) -> None:
        if self._sync_process is None:
            self._sync_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                str(Path(__file__).with_name("syncer.py")),
                str(self.folder),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )  # a new session keeps the terminal's signals away: it ends when its pipe is closed
        responses, requests = self._sync_process.stdout, self._sync_process.stdin
        assert responses is not None and requests is not None
        try:
            requests.write(line.encode() + b"\n")
            answer = await responses.readline()
        except (ConnectionError, RuntimeError) as error:
            self._sync_process = None
            raise OSError(f"sync subprocess has ended: {error}") from None
        if answer != b"0\n":
            code = int(answer or b"0")
            if not code:
                self._sync_process = None
            raise OSError(code, os.strerror(code)) if code else OSError("sync subprocess has ended")

    async def sync(self, name: str) -> None:
        """Like `Disk.sync`, in the subprocess."""
        await self._request(name)

    async def sync_folder(self) -> None:
        """Like `Disk.sync_folder`, in the subprocess."""
        await self._request("")

    async def close(self) -> None:
        """Close all files and end the subprocess."""
        await super().close()
        if self._sync_process and self._sync_process.stdin:
            process, self._sync_process = self._sync_process, None
            assert process.stdin is not None
            process.stdin.close()
            await process.wait()
