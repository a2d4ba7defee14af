"""Following a stream of server-sent events: connects, resumes by the last id, comes back after a break."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from otterquay.agent.reconnect import CONNECTION_ERRORS, Reconnect
from otterquay.logs import Logger
from otterquay.protocol.http import ProtocolError, ResponseParser, write_request
from otterquay.protocol.sse import SseError, SseEvent, SseParser


class Restart(Exception):
    """The consumer wants the stream from the beginning: forget the last id and connect anew."""


@dataclass(slots=True)
class Stream:
    """One feed. Times are seconds; `event` gets each event, `broken` is told of each break with its reason."""

    url: str
    agent: int
    event: Callable[[SseEvent], None]
    broken: Callable[[str], None]
    rng: random.Random
    log: Logger
    least_s: float
    most_s: float
    silence_s: float
    max_event: int
    last_id: str = ""
    _came: bool = False

    async def run(self) -> None:
        """Follow until cancelled; waits longer after each failure in a row, at random below the bound."""
        await Reconnect(
            self._once,
            lambda: self._came,
            self._broken,
            self.log.bind(url=self.url),
            "feed_fault",
            self.rng,
            self.least_s,
            self.most_s,
            (*CONNECTION_ERRORS, SseError),
        ).run()

    async def _once(self) -> str:
        try:
            await self._follow()
        except Restart as restart:
            self.last_id = ""
            return str(restart)
        return "the stream ended"

    def _broken(self, reason: str, failures: int) -> bool:
        self.log.warning("feed_broken", url=self.url, reason=reason, failures=failures)
        self.broken(reason)
        return False

    async def _follow(self) -> None:
        self._came = False
        parts = urlsplit(self.url)
        target = f"{parts.path or '/'}?agent={self.agent}".encode()
        headers = [(b"host", parts.netloc.encode()), (b"accept", b"text/event-stream")]
        if self.last_id:
            headers.append((b"last-event-id", self.last_id.encode()))
        async with asyncio.timeout(self.silence_s):
            reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
        try:
            writer.write(write_request(b"GET", target, headers))
            events = SseParser(self.max_event)
            events.last_id = self.last_id
            content: list[bytes] = []
            parser = ResponseParser(stream=content.append)
            while True:
                async with asyncio.timeout(self.silence_s):
                    data = await reader.read(65536)
                if not data:
                    return
                parser.feed(data)
                if parser.failed:
                    raise parser.failed
                if content and parser.status != 200:
                    raise ProtocolError(502, f"answered {parser.status}")
                pieces, content[:] = content[:], []
                for piece in pieces:
                    for event in events.feed(piece):
                        self.last_id = event.id
                        self._came = True
                        self.event(event)
        finally:
            writer.close()
