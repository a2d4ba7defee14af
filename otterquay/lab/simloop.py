"""An event loop on simulated time with a network in memory: unchanged program code, by the hundred agents.

Time moves only when nothing is ready, and then to the next timer; code takes no time. One seed gives one run.
Streams keep what the transports of asyncio promise (order, half-close, reset, flow control); datagrams may be lost
and overtake each other. Which machine code belongs to is told by its context: what a machine starts is its own,
stands still while it is paused, and never runs again once it is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import inspect
import random
import sys
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

T = TypeVar("T")
WINDOW = 131_072  # bytes that a connection takes before its writer sees them waiting: both kernels' buffers
STILL_MOST = 200_000  # turns without time moving after which a run counts as one that does not end


class NoProgressError(RuntimeError):
    """Nothing is left that could happen, or time does not move."""


class RealIOError(RuntimeError):
    """Code under simulation reached for a real socket or file."""


@dataclass(eq=False, slots=True)
class Machine:
    """Where code runs; `zone` decides on the network between machines."""

    name: str
    zone: str = ""
    paused: bool = False
    dead: bool = False
    backlog: deque[asyncio.Handle] = field(default_factory=deque)
    transports: dict[_Stream, None] = field(default_factory=dict)
    servers: dict[SimServer, None] = field(default_factory=dict)
    sockets: dict[_Datagrams, None] = field(default_factory=dict)


HOME = Machine("world")
MACHINE: contextvars.ContextVar[Machine] = contextvars.ContextVar("machine", default=HOME)


@dataclass(slots=True)
class Network:
    """What the wires between two zones do; set at any time. Seconds and shares."""

    delay_s: float = 50e-6
    jitter_s: float = 0.0
    loss: float = 0.0  # of datagrams
    bytes_per_s: float = 1.25e9
    cuts: dict[tuple[str, str], None] = field(default_factory=dict)  # from zone, to zone: nothing crosses

    def cut(self, source: str, target: str) -> bool:
        """Whether nothing crosses from one zone to the other."""
        return (source, target) in self.cuts


def _bury(handle: asyncio.Handle) -> None:
    """A task that was made in the moment of the kill never begins."""
    task = getattr(handle._callback, "__self__", None)  # type: ignore[attr-defined]
    if isinstance(task, asyncio.Task):
        coroutine = task.get_coro()
        if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
            coroutine.close()


class _Handle(asyncio.Handle):
    """A callback of a machine, which may be paused or dead when its turn comes."""

    def _run(self) -> None:
        machine: Machine = self._context.get(MACHINE, HOME)  # type: ignore[attr-defined]
        if machine.paused:
            machine.backlog.append(self)
        elif machine.dead:
            _bury(self)
        else:
            super()._run()


class _Timer(_Handle, asyncio.TimerHandle):
    """The same with a time; of those due at one instant the first that was set comes first."""

    number = 0

    def __lt__(self, other: object) -> bool:
        """Order in the heap."""
        assert isinstance(other, _Timer)
        mine, others = self._when, other._when  # type: ignore[attr-defined]
        return bool(mine < others or (mine == others and self.number < other.number))


class _Idle:
    """In a selector's place: waiting moves time."""

    def __init__(self, loop: SimLoop) -> None:
        self._loop, self._still = loop, 0

    def select(self, timeout: float | None) -> list[Any]:
        """Move time to the next timer, unless something is ready."""
        loop = self._loop
        if timeout is None:
            raise NoProgressError("nothing is left to happen")
        scheduled = loop._scheduled  # type: ignore[attr-defined]
        if timeout > 0 and scheduled:
            loop.now = max(loop.now, scheduled[0]._when)
            self._still = 0
        else:
            self._still += 1
            if self._still > STILL_MOST:
                ready = [
                    repr(getattr(handle._callback, "__self__", handle))[:300]
                    for handle in list(loop._ready)[:3]  # type: ignore[attr-defined]
                ]
                raise NoProgressError(f"time does not move beyond {loop.now}: {ready}")
        loop.turns += 1
        return []

    def close(self) -> None:
        """Nothing to close."""


class _Name:
    """A listener's socket as far as programs look at it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        """Host and port."""
        return self._address


class SimServer(asyncio.AbstractServer):
    """A listener."""

    def __init__(self, loop: SimLoop, factory: Callable[[], Any], address: tuple[str, int]) -> None:
        self.loop, self.factory, self.address = loop, factory, address
        self.context = contextvars.copy_context()
        self.machine = MACHINE.get()
        self.machine.servers[self] = None
        self.sockets: tuple[_Name, ...] = (_Name(address),)

    def close(self) -> None:
        """Listen no more; connections stay."""
        self.loop.listeners.pop(self.address, None)
        self.machine.servers.pop(self, None)
        self.sockets = ()

    def is_serving(self) -> bool:
        """Whether it listens."""
        return bool(self.sockets)

    async def wait_closed(self) -> None:
        """Done at once."""

    async def start_serving(self) -> None:
        """It does from the start."""

    async def serve_forever(self) -> None:
        """Not for program code, which closes what it opens."""
        raise NotImplementedError

    def get_loop(self) -> SimLoop:
        """Its loop."""
        return self.loop


class _Stream(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        loop: SimLoop,
        protocol: Any,
        context: contextvars.Context,
        own: tuple[str, int],
        peer: tuple[str, int],
    ) -> None:
        super().__init__({"peername": peer, "sockname": own})
        self.loop, self.protocol, self.context = loop, protocol, context
        self.machine: Machine = context.get(MACHINE, HOME)
        self.machine.transports[self] = None
        self.other: _Stream
        self.arrives = 0.0  # when the last that was sent gets there
        self.unread = 0  # bytes sent that the other end's protocol has not got
        self.inbox: deque[bytes | None] = deque()  # arrived while reading is paused; None is the end
        self.reading, self.eof_sent, self.closing, self.lost, self.stopped = True, False, False, False, False
        self.high, self.low = 65536, 16384

    # --- what programs call ---
    def write(self, data: Any) -> None:
        """Send."""
        if self.eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self.closing or not data:
            return
        self.unread += len(data)
        self._carry(bytes(data))
        if not self.stopped and self.get_write_buffer_size() > self.high:
            self.stopped = True
            self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """Send all."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Send nothing more; reading goes on."""
        if not self.eof_sent and not self.closing:
            self.eof_sent = True
            self._carry(None)

    def can_write_eof(self) -> bool:
        """Half-close works."""
        return True

    def get_write_buffer_size(self) -> int:
        """Bytes beyond what both kernels hold."""
        return max(0, self.unread - WINDOW)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Where the protocol is paused and resumed."""
        self.high = 65536 if high is None else high
        self.low = self.high // 4 if low is None else low

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Low and high."""
        return self.low, self.high

    def pause_reading(self) -> None:
        """Let arrivals wait."""
        self.reading = False

    def resume_reading(self) -> None:
        """Take what waits."""
        if not self.reading:
            self.reading = True
            self.loop.call_soon(self._drain, context=self.context)

    def is_reading(self) -> bool:
        """Whether arrivals are taken."""
        return self.reading and not self.closing

    def is_closing(self) -> bool:
        """Whether it was closed or lost."""
        return self.closing

    def set_protocol(self, protocol: Any) -> None:
        """Another protocol from now on."""
        self.protocol = protocol

    def get_protocol(self) -> Any:
        """The protocol."""
        return self.protocol

    def close(self) -> None:
        """Send what was written, then the end; reading stops."""
        if self.closing:
            return
        self._end()
        self.loop.call_soon(self._lose, None, context=self.context)

    def abort(self) -> None:
        """Close now. The kernels have taken all that was written, so it differs from a close in nothing."""
        self.close()

    def _end(self) -> None:
        """The socket is closed: unread bytes reset the connection (RFC 1122, 4.2.2.13), else its end is sent."""
        if any(self.inbox):
            self._tell_reset()
        elif not self.eof_sent:
            self.write_eof()
        self.closing = True

    # --- the wire ---
    def _carry(self, data: bytes | None) -> None:
        loop = self.loop
        size = len(data) if data else 40
        self.arrives = max(self.arrives, loop.now + loop.delay(self.machine, self.other.machine, size))
        self._schedule(data)

    def _schedule(self, data: bytes | None) -> None:
        self.loop.call_at(self.arrives, self.other._arrive, data, context=self.other.context)

    def _arrive(self, data: bytes | None) -> None:
        other = self.other
        if self.loop.network.cut(other.machine.zone, self.machine.zone):
            other.arrives = max(other.arrives, self.loop.now + 0.2)  # sent again until it gets through
            return other._schedule(data)
        if self.closing:
            if data:
                self._tell_reset()
            return
        if not self.reading or self.inbox:
            self.inbox.append(data)
        else:
            self._deliver(data)

    def _drain(self) -> None:
        while self.inbox and self.reading and not self.closing:
            self._deliver(self.inbox.popleft())

    def _deliver(self, data: bytes | None) -> None:
        if data is None:
            if not self.protocol.eof_received():
                self.close()
            return
        self.other._taken(len(data))
        self.protocol.data_received(data)

    def _taken(self, size: int) -> None:
        self.unread -= size
        if self.stopped and self.get_write_buffer_size() <= self.low:
            self.stopped = False
            self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def _tell_reset(self) -> None:
        other, loop = self.other, self.loop
        at = loop.now + loop.delay(self.machine, other.machine, 40)
        loop.call_at(at, other._reset, context=other.context)

    def _reset(self) -> None:
        if not self.closing:
            self.closing = True
            self._lose(ConnectionResetError("connection reset by peer"))

    def _lose(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.inbox.clear()
            self.machine.transports.pop(self, None)
            self.protocol.connection_lost(error)


class _Datagrams(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, loop: SimLoop, protocol: Any, own: tuple[str, int], peer: tuple[str, int] | None) -> None:
        super().__init__({"sockname": own, "peername": peer})
        self.loop, self.protocol, self.own, self.peer = loop, protocol, own, peer
        self.context, self.machine, self.closed = contextvars.copy_context(), MACHINE.get(), False
        self.machine.sockets[self] = None

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send; nobody learns what became of it."""
        to = addr or self.peer
        assert to is not None
        loop, target = self.loop, self.loop.datagrams.get((str(to[0]), int(to[1])))
        if self.closed or target is None or loop.rng.random() < loop.network.loss:
            return
        if not loop.network.cut(self.machine.zone, target.machine.zone):
            at = loop.now + loop.delay(self.machine, target.machine, len(data))
            loop.call_at(at, target._arrive, bytes(data), self.own, context=target.context)

    def _arrive(self, data: bytes, source: tuple[str, int]) -> None:
        if not self.closed:
            self.protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        """Whether it was closed."""
        return self.closed

    def close(self) -> None:
        """Take nothing more."""
        if not self.closed:
            self.closed = True
            self.loop.datagrams.pop(self.own, None)
            self.machine.sockets.pop(self, None)
            self.loop.call_soon(self.protocol.connection_lost, None, context=self.context)

    abort = close


class SimLoop(asyncio.BaseEventLoop):
    """The loop; `now` in seconds."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        super().__init__()
        self.rng, self.network = random.Random(seed), network or Network()
        self.begin = self.now = 1000.0
        self.turns = self._timers = 0
        self._selector = _Idle(self)
        self._clock_resolution = 1e-9
        self.listeners: dict[tuple[str, int], SimServer] = {}
        self.datagrams: dict[tuple[str, int], _Datagrams] = {}
        self._port = 20000
        self.program_errors: list[str] = []
        self.set_exception_handler(self._note_fault)

    def _note_fault(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if "was destroyed but it is pending" not in context["message"]:  # of machines that were killed
            self.program_errors.append(f"{self.now:.3f}: {context['message']}: {error!r}")

    # --- what BaseEventLoop asks of a loop ---
    def time(self) -> float:
        """Simulated seconds."""
        return self.now

    def _process_events(self, event_list: list[Any]) -> None: ...

    def _write_to_self(self) -> None: ...

    def _call_soon(self, callback: Any, args: Any, context: Any) -> asyncio.Handle:
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """As asyncio's; the context tells the machine."""
        return self._call_soon(callback, args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """As asyncio's."""
        timer = _Timer(when, callback, args, self, context)
        self._timers += 1
        timer.number = self._timers
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """As asyncio's."""
        return self.call_at(self.now + delay, callback, *args, context=context)

    # --- machines ---
    def pause(self, machine: Machine, on: bool) -> None:
        """Stand still: what falls due waits, connections and what arrives stay."""
        machine.paused = on
        if not on:
            backlog, machine.backlog = machine.backlog, deque()
            self._ready.extend(backlog)  # type: ignore[attr-defined]

    def kill(self, machine: Machine, silent: bool = False) -> None:
        """End a machine's process. With `silent` its peers hear nothing, as when the power fails."""
        machine.dead = True
        machine.backlog.clear()
        for server in list(machine.servers):
            self.listeners.pop(server.address, None)
        for socket in list(machine.sockets):
            self.datagrams.pop(socket.own, None)
        for transport in list(machine.transports):
            if not silent and not transport.closing:
                transport._end()
            transport.closing = True

    async def run_on(self, machine: Machine, work: Coroutine[Any, Any, T]) -> T:
        """Run on a machine; what it starts belongs there."""
        context = contextvars.copy_context()
        context.run(MACHINE.set, machine)
        return await self.create_task(work, context=context)

    # --- network ---
    def delay(self, source: Machine, target: Machine, size: int) -> float:
        """Seconds on the way."""
        network = self.network
        jitter = self.rng.random() * network.jitter_s if network.jitter_s else 0.0
        return network.delay_s + jitter + size / network.bytes_per_s

    def port(self) -> int:
        """A port that nobody has."""
        self._port += 1
        return self._port

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        **_: Any,
    ) -> SimServer:
        """Listen; OSError when the address is taken."""
        address = str(host), int(port or 0) or self.port()
        if address in self.listeners:
            raise OSError(98, f"address {address} is in use")
        self.listeners[address] = SimServer(self, protocol_factory, address)
        return self.listeners[address]

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> tuple[_Stream, Any]:
        """Connect; ConnectionRefusedError where nobody listens. Over a cut it waits until that heals."""
        source, address = MACHINE.get(), (str(host), int(port))
        while True:
            server = self.listeners.get(address)
            target = server.machine if server else HOME
            out = self.delay(source, target, 40)
            there_and_back = out + self.delay(target, source, 40)
            await asyncio.sleep(there_and_back)
            cut = self.network.cut(source.zone, target.zone) or self.network.cut(target.zone, source.zone)
            server = self.listeners.get(address)
            if cut:
                await asyncio.sleep(1.0)  # sent again (RFC 6298, 2.1)
            elif server is None:
                raise ConnectionRefusedError(111, f"connect to {address} refused")
            else:
                break
        own = "127.0.0.1", self.port()
        near_protocol = protocol_factory()
        near = _Stream(self, near_protocol, contextvars.copy_context(), own, address)
        far = _Stream(self, None, server.context, address, own)
        near.other, far.other = far, near

        def accept() -> None:
            far.protocol = server.factory()
            far.protocol.connection_made(far)

        self.call_soon(accept, context=server.context)
        near_protocol.connection_made(near)
        return near, near_protocol

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> tuple[_Datagrams, Any]:
        """A datagram socket; OSError when the address is taken."""
        own = (str(local_addr[0]), int(local_addr[1]) or self.port()) if local_addr else ("127.0.0.1", self.port())
        if own in self.datagrams:
            raise OSError(98, f"address {own} is in use")
        protocol = protocol_factory()
        self.datagrams[own] = _Datagrams(self, protocol, own, remote_addr)
        protocol.connection_made(self.datagrams[own])
        return self.datagrams[own], protocol


_guarded, _hooked = 0, False


def _audit(event: str, args: tuple[Any, ...]) -> None:
    if not _guarded:
        return
    if event.startswith("socket.") and event not in ("socket.gethostname",):
        raise RealIOError(f"{event} under simulation")
    if event == "open" and isinstance(args[1], str) and set(args[1]) & set("wax+"):
        raise RealIOError(f"{args[0]!r} opened to write under simulation")
    if event in ("subprocess.Popen", "os.fork", "os.posix_spawn", "_thread.start_new_thread"):
        raise RealIOError(f"{event} under simulation")


def _sweep(loop: SimLoop) -> None:
    """Close what killed machines left unfinished now, not whenever the collector comes to it."""
    asyncio._set_running_loop(loop)
    try:
        seen = set[asyncio.Task[Any]]()
        while tasks := asyncio.all_tasks(loop) - seen:  # what ends may begin something
            for task in tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                with contextlib.suppress(Exception):
                    task.get_coro().close()
            seen |= tasks
    finally:
        asyncio._set_running_loop(None)


def simulate(work: Coroutine[Any, Any, T], seed: int, network: Network | None = None) -> tuple[T, SimLoop]:
    """Run on simulated time until `work` is done. Stuck: it never would be. Outside: real I/O was tried."""
    global _guarded, _hooked
    loop = SimLoop(seed, network)
    if not _hooked:
        sys.addaudithook(_audit)  # stays for good: Python has no way to remove one
        _hooked = True
    _guarded += 1
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work), loop
    finally:
        _guarded -= 1
        asyncio.set_event_loop(None)
        _sweep(loop)
        loop.close()
