"""Messages between agents over TCP: one connection per sender and receiver, frames authenticated by a shared key.

The receiver opens each connection with a random nonce. A frame's tag (keyed BLAKE3) covers that nonce, so frames
recorded on another connection are rejected, and each frame number is accepted only once. A message may be lost when
the bounded queue overflows or a connection breaks; the cores tolerate that. UDP is not used: a state or a piece of
the log is far larger than a datagram, and the loss of one fragment would cost the whole message.
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
from otterquay.ordered_set import OrderedSet

NONCE_BYTES = 16
TAG_BYTES = 16
HEADER = struct.Struct(">IQHHQ")  # bytes that follow, group, sender, receiver, frame number
MAX_FRAME_BYTES = 8 * 1024 * 1024 + 64
MAX_QUEUED_FRAMES = 512
REPLAY_WINDOW = 256
MAX_REFUSAL_LOG_LINES = 20  # per connection


def group_id(name: str) -> int:
    """Return the hash of a group's name that frames carry."""
    return int.from_bytes(blake3(name.encode()).digest(length=8))


class FrameRefused(Exception):
    """A frame was rejected; the text gives the reason."""


def seal(key: bytes, nonce: bytes, group: int, sender: int, to: int, number: int, payload: bytes) -> bytes:
    """Build an authenticated frame."""
    body = HEADER.pack(HEADER.size - 4 + len(payload) + TAG_BYTES, group, sender, to, number) + payload
    return body + blake3(nonce + body, key=key).digest(length=TAG_BYTES)


def frame_length(head: bytes) -> int:
    """Return the number of bytes after the first four. Raises FrameRefused if it is out of range."""
    size = int.from_bytes(head)
    if not HEADER.size - 4 + TAG_BYTES <= size <= MAX_FRAME_BYTES:
        raise FrameRefused(f"frame length {size} is out of range")
    return size


@dataclass(slots=True)
class FrameVerifier:
    """Verifies the frames of one connection: tag, group, receiver, sender and number."""

    key: bytes
    nonce: bytes
    group: int
    me: int
    agents: Mapping[int, object]
    sender: int | None = None
    highest: int = 0
    received_bits: int = 0

    def open(self, frame: bytes) -> tuple[int, bytes]:
        """Return sender and payload of a complete frame. Raises FrameRefused."""
        body, tag = frame[:-TAG_BYTES], frame[-TAG_BYTES:]
        if blake3(self.nonce + body, key=self.key).digest(length=TAG_BYTES) != tag:
            raise FrameRefused("invalid tag: forged, truncated, or from another connection")
        _, group, sender, to, number = HEADER.unpack_from(body)
        if group != self.group:
            raise FrameRefused(f"frame belongs to another group, {group:x}")
        if to != self.me or sender not in self.agents or sender == self.me:
            raise FrameRefused(f"frame from {sender} to {to}: unknown sender, or another receiver")
        if self.sender not in (None, sender):
            raise FrameRefused(f"frame from {sender} on the connection of {self.sender}")
        self.sender = sender
        self._check_number(number)
        return sender, body[HEADER.size :]

    def _check_number(self, number: int) -> None:
        if number > self.highest:
            self.received_bits = (self.received_bits << min(number - self.highest, REPLAY_WINDOW) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self.highest = number
            return
        distance = self.highest - number
        if distance >= REPLAY_WINDOW or self.received_bits >> distance & 1:
            raise FrameRefused(f"frame {number} was received before")
        self.received_bits |= 1 << distance


@dataclass(slots=True)
class Link:
    """The connection to one receiver and the frames queued for it."""

    to: int
    address: str
    waiting: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_QUEUED_FRAMES))
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None
    dropped: int = 0


class Transport:
    """Sends and receives one agent's messages. `on_message` is called with sender and payload."""

    def __init__(
        self,
        me: int,
        listen: str,
        addresses: Mapping[int, str],
        group: int,
        key: bytes,
        rng: random.Random,
        on_message: Callable[[int, bytes], None],
        log: Logger,
    ) -> None:
        if len(key) != 32:
            raise ValueError("the group's key must have 32 bytes")
        self.me, self.listen, self.group, self.key, self.rng = me, listen, group, key, rng
        self.addresses, self.on_message, self.log = addresses, on_message, log
        self._links: dict[int, Link] = {}
        self._server: asyncio.Server | None = None
        self._open_writers: OrderedSet[asyncio.StreamWriter] = OrderedSet()

    async def start(self) -> str:
        """Listen and return the bound address. Raises OSError if it cannot be bound."""
        host, port = split_address(self.listen)
        self._server = await asyncio.start_server(self._receive_frames, host, port)
        name = self._server.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._server:
            self._server.close()
        for link in self._links.values():
            if link.task:
                link.task.cancel()
        for writer in list(self._open_writers):
            writer.transport.abort()

    def send(self, to: int, payload: bytes) -> None:
        """Queue a message; when the queue is full, the oldest one is dropped."""
        address = self.addresses.get(to)
        if address is None or to == self.me:
            return
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = Link(to, address)
            link.task = asyncio.get_running_loop().create_task(self._run_link(link))
        link.dropped += len(link.waiting) == MAX_QUEUED_FRAMES
        link.waiting.append(payload)
        link.ready.set()

    async def _run_link(self, link: Link) -> None:
        retry_delay = 0.05
        while True:
            await link.ready.wait()
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*split_address(link.address))
                self._open_writers.add(writer)
                nonce = await reader.readexactly(NONCE_BYTES)
                retry_delay = 0.05
                await self._send_frames(link, reader, writer, nonce)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.log.debug("fleet_link_broken", to=link.to, reason=str(error))
            finally:
                if writer:
                    self._open_writers.discard(writer)
                    writer.close()
            await asyncio.sleep(retry_delay * (0.5 + self.rng.random()))
            retry_delay = min(retry_delay * 2, 1.0)

    async def _send_frames(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        nonce: bytes,
    ) -> None:
        number = 0
        # the receiver sends nothing after its nonce, so a completed read means that it closed the connection
        closed_by_peer = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            while not closed_by_peer.done():
                while link.waiting:
                    number += 1
                    payload = link.waiting.popleft()
                    writer.write(seal(self.key, nonce, self.group, self.me, link.to, number, payload))
                    await writer.drain()
                link.ready.clear()
                frame_queued = asyncio.get_running_loop().create_task(link.ready.wait())
                await asyncio.wait([closed_by_peer, frame_queued], return_when=asyncio.FIRST_COMPLETED)
                frame_queued.cancel()
        finally:
            closed_by_peer.cancel()

    async def _receive_frames(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open_writers.add(writer)
        nonce = self.rng.randbytes(NONCE_BYTES)
        verifier = FrameVerifier(self.key, nonce, self.group, self.me, self.addresses)
        refusals = 0
        try:
            writer.write(nonce)
            while True:
                head = await reader.readexactly(4)
                size = frame_length(head)
                frame = head + await reader.readexactly(size)
                try:
                    sender, payload = verifier.open(frame)
                except FrameRefused as error:
                    refusals += 1
                    if refusals <= MAX_REFUSAL_LOG_LINES:
                        self.log.warning("fleet_frame_refused", reason=str(error))
                    if verifier.sender is None:
                        break  # the first frame was rejected: not an authenticated peer
                    continue
                self.on_message(sender, payload)
        except FrameRefused as error:
            self.log.warning("fleet_frame_refused", reason=str(error))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the peer closed the connection
        finally:
            self._open_writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()
