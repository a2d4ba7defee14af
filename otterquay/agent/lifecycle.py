"""The lifecycle of an agent: start, drain and close.

After a drain, every accepted request has had exactly one final answer, or its client has disconnected.
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
from otterquay.ordered_set import OrderedSet

DRAIN_POLL_S = 0.02


class Phase(Enum):
    """The phase of an agent; advanced by `Runtime.start`, `drain` and `close`, never set back."""

    STARTING = 0
    ACCEPTING = 1
    DRAINING = 2  # graceful shutdown: open requests are answered within the time left
    CLOSED = 3  # no request is open or accepted, and no attempt is sent


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt without an end: its exchange, its server's build, and the share of that build at the decision."""

    call: Call
    build: int
    allowed_share: float


@dataclass(slots=True)
class OpenRequest:
    """An accepted request; `client` is None once it has been answered or its client has disconnected.

    `may_have_run`: an attempt has ended without a proof that it never ran.
    """

    number: int
    request: ClientRequest
    client: Requester | None
    requester: Requester
    deadline_s: float
    may_have_run: bool = False
    attempts: int = 0
    open_attempts: dict[int, OpenAttempt] = field(default_factory=dict)
    last: End = End.NOT_STARTED


class Lifecycle:
    """Start, graceful shutdown and close of the runtime."""

    settle_s = 0.0  # for which the listener outlasts the last answers of a drain
    crossing_s = 0.0  # after the last open or close of a connection, in which a request that crossed it may come
    drains_full_time = False  # whether a drain lasts until `drain_until` although nothing is open any more
    ports: Ports
    settings: it.Settings
    pool: Pool
    log: Logger
    open_requests: dict[int, OpenRequest]
    counts: dict[str, int]
    _timers: OrderedSet[asyncio.TimerHandle]
    _now: Callable[[], float]

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.drain_until = math.inf  # on the loop's clock; requests still open then are failed

    def post(self, event: it.Event) -> None:
        """Pass an event to the decision module."""
        raise NotImplementedError

    def _answer(self, open_request: OpenRequest, answer: FinalAnswer) -> None:
        raise NotImplementedError

    async def start(self) -> tuple[str, int]:
        """Start the module, follow the feeds, listen; returns the bound address. OSError if it is not available."""
        self._now = asyncio.get_running_loop().time
        ports = self.ports
        if ports.peers:
            await ports.peers.start()
        self.post(it.Started())
        for event in ports.initial_events(self._now() * 1e3):
            self.post(event)
        ports.desk.start()
        if self.settings.discovery is it.Discovery.PUSH:
            ports.list.follow(True)
        bound = await ports.front.start()
        self.phase = Phase.ACCEPTING
        self.log.info("agent_started", agent=self.settings.me, listen=f"{bound[0]}:{bound[1]}")
        return bound

    async def stop(self, within_s: float) -> None:
        """Shut down gracefully: drain within this time, let all connections end, then close. Idempotent."""
        if self.phase in (Phase.DRAINING, Phase.CLOSED):
            return
        self.drain_until = min(self.drain_until, self._now() + within_s)
        await self.drain()
        listener_until = self._now() + self.settle_s  # requests that arrive meanwhile are refused
        self.ports.front.finish(listener_until)
        while (left := listener_until - self._now()) > 0 and not self.ports.front.drained(self.crossing_s):
            await asyncio.sleep(min(left, DRAIN_POLL_S))
        self.close()
        self.log.info("agent_stopped", **self.counts)

    async def drain(self) -> None:
        """Wait until `drain_until` for open requests to be answered and clients to leave; then fail the rest.

        It polls instead of waiting for the last request, as more may arrive in the loop iteration that ends it.
        """
        self.phase = Phase.DRAINING
        self.ports.front.drain()
        self.log.info("agent_draining", held=len(self.open_requests))
        while (left := self.drain_until - self._now()) > 0 and not self._drained():
            await asyncio.sleep(min(left, DRAIN_POLL_S))
        if unanswered := [open_request for open_request in self.open_requests.values() if open_request.client]:
            self.log.warning("drain_ended_with_requests_held", held=len(unanswered))
        for open_request in unanswered:
            self._fail_open_request(open_request)

    def _drained(self) -> bool:
        return (
            not self.drains_full_time
            and not any(open_request.client for open_request in self.open_requests.values())
            and self.ports.front.drained(self.crossing_s)
        )

    def _fail_open_request(self, open_request: OpenRequest) -> None:
        """Fail a request for which no time is left, and cancel its attempts."""
        if open_request.client:
            self._answer(open_request, FinalAnswer("failed", body=b"the agent ends\n"))
            self.post(it.Abandoned(open_request.number))
            for attempt in list(open_request.open_attempts.values()):
                self.pool.cancel(attempt.call)

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
