"""A client for streams of server-sent events that resumes from the last event id after a break."""

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
    """Raised by a consumer to reconnect without the last event id, so that the stream starts from the beginning."""


@dataclass(slots=True)
class Stream:
    """One feed; `event` gets each event, `on_break` the reason of each break. Times are seconds."""

    url: str
    agent: int
    event: Callable[[SseEvent], None]
    on_break: Callable[[str], None]
    rng: random.Random
    log: Logger
    min_delay_s: float
    max_delay_s: float
    silence_s: float
    max_event: int
    last_id: str = ""
    _received_any: bool = False

    async def run(self) -> None:
        """Follow the stream until cancelled, reconnecting after each break."""
        await Reconnect(
            self._connect,
            lambda: self._received_any,
            self._handle_break,
            self.log.bind(url=self.url),
            "feed_fault",
            self.rng,
            self.min_delay_s,
            self.max_delay_s,
            (*CONNECTION_ERRORS, SseError),
        ).run()

    async def _connect(self) -> str:
        try:
            await self._follow()
        except Restart as restart:
            self.last_id = ""
            return str(restart)
        return "the stream ended"

    def _handle_break(self, reason: str, failures: int) -> bool:
        self.log.warning("feed_broken", url=self.url, reason=reason, failures=failures)
        self.on_break(reason)
        return False

    async def _follow(self) -> None:
        self._received_any = False
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
                        self._received_any = True
                        self.event(event)
        finally:
            writer.close()
