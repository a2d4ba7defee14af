"""The side towards clients: RESP commands in, one answer each, in the order of the commands.

It answers by itself only what never becomes a request: what cannot be read, unknown names, an id that is open, more
than its bounds. Everything else gets exactly one answer, from the module.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.ports import Taker
from otterquay.agent.standstill import BEAT_S, Standstill
from otterquay.logs import Logger
from otterquay.node.client import ClientConnection
from otterquay.node.request_reader import RequestReader
from otterquay.protocol import resp

QUIET_PERIOD_S = 0.1  # idle for less, a connection may be about to ask; none new for so long, none crosses a close
SWEEP_INTERVAL_S = 0.1
DRAIN_CLOSE_INTERVAL_S = 0.005  # between the closes of a drain


@dataclass(slots=True)
class Front:
    """The listener. `most` client connections are held at one time."""

    listen: str
    settings: it.Settings
    taker: Taker
    max_clients: int
    shed_above: int  # over so many, the idlest without a request ends: clients run out of connections before we do
    log: Logger
    clients: set[ClientConnection] = field(default_factory=set)
    ids: set[bytes] = field(default_factory=set)  # of open requests
    draining: bool = False
    stall_detector: Standstill = field(default_factory=lambda: Standstill(0.0))
    reader: RequestReader = field(init=False)
    _last_change: float = 0.0  # when a connection came or went last
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
        """Seconds of the loop's clock."""
        assert self._loop
        return self._loop.time()

    def active_time(self) -> float:
        """Seconds for which the agent could read: while it stood still, no client's patience with it ran out."""
        return self._active_s + min(self.now() - self._last_sweep, 2 * SWEEP_INTERVAL_S)

    async def start(self) -> tuple[str, int]:
        """Listen; returns host and port bound. OSError when the address cannot be had."""
        self._loop = loop = asyncio.get_running_loop()
        host, port = split_address(self.listen)
        self.stall_detector, self._last_sweep = Standstill(loop.time()), loop.time()
        self._server = await loop.create_server(lambda: ClientConnection(self), host, port, backlog=1024)
        self._heartbeat()
        self._sweep()
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def drain(self) -> None:
        """Idle connections close, once they are not about to ask; the others after their answers. The listener
        stays until `close`: a request that crosses the close of its connection comes once more on a new one."""
        self.draining, self._last_change = True, self.now()
        self._close_next_idle()

    def _close_next_idle(self) -> None:
        """Close the idlest connection that is not about to ask, one a turn: what comes between the look at a socket
        and its close crosses the close, and with many at once that takes long."""
        assert self._loop
        idle_before = self.active_time() - QUIET_PERIOD_S
        if client := self._idlest([c for c in self.clients if c.idle_since <= idle_before]):
            client.close()
        self._drain_timer = self._loop.call_later(DRAIN_CLOSE_INTERVAL_S, self._close_next_idle)

    def drained(self) -> bool:
        """Whether all connections have gone, and no new one has come for a moment."""
        return not self.clients and self.now() - self._last_change >= QUIET_PERIOD_S

    def close(self) -> None:
        """Close all that is still open, the listener first."""
        self.draining = True
        if self._server:
            self._server.close()
        for timer in (self._heartbeat_timer, self._sweep_timer, self._drain_timer):
            if timer:
                timer.cancel()
        for client in list(self.clients):
            client.close()

    def add_client(self, client: ClientConnection) -> None:
        """A connection takes a place."""
        self._last_change = self.now()
        self.clients.add(client)
        if len(self.clients) > self.shed_above:
            self.shed(client)

    def remove_client(self, client: ClientConnection) -> None:
        """It leaves its place."""
        self._last_change = self.now()
        self.clients.discard(client)

    def shed(self, newest: ClientConnection) -> None:
        """One too many: end the idlest, or the new one when all are at work and no more may be."""
        at_limit = len(self.clients) > self.max_clients
        idle_before = self.active_time() - (0.0 if at_limit else QUIET_PERIOD_S)
        client = self._idlest([c for c in self.clients if c.idle_since < idle_before and c is not newest]) or newest
        if client is newest and not at_limit:
            return
        self.log.info("client_shed", open=len(self.clients), new=client is newest)
        self.clients.discard(client)
        if client is newest:
            client.transport.write(resp.encode_error("ERR max number of clients reached"))
        client.close()

    @staticmethod
    def _idlest(candidates: list[ClientConnection]) -> ClientConnection | None:
        """The one of these that has been idle longest; sockets are asked in that order, and only until then."""
        waiting = sorted([c for c in candidates if not c.slots], key=lambda c: c.idle_since)
        return next((c for c in waiting if c.is_idle()), None)

    def _heartbeat(self) -> None:
        assert self._loop
        self.stall_detector.beaten(self.now())
        self._heartbeat_timer = self._loop.call_later(BEAT_S, self._heartbeat)

    def _sweep(self) -> None:
        """Look at every client's patience. One timer for all."""
        assert self._loop
        self._active_s, self._last_sweep = self.active_time(), self.now()
        for client in list(self.clients):
            client.check_timeouts(self._active_s)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
