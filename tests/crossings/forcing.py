"""What the tests of crossings force them with: the agent's own loop, the kernel's word, a clock that is set."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import uvloop

from otterquay.agent.connection_pool import Pool
from otterquay.agent.exchange import Call
from otterquay.agent.outcomes import End
from otterquay.logs import silent
from otterquay.node.front import Front
from otterquay.node.speech import RespSpeech
from tests.noderig import Rig, served

Work = Callable[[], Coroutine[Any, Any, None]]
LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}


def run(work: Work, loop: str = "uvloop") -> None:
    """On the loop of the agent in service, unless another is named."""
    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(work())


def arrived(is_there: Callable[[], bool]) -> None:
    """Wait without a turn of the loop until the kernel has handed over what was sent."""
    for _ in range(5000):
        if is_there():
            return
        select.select([], [], [], 0.001)
    raise AssertionError("what was sent has not come")


async def until(true: Callable[[], object]) -> None:
    """Wait until something holds; the test fails when it never does."""
    async with asyncio.timeout(20):
        while not true():
            await asyncio.sleep(0.001)


async def warm(rig: Rig) -> int:
    """An idle connection to each appliance, which may be used again at once; how many requests that took."""
    rig.node.pool.rest_s = 0.0
    while not all(one.got for one in rig.appliances):
        assert await rig.say(rig.ask())
    for writer in rig.writers:
        writer.close()
    await rig.until(lambda: not rig.node.front.clients)
    return sum(len(one.got) for one in rig.appliances)


def holding(rig: Rig) -> list[tuple[asyncio.StreamWriter, bytes]]:
    """All appliances keep what they get; who asked for what is in the list."""
    held: list[tuple[asyncio.StreamWriter, bytes]] = []
    for one in rig.appliances:
        one.behave = lambda _, writer, words: held.append((writer, words[2]))
    return held


@contextmanager
def at(front: Front, now: float) -> Iterator[None]:
    """The front's clock stands at a time."""
    true = Front.now
    Front.now = lambda self: now if self is front else true(self)  # type: ignore[method-assign]
    try:
        yield
    finally:
        Front.now = true  # type: ignore[method-assign]


class Gate:
    """While it is entered, connections to a rig's appliances come up only once `open` is set; `waiting` has the
    addresses that such connections are wanted to, in order."""

    def __init__(self, rig: Rig) -> None:
        self.open, self.waiting = asyncio.Event(), list[str]()
        self._kept, self._true = {one.address for one in rig.appliances}, asyncio.open_connection

    def __enter__(self) -> Gate:
        asyncio.open_connection = self._connect
        return self

    def __exit__(self, *_: object) -> None:
        asyncio.open_connection = self._true

    async def _connect(self, host: str, port: int, **more: Any) -> Any:
        if f"{host}:{port}" in self._kept:
            self.waiting.append(f"{host}:{port}")
            await self.open.wait()
        return await self._true(host, port, **more)


class Plain:
    """An appliance of blocking sockets, for what has to happen without a turn of the agent's loop."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())

    async def accept(self) -> socket.socket:
        """The next connection, as a blocking socket."""
        self.listener.setblocking(False)
        async with asyncio.timeout(20):
            conn, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return conn

    def close(self) -> None:
        self.listener.close()


class Calls:
    """A pool on its own, and how its calls ended."""

    def __init__(self) -> None:
        self.pool = Pool(5.0, 60.0, RespSpeech([]), silent())
        self.ends: list[End] = []

    def call(self, address: str, payload: bytes = b"*1\r\n$1\r\nx\r\n") -> Call:
        until = asyncio.get_running_loop().time() + 60
        return self.pool.call(address, b"1-0", lambda: payload, until, lambda call, end, got: self.ends.append(end))

    async def answered(self, plain: Plain) -> socket.socket:
        """A call that has had its answer; returns the connection, now idle."""
        self.call(plain.address)
        conn = await plain.accept()
        await asyncio.get_running_loop().sock_recv(conn, 100)
        conn.setblocking(True)
        conn.sendall(served(b"first"))
        await until(lambda: self.ends)
        return conn
