"""The server list by long poll: the whole of it once a connection, then what changes, call after call."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.feeds import FleetBook
from otterquay.agent.runtime import Runtime
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.protocol.http import HttpResponse, ProtocolError, ResponseParser, write_request
from otterquay.protocol.targets import TargetReader

PATH = "/api/targets"
WAIT_MS = 3000  # a watch; short, as only its end shows that a silent source is not merely quiet
PATIENCE_S = 1.0  # for an answer beyond the wait that was asked for
AGAIN_S = (0.02, 0.5)  # after a broken connection, at random; doubled from the least up
LIST_MOST = 8 * 1024 * 1024  # bytes of one answer
REFUSED_LOGGED = 20


class PolledList:
    """Follows discovery at an address that may change. `wall` gives Unix time in seconds."""

    def __init__(
        self, address: str, zones: tuple[str, ...], kinds: tuple[str, ...], runtime: Runtime, rng: random.Random,
        wall: Callable[[], float], log: Logger,
    ) -> None:
        self._address, self._runtime, self._rng, self._wall, self._log = address, runtime, rng, wall, log
        self.book, self._reader = FleetBook(zones), TargetReader(list(kinds))
        self._task: asyncio.Task[None] | None = None
        self._generation = -1

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
        event = self.book.taken(it.ListKind.CACHED, fleet, now_ms)
        self._tell_refused(refused)
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
        failures = 0
        while True:
            heard = self._generation
            try:
                await self._converse()
                reason = "the connection ended"
            except (OSError, TimeoutError, ProtocolError, ValueError) as error:
                reason = str(error) or type(error).__name__
            except Exception as error:  # a fault of ours costs this connection, never the feed
                self._log.exception("discovery_fault")
                reason = type(error).__name__
            failures = 0 if self._generation != heard else failures + 1
            self._log.warning("discovery_broken", address=self._address, reason=reason, failures=failures)
            if self._runtime.settings.discovery is it.Discovery.ASK:
                self._task = None
                return self._runtime.listed(it.ServerList(it.ListKind.FAILED, 0, ()))
            least, most = AGAIN_S
            await asyncio.sleep(self._rng.uniform(least, min(most, least * 2 ** min(failures, 8))))

    async def _converse(self) -> None:
        """One connection: the whole list, then watches until it breaks."""
        host, port = split_address(self._address)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            parser, target, wait_s = ResponseParser(max_body=LIST_MOST), PATH, 0.0
            while True:
                writer.write(write_request(b"GET", target.encode(), [(b"host", self._address.encode())]))
                async with asyncio.timeout(wait_s + PATIENCE_S):
                    answer = await self._answer(reader, parser)
                whole = self._take(answer, wait_s == 0.0)
                if not answer.keep_alive:
                    return
                if whole is None:
                    raise ValueError("changes to a list that is not held")
                target, wait_s = f"{PATH}?after={self._generation}&wait_ms={WAIT_MS}", WAIT_MS / 1e3
        finally:
            writer.close()

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

    def _take(self, answer: HttpResponse, first: bool) -> bool | None:
        """Tell the module; None for changes where the whole list was needed."""
        if answer.status != 200:
            raise ProtocolError(502, f"answered {answer.status}")
        whole, fleet, refused = self._reader.read(answer.body, self._wall() * 1e3)
        if first and not whole:
            return None
        if not whole and fleet.version < self._generation:
            raise ValueError(f"generation {fleet.version} after {self._generation}")
        self._generation = fleet.version
        if whole or fleet.entries:
            kind = it.ListKind.FULL if whole else it.ListKind.DELTA
            told = self.book.taken(kind, fleet, asyncio.get_running_loop().time() * 1e3)
            self._runtime.listed(told, self.book.ended)
        self._tell_refused(refused)
        return whole

    def _tell_refused(self, refused: list[str]) -> None:
        refused += self.book.refused
        for reason in refused[:REFUSED_LOGGED]:
            self._log.warning("list_entry_refused", reason=reason, of=len(refused))
