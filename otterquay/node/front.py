"""The side towards clients: RESP commands in, one answer each, in the order of the commands.

It answers by itself only what never becomes a request: what cannot be read, unknown names, an id that is open, more
than its bounds. Everything else gets exactly one answer, from the module.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.ports import RequestHandler
from otterquay.agent.stall_detector import HEARTBEAT_S, StallDetector
from otterquay.logs import Logger
from otterquay.node.asks import AskReader
from otterquay.node.client import Client
from otterquay.protocol import resp

SETTLED_S = 0.1  # idle for less, a connection may be about to ask; none new for so long, none crosses a close
SWEEP_S = 0.1
LET_GO_S = 0.005  # between the closes of a drain


@dataclass(slots=True)
class Front:
    """The listener. `most` client connections are held at one time."""

    listen: str
    settings: it.Settings
    taker: RequestHandler
    most: int
    roomy: int  # over so many, the idlest without a request ends: clients run out of connections before we do
    log: Logger
    clients: set[Client] = field(default_factory=set)
    ids: set[bytes] = field(default_factory=set)  # of open requests
    draining: bool = False
    standstill: StallDetector = field(default_factory=lambda: StallDetector(0.0))
    reader: AskReader = field(init=False)
    _moved: float = 0.0  # when a connection came or went last
    _awake: float = 0.0
    _swept: float = 0.0
    _loop: asyncio.AbstractEventLoop | None = None
    _server: asyncio.Server | None = None
    _beater: asyncio.TimerHandle | None = None
    _sweeper: asyncio.TimerHandle | None = None
    _letting_go: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.reader = AskReader.of(self.settings)

    def now(self) -> float:
        """Seconds of the loop's clock."""
        assert self._loop
        return self._loop.time()

    def awake(self) -> float:
        """Seconds for which the agent could read: while it stood still, no client's patience with it ran out."""
        return self._awake + min(self.now() - self._swept, 2 * SWEEP_S)

    async def start(self) -> tuple[str, int]:
        """Listen; returns host and port bound. OSError when the address cannot be had."""
        self._loop = loop = asyncio.get_running_loop()
        host, port = split_address(self.listen)
        self.standstill, self._swept = StallDetector(loop.time()), loop.time()
        self._server = await loop.create_server(lambda: Client(self), host, port, backlog=1024)
        self._beat()
        self._sweep()
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def drain(self) -> None:
        """Idle connections close, once they are not about to ask; the others after their answers. The listener
        stays until `close`: a request that crosses the close of its connection comes once more on a new one."""
        self.draining, self._moved = True, self.now()
        self._let_go()

    def _let_go(self) -> None:
        """Close the idlest connection that is not about to ask, one a turn: what comes between the look at a socket
        and its close crosses the close, and with many at once that takes long."""
        assert self._loop
        settled = self.awake() - SETTLED_S
        if client := self._idlest([c for c in self.clients if c.idle_since <= settled]):
            client.close()
        self._letting_go = self._loop.call_later(LET_GO_S, self._let_go)

    def drained(self) -> bool:
        """Whether all connections have gone, and no new one has come for a moment."""
        return not self.clients and self.now() - self._moved >= SETTLED_S

    def close(self) -> None:
        """Close all that is still open, the listener first."""
        self.draining = True
        if self._server:
            self._server.close()
        for timer in (self._beater, self._sweeper, self._letting_go):
            if timer:
                timer.cancel()
        for client in list(self.clients):
            client.close()

    def came(self, client: Client) -> None:
        """A connection takes a place."""
        self._moved = self.now()
        self.clients.add(client)
        if len(self.clients) > self.roomy:
            self.shed(client)

    def went(self, client: Client) -> None:
        """It leaves its place."""
        self._moved = self.now()
        self.clients.discard(client)

    def shed(self, newest: Client) -> None:
        """One too many: end the idlest, or the new one when all are at work and no more may be."""
        must = len(self.clients) > self.most
        before = self.awake() - (0.0 if must else SETTLED_S)
        client = self._idlest([c for c in self.clients if c.idle_since < before and c is not newest]) or newest
        if client is newest and not must:
            return
        self.log.info("client_shed", open=len(self.clients), new=client is newest)
        self.clients.discard(client)
        if client is newest:
            client.transport.write(resp.error("ERR max number of clients reached"))
        client.close()

    @staticmethod
    def _idlest(some: list[Client]) -> Client | None:
        """The one of these that has been idle longest; sockets are asked in that order, and only until then."""
        waiting = sorted([c for c in some if not c.slots], key=lambda c: c.idle_since)
        return next((c for c in waiting if c.idle()), None)

    def _beat(self) -> None:
        assert self._loop
        self.standstill.heartbeat(self.now())
        self._beater = self._loop.call_later(HEARTBEAT_S, self._beat)

    def _sweep(self) -> None:
        """Look at every client's patience. One timer for all."""
        assert self._loop
        self._awake, self._swept = self.awake(), self.now()
        for client in list(self.clients):
            client.swept(self._awake)
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
