"""Scripted chat clients: they send commands, lose sockets at random points, and resume at any agent."""

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
class ChatClient:
    """A client and its session.

    `agents` maps agent numbers to chat addresses, `running_agents` holds the agents that run. `open` maps the id of
    a command without an answer to its text, `answered` the id of an answered one to the kind of its answer.
    """

    number: int
    tape: Tape
    rng: random.Random
    agents: dict[str, str]
    running_agents: dict[int, str]
    tenant: str
    commands: Sequence[str]
    fault_share: float
    agent_number: int = 0
    websocket: WebSocket | None = None
    token: str = ""
    welcomed: bool = False
    open: dict[str, str] = field(default_factory=dict)
    answered: dict[str, str] = field(default_factory=dict)
    waits: list[float] = field(default_factory=list)
    _sent_at: dict[str, float] = field(default_factory=dict)
    _command_count: int = 0
    _stalled_until: float = 0.0

    async def run(self, until: float, pause_s: float, drain_timeout_s: float) -> None:
        """Send commands until `until`, then wait for open ones, for at most `drain_timeout_s`."""
        loop = asyncio.get_running_loop()
        self.agent_number = self.rng.randrange(len(self.agents))
        next_at = loop.time() + self.rng.uniform(0, pause_s)
        while loop.time() < until or (self.open and loop.time() < until + drain_timeout_s):
            if self.websocket is None and not await self._connect():
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
                self.agent_number = self.rng.randrange(len(self.agents))
                continue
            if self.welcomed and loop.time() >= next_at and loop.time() < until:
                next_at = loop.time() + self.rng.expovariate(1 / pause_s)
                await self._send_command()
            else:
                poll_until = loop.time() + 0.2  # without a session, the next command is not yet due
                await self._receive_until(
                    min(next_at, poll_until) if self.welcomed and loop.time() < until else poll_until
                )
        self._abort_connection()

    def _abort_connection(self) -> None:
        if self.websocket:
            self.websocket.writer.transport.abort()
        self.websocket, self.welcomed = None, False

    async def _connect(self) -> bool:
        if self.agent_number not in self.running_agents:
            return False
        try:
            async with asyncio.timeout(3):
                self.websocket = await dial(self.agents[str(self.agent_number)])
        except (OSError, TimeoutError):
            return False
        return True

    def _send(self, **message: Any) -> None:
        if self.websocket:
            self.websocket.send(msgspec.json.encode(message))

    async def _send_command(self) -> None:
        self._command_count += 1
        op, loop = f"c{self.number}-{self._command_count}", asyncio.get_running_loop()
        name = self.rng.choice(self.commands)
        text = f"/{name} {op}"
        self.open[op], self._sent_at[op] = text, loop.time()
        self.tape.add(Typed(loop.time(), op, self.number, name))
        self._send(type="command", id=op, text=text)
        fault = self.rng.choice(FAULTS) if self.rng.random() < self.fault_share else "none"
        if fault == "drop_at_once":
            self._abort_connection()
        elif fault == "drop_after":
            await self._receive_until(loop.time() + self.rng.uniform(0, 0.08))
            self._abort_connection()
        elif fault == "drop_and_twice":
            self._abort_connection()
            duplicate = ChatClient(
                self.number,
                self.tape,
                self.rng,
                self.agents,
                self.running_agents,
                self.tenant,
                (),
                0.0,
                self.agent_number,
                token=self.token,
                open=dict(self.open),
            )
            if self.token and await duplicate._connect():  # a second client with the same token at the same time
                asyncio.get_running_loop().call_later(0.1, duplicate._abort_connection)
                self._duplicate = duplicate.websocket
                duplicate._send(type="resume", token=self.token, open=list(self.open))
        elif fault == "elsewhere":
            self._abort_connection()
            self.agent_number = self.rng.randrange(len(self.agents))
        elif fault == "again":
            self._send(type="command", id=op, text=text)
        elif fault == "stall":
            self._stalled_until = loop.time() + self.rng.uniform(0.1, 0.5)

    _duplicate: WebSocket | None = None

    async def _receive_until(self, deadline: float) -> None:
        """Handle received messages until `deadline`."""
        loop, websocket = asyncio.get_running_loop(), self.websocket
        if self._stalled_until > loop.time():
            return await asyncio.sleep(min(deadline, self._stalled_until) - loop.time())
        if websocket is None:
            return
        try:
            for text in websocket.messages():
                self._handle_message(msgspec.json.decode(text))
            async with asyncio.timeout_at(deadline):
                if not await websocket.receive():
                    return self._abort_connection()
            for text in websocket.messages():
                self._handle_message(msgspec.json.decode(text))
            websocket.flush()
        except TimeoutError:
            return
        except OSError:
            self._abort_connection()

    def _handle_message(self, message: dict[str, Any]) -> None:
        now = asyncio.get_running_loop().time()
        match message["type"]:
            case "challenge":
                if self.token:
                    self._send(type="resume", token=self.token, open=list(self.open))
                else:
                    self._send(type="hello", name=f"player-{self.number}", tenant=self.tenant)
            case "welcome":
                if self.token:
                    self.tape.add(Resumed(now, self.number, self.agent_number, bool(message.get("resumed"))))
                self.token, self.welcomed = message["token"], True
            case "accepted":
                self.tape.add(Told(now, message["id"], self.number, "accepted", self.agent_number, False))
            case "answer":
                self._handle_answer(message["id"], message["kind"], now)
            case "error":
                self._handle_error(message, now)

    def _handle_answer(self, op: str, kind: Any, now: float) -> None:
        repeated = self.answered.get(op) == kind
        self.tape.add(Told(now, op, self.number, kind, self.agent_number, repeated))
        self.answered[op] = kind
        self._send(type="ack", id=op)
        if self.open.pop(op, None):
            self.waits.append(now - self._sent_at[op])

    def _handle_error(self, message: dict[str, Any], now: float) -> None:
        code, op = message["code"], message.get("id", "")
        if code == "stale_token":  # open commands are lost then, which the judge reports as unanswered
            self.token = ""
        elif code == "not_here" and op in self.open:
            self._send(type="command", id=op, text=self.open[op])
        elif op in self.open:
            self.tape.add(Told(now, op, self.number, "not_taken", self.agent_number, False))
            del self.open[op]
