"""A rig with an agent in the test process, scripted appliances, fleet list and release desk, and client sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from otterquay import interface as it
from otterquay.agent.http_agent import HttpAgent
from otterquay.config import Service, parse_service
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.policy.agent import Agent
from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest, HttpResponse, ResponseParser, write_request, write_response
from otterquay.standins.http import EventSource, Listener, Peer
from otterquay.store import open_store

EXAMPLE = Path(__file__).parent.parent / "examples" / "agent.hcl"


def service(**blocks: dict[str, Any]) -> Service:
    """Return the example settings with some fields replaced, given by block."""
    return parse_service(EXAMPLE.read_text(), "example", blocks)


Behave = Callable[[Peer, HttpRequest], None]


def answer_at_once(peer: Peer, request: HttpRequest) -> None:
    """Answer immediately."""
    peer.send(write_response(200, [(b"content-type", b"text/plain")], b"right\n"))


def never_answer(peer: Peer, request: HttpRequest) -> None:
    """Do not answer."""


def answer_bytes(data: bytes, close: bool = False) -> Behave:
    """Return a behaviour that answers with these bytes, and closes the connection if `close` is set."""

    def behave(peer: Peer, request: HttpRequest) -> None:
        peer.send(data)
        if close:
            peer.writer.close()

    return behave


class Server:
    """A scripted appliance; `behave` may be replaced at any time."""

    def __init__(self, number: int, behave: Behave = answer_at_once) -> None:
        self.number, self.behave, self.got = number, behave, list[HttpRequest]()
        self.listener = Listener(self._request)

    def _request(self, peer: Peer, request: HttpRequest) -> None:
        self.got.append(request)
        self.behave(peer, request)


class EventWatcher:
    """What both rigs share: access to the events that the module received."""

    events: list[it.Event]

    def seen(self, kind: type) -> list[Any]:
        """Return the events of a type that the module received."""
        return [e for e in self.events if isinstance(e, kind)]

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds; fails if it does not within a bounded number of polls."""
        for _ in range(2000):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the condition did not become true in time")


class Rig(EventWatcher):
    """An async context manager with one agent and `servers` appliances of build 1 in its zone."""

    def __init__(
        self,
        servers: int = 2,
        config: Service | None = None,
        seed: int = 1,
        desk: bool = True,
        decider: Callable[[it.Settings, int], Any] = Agent,
        disk: FaultDisk | None = None,
    ) -> None:
        self.config, self.seed, self.with_desk, self.decider = config or service(), seed, desk, decider
        self.servers = [Server(i + 1) for i in range(servers)]
        self.disk, self.version, self.stage_number = disk, 1, 1
        self.build, self.cap, self.phase = 1, 1.0, "released"
        self.list = EventSource("l", self._full_list, lambda *_: None)
        self.desk = EventSource("d", self._stage, lambda *_: None, self._vote)
        self.votes: list[news.Vote] = []
        self.entries: dict[int, news.Entry] = {}
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Rig:
        for server in self.servers:
            await server.listener.start()
            self.entries[server.number] = news.Entry(
                server.number, "north", "ready", 1, server.listener.address, server.number
            )
        fleet = await self.list.start()
        desk = await self.desk.start() if self.with_desk else "127.0.0.1:9"
        await self.start_agent(fleet, desk)
        return self

    async def start_agent(self, fleet: str, desk: str) -> None:
        """Start the agent."""
        agent = self.config.agent.model_copy(update={"listen": "127.0.0.1:0"})
        feeds = self.config.feeds.model_copy(update={"fleet": f"http://{fleet}", "desk": f"http://{desk}"})
        store = None
        if self.disk is not None:
            self.disk = self.disk.after_kill()
            clock = asyncio.get_running_loop().time
            store = await open_store(self.disk, silent(), clock, boot_id="rig")
        self.runtime = HttpAgent(
            self.config.model_copy(update={"agent": agent, "feeds": feeds}),
            random.Random(self.seed),
            silent(),
            None,
            store,
            self.decider,
        )
        self.events: list[it.Event] = []
        handle = self.runtime._agent.handle

        def record_event(now: float, event: it.Event) -> list[it.Action]:
            self.events.append(event)
            return handle(now, event)

        self.runtime._agent.handle = record_event  # type: ignore[method-assign]
        self.address = await self.runtime.start()
        if self.with_desk:
            await self.until(lambda: self.seen(it.ServerList) and self.seen(it.StageNews))
        else:
            await self.until(lambda: bool(self.seen(it.ServerList)))

    async def __aexit__(self, *_: object) -> None:
        for writer in self.writers:
            writer.close()
        self.runtime.close()
        for server in self.servers:
            server.listener.close()
        self.list.close()
        self.desk.close()
        await asyncio.sleep(0)

    # --- feeds ---
    def _full_list(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self.version:
            return []
        full = news.FleetNews(self.version, list(self.entries.values()))
        return [("full", msgspec.json.encode(full).decode(), self.version)]

    def _stage(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        stage = news.Stage(self.build, 0, self.phase, self.cap, 0.0)  # type: ignore[arg-type]
        return [("stage", msgspec.json.encode(stage).decode(), self.stage_number)]

    def change(self, entry: news.Entry, base: int | None = None) -> None:
        """Publish a delta with one entry."""
        before, self.version = self.version if base is None else base, self.version + 1
        self.entries[entry.server] = entry
        delta = news.FleetNews(self.version, [entry], before)
        self.list.publish("delta", msgspec.json.encode(delta).decode(), self.version)

    def stage(self, build: int, phase: str, cap: float, number: int | None = None) -> None:
        """Publish the stage of the newest build."""
        self.build, self.phase, self.cap = build, phase, cap
        self.stage_number = self.stage_number + 1 if number is None else number
        self.desk.publish("stage", self._stage(0, None)[0][1], self.stage_number)

    def _vote(self, peer: Peer, request: HttpRequest) -> None:
        self.votes.append(msgspec.json.decode(request.body, type=news.Vote))

    # --- clients ---
    def ask(self, cls: str = "lobby-read", budget: int = 2000, **headers: str) -> bytes:
        """Encode a client request."""
        fields = {"otterquay-class": cls, "otterquay-tenant": "first-studio", "otterquay-budget-ms": str(budget)}
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        return write_request(b"POST", b"/x", [(k.encode(), v.encode()) for k, v in fields.items()], b"hello")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection to the agent."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.writers.append(writer)
        return reader, writer

    async def answers(self, reader: asyncio.StreamReader, count: int = 1) -> list[HttpResponse]:
        """Read the next answers on a connection."""
        parser, found = ResponseParser(), list[HttpResponse]()
        async with asyncio.timeout(20):
            while len(found) < count and (data := await reader.read(65536)):
                found += parser.feed(data)
        return found

    async def get(self, cls: str = "lobby-read", budget: int = 2000, **headers: str) -> HttpResponse:
        """Send one request on a new connection and return its answer."""
        reader, writer = await self.connect()
        writer.write(self.ask(cls, budget, **headers))
        return (await self.answers(reader))[0]


def kind(answer: HttpResponse) -> str:
    """Return served, refused or failed, from the answer's header."""
    return answer.headers.get(b"otterquay-answer", b"none").decode()


def run(work: Callable[[], Any]) -> None:
    """Run a coroutine function to completion."""
    asyncio.run(work())
