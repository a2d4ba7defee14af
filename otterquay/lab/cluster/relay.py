"""A relay for one direction between two agents: forwards, drops, delays, repeats or reorders whole frames."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.addresses import split_address
from otterquay.fleet.transport import HEADER, NONCE_BYTES, TAG_BYTES, FrameRefused, frame_length
from otterquay.ordered_set import OrderedSet


@dataclass(slots=True)
class LinkFaults:
    """The faults of one direction now. `cuts` counts the troubles that hold it cut."""

    cuts: int = 0
    loss: float = 0.0
    repeat: float = 0.0
    late_s: float = 0.0


@dataclass(slots=True, eq=False)
class FrameRelay:
    """Listens for one sender and forwards its frames to one receiver; calls `on_delivered` with each payload."""

    sender: int
    to: int
    target: str
    faults: LinkFaults
    rng: random.Random
    on_delivered: Callable[[int, int, bytes], None]
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)

    async def start(self) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
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
            writer.write(await target_reader.readexactly(NONCE_BYTES))
            closed = asyncio.create_task(target_reader.read(1))
            frames = asyncio.create_task(self._forward_frames(reader, target_writer))
            await asyncio.wait([closed, frames], return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            frames.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError, asyncio.IncompleteReadError, FrameRefused):
                await frames
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for side in (writer, target_writer):
                if side:
                    side.transport.abort()

    async def _forward_frames(self, reader: asyncio.StreamReader, target_writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            header = await reader.readexactly(4)
            frame = header + await reader.readexactly(frame_length(header))
            faults = self.faults
            if faults.cuts or self.rng.random() < faults.loss:
                continue
            for _ in range(2 if self.rng.random() < faults.repeat else 1):
                if faults.late_s:
                    loop.call_later(self.rng.random() * faults.late_s, self._deliver, target_writer, frame)
                else:
                    self._deliver(target_writer, frame)

    def _deliver(self, target_writer: asyncio.StreamWriter, frame: bytes) -> None:
        if not target_writer.is_closing() and not self.faults.cuts:
            target_writer.write(frame)
            self.on_delivered(self.sender, self.to, frame[HEADER.size : -TAG_BYTES])
