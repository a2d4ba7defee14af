"""Graceful shutdown: requests that arrive during the drain are answered, and nothing is left open at the end."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from typing import Any

import pytest

from otterquay import interface as it
from otterquay.agent.lifecycle import DRAIN_POLL_S, Phase
from otterquay.agent.sockets import has_unread_data
from otterquay.agent.stall_detector import HEARTBEAT_S
from otterquay.node.client import State
from otterquay.node.connection_drain import QUIET_PERIOD_S
from otterquay.node.shutdown_schedule import (
    END_RESERVE_S,
    FLUSH_S,
    LINGER_S,
    NEW_CONNECTIONS_S,
    ShutdownSchedule,
    shutdown_time_s,
)
from otterquay.standins.resp import served
from tests.crossings.forcing import (
    LOOPS,
    STEP_CLOCK,
    StepClockLoop,
    front_clock_at,
    hold_requests,
    open_idle_connections,
    run,
    wait_until_arrived,
)
from tests.noderig import CLASSES, Rig, answer


async def draining(rig: Rig) -> tuple[Any, asyncio.StreamReader, asyncio.StreamWriter, asyncio.Future[None]]:
    """Drain an agent with one open request; returns the held requests, the client and the pending shutdown."""
    held = hold_requests(rig)
    reader, writer = await rig.connect()
    writer.write(rig.encode_request(id="one"))
    await rig.until(lambda: held)
    leaving = asyncio.ensure_future(rig.node.shut_down())
    await rig.until(lambda: rig.node.phase is Phase.DRAINING)
    return held, reader, writer, leaving


def test_commands_of_one_chunk_all_have_their_answers_from_a_draining_agent() -> None:
    async def work() -> None:
        async with Rig() as rig:
            rig.node.front.drain()
            reader, writer = await rig.connect()
            writer.write(
                b"*1\r\n$4\r\nPING\r\n"
                + rig.encode_request(id="a")
                + b"*1\r\n$3\r\nWHO\r\n"
                + rig.encode_request(id="b")
            )
            got = [await answer(reader) for _ in range(4)]
            assert got == [b"+PONG", b"for a", b"-ERR unknown command 'WHO'", b"for b"]
            assert await answer(reader) == b"" and not rig.node.open_requests

    run(work)


def test_a_request_that_crosses_the_close_of_a_drained_connection_is_answered_on_a_new_one() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held, reader, writer, leaving = await draining(rig)
            rig.appliances[0].behave = lambda _, w, words: w.write(served(b"for " + words[2]))
            held[0][0].write(served(b"for one"))
            writer.write(again := rig.encode_request(id="two"))  # in the loop iteration of the answer
            assert await answer(reader) == b"for one"
            if (got := await answer(reader)) == b"":  # the connection was closed: send it again, as clients do
                got = await rig.exchange(again)
            assert got == b"for two"
            await leaving

    run(work)


def test_a_connection_that_comes_while_the_agent_drains_is_served_and_then_closed() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held, first, _, leaving = await draining(rig)
            late, late_writer = await rig.connect()
            late_writer.write(rig.encode_request(id="late"))
            await rig.until(lambda: len(held) == 2)
            for appliance, id in held:
                appliance.write(served(b"for " + id))
            for reader, want in ((first, b"for one"), (late, b"for late")):
                assert [await answer(reader), await answer(reader)] == [want, b""]
            await leaving
            assert rig.node.counts["served"] == 2 and not rig.node.front.clients

    run(work)


def test_what_is_held_when_the_time_is_up_is_failed_and_given_up_before_the_end() -> None:
    async def work() -> None:
        async with Rig(count=2) as rig:
            held = hold_requests(rig)
            asked = [await rig.connect() for _ in range(3)]
            for number, (_, writer) in enumerate(asked):
                writer.write(rig.encode_request(cls="race-entry" if number else "lobby-read", id=f"r{number}"))
            await rig.until(lambda: len(held) == 3)
            await rig.node.stop(0.0)
            for reader, _ in asked:
                assert [await answer(reader), await answer(reader)] == [b"-ERR the agent ends", b""]
            assert not rig.node.open_requests and not rig.node.front.ids and not rig.node.pool.open
            assert rig.node.counts["failed"] == 3 and len(rig.seen(it.Abandoned)) == 3
            assert {e.status for e in rig.seen(it.Outcome)} == {it.Status.CANCELLED}
            assert sum(len(one.got) for one in rig.appliances) == 3, "closing starts no attempt"
            assert not rig.node._agent.pending_requests, "and the module has forgotten the requests"

    run(work)


@pytest.mark.parametrize("loop", LOOPS)
def test_closing_begins_no_attempt_in_place_of_what_it_ends(loop: str) -> None:
    async def work() -> None:
        async with Rig(count=2) as rig:
            before = await open_idle_connections(rig)
            held = hold_requests(rig)
            _, writer = await rig.connect()
            writer.write(rig.encode_request(id="held"))
            await rig.until(lambda: held)
            rig.node.close()
            await asyncio.sleep(0.05)
            assert sum(len(one.got) for one in rig.appliances) == before + 1

    run(work, loop)


@pytest.mark.parametrize(
    "deadlines", [(50.0, 20.0), (900.0, 2999.0), (3000.0,), (6000.0, 2000.0), (300000.0, 50.0)]
)
def test_a_planned_end_fits_between_sigterm_and_sigkill(deadlines: tuple[float, ...]) -> None:
    async def work() -> None:
        classes = [
            {**CLASSES[0], "name": f"c{i}", "deadlineMs": ms, "onTimeMs": ms / 2} for i, ms in enumerate(deadlines)
        ]
        async with Rig(count=0, requestClasses=classes) as rig:
            kill_s = min(max(deadlines) / 1e3, 3.0) + 0.7  # time from SIGTERM to SIGKILL, by the protocol page
            assert shutdown_time_s(rig.node.settings) + FLUSH_S + 2 * DRAIN_POLL_S <= kill_s, (
                "with time left to close"
            )
            assert shutdown_time_s(rig.node.settings) >= LINGER_S + min(max(deadlines) / 1e3, 3.0)
            schedule = ShutdownSchedule.of(rig.node.settings, 0.0)
            listener_s = schedule.answers_within_s + schedule.listener_outlasts_s
            assert NEW_CONNECTIONS_S <= schedule.drain_after_s < listener_s, "new connections come for 0.4 s"
            assert listener_s + END_RESERVE_S <= kill_s + 1e-9, "with time left on a busy machine"

    run(work)


@pytest.mark.parametrize("does_loop_run_first", [False, True])
@pytest.mark.parametrize("since_heartbeat_s", [0.0, 0.05, 0.099])
@pytest.mark.parametrize("stopped_s", [0.0, 0.05, 0.15, 0.4, 0.8, 5.0])
def test_connections_in_use_to_the_last_are_answered_before_sigkill_though_the_process_was_stopped(
    stopped_s: float, since_heartbeat_s: float, does_loop_run_first: bool
) -> None:
    """Guards against a shutdown that counts from when a stopped process runs again; SIGKILL counts from SIGTERM."""

    async def work() -> None:
        classes = [{**CLASSES[0], "deadlineMs": 1000.0, "onTimeMs": 500.0}]
        async with Rig(count=1, requestClasses=classes) as rig:
            loop, heartbeat_at = asyncio.get_running_loop(), rig.node.front.stall_detector.last_heartbeat
            assert isinstance(loop, StepClockLoop)
            reader, writer = await rig.connect()
            await asyncio.sleep(heartbeat_at + HEARTBEAT_S + since_heartbeat_s - loop.time())
            killed_at = loop.time() + 1.0 + 0.7  # by the protocol page; SIGTERM comes as the stop begins
            loop.advance(stopped_s)
            runs_again_at = loop.time()
            if does_loop_run_first:
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            rig.node.note_end_signal()
            leaving = asyncio.ensure_future(rig.node.shut_down())
            answers = []
            while not reader.at_eof():
                writer.write(rig.encode_request(d=1000))
                answers.append(await answer(reader))
                await asyncio.sleep(0.02)
            await leaving
            assert b"" not in answers[:-1] and all(a.startswith((b"for ", b"-BUSY")) for a in answers if a)
            closing_s = FLUSH_S + 2 * DRAIN_POLL_S
            latest_end = max(killed_at, runs_again_at + LINGER_S + closing_s)
            rounding_s = 1e-6
            earliest_drain, latest_drain = runs_again_at + LINGER_S, latest_end - closing_s
            assert earliest_drain - rounding_s <= rig.node.drain_until <= latest_drain + rounding_s
            assert loop.time() <= latest_end

    run(work, STEP_CLOCK)


@pytest.mark.parametrize("deadline_ms", [50.0, 400.0, 3000.0])
@pytest.mark.parametrize("stopped_s", [0.0, 0.15, 0.4, 0.8, 5.0])
def test_new_connections_find_a_listener_though_the_process_was_stopped_before_sigterm(
    stopped_s: float, deadline_ms: float
) -> None:
    """Guards against a shutdown that counts a stop before SIGTERM as time in which new connections came."""

    async def work() -> None:
        classes = [{**CLASSES[0], "deadlineMs": deadline_ms, "onTimeMs": deadline_ms / 2}]
        async with Rig(count=1, requestClasses=classes) as rig:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, StepClockLoop)
            loop.advance(stopped_s)  # SIGTERM comes as the stop ends
            sigterm_at = loop.time()
            rig.node.note_end_signal()
            leaving = asyncio.ensure_future(rig.node.shut_down())
            await asyncio.sleep(sigterm_at + NEW_CONNECTIONS_S - 0.01 - loop.time())
            assert await rig.exchange(rig.encode_request(d=deadline_ms))
            await leaving

    run(work, STEP_CLOCK)


def test_what_is_taken_after_sigterm_tells_the_time_that_is_left() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held = hold_requests(rig)
            leaving = asyncio.ensure_future(rig.node.shut_down())
            await asyncio.sleep(0)
            left_ms = (rig.node.drain_until - asyncio.get_running_loop().time()) * 1e3
            _, writer = await rig.connect()
            writer.write(rig.encode_request(id="late", d=6000))
            await rig.until(lambda: held)
            options = dict(item.split(b"=") for item in rig.appliances[0].got[0][3].split(b","))
            assert 0 < int(options[b"d"]) <= left_ms + 1 < 6000
            held[0][0].write(served(b"for late"))
            await leaving

    run(work)


def test_a_command_that_has_begun_to_come_is_waited_for_by_a_drain() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            reader, writer = await rig.connect()
            whole = rig.encode_request(id="pieces")
            writer.write(whole[:30])
            await rig.until(lambda: any(c.parser.started for c in rig.node.front.clients))
            rig.node.front.drain()
            writer.write(whole[30:])
            assert [await answer(reader), await answer(reader)] == [b"for pieces", b""]
            reader, writer = await rig.connect()
            whole = rig.encode_request(id="behind")
            writer.write(rig.encode_request(id="first") + whole[:30])
            assert await answer(reader) == b"for first"
            writer.write(whole[30:])
            assert [await answer(reader), await answer(reader)] == [b"for behind", b""]

    run(work)


def test_a_drain_waits_a_moment_for_what_crossed_its_closes() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            front, now = rig.node.front, rig.node.front.now()
            with front_clock_at(front, now):
                front.drain()
                assert not front.drained(), (
                    "a client may be reconnecting to send again what it wrote to a closed one"
                )
            with front_clock_at(front, now + 0.2):
                assert front.drained()
                late = await rig.connect()
                await rig.until(lambda: front.clients)
                late[1].close()
                await rig.until(lambda: not front.clients)
                assert not front.drained()
            with front_clock_at(front, now + 0.4):
                assert front.drained()

    run(work)


@pytest.mark.parametrize("before_end_s", [2.5, 1.0, 0.05])
def test_a_request_that_crossed_a_close_finds_its_agent_as_long_as_a_drain_may_last(before_end_s: float) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="one"))
            assert await answer(reader) == b"for one"
            await asyncio.sleep(QUIET_PERIOD_S)
            leaving = asyncio.ensure_future(rig.node.shut_down())
            assert await answer(reader) == b"", "closed by the drain"
            await asyncio.sleep(rig.node.drain_until - before_end_s - asyncio.get_running_loop().time())
            assert await rig.exchange(rig.encode_request(id="again", d=2000)) == b"for again"
            await leaving
            assert asyncio.get_running_loop().time() <= rig.node.drain_until + FLUSH_S + 2 * DRAIN_POLL_S
            assert rig.node.counts["served"] == 2 and not rig.node.front.clients

    run(work, STEP_CLOCK)


@pytest.mark.parametrize("silent_s", [2 * QUIET_PERIOD_S, 0.5, 1.5])
def test_a_connection_for_a_request_that_crossed_a_close_may_be_silent_before_it_asks(silent_s: float) -> None:
    """Guards against a close under a client that was held up between its connect and its write."""

    async def work() -> None:
        async with Rig(count=1) as rig:
            reader, _ = await rig.connect()
            await rig.until(lambda: rig.node.front.clients)
            leaving = asyncio.ensure_future(rig.node.shut_down())
            assert await answer(reader) == b"", "closed by the drain"
            reader, writer = await rig.connect()
            await asyncio.sleep(silent_s)
            writer.write(rig.encode_request(id="again", d=500))
            assert [await answer(reader), await answer(reader)] == [b"for again", b""]
            await leaving

    run(work, STEP_CLOCK)


def test_a_crowd_in_a_drain_does_not_close_a_connection_for_a_request_that_crossed_a_close() -> None:
    """Guards against shedding the connection on which a client is about to send its request again."""

    async def work() -> None:
        async with Rig(count=1, sockets=100) as rig:
            front = rig.node.front
            leaving = asyncio.ensure_future(rig.node.shut_down())
            await rig.until(lambda: rig.node.phase is Phase.DRAINING)
            reader, writer = await rig.connect()
            await asyncio.sleep(2 * QUIET_PERIOD_S)
            for _ in range(front.shed_above + 1):
                await rig.connect()
            assert front.shed_above < len(front.clients) <= front.max_clients
            writer.write(rig.encode_request(id="again"))
            assert await answer(reader) == b"for again"
            await leaving

    run(work, STEP_CLOCK)


def test_a_silent_connection_of_a_drain_is_closed_once_its_time_is_up_while_the_listener_still_stands() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            leaving = asyncio.ensure_future(rig.node.shut_down())
            await rig.until(lambda: rig.node.phase is Phase.DRAINING)
            await asyncio.sleep(rig.node.drain_until - QUIET_PERIOD_S - asyncio.get_running_loop().time())
            reader, _ = await rig.connect()
            assert await answer(reader) == b""
            assert await rig.exchange(rig.encode_request(id="crossed")) == b"-BUSY"
            await leaving

    run(work, STEP_CLOCK)


def test_an_idle_connection_with_an_unread_request_is_not_closed_by_a_drain() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            plain = socket.create_connection(rig.address)
            await rig.until(lambda: rig.node.front.clients)
            client = next(iter(rig.node.front.clients))
            client.idle_since -= QUIET_PERIOD_S
            plain.sendall(rig.encode_request(id="crosses"))
            wait_until_arrived(lambda: has_unread_data(client.transport))
            rig.node.front.drain()  # before the loop has read it
            plain.setblocking(False)
            got = await asyncio.get_running_loop().sock_recv(plain, 100)
            assert got == b"$11\r\nfor crosses\r\n"
            plain.close()

    run(work)


def test_a_drain_closes_its_idle_connections_one_a_turn_as_each_close_may_be_crossed() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            front = rig.node.front
            asked = [await rig.connect() for _ in range(5)]
            await rig.until(lambda: len(front.clients) == 5)
            for client in front.clients:
                client.idle_since -= QUIET_PERIOD_S
            front.drain()
            assert [client.state for client in front.clients].count(State.CLOSED) == 1
            for reader, _ in asked:
                assert await answer(reader) == b""
            await rig.until(lambda: not front.clients)

    run(work)


def test_a_connection_that_has_just_come_is_not_closed_by_a_drain_before_it_may_ask() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            front = rig.node.front
            reader, writer = await rig.connect()
            await rig.until(lambda: front.clients)
            client = next(iter(front.clients))
            client.idle_since = front.active_time()
            front.drain()
            assert client.state is State.OPEN
            writer.write(rig.encode_request(id="fresh"))
            assert [await answer(reader), await answer(reader)] == [b"for fresh", b""]
            silent_one = await rig.connect()
            assert await answer(silent_one[0]) == b"", "a client that sends nothing is closed as well"

    run(work)


@dataclass(frozen=True)
class FailedClient:
    """A client whose request was failed as the time of a drain ran out, and the planned end under way."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    held: list[tuple[asyncio.StreamWriter, bytes]]
    stopping: asyncio.Future[None]


async def fail_at_the_end_of_a_drain(rig: Rig) -> FailedClient:
    """Let the time of a drain run out on a request."""
    held = hold_requests(rig)
    reader, writer = await rig.connect()
    writer.write(rig.encode_request(id="first"))
    await rig.until(lambda: held)
    rig.node.settle_s = 60.0
    stopping = asyncio.ensure_future(rig.node.stop(0.0))
    assert await answer(reader) == b"-ERR the agent ends"
    return FailedClient(reader, writer, held, stopping)


def test_who_is_failed_at_the_end_of_a_drain_and_asks_again_at_once_is_refused_not_reset() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            client = await fail_at_the_end_of_a_drain(rig)
            client.writer.write(rig.encode_request(id="again"))
            assert [await answer(client.reader), await answer(client.reader)] == [b"-BUSY", b""]
            await client.stopping
            assert len(client.held) == 1 and rig.node.counts["taken"] == 1

    run(work)


def test_who_is_refused_at_the_end_of_a_drain_is_closed_while_the_listener_still_stands() -> None:
    """Guards against a connection that is in use to the last: a request that crosses its end finds nobody."""

    async def work() -> None:
        async with Rig(count=1) as rig:
            client = await fail_at_the_end_of_a_drain(rig)
            await rig.until(lambda: rig.node.open_requests == {})
            client.writer.write(rig.encode_request(id="again"))
            assert await answer(client.reader) == b"-BUSY"
            assert all(connection.state is State.CLOSED for connection in rig.node.front.clients)
            assert await rig.exchange(rig.encode_request(id="crossed")) == b"-BUSY"
            await client.stopping

    run(work)


def test_a_second_end_and_a_late_reload_change_nothing() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held, reader, writer, leaving = await draining(rig)
            await rig.node.stop(0.0)  # returns at once and shortens nothing
            assert rig.node.phase is Phase.DRAINING and rig.node.open_requests
            held[0][0].write(served(b"for one"))
            assert await answer(reader) == b"for one"
            await leaving
            desks = rig.desk.opened
            rig.node.reload(rig.config())
            await asyncio.sleep(0.05)
            assert rig.node.phase is Phase.CLOSED and rig.desk.opened == desks

    run(work)
