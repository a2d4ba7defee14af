"""The agent on loopback sockets in difficult cases. No test depends on how long a step takes."""

from __future__ import annotations

import asyncio
import random
import resource
from typing import Any

import msgspec
import pytest
import uvloop
from rig import Rig, answer_at_once, answer_bytes, kind, never_answer, run, service

from otterquay import interface as it
from otterquay.agent.outcomes import END_MEANINGS, End
from otterquay.agent.ports import ClientRequest, FinalAnswer
from otterquay.lab.disk import FaultDisk
from otterquay.policy.state import UNRUN
from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest, write_request, write_response
from otterquay.protocol.sse import encode_event
from otterquay.store import Put

NOT_SEEN = write_response(503, [(b"otterquay-seen", b"no")], b"")
ERROR = write_response(500, [], b"")


def outcomes(rig: Rig) -> list[it.Status]:
    return [e.status for e in rig.seen(it.Outcome)]


def test_a_request_is_served_with_what_the_appliance_said_and_without_the_inner_headers() -> None:
    async def work() -> None:
        async with Rig() as rig:
            answer = await rig.get(x_request_id="r1", idempotency_key="k")
            assert (answer.status, answer.body, kind(answer)) == (200, b"right\n", "served")
            assert answer.headers[b"content-type"] == b"text/plain"
            got = next(r for s in rig.servers for r in s.got)
            assert got.body == b"hello" and got.headers[b"x-request-id"] == b"r1"
            assert got.headers[b"idempotency-key"] == b"k" and b"otterquay-budget-ms" not in got.headers
            asked = rig.seen(it.Request)[0]
            assert asked.cls == 0 and asked.budget_ms == 2000 and asked.key != 0

    run(work)


def test_the_events_reach_the_module_in_the_order_of_one_queue() -> None:
    async def work() -> None:
        async with Rig() as rig:
            kinds = [type(e) for e in rig.events[:3]]
            assert kinds[0] is it.Started and {it.ServerList, it.StageNews} <= set(kinds)
            await asyncio.gather(*(rig.get() for _ in range(20)))
            for number in range(1, 21):
                mine = [type(e) for e in rig.events if getattr(e, "request", None) == number]
                assert mine[0] is it.Request and set(mine[1:]) <= {it.Outcome}
            ends = [e.request for e in rig.seen(it.Outcome)]
            assert len(ends) == len(set(ends)) == rig.runtime.counts["served"] > 5

    run(work)


@pytest.mark.parametrize(
    ("behave", "status", "again"),
    [
        (answer_bytes(ERROR), it.Status.ERROR, False),
        (answer_bytes(NOT_SEEN), it.Status.FULL, True),
        (answer_bytes(write_response(503, [], b"")), it.Status.ERROR, False),
        (answer_bytes(b"\x00garbage\r\n\r\n"), it.Status.ERROR, False),
        (answer_bytes(b"", close=True), it.Status.RESET, False),
        (answer_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf", close=True), it.Status.RESET, False),
        (answer_bytes(write_response(200, [(b"otterquay-attempt", b"99-0")], b"x")), it.Status.RESET, False),
        (never_answer, it.Status.TIMEOUT, False),
    ],
)
def test_how_an_attempt_ended_decides_whether_an_unsafe_request_goes_again(
    behave: Any, status: it.Status, again: bool
) -> None:
    async def work() -> None:
        async with Rig(servers=3) as rig:
            for server in rig.servers:
                server.behave = behave
            answer = await rig.get("race-entry", budget=300)
            assert outcomes(rig)[0] is status
            sent = sum(len(s.got) for s in rig.servers)
            assert (sent > 1) is again
            assert kind(answer) == ("refused" if again else "failed")
            assert answer.status == (503 if again else 504 if status is it.Status.TIMEOUT else 502)

    run(work)


def test_a_connect_that_failed_proves_that_nothing_ran() -> None:
    async def work() -> None:
        async with Rig(servers=3) as rig:
            for server in rig.servers[:2]:
                server.listener.close()
            for _ in range(12):
                assert kind(await rig.get("race-entry")) == "served"
            assert it.Status.CONNECT_FAILED in outcomes(rig)

    run(work)


def test_the_table_says_of_no_written_request_that_it_never_ran_and_fits_the_module() -> None:
    assert set(END_MEANINGS) == set(End) and all(row.reason for row in END_MEANINGS.values())
    for row in END_MEANINGS.values():
        assert row.never_ran == (row.status in UNRUN)
    unwritten = {
        End.TURNED_AWAY,
        End.NO_CONNECTION,
        End.OVERDUE_CONNECTING,
        End.CALLED_OFF_CONNECTING,
        End.CLOSED_UNSENT,
        End.NOT_STARTED,
    }
    assert {end for end, row in END_MEANINGS.items() if row.never_ran} == unwritten


def test_a_stale_connection_closed_under_a_written_request_proves_nothing() -> None:
    async def work() -> None:
        async with Rig(servers=1) as rig:
            assert kind(await rig.get("race-entry")) == "served"
            # the appliance reads the request, then closes, which looks like a stale connection
            rig.servers[0].behave = answer_bytes(b"", close=True)
            answer = await rig.get("race-entry")
            assert kind(answer) == "failed" and len(rig.servers[0].got) == 2
            assert outcomes(rig) == [it.Status.OK, it.Status.RESET]

    run(work)


@pytest.mark.parametrize("loop", [uvloop.new_event_loop, asyncio.new_event_loop])
def test_a_connection_that_went_in_this_turn_loses_no_request(loop: Any) -> None:
    """Under uvloop, writing to a lost connection raises: requests stayed open and were never answered."""

    async def work() -> None:
        async with Rig(servers=1) as rig:
            for _ in range(3):
                assert kind(await rig.get("race-entry")) == "served"
                await rig.until(lambda: any(rig.runtime.pool.idle.values()))
                idle = next(iter(rig.runtime.pool.idle.values()))
                idle[-1].writer.transport.abort()  # lost in the loop iteration in which a request uses it
                ended: list[FinalAnswer] = []
                http = HttpRequest(b"POST", b"/x", {}, b"", True)
                rig.runtime.take(ClientRequest(http, 2, 0, b"", 900.0, None, False), StubRequester(ended))
                await rig.until(lambda e=ended: e)
                assert ended[0].kind == "served"
            assert not rig.runtime.open_requests

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(work())


class StubRequester:
    """A requester that collects its answers."""

    def __init__(self, answers: list[FinalAnswer]) -> None:
        self.number: int | None = None
        self.final = answers.append

    def attempt(self, count: int) -> None: ...

    def settled(self) -> None: ...

    def has_left(self) -> bool:
        return False


def test_a_late_reply_after_the_time_out_reaches_nobody() -> None:
    async def work() -> None:
        async with Rig(servers=1) as rig:
            peers: list[Any] = []
            rig.servers[0].behave = lambda peer, request: peers.append(peer)
            reader, writer = await rig.connect()
            writer.write(rig.ask("race-entry", budget=200))
            assert kind((await rig.answers(reader))[0]) == "failed"
            answer_at_once(peers[0], rig.servers[0].got[0])
            rig.servers[0].behave = answer_at_once
            writer.write(rig.ask())  # the client's connection still works, the appliance's was closed
            assert kind((await rig.answers(reader))[0]) == "served"
            assert outcomes(rig) == [it.Status.TIMEOUT, it.Status.OK]

    run(work)


def test_reply_and_time_out_in_one_turn_of_the_loop_end_the_attempt_once() -> None:
    async def work() -> None:
        async with Rig(servers=1) as rig:
            rig.servers[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.ask("race-entry"))
            await rig.until(lambda: rig.servers[0].got)
            call = next(c for h in rig.runtime.open_requests.values() for c in h.open_attempts.values()).call
            answer = write_response(200, [], b"right\n")
            parsed = type(call.connection.parser)().feed(answer)[0]
            rig.runtime.pool._end(call, End.ANSWER, parsed)
            rig.runtime.pool._overdue(call)
            rig.runtime.pool.cancel(call)
            assert kind((await rig.answers(reader))[0]) == "served"
            assert outcomes(rig) == [it.Status.OK] and not rig.runtime.open_requests

    run(work)


def test_an_appliance_that_answers_twice_spoils_no_other_request() -> None:
    async def work() -> None:
        async with Rig(servers=1) as rig:
            one = write_response(200, [], b"first\n")
            rig.servers[0].behave = answer_bytes(one + write_response(200, [], b"second\n"))
            for _ in range(5):
                assert (await rig.get()).body == b"first\n"
            peers: list[Any] = []

            def later(peer: Any, request: Any) -> None:
                peers.append(peer)
                peer.send(one)

            rig.servers[0].behave = later
            for _ in range(5):  # the surplus answer arrives while the connection is idle
                assert (await rig.get()).body == b"first\n"
                peers[-1].send(write_response(200, [], b"late\n"))
                await rig.until(lambda: not rig.runtime.pool.open)

    run(work)


def test_a_client_that_leaves_is_abandoned_and_nothing_more_is_sent_for_it() -> None:
    async def work() -> None:
        async with Rig(servers=2) as rig:
            for server in rig.servers:
                server.behave = never_answer
            _, writer = await rig.connect()
            writer.write(rig.ask("lobby-read", budget=400))
            await rig.until(lambda: sum(len(s.got) for s in rig.servers))
            writer.close()
            await rig.until(lambda: rig.seen(it.Abandoned))
            await rig.until(lambda: rig.seen(it.Outcome))
            assert rig.seen(it.Outcome)[0].over and sum(len(s.got) for s in rig.servers) == 1
            assert not rig.runtime.open_requests

    run(work)


def test_half_a_request_is_ended_and_was_never_taken() -> None:
    async def work() -> None:
        quick = service(front={"head_timeout": "100ms"})
        async with Rig(config=quick) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask()[:40])
            assert (await rig.answers(reader))[0].status == 408
            reader, writer = await rig.connect()
            await rig.until(lambda: len(rig.runtime.front.clients) == 1)
            for byte in rig.ask()[:30]:  # single bytes do not extend the timeout
                if not rig.runtime.front.clients:
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(0.02)
            assert (await rig.answers(reader))[0].status == 408
            assert not rig.seen(it.Request)

    run(work)


def test_idle_connections_end_and_idle_is_counted_from_the_last_answer() -> None:
    async def work() -> None:
        async with Rig(config=service(front={"idle_timeout": "150ms"})) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            assert len(await rig.answers(reader)) == 1
            assert await reader.read() == b"" and not rig.runtime.front.clients

    run(work)


def test_a_thousand_requests_on_one_connection_are_answered_in_order() -> None:
    async def work() -> None:
        async with Rig(config=service(front={"max_pipelined": 8})) as rig:

            def echo(peer: Any, request: Any) -> None:
                peer.send(write_response(200, [], request.headers[b"x-request-id"]))

            for server in rig.servers:
                server.behave = echo
            reader, writer = await rig.connect()
            writer.write(b"".join(rig.ask(x_request_id=str(i)) for i in range(1000)))
            found = await rig.answers(reader, 1000)
            served = [int(a.body) for a in found if kind(a) == "served"]
            assert len(found) == 1000 and served == sorted(served) and len(served) > 900
            assert max(len(c.waiting) for c in rig.runtime.front.clients) == 0

    run(work)


def test_a_client_that_never_reads_is_cut_off_and_disturbs_nobody() -> None:
    async def work() -> None:
        bounds = service(front={"max_body": "64KiB", "write_timeout": "200ms"})
        async with Rig(config=bounds) as rig:
            for server in rig.servers:
                server.behave = answer_bytes(write_response(200, [], b"x" * 60000))
            reader, writer = await asyncio.open_connection(*rig.address, limit=1024)
            writer.transport.pause_reading()
            for _ in range(400):
                writer.write(rig.ask())
            await rig.until(lambda: rig.seen(it.Request))
            assert kind(await rig.get()) == "served"
            max_buffered = 0

            def ended() -> bool:
                nonlocal max_buffered
                buffered = [c.writer.transport.get_write_buffer_size() for c in rig.runtime.front.clients]
                max_buffered = max(max_buffered, *buffered, 0)
                return len(buffered) == 1  # only the client that read its answer remains

            await rig.until(ended)
            assert 0 < max_buffered < 65536 + 2 * 61000, "at most the bound plus one answer is buffered"
            writer.transport.abort()

    run(work)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (write_request(b"POST", b"/", [(b"otterquay-class", b"none")]), 400),
        (write_request(b"POST", b"/", [(b"otterquay-class", b"lobby-read")]), 400),
        (
            write_request(
                b"POST",
                b"/",
                [
                    (b"otterquay-class", b"lobby-read"),
                    (b"otterquay-tenant", b"first-studio"),
                    (b"otterquay-budget-ms", b"soon"),
                ],
            ),
            400,
        ),
        (b"POST / HTTP/1.1\r\ncontent-length: 2000000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nx: " + b"y" * 20000 + b"\r\n\r\n", 431),
    ],
)
def test_input_that_is_no_request_gets_a_plain_answer_and_is_never_taken(data: bytes, status: int) -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(data)
            answer = (await rig.answers(reader))[0]
            assert answer.status == status and answer.body.strip()
            assert not rig.seen(it.Request) and kind(await rig.get()) == "served"

    run(work)


def test_what_stands_before_garbage_on_a_connection_still_gets_its_answer() -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask() + rig.ask() + b"garbage\r\n\r\n")
            found = await rig.answers(reader, 3)
            assert [a.status for a in found] == [200, 200, 400] and await reader.read() == b""

    run(work)


def test_more_open_requests_than_allowed_are_refused_as_harmless() -> None:
    async def work() -> None:
        async with Rig(config=service(limits={"max_open": 3})) as rig:
            for server in rig.servers:
                server.behave = never_answer
            asks = [asyncio.ensure_future(rig.get(budget=500)) for _ in range(3)]
            await rig.until(lambda: len(rig.seen(it.Request)) == 3)
            answer = await rig.get()
            assert (answer.status, kind(answer)) == (503, "refused") and answer.headers[b"retry-after"] == b"1"
            assert {kind(a) for a in await asyncio.gather(*asks)} <= {"refused", "failed"}
            assert len(rig.seen(it.Request)) == 3

    run(work)


def test_a_stop_takes_nothing_new_and_answers_all_it_holds() -> None:
    async def work() -> None:
        async with Rig() as rig:
            peers: list[Any] = []
            for server in rig.servers:
                server.behave = lambda peer, request: peers.append((peer, request))
            lines = [await rig.connect() for _ in range(5)]
            idle_reader, _ = await rig.connect()
            for _, writer in lines:
                writer.write(rig.ask("race-entry"))
            await rig.until(lambda: len(peers) == 5)
            stopping = asyncio.ensure_future(rig.runtime.stop())
            assert await idle_reader.read() == b""
            assert kind(await rig.get()) == "refused"
            lines[0][1].write(rig.ask())  # queued behind an open request: too late to be accepted
            await asyncio.sleep(0.05)
            assert not stopping.done()
            for peer, request in peers:
                answer_at_once(peer, request)
            for reader, _ in lines:
                assert kind((await rig.answers(reader))[0]) == "served"
            await stopping
            with pytest.raises(OSError):
                await asyncio.open_connection(*rig.address)
            assert len(rig.seen(it.Request)) <= 6

    run(work)


def test_a_request_that_crosses_a_close_of_a_stop_is_refused_on_a_new_connection() -> None:
    """Guards against a listener that closes before the connections: what crosses a close finds nobody."""

    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            assert kind((await rig.answers(reader))[0]) == "served"
            stopping = asyncio.ensure_future(rig.runtime.stop())
            assert await reader.read() == b"", "closed while it was idle"
            again, writer = await rig.connect()
            writer.write(rig.ask())
            assert kind((await rig.answers(again))[0]) == "refused"
            assert await again.read() == b"" and not stopping.done()
            await stopping
            assert not rig.runtime.front.clients

    run(work)


def test_the_descriptor_limit_fails_connects_and_loses_no_request() -> None:
    async def work() -> None:
        async with Rig(servers=2) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            await rig.answers(reader)
            await rig.until(lambda: rig.runtime.pool.idle)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            for server in rig.servers:
                server.behave = never_answer
            used = len(__import__("os").listdir("/proc/self/fd"))
            for free in list(rig.runtime.pool.idle):
                rig.runtime.pool.close_idle(free)
            resource.setrlimit(resource.RLIMIT_NOFILE, (used - 4, hard))
            try:
                writer.write(rig.ask("race-entry", budget=500))
                answer = (await rig.answers(reader))[0]
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            assert kind(answer) == "refused", "nothing was sent, so it is safe to repeat"
            assert set(outcomes(rig)[1:]) == {it.Status.CONNECT_FAILED}
            for server in rig.servers:
                server.behave = answer_at_once
            writer.write(rig.ask())
            assert kind((await rig.answers(reader))[0]) == "served"

    run(work)


def test_a_loop_that_stood_still_answers_everything_afterwards() -> None:
    async def work() -> None:
        async with Rig() as rig:
            lines = [await rig.connect() for _ in range(30)]
            for _, writer in lines:
                writer.write(rig.ask("race-entry", budget=900))
            await asyncio.sleep(0)
            import time

            time.sleep(1.2)  # all timers of the loop expire at once
            found = [(await rig.answers(reader))[0] for reader, _ in lines]
            assert len(found) == 30 and all(kind(a) in ("served", "refused", "failed") for a in found)
            assert sum(len(s.got) for s in rig.servers) <= 30
            await rig.until(lambda: not rig.runtime.open_requests)

    run(work)


def test_a_module_that_fails_on_a_request_fails_that_request_alone() -> None:
    async def work() -> None:
        async with Rig() as rig:
            handle = rig.runtime._agent.handle

            def broken(now: float, event: it.Event) -> list[it.Action]:
                if isinstance(event, it.Request) and event.cls == 2:
                    raise KeyError("a bug in the decision module")
                return handle(now, event)

            rig.runtime._agent.handle = broken  # type: ignore[method-assign]
            assert kind(await rig.get("race-entry")) == "failed"
            assert kind(await rig.get()) == "served"

    run(work)


# --- feeds ---
def test_repeated_and_replayed_news_is_passed_over() -> None:
    async def work() -> None:
        async with Rig() as rig:
            lists, stages = len(rig.seen(it.ServerList)), len(rig.seen(it.StageNews))
            rig.list.twice = rig.desk.twice = True
            rig.change(msgspec.structs.replace(rig.entries[1], state="draining"))
            rig.stage(2, "trial", 0.28)
            await rig.until(lambda: len(rig.seen(it.StageNews)) > stages)
            rig.stage(2, "trial", 1.0, number=1)  # an outdated event with a higher cap
            rig.stage(2, "trial", 0.84, number=7)
            await rig.until(lambda: rig.seen(it.StageNews)[-1].cap == 0.84)
            assert [n.cap for n in rig.seen(it.StageNews)[stages:]] == [0.28, 0.84]
            assert [e.kind for e in rig.seen(it.ServerList)[lists:]] == [it.ListKind.DELTA]

    run(work)


def test_changes_that_do_not_follow_on_the_list_held_bring_the_whole_list() -> None:
    async def work() -> None:
        async with Rig() as rig:
            rig.change(msgspec.structs.replace(rig.entries[1], state="draining"), base=99)
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 2)
            whole = rig.seen(it.ServerList)[-1]
            assert whole.kind is it.ListKind.FULL and len(whole.entries) == 2

    run(work)


def test_broken_streams_resume_by_the_last_id() -> None:
    async def work() -> None:
        async with Rig() as rig:
            asked: list[int | None] = []
            first = rig.list.first
            rig.list.first = lambda agent, last: (asked.append(last), first(agent, last))[1]  # type: ignore
            rig.list.drop_all()
            await rig.until(lambda: asked)
            assert asked[0] == rig.version and len(rig.seen(it.ServerList)) == 1
            rig.change(msgspec.structs.replace(rig.entries[1], state="draining"))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 2)
            assert rig.seen(it.ServerList)[-1].kind is it.ListKind.DELTA

    run(work)


@pytest.mark.parametrize(
    "data",
    [
        b"event: full\nid: l:9\ndata: {\n\n",
        b"event: full\nid: nine\ndata: {}\n\n",
        b"\xff\xfe\n\n",
        encode_event("full", '{"version": 8, "entries": []}', "l:9"),
        encode_event("full", '{"version": "x", "entries": []}', "l:9"),
    ],
)
def test_news_that_is_none_changes_nothing_and_the_feed_comes_back(data: bytes) -> None:
    async def work() -> None:
        async with Rig() as rig:
            for peer in list(rig.list.followers):
                peer.send(data)
            rig_versions = rig.version
            await asyncio.sleep(0.2)
            assert kind(await rig.get()) == "served"
            rig.change(msgspec.structs.replace(rig.entries[2], state="draining"))
            await rig.until(lambda: rig.seen(it.ServerList)[-1].version > rig_versions)

    run(work)


def test_a_server_in_an_unknown_zone_is_left_out() -> None:
    async def work() -> None:
        async with Rig() as rig:
            rig.change(msgspec.structs.replace(rig.entries[1], server=77, zone="moon"))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 2)
            assert rig.seen(it.ServerList)[-1].entries == ()

    run(work)


def test_a_restart_under_a_known_id_is_a_new_start_and_a_late_word_of_the_same_start_is_not() -> None:
    async def work() -> None:
        async with Rig() as rig:
            again = msgspec.structs.replace(rig.entries[1], incarnation=9, age_ms=300.0)
            rig.change(again)
            rig.change(msgspec.structs.replace(again, age_ms=5000.0))
            rig.change(msgspec.structs.replace(again, incarnation=10, age_ms=0.0))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 4)
            first, late, anew = (e.entries[0].started_ms for e in rig.seen(it.ServerList)[1:])
            assert first == late and anew > first > 0

    run(work)


def test_without_a_desk_requests_are_answered_and_the_agent_stays() -> None:
    async def work() -> None:
        async with Rig(desk=False) as rig:
            found = [kind(await rig.get()) for _ in range(10)]
            assert set(found) <= {"served", "refused"} and not rig.seen(it.StageNews)

    run(work)


def test_a_restart_begins_with_the_cached_list_and_takes_no_server_for_warmer_than_it_is() -> None:
    async def work() -> None:
        async with Rig(disk=FaultDisk()) as rig:
            rig.change(msgspec.structs.replace(rig.entries[1], incarnation=5, age_ms=100.0))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 2)
            rig.runtime.close()
            await rig.start_agent("127.0.0.1:9", rig.desk.listener.address)
            cached = rig.seen(it.ServerList)[0]
            assert cached.kind is it.ListKind.CACHED and len(cached.entries) == 2
            now = asyncio.get_running_loop().time() * 1e3
            started = {e.server: e.started_ms for e in cached.entries}[1]
            assert now - started < 5000
            assert kind(await rig.get()) == "served"
            store = rig.runtime._state_store._store
            await store.commit([Put("list", b"\0" * 8, b"{ torn")])
            rig.runtime.close()
            await rig.start_agent(rig.list.listener.address, rig.desk.listener.address)
            assert rig.seen(it.ServerList)[0].kind is it.ListKind.FULL

    run(work)


def test_a_restart_serves_from_settled_builds_before_the_desk_speaks_and_forgets_nothing_that_forbids() -> None:
    async def work() -> None:
        rollout = {"free": 5, "window": "60s", "one_way": True}
        async with Rig(config=service(rollout=rollout), disk=FaultDisk()) as rig:
            rig.change(msgspec.structs.replace(rig.entries[2], build=2))
            rig.stage(2, "trial", 0.4)
            await rig.until(lambda: rig.runtime._desk.capped(2) and not rig.runtime._desk.capped(1))
            for _ in range(40):
                await rig.get()
            tries = {k: len(v) for k, v in rig.runtime._agent.attempt_times.items() if k[0] == 2}
            assert sum(tries.values()) > 3
            rig.runtime.close()
            await asyncio.sleep(0.05)
            rig.with_desk = False
            await rig.start_agent(rig.list.listener.address, "127.0.0.1:9")
            restored = rig.runtime._agent
            assert {k: len(v) for k, v in restored.attempt_times.items()} == tries
            assert restored._cap(1) is None and restored._cap(2) == restored.rollout.stage_cap[0]
            assert {kind(await rig.get()) for _ in range(5)} == {"served"}
            assert sum(len(v) for k, v in restored.attempt_times.items() if k[0] == 2) == sum(tries.values()), (
                "the cap holds"
            )

            rig.runtime.close()  # for comparison: an agent without a store spends the allowance again
            rig.disk = FaultDisk()
            await rig.start_agent(rig.list.listener.address, "127.0.0.1:9")
            for _ in range(20):
                await rig.get()
            empty = rig.runtime._agent
            assert (
                empty._cap(1) is not None and sum(len(v) for k, v in empty.attempt_times.items() if k[0] == 2) > 0
            )

    run(work)


def test_a_damaged_record_costs_what_it_held_and_a_full_disk_no_request() -> None:
    async def work() -> None:
        async with Rig(disk=FaultDisk()) as rig:
            await rig.get()

            def full(operation: str, name: str) -> None:
                raise OSError(28, "No space left on device")

            rig.disk.fail = full
            rig.change(msgspec.structs.replace(rig.entries[1], incarnation=9))
            await rig.until(lambda: rig.runtime._state_store._store.failed)
            assert kind(await rig.get()) == "served"
            rig.disk.fail = lambda *_: None
            rig.runtime.close()
            await rig.start_agent(rig.list.listener.address, rig.desk.listener.address)
            assert rig.runtime._state_store._store.failed is None and kind(await rig.get()) == "served"

    run(work)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        ("ok", it.Status.OK),
        ("moot", it.Status.MOOT),
        ("full", it.Status.FULL),
        ("error", it.Status.ERROR),
        ("none", it.Status.TIMEOUT),
        ("garbage", it.Status.ERROR),
        ("close", it.Status.TIMEOUT),
    ],
)
def test_votes_go_out_one_at_a_time_and_their_ends_are_told(answer: str, status: it.Status) -> None:
    async def work() -> None:
        async with Rig(config=service(rollout={"call_timeout": "300ms"})) as rig:

            def desk(peer: Any, request: Any) -> None:
                rig.votes.append(msgspec.json.decode(request.body, type=news.Vote))
                state = news.Stage(1, 0, "released", 1.0, 5.0)
                body = msgspec.json.encode(news.VoteAnswer(answer, state, "d:1"))  # type: ignore[arg-type]
                match answer:
                    case "ok" | "moot":
                        peer.send(write_response(200, [], body))
                    case "full":
                        peer.send(write_response(429, [], b""))
                    case "error":
                        peer.send(write_response(500, [], b""))
                    case "garbage":
                        peer.send(write_response(200, [], b"{"))
                    case "close":
                        peer.writer.close()

            rig.desk.post = desk
            for verdict in (it.Verdict.ON, it.Verdict.BACK):
                rig.runtime._execute(it.CastVote(1, 0, verdict))
            assert rig.runtime._next_vote, "the second vote waits for the first"
            await rig.until(lambda: sum(n.answers_vote for n in rig.seen(it.StageNews)) == 2)
            assert [v.verdict for v in rig.votes] == ["on", "back"]
            assert [n.status for n in rig.seen(it.StageNews) if n.answers_vote] == [status, status]

    run(work)


def test_an_answer_to_a_vote_that_news_has_overtaken_does_not_set_the_stage_back() -> None:
    async def work() -> None:
        async with Rig() as rig:

            def desk(peer: Any, request: Any) -> None:
                rig.stage(2, "going_back", 0.0, number=9)
                body = msgspec.json.encode(news.VoteAnswer("ok", news.Stage(2, 0, "trial", 0.28, 5.0), "d:8"))
                asyncio.get_running_loop().call_later(0.05, peer.send, write_response(200, [], body))

            rig.desk.post = desk
            rig.runtime._execute(it.CastVote(2, 0, it.Verdict.BACK))
            await rig.until(lambda: any(n.answers_vote for n in rig.seen(it.StageNews)))
            last = rig.seen(it.StageNews)[-1]
            assert (last.answers_vote, last.phase, last.cap) == (True, it.Phase.GOING_BACK, 0.0)

    run(work)


def test_probes_cancels_and_idle_connections() -> None:
    async def work() -> None:
        async with Rig(servers=1) as rig:
            report = b"TEXT cpu_utilization=0.5,named_metrics.inflight=3"
            rig.servers[0].behave = answer_bytes(write_response(200, [(b"endpoint-load-metrics", report)], b""))
            rig.runtime._execute(it.Probe(1))
            await rig.until(lambda: rig.seen(it.ProbeResult))
            probed = rig.seen(it.ProbeResult)[0]
            assert (probed.status, probed.load) == (it.Status.OK, (3.0, 0.5))
            assert len(rig.runtime.pool.open) == 1
            rig.runtime._execute(it.CloseIdle(1))
            await rig.until(lambda: not rig.runtime.pool.open)
            rig.servers[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.ask("race-entry"))
            await rig.until(lambda: len(rig.servers[0].got) == 2)
            rig.runtime._execute(it.Cancel(1, 0))
            assert kind((await rig.answers(reader))[0]) == "failed"
            assert outcomes(rig) == [it.Status.CANCELLED]
            rig.runtime._execute(it.Send(1, 1, 0.0))  # the request has ended: nothing is sent
            assert len(rig.servers[0].got) == 2

    run(work)


def test_two_agents_talk_and_forged_words_stay_out() -> None:
    from otterquay.agent.peers import PeerSocket
    from otterquay.lab.ports import claim_ports
    from otterquay.logs import silent
    from otterquay.protocol.peer import PeerLink

    async def work() -> None:
        ports, heard = claim_ports(2).ports, list[tuple[int, bytes]]()
        addresses = {i: f"127.0.0.1:{port}" for i, port in enumerate(ports)}
        sockets = [
            PeerSocket(
                i,
                PeerLink(i, 2, bytes(32), random.Random(i)),
                addresses,
                lambda n, d: heard.append((n, d)),
                silent(),
            )
            for i in range(2)
        ]
        for one in sockets:
            await one.start()
        loop = asyncio.get_running_loop()
        stranger, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=("127.0.0.1", ports[1])
        )
        for junk in (b"", b"x", bytes(60), bytes(2000)):
            stranger.sendto(junk)
        for i in range(20):
            sockets[0].tell(1, bytes([i]))
            await asyncio.sleep(0.002)
        for _ in range(400):
            if len(heard) >= 20:
                break
            await asyncio.sleep(0.005)
        assert heard == [(0, bytes([i])) for i in range(20)]
        stranger.close()
        for one in sockets:
            one.close()

    run(work)
