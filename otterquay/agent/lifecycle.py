"""An agent's life, from its start to the planned end: the one place that opens, drains and closes.

When a drain is over, every request that was taken has had exactly one final answer or its client has gone.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from otterquay import interface as it
from otterquay.agent.connection_pool import Pool
from otterquay.agent.exchange import Call
from otterquay.agent.outcomes import End
from otterquay.agent.ports import ClientRequest, FinalAnswer, Ports, Requester
from otterquay.logs import Logger

DRAIN_POLL_S = 0.02  # between looks at what a drain still waits for


class Phase(Enum):
    """Where an agent's life stands; it only goes on, and `Runtime.start`, `drain` and `close` are what moves it."""

    STARTING = 0
    ACCEPTING = 1
    DRAINING = 2  # a planned end: what is held is answered within the time left
    CLOSED = 3  # nothing is owed, nothing is taken, no attempt begins


@dataclass(slots=True)
class OpenRequest:
    """A request that was taken; `client` is None once nothing more is owed."""

    number: int
    request: ClientRequest
    client: Requester | None
    deadline_s: float
    attempts: int = 0
    calls: dict[int, Call] = field(default_factory=dict)
    last: End = End.NOT_STARTED


class Lifecycle:
    """What the runtime is between its start and its end."""

    settle_s = 0.0  # for the last answers of a drain to leave
    ports: Ports
    settings: it.Settings
    pool: Pool
    log: Logger
    open_requests: dict[int, OpenRequest]
    counts: dict[str, int]
    _timers: set[asyncio.TimerHandle]
    _now: Callable[[], float]

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.drain_until = math.inf  # of the loop's clock: no answer is waited for beyond it

    def post(self, event: it.Event) -> None:
        """Hand an event to the module."""
        raise NotImplementedError

    def _answer(self, open_request: OpenRequest, answer: FinalAnswer) -> None:
        raise NotImplementedError

    async def start(self) -> tuple[str, int]:
        """Start the module, follow the feeds, listen; returns the address bound. OSError when it cannot be."""
        self._now = asyncio.get_running_loop().time
        ports = self.ports
        if ports.peers:
            await ports.peers.start()
        self.post(it.Started())
        for event in ports.begin(self._now() * 1e3):
            self.post(event)
        ports.desk.start()
        if self.settings.discovery is it.Discovery.PUSH:
            ports.list.follow(True)
        bound = await ports.front.start()
        self.phase = Phase.ACCEPTING
        self.log.info("agent_started", agent=self.settings.me, listen=f"{bound[0]}:{bound[1]}")
        return bound

    async def stop(self, within_s: float) -> None:
        """A planned end: drain within this time, let the last answers leave, then close. Once is enough."""
        if self.phase in (Phase.DRAINING, Phase.CLOSED):
            return
        self.drain_until = min(self.drain_until, self._now() + within_s)
        await self.drain()
        settled = self._now() + self.settle_s  # who asks once more meanwhile is refused
        while self._now() < settled and not self.ports.front.drained():
            await asyncio.sleep(DRAIN_POLL_S)
        self.close()
        self.log.info("agent_stopped", **self.counts)

    async def drain(self) -> None:
        """Until `drain_until`: answer all that is held and let clients leave; then fail what is still held.

        It looks again and again rather than wait for a last request, as more may come in the turn that ends it.
        """
        self.phase = Phase.DRAINING
        self.ports.front.drain()
        self.log.info("agent_draining", held=len(self.open_requests))
        while (left := self.drain_until - self._now()) > 0 and not self._drained():
            await asyncio.sleep(min(left, DRAIN_POLL_S))
        if owed := [open_request for open_request in self.open_requests.values() if open_request.client]:
            self.log.warning("drain_ended_with_requests_held", held=len(owed))
        for open_request in owed:
            self._fail_held(open_request)

    def _drained(self) -> bool:
        return (
            not any(open_request.client for open_request in self.open_requests.values())
            and self.ports.front.drained()
        )

    def _fail_held(self, open_request: OpenRequest) -> None:
        """Its final answer when there is no more time; whatever is out for it is given up."""
        if open_request.client:
            self._answer(open_request, FinalAnswer("failed", body=b"the agent ends\n"))
            self.post(it.Abandoned(open_request.number))
            for call in list(open_request.calls.values()):
                self.pool.cancel(call)

    def close(self) -> None:
        """Close all sockets and timers at once."""
        self.phase = Phase.CLOSED
        ports = self.ports
        if ports.state_store:
            ports.state_store.flush()
        ports.list.follow(False)
        ports.desk.close()
        for timer in self._timers:
            timer.cancel()
        ports.front.close()
        self.pool.close()
        if ports.peers:
            ports.peers.close()
