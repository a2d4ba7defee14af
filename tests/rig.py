"""An agent in this process between scripted appliances, a scripted list and desk, and raw client sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from otterquay import interface as it
from otterquay.agent.web import WebAgent
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
    """The example's settings with fields of single blocks replaced."""
    return parse_service(EXAMPLE.read_text(), "example", blocks)


Behave = Callable[[Peer, HttpRequest], None]


def right(peer: Peer, request: HttpRequest) -> None:
    """Answer at once."""
    peer.send(write_response(200, [(b"content-type", b"text/plain")], b"right\n"))


def silent_server(peer: Peer, request: HttpRequest) -> None:
    """Never answer."""


def raw(data: bytes, close: bool = False) -> Behave:
    """Answer with these bytes, whatever they are."""

    def behave(peer: Peer, request: HttpRequest) -> None:
        peer.send(data)
        if close:
            peer.writer.close()

    return behave


class Server:
    """A scripted appliance; `behave` may be replaced at any time."""

    def __init__(self, number: int, behave: Behave = right) -> None:
        self.number, self.behave, self.got = number, behave, list[HttpRequest]()
        self.listener = Listener(self._request)

    def _request(self, peer: Peer, request: HttpRequest) -> None:
        self.got.append(request)
        self.behave(peer, request)


class Watch:
    """What both rigs look at: the events that the module got."""

    events: list[it.Event]

    def seen(self, kind: type) -> list[Any]:
        """Events of a kind that the module got."""
        return [e for e in self.events if isinstance(e, kind)]

    async def until(self, true: Callable[[], object]) -> None:
        """Wait until something holds; the test fails by its own check when it never does."""
        for _ in range(2000):
            if true():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("what was waited for did not come about")


class Rig(Watch):
    """Use as `async with`; one agent, `servers` appliances of build 1 in its zone."""

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
        self.list = EventSource("l", self._whole, lambda *_: None)
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
        await self.up(fleet, desk)
        return self

    async def up(self, fleet: str, desk: str) -> None:
        """Start the agent."""
        agent = self.config.agent.model_copy(update={"listen": "127.0.0.1:0"})
        feeds = self.config.feeds.model_copy(update={"fleet": f"http://{fleet}", "desk": f"http://{desk}"})
        store = None
        if self.disk is not None:
            self.disk = self.disk.after_kill()
            store = await open_store(self.disk, silent(), asyncio.get_running_loop().time)
        self.runtime = WebAgent(
            self.config.model_copy(update={"agent": agent, "feeds": feeds}),
            random.Random(self.seed),
            silent(),
            None,
            store,
            self.decider,
        )
        self.events: list[it.Event] = []
        handle = self.runtime._agent.handle

        def noted(now: float, event: it.Event) -> list[it.Action]:
            self.events.append(event)
            return handle(now, event)

        self.runtime._agent.handle = noted  # type: ignore[method-assign]
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
    def _whole(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        if last == self.version:
            return []
        whole = news.FleetNews(self.version, list(self.entries.values()))
        return [("full", msgspec.json.encode(whole).decode(), self.version)]

    def _stage(self, agent: int, last: int | None) -> list[tuple[str, str, int]]:
        stage = news.Stage(self.build, 0, self.phase, self.cap, 0.0)  # type: ignore[arg-type]
        return [("stage", msgspec.json.encode(stage).decode(), self.stage_number)]

    def change(self, entry: news.Entry, base: int | None = None) -> None:
        """Publish a change of one entry."""
        before, self.version = self.version if base is None else base, self.version + 1
        self.entries[entry.server] = entry
        told = news.FleetNews(self.version, [entry], before)
        self.list.publish("delta", msgspec.json.encode(told).decode(), self.version)

    def stage(self, build: int, phase: str, cap: float, number: int | None = None) -> None:
        """Publish where the newest build stands."""
        self.build, self.phase, self.cap = build, phase, cap
        self.stage_number = self.stage_number + 1 if number is None else number
        self.desk.publish("stage", self._stage(0, None)[0][1], self.stage_number)

    def _vote(self, peer: Peer, request: HttpRequest) -> None:
        self.votes.append(msgspec.json.decode(request.body, type=news.Vote))

    # --- clients ---
    def ask(self, cls: str = "lobby-read", budget: int = 2000, **headers: str) -> bytes:
        """The bytes of a request."""
        named = {"otterquay-class": cls, "otterquay-tenant": "first-studio", "otterquay-budget-ms": str(budget)}
        named.update({k.replace("_", "-"): v for k, v in headers.items()})
        return write_request(b"POST", b"/x", [(k.encode(), v.encode()) for k, v in named.items()], b"hello")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A raw connection to the agent."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.writers.append(writer)
        return reader, writer

    async def answers(self, reader: asyncio.StreamReader, count: int = 1) -> list[HttpResponse]:
        """The next answers on a connection."""
        parser, found = ResponseParser(), list[HttpResponse]()
        async with asyncio.timeout(20):
            while len(found) < count and (data := await reader.read(65536)):
                found += parser.feed(data)
        return found

    async def get(self, cls: str = "lobby-read", budget: int = 2000, **headers: str) -> HttpResponse:
        """One request on a connection of its own."""
        reader, writer = await self.connect()
        writer.write(self.ask(cls, budget, **headers))
        return (await self.answers(reader))[0]


def kind(answer: HttpResponse) -> str:
    """served, refused or failed, as the answer says."""
    return answer.headers.get(b"otterquay-answer", b"none").decode()


def run(work: Callable[[], Any]) -> None:
    """Run a coroutine function to its end."""
    asyncio.run(work())
