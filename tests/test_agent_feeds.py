"""The agent's feeds of servers and stages on loopback sockets: restarts, damaged records and votes."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from rig import Rig, kind, run, service

from otterquay import interface as it
from otterquay.lab.disk import FaultDisk
from otterquay.protocol import news
from otterquay.protocol.http import write_response
from otterquay.protocol.sse import encode_event
from otterquay.store import Put


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
