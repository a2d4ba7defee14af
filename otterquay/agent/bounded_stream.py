"""A listener of streams that holds little unread input of a connection, however fast its peer writes.

The event loop reads up to 256 KB at a time into a stream, which stops it only afterwards. Here it reads into a
small buffer that all connections share.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from otterquay.agent.stream_reader import PendingInputReader

READ_BYTES = 4096  # in one read of the event loop
STREAM_LIMIT_BYTES = 2048  # a stream stops the event loop from reading once it holds twice as much

Serve = Callable[[PendingInputReader, asyncio.StreamWriter], Awaitable[None]]


class BoundedStreamProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader from a buffer of READ_BYTES."""

    def __init__(self, serve: Serve, buffer: memoryview) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(PendingInputReader(STREAM_LIMIT_BYTES), cast(Any, serve), loop=loop)
        self._buffer = buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass what was read on to the stream."""
        self.data_received(bytes(self._buffer[:nbytes]))


async def start_bounded_server(serve: Serve, host: str, port: int, backlog: int = 1024) -> asyncio.Server:
    """Listen like `asyncio.start_server`. OSError if the address is not available."""
    buffer = memoryview(bytearray(READ_BYTES))
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: BoundedStreamProtocol(serve, buffer), host, port, backlog=backlog)
