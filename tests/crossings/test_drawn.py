"""Random sequences of client, appliance and feed events against one agent, and the rules that hold in any order.

`OTTERQUAY_DRAWS=2000 python -m pytest tests/crossings/test_drawn.py` runs more seeds; a failure names its seed.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from otterquay.agent.connection_pool import Pool
from otterquay.agent.exchange import Call, Connection
from otterquay.agent.lifecycle import Phase
from otterquay.agent.ports import ClientRequest, Requester
from otterquay.lab.attempt_audit import Audit
from otterquay.policy.agent import Agent
from otterquay.standins.resp import Appliance, served
from tests.crossings.forcing import run
from tests.crossings.wiretape import RespTape, broken
from tests.helpers import never_drains
from tests.noderig import CLASSES, SETTINGS, Rig, answer

DRAWS, STEPS = int(os.environ.get("OTTERQUAY_DRAWS", "32")), 60
SHORT = [{**one, "deadlineMs": 500.0, "onTimeMs": 200.0} for one in CLASSES]
EFFECTS = {str(one["name"]).encode(): str(one["effect"]) for one in CLASSES}
RESET = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: a close is a reset


@dataclass
class RandomClient:
    """A client on its own connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    asked: list[bytes] = field(default_factory=list)
    unsent: bytes = b""  # the rest of a command that was partly sent
    connected: bool = True
    sent_garbage: bool = False
    finals: asyncio.Task[list[bytes]] | None = None

    async def listen(self) -> list[bytes]:
        """Return all final answers until the connection closes."""
        got = []
        while one := await answer(self.reader):
            got.append(one)
        return got


class RandomRun:
    """One agent with its stand-ins and clients, driven by a seed."""

    def __init__(self, rig: Rig, other: Rig, seed: int, feeds: Sequence[int]) -> None:
        self.rig, self.other, self.rng, self.audit = rig, other, random.Random(seed), Audit(EFFECTS)
        self.tape = RespTape(rig)
        self.tape.hook(other)
        self.feeds = feeds  # the kinds of feed events to choose from
        self.talkers: list[RandomClient] = []
        self.late: list[tuple[list[bytes], asyncio.StreamWriter]] = []
        # only the rest tells a surplus answer from the next one: seeds with surplus answers use a long rest
        self.twice = seed % 2
        rig.node.pool.min_reuse_idle_s = 60.0 * self.twice
        for one in rig.appliances:
            self.audit.watch(one, self.behave)

    # --- appliances ---
    def behave(self, one: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        self.tape.request_arrived(one, words)
        value = served(b"for " + words[2])
        match self.rng.choices(
            ("good", "late", "busy", "error", "close", "twice", "part", "noise", "drop"),
            (8, 4, 3, 1, 1, self.twice, 1, 1, 1),
        )[0]:
            case "good":
                self.audit.answered(words, writer, value)
            case "late":
                self.late.append((words, writer))
            case "busy":
                self.audit.answered(words, writer, b"-BUSY\r\n")
            case "error":
                self.audit.answered(words, writer, b"-ERR failed\r\n")
            case "close":
                writer.close()
            case "twice":
                self.audit.answered(words, writer, value)
                asyncio.get_running_loop().call_soon(self._again, writer, value, self.rng.randrange(8))
            case "part":
                writer.write(value[: self.rng.randrange(1, len(value))])
                writer.close()
            case "noise":
                self.audit.answered(words, writer, b"\xff\x00*9\r\n")
            case "drop":
                writer.transport.abort()

    def _again(self, writer: asyncio.StreamWriter, value: bytes, turns: int) -> None:
        if turns:
            asyncio.get_running_loop().call_soon(self._again, writer, value, turns - 1)
        elif not writer.is_closing():
            writer.write(value)

    def answer_late(self) -> None:
        """Answer the requests that were held."""
        late, self.late = self.late, []
        for words, writer in late:
            self.audit.answered(words, writer, served(b"for " + words[2]))

    # --- clients ---
    async def ask(self) -> None:
        """Send one to three complete requests in one write, perhaps with the beginning of the next."""
        one = await self._random_client()
        if one.unsent:
            return
        data = b""
        for _ in range(self.rng.randint(1, 3)):
            data += self._request(one)
        whole = self._request(one)
        if self.rng.random() < 0.3:
            cut = self.rng.randrange(1, len(whole))
            data, one.unsent = data + whole[:cut], whole[cut:]
        else:
            one.asked.pop()
        one.writer.write(data)

    def _request(self, one: RandomClient) -> bytes:
        cls = self.rng.choice(("lobby-read", "queue-join", "race-entry"))
        id = f"r{len(self.talkers)}-{self.rng.getrandbits(40):x}"
        one.asked.append(id.encode())
        self.tape.asked(id, cls)  # the last may be completed later or never, which favours the agent
        return self.rig.encode_request(cls=cls, d=self.rng.choice((50, 300, 500)), id=id)

    async def finish(self) -> None:
        """Send the rest of commands that were partly sent."""
        for one in self.talkers:
            if one.unsent and one.connected:
                one.writer.write(one.unsent)
                one.unsent = ""  # type: ignore[assignment]

    async def leave(self) -> None:
        """Close or reset the connection of one client."""
        if here := [one for one in self.talkers if one.connected]:
            one = self.rng.choice(here)
            one.connected = False
            if self.rng.random() < 0.5 and not one.writer.is_closing():
                one.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            one.writer.close()

    async def spoil(self) -> None:
        """Send garbage from a client, which then gets an error or a close."""
        one = await self._random_client()
        one.sent_garbage = True
        one.writer.write(b"\x00noise\r\n")

    async def _random_client(self) -> RandomClient:
        here = [one for one in self.talkers if one.connected and not one.sent_garbage and not one.reader.at_eof()]
        if here and self.rng.random() < 0.5:
            return self.rng.choice(here)
        one = RandomClient(*await self.rig.connect())
        one.finals = asyncio.ensure_future(one.listen())
        self.talkers.append(one)
        return one

    # --- feeds ---
    async def feed(self) -> None:
        """Send one event of discovery or the platform."""
        rig, rng = self.rig, self.rng
        name = f"s-{rng.randrange(rig.count)}"
        match rng.choice(self.feeds):
            case 0:
                rig.discovery.set(name, lifecycle="terminating")
            case 1:
                rig.discovery.set(name, lifecycle="in_service", startedAtMs=0)
            case 2:
                rig.discovery.set(name, lifecycle="in_service", version_no=rng.choice((1, 2)), startedAtMs=10**12)
            case 3:
                self.tape.feeds_broken("list")
                rig.discovery.corrupt_answers = [b'{"generation":']
                rig.discovery.set(name)
            case 4:
                rig.desk.publish(
                    b"2 0 %b %.2f 5" % (rng.choice((b"testing", b"recalling")), rng.choice((0.0, 0.25)))
                )
            case 5:
                self.tape.feeds_broken("stage")
                rig.desk.broadcast(b"* noise\r\n")
            case 6:
                self.tape.feeds_broken("list", "stage")
                for writer in rig.discovery.writers + rig.desk.writers:
                    writer.transport.abort()
            case 7:
                self.tape.feeds_broken("list", "stage")
                rig.node.reload(rng.choice((rig, self.other)).config(name="n0"))

    async def play(self) -> None:
        """Run all steps, some loop iterations apart, then a graceful shutdown."""
        steps = {
            "ask": self.ask,
            "finish": self.finish,
            "leave": self.leave,
            "spoil": self.spoil,
            "feed": self.feed,
        }
        for _ in range(STEPS):
            name = self.rng.choices(list(steps), (10, 3, 3, 1, 4))[0]
            await steps[name]()
            if self.rng.random() < 0.3:
                self.answer_late()
            for _ in range(self.rng.choice((0, 1, 2, 5, 40))):
                await asyncio.sleep(0)
        leaving = asyncio.ensure_future(self.rig.node.shut_down())
        for _ in range(4):
            await self.ask()
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            await self.finish()
        await leaving


def check_writes(monkeypatch: pytest.MonkeyPatch, rig: Rig, broken: list[str]) -> set[bytes]:
    """Check that no request is sent for a client that has left, nor by a closed agent; returns the accepted ids."""
    write, take, taken = Pool._write, rig.node.take, set[bytes]()

    def noted(ask: ClientRequest, client: Requester) -> bool:
        taken.add(ask.message[2])
        return take(ask, client)

    def judged(self: Pool, connection: Connection, call: Call) -> None:
        node = rig.node
        if self is node.pool and not call.tag.startswith(b"probe"):
            number = int(call.tag.split(b"-")[0])
            if number not in node.open_requests or node.open_requests[number].client is None:
                broken.append(f"request {number} began after its client had left")
            if node.phase is Phase.CLOSED:
                broken.append(f"request {number} began in a closed agent")
        write(self, connection, call)

    monkeypatch.setattr(Pool, "_write", judged)
    monkeypatch.setattr(rig.node, "take", noted)
    return taken


@asynccontextmanager
async def day(seed: int, feeds: Sequence[int] = range(8)) -> AsyncIterator[RandomRun]:
    """An agent and its stand-ins, before any event."""
    rules = {**SETTINGS["rules"], "drainGraceMs": 300.0}
    async with Rig(count=3, seed=seed, requestClasses=SHORT, rules=rules) as rig, Rig(count=3) as other:
        other.discovery.entries, other.discovery.generation = rig.discovery.entries, 10**6
        yield RandomRun(rig, other, seed, feeds)


@pytest.mark.parametrize("seed", range(DRAWS))
def test_whatever_comes_in_whatever_order(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with day(seed) as drawn:
            taken = check_writes(monkeypatch, drawn.rig, drawn.audit.broken)
            await drawn.play()
            for one in drawn.talkers:
                if not one.connected or one.sent_garbage or one.unsent:
                    one.writer.close()  # only clients that stayed connected must have all answers
                assert one.finals
                got = await one.finals
                if not one.sent_garbage and not one.unsent:
                    drawn.audit.check_answers(one.asked, got, taken if one.connected else set())
            node: Any = drawn.rig.node
            assert not drawn.audit.broken, f"seed {seed}: {drawn.audit.broken}"
            assert not (found := broken(drawn.tape.judge())), f"seed {seed}: {found}"
            assert not node.open_requests and not node.front.ids and not node.front.clients, f"seed {seed}: held"
            assert not node.pool.open and not node.pool.connecting, f"seed {seed}: connections left"
            assert sum(drawn.audit.counts().values()) > 5, "something was sent"
        left = [
            task
            for task in asyncio.all_tasks()
            if task is not asyncio.current_task() and "otterquay" in str(task.get_coro())
        ]
        assert not left, f"seed {seed}: {left}"

    run(work)


def disable_caps(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the module ignore all caps."""
    monkeypatch.setattr(Agent, "_cap_reached", lambda *_: False)


@pytest.mark.parametrize(
    ("guard_out", "feeds", "rule"),
    [
        (never_drains, (0, 1), "drains"),
        (disable_caps, (2, 2, 4), "exposure"),
    ],
)
def test_with_a_guard_taken_out_some_drawn_day_shows_it(
    guard_out: Callable[[pytest.MonkeyPatch], None],
    feeds: Sequence[int],
    rule: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    guard_out(monkeypatch)

    async def found(seed: int) -> bool:
        async with day(seed, feeds) as drawn:
            await drawn.play()
            return rule in broken(drawn.tape.judge())

    async def work() -> None:
        for seed in range(12):  # about nine of them violate the rule
            if await found(seed):
                return
        raise AssertionError(f"no seed violated {rule}")

    run(work)
