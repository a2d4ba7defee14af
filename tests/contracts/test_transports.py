"""The contract of transports between agents, run on real sockets, through a relay and on the simulated loop.

A message arrives complete, once and from its stated sender, or not at all. Messages of one sender keep their order
on a link without faults. Frames of strangers, other groups, other receivers or recordings are rejected.
Deliberately broken transports must fail the contract.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import pytest

from otterquay.addresses import split_address
from otterquay.fleet.transport import HEADER, NONCE_BYTES, TAG_BYTES, Transport, seal
from otterquay.lab.cluster.relay import FrameRelay, LinkFaults
from otterquay.lab.simloop import simulate
from otterquay.logs import silent

KEY, GROUP = bytes(range(32)), 77
Received = list[tuple[int, bytes]]


class Net(Protocol):
    """Two agents, 0 and 1, and the messages that agent 1 received."""

    received: Received

    async def start(self) -> None: ...

    def send(self, payload: bytes) -> None: ...

    async def settle(self, count: int) -> None: ...

    async def inject(self, make: Callable[[bytes], bytes]) -> None:
        """Send bytes to agent 1 on a stranger's connection; `make` gets the connection's nonce."""

    def close(self) -> None: ...


class Sockets:
    """Two transports on the running loop, real or simulated, optionally with a relay between them."""

    relayed = False
    port = 0

    def __init__(self) -> None:
        self.received: Received = []
        self.relay: FrameRelay | None = None

    async def start(self) -> None:
        rng = random.Random(1)
        self.one = Transport(
            1,
            f"127.0.0.1:{self.port}",
            {0: "127.0.0.1:1", 1: ""},
            GROUP,
            KEY,
            rng,
            lambda sender, data: self.received.append((sender, data)),
            silent(),
        )
        self.at = await self.one.start()
        to = self.at
        if self.relayed:
            self.relay = FrameRelay(0, 1, self.at, LinkFaults(), random.Random(2), lambda *_: None)
            to = await self.relay.start()
        self.zero = Transport(0, "127.0.0.1:0", {0: "", 1: to}, GROUP, KEY, rng, lambda *_: None, silent())

    def send(self, payload: bytes) -> None:
        self.zero.send(1, payload)

    async def settle(self, count: int) -> None:
        for _ in range(400):
            if len(self.received) >= count:
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)

    async def inject(self, make: Callable[[bytes], bytes]) -> None:
        reader, writer = await asyncio.open_connection(*split_address(self.at))
        writer.write(make(await reader.readexactly(NONCE_BYTES)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()

    def close(self) -> None:
        for one in (self.zero, self.one, self.relay):
            if one:
                one.close()


class Relayed(Sockets):
    """Through the lab's relay."""

    relayed = True


class Simulated(Sockets):
    """On the simulated loop."""


class WithoutTagCheck(Sockets):
    """Broken: accepts frames with a wrong tag."""

    async def start(self) -> None:
        await super().start()
        self.one.key = KEY
        import otterquay.fleet.transport as tr

        self.opened = tr.FrameVerifier.open

        def open_unchecked(reader: Any, frame: bytes) -> tuple[int, bytes]:
            return HEADER.unpack_from(frame)[2], frame[HEADER.size : -TAG_BYTES]

        tr.FrameVerifier.open = open_unchecked  # type: ignore[method-assign]

    def close(self) -> None:
        import otterquay.fleet.transport as tr

        tr.FrameVerifier.open = self.opened  # type: ignore[method-assign]
        super().close()


class DeliversTwice(Sockets):
    """Broken: delivers each message twice."""

    async def start(self) -> None:
        await super().start()
        on_message = self.one.on_message
        self.one.on_message = lambda sender, data: (on_message(sender, data), on_message(sender, data))[0]


def run(net: Net, work: Callable[[Net], Awaitable[None]]) -> None:
    async def run_and_close() -> None:
        await net.start()
        try:
            await work(net)
        finally:
            net.close()

    if isinstance(net, Simulated):
        simulate(run_and_close(), 1)
    else:
        asyncio.run(run_and_close())


# --- the contract ---
async def delivers_each_message_once_in_order(net: Net) -> None:
    sent = [b"%d" % i + b"x" * (i * 997 % 70_000) for i in range(60)]
    for payload in sent:
        net.send(payload)
    await net.settle(len(sent))
    assert net.received == [(0, payload) for payload in sent]


async def rejects_foreign_frames(net: Net) -> None:
    nonces: list[bytes] = []

    def frame(**more: Any) -> Callable[[bytes], bytes]:
        given = {"key": KEY, "group": GROUP, "sender": 0, "to": 1, "number": 1, "payload": b"evil", **more}

        def make(nonce: bytes) -> bytes:
            nonces.append(nonce)
            return seal(
                given["key"],
                given.get("nonce", nonce),
                given["group"],
                given["sender"],
                given["to"],
                given["number"],
                given["payload"],
            )

        return make

    for case in (
        {"key": bytes(32)},
        {"group": 78},
        {"sender": 9},
        {"to": 0},
        {"sender": 1},
        {"nonce": b"n" * NONCE_BYTES},
    ):
        await net.inject(frame(**case))
    await net.inject(lambda nonce: frame()(nonce)[:-1])
    await net.inject(lambda nonce: b"\xff\xff\xff\xff" + bytes(100))
    await net.inject(lambda nonce: b"\0\0\0\3abc")
    await net.inject(lambda nonce: b"")
    recorded = seal(KEY, nonces[0], GROUP, 0, 1, 5, b"recorded")
    await net.inject(lambda nonce: recorded)
    assert net.received == []
    net.send(b"still here")
    await net.settle(1)
    assert net.received == [(0, b"still here")]


async def accepts_a_repeated_frame_once(net: Net) -> None:
    def make(nonce: bytes) -> bytes:
        one, two = (seal(KEY, nonce, GROUP, 0, 1, n, b"%d" % n) for n in (1, 2))
        return two + one + two + one

    await net.inject(make)
    await net.settle(2)
    assert sorted(net.received) == [(0, b"1"), (0, b"2")]


async def drops_the_oldest_on_overflow(net: Net) -> None:
    for i in range(2000):
        net.send(b"%d" % i)
    await net.settle(512)
    assert net.received[-1] == (0, b"1999") and len(net.received) <= 600
    numbers = [int(data) for _, data in net.received]
    assert numbers == sorted(set(numbers))


CONTRACT = [
    delivers_each_message_once_in_order,
    rejects_foreign_frames,
    accepts_a_repeated_frame_once,
    drops_the_oldest_on_overflow,
]


@pytest.mark.parametrize("clause", CONTRACT, ids=lambda c: c.__name__)
@pytest.mark.parametrize("kind", [Sockets, Relayed, Simulated])
def test_every_transport_keeps_the_contract(kind: type[Any], clause: Any) -> None:
    run(kind(), clause)


@pytest.mark.parametrize(
    ("kind", "clause"),
    [
        (WithoutTagCheck, rejects_foreign_frames),
        (WithoutTagCheck, accepts_a_repeated_frame_once),
        (DeliversTwice, delivers_each_message_once_in_order),
    ],
)
def test_a_broken_transport_does_not(kind: type[Any], clause: Any) -> None:
    with pytest.raises(AssertionError):
        run(kind(), clause)


def test_a_relay_drops_repeats_and_delays_as_it_is_told() -> None:
    async def work(net: Any) -> None:
        wire = net.relay.faults
        wire.cuts = 1
        net.send(b"lost")
        await asyncio.sleep(0.2)
        wire.cuts, wire.repeat = 0, 1.0
        net.send(b"once")
        await net.settle(1)
        assert net.received == [(0, b"once")], "a repeated frame number is refused"
        wire.repeat, wire.late_s = 0.0, 0.1
        for i in range(20):
            net.send(b"%d" % i)
        await net.settle(21)
        assert sorted(net.received[1:]) == sorted((0, b"%d" % i) for i in range(20))

    run(Relayed(), work)
