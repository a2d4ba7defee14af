"""Tools to force a race: waiting without a loop iteration, delaying connects, setting a clock."""

from __future__ import annotations

import asyncio
import math
import select
import selectors
import socket
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import uvloop

from otterquay.agent import connection_pool
from otterquay.agent.connection_pool import Pool
from otterquay.agent.exchange import Call
from otterquay.agent.outcomes import End
from otterquay.logs import silent
from otterquay.node.front import Front
from otterquay.node.resp_codec import RespCodec
from otterquay.standins.resp import served
from tests.noderig import Rig

Work = Callable[[], Coroutine[Any, Any, None]]
SETTLE_S = 0.001  # real time without input after which no byte is under way on the loopback interface


class StepClockLoop(asyncio.SelectorEventLoop):
    """An event loop on a clock of its own: it stands while there is work, then moves to the next timer.

    What happens in a second of this clock does not depend on the speed of the machine.
    """

    def __init__(self) -> None:
        self._clock_s = 1000.0
        super().__init__(StepClockSelector(self))

    def time(self) -> float:
        """Seconds on the loop's own clock."""
        return self._clock_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._clock_s += seconds


class StepClockSelector(selectors.DefaultSelector):
    """Moves the clock of its loop instead of waiting for a timer."""

    def __init__(self, loop: StepClockLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the input that is there; without any, move the clock by the timeout."""
        if not timeout:
            return super().select(timeout)
        if not (ready := super().select(SETTLE_S)):
            self._loop.advance(timeout)
        return ready


LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
STEP_CLOCK = "step clock"


def run(work: Work, loop: str = "uvloop") -> None:
    """Run a test on the event loop that the agent uses in service, or on another one by name."""
    with asyncio.Runner(loop_factory=StepClockLoop if loop == STEP_CLOCK else LOOPS[loop]) as runner:
        runner.run(work())


def wait_until_arrived(is_there: Callable[[], bool]) -> None:
    """Wait, without running the event loop, until the kernel has delivered what was sent."""
    for _ in range(5000):
        if is_there():
            return
        select.select([], [], [], 0.001)
    raise AssertionError("the data sent has not arrived")


async def until(true: Callable[[], object]) -> None:
    """Wait until a condition holds; fails after a timeout."""
    async with asyncio.timeout(20):
        while not true():
            await asyncio.sleep(0.001)


async def open_idle_connections(rig: Rig) -> int:
    """Open an idle connection to each appliance, reusable at once; returns the number of requests that took."""
    rig.node.pool.min_reuse_idle_s = 0.0
    while not all(one.got for one in rig.appliances):
        assert await rig.exchange(rig.encode_request())
    for writer in rig.writers:
        writer.close()
    await rig.until(lambda: not rig.node.front.clients)
    return sum(len(one.got) for one in rig.appliances)


def hold_requests(rig: Rig) -> list[tuple[asyncio.StreamWriter, bytes]]:
    """Make all appliances hold their requests; the list returned has the connection and id of each."""
    held: list[tuple[asyncio.StreamWriter, bytes]] = []
    for one in rig.appliances:
        one.behave = lambda _, writer, words: held.append((writer, words[2]))
    return held


@contextmanager
def front_clock_at(front: Front, now: float) -> Iterator[None]:
    """Set the clock of a front to a fixed time."""
    true = Front.now
    Front.now = lambda self: now if self is front else true(self)  # type: ignore[method-assign]
    try:
        yield
    finally:
        Front.now = true  # type: ignore[method-assign]


class ConnectGate:
    """Delays connections to a rig's appliances until `open` is set; `waiting` lists their addresses in order."""

    def __init__(self, rig: Rig) -> None:
        self.open, self.waiting = asyncio.Event(), list[str]()
        self._kept, self._true = {one.address for one in rig.appliances}, connection_pool.open_connection

    def __enter__(self) -> ConnectGate:
        connection_pool.open_connection = self._connect
        return self

    def __exit__(self, *_: object) -> None:
        connection_pool.open_connection = self._true

    async def _connect(self, host: str, port: int, **more: Any) -> Any:
        if f"{host}:{port}" in self._kept:
            self.waiting.append(f"{host}:{port}")
            await self.open.wait()
        return await self._true(host, port, **more)


class BlockingAppliance:
    """An appliance on blocking sockets, for steps that must not run the agent's event loop.

    `receive_buffer` bounds what its host takes before it reads, in bytes; 0 for the kernel's own bound.
    """

    def __init__(self, receive_buffer: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.address = "{}:{}".format(*self.listener.getsockname())

    async def accept(self) -> socket.socket:
        """Accept the next connection and return it as a blocking socket."""
        self.listener.setblocking(False)
        async with asyncio.timeout(20):
            conn, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return conn

    def close(self) -> None:
        self.listener.close()


class PoolCalls:
    """A connection pool without an agent, and the ends of its calls."""

    def __init__(self) -> None:
        self.pool = Pool(5.0, 60.0, RespCodec([]), silent())
        self.ends: list[End] = []

    def call(self, address: str, payload: bytes = b"*1\r\n$1\r\nx\r\n", limit_s: float = math.inf) -> Call:
        """Make a call; it is called off if it is not delivered within `limit_s`."""
        now = asyncio.get_running_loop().time()
        return self.pool.call(
            address,
            b"1-0",
            lambda: payload,
            now + 60,
            lambda call, end, got: self.ends.append(end),
            now + limit_s,
        )

    async def answered(self, plain: BlockingAppliance) -> socket.socket:
        """Make a call and answer it; returns the appliance's side of the connection, which is then idle."""
        self.call(plain.address)
        conn = await plain.accept()
        await asyncio.get_running_loop().sock_recv(conn, 100)
        conn.setblocking(True)
        conn.sendall(served(b"first"))
        await until(lambda: self.ends)
        return conn
