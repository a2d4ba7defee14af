"""A mark that the store lacks writes, which can be set on a full disk.

The file `reserve` is written while there is space. When the store fails it is cut to nothing, which needs no space
and frees what it had. A later process finds it shorter than `RESERVE_BYTES` and knows that the store lacks some of
what it was handed. Numbers noted in the freed space may tell more. Folders of versions before 2026-12-04 have no
such file: nothing is known to be missing there.
"""

from __future__ import annotations

import struct

from otterquay.logs import Logger
from otterquay.store.definitions import PART_SUFFIX
from otterquay.store.files import Files

RESERVE_FILE = "reserve"
RESERVE_BYTES = 64
_NUMBER = struct.Struct("<Q")


class Reserve:
    """The reserve of one open store."""

    def __init__(self, files: Files, log: Logger) -> None:
        self._files, self._log = files, log

    def _size(self) -> int | None:
        return self._files.size(RESERVE_FILE) if RESERVE_FILE in self._files.names() else None

    def is_spent(self) -> bool:
        """Whether the store lacks writes. OSError."""
        size = self._size()
        return size is not None and size < RESERVE_BYTES

    def numbers(self) -> list[int]:
        """The numbers noted in a spent reserve; none if it cannot be read."""
        try:
            data = self._files.read(RESERVE_FILE) if self.is_spent() else b""
        except OSError:
            return []
        whole = len(data) - len(data) % _NUMBER.size
        return [number for (number,) in _NUMBER.iter_unpack(data[:whole])]

    def spend(self) -> None:
        """Mark that writes are missing. On an error only the log tells."""
        try:
            if self._size() is None:
                self._files.create(RESERVE_FILE)
            elif not self.is_spent():
                self._files.truncate(RESERVE_FILE, 0)
        except OSError as error:
            self._log.error("store_loss_not_marked", reason=str(error))

    def note(self, number: int) -> None:
        """Append a number to a spent reserve; beyond its space it replaces those before it. OSError."""
        if not self.is_spent():
            return
        if self._files.size(RESERVE_FILE) + _NUMBER.size >= RESERVE_BYTES:
            self._files.truncate(RESERVE_FILE, 0)
        self._files.append(RESERVE_FILE, _NUMBER.pack(number))

    async def sync(self) -> None:
        """Make the mark durable. OSError."""
        if self._size() is not None:
            await self._files.sync(RESERVE_FILE)

    async def restore(self) -> None:
        """Remove the mark and set the space aside again, durably. OSError: the mark stays."""
        if self._size() == RESERVE_BYTES:
            return
        part = RESERVE_FILE + PART_SUFFIX
        if part in self._files.names():
            self._files.remove(part)
        self._files.create(part)
        self._files.append(part, bytes(RESERVE_BYTES))
        await self._files.sync(part)
        self._files.rename(part, RESERVE_FILE)
        await self._files.sync_folder()
