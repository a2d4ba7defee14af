"""The WebSocket server of chat: turns what sockets receive into hub events, and carries out the hub's actions.

Implements RFC 6455 with permessage-deflate (RFC 7692) on the sans-I/O layer of the websockets library. The library
handles frames, masking, fragmentation, compression and the limit on the size of a decompressed message.
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
from otterquay.agent.bounded_stream import start_bounded_server
from otterquay.agent.input_budget import request_size
from otterquay.agent.ports import ClientRequest, FinalAnswer, Requester
from otterquay.chat import hub as chat_hub
from otterquay.chat import messages
from otterquay.chat.handshake_pacer import HandshakePacer
from otterquay.chat.session_store import SessionStore
from otterquay.config.schema import Service
from otterquay.logs import Logger
from otterquay.ordered_set import OrderedSet
from otterquay.protocol.http import HttpRequest
from otterquay.store import Store

READ_BYTES = 65536
HANDSHAKE_TIMEOUT_S = 5.0  # for a client's upgrade request, and for connecting to the agent that holds a session
TICK_INTERVAL_S = 0.25


@dataclass(slots=True, eq=False)
class WebSocket:
    """A WebSocket connection over asyncio streams, as server or as client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: ServerProtocol | ClientProtocol
    last_received_s: float = 0.0
    ping_sent: bool = False
    _fragments: list[bytes] = field(default_factory=list)
    _complete_messages: list[bytes] = field(default_factory=list)

    def flush(self) -> None:
        """Write the bytes that the protocol has ready to send."""
        for data in self.protocol.data_to_send():
            if self.writer.is_closing():
                continue
            if data:
                self.writer.write(data)
            elif self.writer.can_write_eof():
                with contextlib.suppress(OSError):  # the peer may have closed the connection already
                    self.writer.write_eof()

    def send(self, data: bytes) -> None:
        """Send a text message; does nothing once the connection is closing."""
        if self.protocol.state is State.OPEN:
            self.protocol.send_text(data)
            self.flush()

    def close(self, code: int, reason: str) -> None:
        """Start the closing handshake."""
        try:
            self.protocol.send_close(code, reason)
        except InvalidState:
            return
        self.flush()

    async def receive(self) -> bool:
        """Read bytes and feed them to the protocol; False at the end of the stream."""
        data = await self.reader.read(READ_BYTES)
        if not data:
            self.protocol.receive_eof()
            self.flush()
            return False
        self.last_received_s, self.ping_sent = asyncio.get_running_loop().time(), False
        self.protocol.receive_data(data)
        return True

    def messages(self) -> list[bytes]:
        """Return the text messages completed since the last call; a binary message closes the connection."""
        for event in self.protocol.events_received():
            if isinstance(event, Frame):
                self.handle_frame(event)
        complete, self._complete_messages = self._complete_messages, []
        return complete

    def handle_frame(self, frame: Frame) -> None:
        """Collect a data frame; control frames are handled by the protocol."""
        if frame.opcode is Opcode.BINARY:
            self.close(1003, "text messages only")
        elif frame.opcode in (Opcode.TEXT, Opcode.CONT):
            self._fragments.append(bytes(frame.data))
            if frame.fin:
                text = b"".join(self._fragments)
                self._fragments.clear()
                try:
                    text.decode()
                except UnicodeDecodeError:  # RFC 6455 section 8.1; left to the caller by the library
                    self.protocol.fail(1007, "not UTF-8")
                    self.flush()
                else:
                    self._complete_messages.append(text)


class CommandRequester:
    """The client of one request that was submitted for a chat command; reports its progress to the hub."""

    def __init__(self, ref: int, feed: Callable[[chat_hub.Event], None]) -> None:
        self.number: int | None = None
        self._ref, self._feed = ref, feed

    def final(self, answer: FinalAnswer) -> None:
        """Pass the final answer to the hub."""
        self.number = None
        text = answer.body.decode("utf-8", "replace").strip()
        self._feed(chat_hub.Finished(self._ref, answer.kind, text, answer.retry_after_ms))  # type: ignore[arg-type]

    def attempt(self, count: int) -> None:
        """Tell the hub that an attempt was sent."""
        self._feed(chat_hub.Attempted(self._ref, count))

    def ended(self, may_have_run: bool) -> None:
        """Nothing to do: the hub keeps the ids of commands for as long as their session."""

    def settled(self) -> None:
        """Nothing to do: no other request waits for this one."""

    def has_left(self) -> bool:
        """Always False: a command is not abandoned when its socket closes, as its session outlives the socket."""
        return False


class Gateway:
    """The chat listener of one agent.

    `submit_request` and `query` come from the agent's runtime: the first submits a request to the decision module,
    the second returns a report for an operator.
    """

    def __init__(
        self,
        service: Service,
        key: bytes,
        rng: random.Random,
        log: Logger,
        submit_request: Callable[[ClientRequest, Requester], bool],
        query: Callable[[str], str],
        store: Store | None = None,
    ) -> None:
        assert service.chat is not None
        self._service, self._settings, self._log = service, service.chat, log
        self._submit_request, self._query = submit_request, query
        tenants = tuple(service.tenant)
        self._incarnation = rng.getrandbits(63)
        self.hub = chat_hub.Hub(
            service.chat, tenants, service.agent.number, self._incarnation, key, rng, persistent=store is not None
        )
        self._session_store = SessionStore(store, log) if store else None
        self._tenants = {name: i for i, name in enumerate(tenants)}
        self._classes = {name: i for i, name in enumerate(service.class_)}
        self._deadlines = [c.deadline for c in service.class_.values()]
        self._websockets: dict[int, WebSocket] = {}
        self._relays: dict[int, WebSocket] = {}
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._last_conn_id = 0
        # a client that waits longer than resume_within finds its session expired
        self._handshake_pacer = HandshakePacer(
            service.chat.handshake_rate, service.chat.handshake_burst, service.chat.resume_within / 1e3
        )
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stopping = False

    async def start(self) -> tuple[str, int]:
        """Start listening; returns host and port. Raises OSError when the address cannot be bound."""
        host, port = split_address(self._settings.listen)
        self._server = await start_bounded_server(self._serve, host, port, backlog=4096)
        name = self._server.sockets[0].getsockname()
        if self._session_store:
            now = asyncio.get_running_loop().time() * 1e3
            self.hub.restore(now, self._session_store.load(self._incarnation))
        self._tick()
        return str(name[0]), int(name[1])

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        self._stopping = True
        if self._server:
            self._server.close()

    def close(self) -> None:
        """Close all sockets with code 1012 (service restart): clients may resume at another agent, or later."""
        self.stop_listening()
        if self._timer:
            self._timer.cancel()
        for websocket in [*self._websockets.values(), *self._relays.values()]:
            websocket.close(1012, "the agent ends")
            websocket.writer.close()
        for task in list(self._tasks):
            task.cancel()

    def abort(self) -> None:
        """Abort all connections without a closing handshake, as when the process is killed."""
        for websocket in [*self._websockets.values(), *self._relays.values()]:
            websocket.writer.transport.abort()
        self._websockets.clear()
        self._relays.clear()
        self.close()

    def feed(self, event: chat_hub.Event) -> None:
        """Pass an event to the hub and carry out its actions in order."""
        for action in self.hub.handle(asyncio.get_running_loop().time() * 1e3, event):
            self._perform(action)

    def _perform(self, action: chat_hub.Action) -> None:
        match action:
            case chat_hub.Deliver(conn_id, message):
                if websocket := self._websockets.get(conn_id):
                    websocket.send(messages.encode(message))
                    if websocket.writer.transport.get_write_buffer_size() > self._settings.max_unsent:
                        self._log.info("chat_too_slow", conn=conn_id)
                        websocket.writer.transport.abort()
            case chat_hub.Disconnect(conn_id, code, reason):
                if websocket := self._websockets.get(conn_id):
                    websocket.close(code, reason)
            case chat_hub.Submit():
                self._submit(action)
            case chat_hub.Relay(conn_id, home, first):
                task = asyncio.get_running_loop().create_task(self._relay(conn_id, home, first))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case chat_hub.Persist():
                if self._session_store:
                    self._session_store.save(action)
            case chat_hub.Query(conn_id, id, what):
                if websocket := self._websockets.get(conn_id):
                    websocket.send(messages.encode(messages.Report(self._query(what), id)))

    def _submit(self, submit: chat_hub.Submit) -> None:
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
        ask = ClientRequest(
            http, cls, tenant, key, self._deadlines[cls], None, False, request_size(http.held_bytes)
        )
        if not self._submit_request(ask, CommandRequester(submit.ref, self.feed)):
            self.feed(chat_hub.Finished(submit.ref, "refused", "nothing more is taken", 1000.0))

    # --- sockets ---
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = ServerProtocol(
            subprotocols=[Subprotocol(messages.SUBPROTOCOL)],
            max_size=self._settings.max_message,
            extensions=[ServerPerMessageDeflateFactory(server_max_window_bits=12, client_max_window_bits=12)],
        )
        websocket = WebSocket(reader, writer, protocol, asyncio.get_running_loop().time())
        self._last_conn_id += 1
        conn_id = self._last_conn_id
        try:
            if (wait := self._handshake_pacer.reserve_slot(websocket.last_received_s)) is None:
                self._log.info("chat_crowded")
                return
            await asyncio.sleep(wait)
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                ready = await self._handshake(websocket)
            if ready:
                self._websockets[conn_id] = websocket
                peer = writer.get_extra_info("peername")
                self.feed(chat_hub.Opened(conn_id, str(peer[0]) if peer else ""))
                await self._receive_messages(conn_id, websocket)
        except TimeoutError:
            self._log.info("chat_handshake_slow")
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass  # the client has disconnected (uvloop raises RuntimeError then), or the loop is stopping
        finally:
            if self._websockets.pop(conn_id, None):
                self.feed(chat_hub.Closed(conn_id))
            if relay := self._relays.pop(conn_id, None):
                relay.close(1001, "the client has gone")
                relay.writer.close()
            writer.close()

    async def _handshake(self, websocket: WebSocket) -> bool:
        protocol = websocket.protocol
        assert isinstance(protocol, ServerProtocol)
        while protocol.state is State.CONNECTING:
            if not await websocket.receive():
                return False
            for event in protocol.events_received():
                if isinstance(event, Request):
                    response = protocol.accept(event)
                    if response.status_code == 101 and protocol.subprotocol != messages.SUBPROTOCOL:
                        response = protocol.reject(400, f"speak subprotocol {messages.SUBPROTOCOL}\n")
                    elif response.status_code == 101 and self._stopping:
                        response = protocol.reject(503, "the agent ends\n")
                    if response.status_code != 101:
                        self._log.info("chat_handshake_refused", status=response.status_code)
                    protocol.send_response(response)
            websocket.flush()
            if protocol.handshake_exc is not None:
                return False
        return protocol.state is State.OPEN

    async def _receive_messages(self, conn_id: int, websocket: WebSocket) -> None:
        while True:
            for text in websocket.messages():
                if relay := self._relays.get(conn_id):
                    relay.send(text)
                else:
                    self.feed(chat_hub.Received(conn_id, text))
            websocket.flush()
            if websocket.protocol.state is State.CLOSED:
                if websocket.protocol.close_exc and websocket.protocol.close_code not in (
                    None,
                    1000,
                    1001,
                    1005,
                    1006,
                ):
                    self._log.info(
                        "chat_closed", code=websocket.protocol.close_code, reason=websocket.protocol.close_reason
                    )
                return
            if not await websocket.receive():
                return

    def _tick(self) -> None:
        """Check the hub's timeouts and ping idle sockets; one that is silent for two ping intervals is aborted."""
        loop = asyncio.get_running_loop()
        self.feed(chat_hub.Tick())
        now, ping_interval_s = loop.time(), self._settings.ping_every / 1e3
        for websocket in list(self._websockets.values()):
            if now - websocket.last_received_s >= 2 * ping_interval_s:
                websocket.writer.transport.abort()
            elif (
                now - websocket.last_received_s >= ping_interval_s
                and not websocket.ping_sent
                and websocket.protocol.state is State.OPEN
            ):
                websocket.ping_sent = True
                websocket.protocol.send_ping(b"")
                websocket.flush()
        self._timer = loop.call_later(min(TICK_INTERVAL_S, ping_interval_s / 2), self._tick)

    # --- relaying to the agent that holds a session ---
    async def _relay(self, conn_id: int, home: int, first: bytes) -> None:
        """Relay messages between a resuming client and the agent that holds its session."""
        address = self._settings.agents.get(str(home))
        upstream: WebSocket | None = None
        try:
            if address is None or home == self._service.agent.number:
                raise OSError(f"agent {home} has no address in chat.agents")
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                upstream = await dial(address, self._settings.max_message)
                challenge = await _first_message(upstream)
        except (OSError, TimeoutError) as error:
            self._log.warning("chat_home_lost", home=home, reason=str(error) or type(error).__name__)
            if upstream:
                upstream.writer.close()
            return self.feed(chat_hub.HomeUnreachable(conn_id))
        websocket = self._websockets.get(conn_id)
        if websocket is None or challenge is None:
            upstream.writer.close()
            return self.feed(chat_hub.HomeUnreachable(conn_id)) if websocket else None
        self._relays[conn_id] = upstream
        upstream.send(first)
        try:
            while await upstream.receive():
                for text in upstream.messages():
                    websocket.send(text)
                upstream.flush()
                if upstream.protocol.state is State.CLOSED:
                    break
        except (OSError, RuntimeError):
            pass  # uvloop raises RuntimeError for a connection that was closed
        finally:
            upstream.writer.close()
            if self._relays.pop(conn_id, None):  # upstream has closed: pass its close code on to the client
                code = upstream.protocol.close_code  # 1006 must not be sent (RFC 6455 section 7.4.1)
                websocket.close(
                    code if code and code != 1006 else 1012,
                    "the holding agent ended the connection",
                )


async def _first_message(websocket: WebSocket) -> bytes | None:
    """Return the first message on a connection, None when it closes before."""
    while True:
        if found := websocket.messages():
            return found[0]
        if not await websocket.receive():
            return None


async def dial(address: str, max_message: int = 1 << 20) -> WebSocket:
    """Connect to a gateway; raises OSError when that fails."""
    protocol = ClientProtocol(
        parse_uri(f"ws://{address}/"), subprotocols=[Subprotocol(messages.SUBPROTOCOL)], max_size=max_message
    )
    reader, writer = await asyncio.open_connection(*split_address(address))
    websocket = WebSocket(reader, writer, protocol)
    protocol.send_request(protocol.connect())
    websocket.flush()
    while protocol.state is State.CONNECTING:
        if not await websocket.receive() or protocol.handshake_exc:
            writer.close()
            raise ConnectionRefusedError(f"no WebSocket at {address}: {protocol.handshake_exc}")
        for event in protocol.events_received():
            if isinstance(event, Response) and event.status_code != 101:
                writer.close()
                raise ConnectionRefusedError(f"{address} answered {event.status_code}")
            if isinstance(event, Frame):  # messages may arrive together with the handshake's response
                websocket.handle_frame(event)
    return websocket
