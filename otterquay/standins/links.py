"""A faulty link: a relay between two loopback addresses that can delay, drop or reset traffic."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from otterquay.addresses import split_address
from otterquay.ordered_set import OrderedSet


@dataclass(slots=True, eq=False)
class LinkState:
    """The faults of a link now; shared by all relays of one direction between two zones.

    A cut link drops all data, like a lost route: connects hang and nothing closes. `one_way` drops only what the
    target sends. `reset` breaks a connection in the middle of the next message.
    """

    delay_s: float = 0.0
    cut: bool = False
    one_way: bool = False
    reset: bool = False


@dataclass(slots=True, eq=False)
class Link:
    """One relay: listens, and forwards each connection to `target`."""

    target: str
    state: LinkState
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
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
        target_writer: asyncio.StreamWriter | None = None
        try:
            target_reader, target_writer = await asyncio.open_connection(*split_address(self.target))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pipe(reader, target_writer, False))
                group.create_task(self._pipe(target_reader, writer, True))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            for side in (writer, target_writer):
                if side:
                    side.close()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, from_target: bool) -> None:
        while True:
            data = await reader.read(65536)
            if self.state.delay_s:
                await asyncio.sleep(self.state.delay_s)
            if self.state.cut or (from_target and self.state.one_way):
                if not data:
                    return  # the end of the stream is dropped, too
                continue
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                raise ConnectionResetError  # one side has closed: close both
            if self.state.reset:
                writer.write(data[: len(data) // 2])
                await writer.drain()
                raise ConnectionResetError
            writer.write(data)
