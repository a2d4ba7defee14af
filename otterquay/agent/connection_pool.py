"""The connection pool towards the appliances: keep-alive connections that carry attempts and probes.

It decides nothing: the caller says what is sent, where and until when, and gets the end as an `outcomes.End`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from otterquay.addresses import split_address
from otterquay.agent.exchange import Call, Connection, ConnectionUse, DeliveryLimit, PayloadBuilder
from otterquay.agent.outcomes import End
from otterquay.agent.ports import ApplianceProtocol
from otterquay.agent.sockets import (
    discard_on_close,
    end_sending,
    has_unread_data,
    is_delivered,
    reset,
    unacknowledged_bytes,
)
from otterquay.agent.stream_reader import open_connection
from otterquay.logs import Logger
from otterquay.ordered_set import OrderedSet
from otterquay.protocol.http import ProtocolError

READ_SIZE = 65536
REUSE_IDLE_FACTOR = 4  # times the delay at which an unsolicited second answer was seen
MAX_REUSE_IDLE_S = 0.05
ACKNOWLEDGEMENT_S = 0.05  # a host may delay an acknowledgement by 40 ms
MAX_TIMER_EARLY_S = 0.001  # by which a timer of the event loop may fire early, as its clock is rounded


@dataclass(slots=True)
class Pool:
    """All appliance connections of one agent. Times are seconds of the event loop's clock."""

    connect_timeout_s: float
    keepalive_s: float
    appliance_protocol: ApplianceProtocol
    log: Logger
    max_connections: int = 0  # 0 for no bound
    min_reuse_idle_s: float = 0.0  # idle time before reuse, as a surplus answer may not be read yet
    idle: dict[str, list[Connection]] = field(default_factory=dict)
    open: OrderedSet[Connection] = field(default_factory=OrderedSet)
    connecting: OrderedSet[Call] = field(default_factory=OrderedSet)
    opened: int = 0
    _sweeper: asyncio.TimerHandle | None = None

    def call(
        self,
        address: str,
        tag: bytes,
        build_payload: PayloadBuilder,
        until: float,
        done: Callable[[Call, End, Any | None], None],
        deliver_by: float = math.inf,
    ) -> Call:
        """Start an exchange that times out at `until`, and is called off if it is not delivered by `deliver_by`.

        It is delivered once the appliance's host has acknowledged its last byte. `done` never runs before this
        returns. `build_payload` runs at most once, right before the write.
        """
        loop = asyncio.get_running_loop()
        call = Call(address, tag, build_payload, done, loop.time())
        call.timer = loop.call_at(until, self._overdue, call)
        if deliver_by < until:
            self._limit_delivery(call, deliver_by, DeliveryLimit.REPEAT_WINDOW)
        idle_before = loop.time() - self.min_reuse_idle_s
        for connection in reversed(free := self.idle.get(address, [])):
            if connection.idle_since > idle_before:
                continue
            free.remove(connection)
            if connection.closed or connection.reader.at_eof() or connection.writer.is_closing():
                continue
            # a surplus answer or a close that has arrived, also if this turn of the loop has received it
            if connection.reader.has_pending_input or has_unread_data(connection.writer.transport):
                self._close(connection)
            else:
                call.idle_s = loop.time() - connection.idle_since
                self._write(connection, call)
                return call
        if (
            self.max_connections
            and len(self.open) + len(self.connecting) >= self.max_connections
            and not self._make_room()
        ):
            self.log.warning("no_room_for_a_connection", address=address, open=len(self.open))
            loop.call_soon(self._end, call, End.NO_CONNECTION)
            return call
        call.task = loop.create_task(self._connect(call))
        self.connecting.add(call)
        call.task.add_done_callback(lambda _: self.connecting.discard(call))
        return call

    def cancel(self, call: Call) -> None:
        """Cancel a call and close its connection, so that the appliance notices."""
        self._end(call, End.CALLED_OFF if self._sent(call) else End.CALLED_OFF_CONNECTING)

    def withhold(self, call: Call, limit: DeliveryLimit) -> None:
        """Cancel a call unless its request is delivered; what the kernel holds has a moment to be acknowledged."""
        if call.ended:
            return
        if not self._sent(call):
            call.limit = limit
            self._log_not_delivered(call)
            self.cancel(call)
        elif call.connection and not is_delivered(call.connection.writer.transport):
            self._limit_delivery(call, asyncio.get_running_loop().time() + ACKNOWLEDGEMENT_S, limit)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to one appliance."""
        for connection in self.idle.pop(address, []):
            self._close(connection)

    def retire(self, addresses: Iterable[str]) -> None:
        """Stop reusing connections to processes that have ended; they must carry no request for a successor."""
        if not (ended := OrderedSet(addresses)):
            return
        for address in ended:
            self.close_idle(address)
        active: list[Connection | Call] = [*self.open, *self.connecting]
        for connection_or_call in active:
            if connection_or_call.address in ended:
                connection_or_call.use = ConnectionUse.LAST_EXCHANGE

    def close(self) -> None:
        """Close everything; calls in progress end as closed, and calls that still connect as called off."""
        if self._sweeper:
            self._sweeper.cancel()
        for connection in list(self.open):
            if connection.call:
                self._end(connection.call, End.CLOSED)
            self._close(connection)
        for call in list(self.connecting):
            self._end(call, End.CALLED_OFF_CONNECTING)
        self.idle.clear()

    def _make_room(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        idle = [c for free in self.idle.values() for c in free]
        if idle:
            self._close(min(idle, key=lambda c: c.idle_since))
        return bool(idle)

    def _sent(self, call: Call) -> bool:
        """Whether the appliance may have started to run the request."""
        return call.connection is not None and not self._unsent(call.connection)

    def _unsent(self, connection: Connection) -> bool:
        """Whether part of a request that runs only once complete is still in the write buffer."""
        return self.appliance_protocol.runs_when_whole and connection.writer.transport.get_write_buffer_size() > 0

    def _limit_delivery(self, call: Call, deliver_by: float, limit: DeliveryLimit) -> None:
        """Call off a call that is not delivered by this time, or by the earlier one that it has."""
        if deliver_by >= call.deliver_by:
            return
        if call.delivery_timer:
            call.delivery_timer.cancel()
        call.deliver_by, call.limit = deliver_by, limit
        loop = asyncio.get_running_loop()
        call.delivery_timer = loop.call_at(deliver_by + MAX_TIMER_EARLY_S, self._check_delivery, call)

    def _check_delivery(self, call: Call) -> None:
        """Call off a call that is connecting, or whose request the transport or the kernel holds in part."""
        if call.ended or (call.connection and is_delivered(call.connection.writer.transport)):
            return
        self._log_not_delivered(call)
        self.cancel(call)

    def _log_not_delivered(self, call: Call) -> None:
        transport = call.connection.writer.transport if call.connection else None
        self.log.info(
            "request_not_delivered",
            address=call.address,
            limit=call.limit.value,
            written=transport is not None,
            buffered=transport.get_write_buffer_size() if transport else 0,
            unacknowledged=unacknowledged_bytes(transport) if transport else 0,
            after_s=asyncio.get_running_loop().time() - call.started,
        )

    def _overdue(self, call: Call) -> None:
        self._end(call, End.OVERDUE if self._sent(call) else End.OVERDUE_CONNECTING)

    def _end(self, call: Call, end: End, answer: Any | None = None) -> None:
        if call.ended:
            return
        call.ended = True
        for timer in (call.timer, call.delivery_timer):
            if timer:
                timer.cancel()
        connection, call.connection = call.connection, None
        if connection:
            connection.call = None
            if answer and answer.keep_alive and connection.use is ConnectionUse.REUSABLE:
                connection.idle_since = asyncio.get_running_loop().time()
                self.idle.setdefault(call.address, []).append(connection)
                self._sweep_later()
            else:
                self._close(connection)
        elif call.task:
            call.task.cancel()
        call.done(call, end, answer)

    async def _connect(self, call: Call) -> None:
        host, port = split_address(call.address)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                reader, writer = await open_connection(host, port)
        except (OSError, TimeoutError) as error:
            call.task = None  # it is this task, which returns below
            self.log.info("connect_failed", address=call.address, error=str(error) or type(error).__name__)
            return self._end(call, End.NO_CONNECTION)
        discard_on_close(writer.transport)  # a process that dies sends no rest of a request
        connection = Connection(call.address, reader, writer, self.appliance_protocol.parser(), 0.0, use=call.use)
        self.open.add(connection)
        self.opened += 1
        connection.task = asyncio.get_running_loop().create_task(self._read(connection))
        if call.ended:  # cancelled in the loop iteration in which the connection was established
            self._close(connection)
        else:
            self._write(connection, call)

    def _write(self, connection: Connection, call: Call) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() >= call.deliver_by:
            self._close(connection)
            loop.call_soon(self._check_delivery, call)
            return
        if (payload := call.build_payload()) is None:
            self._close(connection)  # the address may belong to another process by now
            loop.call_soon(self._end, call, End.CALLED_OFF_CONNECTING)
            return
        connection.call, call.connection = call, connection
        call.written_at = loop.time()
        connection.writer.write(payload)

    async def _read(self, connection: Connection) -> None:
        reader, parser = connection.reader, connection.parser
        answer: Any | None
        unsent = False
        try:
            while not connection.closed:
                data = await reader.read(READ_SIZE)
                unsent = not data and self._unsent(connection)
                answers = parser.feed(data) if data else []
                if not data:
                    if (call := connection.call) and (answer := parser.eof()):
                        self._on_answer(connection, call, answer)
                    break
                if answers:
                    if (call := connection.call) is None:
                        raise ProtocolError(502, "unsolicited answer")
                    surplus = len(answers) > 1 or parser.started or parser.failed
                    if surplus:  # before the call ends, as the next call may start in the same loop iteration
                        self._close(connection)
                    self._on_answer(connection, call, answers[0])
                    if surplus:
                        raise ProtocolError(502, "bytes after the answer")
                elif parser.failed or connection.call is None:
                    raise parser.failed or ProtocolError(502, "unsolicited answer")
        except ProtocolError as error:
            idle_s = None if connection.call else asyncio.get_running_loop().time() - connection.idle_since
            if idle_s and self.min_reuse_idle_s:  # nothing else tells a surplus answer from the next answer
                self.min_reuse_idle_s = max(
                    self.min_reuse_idle_s, min(REUSE_IDLE_FACTOR * idle_s, MAX_REUSE_IDLE_S)
                )
            self.log.warning(
                "garbage_from_appliance", address=connection.address, error=error.reason, idle_s=idle_s
            )
            if connection.call:
                self._end(connection.call, End.GARBAGE)
        except (OSError, RuntimeError):
            pass  # a reset, which uvloop may report as a RuntimeError; a call in progress is ended below
        finally:
            if call := connection.call:
                self.log.info(
                    "closed_under_request",
                    address=call.address,
                    unsent=unsent,
                    rested_s=call.idle_s,
                    after_s=asyncio.get_running_loop().time() - call.written_at,
                )
                self._end(call, End.CLOSED_UNSENT if unsent else End.CLOSED)
            self._close(connection)

    def _on_answer(self, connection: Connection, call: Call, answer: Any) -> None:
        end = self.appliance_protocol.end(call.tag, answer)
        if end is End.MISMATCH:
            self.log.warning("answer_out_of_step", address=call.address, expected=call.tag.decode())
            return self._end(call, end)
        self._end(call, end, answer)

    def _close(self, connection: Connection) -> None:
        if connection.closed:
            return
        connection.use = ConnectionUse.CLOSED
        self.open.discard(connection)
        free = self.idle.get(connection.address)
        if free and connection in free:
            free.remove(connection)
        # The end reaches the kernel before the next attempt of the same request can be written.
        if is_delivered(connection.writer.transport):
            discard_on_close(connection.writer.transport, discard=False)
            end_sending(connection.writer.transport)
            connection.writer.close()
        else:
            reset(connection.writer.transport)  # an orderly close would still send the rest
        if connection.task and connection.task is not asyncio.current_task():
            connection.task.cancel()

    def _sweep_later(self) -> None:
        if self._sweeper is None:
            loop = asyncio.get_running_loop()
            self._sweeper = loop.call_later(max(self.keepalive_s / 4, 0.05), self._sweep)

    def _sweep(self) -> None:
        self._sweeper = None
        now = asyncio.get_running_loop().time()
        for address, free in list(self.idle.items()):
            for connection in [c for c in free if now - c.idle_since >= self.keepalive_s]:
                self._close(connection)
            if not free:
                del self.idle[address]
        if self.idle:
            self._sweep_later()
