"""The server list by long poll: the whole of it once a connection, then what changes, call after call."""

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
WAIT_MS = 3000  # a watch; short, as only its end shows that a silent source is not merely quiet
PATIENCE_S = 1.0  # for an answer beyond the wait that was asked for; doubled for a whole list that did not fit it
PATIENCE_MOST_S = 8.0
BACKOFF_S = (0.02, 0.5)  # after a broken connection, at random; doubled from the least up
LIST_MOST = 8 * 1024 * 1024  # bytes of one answer


class PolledList:
    """Follows discovery at an address that may change. `wall` gives Unix time in seconds."""

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
        self.book, self._reader = FleetRegistry(zones), TargetReader(list(kinds))
        self._task: asyncio.Task[None] | None = None
        self._generation, self._came = -1, False  # and whether this connection brought another
        self._patience_s = PATIENCE_S  # for a whole list

    @property
    def entries(self) -> Mapping[int, news.Entry]:
        """Servers listed."""
        return self.book.entries

    def known(self, data: bytes, now_ms: float) -> it.ServerList | None:
        """The list as the configuration holds it, which may be old; None if it cannot be read."""
        try:
            _, fleet, refused = self._reader.read(data, self._wall() * 1e3)
        except ValueError as error:
            return self._log.warning("known_list_unreadable", reason=str(error))  # type: ignore[no-any-return]
        event = self.book.apply(it.ListKind.CACHED, fleet, now_ms)
        self.book.log_refused(refused, self._log)
        return event

    def follow(self, on: bool) -> None:
        """Follow the list, or stop."""
        if on and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._task:
            self._task.cancel()
            self._task = None

    def move(self, address: str) -> None:
        """Follow another address from now on, from the whole list."""
        following, self._address = self._task is not None, address
        self.follow(False)
        self.follow(following)

    async def _run(self) -> None:
        await Reconnect(
            self._converse,
            lambda: self._came,
            self._broken,
            self._log,
            "discovery_fault",
            self._rng,
            *BACKOFF_S,
        ).run()

    def _broken(self, reason: str, failures: int) -> bool:
        self._log.warning("discovery_broken", address=self._address, reason=reason, failures=failures)
        ask = self._runtime.settings.discovery is it.Discovery.ASK
        if ask:
            self._task = None
            self._runtime.on_server_list(it.ServerList(it.ListKind.FAILED, 0, ()))
        return ask

    async def _converse(self) -> str:
        """One connection: the whole list, then watches until it breaks; returns why it ended."""
        self._came = False
        host, port = split_address(self._address)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            parser, target, wait_s = ResponseParser(max_body=LIST_MOST), PATH, 0.0
            while True:
                writer.write(write_request(b"GET", target.encode(), [(b"host", self._address.encode())]))
                answer = await self._patiently(reader, parser, wait_s)
                self._take(answer, wait_s == 0.0)
                if not answer.keep_alive:
                    return "the connection ended"
                target, wait_s = f"{PATH}?after={self._generation}&wait_ms={WAIT_MS}", WAIT_MS / 1e3
        finally:
            writer.close()

    async def _patiently(self, reader: asyncio.StreamReader, parser: ResponseParser, wait_s: float) -> HttpResponse:
        """An answer in time: a silent source is left. A whole list of which some had come gets longer next time."""
        try:
            async with asyncio.timeout(wait_s + PATIENCE_S if wait_s else self._patience_s):
                answer = await self._answer(reader, parser)
        except TimeoutError:
            if parser.started and not wait_s:
                self._patience_s = min(2 * self._patience_s, PATIENCE_MOST_S)
            raise
        if not wait_s:
            self._patience_s = PATIENCE_S
        return answer

    async def _answer(self, reader: asyncio.StreamReader, parser: ResponseParser) -> HttpResponse:
        while data := await reader.read(65536):
            answers = parser.feed(data)
            if parser.failed:
                raise parser.failed
            if len(answers) > 1 or (answers and parser.started):
                raise ProtocolError(502, "bytes after the answer")
            if answers:
                return answers[0]
        if last := parser.eof():
            return last
        raise ProtocolError(502, "the connection ended before the answer")

    def _take(self, answer: HttpResponse, first: bool) -> None:
        """Tell the module; ValueError for changes to a list that is not held, as the first must be whole."""
        if answer.status != 200:
            raise ProtocolError(502, f"answered {answer.status}")
        whole, fleet, refused = self._reader.read(answer.body, self._wall() * 1e3)
        if not whole and (first or fleet.version < self._generation):
            held = "none" if first else self._generation
            raise ValueError(f"changes to generation {fleet.version}, held is {held}")
        self._came |= fleet.version != self._generation
        self._generation = fleet.version
        if whole or fleet.entries:
            kind = it.ListKind.FULL if whole else it.ListKind.DELTA
            told = self.book.apply(kind, fleet, asyncio.get_running_loop().time() * 1e3)
            self._runtime.on_server_list(told, self.book.ended)
        self.book.log_refused(refused, self._log)
