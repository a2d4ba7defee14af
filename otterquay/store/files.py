"""The file layer under the store, handed in so that faults can be put in its place. Names are of one folder."""

from __future__ import annotations

import asyncio
import fcntl
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

LOCK = "lock"


def numbered(names: Sequence[str], ending: str) -> list[int]:
    """The numbers of files named by sixteen hexadecimal digits and this ending, in order."""
    return sorted(int(n[:16], 16) for n in names if n.endswith(ending) and len(n) == 16 + len(ending))


class Files(Protocol):
    """What the store asks of a disk. Anything may raise OSError; after `sync` and `sync_folder` it must last."""

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
    """Real files in a folder, which is made when it is not there; a sync holds up the loop while it lasts."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self._open: dict[str, int] = {}
        self._lock: int | None = None

    def names(self) -> list[str]:
        """All names but the lock's."""
        return sorted(n for n in os.listdir(self.folder) if n != LOCK)

    def _file(self, name: str) -> int:
        if name not in self._open:
            try:
                self._open[name] = os.open(self.folder / name, os.O_RDWR)
            except PermissionError:  # enough for looking in
                self._open[name] = os.open(self.folder / name, os.O_RDONLY)
        return self._open[name]

    def size(self, name: str) -> int:
        """Bytes of a file."""
        return os.fstat(self._file(name)).st_size

    def read(self, name: str, offset: int = 0, length: int = -1) -> bytes:
        """Bytes from `offset`, all that follow for a length under 0; fewer where the file ends."""
        file = self._file(name)
        length = length if length >= 0 else max(os.fstat(file).st_size - offset, 0)
        found = os.pread(file, length, offset)
        while len(found) < length and (more := os.pread(file, length - len(found), offset + len(found))):
            found += more
        return found

    def create(self, name: str) -> None:
        """A new, empty file; FileExistsError when there is one."""
        self._open[name] = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o644)

    def append(self, name: str, data: bytes) -> None:
        """All of `data` at the end, also where the system takes it in pieces."""
        self.write_at(name, self.size(name), data)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """All of `data` over what is there from `offset` on."""
        view, file = memoryview(data), self._file(name)
        while view:
            wrote = os.pwrite(file, view, offset)
            view, offset = view[wrote:], offset + wrote

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        os.ftruncate(self._file(name), size)

    async def sync(self, name: str) -> None:
        """What was written to a file lasts, with its size (fdatasync, POSIX)."""
        os.fdatasync(self._file(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of one that may have it."""
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
        """Names that were made, changed and removed last."""
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def lock(self) -> bool:
        """Whether this process, and no other, now writes here (flock; it goes with the process)."""
        self._lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            return False
        return True

    async def close(self) -> None:
        """Close all, and let go of the lock."""
        for file in self._open.values():
            os.close(file)
        self._open.clear()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None


class BackgroundSyncDisk(Disk):
    """A disk whose files are synced by a process of its own, so that the loop goes on meanwhile.

    The process keeps each file open from its first sync on: an error of writing that came since is told there
    once. When it ends unasked, syncs fail from then on, and with them the store.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._helper: asyncio.subprocess.Process | None = None

    async def _ask(self, line: str) -> None:
        if self._helper is None:
            self._helper = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                str(Path(__file__).with_name("syncer.py")),
                str(self.folder),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )  # a terminal's signals are not for it: it ends with its pipe
        source, sink = self._helper.stdout, self._helper.stdin
        assert source is not None and sink is not None
        try:
            sink.write(line.encode() + b"\n")
            answer = await source.readline()
        except (ConnectionError, RuntimeError) as error:
            raise OSError(f"the process that syncs is gone: {error}") from None
        if answer != b"0\n":
            code = int(answer or b"0")
            raise OSError(code, os.strerror(code)) if code else OSError("the process that syncs is gone")

    async def sync(self, name: str) -> None:
        """As `Disk.sync`, beside the loop."""
        await self._ask(name)

    async def sync_folder(self) -> None:
        """As `Disk.sync_folder`, beside the loop."""
        await self._ask("")

    async def close(self) -> None:
        """Close all; the helper ends with its pipe."""
        await super().close()
        if self._helper and self._helper.stdin:
            helper, self._helper = self._helper, None
            assert helper.stdin is not None
            helper.stdin.close()
            await helper.wait()
