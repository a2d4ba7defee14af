"""An appliance of the soak: answers as its mode says, and records what it received and answered."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from otterquay.lab.attempt_audit import Audit
from otterquay.lab.ports import HOST
from otterquay.lab.soak.process import limit_listener_buffer
from otterquay.lab.soak.script import Mode
from otterquay.standins import tape as tp
from otterquay.standins.feed_tape import incarnation, server_number
from otterquay.standins.links import Link, LinkState
from otterquay.standins.resp import Appliance, served

PORTS = 2  # of one appliance: its own and that of its link
REQUESTS = (b"SVC.QUERY", b"SVC.SUBMIT")
WORK_S = 0.001
LEAST_CAPACITY_PER_S = 50  # requests that a warm one bears, if it never got as many
USUAL_ANSWER_S = 0.015  # the longest time of a good answer
LATE_ANSWER_S = (0.1, 1.5)
MAX_SECOND_ANSWER_S = 0.003  # a second answer comes no later than this after the first
FAILS_LATE_SHARE = 0.25
FAILS_LATE_S = (0.35, 0.49)
RECEIVE_BUFFER_BYTES = 2048  # of a connection, on days with large bodies
SPOILT_ANSWERS = (b"\xff\x00*9\r\n", b"*3\r\n$-1\r\n", b":1\r\n")
MIXED: dict[Mode, int] = {
    "good": 8,
    "late": 2,
    "busy": 2,
    "error": 1,
    "close": 1,
    "reset": 1,
    "twice": 1,
    "spoilt": 1,
    "hang": 1,
}


@dataclass(frozen=True, slots=True)
class SecondAnswer:
    """A second answer to one request: when the write of the first one began, and when this one was written."""

    first_began_at: float
    written_at: float

    @property
    def delay_s(self) -> float:
        """How long after the first answer it came, at most."""
        return self.written_at - self.first_began_at


class StillingAppliance(Appliance):
    """An appliance that can stand still: it reads nothing meanwhile, on new connections neither."""

    still_until = 0.0

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        if asyncio.get_running_loop().time() < self.still_until:
            self._pause_reading(writer)
        await super().converse(reader, writer)

    def stand_still(self, seconds: float) -> None:
        """Read nothing for so long."""
        loop = asyncio.get_running_loop()
        self.still_until = loop.time() + seconds
        for writer in self.writers:
            self._pause_reading(writer)
        loop.call_later(seconds, self._go_on)

    def _pause_reading(self, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            writer.transport.pause_reading()  # type: ignore[attr-defined]

    def _go_on(self) -> None:
        for writer in self.writers:
            if not writer.is_closing():
                writer.transport.resume_reading()  # type: ignore[attr-defined]


@dataclass
class SoakAppliance:
    """One appliance, reached directly or over a link that can be cut; `entry` is its entry in discovery's list."""

    number: int
    zone: str
    relayed: bool
    rng: random.Random
    audit: Audit
    tape: tp.Tape
    mode: Mode = "good"
    stand_in: StillingAppliance = field(default_factory=StillingAppliance)
    link_state: LinkState = field(default_factory=LinkState)
    link: Link | None = None
    entry: dict[str, Any] = field(default_factory=dict)
    second_answers: dict[bytes, SecondAnswer] = field(default_factory=dict)  # the latest, by request

    @property
    def id(self) -> str:
        """Its id in discovery's list."""
        return f"s-{self.number}"

    async def start(self, port: int, link_port: int) -> None:
        """Listen on these ports, and fill in the entry."""
        address = await self.stand_in.start(port)
        self.audit.watch(self.stand_in, self._behave, direct=not self.relayed)
        if self.relayed:
            self.link = Link(address, self.link_state)
            address = await self.link.start(HOST, link_port)
        self.entry = {
            "instanceId": self.id,
            "hostPort": address,
            "lifecycle": "in_service",
            "version_no": 1,
            "zone": self.zone,
            "startedAtMs": 0,
        }

    def limit_receive_buffer(self) -> None:
        """Let the kernel hold little of what is not read, on connections to come."""
        limit_listener_buffer(self.stand_in.server, RECEIVE_BUFFER_BYTES)

    def stand_still(self, seconds: float) -> None:
        """Read and write nothing for so long."""
        self.stand_in.stand_still(seconds)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.stand_in.close()
        if self.link:
            self.link.close()

    def record_cold_start(self) -> None:
        """Record that it has just started, cold. Warm, it bears as much as it ever got in a second."""
        now, number = asyncio.get_running_loop().time(), server_number(self.entry)
        capacity = WORK_S * max(self._busiest_second(), LEAST_CAPACITY_PER_S)
        self.tape.add(
            tp.Started(now, number, incarnation(self.entry), int(self.entry["version_no"]), capacity, True)
        )

    def _busiest_second(self) -> int:
        return max(Counter(int(at) for at in self.stand_in.at).values(), default=0)

    def _behave(self, _: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        if words[0] not in REQUESTS:
            if self.mode != "hang":
                writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"$9\r\npending=1\r\n")
            return
        tag = self._record_arrival(words)
        mode = self.mode
        if mode == "mixed":
            mode = self.rng.choices(list(MIXED), list(MIXED.values()))[0]
        self._answer(mode, writer, words, tag)

    def _record_arrival(self, words: list[bytes]) -> str:
        now = asyncio.get_running_loop().time()
        tag = f"{len(self.stand_in.got)}"
        build, number = int(self.entry["version_no"]), server_number(self.entry)
        self.tape.add(
            tp.Arrived(now, words[2].decode(), tag, number, incarnation(self.entry), build, self.zone, WORK_S)
        )
        return tag

    def _answer(self, mode: Mode, writer: asyncio.StreamWriter, words: list[bytes], tag: str) -> None:
        value = served(b"for " + words[2])
        match mode:
            case "good":
                self._answer_later(writer, words, value, self.rng.uniform(0.0, USUAL_ANSWER_S))
            case "late":
                self._answer_later(writer, words, value, self.rng.uniform(*LATE_ANSWER_S))
            case "fails_late" if self.rng.random() < FAILS_LATE_SHARE:
                self._answer_later(writer, words, b"-ERR failed\r\n", self.rng.uniform(*FAILS_LATE_S))
            case "fails_late":
                self._answer_later(writer, words, value, self.rng.uniform(0.0, USUAL_ANSWER_S))
            case "twice":
                self._answer_twice(writer, words, value)
            case "busy":
                id = words[2].decode()
                now = asyncio.get_running_loop().time()
                self.tape.add(tp.Replied(now, id, tag, server_number(self.entry), "not_seen"))
                self.audit.answered(words, writer, b"-BUSY\r\n")
            case "error":
                self.audit.answered(words, writer, b"-ERR failed\r\n")
            case "spoilt":
                self.audit.answered(words, writer, self.rng.choice(SPOILT_ANSWERS))
            case "close":
                writer.write(value[: self.rng.randrange(len(value))])
                writer.close()
            case "reset":
                writer.transport.abort()

    def _answer_later(self, writer: asyncio.StreamWriter, words: list[bytes], value: bytes, seconds: float) -> None:
        asyncio.get_running_loop().call_later(seconds, self._answer_unless_still, writer, words, value)

    def _answer_unless_still(self, writer: asyncio.StreamWriter, words: list[bytes], value: bytes) -> None:
        if (still_s := self.stand_in.still_until - asyncio.get_running_loop().time()) > 0:
            self._answer_later(writer, words, value, still_s)
        else:
            self.audit.answered(words, writer, value)

    def _answer_twice(self, writer: asyncio.StreamWriter, words: list[bytes], value: bytes) -> None:
        loop = asyncio.get_running_loop()
        first_began_at = loop.time()
        self.audit.answered(words, writer, value)
        after_s = self.rng.uniform(0.0, MAX_SECOND_ANSWER_S / 2)
        loop.call_later(after_s, self._answer_again, writer, words[2], value, first_began_at)

    def _answer_again(self, writer: asyncio.StreamWriter, id: bytes, value: bytes, first_began_at: float) -> None:
        """Send the second answer, unless this loop was held up for so long that no agent could tell it apart.

        Its time counts from before the first write, which lets the agent run and may take as long as a time slice.
        """
        now = asyncio.get_running_loop().time
        if now() - first_began_at <= MAX_SECOND_ANSWER_S and not writer.is_closing():
            writer.write(value)
            self.second_answers[id] = SecondAnswer(first_began_at, now())
