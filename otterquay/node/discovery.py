"""The server list by HTTP long polling: each connection reads the whole list first, then its changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.feeds import FleetRegistry
from otterquay.agent.reconnect import Reconnect
from otterquay.agent.runtime import Runtime
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.protocol.http import HttpResponse, ProtocolError, ResponseParser, write_request
from otterquay.protocol.targets import TargetReader

PATH = "/api/targets"
POLL_WAIT_MS = 3000  # short, as only the answer to a poll distinguishes a source without changes from a dead one
ANSWER_TIMEOUT_S = 1.0  # beyond the poll's own wait; doubled for a whole list that did not arrive in time
MAX_LIST_TIMEOUT_S = 8.0
BACKOFF_S = (0.02, 0.5)  # minimum and maximum of the random delay before reconnecting; doubled with each failure
MAX_LIST_BYTES = 8 * 1024 * 1024  # of one answer


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
        self._task: asyncio.Task[None] | None = None
        self._generation, self._received_news = -1, False  # whether this connection brought another generation
        self._list_timeout_s = ANSWER_TIMEOUT_S  # for a whole list

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
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task:
            self._task.cancel()
            self._task = None

    def set_address(self, address: str) -> None:
        """Poll another address from now on, starting with its whole list."""
        was_following, self._address = self._task is not None, address
        self.follow(False)
        self.follow(was_following)

    async def _run(self) -> None:
        await Reconnect(
            self._poll,
            lambda: self._received_news,
            self._broken,
            self._log,
            "discovery_fault",
            self._rng,
            *BACKOFF_S,
        ).run()

    def _broken(self, reason: str, failures: int) -> bool:
        self._log.warning("discovery_broken", address=self._address, reason=reason, failures=failures)
        ask_mode = self._runtime.settings.discovery is it.Discovery.ASK
        if ask_mode:
            self._task = None
            self._runtime.on_server_list(it.ServerList(it.ListKind.FAILED, 0, ()))
        return ask_mode

    async def _poll(self) -> str:
        """Poll on one connection until it ends; returns the reason."""
        self._received_news = False
        host, port = split_address(self._address)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            parser, target, wait_s = ResponseParser(max_body=MAX_LIST_BYTES), PATH, 0.0
            while True:
                writer.write(write_request(b"GET", target.encode(), [(b"host", self._address.encode())]))
                answer = await self._read_in_time(reader, parser, wait_s)
                self._apply(answer, wait_s == 0.0)
                if not answer.keep_alive:
                    return "the connection was closed"
                target, wait_s = f"{PATH}?after={self._generation}&wait_ms={POLL_WAIT_MS}", POLL_WAIT_MS / 1e3
        finally:
            writer.close()

    async def _read_in_time(
        self, reader: asyncio.StreamReader, parser: ResponseParser, wait_s: float
    ) -> HttpResponse:
        """Read an answer, or raise TimeoutError; the timeout grows if a whole list was only partly received."""
        try:
            async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S if wait_s else self._list_timeout_s):
                answer = await self._read_answer(reader, parser)
        except TimeoutError:
            if parser.started and not wait_s:
                self._list_timeout_s = min(2 * self._list_timeout_s, MAX_LIST_TIMEOUT_S)
            raise
        if not wait_s:
            self._list_timeout_s = ANSWER_TIMEOUT_S
        return answer

    async def _read_answer(self, reader: asyncio.StreamReader, parser: ResponseParser) -> HttpResponse:
        while data := await reader.read(65536):
            answers = parser.feed(data)
            if parser.failed:
                raise parser.failed
            if len(answers) > 1 or (answers and parser.started):
                raise ProtocolError(502, "unexpected bytes after the answer")
            if answers:
                return answers[0]
        if last := parser.eof():
            return last
        raise ProtocolError(502, "the connection closed before the answer was complete")

    def _apply(self, answer: HttpResponse, first: bool) -> None:
        """Pass the list or changes on; ValueError for changes that do not apply to the list held."""
        if answer.status != 200:
            raise ProtocolError(502, f"unexpected HTTP status {answer.status}")
        whole, fleet, refused = self._reader.read(answer.body, self._wall() * 1e3)
        if not whole and (first or fleet.version < self._generation):
            held = "none" if first else self._generation
            raise ValueError(f"received changes of generation {fleet.version}, but the list held is {held}")
        self._received_news |= fleet.version != self._generation
        self._generation = fleet.version
        if whole or fleet.entries:
            kind = it.ListKind.FULL if whole else it.ListKind.DELTA
            event = self.registry.apply(kind, fleet, asyncio.get_running_loop().time() * 1e3)
            self._runtime.on_server_list(event, self.registry.ended)
        self.registry.log_refused(refused, self._log)
