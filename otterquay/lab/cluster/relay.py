"""One direction between two agents: whole frames are passed on, dropped, held, repeated or overtaken."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.addresses import split_address
from otterquay.fleet.transport import HEAD, NONCE, TAG, FrameRefused, length_of


@dataclass(slots=True)
class LinkFaults:
    """What is wrong with a direction now. `cuts` counts who holds it cut."""

    cuts: int = 0
    loss: float = 0.0
    repeat: float = 0.0
    late_s: float = 0.0


@dataclass(slots=True, eq=False)
class FrameRelay:
    """Listens for one sender and carries its frames to one receiver; `crossed` is told each payload passed on."""

    sender: int
    to: int
    target: str
    wire: LinkFaults
    rng: random.Random
    crossed: Callable[[int, int, bytes], None]
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
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
        far: asyncio.StreamWriter | None = None
        try:
            far_reader, far = await asyncio.open_connection(*split_address(self.target))
            writer.write(await far_reader.readexactly(NONCE))
            ended = asyncio.create_task(far_reader.read(1))
            frames = asyncio.create_task(self._frames(reader, far))
            await asyncio.wait([ended, frames], return_when=asyncio.FIRST_COMPLETED)
            ended.cancel()
            frames.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError, asyncio.IncompleteReadError, FrameRefused):
                await frames
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, far):
                if one:
                    one.transport.abort()

    async def _frames(self, reader: asyncio.StreamReader, far: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            head = await reader.readexactly(4)
            frame = head + await reader.readexactly(length_of(head))
            wire = self.wire
            if wire.cuts or self.rng.random() < wire.loss:
                continue
            for _ in range(2 if self.rng.random() < wire.repeat else 1):
                if wire.late_s:
                    loop.call_later(self.rng.random() * wire.late_s, self._pass, far, frame)
                else:
                    self._pass(far, frame)

    def _pass(self, far: asyncio.StreamWriter, frame: bytes) -> None:
        if not far.is_closing() and not self.wire.cuts:
            far.write(frame)
            self.crossed(self.sender, self.to, frame[HEAD.size : -TAG])
