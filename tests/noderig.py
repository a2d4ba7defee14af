"""Test rig: a production agent on loopback with scripted appliances, discovery and platform, and client sockets."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Callable
from typing import Any

from otterquay import interface as it
from otterquay.agent.sockets import peer_closed
from otterquay.logs import silent
from otterquay.node.agent import Node
from otterquay.node.config import NodeConfig, read_config
from otterquay.protocol import resp
from tests.rig import EventWatcher

CLASSES = [
    {"name": "lobby-read", "effect": "idempotent", "deadlineMs": 6000.0, "onTimeMs": 1500.0, "lateWorth": 0.2},
    {
        "name": "queue-join",
        "effect": "deduplicated",
        "dedupScope": "zone",
        "deadlineMs": 2500.0,
        "onTimeMs": 1000.0,
        "repeatWindowMs": 5000.0,
    },
    {"name": "race-entry", "effect": "at_most_once", "deadlineMs": 2000.0, "onTimeMs": 800.0},
]
SETTINGS: dict[str, Any] = {
    "groupSize": 1,
    "myNumber": 0,
    "zone": 0,
    "localities": ["north", "south"],
    "kinds": ["std"],
    "requestClasses": CLASSES,
    "tenants": [{"name": "first", "quotaPerS": 50.0, "share": 1.0}],
    "limits": {
        "cancel": True,
        "probes": True,
        "sendCap": 6,
        "maxOpen": 500,
        "keepaliveMs": 15000.0,
        "connectTimeoutMs": 250.0,
    },
    "rules": {"drainGraceMs": 500.0, "answerSlackMs": 20.0},
    "tickMs": 5.0,
    "familyInfo": {
        "caps": [0.25, 1.0],
        "stageShare": [0.25, 1.0],
        "apiTimeoutMs": 300.0,
        "windowMs": 4000.0,
        "allowance": 2.0,
        "callsPerS": 200.0,
        "voteLifeMs": 10000.0,
    },
    "loadReport": {"names": ["pending"], "source": "answers"},
}
Behave = Callable[["Appliance", asyncio.StreamWriter, list[bytes]], None]


def served(value: bytes, report: bytes = b"$9\r\npending=1\r\n") -> bytes:
    """An appliance's answer with a value and a load report."""
    return b"*3\r\n" + resp.encode_bulk(value) + b"$-1\r\n" + report


def answer_at_once(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
    """Answer immediately with a value that names the request."""
    writer.write(served(b"for " + arguments[2]))


def answer_bytes(data: bytes, close: bool = False) -> Behave:
    """Answer with these raw bytes."""

    def behave(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
        writer.write(data)
        if close:
            writer.close()

    return behave


def never_answer(appliance: Appliance, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
    """Never answer."""


class StandIn:
    """Base of the stand-ins: a listener that tracks its connections; subclasses implement `converse`."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.opened = 0

    async def start(self) -> str:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.writers.append(writer)
        try:
            await self.converse(reader, writer)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.writers.remove(writer)

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the listener and all connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()


class Appliance(StandIn):
    """A scripted appliance; `behave` is called for each command and may be replaced at any time."""

    def __init__(self, behave: Behave = answer_at_once) -> None:
        super().__init__()
        self.behave, self.got, self.at = behave, list[list[bytes]](), list[float]()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = resp.CommandParser()
        while data := await reader.read(65536):
            for arguments in parser.feed(data):
                self.got.append(arguments)
                self.at.append(asyncio.get_running_loop().time())
                self.behave(self, writer, arguments)


class Discovery(StandIn):
    """The list by long poll; `corrupt_answers` replace the next answers, `silent` withholds all answers."""

    def __init__(self) -> None:
        super().__init__()
        self.generation, self.entries = 1, dict[str, dict[str, Any]]()
        self.changed, self.corrupt_answers, self.silent = asyncio.Event(), list[bytes](), False
        self.asked: list[str] = []
        self.on_sent: Callable[[list[dict[str, Any]], bool], None] = (
            lambda entries, whole: None
        )  # called with everything sent

    def set(self, id: str, **fields: Any) -> None:
        """Change an entry and publish it; a terminated entry is published once."""
        self.generation += 1
        self.entries[id] = {**self.entries.get(id, {}), **fields, "instanceId": id, "of": self.generation}
        self.changed.set()

    def listing(self, after: int | None) -> bytes:
        """The JSON of the whole list, or of the changes since generation `after`."""
        found = [
            {"zone": "north", "machineType": "std", "cell": 0, "weight": 1.0, "startedAtMs": 0, **e}
            for e in self.later(after)
        ]
        return json.dumps({"generation": self.generation, "reset": after is None, "instances": found}).encode()

    def later(self, after: int | None) -> list[dict[str, Any]]:
        """The entries of the whole list, or of the changes since generation `after`."""
        if after is None:
            return [e for e in self.entries.values() if e["lifecycle"] != "terminated"]
        return [e for e in self.entries.values() if e["of"] > after]

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.asked.append(head.split(b" ")[1].decode())
            after = re.search(r"after=(\d+)", self.asked[-1])
            if after and int(after[1]) >= self.generation and not self.corrupt_answers:
                self.changed.clear()
                await self.changed.wait()
            if self.silent:
                await asyncio.Event().wait()
            if writer.is_closing() or peer_closed(writer.transport):
                return  # the agent has disconnected meanwhile
            since = int(after[1]) if after else None
            if self.corrupt_answers:
                body = self.corrupt_answers.pop()
            else:
                body = self.listing(since)
                self.on_sent(self.later(since), since is None)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class Desk(StandIn):
    """The platform; `answer` returns the answer to a vote, or None to send none."""

    def __init__(self) -> None:
        super().__init__()
        self.state, self.votes = b"1 0 live 1 5", list[bytes]()
        self.answer: Callable[[bytes], bytes | None] = lambda _: b"OK " + self.state + b"\r\n"
        self.on_sent: Callable[[bytes, bool], None] = lambda state, first: None  # called with everything sent

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readuntil(b"\r\n"):
            if line == b"SUB\r\n":
                self.on_sent(self.state, True)
                writer.write(b"OK\r\n* progress " + self.state + b"\r\n*\r\n")
            else:
                self.votes.append(line.strip())
                if (answer := self.answer(line)) is not None:
                    self.on_sent(self.state, False)
                    writer.write(answer)

    def publish(self, state: bytes) -> None:
        """Set the state of the newest build and notify subscribers."""
        self.state = state
        if any(not writer.is_closing() and not peer_closed(writer.transport) for writer in self.writers):
            self.on_sent(state, False)
        self.broadcast(b"* progress " + state + b"\r\n")

    def broadcast(self, data: bytes) -> None:
        """Send bytes to all connections."""
        for writer in self.writers:
            if not writer.is_closing():
                writer.write(data)


class Rig(EventWatcher):
    """Async context manager: one agent and `count` appliances `s-0`, `s-1`, … of build 1 in zone north."""

    def __init__(self, count: int = 2, sockets: int = 256, seed: int = 1, **changes: Any) -> None:
        self.count, self.sockets, self.seed, self.changes = count, sockets, seed, changes
        self.appliances = [Appliance() for _ in range(count)]
        self.discovery, self.desk = Discovery(), Desk()
        self.events: list[it.Event] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.wall = lambda: 1e9 + asyncio.get_running_loop().time()
        self._ids = 0

    def config(self, **changes: Any) -> NodeConfig:
        """The agent's parsed configuration."""
        return read_config(self.file(**changes))

    def file(self, only: bytes | None = None, **changes: Any) -> bytes:
        """The agent's configuration file, or the bytes given as `only`."""
        if only is not None:
            return only
        file = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "0a",
            "limits": {"sockets": self.sockets},
            "pipeline": {
                "address": self.desk.address,
                "news": {"release": 1, "tranche": 0, "mode": "live", "exposure": 1.0, "old_ms": 5},
            },
            "known": json.loads(self.discovery.listing(None)),
            "settings": {**SETTINGS, **self.changes},
        }
        return json.dumps({**file, **changes}).encode()

    async def __aenter__(self) -> Rig:
        for i, one in enumerate(self.appliances):
            await one.start()
            self.discovery.set(f"s-{i}", hostPort=one.address, lifecycle="in_service", version_no=1)
        await self.discovery.start()
        await self.desk.start()
        self.node = Node(self.config(), random.Random(self.seed), lambda: self.wall(), silent())
        handle = self.node._agent.handle

        def recorded_handle(now: float, event: it.Event) -> list[it.Action]:
            self.events.append(event)
            return handle(now, event)

        self.node._agent.handle = recorded_handle  # type: ignore[method-assign]
        self.address = await self.node.start()
        await self.until(lambda: len(self.seen(it.ServerList)) > 1 and len(self.seen(it.StageNews)) > 1)
        return self

    async def __aexit__(self, *_: object) -> None:
        for writer in self.writers:
            writer.close()
        self.node.close()
        for stand_in in (*self.appliances, self.discovery, self.desk):
            stand_in.close()
        await asyncio.sleep(0)

    # --- clients ---
    def encode_request(
        self, cls: str = "lobby-read", d: object = 2000, id: str | None = None, **options: str
    ) -> bytes:
        """The bytes of a request."""
        self._ids += 1
        name = id or f"{self._ids:016x}"
        options_by_name = {
            "c": cls,
            "t": "first",
            "d": str(d),
            **({"k": "0c"} if cls == "queue-join" else {}),
            **options,
        }
        arguments = [
            name.encode() * 2,
            name.encode(),
            ",".join(f"{k}={v}" for k, v in options_by_name.items()).encode(),
        ]
        if cls == "lobby-read":
            return resp.encode_command([b"SVC.QUERY", *arguments])
        return resp.encode_command([b"SVC.SUBMIT", *arguments, b"the body\r\n\0"])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection to the agent."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.writers.append(writer)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes on a new connection; returns the first answer, or b"" if the agent closes it."""
        reader, writer = await self.connect()
        writer.write(data)
        return await answer(reader)


async def answer(reader: asyncio.StreamReader) -> bytes:
    """The next answer on a client connection: a line or the value of a bulk string; b"" if it was closed."""
    try:
        async with asyncio.timeout(20):
            line = await reader.readuntil(b"\r\n")
            if line[:1] != b"$":
                return line.strip()
            return (await reader.readexactly(int(line[1:]) + 2))[:-2]
    except (asyncio.IncompleteReadError, OSError):
        return b""
