"""One connection to discovery: asks for the whole list, then for its changes by long polling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterquay.addresses import split_address
from otterquay.agent.sockets import has_unread_data
from otterquay.agent.stream_reader import PendingInputReader, open_connection
from otterquay.protocol.http import HttpResponse, ProtocolError, ResponseParser, write_request

PATH = "/api/targets"
READ_SIZE = 65536
WHOLE_LIST = -1  # in place of the generation that a watch starts from


class DiscoveryConnection:
    """A connection with one call at a time. Times are seconds on the event loop's clock.

    `on_answer` gets each answer and returns the generation to watch from, or None to close the connection.
    `overdue_s`, set by the owner, is how long the current call may be silent before another one is made.
    """

    def __init__(
        self,
        address: str,
        wait_s: float,
        max_body: int,
        now: float,
        on_answer: Callable[[DiscoveryConnection, HttpResponse], int | None],
    ) -> None:
        self._address, self._watch_wait_s, self._on_answer = address, wait_s, on_answer
        self._parser = ResponseParser(max_body=max_body)
        self._reader: PendingInputReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.base, self.wait_s = WHOLE_LIST, 0.0  # of the current call
        self.asked_at = self._heard_at = now
        self.overdue_s = 0.0
        self.received_news = False  # whether it brought another generation than the one that was held

    @property
    def answer_begun(self) -> bool:
        """Whether part of the answer has come."""
        return self._parser.started

    @property
    def silent_since(self) -> float:
        """When the current call could have been answered, or the last part of its answer came."""
        return max(self.asked_at + self.wait_s, self._heard_at)

    def note_unread_input(self, now: float) -> None:
        """Count input that this process has not got to read yet as heard."""
        if (self._reader and self._reader.has_pending_input) or (
            self._writer and has_unread_data(self._writer.transport)
        ):
            self._heard_at = now

    async def run(self) -> str:
        """Ask until the connection ends; returns the reason. OSError, ProtocolError or ValueError."""
        loop = asyncio.get_running_loop()
        self._reader, self._writer = await open_connection(*split_address(self._address))
        try:
            while True:
                host = (b"host", self._address.encode())
                self._writer.write(write_request(b"GET", self._target().encode(), [host]))
                answer = await self._read_answer(self._reader)
                generation = self._on_answer(self, answer)
                if not answer.keep_alive:
                    return "the connection was closed"
                if generation is None:
                    return ""
                self.base, self.wait_s, self.asked_at = generation, self._watch_wait_s, loop.time()
        finally:
            self._writer.close()

    def _target(self) -> str:
        if self.base == WHOLE_LIST:
            return PATH
        return f"{PATH}?after={self.base}&wait_ms={self.wait_s * 1e3:.0f}"

    async def _read_answer(self, reader: PendingInputReader) -> HttpResponse:
        while data := await reader.read(READ_SIZE):
            self._heard_at = asyncio.get_running_loop().time()
            answers = self._parser.feed(data)
            if self._parser.failed:
                raise self._parser.failed
            if len(answers) > 1 or (answers and self._parser.started):
                raise ProtocolError(502, "unexpected bytes after the answer")
            if answers:
                return answers[0]
        if last := self._parser.eof():
            return last
        raise ProtocolError(502, "the connection closed before the answer was complete")
