"""One client connection: commands in, one answer each, in the order of the commands, until it closes.

Its state only goes on, and each step has one place: `doom` (open to ending) and `close` (to closed).
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, cast

from otterquay.agent.ports import FinalAnswer
from otterquay.agent.sockets import has_unread_data, peer_closed
from otterquay.agent.write_stall import WriteStall
from otterquay.node.asks import QUERY, SUBMIT
from otterquay.protocol import resp
from otterquay.protocol.http import ProtocolError

if TYPE_CHECKING:
    from otterquay.node.front import Front

PIPELINED_MOST = 32  # commands of one connection without an answer
HALF_S, HALF_MOST_S = 1.5, 2.5  # a command that has begun: since its last bytes; in all, as bad ones get 3 s
STUCK_S = 1.5  # answers that the client does not take
ENDING_S = 1.0  # what stands before an error, then it is given up
IDLE_S = 2.0  # a connection without a request: some say nothing, some ask once and keep theirs for good
WRITE_MOST = 262144  # bytes that a client has not taken, over which it is not read
DISCARD_MOST = 1048576  # bytes read and dropped of one that has broken the protocol, so that its close is seen


class State(Enum):
    """Where a client connection stands."""

    OPEN = 0
    ENDING = 1  # nothing more is taken: what is owed, then the end
    CLOSED = 2


class Slot:
    """A command's place in the order of answers; asks for one request of the module."""

    __slots__ = ("answer", "client", "id", "number")

    def __init__(self, client: Client, id: bytes = b"", answer: bytes | None = None) -> None:
        self.client, self.id, self.answer = client, id, answer
        self.number: int | None = None

    def final(self, answer: FinalAnswer) -> None:
        """Write the final answer, after those before it."""
        if answer.kind == "served":
            self.end(resp.bulk(answer.body))
        elif answer.kind == "refused":
            wait = b" %d" % answer.retry_after_ms if answer.retry_after_ms >= 1 else b""
            self.end(b"-BUSY%b\r\n" % wait)
        else:
            self.end(resp.error("ERR " + answer.body.decode().strip()))

    def end(self, answer: bytes) -> None:
        """Set the answer."""
        self.answer = answer
        self.client.front.ids.discard(self.id)
        self.client.flush()

    def attempt(self, count: int) -> None:
        """The protocol has no word for it."""

    def settled(self) -> None:
        """The next may go at any time."""

    def has_left(self) -> bool:
        """Whether the client's close lies unread at the socket."""
        return peer_closed(self.client.transport)


class Client(asyncio.Protocol):
    """One client connection. Times are seconds of the front's `awake` clock."""

    __slots__ = (
        "bytes_dropped",
        "ending_since",
        "feeding",
        "front",
        "half_since",
        "idle_since",
        "parser",
        "read_at",
        "slots",
        "state",
        "transport",
        "write_stall",
    )

    def __init__(self, front: Front) -> None:
        self.front, self.parser, self.slots = front, resp.CommandParser(), deque[Slot]()
        self.state, self.write_stall = State.OPEN, WriteStall()
        self.feeding = False  # commands of one chunk are being taken: no close and no answer before the last
        self.half_since: float | None = None
        self.ending_since, self.bytes_dropped = 0.0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, of the idlest if need be."""
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's are none by their class
        self.read_at = self.idle_since = self.front.awake()
        transport.set_write_buffer_limits(high=WRITE_MOST)
        self.front.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone."""
        self.state = State.CLOSED
        self.front.went(self)
        for slot in self.slots:
            self._abandon(slot)
        self.slots.clear()

    def eof_received(self) -> bool:
        """It sends nothing more, which means that it has gone; one that leaves half a command is told."""
        if self.parser.started and self.state is State.OPEN:
            self.doom("half a command")
        return False

    def pause_writing(self) -> None:
        """It does not take its answers: no more is read of it. Its close is seen by the writes that wait."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """It takes them again."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Take the commands that are whole; a draining agent closes only after the last of them."""
        if self.state is not State.OPEN:
            return self._drop(len(data))
        self.read_at = self.idle_since = now = self.front.awake()
        commands = self.parser.feed(data)
        if len(self.slots) + len(commands) > PIPELINED_MOST:
            return self.doom(f"over {PIPELINED_MOST} commands without an answer")
        if not self.parser.started:
            self.half_since = None
        elif commands or self.half_since is None:
            self.half_since = now
        self.feeding = True
        for words in commands:
            self._command(words)
        self.feeding = False
        if self.parser.failed:
            self.doom(self.parser.failed.reason)
        else:
            self.flush()

    def _drop(self, size: int) -> None:
        self.bytes_dropped += size
        if self.bytes_dropped > DISCARD_MOST and self.state is State.ENDING:
            self.give_up()

    def _command(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if name in (QUERY, SUBMIT):
            return self._request(words)
        if name == b"PING" and len(words) <= 2:
            self._say(b"+PONG\r\n" if len(words) == 1 else resp.bulk(words[1]))
        elif name in (b"CLIENT", b"SELECT"):
            self._say(b"+OK\r\n")
        else:
            self._say(resp.error(f"ERR unknown command {name[:32].decode('ascii', 'replace')!r}"))

    def _request(self, words: list[bytes]) -> None:
        front = self.front
        try:
            if words[0] not in (QUERY, SUBMIT):
                raise ProtocolError(400, "commands are written in capitals")
            ask = front.reader.read(words)
            if words[2] in front.ids:
                raise ProtocolError(400, "id: a request of this id is open")
        except ProtocolError as error:
            front.log.info("request_refused", reason=error.reason)
            return self._say(resp.error(f"ERR {error.reason}"))
        waited = front.standstill.max_wait_s(front.now()) * 1e3
        if waited > 1.0:  # the client's time ran on
            ask = replace(ask, budget_ms=max(ask.budget_ms - waited, 0.0))
        slot = Slot(self, words[2])
        self.slots.append(slot)
        front.ids.add(slot.id)
        if not front.taker.take(ask, slot):
            slot.end(b"-BUSY\r\n")

    def _say(self, answer: bytes) -> None:
        self.slots.append(Slot(self, b"", answer))
        self.flush()

    def flush(self) -> None:
        """Write the answers that are next; end after the last where that is due."""
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
            self.idle_since = self.front.awake()
        # who was served may be let go; who was not may ask again at once, and goes when it has not
        served = bool(ready) and not ready[-1].startswith(b"-")
        done = self.front.draining and served and not self.parser.started
        if not self.slots and (self.state is State.ENDING or done):
            self.close()

    def idle(self) -> bool:
        """Whether nothing is owed here, nothing has begun to come and nothing lies unread."""
        return (
            self.state is State.OPEN
            and not self.slots
            and not self.parser.started
            and not has_unread_data(self.transport)
        )

    def close(self) -> None:
        """The end, after what is written has left."""
        self.state = State.CLOSED
        self.transport.close()

    def doom(self, reason: str) -> None:
        """Take nothing more: answer what is owed, say why, end. It is read on, so that its close is seen."""
        self.front.log.info("client_ended", reason=reason)
        self.state, self.ending_since = State.ENDING, self.front.awake()
        self.slots.append(Slot(self, b"", resp.error(f"ERR {reason}")))
        self.flush()

    def give_up(self) -> None:
        """Fail what still stands before the end: the client has broken the protocol and is not waited for."""
        for slot in self.slots:
            if slot.answer is None:
                self._abandon(slot)
                slot.answer = b"-ERR failed\r\n"
        self.flush()

    def swept(self, now: float) -> None:
        """A look at its patience: it may say nothing, never finish a command, or never read."""
        unsent = self.transport.get_write_buffer_size()
        if self.write_stall.stalled_s(unsent, now) >= STUCK_S:
            self.front.log.info("client_ended", reason="does not read", unsent=unsent)
            self.transport.abort()
        elif self.state is State.CLOSED:
            return
        elif self.state is State.ENDING:
            if now - self.ending_since >= ENDING_S:
                self.give_up()
        elif self.half_since is not None and (now - self.read_at >= HALF_S or now - self.half_since >= HALF_MOST_S):
            if not has_unread_data(self.transport):
                self.doom("half a command")
        elif now - self.idle_since >= IDLE_S and self.idle():
            self.close()

    def _abandon(self, slot: Slot) -> None:
        self.front.ids.discard(slot.id)
        if slot.answer is None and slot.number is not None:
            self.front.taker.abandon(slot.number)
