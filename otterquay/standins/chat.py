"""Scripted chat clients: they type, lose sockets at random points, come back here or elsewhere."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from otterquay.chat.gateway import WebSocket, dial
from otterquay.standins.tape import Resumed, Tape, Told, Typed

FAULTS = ("drop_at_once", "drop_after", "drop_and_twice", "elsewhere", "again", "stall", "none")


@dataclass(slots=True, eq=False)
class Chatter:
    """One client and its session. `agents` are the chat addresses by number; `up` those that run."""

    number: int
    tape: Tape
    rng: random.Random
    agents: dict[str, str]
    up: dict[int, str]
    tenant: str
    commands: Sequence[str]
    fault_share: float
    at: int = 0
    websocket: WebSocket | None = None
    token: str = ""
    welcomed: bool = False
    open: dict[str, str] = field(default_factory=dict)  # op: text, until its answer has come
    answered: dict[str, str] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    _since: dict[str, float] = field(default_factory=dict)
    _typed: int = 0
    _stalled_until: float = 0.0

    async def run(self, until: float, pause_s: float, patience_s: float) -> None:
        """Type until `until`, then wait for what is open as long as that takes, at most `patience_s`."""
        loop = asyncio.get_running_loop()
        self.at = self.rng.randrange(len(self.agents))
        next_at = loop.time() + self.rng.uniform(0, pause_s)
        while loop.time() < until or (self.open and loop.time() < until + patience_s):
            if self.websocket is None and not await self._connect():
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
                self.at = self.rng.randrange(len(self.agents))
                continue
            if self.welcomed and loop.time() >= next_at and loop.time() < until:
                next_at = loop.time() + self.rng.expovariate(1 / pause_s)
                await self._type()
            else:
                soon = loop.time() + 0.2  # before it is welcome, a client's next command does not fall due
                await self._pump(min(next_at, soon) if self.welcomed and loop.time() < until else soon)
        self._drop()

    def _drop(self) -> None:
        if self.websocket:
            self.websocket.writer.transport.abort()
        self.websocket, self.welcomed = None, False

    async def _connect(self) -> bool:
        if self.at not in self.up:
            return False
        try:
            async with asyncio.timeout(3):
                self.websocket = await dial(self.agents[str(self.at)])
        except (OSError, TimeoutError):
            return False
        return True

    def _send(self, **message: Any) -> None:
        if self.websocket:
            self.websocket.send(msgspec.json.encode(message))

    async def _type(self) -> None:
        self._typed += 1
        op, loop = f"c{self.number}-{self._typed}", asyncio.get_running_loop()
        name = self.rng.choice(self.commands)
        text = f"/{name} {op}"
        self.open[op], self._since[op] = text, loop.time()
        self.tape.add(Typed(loop.time(), op, self.number, name))
        self._send(type="command", id=op, text=text)
        fault = self.rng.choice(FAULTS) if self.rng.random() < self.fault_share else "none"
        if fault == "drop_at_once":
            self._drop()
        elif fault == "drop_after":
            await self._pump(loop.time() + self.rng.uniform(0, 0.08))
            self._drop()
        elif fault == "drop_and_twice":
            self._drop()
            twin = Chatter(
                self.number,
                self.tape,
                self.rng,
                self.agents,
                self.up,
                self.tenant,
                (),
                0.0,
                self.at,
                token=self.token,
                open=dict(self.open),
            )
            if self.token and await twin._connect():  # a twin with the same token at the same time
                asyncio.get_running_loop().call_later(0.1, twin._drop)
                self._twin = twin.websocket
                twin._send(type="resume", token=self.token, open=list(self.open))
        elif fault == "elsewhere":
            self._drop()
            self.at = self.rng.randrange(len(self.agents))
        elif fault == "again":
            self._send(type="command", id=op, text=text)
        elif fault == "stall":
            self._stalled_until = loop.time() + self.rng.uniform(0.1, 0.5)

    _twin: WebSocket | None = None

    async def _pump(self, due: float) -> None:
        """Take what comes until `due`."""
        loop, websocket = asyncio.get_running_loop(), self.websocket
        if self._stalled_until > loop.time():
            return await asyncio.sleep(min(due, self._stalled_until) - loop.time())
        if websocket is None:
            return
        try:
            for text in websocket.messages():
                self._take(msgspec.json.decode(text))
            async with asyncio.timeout_at(due):
                if not await websocket.receive():
                    return self._drop()
            for text in websocket.messages():
                self._take(msgspec.json.decode(text))
            websocket.flush()
        except TimeoutError:
            return
        except OSError:
            self._drop()

    def _take(self, message: dict[str, Any]) -> None:
        now = asyncio.get_running_loop().time()
        match message["type"]:
            case "challenge":
                if self.token:
                    self._send(type="resume", token=self.token, open=list(self.open))
                else:
                    self._send(type="hello", name=f"player-{self.number}", tenant=self.tenant)
            case "welcome":
                if self.token:
                    self.tape.add(Resumed(now, self.number, self.at, bool(message.get("resumed"))))
                self.token, self.welcomed = message["token"], True
            case "accepted":
                self.tape.add(Told(now, message["id"], self.number, "accepted", self.at, False))
            case "answer":
                self._answer(message["id"], message["kind"], now)
            case "error":
                self._problem(message, now)

    def _answer(self, op: str, kind: Any, now: float) -> None:
        again = self.answered.get(op) == kind
        self.tape.add(Told(now, op, self.number, kind, self.at, again))
        self.answered[op] = kind
        self._send(type="ack", id=op)
        if self.open.pop(op, None):
            self.waits.append(now - self._since[op])

    def _problem(self, message: dict[str, Any], now: float) -> None:
        code, op = message["code"], message.get("id", "")
        if code == "stale_token":  # what is open is lost to us; the judge will say so
            self.token = ""
        elif code == "not_here" and op in self.open:
            self._send(type="command", id=op, text=self.open[op])
        elif op in self.open:
            self.tape.add(Told(now, op, self.number, "not_taken", self.at, False))
            del self.open[op]
