"""A stream reader that tells whether it holds input that its task has not read yet.

The event loop moves input from the socket to the reader and wakes the task that waits for it, which runs later in
the same turn. Between the two, neither the socket nor the task knows of the input.
"""

from __future__ import annotations

import asyncio

DEFAULT_LIMIT_BYTES = 65536


class PendingInputReader(asyncio.StreamReader):
    """`has_pending_input` is true from the arrival of bytes, or of the end of the stream, until they are read."""

    def __init__(self, limit: int = DEFAULT_LIMIT_BYTES) -> None:
        super().__init__(limit, asyncio.get_running_loop())
        self._pending_bytes = 0
        self._has_ended = False

    @property
    def has_pending_input(self) -> bool:
        """Whether bytes wait to be read, or the stream has ended."""
        return self._pending_bytes > 0 or self._has_ended

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # transports feed bytes
        """Take bytes from the transport."""
        self._pending_bytes += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Take the end of the stream from the transport."""
        self._has_ended = True
        super().feed_eof()

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes; empty at the end of the stream. OSError."""
        data = await super().read(n)
        self._pending_bytes -= len(data)
        return data


async def open_connection(host: str, port: int) -> tuple[PendingInputReader, asyncio.StreamWriter]:
    """Connect to an address, like `asyncio.open_connection`. OSError."""
    loop = asyncio.get_running_loop()
    reader = PendingInputReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
