"""Test rig: a production agent on loopback with scripted appliances, discovery and platform, and client sockets."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from otterquay import interface as it
from otterquay.logs import silent
from otterquay.node.agent import Node
from otterquay.node.config import NodeConfig, read_config
from otterquay.protocol import resp
from otterquay.standins.resp import Appliance, Desk, Discovery
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
        self,
        cls: str = "lobby-read",
        d: object = 2000,
        id: str | None = None,
        body: bytes = b"the body\r\n\0",
        **options: str,
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
        return resp.encode_command([b"SVC.SUBMIT", *arguments, body])

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
