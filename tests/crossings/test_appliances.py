"""Races on connections to appliances: unread data on idle connections, calls cancelled while connecting."""

from __future__ import annotations

import asyncio
import select
import socket

import pytest

from otterquay.agent.connection_pool import MAX_REUSE_IDLE_S
from otterquay.agent.exchange import DeliveryLimit
from otterquay.agent.outcomes import End
from otterquay.agent.sockets import has_unread_data
from otterquay.standins.resp import served
from tests.crossings.forcing import LOOPS, BlockingAppliance, PoolCalls, run, until, wait_until_arrived


@pytest.mark.parametrize("what", ["a second answer", "half an answer", "a close", "a reset"])
@pytest.mark.parametrize("loop", LOOPS)
def test_what_lies_unread_on_an_idle_connection_never_meets_the_next_request(what: str, loop: str) -> None:
    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        conn = await calls.answered(plain)
        (idle,) = calls.pool.open
        if what == "a reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if what.endswith("answer"):
            conn.sendall(served(b"second")[: 10 if what.startswith("half") else None])
        else:
            conn.close()
        wait_until_arrived(lambda: has_unread_data(idle.writer.transport))
        calls.call(plain.address)  # in the same loop iteration, so nothing has been read
        other = await plain.accept()
        await asyncio.get_running_loop().sock_recv(other, 100)
        other.sendall(served(b"own"))
        await until(lambda: len(calls.ends) == 2)
        assert calls.ends == [End.ANSWER, End.ANSWER] and idle.closed and len(calls.pool.open) == 1
        calls.pool.close()
        for one in (plain, conn, other):
            one.close()

    run(work, loop)


@pytest.mark.parametrize("what", ["a second answer", "half an answer", "a close"])
@pytest.mark.parametrize("loop", LOOPS)
def test_what_a_turn_of_the_loop_received_on_an_idle_connection_never_meets_its_next_request(
    what: str, loop: str
) -> None:
    """Guards against input that has left the socket and that the connection's task has not read yet."""

    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        conn = await calls.answered(plain)
        (idle,) = calls.pool.open
        receive = "feed_eof" if what == "a close" else "feed_data"
        received = getattr(idle.reader, receive)

        def receive_and_call(*data: bytes) -> None:
            setattr(idle.reader, receive, received)
            received(*data)
            calls.call(plain.address)  # as a request does that the same turn of the loop received

        setattr(idle.reader, receive, receive_and_call)
        if what.endswith("answer"):
            conn.sendall(served(b"second")[: 10 if what.startswith("half") else None])
        else:
            conn.close()
        other = await plain.accept()
        await asyncio.get_running_loop().sock_recv(other, 100)
        other.sendall(served(b"own"))
        await until(lambda: len(calls.ends) == 2)
        assert calls.ends == [End.ANSWER, End.ANSWER] and idle.closed and len(calls.pool.open) == 1
        calls.pool.close()
        for one in (plain, conn, other):
            one.close()

    run(work, loop)


def test_the_rest_of_idle_connections_grows_with_how_late_second_answers_come() -> None:
    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        calls.pool.min_reuse_idle_s = 0.01
        # powers of two, so that adding them to a clock reading and subtracting it again loses nothing to rounding
        for late_s, rest_s in ((2**-9, 0.01), (2**-8, 2**-6), (3 * 2**-10, 2**-6), (64.0, MAX_REUSE_IDLE_S)):
            calls.ends.clear()
            conn = await calls.answered(plain)
            (idle,) = calls.pool.open
            idle.idle_since = asyncio.get_running_loop().time() - late_s
            conn.sendall(served(b"second"))
            await until(lambda idle=idle: idle.closed)  # type: ignore[misc]
            assert rest_s <= calls.pool.min_reuse_idle_s <= max(2 * rest_s, MAX_REUSE_IDLE_S)
        calls.call(plain.address)
        other = await plain.accept()
        await asyncio.get_running_loop().sock_recv(other, 100)
        other.sendall(served(b"good"))
        await until(lambda: len(calls.ends) == 2)
        calls.call(plain.address)  # at once, before the connection has been idle for the rest
        assert not any(connection.call for connection in calls.pool.open) and calls.pool.connecting
        calls.pool.close()
        for one in (plain, conn, other):
            one.close()

    run(work)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_call_given_up_in_any_turn_of_its_connecting_leaves_no_connection(loop: str) -> None:
    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        plain.listener.listen(256)
        for turns in range(30):
            call = calls.call(plain.address)
            for _ in range(turns):
                await asyncio.sleep(0)
            calls.pool.cancel(call)
        assert len(calls.ends) == 30 and set(calls.ends) <= {End.CALLED_OFF, End.CALLED_OFF_CONNECTING}
        await until(lambda: not calls.pool.open and not calls.pool.connecting)
        plain.listener.setblocking(False)
        ended = 0
        while True:  # each established connection is closed sooner or later
            try:
                conn, _ = plain.listener.accept()
            except BlockingIOError:
                break
            conn.setblocking(False)
            try:
                while await asyncio.wait_for(asyncio.get_running_loop().sock_recv(conn, 100), 20):
                    pass
            except ConnectionResetError:
                pass
            ended += 1
            conn.close()
        assert ended, "some connections were established"
        plain.close()

    run(work, loop)


@pytest.mark.parametrize("loop", LOOPS)
def test_a_call_taken_back_in_the_turn_of_its_write_has_not_run(loop: str) -> None:
    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        conn = await calls.answered(plain)
        big = b"*1\r\n$9000000\r\n" + b"x" * 9_000_000 + b"\r\n"  # more than the kernel takes at once
        call = calls.call(plain.address, big)
        calls.pool.withhold(call, DeliveryLimit.CLIENT_LEFT)
        assert calls.ends == [End.ANSWER, End.CALLED_OFF_CONNECTING] and not calls.pool.open
        got = 0
        conn.setblocking(False)
        try:
            while data := await asyncio.get_running_loop().sock_recv(conn, 1 << 20):
                got += len(data)
        except ConnectionResetError:
            pass
        assert got < len(big)
        conn.close()
        plain.close()

    run(work, loop)


ARRIVAL_S = 5.0  # for what the kernel delivers without a turn of the event loop


def has_ended(conn: socket.socket) -> bool:
    """Whether the other side ends its sending before the loop runs; all bytes of the connection were read."""
    readable, _, _ = select.select([conn], [], [], ARRIVAL_S)
    return bool(readable) and conn.recv(1, socket.MSG_PEEK) == b""


@pytest.mark.parametrize("how", ["called off", "overdue", "spoilt"])
@pytest.mark.parametrize("loop", LOOPS)
def test_an_attempt_has_ended_at_its_appliance_before_the_next_one_of_its_request_can_begin(
    how: str, loop: str
) -> None:
    """Guards against two copies out at one time: a retry begins in the turn in which the attempt before it ends."""

    async def work() -> None:
        calls, hung = PoolCalls(), BlockingAppliance()
        ended_before_retry: list[bool] = []

        def retry(*_: object) -> None:
            ended_before_retry.append(has_ended(conn))

        until_s = asyncio.get_running_loop().time() + 60.0
        call = calls.pool.call(hung.address, b"1-0", lambda: b"*1\r\n$1\r\nx\r\n", until_s, retry)
        conn = await hung.accept()
        await asyncio.get_running_loop().sock_recv(conn, 100)
        if how == "called off":
            calls.pool.cancel(call)
        elif how == "overdue":
            calls.pool._overdue(call)
        else:
            conn.sendall(b":1\r\n")
        await until(lambda: ended_before_retry)
        assert ended_before_retry == [True]
        calls.pool.close()
        for one in (hung, conn):
            one.close()

    run(work, loop)


def test_closing_the_pool_ends_calls_that_still_connect() -> None:
    """Guards against a caller that waits until its deadline for a connect that was cancelled."""

    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        calls.call(plain.address)
        calls.pool.close()
        assert calls.ends == [End.CALLED_OFF_CONNECTING]
        await until(lambda: not calls.pool.connecting)
        assert calls.ends == [End.CALLED_OFF_CONNECTING] and not calls.pool.open
        plain.close()

    run(work)
