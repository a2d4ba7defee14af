"""One client connection: reads commands and writes one answer for each, in the order of the commands.

The state only moves forward: `end_with_error` starts ending the connection, `close` and `connection_lost` end it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from enum import Enum
from typing import Protocol, cast

from otterquay.agent.ports import FinalAnswer, RequestHandler
from otterquay.agent.sockets import has_unread_data, peer_closed
from otterquay.agent.stall_detector import StallDetector
from otterquay.agent.write_stall import WriteStall
from otterquay.logs import Logger
from otterquay.node.request_reader import QUERY, SUBMIT, RequestReader
from otterquay.protocol import resp
from otterquay.protocol.http import ProtocolError

MAX_PIPELINED_COMMANDS = 32  # unanswered commands on one connection
INCOMPLETE_COMMAND_IDLE_S = 1.5  # since the last bytes of an incomplete command
MAX_INCOMPLETE_COMMAND_S = 2.5  # since its first bytes; the platform allows 3 s to reject a bad command
WRITE_STALL_TIMEOUT_S = 1.5  # for a client that accepts none of the bytes written to it
ENDING_TIMEOUT_S = 1.0  # for the answers pending before a protocol error; then they fail
IDLE_TIMEOUT_S = 2.0  # without a request; some clients connect and send nothing, or never close after one request
MAX_UNSENT_BYTES = 262144  # in the write buffer; above this the connection is not read
MAX_DISCARDED_BYTES = 1048576  # read and dropped after a protocol error, so that the client's close is noticed


class State(Enum):
    """Life cycle of a client connection."""

    OPEN = 0
    ENDING = 1  # no more commands are read; closes after the pending answers
    CLOSED = 2


class LastAnswer(Enum):
    """The kind of the last answer that was written to a connection."""

    NONE = "none"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"

    @staticmethod
    def of(answer: bytes) -> LastAnswer:
        """Classify the bytes of an answer."""
        if not answer.startswith(b"-"):
            return LastAnswer.SERVED
        return LastAnswer.REFUSED if answer.startswith(b"-BUSY") else LastAnswer.FAILED


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that accepted it."""

    ids: set[bytes]  # ids of open requests
    reader: RequestReader
    request_handler: RequestHandler
    stall_detector: StallDetector
    log: Logger

    @property
    def draining(self) -> bool:
        """Whether a connection closes after a served answer."""

    @property
    def finishing(self) -> bool:
        """Whether a connection closes after its next answer."""

    def now(self) -> float:
        """Seconds on the event loop's clock."""

    def active_time(self) -> float:
        """Seconds in which the agent could read."""

    def add_client(self, client: ClientConnection) -> None:
        """Register a new connection."""

    def remove_client(self, client: ClientConnection) -> None:
        """Unregister a closed connection."""


class PendingAnswer:
    """The place of a command's answer in the order of answers; the `Requester` of its request, if it became one."""

    __slots__ = ("answer", "client", "id", "number")

    def __init__(self, client: ClientConnection, id: bytes = b"", answer: bytes | None = None) -> None:
        self.client, self.id, self.answer = client, id, answer
        self.number: int | None = None

    def final(self, answer: FinalAnswer) -> None:
        """Encode the final answer; it is written after those before it."""
        if answer.kind == "served":
            self.set_answer(resp.encode_bulk(answer.body))
        elif answer.kind == "refused":
            wait = b" %d" % answer.retry_after_ms if answer.retry_after_ms >= 1 else b""
            self.set_answer(b"-BUSY%b\r\n" % wait)
        else:
            self.set_answer(resp.encode_error("ERR " + answer.body.decode().strip()))

    def set_answer(self, answer: bytes) -> None:
        """Set the answer, free the request id and write all answers that are ready."""
        self.answer = answer
        self.client.front.ids.discard(self.id)
        self.client.flush()

    def attempt(self, count: int) -> None:
        """Ignored: RESP has no way to report an attempt to the client."""

    def settled(self) -> None:
        """Ignored: pipelined commands do not wait for each other."""

    def has_left(self) -> bool:
        """Whether the client has closed the connection, even if the close has not been read yet."""
        return peer_closed(self.client.transport)


class ClientConnection(asyncio.Protocol):
    """asyncio protocol of one client connection. Times are seconds of `ConnectionOwner.active_time`."""

    __slots__ = (
        "awaits_first_request",
        "bytes_dropped",
        "ending_since",
        "feeding",
        "front",
        "half_since",
        "idle_since",
        "last_answer",
        "parser",
        "read_at",
        "slots",
        "state",
        "transport",
        "write_stall",
    )

    def __init__(self, front: ConnectionOwner) -> None:
        self.front, self.parser, self.slots = front, resp.CommandParser(), deque[PendingAnswer]()
        self.state, self.write_stall = State.OPEN, WriteStall()
        self.feeding = False  # a chunk of commands is being handled; no flush or close until its last one
        self.awaits_first_request = False  # accepted in a drain, and nothing has come yet
        self.last_answer = LastAnswer.NONE
        self.half_since: float | None = None
        self.ending_since, self.bytes_dropped = 0.0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; the front may shed an idle one in return."""
        # uvloop's transports do not subclass asyncio.Transport, hence the cast
        self.transport = transport = cast(asyncio.Transport, transport)
        self.read_at = self.idle_since = self.front.active_time()
        self.awaits_first_request = self.front.draining
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.front.add_client(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the requests of a client that has disconnected."""
        self.state = State.CLOSED
        self.front.remove_client(self)
        for slot in self.slots:
            self._abandon(slot)
        self.slots.clear()

    def eof_received(self) -> bool:
        """Treat the end of input as a disconnect; an incomplete command is answered with an error first."""
        if self.parser.started and self.state is State.OPEN:
            self.end_with_error("half a command")
        return False

    def pause_writing(self) -> None:
        """Stop reading while the client does not accept its answers; a close still fails the buffered writes."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read again once the client has accepted enough of its answers."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Handle the complete commands; a draining agent closes only after the last of them."""
        if self.state is not State.OPEN:
            return self._discard(len(data))
        self.read_at = self.idle_since = now = self.front.active_time()
        self.awaits_first_request = False
        commands = self.parser.feed(data)
        if len(self.slots) + len(commands) > MAX_PIPELINED_COMMANDS:
            return self.end_with_error(f"over {MAX_PIPELINED_COMMANDS} commands without an answer")
        if not self.parser.started:
            self.half_since = None
        elif commands or self.half_since is None:
            self.half_since = now
        self.feeding = True
        for arguments in commands:
            self._handle_command(arguments)
        self.feeding = False
        if self.parser.failed:
            self.end_with_error(self.parser.failed.reason)
        else:
            self.flush()

    def _discard(self, size: int) -> None:
        self.bytes_dropped += size
        if self.bytes_dropped > MAX_DISCARDED_BYTES and self.state is State.ENDING:
            self.fail_pending()

    def _handle_command(self, arguments: list[bytes]) -> None:
        name = arguments[0].upper()
        if name in (QUERY, SUBMIT):
            return self._handle_request(arguments)
        if name == b"PING" and len(arguments) <= 2:
            self._answer_directly(b"+PONG\r\n" if len(arguments) == 1 else resp.encode_bulk(arguments[1]))
        elif name in (b"CLIENT", b"SELECT"):
            self._answer_directly(b"+OK\r\n")
        else:
            self._answer_directly(
                resp.encode_error(f"ERR unknown command {name[:32].decode('ascii', 'replace')!r}")
            )

    def _handle_request(self, arguments: list[bytes]) -> None:
        front = self.front
        try:
            if arguments[0] not in (QUERY, SUBMIT):
                raise ProtocolError(400, "commands are written in capitals")
            client_request = front.reader.read(arguments)
            if arguments[2] in front.ids:
                raise ProtocolError(400, "id: a request of this id is open")
        except ProtocolError as error:
            front.log.info("request_refused", reason=error.reason)
            return self._answer_directly(resp.encode_error(f"ERR {error.reason}"))
        waited = front.stall_detector.max_wait_s(front.now()) * 1e3
        if waited > 1.0:  # deduct the time that the command may have waited unread during an event-loop stall
            client_request = replace(client_request, budget_ms=max(client_request.budget_ms - waited, 0.0))
        slot = PendingAnswer(self, arguments[2])
        self.slots.append(slot)
        front.ids.add(slot.id)
        if not front.request_handler.take(client_request, slot):
            slot.set_answer(b"-BUSY\r\n")

    def _answer_directly(self, answer: bytes) -> None:
        self.slots.append(PendingAnswer(self, b"", answer))
        self.flush()

    def flush(self) -> None:
        """Write the answers that are ready in order; close after the last one when ending or draining."""
        if self.feeding:
            return
        ready = []
        while self.slots and (answer := self.slots[0].answer) is not None:
            ready.append(answer)
            self.slots.popleft()
        if ready and not self.transport.is_closing():
            data = b"".join(ready)
            self.transport.write(data)
            self.write_stall.written += len(data)
            self.idle_since = self.front.active_time()
            self.last_answer = LastAnswer.of(ready[-1])
        # while draining, a client that was refused may retry at once, so until the end only a served one is closed
        served = bool(ready) and LastAnswer.of(ready[-1]) is LastAnswer.SERVED
        last = served or (bool(ready) and self.front.finishing)
        done = self.front.draining and last and not self.parser.started
        if not self.slots and (self.state is State.ENDING or done):
            self.close()

    def is_idle(self) -> bool:
        """Whether no answer is pending, no command is incomplete and no bytes are unread."""
        return (
            self.state is State.OPEN
            and not self.slots
            and not self.parser.started
            and not has_unread_data(self.transport)
        )

    def activity(self) -> str:
        """What the connection is doing, in one word for the log; if it is idle, its last answer."""
        if self.state is not State.OPEN:
            return "closing"
        if self.slots:
            return "request_open"
        return "command_begun" if self.parser.started else self.last_answer.value

    def close(self) -> None:
        """Close after the write buffer has been sent."""
        self.state = State.CLOSED
        self.transport.close()

    def end_with_error(self, reason: str) -> None:
        """Send the pending answers and an error, then close. Input is still read, to notice the client's close."""
        self.front.log.info("client_ended", reason=reason)
        self.state, self.ending_since = State.ENDING, self.front.active_time()
        self.slots.append(PendingAnswer(self, b"", resp.encode_error(f"ERR {reason}")))
        self.flush()

    def fail_pending(self) -> None:
        """Answer all pending requests with a failure: a client that broke the protocol is not waited for."""
        for slot in self.slots:
            if slot.answer is None:
                self._abandon(slot)
                slot.answer = b"-ERR failed\r\n"
        self.flush()

    def check_timeouts(self, now: float) -> None:
        """Close a client that is idle, never completes a command, or does not read its answers."""
        unsent = self.transport.get_write_buffer_size()
        if self.write_stall.stalled_s(unsent, now) >= WRITE_STALL_TIMEOUT_S:
            self.front.log.info("client_ended", reason="does not read", unsent=unsent)
            self.transport.abort()
        elif self.state is State.CLOSED:
            return
        elif self.state is State.ENDING:
            if now - self.ending_since >= ENDING_TIMEOUT_S:
                self.fail_pending()
        elif self.half_since is not None and (
            now - self.read_at >= INCOMPLETE_COMMAND_IDLE_S or now - self.half_since >= MAX_INCOMPLETE_COMMAND_S
        ):
            if not has_unread_data(self.transport):
                self.end_with_error("half a command")
        elif now - self.idle_since >= IDLE_TIMEOUT_S and self.is_idle():
            self.close()

    def _abandon(self, slot: PendingAnswer) -> None:
        self.front.ids.discard(slot.id)
        if slot.answer is None and slot.number is not None:
            self.front.request_handler.abandon(slot.number)
