"""Clients of the agents: an open-loop load, weighted by agent, with retries by the rules and deadlines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from otterquay.addresses import split_address
from otterquay.agent import front
from otterquay.ordered_set import OrderedSet
from otterquay.protocol.http import HttpResponse, ProtocolError, ResponseParser, write_request
from otterquay.standins.appliance import OPERATION, WORK
from otterquay.standins.tape import Answered, Asked, Left, Lost, Surplus, Tape


@dataclass(frozen=True, slots=True)
class Habit:
    """How clients use one class; times are in seconds, `work_ms` is a range."""

    cls: str
    effect: str
    scope: str
    share: float
    work_ms: tuple[float, float]
    deadline_s: float
    repeat_window_s: float


@dataclass(slots=True, eq=False)
class _Connection:
    """A persistent connection to an agent."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: ResponseParser


@dataclass(slots=True, eq=False)
class Clients:
    """All clients of a run. `agents` holds the addresses of the running agents by number."""

    tape: Tape
    rng: random.Random
    habits: Sequence[Habit]
    tenants: Sequence[tuple[str, float]]
    agents: dict[int, str]
    weights: Sequence[float]
    retries: int = 2
    backoff_s: float = 0.15
    attempt_share: tuple[float, float] = (0.4, 1.0)
    idle_connections: dict[str, list[_Connection]] = field(default_factory=dict)
    latencies: Callable[[str, float], None] = lambda cls, seconds: None
    _ops: int = 0
    _tasks: OrderedSet[asyncio.Task[None]] = field(default_factory=OrderedSet)

    async def offer(self, rate: Callable[[float], float], seconds: float) -> None:
        """Start operations as a Poisson process of `rate(t)` per second, independent of answers; wait for all."""
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
        """Close all idle connections."""
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.writer.close()
        self.idle_connections.clear()

    def spawn(self, due: float) -> None:
        """Start one operation at an agent drawn by weight among all agents, running or not."""
        habit = self.rng.choices(self.habits, [h.share for h in self.habits])[0]
        agent = self.rng.choices(range(len(self.weights)), self.weights)[0]
        tenant = self.rng.choices([n for n, _ in self.tenants], [s for _, s in self.tenants])[0]
        self._ops += 1
        task = asyncio.get_running_loop().create_task(
            self.run_operation(f"op{self._ops}", habit, agent, tenant, due)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_operation(self, op: str, habit: Habit, agent: int, tenant: str, first: float) -> None:
        """Run one operation; each of its attempts has its own id."""
        loop = asyncio.get_running_loop()
        work = self.rng.uniform(*habit.work_ms)
        attempt_timeout_s = self.rng.uniform(*self.attempt_share) * habit.deadline_s
        for attempt in range(self.retries + 1):
            remaining_s = first + habit.deadline_s - loop.time()
            if remaining_s <= 0.05:
                break
            kind = await self.send_attempt(
                f"{op}.{attempt}",
                op,
                habit,
                agent,
                tenant,
                min(remaining_s, attempt_timeout_s),
                work,
                first,
                attempt > 0,
            )
            if kind == "served":
                self.latencies(habit.cls, loop.time() - first)
                return
            may_retry = (
                kind in ("refused", "unreachable")
                or habit.effect == "safe"
                or (
                    habit.effect == "keyed" and habit.scope == "all" and loop.time() - first < habit.repeat_window_s
                )
            )
            if not may_retry:
                return
            await asyncio.sleep(self.backoff_s * self.rng.uniform(0.5, 1.5))

    async def _connect(self, address: str) -> _Connection:
        idle = self.idle_connections.setdefault(address, [])
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
        reader, writer = await asyncio.open_connection(*split_address(address))
        return _Connection(reader, writer, ResponseParser())

    async def send_attempt(
        self,
        id: str,
        op: str,
        habit: Habit,
        agent: int,
        tenant: str,
        budget: float,
        work_ms: float,
        first: float,
        is_retry: bool,
    ) -> str:
        """Send one attempt; returns "served", "refused", "failed", "left", "lost" or "unreachable"."""
        loop = asyncio.get_running_loop()
        address = self.agents.get(agent)
        if address is None:
            return "unreachable"
        try:
            connection = await self._connect(address)
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
        if is_retry:
            headers.append((front.RETRY_HEADER, b"1"))
        now = loop.time()
        self.tape.add(Asked(now, id, op, agent, habit.cls, tenant, key, int(budget * 1e3) / 1e3, first))
        connection.writer.write(write_request(b"POST", b"/", headers))
        try:
            async with asyncio.timeout_at(now + budget + 1.0):  # a second beyond the budget, to record late answers
                answer = await self._read_answer(connection)
        except TimeoutError:
            self.tape.add(Left(loop.time(), id))
            connection.writer.transport.abort()
            return "left"
        except (OSError, ProtocolError):
            connection.writer.close()
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
            self.idle_connections.setdefault(address, []).append(connection)
        else:
            connection.writer.close()
        return kind or "failed"

    async def _read_answer(self, connection: _Connection) -> HttpResponse | None:
        while data := await connection.reader.read(65536):
            if answers := connection.parser.feed(data):
                if len(answers) > 1 or connection.parser.started:
                    self.tape.add(Surplus(asyncio.get_running_loop().time(), "?"))
                return answers[0]
            if connection.parser.failed:
                raise connection.parser.failed
        return connection.parser.eof()
