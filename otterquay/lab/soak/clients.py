"""Clients of the soak: they keep their connections until these end, pipeline, leave, stop midway or do not read."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from otterquay.agent.sockets import peer_closed
from otterquay.lab.ports import HOST
from otterquay.lab.soak.process import AgentProcess, ProcessRun, limit_receive_buffer
from otterquay.lab.soak.requests import Request, RequestMaker
from otterquay.lab.soak.script import ClientKind
from otterquay.ordered_set import OrderedSet
from otterquay.protocol import resp
from otterquay.standins import tape as tp

OPENS_AFTER_TERM_S = 0.4  # new connections come for so long after SIGTERM
MAX_OUTSTANDING = 8  # of a client that pipelines
THINK_S = (0.005, 0.06)
WAIT_S = (0.04, 0.32)  # of a client that waits between an answer and its next request
RETRY_CONNECT_S = 0.02
LEAVES_AFTER_S = (0.0, 0.03)
MALFORMED = (
    b"\x00\xffnoise\r\n",
    b"*1\r\n$-7\r\n",
    b"*" + b"1" * 5000,
    b"*5\r\n$10\r\nSVC.SUBMIT\r\n$60000000\r\n",
    b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n",
    b"*1\r\n$4\r\nPING\r\n" * 100,
)
MIDWAY_STAYS_S = 4.0  # the protocol page gives the agent 3 s for its error or close
SMALL_BUFFER_BYTES = 4096
UNREAD_REQUESTS = 30
KINDS_OF_ANSWER = {b"$": "served", b"-": "failed"}


@dataclass(slots=True)
class SeenByClients:
    """What all clients of a day saw beside the answers to their requests."""

    requests: list[Request] = field(default_factory=list)
    surplus: list[str] = field(default_factory=list)  # answers that no command asked for
    refused_opens: list[str] = field(default_factory=list)  # while the agent had to accept connections
    stuck_midway: list[str] = field(default_factory=list)  # half commands with neither error nor close


class ClientConnection(asyncio.Protocol):
    """One connection to an agent; matches answers to its requests in their order."""

    def __init__(self, clients: Clients, run: ProcessRun) -> None:
        self._clients, self.run = clients, run
        self.outstanding: deque[Request] = deque()
        self.transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        self.left = False
        self.error: resp.Answer | None = None  # that came with no request outstanding, before the close
        self.errors = 0  # of all answers, whatever they answer
        self._parser = resp.AnswerParser()
        self._last_answer_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self._clients.note_open(self, True)

    def ask(self, requests: list[Request]) -> None:
        """Send whole requests in one write: a second write could fail and hide an answer that has come.

        On a connection that the agent has ended already, though this loop may not have read it, nothing is sent; an
        error that came before the end is the answer.
        """
        assert self.transport
        now = self._clients.now()
        if self.closed.is_set() or self.transport.is_closing() or self.error or peer_closed(self.transport):
            for request in requests:
                request.turned_away = self.error
            return
        for request in requests:
            request.run, request.sent_at, request.due_from, request.closed_at = self.run, now, now, None
            self.outstanding.append(request)
            self._clients.note_asked(request)
        self.transport.write(b"".join(request.encoded for request in requests))

    def data_received(self, data: bytes) -> None:
        """Give each answer to the oldest outstanding request."""
        for answer in self._parser.feed(data):
            self._answered(answer)
        if self._parser.failed and not self.left:
            self._clients.seen.surplus.append(f"malformed bytes of agent {self.run.agent}: {data[:60]!r}")

    def _answered(self, answer: resp.Answer) -> None:
        now = self._clients.now()
        self.errors += answer.kind == b"-"
        if self.outstanding:
            request = self.outstanding.popleft()
            request.due_from = max(request.sent_at, self._last_answer_at)
            request.answer, request.answered_at = answer, now
            self._clients.note_answered(request)
        elif answer.kind == b"-":
            self.error = answer  # it may announce the close of a connection
        elif not self.left and answer.value != b"PONG":
            self._clients.seen.surplus.append(f"agent {self.run.agent} sent {answer.value[:40]!r} unasked")
        self._last_answer_at = now

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand over the requests that have no answer."""
        self._clients.note_open(self, False)
        now = self._clients.now()
        self.closed.set()
        for request in self.outstanding:
            request.closed_at = now
            if not self.left and request.owed:
                self._clients.connection_ended_under(request)
        self.outstanding.clear()

    def leave(self, reset: bool) -> None:
        """Close the connection, as a client that goes away."""
        now, self.left = self._clients.now(), True
        for request in self.outstanding:
            request.left_at = now
            self._clients.note_left(request)
        if self.transport:
            (self.transport.abort if reset else self.transport.close)()


class Clients:
    """All clients of a day. `arrived` tells whether a request was seen at an appliance."""

    def __init__(
        self, maker: RequestMaker, rng: random.Random, tape: tp.Tape, arrived: Callable[[bytes], bool]
    ) -> None:
        self.seen = SeenByClients()
        self._maker, self._rng, self._tape, self._arrived = maker, rng, tape, arrived
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._going = True
        self._open_connections: OrderedSet[ClientConnection] = OrderedSet()
        self.now = asyncio.get_running_loop().time

    # --- the record ---
    def note_open(self, connection: ClientConnection, is_open: bool) -> None:
        """Keep the set of open connections."""
        (self._open_connections.add if is_open else self._open_connections.discard)(connection)

    def note_asked(self, request: Request) -> None:
        """Record that a request was sent."""
        self._tape.add(
            tp.Asked(
                self.now(),
                request.id.decode(),
                request.id.decode(),
                request.run.agent,
                request.cls,
                request.tenant,
                "",
                request.deadline_s,
                request.sent_at,
            )
        )

    def note_answered(self, request: Request) -> None:
        """Record the answer to a request."""
        assert request.answer
        kind = KINDS_OF_ANSWER.get(request.answer.kind, "failed")
        if request.answer.kind == b"-" and request.answer.value.startswith(b"BUSY"):
            kind = "refused"
        self._tape.add(tp.Answered(self.now(), request.id.decode(), kind, 0))  # type: ignore[arg-type]

    def note_left(self, request: Request) -> None:
        """Record that the client of a request has gone."""
        self._tape.add(tp.Left(self.now(), request.id.decode()))

    # --- requests whose connection ended ---
    def connection_ended_under(self, request: Request) -> None:
        """Send a request again, once, that crossed the close of its connection unread."""
        if request.resent or self._arrived(request.id) or request.run.kill_at is not None:
            return
        request.resent, request.crossed_at = True, request.closed_at
        self._spawn(self._send_again(request))

    async def _send_again(self, request: Request) -> None:
        agent = self._agents[request.run.agent]
        connection = await self._open(agent)
        if connection is None:
            request.refused_at = self.now()
            return
        request.reopened_at = self.now()
        connection.ask([request])
        await connection.closed.wait()

    # --- connections ---
    async def _open(self, agent: AgentProcess, small_buffer: bool = False) -> ClientConnection | None:
        """Connect to an agent; None if it refuses."""
        loop, run = asyncio.get_running_loop(), agent.run
        try:
            transport, connection = await loop.create_connection(
                lambda: ClientConnection(self, agent.run), HOST, agent.port
            )
        except OSError as error:
            self._note_refused(run, error)
            return None
        if small_buffer:
            limit_receive_buffer(transport, SMALL_BUFFER_BYTES)
        return connection

    def _note_refused(self, run: ProcessRun, error: OSError) -> None:
        term_at = run.term_at
        accepting = run.ready_at is not None and run.kill_at is None and run.ended_at is None
        if accepting and (term_at is None or self.now() <= term_at + OPENS_AFTER_TERM_S):
            self.seen.refused_opens.append(f"agent {run.agent}: {error}")

    def _may_open(self, agent: AgentProcess) -> bool:
        run = agent.run
        in_linger = run.term_at is not None and self.now() < run.term_at + OPENS_AFTER_TERM_S
        return agent.is_ready() or (in_linger and run.kill_at is None and run.ended_at is None)

    # --- kinds of clients ---
    def start(self, agents: list[AgentProcess], kinds: tuple[ClientKind, ...]) -> None:
        """Start one client of each kind for each agent."""
        self._agents = agents
        work = {
            "steady": self._steady,
            "waiting": self._waiting,
            "leaver": self._leaver,
            "stops_midway": self._stops_midway,
            "does_not_read": self._does_not_read,
            "breaks_protocol": self._breaks_protocol,
        }
        for agent in agents:
            for kind in kinds:
                self._spawn(work[kind](agent))

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(cast("asyncio.Future[None]", work))
        self._tasks.add(cast("asyncio.Task[None]", task))
        task.add_done_callback(lambda done: self._tasks.discard(cast("asyncio.Task[None]", done)))

    def rest(self) -> None:
        """Close all connections and open none, so that the agents have nothing to do."""
        self._going = False
        for connection in list(self._open_connections):
            connection.leave(reset=False)

    def stop_opening(self) -> None:
        """Open no further connections; those that are open stay in use until they end."""
        self._going = False

    async def finish(self) -> None:
        """Wait for all clients, whose connections have ended with the agents."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=MIDWAY_STAYS_S)
        for task in list(self._tasks):
            task.cancel()

    def requests(self, run: ProcessRun, number: int, owed: bool = True) -> list[Request]:
        """Draw requests and keep their records."""
        drawn = [self._maker.make(run) for _ in range(number)]
        for request in drawn:
            request.owed = owed
        self.seen.requests.extend(drawn)
        return drawn

    async def _connections(self, agent: AgentProcess, small_buffer: bool = False) -> ClientConnection:
        """Return a connection to an agent once it accepts one; CancelledError at the end of the day."""
        while True:
            if self._going and self._may_open(agent):
                if connection := await self._open(agent, small_buffer):
                    return connection
            elif not self._going and agent.run.ended_at is not None:
                raise asyncio.CancelledError
            await asyncio.sleep(RETRY_CONNECT_S)

    async def _steady(self, agent: AgentProcess) -> None:
        """Use a connection, with up to MAX_OUTSTANDING requests, until it ends."""
        while True:
            connection = await self._connections(agent)
            while not connection.closed.is_set():
                room = MAX_OUTSTANDING - len(connection.outstanding)
                if number := min(room, self._rng.choice((1, 1, 2, 4))):
                    connection.ask(self.requests(connection.run, number))
                await self._think(connection)

    async def _waiting(self, agent: AgentProcess) -> None:
        """Use a connection for one request at a time, with a wait after each answer, until it ends."""
        while True:
            connection = await self._connections(agent)
            while not connection.closed.is_set():
                connection.ask(self.requests(connection.run, 1))
                while connection.outstanding:
                    await self._think(connection)
                await self._think(connection, WAIT_S)

    async def _think(self, connection: ClientConnection, between_s: tuple[float, float] = THINK_S) -> None:
        try:
            async with asyncio.timeout(self._rng.uniform(*between_s)):
                await connection.closed.wait()
        except TimeoutError:
            return

    async def _leaver(self, agent: AgentProcess) -> None:
        """Ask and go away before the answer, again and again."""
        while True:
            connection = await self._connections(agent)
            connection.ask(self.requests(connection.run, self._rng.randint(1, 3)))
            await asyncio.sleep(self._rng.uniform(*LEAVES_AFTER_S))
            connection.leave(reset=self._rng.random() < 0.5)
            await asyncio.sleep(self._rng.uniform(*THINK_S))

    async def _stops_midway(self, agent: AgentProcess) -> None:
        """Ask a whole request and a part of another, then stay."""
        while True:
            connection = await self._connections(agent)
            if self._rng.random() < 0.5:
                connection.ask(self.requests(connection.run, 1, owed=False))
            encoded = self.requests(connection.run, 1, owed=False)[0].encoded
            await self._misbehave(connection, encoded[: self._rng.randrange(1, len(encoded))])

    async def _breaks_protocol(self, agent: AgentProcess) -> None:
        """Send what is no command, or too many of them, and stay."""
        while True:
            connection = await self._connections(agent)
            connection.ask(self.requests(connection.run, self._rng.randint(0, 40), owed=False))
            await self._misbehave(connection, self._rng.choice(MALFORMED))
            await asyncio.sleep(self._rng.uniform(*THINK_S))

    async def _misbehave(self, connection: ClientConnection, data: bytes) -> None:
        """Send bytes and wait for an error or a close, which the agent owes within the time on the page."""
        assert connection.transport
        connection.transport.write(data)
        try:
            async with asyncio.timeout(MIDWAY_STAYS_S):
                await connection.closed.wait()
        except TimeoutError:
            if not connection.errors and connection.run.ended_at is None and not connection.run.pauses:
                self.seen.stuck_midway.append(f"agent {connection.run.agent}")
            connection.leave(reset=True)

    async def _does_not_read(self, agent: AgentProcess) -> None:
        """Ask for many answers and read none."""
        while True:
            connection = await self._connections(agent, small_buffer=True)
            assert connection.transport
            connection.left = True  # whatever comes of it, nobody sees it
            connection.transport.pause_reading()
            connection.ask(self.requests(connection.run, UNREAD_REQUESTS, owed=False))
            await asyncio.sleep(self._rng.uniform(0.5, 1.5))
            connection.leave(reset=True)
            await asyncio.sleep(self._rng.uniform(*THINK_S))

    def crowd(self, agent: AgentProcess, clients: int, each: int) -> None:
        """Connect so many clients at one time; each asks `each` requests at once and waits for the answers."""
        for _ in range(clients):
            self._spawn(self._one_of_a_crowd(agent, each))

    async def _one_of_a_crowd(self, agent: AgentProcess, each: int) -> None:
        if not self._may_open(agent) or (connection := await self._open(agent)) is None:
            return
        connection.ask(self.requests(connection.run, each))
        while connection.outstanding:
            await self._think(connection)
        if not connection.closed.is_set():
            connection.leave(reset=False)
