"""The listener for clients: accepts RESP connections and passes their requests to the runtime.

It answers on its own only what never becomes a request: malformed input, unknown names, an id that is already in
use, and input over a limit. Every other command gets exactly one answer from the decision module.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.input_budget import MAX_READ_BYTES, InputBudget
from otterquay.agent.ports import RequestHandler
from otterquay.agent.sockets import has_unread_data
from otterquay.agent.stall_detector import HEARTBEAT_S, StallDetector
from otterquay.logs import Logger
from otterquay.node.client import ClientConnection
from otterquay.node.connection_drain import CLOSE_INTERVAL_S, QUIET_PERIOD_S, ConnectionDrain, idle_connections
from otterquay.node.request_ids import RequestIds
from otterquay.node.request_reader import RequestReader
from otterquay.ordered_set import OrderedSet
from otterquay.protocol import resp

SWEEP_INTERVAL_S = 0.1


@dataclass(slots=True)
class Front:
    """The listener and its client connections, at most `max_clients` at a time."""

    listen: str
    settings: it.Settings
    request_handler: RequestHandler
    max_clients: int
    shed_above: int  # above it the longest idle client is closed: clients run out of connections before the agent
    input_budget: InputBudget
    log: Logger
    clients: OrderedSet[ClientConnection] = field(default_factory=OrderedSet)
    ids: RequestIds = field(default_factory=RequestIds)
    stall_detector: StallDetector = field(default_factory=lambda: StallDetector(0.0))
    reader: RequestReader = field(init=False)
    # of all connections: what one read brings is taken out at once
    read_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(MAX_READ_BYTES)))
    _drain: ConnectionDrain | None = None
    _last_change: float = 0.0  # when a connection was last opened or closed
    _active_s: float = 0.0
    _last_sweep: float = 0.0
    _loop: asyncio.AbstractEventLoop | None = None
    _server: asyncio.Server | None = None
    _heartbeat_timer: asyncio.TimerHandle | None = None
    _sweep_timer: asyncio.TimerHandle | None = None
    _drain_timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.reader = RequestReader.from_settings(self.settings)

    def now(self) -> float:
        """Seconds on the event loop's clock."""
        assert self._loop
        return self._loop.time()

    def active_time(self) -> float:
        """Seconds in which the agent could read; a stall of the event loop must not time clients out."""
        return self._active_s + min(self.now() - self._last_sweep, 2 * SWEEP_INTERVAL_S)

    async def start(self) -> tuple[str, int]:
        """Start listening; returns the host and port bound. OSError if the address cannot be bound."""
        self._loop = loop = asyncio.get_running_loop()
        host, port = split_address(self.listen)
        self.stall_detector, self._last_sweep = StallDetector(loop.time()), loop.time()
        self._server = await loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)
        self._heartbeat()
        self._sweep()
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    @property
    def draining(self) -> bool:
        """Whether connections close while they are idle or with their answers."""
        return self._drain is not None

    @property
    def finishing(self) -> bool:
        """Whether no further request is taken, and each connection closes with its next answer."""
        return self._drain is not None and self._drain.finishing

    def drain(self) -> None:
        """Close idle connections that have been quiet, and the others after their answers.

        The listener stays open until `close`: a client whose request crossed the close of its connection retries on
        a new one.
        """
        self._last_change = self.now()
        self._drain = ConnectionDrain(self._last_change)
        self._close_due()

    def _close_due(self) -> None:
        assert self._loop
        assert self._drain
        self._drain.close_due(self.clients, self.now(), self.active_time())
        self._drain_timer = self._loop.call_later(CLOSE_INTERVAL_S, self._close_due)

    def finish(self, listener_until: float) -> None:
        """Close all connections before the listener closes, at this time on the event loop's clock.

        A connection in use until then would leave a request that crosses its end without a place to go.
        """
        if self._drain:
            self._drain.listener_until = listener_until

    def drained(self, quiet_s: float = QUIET_PERIOD_S) -> bool:
        """Whether no connection is left and none was opened or closed for this long."""
        return not self.clients and self.now() - self._last_change >= quiet_s

    def close(self) -> None:
        """Close the listener, then all connections."""
        if self._server:
            self._server.close()
        for timer in (self._heartbeat_timer, self._sweep_timer, self._drain_timer):
            if timer:
                timer.cancel()
        self._log_open_clients()
        for client in list(self.clients):
            client.close()

    def _log_open_clients(self) -> None:
        """Log which connections are open as the listener closes: a request that comes on one now is lost."""
        if not self.clients:
            return
        unread = sum(has_unread_data(client.transport) for client in self.clients)
        activities = Counter(client.activity() for client in self.clients)
        self.log.warning("closed_with_clients_open", open=len(self.clients), unread=unread, **activities)

    def add_client(self, client: ClientConnection) -> None:
        """Register a new connection; shed one if there are too many."""
        self._last_change = self.now()
        self.clients.add(client)
        if len(self.clients) > self.shed_above:
            self.shed(client)

    def remove_client(self, client: ClientConnection) -> None:
        """Unregister a closed connection."""
        self._last_change = self.now()
        self.clients.discard(client)

    def shed(self, newest: ClientConnection) -> None:
        """Close the longest idle connection, or the new one if the limit is reached and no other is idle.

        One that came in a drain and has brought nothing yet may be needed for a request that crossed a close, so it
        is closed at the limit only.
        """
        at_limit = len(self.clients) > self.max_clients
        idle_before = self.active_time() - (0.0 if at_limit else QUIET_PERIOD_S)
        candidates = [
            client
            for client in self.clients
            if client.idle_since < idle_before
            and client is not newest
            and (at_limit or not client.awaits_first_request)
        ]
        client = next(idle_connections(candidates), newest)
        if client is newest and not at_limit:
            return
        self.log.info("client_shed", open=len(self.clients), new=client is newest)
        self.clients.discard(client)
        if client is newest:
            client.transport.write(resp.encode_error("ERR max number of clients reached"))
        client.close()

    def _heartbeat(self) -> None:
        assert self._loop
        self.stall_detector.heartbeat(self.now())
        self._heartbeat_timer = self._loop.call_later(HEARTBEAT_S, self._heartbeat)

    def _sweep(self) -> None:
        """Check the timeouts of all clients with a single timer."""
        assert self._loop
        self._active_s, self._last_sweep = self.active_time(), self.now()
        for client in list(self.clients):
            client.check_timeouts(self._active_s)
        self.input_budget.resume_overdue(self.now())
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
