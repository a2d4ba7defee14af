"""Votes on a build, by event sequences that play servers of an earlier build and of a build on trial."""

from __future__ import annotations

import random
import re
import struct
from collections.abc import Callable

import pytest
from helpers import SETTINGS, AgentDriver, entry, sends, settings

from otterquay import interface as it
from otterquay.policy.evidence import NOTE_HEADER

Server = Callable[
    [int, int, random.Random], tuple[it.Status, float]
]  # server, class, random source: outcome, latency in ms


def good(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.OK, rng.lognormvariate(4.6, 0.5)


def slow(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.OK, rng.lognormvariate(4.6, 0.5) * (3.5 if server >= 20 else 1.0)


def one_class_fails(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    bad = server >= 20 and cls == 2 and rng.random() < 0.5
    return it.Status.ERROR if bad else it.Status.OK, rng.lognormvariate(4.6, 0.5)


def everything_slow(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.OK, rng.lognormvariate(4.6, 0.5) * 3.0


def earlier_turns_slow(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.OK, rng.lognormvariate(4.6, 0.5) * (2.0 if server < 20 else 1.0)


def earlier_fails_and_all_are_slow(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    failed = server < 20 and rng.random() < 0.1
    return it.Status.ERROR if failed else it.Status.OK, rng.lognormvariate(4.6, 0.5) * 1.8


def one_earlier_machine_fails(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.ERROR if server == 1 and rng.random() < 0.8 else it.Status.OK, 100.0


def one_trial_machine_fails(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return it.Status.ERROR if server == 20 and rng.random() < 0.8 else it.Status.OK, 100.0


def trial_never_answers(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
    return (it.Status.TIMEOUT, 500.0) if server >= 20 else (it.Status.OK, rng.lognormvariate(4.6, 0.5) * 2.0)


def play(
    driver: AgentDriver, behave: Server, seconds: float, rate: float = 60.0, start: int = 0
) -> list[it.CastVote]:
    """Send requests at a rate, answer them after their latency, and return the votes cast meanwhile."""
    rng, actions_before, due = (
        random.Random(3),
        len(driver.actions),
        list[tuple[float, it.Send, it.Status, float]](),
    )
    classes: dict[int, int] = {}
    last_tick, end = driver.now, driver.now + 1000.0 * seconds

    def schedule_answers(actions: list[it.Action]) -> None:
        for send in sends(actions):
            status, latency = behave(send.server, classes[send.request], rng)
            due.append((driver.now + latency, send, status, latency))

    while driver.now < end:
        driver.now += 1000.0 / rate
        cls = rng.choices([0, 1, 2], [5, 3, 2])[0]
        classes[driver.last_request + 1] = cls
        schedule_answers(driver.ask(cls=cls)[1])
        for item in sorted(due, key=lambda x: x[0]):
            if item[0] <= driver.now:
                due.remove(item)
                schedule_answers(driver.end(item[1], item[2], item[3]))
        if driver.now - last_tick >= 50.0:
            last_tick = driver.now
            schedule_answers(driver.deliver(it.TimerFired(0)))
    return [a for a in driver.actions[actions_before:] if isinstance(a, it.CastVote)]


def offered(
    stage: int = 0, cap: float = 0.14, trials: int = 1, seed: int = 1, config: it.Settings = SETTINGS
) -> AgentDriver:
    """Return an agent after eight good seconds on eight earlier servers, with a new build just offered."""
    driver = AgentDriver(config, servers=8, seed=seed)
    play(driver, good, 8.0)
    driver.update_stage(2, stage, it.Phase.TRIAL, cap)
    driver.update_list(*[entry(20 + i, build=2, started=driver.now) for i in range(trials)])
    return driver


def trial(behave: Server, seconds: float = 20.0, seed: int = 1, **changes: object) -> list[it.CastVote]:
    return play(offered(seed=seed, config=settings(**changes)), behave, seconds)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_good_build_is_voted_on_and_never_back(seed: int) -> None:
    votes = trial(good, seed=seed)
    assert {v.verdict for v in votes} == {it.Verdict.ON}
    assert votes[0] == it.CastVote(2, 0, it.Verdict.ON)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_slow_build_goes_back(seed: int) -> None:
    driver = offered(stage=1, cap=0.5, trials=3, seed=seed)
    votes = play(driver, slow, 25.0)
    assert votes and {v.verdict for v in votes} == {it.Verdict.BACK}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_failing_class_goes_back(seed: int) -> None:
    """Scaling and the mean over classes hide the failures; the breaker shows them."""
    votes = trial(one_class_fails, seed=seed, seconds=30.0)
    assert votes and votes[-1].verdict is it.Verdict.BACK


def test_a_slowdown_of_all_servers_is_not_blamed_on_the_build() -> None:
    assert it.Verdict.BACK not in {v.verdict for v in trial(everything_slow)}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_good_trial_is_not_held_for_an_earlier_build_that_turns_slow(seed: int) -> None:
    """Only the earlier build was looked at, so its slowness sent back the build that was to replace it."""
    driver = offered(stage=1, cap=0.5, trials=6, seed=seed)
    votes = play(driver, earlier_turns_slow, 25.0)
    assert {v.verdict for v in votes} == {it.Verdict.ON}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_good_trial_is_not_held_where_the_earlier_build_fails_and_delays_both(seed: int) -> None:
    driver = offered(stage=1, cap=0.5, trials=6, seed=seed)
    votes = play(driver, earlier_fails_and_all_are_slow, 25.0)
    assert {v.verdict for v in votes} == {it.Verdict.ON}


def test_a_failing_machine_of_the_earlier_build_is_not_blamed_on_the_trial() -> None:
    assert it.Verdict.BACK not in {v.verdict for v in trial(one_earlier_machine_fails)}


def test_one_failing_machine_among_trial_servers_is_not_blamed_on_the_build() -> None:
    driver = offered(stage=1, cap=0.7, trials=4)
    assert it.Verdict.BACK not in {v.verdict for v in play(driver, one_trial_machine_fails, 15.0)}


def test_a_released_build_that_turns_bad_goes_back_without_earlier_servers() -> None:
    """The earlier servers have gone; the last error share of the earlier build stays as the baseline."""
    driver = AgentDriver(servers=4)
    play(driver, good, 8.0)
    driver.update_stage(2, 1, it.Phase.TRIAL, 1.0)
    fresh = [entry(20 + i, build=2, started=driver.now) for i in range(4)]
    driver.update_list(*fresh)
    play(driver, good, 8.0)
    driver.update_stage(2, 1, it.Phase.RELEASED, 1.0)
    driver.update_list(*fresh, kind=it.ListKind.FULL)
    assert not play(driver, good, 6.0)
    votes = play(driver, one_class_fails, 12.0)
    assert votes and {v.verdict for v in votes} == {it.Verdict.BACK}


def test_a_quiet_agent_leaves_the_vote_to_others() -> None:
    driver = AgentDriver(servers=8)
    play(driver, good, 8.0, rate=2.0)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    driver.update_list(entry(20, build=2, started=driver.now))
    assert not play(driver, good, 15.0, rate=2.0)


def test_a_quiet_agent_votes_on_what_peers_have_seen() -> None:
    def notes(config: it.Settings) -> list[bytes]:
        loud = offered(config=config)
        play(loud, good, 15.0)
        return [a.data for a in loud.actions if isinstance(a, it.TellPeers)]

    config = settings(agents=2, limits={"peers": True})
    quiet = AgentDriver(config, servers=8, seed=2)
    play(quiet, good, 8.0, rate=6.0)
    quiet.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    quiet.update_list(entry(20, build=2, started=quiet.now))
    votes = []
    for note in notes(config):
        assert len(note) <= 256
        quiet.deliver(it.PeerMessage(1, note))
        votes += play(quiet, good, 0.5, rate=6.0)
    assert {v.verdict for v in votes} == {it.Verdict.ON}


@pytest.mark.parametrize("seed", range(1, 7))
def test_an_evaluator_of_many_agents_does_not_leave_a_good_build_to_chance(seed: int) -> None:
    """Only evaluators vote on: with a draw over all 182 agents, more than half would cast no vote for 10 s."""
    changes = {"limits": {"peers": True}, "rollout": {"calls_per_s": 16.0, "vote_life_ms": 10000.0}}
    votes = trial(good, seconds=9.0, seed=seed, agents=182, **changes)
    assert votes and votes[0] == it.CastVote(2, 0, it.Verdict.ON)


@pytest.mark.parametrize(("calls_per_s", "text"), [(100.0, "vote ON on"), (0.0, "no vote ON by the draw on")])
def test_the_log_of_a_vote_names_its_evidence_even_where_the_draw_suppresses_it(
    calls_per_s: float, text: str
) -> None:
    """Whose vote took a bad build to its second stage, and on what, could not be told from the logs."""
    driver = offered(config=settings(rollout={"calls_per_s": calls_per_s}))
    votes = play(driver, good, 15.0)
    logs = [action.text for action in driver.actions if isinstance(action, it.Log)]
    assert len(votes) == sum(": vote " in log for log in logs) and bool(votes) is (calls_per_s > 0)
    evidence = (
        r"[\d.]+ s into the stage; 1 servers on trial and 8 earlier; scores [\d. ]+ with \d+ pairs .*own over 20 s"
    )
    assert re.match(rf"build 2 stage 0: {text} mean [\d.]+; {evidence}: errors 0/\d+ 0/\d+, .*log level ", logs[0])


@pytest.mark.parametrize(("status", "told"), [(it.Status.OK, 0), (it.Status.ERROR, 1)])
def test_an_error_of_the_trial_is_told_at_the_end_of_its_bin(status: it.Status, told: int) -> None:
    """A quiet agent's errors came to the evaluators up to 2 s late, and they voted a failing build on meanwhile."""
    driver = offered(config=settings(agents=2, limits={"peers": True}))
    driver.update_list(*[entry(i, state=it.ServerState.GONE) for i in range(1, 9)])
    driver.tick(500.0)
    driver.tick(50.0)
    (send,) = sends(driver.ask()[1])
    driver.end(send, status, over=True)
    assert send.server == 20 and sum(isinstance(a, it.TellPeers) for a in driver.tick(500.0)) == told


def test_malformed_peer_messages_are_ignored() -> None:
    driver = AgentDriver(settings(agents=2, limits={"peers": True}))
    for data in (b"", b"hello", bytes(256)):
        assert driver.deliver(it.PeerMessage(1, data)) == []


def test_a_peer_message_with_huge_levels_stops_no_bin() -> None:
    """Guards against an overflow in the text of a vote's reason, which ended the agent's bins."""
    driver = offered(config=settings(agents=2, limits={"peers": True}))
    play(driver, good, 4.0)
    levels = [50.0, 5e31, 50.0, 0.0]
    row = [0.0] * (4 * driver.agent.class_count) + levels
    note = NOTE_HEADER.pack(1, 2, driver.agent.class_count) + struct.pack(f"<{len(row)}f", *row)
    driver.deliver(it.PeerMessage(1, note))
    bins = driver.agent.bin_count
    for _ in range(4):
        driver.tick(500.0)
    assert driver.agent.bin_count == bins + 4
    assert any("level own: " in action.text for action in driver.actions if isinstance(action, it.Log))


def tallied(own_errors: int) -> AgentDriver:
    """Return one of fifty agents without peer messages; it has own errors at a trial server and tallies of more."""
    driver = AgentDriver(settings(agents=50, rollout={"tally_ms": 2000.0}), servers=8)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    driver.update_list(entry(20, build=2, started=driver.now))
    for _ in range(400):
        for send in sends(driver.ask()[1]):
            bad = send.server == 20 and own_errors > 0
            own_errors -= bad
            driver.end(send, it.Status.ERROR if bad else it.Status.OK, over=True)
        driver.tick(20.0)
    assert own_errors <= 0
    driver.deliver(it.Tally(1, 0, 200, 0, 100.0, 500.0))
    driver.deliver(it.Tally(2, 0, 20, 12, 100.0, 500.0))
    return driver


def test_tallies_and_own_errors_show_a_failing_class() -> None:
    assert [v.verdict for v in play(tallied(own_errors=3), good, 1.0)] == [it.Verdict.BACK]


def test_tallies_alone_send_nothing_back() -> None:
    """Tallies count time-outs and refused connections, too, so errors of the agent itself must confirm them."""
    assert not play(tallied(own_errors=0), good, 1.0)


def test_a_vote_that_was_lost_is_cast_again() -> None:
    driver = tallied(own_errors=3)
    assert len(play(driver, good, 1.0)) == 1
    driver.deliver(it.StageNews(0, 0, it.Phase.TRIAL, True, it.Status.TIMEOUT, 0.0, 0.0))
    assert len(play(driver, good, 1.5)) == 1


def test_under_clock_control_only_back_votes_are_cast() -> None:
    changes = {"rollout": {"control": it.Control.TIMER}}
    assert not trial(good, **changes)
    assert {v.verdict for v in trial(one_class_fails, seconds=30.0, **changes)} == {it.Verdict.BACK}


def test_a_restarted_agent_votes_with_nothing_but_its_list() -> None:
    driver = AgentDriver(servers=8)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    driver.update_list(entry(20, build=2))
    assert {v.verdict for v in play(driver, good, 25.0)} == {it.Verdict.ON}


def test_complaints_count_as_errors_of_the_build() -> None:
    driver = offered(config=settings(rollout={"flag_share": 0.15}))
    play(driver, good, 6.0)
    for _ in range(8):
        driver.deliver(it.Complaint(0, 20, 1500.0))
    assert it.Verdict.BACK in {v.verdict for v in play(driver, good, 1.0)}


def test_no_step_on_while_all_servers_are_slower_than_before() -> None:
    """A burst, a shared slowdown or a build that slows all servers: the cause must become clear first."""
    assert trial(everything_slow) == []


def test_a_build_that_slows_all_servers_for_long_goes_back() -> None:
    driver = offered(stage=1, cap=0.5, trials=4)
    votes = play(driver, everything_slow, 20.0)
    assert votes and {v.verdict for v in votes} == {it.Verdict.BACK}


@pytest.mark.parametrize("seed", range(4))
def test_a_trial_with_nothing_but_time_outs_stops_no_agent(seed: int) -> None:
    """The end of a bin raised ZeroDivisionError where a build answered nothing and the earlier one got slower.

    `_breaker` divided by the number of outcomes, but time-outs count as levels only. The exception came before the
    next timer was set, so the agent closed no bin any more until its restart: no votes, no recovery of health.
    """
    driver = AgentDriver(seed=seed, servers=8)
    play(driver, good, 10.0)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.5)
    driver.update_list(*[entry(20 + i, build=2) for i in range(4)])
    play(driver, trial_never_answers, 12.0)
    assert any(isinstance(action, it.SetTimer) for action in driver.tick(500.0))


def test_idle_earlier_servers_are_not_a_baseline_for_latency() -> None:
    """Late in a trial the earlier servers have little load and answer quicker than before the offer."""

    def idle(server: int, cls: int, rng: random.Random) -> tuple[it.Status, float]:
        return it.Status.OK, rng.lognormvariate(4.6, 0.5) * (1.0 if server >= 20 else 0.35)

    driver = offered(stage=1, cap=0.6, trials=6)
    assert it.Verdict.BACK not in {v.verdict for v in play(driver, idle, 20.0)}


def play_bins(
    driver: AgentDriver, count: int, trial: tuple[int, float], earlier: tuple[int, float]
) -> set[it.Verdict]:
    """Play bins with, per build, a number of answers at a log latency over the usual; return the verdicts cast."""
    actions_before, levels = len(driver.actions), 4 * driver.agent.class_count
    for _ in range(count):
        for i, (n, level) in ((levels, trial), (levels + 2, earlier)):
            driver.agent.own_row[i] += n
            driver.agent.own_row[i + 1] += n * level
        driver.agent.own_row[0] += trial[0]
        driver.tick(500.0)
    return {a.verdict for a in driver.actions[actions_before:] if isinstance(a, it.CastVote)}


@pytest.mark.parametrize(("earlier", "back"), [(1.8, False), (0.0, True)])
def test_levels_are_compared_within_the_same_bins(earlier: float, back: bool) -> None:
    """Most answers of the earlier build came before the load rose, as few of its servers are left."""
    driver = offered(stage=1, cap=1.0, trials=6)
    play_bins(driver, 16, (10, 0.0), (50, 0.0))
    assert (it.Verdict.BACK in play_bins(driver, 20, (60, 2.0), (5, earlier))) is back


@pytest.mark.parametrize("gone", [False, True])
def test_late_answers_of_an_earlier_build_that_has_gone_hold_no_step(gone: bool) -> None:
    driver = offered(stage=1, cap=1.0, trials=6)
    play_bins(driver, 8, (30, 0.3), (30, 0.0))
    if gone:
        driver.update_list(*[entry(i, state=it.ServerState.GONE) for i in range(1, 9)])
    play_bins(driver, 3, (30, 0.3), (20, 1.5))
    assert bool(driver.agent.slower_bins) is not gone


def test_an_on_vote_is_withdrawn_when_its_evidence_no_longer_holds() -> None:
    driver = offered()
    assert {v.verdict for v in play(driver, good, 15.0)} == {it.Verdict.ON}
    assert play(driver, everything_slow, 6.0)[-1].verdict is it.Verdict.NONE
