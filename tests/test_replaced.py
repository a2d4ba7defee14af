"""A server replaced under the same number: what was measured on the old process must not count for the new one."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import msgspec
import pytest
from helpers import AgentDriver, entry, sends, settings
from rig import Rig, answer_at_once, kind, run, service

from otterquay import interface as it
from otterquay.agent.connection_pool import Pool
from otterquay.agent.feeds import FleetRegistry
from otterquay.agent.http_agent import HttpApplianceProtocol
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.protocol import news
from otterquay.protocol.http import HttpResponse, write_request, write_response
from otterquay.standins.http import Listener, Peer

FULL, DELTA, CACHED = it.ListKind.FULL, it.ListKind.DELTA, it.ListKind.CACHED
REPLACED = {
    "restarted": entry(1, started=1e6 + 3065.0),  # after all that `agent_with_bad_server` sends
    "another build": entry(1, build=2),
    "another build, cold": entry(1, build=2, started=1e6 + 3065.0),
}


def agent_with_bad_server() -> AgentDriver:
    """Return an agent with one server, bad measurements of it, and an attempt in progress."""
    driver = AgentDriver(settings(report_fields=(it.LoadField.INFLIGHT,), reports_in_answers=True), servers=1)
    driver.agent.load_index = 0
    for _ in range(6):
        driver.tick(500.0)
        driver.now += 10.0  # outcomes are not recorded in the turn in which the agent wakes up late
        for send in sends(driver.ask()[1]):
            driver.deliver(it.Outcome(send.request, 1, 0, it.Status.ERROR, 900.0, True, (50.0,)))
    driver.ask(budget=3000.0)
    return driver


@pytest.mark.parametrize("how", [FULL, DELTA, CACHED])
@pytest.mark.parametrize("what", REPLACED)
def test_nothing_learnt_of_the_old_server_counts_for_the_new_one(what: str, how: it.ListKind) -> None:
    driver = agent_with_bad_server()
    driver.now += 10.0
    old = driver.agent.servers[1]
    assert old.health < 0.7 and old.series and old.open_attempts and old.load == 50.0 and old.send_times
    driver.update_list(REPLACED[what], kind=how)
    fresh = driver.agent.servers[1]
    assert fresh is not old and (fresh.health, fresh.slowness, fresh.load, fresh.errors) == (1.0, 1.0, 0.0, 0)
    assert (
        not (fresh.open_attempts or fresh.send_times or fresh.series or fresh.bin_latencies)
        and fresh.connected_at == -math.inf
    )

    (send,) = (a for a in driver.actions if isinstance(a, it.Send) and a.request == driver.last_request)
    driver.deliver(it.Outcome(send.request, 1, 0, it.Status.ERROR, 800.0, True, (60.0,)))
    driver.tick(500.0)
    assert not fresh.series and fresh.health == 1.0 and fresh.load == 0.0, (
        "the outcome of the old process counts for the old process"
    )


def test_what_was_sent_since_a_start_that_is_told_late_counts_against_it() -> None:
    driver = AgentDriver(servers=1)
    driver.now += 1000.0
    early = sends(driver.ask()[1])[0]
    driver.now += 500.0
    late = sends(driver.ask()[1])[0]
    driver.update_list(entry(1, started=driver.now - 100.0))
    fresh = driver.agent.servers[1]
    assert fresh.send_times == [driver.now] and [leg[0] for leg in fresh.open_attempts] == [late.request]
    assert fresh.outcomes == 0 and fresh.concurrency_limit == 6.0, "no measurement is kept"
    driver.end(early)
    assert fresh.open_attempts
    driver.end(late)
    assert not fresh.open_attempts


def test_an_attempt_out_at_the_old_one_speaks_of_the_build_that_ran_it() -> None:
    driver = AgentDriver(servers=1)
    driver.now += 10.0
    driver.update_stage(2, 0, it.Phase.TRIAL, 1.0)
    (send,) = sends(driver.ask()[1])
    driver.update_list(entry(1, build=2))
    driver.end(send, it.Status.ERROR, over=True)
    assert driver.agent.own_row[:4] == [0.0, 0.0, 1.0, 1.0], "an error of the earlier build, not of the trial"


def test_a_complaint_on_an_answer_of_the_old_one_is_none_of_the_new_one() -> None:
    """A complaint names its server by number only; its age tells which process gave the answer."""
    driver = AgentDriver(servers=2)
    driver.update_stage(2, 0, it.Phase.TRIAL, 1.0)
    driver.update_list(entry(1, build=2, started=driver.now))
    driver.now += 1000.0
    driver.deliver(it.Complaint(0, 1, 1500.0))
    assert driver.agent.own_row == driver.agent.empty_row and not driver.agent.servers[1].bin_latencies
    driver.deliver(it.Complaint(0, 1, 900.0))
    assert driver.agent.own_row[:2] == [0.0, 1.0]


def test_a_start_that_is_not_told_makes_no_cold_server_warm_and_is_no_restart() -> None:
    driver = AgentDriver(servers=3)
    driver.update_list(entry(4, started=driver.now))
    cold = driver.agent.servers[4]
    driver.update_list(entry(4, started=0.0))
    assert driver.agent.servers[4] is cold and driver.agent._age(cold) == 0.0
    driver.update_list(entry(4, started=driver.now + 1.0))
    assert driver.agent.servers[4] is not cold


def test_a_server_that_leaves_and_comes_back_within_its_window_has_its_cold_budget_spent() -> None:
    driver = AgentDriver(servers=1)
    cold = entry(9, started=driver.now)
    driver.update_list(cold)
    while not driver.agent.servers[9].send_times:
        for send in sends(driver.ask()[1]):
            driver.end(send)
    driver.update_list(entry(9, started=cold.started_ms, state=it.ServerState.GONE))
    driver.tick(500.0)
    driver.update_list(cold)
    assert driver.agent.servers[9].send_times, "its cold budget must stay spent while it is away"


# --- the fleet registry ---
def apply_update(
    registry: FleetRegistry, version: int, now: float, *entries: news.Entry, base: int | None = -1
) -> list[float]:
    event = registry.apply_event(
        f"l:{version}", news.FleetNews(version, list(entries), version - 1 if base == -1 else base), now
    )
    assert event is not None
    return [e.started_ms for e in event.entries]


def server(
    incarnation: int, age: float | None = None, state: str = "ready", build: int = 1, port: int = 1
) -> news.Entry:
    return news.Entry(1, "a", state, build, f"127.0.0.1:{port}", incarnation, age_ms=age)  # type: ignore[arg-type]


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("left", [False, True])
def test_one_that_took_the_place_of_another_is_never_long_there(whole: bool, left: bool) -> None:
    """A replacement of the same build without an age must not count as the old process, nor as warm."""
    registry = FleetRegistry(["a"])
    assert apply_update(registry, 1, 1e6, server(1), base=None) == [0.0]
    if left:
        apply_update(registry, 2, 2e6, *([] if whole else [server(1, state="gone")]), base=None if whole else -1)
    found = (
        apply_update(registry, 3, 3e6, server(2), base=None if whole else 2 if left else 1)
        if left or whole
        else apply_update(registry, 2, 3e6, server(2))
    )
    assert found == [3e6]
    assert apply_update(registry, 4, 4e6, server(2), base=None) == [3e6], "one incarnation keeps its start time"


def test_a_life_has_one_start_however_and_how_often_it_is_told() -> None:
    registry = FleetRegistry(["a"])
    assert apply_update(registry, 1, 1e6, server(1, 500.0), base=None) == [999500.0]
    assert apply_update(registry, 2, 2e6, server(1, 900000.0)) == [999500.0]
    assert apply_update(registry, 3, 2e6, server(1, state="gone")) == [999500.0]
    assert apply_update(registry, 4, 2e6, server(1, 5.0)) == [999500.0]
    assert registry.apply_event("l:2", news.FleetNews(2, [server(9, 1.0)], 1), 3e6) is None, (
        "an outdated update is skipped"
    )
    assert apply_update(registry, 5, 3e6, server(1)) == [999500.0]


def test_the_book_tells_whose_process_has_ended() -> None:
    registry = FleetRegistry(["a"])
    apply_update(registry, 1, 0.0, server(1), base=None)
    assert registry.ended == []
    apply_update(registry, 2, 0.0, server(1, state="draining"))
    assert registry.ended == [], "a draining process has not ended"
    apply_update(registry, 3, 0.0, server(2, port=2))
    assert registry.ended == ["127.0.0.1:1"] and registry.address(1) == "127.0.0.1:2"
    apply_update(registry, 4, 0.0, server(3, port=2))
    assert registry.ended == ["127.0.0.1:2"], "the same address, another process"
    apply_update(registry, 5, 0.0, base=None)
    assert registry.ended == ["127.0.0.1:2"] and registry.address(1) is None


class UniterableEntries(dict[int, news.Entry]):
    """List entries that must not be iterated over."""

    def __iter__(self) -> Any:
        raise AssertionError("all entries are visited")

    keys = values = items = __iter__


def test_a_change_looks_at_the_servers_that_it_names_and_at_no_other() -> None:
    registry = FleetRegistry(["a"])
    apply_update(
        registry, 1, 0.0, *(msgspec.structs.replace(server(1, port=n), server=n) for n in range(1, 50)), base=None
    )
    registry.entries = UniterableEntries(registry.entries)
    apply_update(
        registry,
        2,
        0.0,
        msgspec.structs.replace(server(2, port=7), server=7),
        msgspec.structs.replace(server(1), server=9, state="gone"),
    )
    assert registry.ended == ["127.0.0.1:7", "127.0.0.1:9"] and len(registry.entries) == 48
    with pytest.raises(AssertionError, match="all entries"):
        apply_update(registry, 3, 0.0, base=None)


# --- the running agent ---
def test_no_request_goes_out_on_a_connection_to_the_process_of_before() -> None:
    """Idle connections are closed when the process is replaced; a busy one finishes its call and is not reused."""

    async def work() -> None:
        async with Rig(servers=1) as rig:
            assert kind(await rig.get()) == "served"
            pool = rig.runtime.pool
            assert len(pool.open) == 1
            rig.change(msgspec.structs.replace(rig.entries[1], incarnation=7))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 2)
            assert not pool.open and pool.opened == 1

            held: list[Peer] = []
            rig.servers[0].behave = lambda peer, _: held.append(peer)
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            await rig.until(lambda: held)
            rig.change(msgspec.structs.replace(rig.entries[1], incarnation=8))
            await rig.until(lambda: len(rig.seen(it.ServerList)) == 3)
            answer_at_once(held[0], rig.servers[0].got[-1])
            assert kind((await rig.answers(reader))[0]) == "served"
            await rig.until(lambda: not pool.open)
            rig.servers[0].behave = answer_at_once
            assert kind(await rig.get()) == "served" and pool.opened == 3

    run(work)


def test_a_pool_that_was_told_nothing_goes_on_using_its_connection() -> None:
    async def work() -> None:
        listener = Listener(answer_at_once)
        await listener.start()
        pool, ended = Pool(1.0, 10.0, HttpApplianceProtocol(0, ()), silent()), list[HttpResponse | None]()
        payload = write_request(b"GET", b"/", [(b"host", b"x")])
        for _ in range(3):
            pool.call(
                listener.address,
                b"t",
                lambda: payload,
                asyncio.get_running_loop().time() + 5,
                lambda call, end, answer: ended.append(answer),
            )
            while not ended or ended[-1] is None:
                await asyncio.sleep(0.005)
            ended.append(None)
        assert pool.opened == 1
        pool.close()
        listener.close()

    run(work)


def test_the_store_keeps_the_build_that_answered_not_the_one_that_has_the_name_by_then() -> None:
    """Guards against storing a key for the build that the list names when the answer arrives, or not storing it."""

    async def work() -> None:
        config = service(rollout={"one_way": True, "free": 9})
        async with Rig(servers=1, config=config, disk=FaultDisk()) as rig:
            rig.change(msgspec.structs.replace(rig.entries[1], build=2, incarnation=5))
            rig.stage(2, "trial", 1.0)
            await rig.until(lambda: rig.runtime._desk.capped(2) and not rig.runtime._desk.capped(1))
            for change in ({"build": 1, "incarnation": 6}, {"build": 1, "incarnation": 6, "state": "gone"}):
                held: list[Peer] = []
                rig.servers[0].behave = lambda peer, _, held=held: held.append(peer)  # type: ignore[misc]
                reader, writer = await rig.connect()
                writer.write(rig.ask("queue-join", idempotency_key=f"k{len(change)}"))
                await rig.until(lambda held=held: held)
                now = rig.entries[1]
                rig.change(msgspec.structs.replace(now, **change))
                lists = len(rig.seen(it.ServerList))
                await rig.until(lambda lists=lists: len(rig.seen(it.ServerList)) > lists)
                held[0].send(write_response(200, [], b""))
                assert kind((await rig.answers(reader))[0]) == "served"
                rig.change(now)
                await rig.until(lambda lists=lists: len(rig.seen(it.ServerList)) > lists + 1)
            kept = [int(value) for _, value in rig.runtime._state_store._store.scan("answered")]
            assert kept == [2, 2]

    run(work)
