"""The server list by HTTP long polling: each connection reads the whole list first, then its changes.

One connection follows the list. While it is silent, younger calls are made beside it, and the first one that is
answered takes its place. A call that is out stays out as long as a slow discovery may take: its answer counts if it
is newer than the list held. `PollTimes` has the times.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from otterquay import interface as it
from otterquay.agent.connection_pool import MAX_TIMER_EARLY_S
from otterquay.agent.feeds import FleetRegistry
from otterquay.agent.reconnect import CONNECTION_ERRORS, retry_delay_s
from otterquay.agent.runtime import Runtime
from otterquay.logs import Logger
from otterquay.node.discovery_connection import WHOLE_LIST, DiscoveryConnection
from otterquay.node.poll_times import PollTimes
from otterquay.protocol import news
from otterquay.protocol.http import HttpResponse, ProtocolError
from otterquay.protocol.targets import TargetReader

MAX_CALLS = 3  # out at a time, each on a connection of its own
MAX_ANSWER_S = 8.0  # for an answer that has begun
MIN_RETRY_DELAY_S = 0.02
MAX_LIST_BYTES = 8 * 1024 * 1024  # of one answer
DELAY_FACTOR = 2.0  # of a shared discovery's last delay, after which a call counts as overdue


class DiscoveryPoller:
    """Polls discovery at an address that may change. `wall` returns Unix time in seconds."""

    def __init__(
        self,
        address: str,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        runtime: Runtime,
        rng: random.Random,
        wall: Callable[[], float],
        log: Logger,
    ) -> None:
        self._address, self._runtime, self._rng, self._wall, self._log = address, runtime, rng, wall, log
        self.registry, self._reader = FleetRegistry(zones), TargetReader(list(kinds))
        self._times = PollTimes.of(runtime.settings)
        self._is_shared = runtime.settings.discovery is it.Discovery.ASK
        self._task: asyncio.Task[None] | None = None
        self._calls: dict[DiscoveryConnection, asyncio.Task[None]] = {}  # the oldest first
        self._follower: DiscoveryConnection | None = None  # the one that goes on watching
        self._wake = asyncio.Event()
        self._generation, self._received_at = WHOLE_LIST, 0.0  # of the list held
        self._failures, self._retry_at = 0, 0.0
        self._silent_since: float | None = None  # while every call is overdue
        self._delay_s = 0.0  # of the last answer, beyond the wait of its call

    @property
    def entries(self) -> Mapping[int, news.Entry]:
        """The listed servers by number."""
        return self.registry.entries

    def initial_list(self, data: bytes, now_ms: float) -> it.ServerList | None:
        """The event for the list in the configuration, which may be outdated; None if it is malformed."""
        try:
            _, fleet, refused = self._reader.read(data, self._wall() * 1e3)
        except ValueError as error:
            return self._log.warning("known_list_unreadable", reason=str(error))  # type: ignore[no-any-return]
        event = self.registry.apply(it.ListKind.CACHED, fleet, now_ms)
        self.registry.log_refused(refused, self._log)
        return event

    def follow(self, on: bool) -> None:
        """Start or stop polling."""
        if on and (self._task is None or self._task.done()):
            self._failures, self._retry_at, self._silent_since = 0, 0.0, None
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task:
            self._task.cancel()
            self._task = None
            for call in list(self._calls):
                self._give_up(call)

    def set_address(self, address: str) -> None:
        """Poll another address from now on, starting with its whole list."""
        was_following, self._address = self._task is not None, address
        self.follow(False)
        self.follow(was_following)

    # --- which calls are out ---
    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._give_up_expired(loop.time())
            if self._next_call_at() <= loop.time():
                self._call_beside(loop.time())
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._next_step_at() + MAX_TIMER_EARLY_S):
                    await self._wake.wait()

    def _next_step_at(self) -> float:
        return min([self._next_call_at(), *map(self._expires_at, self._calls)])

    def _next_call_at(self) -> float:
        """When the next call is due: all that are out are overdue, and there is room for another."""
        if len(self._calls) >= MAX_CALLS and self._replaceable() is None:
            return min(map(self._expires_at, self._calls))
        return max([self._retry_at, *map(self._overdue_at, self._calls)])

    def _overdue_at(self, call: DiscoveryConnection) -> float:
        return min(call.silent_since + call.overdue_s, call.asked_at + call.wait_s + self._times.hold_s)

    def _expires_at(self, call: DiscoveryConnection) -> float:
        return call.asked_at + call.wait_s + (MAX_ANSWER_S if call.answer_begun else self._times.hold_s)

    def _replaceable(self) -> DiscoveryConnection | None:
        """The youngest call without any answer; the older ones are kept for a slow discovery."""
        return next((call for call in reversed(self._calls) if not call.answer_begun), None)

    def _give_up_expired(self, now: float) -> None:
        for call in [call for call in self._calls if self._expires_at(call) <= now]:
            self._give_up(call)

    def _give_up(self, call: DiscoveryConnection) -> None:
        self._calls.pop(call).cancel()
        if self._follower is call:
            self._follower = None

    def _call_beside(self, now: float) -> None:
        """Make another call, unless one that is out has been answered and this process has yet to read that."""
        for call in self._calls:
            call.note_unread_input(now)
        if self._next_call_at() > now:
            return
        if self._calls and self._silent_since is None:
            self._silent_since = min(call.silent_since for call in self._calls)
            self._log.warning("discovery_silent", address=self._address, silent_s=now - self._silent_since)
        if len(self._calls) >= MAX_CALLS and (replaced := self._replaceable()):
            self._give_up(replaced)
        self._follower = None
        connection = DiscoveryConnection(self._address, self._times.wait_s, MAX_LIST_BYTES, now, self._on_answer)
        connection.overdue_s = self._vary(self._patience_s() if self._silent_since is None else self._times.retry_s)
        self._calls[connection] = asyncio.get_running_loop().create_task(self._converse(connection))

    def _patience_s(self) -> float:
        """How long a call may be silent; a shared discovery that was slow is not asked twice as often for it."""
        usual_s = self._times.overdue_s
        if not self._is_shared:
            return usual_s
        return min(max(usual_s, DELAY_FACTOR * self._delay_s), self._times.hold_s)

    def _vary(self, time_s: float) -> float:
        return time_s * self._rng.uniform(1 - self._times.jitter, 1 + self._times.jitter)

    async def _converse(self, connection: DiscoveryConnection) -> None:
        try:
            reason = await connection.run()
        except CONNECTION_ERRORS as error:
            reason = str(error) or type(error).__name__
        except Exception as error:  # a bug ends this connection, but not the feed
            self._log.exception("discovery_fault")
            reason = type(error).__name__
        if self._calls.pop(connection, None) is None:
            return  # it was given up in this turn of the event loop
        if self._follower is connection:
            self._follower = None
        if reason:
            self._broken(reason, connection.received_news)
        self._wake.set()

    def _broken(self, reason: str, received_news: bool) -> None:
        self._failures = 0 if received_news else self._failures + 1
        self._log.warning("discovery_broken", address=self._address, reason=reason, failures=self._failures)
        if not self._calls and self._is_shared:
            self._report_failure()
            return
        delay_s = retry_delay_s(self._rng, self._failures, MIN_RETRY_DELAY_S, self._times.max_retry_delay_s)
        self._retry_at = asyncio.get_running_loop().time() + delay_s

    def _report_failure(self) -> None:
        """Leave it to the module when a shared discovery is asked again."""
        task, self._task = self._task, None
        if task:
            task.cancel()
        self._runtime.on_server_list(it.ServerList(it.ListKind.FAILED, 0, ()))

    # --- answers ---
    def _on_answer(self, connection: DiscoveryConnection, answer: HttpResponse) -> int | None:
        """Pass an answer on; returns the generation to watch from, None if another connection follows the list."""
        now = asyncio.get_running_loop().time()
        self._apply(connection, answer, now)
        self._note_answered(connection, now)
        self._wake.set()
        given_up = connection not in self._calls  # by what the module made of the answer
        if given_up or self._follower not in (None, connection):
            return None
        self._follower = connection
        return self._generation

    def _note_answered(self, connection: DiscoveryConnection, now: float) -> None:
        if now >= connection.asked_at + connection.wait_s:
            self._delay_s = now - connection.asked_at - connection.wait_s
        if self._silent_since is not None:
            silent_s = now - self._silent_since
            self._log.info("discovery_answers", address=self._address, silent_s=silent_s, delay_s=self._delay_s)
            self._silent_since = None
        connection.overdue_s = self._vary(self._patience_s())

    def _apply(self, connection: DiscoveryConnection, answer: HttpResponse, now: float) -> None:
        """Pass the list or changes on, if they are newer; ValueError for changes that fit no list."""
        if answer.status != 200:
            raise ProtocolError(502, f"unexpected HTTP status {answer.status}")
        whole, fleet, refused = self._reader.read(answer.body, self._wall() * 1e3)
        if not whole and (connection.base == WHOLE_LIST or fleet.version < connection.base):
            held = "none" if connection.base == WHOLE_LIST else connection.base
            raise ValueError(f"received changes of generation {fleet.version}, but the list held is {held}")
        # another call was answered since this one was asked, perhaps with what is newer
        overtaken = connection.asked_at < self._received_at
        if overtaken and not connection.base <= self._generation < fleet.version:
            return
        connection.received_news |= fleet.version != self._generation
        self._generation, self._received_at = fleet.version, now
        if whole or fleet.entries:
            kind = it.ListKind.FULL if whole else it.ListKind.DELTA
            event = self.registry.apply(kind, fleet, now * 1e3)
            self._runtime.on_server_list(event, self.registry.ended)
        self.registry.log_refused(refused, self._log)
