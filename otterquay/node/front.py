"""The side towards clients: RESP commands in, one answer each, in the order of the commands.

It answers by itself only what never becomes a request: what cannot be read, unknown names, an id that is open, more
than its bounds. Everything else gets exactly one answer, from the module.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from dataclasses import dataclass, field, replace
from typing import cast

from otterquay import interface as it
from otterquay.addresses import split_address
from otterquay.agent.ports import Ask, Final, Taker
from otterquay.agent.standstill import BEAT_S, Standstill
from otterquay.agent.unread import Unread
from otterquay.logs import Logger
from otterquay.protocol import resp
from otterquay.protocol.http import ProtocolError

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
PIPELINED_MOST = 32  # commands of one connection without an answer
HALF_S = 1.5  # a command that has begun
STUCK_S = 1.5  # answers that the client does not take
DOOMED_S = 1.0  # what stands before an error, then it is given up
IDLE_S = 2.0  # a connection without a request: some say nothing, some ask once and keep theirs for good
SETTLED_S = 0.1  # idle for less, a connection may be about to ask
SWEEP_S = 0.1
WRITE_MOST = 262144  # bytes that a client has not taken, over which it is not read
_NAME = re.compile(rb"[!-+\--~]{1,128}")  # printable, no comma or blank
_DEADLINE = re.compile(rb"\d{1,9}(\.\d{1,6})?")


@dataclass(slots=True)
class Reader:
    """Turns commands into asks by the names that the settings give."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    settings: it.Settings

    @staticmethod
    def of(settings: it.Settings) -> Reader:
        return Reader({c.name.encode(): i for i, c in enumerate(settings.classes)},
                      {t.name.encode(): i for i, t in enumerate(settings.tenants)}, settings)

    def read(self, words: list[bytes]) -> Ask:
        """The ask in a command; ProtocolError names what is at fault and what it may be."""
        safe = words[0] == QUERY
        if len(words) != (4 if safe else 5):
            raise ProtocolError(400, "wrong number of arguments")
        for what, word in (("key", words[1]), ("id", words[2])):
            if not _NAME.fullmatch(word):
                raise ProtocolError(400, f"{what}: 1 to 128 printable characters")
        options: dict[bytes, bytes] = {}
        for item in words[3].split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or not _NAME.fullmatch(name) or not _NAME.fullmatch(value) or name in options:
                raise ProtocolError(400, "options: names with values, each once")
            options[name] = value
        cls = self.classes.get(options.get(b"c", b""))
        if cls is None:
            raise ProtocolError(400, f"c: one of {b', '.join(self.classes).decode()}")
        effect = self.settings.classes[cls].effect
        if safe is not (effect is it.Effect.SAFE):
            raise ProtocolError(400, "c: not a class of this command")
        tenant = self.tenants.get(options.get(b"t", b""), None if self.tenants else 0)
        if tenant is None:
            raise ProtocolError(400, f"t: one of {b', '.join(self.tenants).decode()}")
        if not _DEADLINE.fullmatch(options.get(b"d", b"")) or float(options[b"d"]) <= 0:
            raise ProtocolError(400, "d: a number of milliseconds")
        if effect is it.Effect.KEYED and b"k" not in options:
            raise ProtocolError(400, "k: wanted in this class")
        budget = min(float(options[b"d"]), self.settings.classes[cls].deadline_ms)
        return Ask(words, cls, tenant, words[1], budget, None, options.get(b"r") == b"1")


class Slot:
    """A command's place in the order of answers; asks for one request of the module."""

    __slots__ = ("answer", "client", "id", "number")

    def __init__(self, client: Client, id: bytes = b"", answer: bytes | None = None) -> None:
        self.client, self.id, self.answer = client, id, answer
        self.number: int | None = None

    def final(self, answer: Final) -> None:
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


class Client(asyncio.Protocol):
    """One client connection. Times are seconds of the loop's clock."""

    __slots__ = ("closing_since", "front", "half_since", "idle_since", "parser", "paused", "slots", "transport",
                 "unread")

    def __init__(self, front: Front) -> None:
        self.front, self.parser, self.slots = front, resp.CommandParser(), deque[Slot]()
        self.paused, self.unread = False, Unread()
        self.half_since: float | None = None
        self.closing_since: float | None = None  # nothing more is read: what is owed, then the end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, of the idlest if need be."""
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's are none by their class
        self.idle_since = self.front.now()
        transport.set_write_buffer_limits(high=WRITE_MOST)
        self.front.clients.add(self)
        if len(self.front.clients) > self.front.roomy:
            self.front.shed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone."""
        self.front.clients.discard(self)
        for slot in self.slots:
            self._abandon(slot)
        self.slots.clear()
        self.front.look_empty()

    def eof_received(self) -> bool:
        """It sends nothing more, which means that it has gone; one that leaves half a command is told."""
        if self.parser.started and self.closing_since is None:
            self.doom("half a command")
        return False

    def pause_writing(self) -> None:
        """It does not take its answers."""
        self.paused = True
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """It takes them again."""
        self.paused = False
        if self.closing_since is None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Take the commands that are whole."""
        if self.closing_since is not None:
            return
        now = self.idle_since = self.front.now()
        commands = self.parser.feed(data)
        if len(self.slots) + len(commands) > PIPELINED_MOST:
            return self.doom(f"over {PIPELINED_MOST} commands without an answer")
        if not self.parser.started:
            self.half_since = None
        elif commands or self.half_since is None:
            self.half_since = now
        for words in commands:
            self._command(words, now)
        if self.parser.failed:
            self.doom(self.parser.failed.reason)

    def _command(self, words: list[bytes], now: float) -> None:
        name = words[0].upper()
        if name in (QUERY, SUBMIT):
            return self._request(words, now)
        if name == b"PING" and len(words) <= 2:
            self._say(b"+PONG\r\n" if len(words) == 1 else resp.bulk(words[1]))
        elif name in (b"CLIENT", b"SELECT"):
            self._say(b"+OK\r\n")
        else:
            self._say(resp.error(f"ERR unknown command {name[:32].decode('ascii', 'replace')!r}"))

    def _request(self, words: list[bytes], now: float) -> None:
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
        waited = front.standstill.waited(now) * 1e3
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
        """Write the answers that are next."""
        ready = []
        while self.slots and (answer := self.slots[0].answer) is not None:
            ready.append(answer)
            self.slots.popleft()
        if ready and not self.transport.is_closing():
            data = b"".join(ready)
            self.transport.write(data)
            self.unread.written += len(data)
            self.idle_since = self.front.now()
        if not self.slots and (self.closing_since is not None or self.front.leaving):
            self.transport.close()

    def doom(self, reason: str) -> None:
        """Read nothing more: answer what is owed, then say why and end."""
        self.front.log.info("client_ended", reason=reason)
        self.closing_since = self.front.now()
        self.transport.pause_reading()
        self.slots.append(Slot(self, b"", resp.error(f"ERR {reason}")))
        self.flush()

    def give_up(self) -> None:
        """Fail what still stands before the end: the client has broken the protocol and is not waited for."""
        for slot in self.slots:
            if slot.answer is None:
                self._abandon(slot)
                slot.answer = b"-ERR failed\r\n"
        self.flush()

    def _abandon(self, slot: Slot) -> None:
        self.front.ids.discard(slot.id)
        if slot.answer is None and slot.number is not None:
            self.front.taker.abandon(slot.number)


@dataclass(slots=True)
class Front:
    """The listener. `most` client connections are held at one time."""

    listen: str
    settings: it.Settings
    taker: Taker
    most: int
    roomy: int  # over so many, the idlest without a request ends: clients run out of connections before we do
    log: Logger
    clients: set[Client] = field(default_factory=set)
    ids: set[bytes] = field(default_factory=set)  # of open requests
    leaving: bool = False
    standstill: Standstill = field(default_factory=lambda: Standstill(0.0))
    reader: Reader = field(init=False)
    empty: asyncio.Event = field(default_factory=asyncio.Event)
    _loop: asyncio.AbstractEventLoop | None = None
    _server: asyncio.Server | None = None
    _beater: asyncio.TimerHandle | None = None
    _sweeper: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.reader = Reader.of(self.settings)

    def now(self) -> float:
        """Seconds of the loop's clock."""
        assert self._loop
        return self._loop.time()

    async def start(self) -> tuple[str, int]:
        """Listen; returns host and port bound. OSError when the address cannot be had."""
        self._loop = loop = asyncio.get_running_loop()
        host, port = split_address(self.listen)
        self.standstill = Standstill(loop.time())
        self._server = await loop.create_server(lambda: Client(self), host, port, backlog=1024)
        self._beat()
        self._sweep()
        name = self._server.sockets[0].getsockname()
        return str(name[0]), int(name[1])

    def stop_listening(self) -> None:
        """Take no new connection; those without an open request close, the others after their answers."""
        self.leaving = True
        if self._server:
            self._server.close()
        for client in list(self.clients):
            if not client.slots:
                client.transport.close()
        self.look_empty()

    def close(self) -> None:
        """Close all that is still open."""
        self.stop_listening()
        for timer in (self._beater, self._sweeper):
            if timer:
                timer.cancel()
        for client in list(self.clients):
            client.transport.close()

    def look_empty(self) -> None:
        """Tell who waits for the last connection to go."""
        if self.leaving and not self.clients:
            self.empty.set()

    def shed(self, newest: Client) -> None:
        """One too many: end the idlest, or the new one when all are at work and no more may be."""
        must = len(self.clients) > self.most
        before = self.now() - (0.0 if must else SETTLED_S)
        idle = [c for c in self.clients if not c.slots and c.half_since is None and c.idle_since < before
                and c is not newest and c.closing_since is None]
        client = min(idle, key=lambda c: c.idle_since, default=newest)
        if client is newest and not must:
            return
        self.log.info("client_shed", open=len(self.clients), new=client is newest)
        self.clients.discard(client)
        if client is newest:
            client.transport.write(resp.error("ERR max number of clients reached"))
        client.closing_since = self.now()
        client.transport.close()

    def _beat(self) -> None:
        assert self._loop
        self.standstill.beaten(self.now())
        self._beater = self._loop.call_later(BEAT_S, self._beat)

    def _sweep(self) -> None:
        """End clients that say nothing, that never finish a command, or that never read. One timer for all."""
        assert self._loop
        now = self.now()
        for client in list(self.clients):
            unsent = client.transport.get_write_buffer_size()
            if client.unread.stuck(unsent, now) >= STUCK_S:
                self.log.info("client_ended", reason="does not read", unsent=unsent)
                client.transport.abort()
            elif client.closing_since is not None:
                if now - client.closing_since >= DOOMED_S:
                    client.give_up()
            elif client.half_since and now - client.half_since >= HALF_S:
                client.doom("half a command")
            elif not client.slots and now - client.idle_since >= IDLE_S:
                client.transport.close()
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
