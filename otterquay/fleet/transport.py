"""Messages between agents over TCP: one connection from each sender to each receiver, frames under the peers' key.

The receiver begins with a nonce of its own; a frame's tag (keyed BLAKE3) covers that nonce, so that a
recording of another connection is no message here, and a frame's number counts once. A message may be lost
(the queue is bounded, a connection breaks); the cores expect that. Datagrams were weighed: a state or a piece
of the log is far over what one carries, and ordinary loss would then cost a whole message.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from blake3 import blake3

from otterquay.addresses import split_address
from otterquay.logs import Logger

NONCE_BYTES, TAG_BYTES = 16, 16
HEADER = struct.Struct(">IQHHQ")  # bytes that follow, group, from, to, number
FRAME_MOST = 8 * 1024 * 1024 + 64
QUEUE_MOST = 512
WINDOW = 256
LINES_MOST = 20  # log lines on refused frames of one connection


def group_id(name: str) -> int:
    """What frames carry of a group's name."""
    return int.from_bytes(blake3(name.encode()).digest(length=8))


class FrameRefused(Exception):
    """A frame that is not taken; the text says why."""


def seal(key: bytes, nonce: bytes, group: int, sender: int, to: int, number: int, payload: bytes) -> bytes:
    """A frame."""
    body = HEADER.pack(HEADER.size - 4 + len(payload) + TAG_BYTES, group, sender, to, number) + payload
    return body + blake3(nonce + body, key=key).digest(length=TAG_BYTES)


def frame_length(head: bytes) -> int:
    """Bytes that follow the first four; FrameRefused where no frame of ours is so long or short."""
    size = int.from_bytes(head)
    if not HEADER.size - 4 + TAG_BYTES <= size <= FRAME_MOST:
        raise FrameRefused(f"a frame of {size} bytes")
    return size


@dataclass(slots=True)
class Reader:
    """Checks the frames of one connection."""

    key: bytes
    nonce: bytes
    group: int
    me: int
    agents: Mapping[int, object]
    sender: int | None = None
    highest: int = 0
    seen: int = 0

    def open(self, frame: bytes) -> tuple[int, bytes]:
        """Sender and payload of a whole frame; FrameRefused."""
        body, tag = frame[:-TAG_BYTES], frame[-TAG_BYTES:]
        if blake3(self.nonce + body, key=self.key).digest(length=TAG_BYTES) != tag:
            raise FrameRefused("forged, cut short, or of another connection")
        _, group, sender, to, number = HEADER.unpack_from(body)
        if group != self.group:
            raise FrameRefused(f"of another group, {group:x}")
        if to != self.me or sender not in self.agents or sender == self.me:
            raise FrameRefused(f"from {sender} to {to}: not in the list, or not for us")
        if self.sender not in (None, sender):
            raise FrameRefused(f"from {sender} on the connection of {self.sender}")
        self.sender = sender
        self._fresh(number)
        return sender, body[HEADER.size :]

    def _fresh(self, number: int) -> None:
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return
        behind = self.highest - number
        if behind >= WINDOW or self.seen >> behind & 1:
            raise FrameRefused(f"frame {number} came before")
        self.seen |= 1 << behind


@dataclass(slots=True)
class Link:
    """What waits for one receiver."""

    to: int
    address: str
    waiting: deque[bytes] = field(default_factory=lambda: deque(maxlen=QUEUE_MOST))
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    dropped: int = 0


class Transport:
    """One agent's messages to and from all others. `heard` gets sender and payload."""

    def __init__(
        self,
        me: int,
        listen: str,
        addresses: Mapping[int, str],
        group: int,
        key: bytes,
        rng: random.Random,
        heard: Callable[[int, bytes], None],
        log: Logger,
    ) -> None:
        if len(key) != 32:
            raise ValueError("the key must be 32 bytes")
        self.me, self.listen, self.group, self.key, self.rng = me, listen, group, key, rng
        self.addresses, self.heard, self.log = addresses, heard, log
        self._links: dict[int, Link] = {}
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen; returns the address bound. OSError when it cannot be had."""
        host, port = split_address(self.listen)
        self._server = await asyncio.start_server(self._serve, host, port)
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    def close(self) -> None:
        """Close all."""
        if self._server:
            self._server.close()
        for link in self._links.values():
            if link.task:
                link.task.cancel()
        for writer in list(self._open):
            writer.transport.abort()

    def send(self, to: int, payload: bytes) -> None:
        """Queue a message; of too many the oldest goes."""
        address = self.addresses.get(to)
        if address is None or to == self.me:
            return
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = Link(to, address)
            link.task = asyncio.get_running_loop().create_task(self._run(link))
        link.dropped += len(link.waiting) == QUEUE_MOST
        link.waiting.append(payload)
        link.ready.set()

    async def _run(self, link: Link) -> None:
        wait = 0.05
        while True:
            await link.ready.wait()
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*split_address(link.address))
                self._open.add(writer)
                nonce = await reader.readexactly(NONCE_BYTES)
                wait = 0.05
                await self._feed(link, reader, writer, nonce)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.log.debug("fleet_link_broken", to=link.to, reason=str(error))
            finally:
                if writer:
                    self._open.discard(writer)
                    writer.close()
            await asyncio.sleep(wait * (0.5 + self.rng.random()))
            wait = min(wait * 2, 1.0)

    async def _feed(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        nonce: bytes,
    ) -> None:
        number = 0
        # the receiver says no more than its nonce: what comes here is its end
        over = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            while not over.done():
                while link.waiting:
                    number += 1
                    payload = link.waiting.popleft()
                    writer.write(seal(self.key, nonce, self.group, self.me, link.to, number, payload))
                    await writer.drain()
                link.ready.clear()
                more = asyncio.get_running_loop().create_task(link.ready.wait())
                await asyncio.wait([over, more], return_when=asyncio.FIRST_COMPLETED)
                more.cancel()
        finally:
            over.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        nonce = self.rng.randbytes(NONCE_BYTES)
        frames = Reader(self.key, nonce, self.group, self.me, self.addresses)
        lines = 0
        try:
            writer.write(nonce)
            while True:
                head = await reader.readexactly(4)
                size = frame_length(head)
                frame = head + await reader.readexactly(size)
                try:
                    sender, payload = frames.open(frame)
                except FrameRefused as error:
                    lines += 1
                    if lines <= LINES_MOST:
                        self.log.warning("fleet_frame_refused", reason=str(error))
                    if frames.sender is None:
                        break  # not even its first frame: no peer of ours
                    continue
                self.heard(sender, payload)
        except FrameRefused as error:
            self.log.warning("fleet_frame_refused", reason=str(error))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the peer left
        finally:
            self._open.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()
