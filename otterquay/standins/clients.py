"""Clients of the agents: open loop, uneven over agents, retrying by the rules, giving up in time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from otterquay.addresses import split_address
from otterquay.agent import front
from otterquay.protocol.http import HttpResponse, ProtocolError, ResponseParser, write_request
from otterquay.standins.appliance import OPERATION, WORK
from otterquay.standins.tape import Answered, Asked, Left, Lost, Surplus, Tape


@dataclass(frozen=True, slots=True)
class Habit:
    """One class as clients use it; times are seconds, `work_ms` a range."""

    cls: str
    effect: str
    scope: str
    share: float
    work_ms: tuple[float, float]
    deadline_s: float
    repeat_window_s: float


@dataclass(slots=True, eq=False)
class _Line:
    """A kept-alive connection to an agent."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: ResponseParser


@dataclass(slots=True, eq=False)
class Clients:
    """All clients of a run. `agents` gives the address of each agent that runs, by number."""

    tape: Tape
    rng: random.Random
    habits: Sequence[Habit]
    tenants: Sequence[tuple[str, float]]
    agents: dict[int, str]
    weights: Sequence[float]
    retries: int = 2
    backoff_s: float = 0.15
    try_share: tuple[float, float] = (0.4, 1.0)
    lines: dict[str, list[_Line]] = field(default_factory=dict)
    latencies: Callable[[str, float], None] = lambda cls, seconds: None
    _ops: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def offer(self, rate: Callable[[float], float], seconds: float) -> None:
        """Requests at `rate(t)` a second, drawn as a Poisson process ahead of the answers, then wait for all."""
        loop = asyncio.get_running_loop()
        start = due = loop.time()
        while True:
            due += self.rng.expovariate(max(rate(due - start), 1e-9))
            if due - start > seconds:
                break
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            self.spawn(due)
        while self._tasks:
            await asyncio.wait(list(self._tasks))
        self.close()

    def close(self) -> None:
        """Close all lines."""
        for lines in self.lines.values():
            for line in lines:
                line.writer.close()
        self.lines.clear()

    def spawn(self, due: float) -> None:
        """One operation, at an agent drawn by weight among all, running or not."""
        habit = self.rng.choices(self.habits, [h.share for h in self.habits])[0]
        agent = self.rng.choices(range(len(self.weights)), self.weights)[0]
        tenant = self.rng.choices([n for n, _ in self.tenants], [s for _, s in self.tenants])[0]
        self._ops += 1
        task = asyncio.get_running_loop().create_task(self.operate(f"op{self._ops}", habit, agent, tenant, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def operate(self, op: str, habit: Habit, agent: int, tenant: str, first: float) -> None:
        """One operation with its tries; each try has an id of its own."""
        loop = asyncio.get_running_loop()
        work = self.rng.uniform(*habit.work_ms)
        patience = self.rng.uniform(*self.try_share) * habit.deadline_s
        for attempt in range(self.retries + 1):
            left = first + habit.deadline_s - loop.time()
            if left <= 0.05:
                break
            kind = await self.ask(
                f"{op}.{attempt}", op, habit, agent, tenant, min(left, patience), work, first, attempt > 0
            )
            if kind == "served":
                self.latencies(habit.cls, loop.time() - first)
                return
            harmless = (
                kind in ("refused", "unreachable")
                or habit.effect == "safe"
                or (
                    habit.effect == "keyed" and habit.scope == "all" and loop.time() - first < habit.repeat_window_s
                )
            )
            if not harmless:
                return
            await asyncio.sleep(self.backoff_s * self.rng.uniform(0.5, 1.5))

    async def _line(self, address: str) -> _Line:
        free = self.lines.setdefault(address, [])
        while free:
            line = free.pop()
            if not line.reader.at_eof() and not line.writer.is_closing():
                return line
        reader, writer = await asyncio.open_connection(*split_address(address))
        return _Line(reader, writer, ResponseParser())

    async def ask(
        self,
        id: str,
        op: str,
        habit: Habit,
        agent: int,
        tenant: str,
        budget: float,
        work_ms: float,
        first: float,
        again: bool,
    ) -> str:
        """One try: "served", "refused", "failed", "left", "lost" or "unreachable"."""
        loop = asyncio.get_running_loop()
        address = self.agents.get(agent)
        if address is None:
            return "unreachable"
        try:
            line = await self._line(address)
        except OSError:
            return "unreachable"
        headers = [
            (b"host", address.encode()),
            (b"x-request-id", id.encode()),
            (OPERATION, op.encode()),
            (front.CLASS_HEADER, habit.cls.encode()),
            (front.BUDGET_HEADER, b"%d" % (budget * 1e3)),
            (WORK, b"%.2f" % work_ms),
        ]
        key = op if habit.effect == "keyed" else ""
        if key:
            headers.append((front.IDEMPOTENCY_KEY_HEADER, key.encode()))
        if tenant:
            headers.append((front.TENANT_HEADER, tenant.encode()))
        if again:
            headers.append((front.RETRY_HEADER, b"1"))
        now = loop.time()
        self.tape.add(Asked(now, id, op, agent, habit.cls, tenant, key, int(budget * 1e3) / 1e3, first))
        line.writer.write(write_request(b"POST", b"/", headers))
        try:
            async with asyncio.timeout_at(now + budget + 1.0):  # a second past its time, to see what comes late
                answer = await self._answer(line)
        except TimeoutError:
            self.tape.add(Left(loop.time(), id))
            line.writer.transport.abort()
            return "left"
        except (OSError, ProtocolError):
            line.writer.close()
            answer = None
        if answer is None:
            self.tape.add(Lost(loop.time(), id, True))
            return "lost"
        kind = answer.headers.get(front.ANSWER_HEADER, b"").decode()
        self.tape.add(
            Answered(
                loop.time(),
                id,
                kind if kind in ("served", "refused") else "failed",  # type: ignore[arg-type]
                answer.status,
                answer.body != b"wrong\n",
            )
        )
        if answer.keep_alive:
            self.lines.setdefault(address, []).append(line)
        else:
            line.writer.close()
        return kind or "failed"

    async def _answer(self, line: _Line) -> HttpResponse | None:
        while data := await line.reader.read(65536):
            if answers := line.parser.feed(data):
                if len(answers) > 1 or line.parser.started:
                    self.tape.add(Surplus(asyncio.get_running_loop().time(), "?"))
                return answers[0]
            if line.parser.failed:
                raise line.parser.failed
        return line.parser.eof()
