"""An asyncio event loop on simulated time with an in-memory network, for hundreds of agents with unchanged code.

Time advances only when no callback is ready, and then to the next timer; running code takes no simulated time. A
run is reproducible from its seed. Streams keep the guarantees of asyncio transports (order, half-close, reset, flow
control); datagrams may be lost or reordered. The context of a callback names the machine that it belongs to: tasks
inherit the machine of their creator, do not run while it is paused, and never run again once it is killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import inspect
import random
import sys
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

T = TypeVar("T")
SOCKET_BUFFER_BYTES = 131_072  # kernel buffers of both ends: bytes accepted before the writer's own buffer fills
MAX_TURNS_AT_ONE_TIME = 200_000  # turns of the loop without an advance of time, after which a run is aborted


class NoProgressError(RuntimeError):
    """The run cannot finish: no callback is scheduled, or time does not advance."""


class RealIOError(RuntimeError):
    """Simulated code tried to use a real socket, file, process or thread."""


@dataclass(eq=False, slots=True)
class Machine:
    """A simulated host; `zone` determines the network conditions between machines."""

    name: str
    zone: str = ""
    paused: bool = False
    dead: bool = False
    backlog: deque[asyncio.Handle] = field(default_factory=deque)
    transports: dict[_StreamTransport, None] = field(default_factory=dict)
    servers: dict[SimServer, None] = field(default_factory=dict)
    sockets: dict[_DatagramTransport, None] = field(default_factory=dict)


DEFAULT_MACHINE = Machine("world")
CURRENT_MACHINE: contextvars.ContextVar[Machine] = contextvars.ContextVar("machine", default=DEFAULT_MACHINE)


@dataclass(slots=True)
class Network:
    """Conditions of the network; may be changed during a run."""

    delay_s: float = 50e-6
    jitter_s: float = 0.0
    loss: float = 0.0  # share of datagrams
    bytes_per_s: float = 1.25e9
    cuts: dict[tuple[str, str], None] = field(default_factory=dict)  # source and target zones without traffic

    def is_cut(self, source: str, target: str) -> bool:
        """Whether the link from one zone to the other drops everything."""
        return (source, target) in self.cuts


def _close_unstarted_task(handle: asyncio.Handle) -> None:
    """Close the coroutine of a task that was created just before the kill and never started."""
    task = getattr(handle._callback, "__self__", None)  # type: ignore[attr-defined]
    if isinstance(task, asyncio.Task):
        coroutine = task.get_coro()
        if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
            coroutine.close()


class _Handle(asyncio.Handle):
    """A callback of a machine, deferred if the machine is paused and dropped if it was killed."""

    def _run(self) -> None:
        machine: Machine = self._context.get(CURRENT_MACHINE, DEFAULT_MACHINE)  # type: ignore[attr-defined]
        if machine.paused:
            machine.backlog.append(self)
        elif machine.dead:
            _close_unstarted_task(self)
        else:
            super()._run()


class _Timer(_Handle, asyncio.TimerHandle):
    """A timer of a machine; timers due at the same time run in the order in which they were set."""

    number = 0

    def __lt__(self, other: object) -> bool:
        """Order by time, then by number."""
        assert isinstance(other, _Timer)
        own_time, other_time = self._when, other._when  # type: ignore[attr-defined]
        return bool(own_time < other_time or (own_time == other_time and self.number < other.number))


class _SimSelector:
    """Replaces the selector of the loop: instead of waiting it advances simulated time."""

    def __init__(self, loop: SimLoop) -> None:
        self._loop, self._turns_at_one_time = loop, 0

    def select(self, timeout: float | None) -> list[Any]:
        """Advance time to the next timer, unless a callback is ready."""
        loop = self._loop
        if timeout is None:
            raise NoProgressError("nothing is left to run")
        scheduled = loop._scheduled  # type: ignore[attr-defined]
        if timeout > 0 and scheduled:
            loop.now = max(loop.now, scheduled[0]._when)
            self._turns_at_one_time = 0
        else:
            self._turns_at_one_time += 1
            if self._turns_at_one_time > MAX_TURNS_AT_ONE_TIME:
                ready = [
                    repr(getattr(handle._callback, "__self__", handle))[:300]
                    for handle in list(loop._ready)[:3]  # type: ignore[attr-defined]
                ]
                raise NoProgressError(f"time does not advance beyond {loop.now}: {ready}")
        loop.turns += 1
        return []

    def close(self) -> None:
        """Nothing to close."""


class _ListenerSocket:
    """The part of a listening socket's interface that programs use."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        """Host and port of the listener."""
        return self._address


class SimServer(asyncio.AbstractServer):
    """A listener on the simulated network."""

    def __init__(self, loop: SimLoop, factory: Callable[[], Any], address: tuple[str, int]) -> None:
        self.loop, self.factory, self.address = loop, factory, address
        self.context = contextvars.copy_context()
        self.machine = CURRENT_MACHINE.get()
        self.machine.servers[self] = None
        self.sockets: tuple[_ListenerSocket, ...] = (_ListenerSocket(address),)

    def close(self) -> None:
        """Stop listening; established connections stay open."""
        self.loop.listeners.pop(self.address, None)
        self.machine.servers.pop(self, None)
        self.sockets = ()

    def is_serving(self) -> bool:
        """Whether the listener accepts connections."""
        return bool(self.sockets)

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time."""

    async def start_serving(self) -> None:
        """Do nothing: the listener serves from its creation."""

    async def serve_forever(self) -> None:
        """Not supported."""
        raise NotImplementedError

    def get_loop(self) -> SimLoop:
        """The loop of the listener."""
        return self.loop


class _StreamTransport(asyncio.Transport):
    """One end of a simulated connection."""

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
        self.machine: Machine = context.get(CURRENT_MACHINE, DEFAULT_MACHINE)
        self.machine.transports[self] = None
        self.remote: _StreamTransport
        self.last_arrival_at = 0.0  # arrival time of the last segment sent
        self.undelivered_bytes = 0  # sent, but not yet passed to the remote protocol
        self.inbox: deque[bytes | None] = deque()  # arrived while reading was paused; None is the end of the stream
        self.reading, self.eof_sent, self.closing, self.lost, self.write_paused = True, False, False, False, False
        self.high_water, self.low_water = 65536, 16384

    # --- transport interface ---
    def write(self, data: Any) -> None:
        """Send data."""
        if self.eof_sent:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self.closing or not data:
            return
        self.undelivered_bytes += len(data)
        self._transmit(bytes(data))
        if not self.write_paused and self.get_write_buffer_size() > self.high_water:
            self.write_paused = True
            self.protocol.pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        """Send a list of buffers."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """Close the sending side; reading continues."""
        if not self.eof_sent and not self.closing:
            self.eof_sent = True
            self._transmit(None)

    def can_write_eof(self) -> bool:
        """Half-close is supported."""
        return True

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel buffers of both ends do not hold."""
        return max(0, self.undelivered_bytes - SOCKET_BUFFER_BYTES)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits at which the protocol is paused and resumed."""
        self.high_water = 65536 if high is None else high
        self.low_water = self.high_water // 4 if low is None else low

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """The low and the high limit."""
        return self.low_water, self.high_water

    def pause_reading(self) -> None:
        """Queue arriving data."""
        self.reading = False

    def resume_reading(self) -> None:
        """Deliver queued data and continue reading."""
        if not self.reading:
            self.reading = True
            self.loop.call_soon(self._drain, context=self.context)

    def is_reading(self) -> bool:
        """Whether arriving data is delivered."""
        return self.reading and not self.closing

    def is_closing(self) -> bool:
        """Whether the connection was closed or lost."""
        return self.closing

    def set_protocol(self, protocol: Any) -> None:
        """Replace the protocol."""
        self.protocol = protocol

    def get_protocol(self) -> Any:
        """The current protocol."""
        return self.protocol

    def close(self) -> None:
        """Send buffered data and the end of the stream; stop reading."""
        if self.closing:
            return
        self._close_socket()
        self.loop.call_soon(self._lose_connection, None, context=self.context)

    def abort(self) -> None:
        """Close the connection. Same as `close`, as the kernel already holds all written data."""
        self.close()

    def _close_socket(self) -> None:
        """Close the socket: reset the connection if bytes are unread (RFC 1122, 4.2.2.13), else end the stream."""
        if any(self.inbox):
            self._send_reset()
        elif not self.eof_sent:
            self.write_eof()
        self.closing = True

    # --- transmission ---
    def _transmit(self, data: bytes | None) -> None:
        loop = self.loop
        size = len(data) if data else 40
        self.last_arrival_at = max(
            self.last_arrival_at, loop.now + loop.delay(self.machine, self.remote.machine, size)
        )
        self._schedule(data)

    def _schedule(self, data: bytes | None) -> None:
        self.loop.call_at(self.last_arrival_at, self.remote._arrive, data, context=self.remote.context)

    def _arrive(self, data: bytes | None) -> None:
        remote = self.remote
        if self.loop.network.is_cut(remote.machine.zone, self.machine.zone):
            # retransmit every 0.2 s until the link is no longer cut
            remote.last_arrival_at = max(remote.last_arrival_at, self.loop.now + 0.2)
            return remote._schedule(data)
        if self.closing:
            if data:
                self._send_reset()
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
        self.remote._acknowledge(len(data))
        if isinstance(self.protocol, asyncio.BufferedProtocol):
            return self._fill_buffers(self.protocol, data)
        self.protocol.data_received(data)

    def _fill_buffers(self, protocol: asyncio.BufferedProtocol, data: bytes) -> None:
        """Deliver data in pieces of the size that the protocol offers; the rest waits if it pauses."""
        while data and not self.closing:
            if not self.reading:
                self.remote.undelivered_bytes += len(data)
                self.inbox.appendleft(data)
                return
            buffer = memoryview(protocol.get_buffer(-1))
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            data = data[size:]
            protocol.buffer_updated(size)

    def _acknowledge(self, size: int) -> None:
        self.undelivered_bytes -= size
        if self.write_paused and self.get_write_buffer_size() <= self.low_water:
            self.write_paused = False
            self.loop.call_soon(self.protocol.resume_writing, context=self.context)

    def _send_reset(self) -> None:
        remote, loop = self.remote, self.loop
        at = loop.now + loop.delay(self.machine, remote.machine, 40)
        loop.call_at(at, remote._reset, context=remote.context)

    def _reset(self) -> None:
        if not self.closing:
            self.closing = True
            self._lose_connection(ConnectionResetError("connection reset by peer"))

    def _lose_connection(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.inbox.clear()
            self.machine.transports.pop(self, None)
            self.protocol.connection_lost(error)


class _DatagramTransport(asyncio.DatagramTransport):
    """A simulated datagram socket."""

    def __init__(self, loop: SimLoop, protocol: Any, own: tuple[str, int], peer: tuple[str, int] | None) -> None:
        super().__init__({"sockname": own, "peername": peer})
        self.loop, self.protocol, self.own, self.peer = loop, protocol, own, peer
        self.context, self.machine, self.closed = contextvars.copy_context(), CURRENT_MACHINE.get(), False
        self.machine.sockets[self] = None

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram; a loss is not reported."""
        to = addr or self.peer
        assert to is not None
        loop, target = self.loop, self.loop.datagrams.get((str(to[0]), int(to[1])))
        if self.closed or target is None or loop.rng.random() < loop.network.loss:
            return
        if not loop.network.is_cut(self.machine.zone, target.machine.zone):
            at = loop.now + loop.delay(self.machine, target.machine, len(data))
            loop.call_at(at, target._arrive, bytes(data), self.own, context=target.context)

    def _arrive(self, data: bytes, source: tuple[str, int]) -> None:
        if not self.closed:
            self.protocol.datagram_received(data, source)

    def is_closing(self) -> bool:
        """Whether the socket was closed."""
        return self.closed

    def close(self) -> None:
        """Close the socket; later datagrams to it are dropped."""
        if not self.closed:
            self.closed = True
            self.loop.datagrams.pop(self.own, None)
            self.machine.sockets.pop(self, None)
            self.loop.call_soon(self.protocol.connection_lost, None, context=self.context)

    abort = close


class SimLoop(asyncio.BaseEventLoop):
    """The simulated event loop; `now` is the simulated time in seconds."""

    def __init__(self, seed: int, network: Network | None = None) -> None:
        super().__init__()
        self.rng, self.network = random.Random(seed), network or Network()
        self.started_at = self.now = 1000.0
        self.turns = self._timer_count = 0
        self._selector = _SimSelector(self)
        self._clock_resolution = 1e-9
        self.listeners: dict[tuple[str, int], SimServer] = {}
        self.datagrams: dict[tuple[str, int], _DatagramTransport] = {}
        self._last_port = 20000
        self._task_count = 0
        self._tasks: weakref.WeakValueDictionary[int, asyncio.Task[Any]] = weakref.WeakValueDictionary()
        self.program_errors: list[str] = []
        self.set_exception_handler(self._record_error)

    def _record_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if "was destroyed but it is pending" not in context["message"]:  # expected for tasks of killed machines
            self.program_errors.append(f"{self.now:.3f}: {context['message']}: {error!r}")

    # --- hooks of BaseEventLoop ---
    def time(self) -> float:
        """The simulated time in seconds."""
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
        """Schedule a callback on the machine of its context."""
        return self._call_soon(callback, args, context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a simulated time."""
        timer = _Timer(when, callback, args, self, context)
        self._timer_count += 1
        timer.number = self._timer_count
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a simulated delay."""
        return self.call_at(self.now + delay, callback, *args, context=context)

    # --- tasks ---
    def create_task(  # type: ignore[override]
        self, work: Coroutine[Any, Any, T], **options: Any
    ) -> asyncio.Task[T]:
        """Start a task, as BaseEventLoop does."""
        task = super().create_task(work, **options)
        self._task_count += 1
        self._tasks[self._task_count] = task
        return task

    def unfinished_tasks(self) -> list[asyncio.Task[Any]]:
        """All tasks that are not done, in the order of their start; `asyncio.all_tasks` has no order."""
        return [task for task in list(self._tasks.values()) if not task.done()]

    # --- machines ---
    def pause(self, machine: Machine, on: bool) -> None:
        """Pause or resume a machine. While paused its callbacks are deferred, its connections and data are kept."""
        machine.paused = on
        if not on:
            backlog, machine.backlog = machine.backlog, deque()
            self._ready.extend(backlog)  # type: ignore[attr-defined]

    def kill(self, machine: Machine, silent: bool = False) -> None:
        """Kill a machine's process. With `silent` its peers are not notified, as in a power failure."""
        machine.dead = True
        machine.backlog.clear()
        for server in list(machine.servers):
            self.listeners.pop(server.address, None)
        for socket in list(machine.sockets):
            self.datagrams.pop(socket.own, None)
        for transport in list(machine.transports):
            if not silent and not transport.closing:
                transport._close_socket()
            transport.closing = True

    async def run_on(self, machine: Machine, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on a machine, to which all tasks that it starts belong, too."""
        context = contextvars.copy_context()
        context.run(CURRENT_MACHINE.set, machine)
        return await self.create_task(work, context=context)

    # --- network ---
    def delay(self, source: Machine, target: Machine, size: int) -> float:
        """Network delay in seconds for a message of `size` bytes."""
        network = self.network
        jitter = self.rng.random() * network.jitter_s if network.jitter_s else 0.0
        return network.delay_s + jitter + size / network.bytes_per_s

    def allocate_port(self) -> int:
        """Return an unused port."""
        self._last_port += 1
        return self._last_port

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Any,
        host: Any = None,
        port: Any = None,
        **_: Any,
    ) -> SimServer:
        """Create a listener; raises OSError when the address is in use."""
        address = str(host), int(port or 0) or self.allocate_port()
        if address in self.listeners:
            raise OSError(98, f"address {address} is in use")
        self.listeners[address] = SimServer(self, protocol_factory, address)
        return self.listeners[address]

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> tuple[_StreamTransport, Any]:
        """Connect, or raise ConnectionRefusedError if nobody listens. While the link is cut it retries."""
        source, address = CURRENT_MACHINE.get(), (str(host), int(port))
        while True:
            server = self.listeners.get(address)
            target = server.machine if server else DEFAULT_MACHINE
            out = self.delay(source, target, 40)
            there_and_back = out + self.delay(target, source, 40)
            await asyncio.sleep(there_and_back)
            cut = self.network.is_cut(source.zone, target.zone) or self.network.is_cut(target.zone, source.zone)
            server = self.listeners.get(address)
            if cut:
                await asyncio.sleep(1.0)  # initial retransmission timeout (RFC 6298, 2.1)
            elif server is None:
                raise ConnectionRefusedError(111, f"connect to {address} refused")
            else:
                break
        own = "127.0.0.1", self.allocate_port()
        near_protocol = protocol_factory()
        near = _StreamTransport(self, near_protocol, contextvars.copy_context(), own, address)
        far = _StreamTransport(self, None, server.context, address, own)
        near.remote, far.remote = far, near

        def accept() -> None:
            far.protocol = server.factory()
            far.protocol.connection_made(far)

        self.call_soon(accept, context=server.context)
        near_protocol.connection_made(near)
        return near, near_protocol

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **_: Any
    ) -> tuple[_DatagramTransport, Any]:
        """Create a datagram socket; raises OSError when the address is in use."""
        own = (
            (str(local_addr[0]), int(local_addr[1]) or self.allocate_port())
            if local_addr
            else ("127.0.0.1", self.allocate_port())
        )
        if own in self.datagrams:
            raise OSError(98, f"address {own} is in use")
        protocol = protocol_factory()
        self.datagrams[own] = _DatagramTransport(self, protocol, own, remote_addr)
        protocol.connection_made(self.datagrams[own])
        return self.datagrams[own], protocol


_active_simulations = 0
_audit_hook_installed = False


def _forbid_real_io(event: str, args: tuple[Any, ...]) -> None:
    if not _active_simulations:
        return
    if event.startswith("socket.") and event not in ("socket.gethostname",):
        raise RealIOError(f"{event} is not allowed in a simulation")
    if event == "open" and isinstance(args[1], str) and set(args[1]) & set("wax+"):
        raise RealIOError(f"{args[0]!r} opened for writing in a simulation")
    if event in ("subprocess.Popen", "os.fork", "os.posix_spawn", "_thread.start_new_thread"):
        raise RealIOError(f"{event} is not allowed in a simulation")


def _close_pending_tasks(loop: SimLoop) -> None:
    """Close unfinished tasks of killed machines now: garbage collection would close them at an arbitrary time."""
    asyncio._set_running_loop(loop)
    try:
        closed = set[asyncio.Task[Any]]()
        while tasks := [t for t in loop.unfinished_tasks() if t not in closed]:  # closing a task may start others
            for task in tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                with contextlib.suppress(Exception):
                    task.get_coro().close()
            closed.update(tasks)
    finally:
        asyncio._set_running_loop(None)


def simulate(work: Coroutine[Any, Any, T], seed: int, network: Network | None = None) -> tuple[T, SimLoop]:
    """Run on simulated time until `work` is done.

    Raises NoProgressError if it can never finish, and RealIOError if it tries real I/O.
    """
    global _active_simulations, _audit_hook_installed
    loop = SimLoop(seed, network)
    if not _audit_hook_installed:
        sys.addaudithook(_forbid_real_io)  # stays installed: Python cannot remove audit hooks
        _audit_hook_installed = True
    _active_simulations += 1
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(work), loop
    finally:
        _active_simulations -= 1
        asyncio.set_event_loop(None)
        _close_pending_tasks(loop)
        loop.close()
