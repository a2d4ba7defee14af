"""The WebSocket side of chat (RFC 6455, permessage-deflate of RFC 7692): sockets to hub events, actions to sockets.

The protocol itself is the websockets library's, without its I/O; frames, masks, UTF-8, fragments, compression and
the bound on a message after decompression are its affair.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.extensions.permessage_deflate import ServerPerMessageDeflateFactory
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.typing import Subprotocol
from websockets.uri import parse_uri

from otterquay.addresses import split_address
from otterquay.agent.ports import ClientRequest, FinalAnswer, Requester
from otterquay.chat import hub as hb
from otterquay.chat import messages as ms
from otterquay.chat.ledger import Ledger
from otterquay.chat.pace import Pace
from otterquay.config.schema import Service
from otterquay.logs import Logger
from otterquay.protocol.http import HttpRequest
from otterquay.store import Store

READ_SIZE = 65536
HANDSHAKE_S = 5.0  # for a client's request and for a relay's connection; not a matter of the module
TICK_S = 0.25


@dataclass(slots=True, eq=False)
class Wire:
    """One WebSocket over asyncio streams, either side."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: ServerProtocol | ClientProtocol
    heard: float = 0.0
    pinged: bool = False
    _parts: list[bytes] = field(default_factory=list)
    _whole: list[bytes] = field(default_factory=list)

    def flush(self) -> None:
        """Write what the protocol has ready."""
        for data in self.protocol.data_to_send():
            if self.writer.is_closing():
                continue
            if data:
                self.writer.write(data)
            elif self.writer.can_write_eof():
                with contextlib.suppress(OSError):  # the peer may have gone first
                    self.writer.write_eof()

    def send(self, data: bytes) -> None:
        """Send a text message; nothing once the connection closes."""
        if self.protocol.state is State.OPEN:
            self.protocol.send_text(data)
            self.flush()

    def close(self, code: int, reason: str) -> None:
        """Begin the closing handshake."""
        try:
            self.protocol.send_close(code, reason)
        except InvalidState:
            return
        self.flush()

    async def receive(self) -> bool:
        """Hand the next bytes to the protocol; False at their end."""
        data = await self.reader.read(READ_SIZE)
        if not data:
            self.protocol.receive_eof()
            self.flush()
            return False
        self.heard, self.pinged = asyncio.get_running_loop().time(), False
        self.protocol.receive_data(data)
        return True

    def messages(self) -> list[bytes]:
        """Whole messages that have come; refuses binary ones."""
        for event in self.protocol.events_received():
            if isinstance(event, Frame):
                self.frame(event)
        whole, self._whole = self._whole, []
        return whole

    def frame(self, frame: Frame) -> None:
        """Take a data frame; control frames are the protocol's affair."""
        if frame.opcode is Opcode.BINARY:
            self.close(1003, "text messages only")
        elif frame.opcode in (Opcode.TEXT, Opcode.CONT):
            self._parts.append(bytes(frame.data))
            if frame.fin:
                text = b"".join(self._parts)
                self._parts.clear()
                try:
                    text.decode()
                except UnicodeDecodeError:  # RFC 6455 section 8.1; the library leaves it to its caller
                    self.protocol.fail(1007, "not UTF-8")
                    self.flush()
                else:
                    self._whole.append(text)


class Player:
    """An asker in the decision module's books on behalf of one command."""

    def __init__(self, ref: int, tell: Callable[[hb.Event], None]) -> None:
        self.number: int | None = None
        self._ref, self._tell = ref, tell

    def final(self, answer: FinalAnswer) -> None:
        """The one final answer."""
        self.number = None
        text = answer.body.decode("utf-8", "replace").strip()
        self._tell(hb.Finished(self._ref, answer.kind, text, answer.retry_after_ms))  # type: ignore[arg-type]

    def attempt(self, count: int) -> None:
        """An attempt was sent."""
        self._tell(hb.Attempted(self._ref, count))

    def settled(self) -> None:
        """Nothing waits behind it."""

    def has_left(self) -> bool:
        """A session outlives its sockets."""
        return False


class Gateway:
    """The chat listener of one agent; `take` and `ask` are its decision runtime's."""

    def __init__(
        self,
        service: Service,
        key: bytes,
        rng: random.Random,
        log: Logger,
        take: Callable[[ClientRequest, Requester], bool],
        ask: Callable[[str], str],
        store: Store | None = None,
    ) -> None:
        assert service.chat is not None
        self._service, self._settings, self._log = service, service.chat, log
        self._take, self._ask = take, ask
        tenants = tuple(service.tenant)
        self._life = rng.getrandbits(63)
        self.hub = hb.Hub(
            service.chat, tenants, service.agent.number, self._life, key, rng, keeps=store is not None
        )
        self._ledger = Ledger(store, log) if store else None
        self._tenants = {name: i for i, name in enumerate(tenants)}
        self._classes = {name: i for i, name in enumerate(service.class_)}
        self._deadlines = [c.deadline for c in service.class_.values()]
        self._wires: dict[int, Wire] = {}
        self._relays: dict[int, Wire] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._conns = 0
        # who waits longer than a session is kept comes too late for it
        self._pace = Pace(
            service.chat.handshake_rate, service.chat.handshake_burst, service.chat.resume_within / 1e3
        )
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stopping = False

    async def start(self) -> tuple[str, int]:
        """Listen; returns host and port. OSError when the address cannot be had."""
        host, port = split_address(self._settings.listen)
        self._server = await asyncio.start_server(self._serve, host, port, backlog=4096)
        name = self._server.sockets[0].getsockname()
        if self._ledger:
            now = asyncio.get_running_loop().time() * 1e3
            self.hub.recall(now, self._ledger.recall(self._life))
        self._tick()
        return str(name[0]), int(name[1])

    def stop_listening(self) -> None:
        """Take no new socket."""
        self._stopping = True
        if self._server:
            self._server.close()

    def close(self) -> None:
        """Close all sockets: clients may come back elsewhere or later."""
        self.stop_listening()
        if self._timer:
            self._timer.cancel()
        for wire in [*self._wires.values(), *self._relays.values()]:
            wire.close(1012, "the agent ends")
            wire.writer.close()
        for task in list(self._tasks):
            task.cancel()

    def abort(self) -> None:
        """End as a killed process does: no word to anyone."""
        for wire in [*self._wires.values(), *self._relays.values()]:
            wire.writer.transport.abort()
        self._wires.clear()
        self._relays.clear()
        self.close()

    def feed(self, event: hb.Event) -> None:
        """One event to the hub, its actions carried out in order."""
        for action in self.hub.handle(asyncio.get_running_loop().time() * 1e3, event):
            self._act(action)

    def _act(self, action: hb.Action) -> None:
        match action:
            case hb.Deliver(conn, message):
                if wire := self._wires.get(conn):
                    wire.send(ms.encode(message))
                    if wire.writer.transport.get_write_buffer_size() > self._settings.max_unsent:
                        self._log.info("chat_too_slow", conn=conn)
                        wire.writer.transport.abort()
            case hb.Shut(conn, code, reason):
                if wire := self._wires.get(conn):
                    wire.close(code, reason)
            case hb.Submit():
                self._submit(action)
            case hb.Relay(conn, home, first):
                task = asyncio.get_running_loop().create_task(self._relay(conn, home, first))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case hb.Keep():
                if self._ledger:
                    self._ledger.keep(action)
            case hb.Query(conn, id, what):
                if wire := self._wires.get(conn):
                    wire.send(ms.encode(ms.Report(self._ask(what), id)))

    def _submit(self, submit: hb.Submit) -> None:
        cls = self._classes[submit.cls]
        effect = self._service.class_[submit.cls].effect
        headers = {
            b"content-type": b"application/json",
            b"x-request-id": submit.key.encode(),
            b"otterquay-class": submit.cls.encode(),
        }
        key = submit.key.encode() if effect == "keyed" else b""
        if key:
            headers[b"idempotency-key"] = key
        http = HttpRequest(b"POST", submit.target.encode(), headers, submit.body, True)
        tenant = self._tenants.get(submit.tenant, 0)
        ask = ClientRequest(http, cls, tenant, key, self._deadlines[cls], None, False)
        if not self._take(ask, Player(submit.ref, self.feed)):
            self.feed(hb.Finished(submit.ref, "refused", "nothing more is taken", 1000.0))

    # --- sockets ---
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = ServerProtocol(
            subprotocols=[Subprotocol(ms.SUBPROTOCOL)],
            max_size=self._settings.max_message,
            extensions=[ServerPerMessageDeflateFactory(server_max_window_bits=12, client_max_window_bits=12)],
        )
        wire = Wire(reader, writer, protocol, asyncio.get_running_loop().time())
        self._conns += 1
        conn = self._conns
        try:
            if (wait := self._pace.wait(wire.heard)) is None:
                self._log.info("chat_crowded")
                return
            await asyncio.sleep(wait)
            async with asyncio.timeout(HANDSHAKE_S):
                ready = await self._handshake(wire)
            if ready:
                self._wires[conn] = wire
                peer = writer.get_extra_info("peername")
                self.feed(hb.Opened(conn, str(peer[0]) if peer else ""))
                await self._converse(conn, wire)
        except TimeoutError:
            self._log.info("chat_handshake_slow")
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass  # the client (RuntimeError: in uvloop's words) or the loop has gone
        finally:
            if self._wires.pop(conn, None):
                self.feed(hb.Closed(conn))
            if relay := self._relays.pop(conn, None):
                relay.close(1001, "the client has gone")
                relay.writer.close()
            writer.close()

    async def _handshake(self, wire: Wire) -> bool:
        protocol = wire.protocol
        assert isinstance(protocol, ServerProtocol)
        while protocol.state is State.CONNECTING:
            if not await wire.receive():
                return False
            for event in protocol.events_received():
                if isinstance(event, Request):
                    response = protocol.accept(event)
                    if response.status_code == 101 and protocol.subprotocol != ms.SUBPROTOCOL:
                        response = protocol.reject(400, f"speak subprotocol {ms.SUBPROTOCOL}\n")
                    elif response.status_code == 101 and self._stopping:
                        response = protocol.reject(503, "the agent ends\n")
                    if response.status_code != 101:
                        self._log.info("chat_handshake_refused", status=response.status_code)
                    protocol.send_response(response)
            wire.flush()
            if protocol.handshake_exc is not None:
                return False
        return protocol.state is State.OPEN

    async def _converse(self, conn: int, wire: Wire) -> None:
        while True:
            for text in wire.messages():
                if relay := self._relays.get(conn):
                    relay.send(text)
                else:
                    self.feed(hb.Received(conn, text))
            wire.flush()
            if wire.protocol.state is State.CLOSED:
                if wire.protocol.close_exc and wire.protocol.close_code not in (None, 1000, 1001, 1005, 1006):
                    self._log.info("chat_closed", code=wire.protocol.close_code, reason=wire.protocol.close_reason)
                return
            if not await wire.receive():
                return

    def _tick(self) -> None:
        """Sessions' times, and pings: a socket that is silent for two periods is gone."""
        loop = asyncio.get_running_loop()
        self.feed(hb.Tick())
        now, every = loop.time(), self._settings.ping_every / 1e3
        for wire in list(self._wires.values()):
            if now - wire.heard >= 2 * every:
                wire.writer.transport.abort()
            elif now - wire.heard >= every and not wire.pinged and wire.protocol.state is State.OPEN:
                wire.pinged = True
                wire.protocol.send_ping(b"")
                wire.flush()
        self._timer = loop.call_later(min(TICK_S, every / 2), self._tick)

    # --- sessions held by another agent ---
    async def _relay(self, conn: int, home: int, first: bytes) -> None:
        """Carry a resuming client's messages to and from the agent that holds its session."""
        address = self._settings.agents.get(str(home))
        far: Wire | None = None
        try:
            if address is None or home == self._service.agent.number:
                raise OSError(f"agent {home} has no address in chat.agents")
            async with asyncio.timeout(HANDSHAKE_S):
                far = await dial(address, self._settings.max_message)
                challenge = await _first(far)
        except (OSError, TimeoutError) as error:
            self._log.warning("chat_home_lost", home=home, reason=str(error) or type(error).__name__)
            if far:
                far.writer.close()
            return self.feed(hb.HomeLost(conn))
        wire = self._wires.get(conn)
        if wire is None or challenge is None:
            far.writer.close()
            return self.feed(hb.HomeLost(conn)) if wire else None
        self._relays[conn] = far
        far.send(first)
        try:
            while await far.receive():
                for text in far.messages():
                    wire.send(text)
                far.flush()
                if far.protocol.state is State.CLOSED:
                    break
        except (OSError, RuntimeError):
            pass  # uvloop calls a connection that has gone the latter
        finally:
            far.writer.close()
            if self._relays.pop(conn, None):  # the holder has ended: the client comes back and learns more
                code = far.protocol.close_code
                wire.close(code if code and code != 1006 else 1012, "the holding agent ended the connection")


async def _first(wire: Wire) -> bytes | None:
    """The first message on a connection."""
    while True:
        if found := wire.messages():
            return found[0]
        if not await wire.receive():
            return None


async def dial(address: str, max_message: int = 1 << 20) -> Wire:
    """An open WebSocket to a gateway; OSError when there is none to be had."""
    protocol = ClientProtocol(
        parse_uri(f"ws://{address}/"), subprotocols=[Subprotocol(ms.SUBPROTOCOL)], max_size=max_message
    )
    reader, writer = await asyncio.open_connection(*split_address(address))
    wire = Wire(reader, writer, protocol)
    protocol.send_request(protocol.connect())
    wire.flush()
    while protocol.state is State.CONNECTING:
        if not await wire.receive() or protocol.handshake_exc:
            writer.close()
            raise ConnectionRefusedError(f"no WebSocket at {address}: {protocol.handshake_exc}")
        for event in protocol.events_received():
            if isinstance(event, Response) and event.status_code != 101:
                writer.close()
                raise ConnectionRefusedError(f"{address} answered {event.status_code}")
            if isinstance(event, Frame):  # messages may come with the handshake
                wire.frame(event)
    return wire
