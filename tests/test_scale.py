"""The decision module with hundreds of agents and servers: messages, evaluators, server subsets, load shedding."""

from __future__ import annotations

import math
import random
import struct
from collections import Counter

import pytest
from helpers import SETTINGS, AgentDriver, entry, sends, settings
from test_votes import good, offered, one_class_fails, play

from otterquay import interface as it
from otterquay.policy.agent import Agent
from otterquay.policy.state import PendingRequest

MANY = {"agents": 200, "limits": {"peers": True}}


def told(driver: AgentDriver) -> list[it.TellPeers]:
    return [a for a in driver.actions if isinstance(a, it.TellPeers)]


def test_messages_go_to_a_few_judges_and_only_when_they_speak_of_the_trial() -> None:
    """Regression: the number of messages grew with the square of the number of agents."""
    driver = AgentDriver(settings(me=7, **MANY), servers=8)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    play(driver, good, 5.0, rate=20.0)
    assert not told(driver), "no evidence about the trial yet"
    driver.update_list(entry(20, build=2))
    for i in range(600):  # two requests per second for 30 seconds
        driver.tick(50.0)
        for send in sends(driver.ask()[1]) if i % 10 == 0 else ():
            driver.end(send)
    judges = {a.to for a in told(driver)}
    assert len(judges) == 5 and None not in judges and 7 not in judges
    assert len(told(driver)) <= 5 * 30 / 2


def test_judges_are_the_same_for_all_and_few_agents_are_all_judges() -> None:
    of = {me: tuple(Agent(settings(me=me, **MANY), 1).evaluators) for me in range(0, 200, 13)}
    assert len(set(of.values())) == 1 and max(of[0]) > 100
    assert Agent(settings(agents=3, limits={"peers": True}), 1).evaluators == [0, 1, 2]


def test_who_tells_its_evidence_votes_back_on_it_but_never_on() -> None:
    teller = settings(me=7, **MANY)
    assert not play(offered(config=teller), good, 20.0)
    votes = play(offered(config=teller), one_class_fails, 40.0)
    assert {v.verdict for v in votes} == {it.Verdict.BACK}


def test_many_that_judge_alone_are_each_surer_than_one() -> None:
    """Where a single vote decides: one of hundreds of agents sees a few errors by chance."""

    def errors_needed(agents: int) -> int:
        for errors in range(2, 40):
            driver = AgentDriver(settings(agents=agents), servers=8)
            driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
            driver.update_list(entry(20, build=2, started=driver.now))
            driver.now += 2500.0
            server = driver.agent.servers[20]
            for i in range(40):
                driver.agent._record_outcome(server, 0, math.nan if i < errors else 100.0, 1)
            driver.tick(500.0)
            if any(isinstance(a, it.CastVote) and a.verdict is it.Verdict.BACK for a in driver.actions):
                return errors
        return 40

    assert errors_needed(1) < errors_needed(400) < 40


@pytest.mark.parametrize("row", [[math.nan] * 16, [-1.0] * 16, [math.inf] + [0.0] * 15])
def test_a_note_with_figures_that_cannot_be_is_passed_over(row: list[float]) -> None:
    driver = AgentDriver(settings(agents=2, limits={"peers": True}))
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    for version, build in ((1, 2), (9, 2), (1, 3)):
        data = struct.pack("<BHB", version, build, 3) + struct.pack("<16f", *row)
        assert driver.deliver(it.PeerMessage(1, data)) == []
    assert driver.agent.peer_row == driver.agent.empty_row


@pytest.mark.parametrize(("agents", "me"), [(0, 0), (1, 5), (3, 70000)])
def test_a_number_outside_the_group_does_not_crash(agents: int, me: int) -> None:
    driver = AgentDriver(settings(agents=agents, me=me, limits={"peers": True}), servers=8)
    play(driver, good, 3.0)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    driver.update_list(entry(20, build=2, started=driver.now))
    assert play(driver, good, 6.0) is not None
    assert sends(driver.actions)


def test_hundreds_of_servers_that_come_and_go_at_once_keep_the_rules() -> None:
    driver = AgentDriver(servers=0)
    driver.update_list(*[entry(i) for i in range(1, 600)])
    assert sends(driver.ask()[1])
    driver.update_list(kind=it.ListKind.FULL)
    request, actions = driver.ask()
    assert actions == [it.Refuse(request, 400.0)]
    driver.update_list(*[entry(i, started=driver.now) for i in range(1, 600)], kind=it.ListKind.FULL)
    for _ in range(50):
        assert len(sends(driver.ask()[1])) <= 1


def test_an_idle_agent_wakes_twice_a_second_and_does_nothing_else() -> None:
    driver = AgentDriver(settings(**MANY), servers=300)
    actions = [a for _ in range(40) for a in driver.tick(500.0)]
    assert len(actions) == 40 and {type(a) for a in actions} == {it.SetTimer}


def quiet(me: int, servers: int = 40, asks: int = 60, gap: float = 1000.0) -> Counter[int]:
    driver, used = AgentDriver(settings(agents=200, me=me), servers=servers), Counter[int]()
    for _ in range(asks):
        driver.tick(gap)
        for send in sends(driver.ask()[1]):
            used[send.server] += 1
            driver.end(send)
    return used


def test_a_quiet_agent_keeps_to_few_servers_and_all_agents_together_to_all_alike() -> None:
    """Each handshake costs CPU time, and a server accepts a limited number of connections."""
    used = [quiet(me) for me in range(150)]
    assert max(map(len, used)) <= 12
    total = sum(used, Counter[int]())
    assert len(total) == 40 and max(total.values()) < 2.2 * sum(total.values()) / 40


def test_a_busy_agent_uses_all_servers() -> None:
    assert len(quiet(0, asks=800, gap=10.0)) == 40


def test_while_connects_are_refused_it_keeps_to_servers_that_it_has_a_connection_to() -> None:
    driver, taken = AgentDriver(settings(agents=200), servers=30), set(range(1, 31, 5))
    late = list[int]()
    for i in range(150):
        driver.tick(400.0)
        todo = sends(driver.ask()[1])
        while todo:
            send = todo.pop()
            late += [send.server] if i >= 100 else []
            ok = send.server in taken
            todo += sends(driver.end(send, it.Status.OK if ok else it.Status.CONNECT_FAILED, 50.0))
    assert len(late) > 20 and sum(server in taken for server in late) > 0.6 * len(late)


def shed(driver: AgentDriver, cls: int, tenant: int = 0) -> float:
    outcomes = [driver.agent._should_shed(job(driver, cls, tenant)) for _ in range(300)]
    return sum(outcomes) / len(outcomes)


def job(driver: AgentDriver, cls: int, tenant: int = 0) -> PendingRequest:
    request = it.Request(1, cls, tenant, 0, 2000.0, 0.0, False, False, False)
    made = PendingRequest(request, driver.now, SETTINGS.classes[cls])
    made.group_indexes += [3 + tenant] if driver.agent.tenant_request_times else []
    return made


def serve(driver: AgentDriver, seconds: float, fine: object) -> None:
    """Send 20 requests per second of random class and tenant; those for which `fine` is false time out."""
    rng = random.Random(2)
    for _ in range(int(20 * seconds)):
        driver.tick(50.0)
        cls, tenant = rng.randrange(3), rng.randrange(2)
        for send in sends(driver.ask(cls=cls, tenant=tenant)[1]):
            ok = fine(cls, tenant)  # type: ignore[operator]
            driver.end(send, it.Status.OK if ok else it.Status.TIMEOUT, 100.0 if ok else 3000.0, over=True)


def test_a_class_that_is_late_at_every_server_is_shed_and_the_others_are_not() -> None:
    driver = AgentDriver(servers=8)
    serve(driver, 12.0, lambda cls, tenant: cls != 1)
    assert shed(driver, 1) > 0.5
    assert shed(driver, 0) < 0.1 and shed(driver, 2) < 0.1


def test_with_tenants_a_slow_class_does_not_take_the_tenants_other_requests_with_it() -> None:
    tenants = (it.Tenant("a", 50.0, 0.5), it.Tenant("b", 50.0, 0.5))
    driver = AgentDriver(settings(tenants=tenants, over_share_worth=0.05), servers=8)
    serve(driver, 12.0, lambda cls, tenant: cls == 2)
    assert shed(driver, 0) > 0.2 and shed(driver, 2) < 0.1
    driver = AgentDriver(settings(tenants=tenants, over_share_worth=0.05), servers=8)
    serve(driver, 12.0, lambda cls, tenant: tenant == 1)
    assert shed(driver, 0, 1) < 0.1 < 0.2 < shed(driver, 0, 0)


def test_a_jam_is_left_alone_but_for_a_trickle_and_forgotten_once_it_clears() -> None:
    driver = AgentDriver(servers=8)
    serve(driver, 15.0, lambda cls, tenant: False)
    before = len(sends(driver.actions))
    serve(driver, 5.0, lambda cls, tenant: False)
    assert 0 < len(sends(driver.actions)) - before < 0.35 * 100
    serve(driver, 25.0, lambda cls, tenant: True)
    before = len(sends(driver.actions))
    serve(driver, 5.0, lambda cls, tenant: True)
    assert len(sends(driver.actions)) - before > 0.9 * 100


def test_no_step_on_in_a_jam() -> None:
    """While servers of both builds time out, a bad build cannot be distinguished from a good one."""
    jam = settings(rollout={"tally_ms": 2000.0})
    driver = offered(config=jam)
    for _ in range(12):
        driver.deliver(it.Tally(1, 0, 100, 60, 400.0, 500.0))
        driver.deliver(it.Tally(1, 1, 100, 60, 400.0, 500.0))
        driver.deliver(it.Tally(1, 2, 100, 60, 400.0, 500.0))
        assert not play(driver, good, 1.0)


def test_slow_builds_are_told_by_tallies_of_one_period_and_class() -> None:
    """An idle agent without peers has no latency baseline; a class that is slow on both builds blames neither."""

    def votes(class_1: float, trial: float) -> set[it.Verdict]:
        driver = AgentDriver(settings(agents=100, rollout={"tally_ms": 2000.0}), servers=30)
        driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
        driver.update_list(*[entry(50 + i, build=2) for i in range(4)])
        for _ in range(8):
            for cls, ms in ((0, 100.0), (1, 100.0 * class_1)):
                driver.deliver(it.Tally(1, cls, 200, 0, ms, 500.0))
                driver.deliver(it.Tally(2, cls, 30, 0, ms * trial, 500.0))
            for _ in range(4):
                driver.tick(500.0)
        return {a.verdict for a in driver.actions if isinstance(a, it.CastVote)}

    assert it.Verdict.BACK in votes(1.0, 4.0)
    assert it.Verdict.BACK not in votes(5.0, 1.1)


def test_a_stall_of_our_own_is_no_news_of_servers() -> None:
    """After a stall of its event loop an agent reads answers late: their latency says nothing about the servers."""

    def slowness(tick: bool) -> float:
        driver = AgentDriver(servers=4)
        play(driver, good, 6.0)
        (send,) = sends(driver.ask()[1])
        before = driver.agent.servers[send.server].slowness
        for _ in range(40):
            driver.now += 50.0
            if tick:
                driver.deliver(it.TimerFired(0))
        driver.end(send, it.Status.OK, 2000.0)
        return driver.agent.servers[send.server].slowness - before

    assert slowness(tick=False) == 0.0 < 0.3 < slowness(tick=True)


def test_of_two_servers_the_one_that_reports_less_load_is_chosen_more_often() -> None:
    report = settings(report_fields=(it.LoadField.UTIL, it.LoadField.INFLIGHT), reports_in_answers=True)
    driver, used = AgentDriver(report, servers=2), Counter[int]()
    for _ in range(200):
        driver.tick(50.0)
        for send in sends(driver.ask()[1]):
            used[send.server] += 1
            load = (0.5, 9.0 if send.server == 1 else 1.0)
            driver.deliver(it.Outcome(send.request, send.server, 0, it.Status.OK, 100.0, True, load))
    assert used[2] > 1.5 * used[1] > 0


def test_a_class_that_is_shed_does_not_hold_the_step_of_a_build() -> None:
    """A shed class produces no outcomes, so the other classes must provide the evidence."""
    driver = offered()
    driver.agent.sent_and_useful[2] = (50.0, 1.0)
    row = driver.agent.empty_row[:]
    row[0:2], row[4:6] = [30.0, 0.0], [20.0, 0.0]  # outcomes on trial of classes 0 and 1, none of class 2
    driver.agent.pools["own", 40] = row
    trial, earlier = ([s for s in driver.agent.servers.values() if s.entry.build == b] for b in (2, 1))
    assert driver.agent._enough_evidence(trial, earlier)
    driver.agent.sent_and_useful[2] = (50.0, 49.0)
    assert not driver.agent._enough_evidence(trial, earlier)


def test_judges_seek_a_class_that_the_trial_has_not_brought() -> None:
    """Regression: a stage waited 20 s for outcomes of a class that random routing had not sent to the trial."""

    def sent(got: float) -> int:
        driver = AgentDriver(settings(agents=2, limits={"peers": True}), servers=8)
        driver.update_stage(2, 0, it.Phase.TRIAL, 0.5)
        driver.update_list(entry(20, build=2))
        hits = 0
        for _ in range(100):
            driver.tick(50.0)
            seen = [got if i % 4 == 0 else 0.0 for i in range(len(driver.agent.empty_row))]
            driver.agent.pools["own", 40] = [*seen, 0.0, 0.0, 0.0]
            for send in sends(driver.ask()[1]):
                hits += send.server == 20
                driver.end(send)
        return hits

    assert sent(0.0) > 2 * sent(9.0) > 0


def test_later_steps_wait_for_warm_latencies_of_the_trial() -> None:
    driver = offered(stage=1, cap=0.5, trials=6)
    row = driver.agent.empty_row[:]
    for cls in range(3):
        row[4 * cls : 4 * cls + 4] = [30.0, 0.0, 90.0, 0.0]
    row[-4:] = [5.0, 0.0, 90.0, 0.0]  # 5 warm latencies of the trial, 90 of the earlier build
    trial, earlier = ([s for s in driver.agent.servers.values() if s.entry.build == b] for b in (2, 1))
    driver.agent.pools["own", 40] = row
    assert not driver.agent._enough_evidence(trial, earlier)
    row[-4] = 25.0
    assert driver.agent._enough_evidence(trial, earlier)


def test_a_tally_without_a_time_is_no_level() -> None:
    driver = AgentDriver(settings(agents=100, rollout={"tally_ms": 2000.0}), servers=4)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    driver.update_list(entry(50, build=2))
    for mean in (0.0, 100.0, 0.0):
        driver.deliver(it.Tally(1, 0, 20, 0, mean, 500.0))
        driver.deliver(it.Tally(2, 0, 20, 0, 100.0 - mean, 500.0))
    assert driver.agent.tally_row[-4:] == [0.0] * 4
