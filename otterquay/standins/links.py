"""A faulty link: a relay between two loopback addresses that delays, cuts, swallows or resets."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from otterquay.addresses import split_address


@dataclass(slots=True, eq=False)
class LinkState:
    """What is wrong with a link now; shared by all relays of one direction between two zones.

    A cut link swallows what is sent, as a lost route does: connects hang, nothing closes. `one_way` swallows only
    what the far side sends. `reset` breaks a connection in the middle of the next message.
    """

    delay_s: float = 0.0
    cut: bool = False
    one_way: bool = False
    reset: bool = False


@dataclass(slots=True, eq=False)
class Link:
    """One relay: listens, and carries each connection to `target`."""

    target: str
    state: LinkState
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, host, port)
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        return self.address

    def close(self) -> None:
        """Stop, dropping all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        far_writer: asyncio.StreamWriter | None = None
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self.target))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pipe(reader, far_writer, False))
                group.create_task(self._pipe(far_reader, writer, True))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            for one in (writer, far_writer):
                if one:
                    one.close()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool) -> None:
        while True:
            data = await reader.read(65536)
            if self.state.delay_s:
                await asyncio.sleep(self.state.delay_s)
            if self.state.cut or (back and self.state.one_way):
                if not data:
                    return  # the end does not cross either
                continue
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                raise ConnectionResetError  # one side closed: both do
            if self.state.reset:
                writer.write(data[: len(data) // 2])
                await writer.drain()
                raise ConnectionResetError
            writer.write(data)
