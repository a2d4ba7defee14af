"""The client side: an HTTP/1.1 listener that passes complete requests on and writes their final answers.

It answers only what does not become a request: malformed or oversized input, unknown classes or tenants, and input
over its bounds. Every other request gets exactly one answer, which the decision module determines.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from otterquay.addresses import split_address
from otterquay.agent.bounded_stream import start_bounded_server
from otterquay.agent.input_budget import InputBudget, request_size
from otterquay.agent.ports import ClientRequest, FinalAnswer, RequestHandler
from otterquay.agent.sockets import has_unread_data, peer_closed
from otterquay.agent.stall_detector import HEARTBEAT_S, StallDetector
from otterquay.agent.stream_reader import PendingInputReader
from otterquay.agent.write_stall import WriteStall
from otterquay.config.schema import Service
from otterquay.logs import Logger
from otterquay.ordered_set import OrderedSet
from otterquay.protocol.http import HttpRequest, ProtocolError, RequestParser, write_response

CLASS_HEADER, TENANT_HEADER, IDEMPOTENCY_KEY_HEADER = b"otterquay-class", b"otterquay-tenant", b"idempotency-key"
BUDGET_HEADER, WORK_HEADER, RETRY_HEADER = b"otterquay-budget-ms", b"otterquay-work-ms", b"otterquay-retry"
ANSWER_HEADER, RETRY_AFTER_HEADER = b"otterquay-answer", b"otterquay-retry-after-ms"
PLAIN_TEXT_HEADERS = ((b"content-type", b"text/plain; charset=utf-8"),)
READ_SIZE = 65536
STOPPED_WHILE_CROWDED_S = 1.5  # without a byte of an incomplete request, while other input waits for room


def _milliseconds(headers: dict[bytes, bytes], name: bytes) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < 1e9:
        raise ProtocolError(400, f"{name.decode()}: a number of milliseconds is wanted")
    return value


@dataclass(slots=True)
class RequestValidator:
    """Validates HTTP requests against the classes and tenants of the settings."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    deadlines: list[float]

    @staticmethod
    def of(service: Service) -> RequestValidator:
        return RequestValidator(
            {name.encode(): i for i, name in enumerate(service.class_)},
            {name.encode(): i for i, name in enumerate(service.tenant)},
            [c.deadline for c in service.class_.values()],
        )

    def read(self, http: HttpRequest) -> ClientRequest:
        """Return the client request in an HTTP request; ProtocolError names a bad header and its allowed values."""
        headers = http.headers
        cls = self.classes.get(headers.get(CLASS_HEADER, b""))
        if cls is None:
            raise ProtocolError(400, f"otterquay-class: one of {b', '.join(self.classes).decode()}")
        tenant = self.tenants.get(headers.get(TENANT_HEADER, b""), None if self.tenants else 0)
        if tenant is None:
            raise ProtocolError(400, f"otterquay-tenant: one of {b', '.join(self.tenants).decode()}")
        budget = _milliseconds(headers, BUDGET_HEADER)
        budget = self.deadlines[cls] if budget is None else min(budget, self.deadlines[cls])
        key = headers.get(IDEMPOTENCY_KEY_HEADER, b"")
        if len(key) > 255:
            raise ProtocolError(400, "idempotency-key: at most 255 bytes")
        return ClientRequest(
            http,
            cls,
            tenant,
            key,
            budget,
            _milliseconds(headers, WORK_HEADER),
            headers.get(RETRY_HEADER) == b"1",
            request_size(http.held_bytes),
        )


def plain_answer(status: int, text: str, keep_alive: bool, *extra: tuple[bytes, bytes]) -> bytes:
    """Encode an answer of the agent itself, with one line of text."""
    return write_response(
        status, [(b"content-type", b"text/plain; charset=utf-8"), *extra], text.encode() + b"\n", keep_alive
    )


def refusal_answer(text: str, keep_alive: bool, retry_after_ms: float = 1000.0) -> bytes:
    """Encode a 503: not accepted, safe to repeat (RFC 9110 section 10.2.3: whole seconds in `retry-after`)."""
    return plain_answer(
        503,
        text,
        keep_alive,
        (ANSWER_HEADER, b"refused"),
        (b"retry-after", b"%d" % math.ceil(retry_after_ms / 1e3)),
        (RETRY_AFTER_HEADER, b"%d" % retry_after_ms),
    )


@dataclass(slots=True, eq=False)
class Client:
    """One client connection; its requests are processed one at a time, in order. Times are seconds.

    `waiting_since` is set while its input waits for room, `unread_since` while it may have lain unread for that.
    """

    reader: PendingInputReader
    writer: asyncio.StreamWriter
    process_waiting: Callable[[Client], None]
    is_draining: Callable[[], bool]
    input_budget: InputBudget
    parser: RequestParser
    waiting: deque[tuple[HttpRequest, float]] = field(default_factory=deque)  # with its earliest arrival time
    number: int | None = None
    keep_alive: bool = True
    idle_since: float = 0.0
    head_since: float | None = None
    write_stall: WriteStall = field(default_factory=WriteStall)
    resuming: asyncio.Task[None] | None = None
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    buffered_bytes: int = 0  # of the requests that wait, and of the one that is not complete
    request_bytes: int = 0  # of the request that is open
    waiting_since: float | None = None
    unread_since: float | None = None
    blocked: bool = False  # not read, for whatever reason

    @property
    def held_bytes(self) -> int:
        """The memory that this connection's input takes."""
        return self.buffered_bytes + self.request_bytes

    def count_buffered(self) -> None:
        """Count what waits and what is not complete towards the budget."""
        size = self.parser.buffered_bytes + sum(request_size(http.held_bytes) for http, _ in self.waiting)
        change, self.buffered_bytes = size - self.buffered_bytes, size
        self.input_budget.charge(change)

    def read_on(self) -> None:
        """Read again, as there is room or the input has waited too long."""
        if self.waiting_since is not None and self.unread_since is None:
            self.unread_since = self.waiting_since
        self.waiting_since = None
        self.wake.set()

    def final(self, answer: FinalAnswer) -> None:
        """Write the final answer as an HTTP response; it ends a connection with nothing waiting in a drain."""
        if self.is_draining() and not self.waiting:
            self.keep_alive = False
        if answer.kind == "refused":
            return self.answer(refusal_answer("refused", self.keep_alive, answer.retry_after_ms))
        status, headers = answer.status, answer.headers
        if answer.kind == "failed":
            status, headers = 504 if answer.overdue else 502, PLAIN_TEXT_HEADERS
        self.answer(
            write_response(status, [(ANSWER_HEADER, answer.kind.encode()), *headers], answer.body, self.keep_alive)
        )

    def attempt(self, count: int) -> None:
        """Not reported to HTTP clients: not all of them accept an informational response."""

    def ended(self, may_have_run: bool) -> None:
        """Nothing to do: HTTP requests have no id."""

    def settled(self) -> None:
        """Process the next request on this connection."""
        if self.waiting:
            self.process_waiting(self)

    def has_left(self) -> bool:
        """Whether the client has closed the connection, even if that is not read yet."""
        return peer_closed(self.writer.transport)

    def is_held_back(self) -> bool:
        """Whether it is this process that keeps a request from coming whole: input lies unread."""
        return self.blocked and self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether input, or the end of the connection, lies unread."""
        return self.reader.has_pending_input or has_unread_data(self.writer.transport)

    def is_idle(self) -> bool:
        """Whether no request is in progress, waiting or under way."""
        nothing_held = self.number is None and not self.waiting and self.head_since is None
        return nothing_held and not has_unread_data(self.writer.transport)

    def answer(self, data: bytes) -> None:
        """Write the final answer to the current request."""
        self.number, self.request_bytes = None, 0
        if self.waiting_since is not None and self.input_budget.has_room(self):
            self.input_budget.stop_waiting(self)
        if not self.writer.is_closing():  # lost in this loop iteration; uvloop raises on such a write
            self.writer.write(data)
        self.write_stall.written += len(data)
        if not self.keep_alive:
            self.waiting.clear()
            self.writer.close()
        self.wake.set()


@dataclass(slots=True)
class Front:
    """The HTTP listener for clients."""

    service: Service
    request_handler: RequestHandler
    input_budget: InputBudget
    log: Logger
    clients: OrderedSet[Client] = field(default_factory=OrderedSet)
    stopping: bool = False
    _last_change: float = 0.0  # when a connection was last opened or closed
    _server: asyncio.Server | None = None
    _sweeper: asyncio.TimerHandle | None = None
    _heartbeat_timer: asyncio.TimerHandle | None = None
    _stall_detector: StallDetector = field(init=False)
    _validator: RequestValidator = field(init=False)

    def __post_init__(self) -> None:
        self._validator = RequestValidator.of(self.service)

    async def start(self) -> tuple[str, int]:
        """Listen; returns the bound host and port. Raises OSError if the address is not available."""
        host, port = split_address(self.service.agent.listen)
        self._server = await start_bounded_server(self._serve, host, port)
        name = self._server.sockets[0].getsockname()
        self._stall_detector = StallDetector(asyncio.get_running_loop().time())
        self._heartbeat()
        self._sweep()
        return str(name[0]), int(name[1])

    def drain(self) -> None:
        """Refuse new requests; close the idle connections now, the others after their answers.

        The listener stays open until `close`: a client whose request crossed the close of its connection may send
        it again on a new one (RFC 9112 section 9.3.1), and is refused there.
        """
        self.stopping = True
        self._last_change = asyncio.get_running_loop().time()
        for client in list(self.clients):
            if client.is_idle():
                client.writer.close()

    def finish(self, listener_until: float) -> None:
        """Nothing more to do: a drain closes each connection after its next answer."""

    def drained(self, quiet_s: float) -> bool:
        """Whether no connection is left and none was opened or closed for this long."""
        return not self.clients and asyncio.get_running_loop().time() - self._last_change >= quiet_s

    def close(self) -> None:
        """Close the listener and all open connections."""
        self.stopping = True
        if self._server:
            self._server.close()
        for timer in (self._sweeper, self._heartbeat_timer):
            if timer:
                timer.cancel()
        for client in list(self.clients):
            client.writer.close()

    async def _serve(self, reader: PendingInputReader, writer: asyncio.StreamWriter) -> None:
        bounds = self.service.front
        now = self._last_change = asyncio.get_running_loop().time()
        parser = RequestParser(bounds.max_head, bounds.max_body)
        client = Client(
            reader, writer, self.process_waiting, lambda: self.stopping, self.input_budget, parser, idle_since=now
        )
        if len(self.clients) >= bounds.max_connections:
            self.log.warning("connection_refused", open=len(self.clients))
            client.keep_alive = False
            return client.answer(refusal_answer("no more connections here", False))
        self.clients.add(client)
        writer.transport.set_write_buffer_limits(high=bounds.max_body)
        try:
            await self._read_requests(reader, client)
        except ProtocolError as error:
            self.log.info("request_refused", status=error.status, reason=error.reason)
            while client.number is not None:  # requests before it are answered first
                client.wake.clear()
                await client.wake.wait()
            client.keep_alive = False
            client.answer(plain_answer(error.status, error.reason, False))
        except (OSError, RuntimeError) as error:  # uvloop raises RuntimeError on a lost connection
            self.log.info("client_lost", reason=str(error) or type(error).__name__)
        except asyncio.CancelledError:
            pass  # the event loop is shutting down
        finally:
            self.clients.discard(client)
            self._last_change = asyncio.get_running_loop().time()
            if client.resuming:
                client.resuming.cancel()
            if client.number is not None:
                number, client.number = client.number, None
                self.request_handler.abandon(number)
            client.waiting.clear()
            client.parser = RequestParser()  # frees what is not complete
            client.count_buffered()
            self.input_budget.forget(client)
            writer.close()

    async def _read_requests(self, reader: PendingInputReader, client: Client) -> None:
        bounds, loop, parser = self.service.front, asyncio.get_running_loop(), client.parser
        while True:
            self._hold_back(client, loop.time())
            if len(client.waiting) >= bounds.max_pipelined or client.resuming or client.waiting_since is not None:
                await self._wait_to_read(client)
                continue
            data = await reader.read(READ_SIZE)
            if not data:
                return
            now = client.idle_since = loop.time()
            complete = parser.feed(data)
            arrived = now - self._stall_detector.max_wait_s(now)
            if client.unread_since is not None:
                arrived = min(arrived, client.unread_since)
                if not client.has_unread_input():
                    client.unread_since = None
            client.waiting.extend([(http, arrived) for http in complete])
            if not parser.started:
                client.head_since = None
            elif complete or client.head_since is None:
                client.head_since = client.idle_since
            self.process_waiting(client)
            client.count_buffered()
            if parser.failed:
                raise parser.failed

    async def _wait_to_read(self, client: Client) -> None:
        """Wait until the connection is woken; meanwhile its client can't complete a request."""
        client.wake.clear()
        client.blocked = True
        await client.wake.wait()
        client.blocked = False
        if client.parser.started:
            client.head_since = asyncio.get_running_loop().time()

    def _hold_back(self, client: Client, now: float) -> None:
        """Let a connection wait if there is no room for its input."""
        if client.waiting_since is None and not self.input_budget.has_room(client):
            client.waiting_since = now
            self.input_budget.wait(client)

    def process_waiting(self, client: Client) -> None:
        """Pass on waiting requests while none is in progress and the client reads its answers."""
        if client.writer.is_closing():
            client.waiting.clear()  # not accepted yet, and the client has disconnected
        while client.waiting and client.number is None:
            if client.writer.transport.get_write_buffer_size() > self.service.front.max_body:
                client.resuming = client.resuming or asyncio.get_running_loop().create_task(self._resume(client))
                return
            http, arrived = client.waiting.popleft()
            client.keep_alive = http.keep_alive and not self.stopping
            try:
                client_request = self._validator.read(http)
            except ProtocolError as error:
                self.log.info("request_refused", status=error.status, reason=error.reason)
                client.answer(plain_answer(error.status, error.reason, client.keep_alive))
                continue
            # the time that the request has waited counts against its budget
            if (waited := (asyncio.get_running_loop().time() - arrived) * 1e3) > 1.0:
                client_request = replace(client_request, budget_ms=max(client_request.budget_ms - waited, 0.0))
            client.count_buffered()
            has_room = self.input_budget.may_take(client_request.size, client)
            client.request_bytes = client_request.size
            if not has_room:
                self.log.info("request_refused", status=503, reason="no room for its content")
            if not has_room or self.stopping or not self.request_handler.take(client_request, client):
                client.answer(refusal_answer("nothing more is taken", client.keep_alive))

    async def _resume(self, client: Client) -> None:
        try:
            await client.writer.drain()  # the sweep ends a client that never reads
        except OSError:
            return
        finally:
            client.resuming = None
            client.wake.set()
        self.process_waiting(client)

    def _stops_midway(self, client: Client, now: float) -> bool:
        """Whether a request takes too long to come, or has stopped coming while others wait for its room."""
        if now - (client.head_since or now) >= self.service.front.head_timeout / 1e3:
            return True
        return self.input_budget.is_crowded and now - client.idle_since >= STOPPED_WHILE_CROWDED_S

    def _heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        self._stall_detector.heartbeat(loop.time())
        self.input_budget.resume_overdue(loop.time())
        self._heartbeat_timer = loop.call_later(HEARTBEAT_S, self._heartbeat)

    def _sweep(self) -> None:
        """Close clients that are idle, do not complete a request or do not read; one timer for all clients."""
        loop, bounds = asyncio.get_running_loop(), self.service.front
        now = loop.time()
        for client in list(self.clients):
            unsent = client.writer.transport.get_write_buffer_size()
            if client.write_stall.stalled_s(unsent, now) >= bounds.write_timeout / 1e3:
                self.log.info("client_ended", reason="does not read", unsent=unsent)
                client.writer.transport.abort()
            elif client.waiting_since is not None and peer_closed(client.writer.transport):
                client.writer.transport.abort()  # its end would lie unread behind what is not read
            elif client.number is not None or client.waiting or client.is_held_back():
                continue
            elif client.head_since and self._stops_midway(client, now):
                self.log.info("client_ended", reason="half a request")
                client.keep_alive = False
                client.answer(plain_answer(408, "the request did not come in time", False))
            elif now - client.idle_since >= bounds.idle_timeout / 1e3:
                client.writer.close()
        shortest_s = min(bounds.head_timeout, bounds.idle_timeout, bounds.write_timeout) / 1e3
        self._sweeper = loop.call_later(max(shortest_s / 4, 0.02), self._sweep)
