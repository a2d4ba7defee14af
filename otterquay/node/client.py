"""One client connection: reads commands and writes one answer for each, in the order of the commands.

The state only moves forward: `end_with_error` starts ending the connection, `close` and `connection_lost` end it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from enum import Enum
from typing import Protocol, cast

from otterquay import interface as it
from otterquay.agent.input_budget import InputBudget
from otterquay.agent.ports import FinalAnswer, RequestHandler
from otterquay.agent.sockets import has_unread_data, peer_closed
from otterquay.agent.stall_detector import StallDetector
from otterquay.agent.write_stall import WriteStall
from otterquay.logs import Logger
from otterquay.node.request_ids import RequestIds, remember_for_s
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

    ids: RequestIds
    reader: RequestReader
    request_handler: RequestHandler
    settings: it.Settings
    stall_detector: StallDetector
    input_budget: InputBudget
    read_buffer: memoryview
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

    __slots__ = ("answer", "client", "id", "number", "remember_s", "size")

    def __init__(
        self,
        client: ClientConnection,
        id: bytes = b"",
        answer: bytes | None = None,
        size: int = 0,
        remember_s: float = 0.0,
    ) -> None:
        self.client, self.id, self.answer, self.size, self.remember_s = client, id, answer, size, remember_s
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
        """Set the answer and write all answers that are ready."""
        self.answer = answer
        self.free_repeatable_id()
        self.client.request_ended(self)
        self.client.flush()

    def attempt(self, count: int) -> None:
        """Ignored: RESP has no way to report an attempt to the client."""

    def free_repeatable_id(self) -> None:
        """Free the id of a request that may run again, although an attempt may still be out."""
        if not self.remember_s:
            self.client.front.ids.end(self.id)

    def ended(self, may_have_run: bool) -> None:
        """Free the request's id, or remember it if the request must not run again."""
        front = self.client.front
        remembers = may_have_run and self.remember_s > 0.0
        front.ids.end(self.id, front.now() + self.remember_s if remembers else 0.0)

    def settled(self) -> None:
        """Ignored: pipelined commands do not wait for each other."""

    def has_left(self) -> bool:
        """Whether the client has closed the connection, even if the close has not been read yet."""
        return peer_closed(self.client.transport)


class ClientConnection(asyncio.BufferedProtocol):
    """asyncio protocol of one client connection. Times are seconds of `ConnectionOwner.active_time`.

    It reads as much at a time as the budget of all connections allows. Two times are on the event loop's clock:
    `waiting_since`, while it waits for room, and `unread_since`, since when what it reads may have lain unread.
    """

    __slots__ = (
        "asked_bytes",
        "awaits_first_request",
        "buffered_bytes",
        "bytes_dropped",
        "ending_since",
        "feeding",
        "front",
        "half_since",
        "idle_since",
        "last_answer",
        "parser",
        "read_at",
        "requests_bytes",
        "slots",
        "state",
        "transport",
        "unread_since",
        "waiting_since",
        "write_paused",
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
        self.buffered_bytes, self.requests_bytes = 0, 0  # of incomplete commands and answers; of open requests
        self.asked_bytes, self.write_paused = 0, False
        self.waiting_since: float | None = None
        self.unread_since: float | None = None

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
        self.front.input_budget.forget(self)
        for slot in self.slots:
            self._abandon(slot)
        self.slots.clear()
        self._set_buffered(0)

    def eof_received(self) -> bool:
        """Treat the end of input as a disconnect; an incomplete command is answered with an error first."""
        if self.parser.started and self.state is State.OPEN:
            self.end_with_error("half a command")
        return False

    def pause_writing(self) -> None:
        """Stop reading while the client does not accept its answers; a close still fails the buffered writes."""
        self.write_paused = True
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read again once the client has accepted enough of its answers."""
        self.write_paused = False
        if self.waiting_since is None and not self.transport.is_closing():
            self.transport.resume_reading()

    # --- the budget of all connections ---
    @property
    def held_bytes(self) -> int:
        """The memory that this connection's input takes."""
        return self.buffered_bytes + self.requests_bytes

    def _count_buffered(self) -> None:
        """Count the command that is not complete, and the answers that wait for those before them."""
        answers_bytes = sum(len(slot.answer) for slot in self.slots if slot.answer is not None)
        self._set_buffered(self.parser.buffered_bytes + answers_bytes)

    def _set_buffered(self, size: int) -> None:
        change, self.buffered_bytes = size - self.buffered_bytes, size
        if change:
            self.front.input_budget.charge(change)

    def _wait_for_room(self) -> None:
        """Read no more until there is room, unless this connection holds little."""
        budget = self.front.input_budget
        if self.waiting_since is None and self.state is State.OPEN and not budget.has_room(self):
            self.waiting_since = self.front.now()
            self.transport.pause_reading()
            budget.wait(self)

    def has_unread_input(self) -> bool:
        """Whether input, or the end of the connection, lies unread."""
        return has_unread_data(self.transport)

    def read_on(self) -> None:
        """Read again, as there is room or the input has waited too long."""
        if self.waiting_since is None:
            return
        if self.unread_since is None:
            self.unread_since = self.waiting_since
        self.waiting_since = None
        if not self.write_paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def _read_on_within_share(self) -> None:
        budget = self.front.input_budget
        if self.waiting_since is not None and budget.has_room(self):
            budget.stop_waiting(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, as large as there is room."""
        self.asked_bytes = self.front.input_budget.read_size(self)
        return self.front.read_buffer[: self.asked_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read; no more than that lies unread if it did not fill the buffer."""
        is_last = nbytes < self.asked_bytes
        self._handle_input(bytes(self.front.read_buffer[:nbytes]))
        if is_last:
            self.unread_since = None
        if not self.transport.is_closing():
            self._wait_for_room()

    def _handle_input(self, data: bytes) -> None:
        """Handle the complete commands; a draining agent closes only after the last of them."""
        if self.state is not State.OPEN:
            return self._discard(len(data))
        self.read_at = self.idle_since = now = self.front.active_time()
        self.awaits_first_request = False
        commands = self.parser.feed(data)
        self._count_buffered()
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
            self._check_id(arguments[2])
        except ProtocolError as error:
            front.log.info("request_refused", reason=error.reason)
            return self._answer_directly(resp.encode_error(f"ERR {error.reason}"))
        waited = self._max_wait_s() * 1e3
        if waited > 1.0:  # deduct the time that the command may have waited unread
            client_request = replace(client_request, budget_ms=max(client_request.budget_ms - waited, 0.0))
        size = client_request.size
        remember_s = remember_for_s(front.settings.classes[client_request.cls])
        slot = PendingAnswer(self, arguments[2], size=size, remember_s=remember_s)
        self.slots.append(slot)
        no_room = self._missing_room(slot)
        self.requests_bytes += size
        front.ids.open(slot.id)
        if no_room:
            front.log.info("request_refused", reason=no_room)
        if no_room or not front.request_handler.take(client_request, slot):
            front.ids.end(slot.id)
            slot.set_answer(b"-BUSY\r\n")

    def _check_id(self, id: bytes) -> None:
        """Raise ProtocolError for an id that may not come now. It is no refusal: the first may have run."""
        if self.front.ids.is_open(id):
            raise ProtocolError(400, "id: a request of this id is open")
        if self.front.ids.may_have_run(id, self.front.now()):
            raise ProtocolError(400, "id: a request of this id may have run")

    def _missing_room(self, slot: PendingAnswer) -> str:
        """What there is no room for, if a request can't be taken for that."""
        if not self.front.input_budget.may_take(slot.size, self):
            return "no room for its content"
        if slot.remember_s and self.front.ids.is_full(self.front.now()):
            return "no room for its id"
        return ""

    def _max_wait_s(self) -> float:
        """How long what is read now may have lain unread, in a stall of the event loop or for want of room."""
        now = self.front.now()
        waited_s = 0.0 if self.unread_since is None else now - self.unread_since
        return max(waited_s, self.front.stall_detector.max_wait_s(now))

    def _answer_directly(self, answer: bytes) -> None:
        self.slots.append(PendingAnswer(self, b"", answer))
        self.flush()

    def request_ended(self, slot: PendingAnswer) -> None:
        """Count the request no more, and read on if the others of this connection are few."""
        self.requests_bytes -= slot.size
        slot.size = 0
        self._read_on_within_share()

    def flush(self) -> None:
        """Write the answers that are ready in order; close after the last one when ending or draining."""
        if self.feeding:
            return
        ready = []
        while self.slots and (answer := self.slots[0].answer) is not None:
            ready.append(answer)
            self.slots.popleft()
        self._count_buffered()
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
            self.state is State.OPEN and not self.slots and not self.parser.started and not self.has_unread_input()
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
        if self.waiting_since is not None and peer_closed(self.transport):
            self.transport.abort()  # its end would lie unread behind what is not read
        elif self.write_stall.stalled_s(unsent, now) >= WRITE_STALL_TIMEOUT_S:
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
            if not self.has_unread_input():
                self.end_with_error("half a command")
        elif now - self.idle_since >= IDLE_TIMEOUT_S and self.is_idle():
            self.close()

    def _abandon(self, slot: PendingAnswer) -> None:
        slot.free_repeatable_id()
        if slot.answer is None and slot.number is not None:
            self.front.request_handler.abandon(slot.number)
