"""The order of a planned end: connections close while the listener stands, and what crosses a close is answered.

The tests run on a clock of their own. Wherever an idle connection closes, its client has just written to it, so
that every such close is crossed; the client then sends its request once more on a new connection, as the protocol
page has it, after a delay that is drawn.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from collections.abc import Callable, Coroutine, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from otterquay.node.client import ClientConnection
from otterquay.standins.resp import never_answer
from tests.crossings.forcing import STEP_CLOCK, run
from tests.noderig import CLASSES, Rig, answer

DEADLINES_S = (0.1, 0.5, 1.0, 3.0, 6.0)  # the longest of a class
KILL_EXTRA_S = 0.7  # SIGKILL comes so long after the longest deadline, counted as 3 s where it is longer
MAX_DEADLINE_S = 3.0
OPENS_UNTIL_S = 0.4  # after SIGTERM new connections come
END_S = 0.1  # of the time until SIGKILL, in which a busy machine ends the process
LATE_S = (0.0, 0.04)  # from the close until the second connection, and from there until its request
VERY_LATE_S = 0.6  # of clients whose connection was idle as SIGTERM came, but at most half of the deadline
REFUSED_WAIT_S = (0.15, 0.32)
PIPELINED = 3
PING = b"*1\r\n$4\r\nPING\r\n"
RETRY_WAITS_S = ((0.01, 0.01), (0.02, 0.02), (0.04, 0.32), (0.15, 0.18))

Kind = Callable[["Client"], Coroutine[Any, Any, None]]


@dataclass
class Clients:
    """All clients of one agent and what became of their requests; they write into closes of their connections."""

    rig: Rig
    rng: random.Random
    longest_s: float
    answered: int = 0
    crossed: int = 0
    lost: list[str] = field(default_factory=list)
    by_address: dict[Any, Client] = field(default_factory=dict)

    async def play(self, kind: Kind) -> Coroutine[Any, Any, None]:
        """A client of a kind, connected unless it is to come late."""
        client = Client(self, kind.__name__, self.rng.uniform(*LATE_S))
        if kind is not Client.comes_late:
            await client.connect()
        return kind(client)

    @contextmanager
    def crossing_closes(self) -> Iterator[None]:
        """Let each client write a request into the close of its idle connection, once."""
        close = ClientConnection.close

        def close_under_a_request(connection: ClientConnection) -> None:
            if client := self.by_address.get(connection.transport.get_extra_info("peername")):
                client.write_into_close()
            close(connection)

        ClientConnection.close = close_under_a_request  # type: ignore[method-assign]
        try:
            yield
        finally:
            ClientConnection.close = close  # type: ignore[method-assign]


@dataclass(eq=False)
class Client:
    """A client that has one request outstanding at a time."""

    clients: Clients
    name: str
    sees_close_after_s: float = 0.0
    outstanding: bytes | None = None
    has_crossed: bool = False
    has_written: asyncio.Event = field(default_factory=asyncio.Event)  # into a close

    async def connect(self) -> None:
        self.reader, self.writer = await self.clients.rig.connect()
        self.clients.by_address[self.writer.get_extra_info("sockname")] = self

    def write_into_close(self) -> None:
        """Write a request past the event loop, as the agent closes the connection."""
        if not self.has_crossed and self.outstanding is None:
            self.has_crossed, self.outstanding = True, self.clients.rig.encode_request()
            self.has_written.set()
            os.write(self.writer.get_extra_info("socket").fileno(), self.outstanding)

    async def pause(self, seconds: float) -> None:
        """Wait so long, or until a request is written into the close."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.has_written.wait(), seconds)

    async def ask(self, data: bytes | None = None, written: int = 0) -> bool:
        """Send a request but for the bytes already written; False once the connection has ended."""
        if self.outstanding is None and self.reader.at_eof():
            return False
        if self.outstanding is None and data is not None:
            self.outstanding = data
            self.writer.write(data[written:])
        got = await answer(self.reader)
        is_open = bool(got)
        if not got and self.outstanding is not None:
            got = await self._send_once_more(self.outstanding)
        self.clients.answered += bool(got)
        self.outstanding = None
        return is_open

    async def _send_once_more(self, data: bytes) -> bytes:
        self.clients.crossed += 1
        await asyncio.sleep(self.sees_close_after_s)
        try:
            await self.connect()
        except OSError as error:
            self.clients.lost.append(f"{self.name}: {error}")
            return b""
        await asyncio.sleep(self.clients.rng.uniform(*LATE_S))
        self.writer.write(data)
        if not (got := await answer(self.reader)):
            self.clients.lost.append(f"{self.name}: its second connection ended with no answer")
        return got

    # --- kinds of clients; each is called before SIGTERM and ends with its connection ---
    async def rests(self) -> None:
        """Has its answer as SIGTERM comes."""
        self.sees_close_after_s = self.clients.rng.uniform(0.0, min(VERY_LATE_S, self.clients.longest_s / 2))
        await self.ask(PING)
        await self.ask()

    async def says_nothing(self) -> None:
        """Has never asked."""
        await self.ask()

    async def waits_for_its_answer(self) -> None:
        """Has a request out as SIGTERM comes, and asks again some time after each answer."""
        rng = self.clients.rng
        wait_s = rng.uniform(*rng.choice(RETRY_WAITS_S))
        while await self.ask(self.clients.rig.encode_request(d=rng.randint(100, 6000))):
            await self.pause(wait_s)

    async def asks_until_closed(self) -> None:
        """Has a request out as SIGTERM comes, and asks again after a wait while its connection has not ended."""
        self.has_crossed = True  # it writes into no close
        while await self.ask(self.clients.rig.encode_request(d=6000)):
            await asyncio.sleep(self.clients.rng.uniform(*REFUSED_WAIT_S))

    async def pipelines(self) -> None:
        """Has several requests out as SIGTERM comes, each of which is answered in turn."""
        self.has_crossed = True
        self.writer.write(b"".join(self.clients.rig.encode_request(d=6000) for _ in range(PIPELINED)))
        answers = [await answer(self.reader) for _ in range(PIPELINED)]
        if b"" in answers:
            self.clients.lost.append(f"{self.name}: {answers}")

    async def stops_midway(self) -> None:
        """Has written a part of a command, and writes the rest at some time."""
        whole = self.clients.rig.encode_request()
        self.writer.write(whole[:30])
        self.has_crossed = True
        await asyncio.sleep(self.clients.rng.uniform(0.0, 4.0))
        await self.ask(whole, 30)

    async def comes_late(self) -> None:
        """Connects after SIGTERM, and asks some time after that."""
        await asyncio.sleep(self.clients.rng.uniform(0.0, OPENS_UNTIL_S))
        await self.connect()
        await self.pause(self.clients.rng.choice((0.0, 0.05, 0.5, 2.5)))
        while await self.ask(self.clients.rig.encode_request(d=3000)):
            await self.pause(self.clients.rng.uniform(0.04, 0.32))


KINDS = (
    Client.rests,
    Client.says_nothing,
    Client.waits_for_its_answer,
    Client.pipelines,
    Client.stops_midway,
    Client.comes_late,
)


@dataclass
class LogOfFront:
    """Keeps the warnings of a listener."""

    warnings: list[str] = field(default_factory=list)

    def info(self, event: str, **fields: Any) -> None:
        """Dropped."""

    def warning(self, event: str, **fields: Any) -> None:
        """Kept as text."""
        self.warnings.append(f"{event} {fields}")


def rig_with(longest_s: float, clients: int) -> Rig:
    """An agent whose classes have deadlines of up to this, and descriptors for so many clients."""
    longest_ms = longest_s * 1e3
    classes = [{**CLASSES[0], "deadlineMs": longest_ms, "onTimeMs": longest_ms / 2}]
    return Rig(count=2, sockets=max(256, 6 * clients), requestClasses=classes)


async def end_under(clients: Clients, plays: Sequence[Coroutine[Any, Any, None]], stopped_s: float = 0.0) -> None:
    """Shut the agent down under these clients; it was stopped for a time as SIGTERM came."""
    rig, loop, log = clients.rig, asyncio.get_running_loop(), LogOfFront()
    rig.node.front.log = log
    tasks = [asyncio.ensure_future(play) for play in plays]
    await asyncio.sleep(0.2)
    killed_at = loop.time() + min(clients.longest_s, MAX_DEADLINE_S) + KILL_EXTRA_S
    loop.advance(stopped_s)  # type: ignore[attr-defined]
    rig.node.note_end_signal()
    with clients.crossing_closes():
        await rig.node.shut_down()
    assert loop.time() <= killed_at - END_S + 1e-6
    await asyncio.wait_for(asyncio.gather(*tasks), 30.0)
    assert not clients.lost and not log.warnings, f"{clients.lost[:5]} {log.warnings}"


@pytest.mark.parametrize("seed", range(12))
def test_no_close_of_a_planned_end_is_crossed_by_a_request_that_then_finds_nobody(seed: int) -> None:
    """Guards against a connection that is still open as the listener closes: drawn clients, all closes crossed."""
    rng = random.Random(seed)

    async def work() -> None:
        longest_s, number = rng.choice(DEADLINES_S), rng.choice((10, 40, 120))
        async with rig_with(longest_s, number) as rig:
            for appliance in rig.appliances[: rng.choice((1, 2, 2))]:
                appliance.behave = never_answer
            clients = Clients(rig, rng, longest_s)
            plays = [await clients.play(rng.choice(KINDS)) for _ in range(number)]
            await end_under(clients, plays, rng.choice((0.0, 0.0, 0.15)))
            assert clients.answered >= clients.crossed > 0

    run(work, STEP_CLOCK)


@pytest.mark.parametrize("kind", [Client.rests, Client.asks_until_closed])
@pytest.mark.parametrize("longest_s", [0.5, 3.0])
def test_a_thousand_connections_of_one_agent_all_close_before_its_listener(kind: Kind, longest_s: float) -> None:
    """Guards against a drain whose closes are so far apart that it ends before the connections do."""

    async def work() -> None:
        async with rig_with(longest_s, 1000) as rig:
            for appliance in rig.appliances:
                appliance.behave = never_answer
            clients = Clients(rig, random.Random(1), longest_s)
            plays = [await clients.play(kind) for _ in range(1000)]
            await end_under(clients, plays)
            assert clients.answered >= 1000

    run(work, STEP_CLOCK)


def test_who_is_refused_as_the_time_of_a_drain_runs_out_finds_its_connection_ended_before_it_asks_again() -> None:
    """Guards against refused connections that stay open to the end, as in review/3: its clients wait 0.15 s."""

    async def work() -> None:
        async with rig_with(6.0, 100) as rig:
            for appliance in rig.appliances:
                appliance.behave = never_answer
            clients = Clients(rig, random.Random(1), 6.0)
            plays = [await clients.play(Client.asks_until_closed) for _ in range(100)]
            await end_under(clients, plays)
            assert clients.answered >= 100 and not clients.crossed

    run(work, STEP_CLOCK)


def test_the_log_tells_what_the_connections_do_that_are_open_as_the_listener_closes() -> None:
    """Guards against an end of which the log does not tell who may have found nobody."""

    async def work() -> None:
        async with rig_with(1.0, 10) as rig:
            for appliance in rig.appliances:
                appliance.behave = never_answer
            log = rig.node.front.log = LogOfFront()
            clients = [Client(Clients(rig, random.Random(1), 1.0), "") for _ in range(4)]
            for client in clients:
                await client.connect()
            await clients[0].ask(PING)
            clients[1].writer.write(rig.encode_request())
            clients[2].writer.write(PING[:5])
            await rig.until(
                lambda: rig.node.open_requests and any(c.parser.started for c in rig.node.front.clients)
            )
            rig.node.front.close()
            seen = {"open": 4, "unread": 0, "served": 1, "request_open": 1, "command_begun": 1, "none": 1}
            assert log.warnings == [f"closed_with_clients_open {seen}"]

    run(work, STEP_CLOCK)
