"""Guards of the decision module whose removal no other test notices; each test says what happens without it."""

from __future__ import annotations

import math
import random

import pytest
from helpers import AgentDriver, entry, sends, settings
from test_votes import Server, everything_slow, good, offered, play

from otterquay import interface as it
from otterquay.policy.agent import Agent
from otterquay.policy.state import INITIAL_CONCURRENCY_LIMIT, PendingRequest
from otterquay.policy.updates import SETTLE_MS


def open_of_forty(driver: AgentDriver, cls: int) -> int:
    """Number of attempts that one server holds after forty requests of a class, none of them answered."""
    for _ in range(40):
        driver.ask(cls=cls)
    return len(driver.agent.servers[1].open_attempts)


def test_the_concurrency_limit_of_a_server_follows_its_answers() -> None:
    """Without the limit a slow or stalled machine takes all requests until they time out."""
    driver = AgentDriver(servers=1)
    assert open_of_forty(driver, 2) == math.ceil(INITIAL_CONCURRENCY_LIMIT)
    quick, tardy = AgentDriver(servers=1), AgentDriver(servers=1)
    for driver, latency in ((quick, 50.0), (tardy, 700.0)):
        for _ in range(20):
            driver.now += 200.0
            for send in [s for _ in range(6) for s in sends(driver.ask(cls=2)[1])]:
                driver.now += 10.0
                driver.end(send, latency=latency)
    assert (
        tardy.agent.servers[1].concurrency_limit
        < INITIAL_CONCURRENCY_LIMIT
        < quick.agent.servers[1].concurrency_limit
    )


def test_a_concurrency_limit_of_one_grows_again_with_quick_answers() -> None:
    """The answered attempt was not counted as open, so a limit that was once cut to one stayed at one."""
    driver = AgentDriver(servers=1)
    driver.agent.servers[1].concurrency_limit = 1.0
    for _ in range(10):
        driver.now += 200.0
        for send in sends(driver.ask(cls=2)[1]):
            driver.end(send, latency=50.0)
    assert driver.agent.servers[1].concurrency_limit > 1.0


def test_requests_of_the_least_worth_may_use_only_a_part_of_the_concurrency_limit() -> None:
    assert open_of_forty(AgentDriver(servers=1), 0) < open_of_forty(AgentDriver(servers=1), 2)


def test_requests_of_a_tenant_over_its_share_have_a_low_worth() -> None:
    """Without it, traffic over a share, which is worth a twentieth, displaces other traffic."""
    tenants = (it.Tenant("a", 10.0, 0.5), it.Tenant("b", 10.0, 0.5))
    driver = AgentDriver(settings(tenants=tenants, over_share_worth=0.05), servers=1)
    driver.agent.tenant_request_times = [[driver.now] * 50, [driver.now] * 10]
    worth = [
        driver.agent._worth(
            PendingRequest(
                it.Request(1, 2, t, 0, 2000.0, 0.0, False, False, False),
                driver.now,
                driver.agent.settings.classes[2],
            )
        )
        for t in (0, 1)
    ]
    assert worth[0] == 0.05 * worth[1] > 0


def test_a_server_avoided_for_its_failures_is_tried_again_after_seconds() -> None:
    """Without it, a server that has recovered is chosen only where no other fits."""
    driver = AgentDriver(servers=4)
    bad = driver.agent.servers[1]
    bad.health = 0.1
    for _ in range(40):
        driver.tick(500.0)
        driver.agent._rank()
    assert bad.health > 0.7


def test_a_server_that_was_slow_is_tried_and_used_again() -> None:
    """Slowness and the limit do not recover with time alone, but such a server is still drawn now and then."""
    driver = AgentDriver(servers=3)
    slow = driver.agent.servers[1]
    slow.slowness, slow.concurrency_limit = 8.0, 1.0
    rng, sent_to_slow = random.Random(1), 0
    for i in range(1500):
        driver.now += 20.0
        if i % 25 == 0:
            driver.tick(0.0)
        for send in sends(driver.ask()[1]):
            sent_to_slow += i >= 1200 and send.server == 1
            driver.end(send, latency=rng.uniform(100.0, 300.0))
    assert slow.slowness < 2.0 and sent_to_slow > 300 / 3 / 2


def test_crossing_zones_costs_more_where_it_has_a_price() -> None:
    for price, dearer in ((0.0, False), (0.02, True)):
        driver = AgentDriver(settings(cross_zone_price=price), servers=0)
        driver.update_list(entry(1, zone=0), entry(2, zone=1))
        near, far = (driver.agent._cost(driver.agent.servers[i]) for i in (1, 2))
        assert (far > near) is dearer


def breaker_after(driver: AgentDriver, trial_ms: float, earlier_ms: float, bins: int) -> str:
    """Return the breaker's reason after bins with two outcomes per class and build, too few for the level."""
    for _ in range(bins):
        driver.now += 10.0
        for server in driver.agent.servers.values():
            for cls in range(3):
                for _ in range(2 if server.id in (1, 20) else 0):
                    driver.agent._record_outcome(server, cls, trial_ms if server.id == 20 else earlier_ms, 1)
        driver.tick(490.0)
    return driver.agent.trip_reason


def test_a_trial_whose_median_is_late_for_three_bins_goes_back_unless_the_earlier_build_is_late_too() -> None:
    """The latency breaker of the design; without it only the level, which needs more evidence, shows slowness."""
    for trial, earlier, bins, trips in (
        (1500.0, 100.0, 3, True),
        (1500.0, 100.0, 2, False),
        (700.0, 100.0, 3, False),
        (1500.0, 1200.0, 3, False),
    ):
        driver = offered()
        driver.now += 2500.0
        driver.tick(0.0)
        for server in driver.agent.servers.values():
            server.series.clear()
        assert breaker_after(driver, trial, earlier, bins).startswith("late class") is trips


@pytest.mark.parametrize(("behave", "waits"), [(everything_slow, True), (good, False)])
def test_an_agent_started_in_a_trial_does_not_vote_on_before_it_knows_the_usual_latency(
    behave: Server,
    waits: bool,
) -> None:
    """Without it, an agent started in an overload takes its latencies for usual ones. Quick answers rule it out."""
    driver = AgentDriver(servers=8)
    driver.agent = Agent(settings(), 3)
    driver.deliver(it.Started())
    driver.update_list(*[entry(i) for i in range(1, 9)], entry(20, build=2), kind=it.ListKind.FULL)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    assert bool(play(driver, behave, SETTLE_MS / 1e3 - 1.0)) is not waits
    assert it.Verdict.ON in {v.verdict for v in play(driver, behave, 15.0)}


def test_errors_of_the_trial_too_few_for_the_breaker_hold_the_step() -> None:
    """Without it, a build with a few errors advances while the breaker still collects evidence."""
    driver = offered()
    driver.now += 2500.0
    trial = [driver.agent.servers[20]]
    earlier = [driver.agent.servers[i] for i in range(1, 9)]
    driver.agent.errors_widespread = True
    row = [20.0, 0.0, 100.0, 0.0] * 3 + [25.0, 1.0, 25.0, 1.0]
    driver.agent.pools = {pool: row for pool in driver.agent.pools}
    assert driver.agent._enough_evidence(trial, earlier)
    driver.agent.pools = {pool: [20.0, 3.0, *row[2:]] for pool in driver.agent.pools}
    assert not driver.agent._enough_evidence(trial, earlier)


def test_a_request_avoids_a_server_whose_oldest_attempt_has_long_been_out() -> None:
    """Without it, a stalled server looks as good as one that answers until its attempts time out."""
    driver = AgentDriver(servers=2)
    stalled, prompt = driver.agent.servers[1], driver.agent.servers[2]
    stalled.open_attempts, prompt.open_attempts = {(1, 0): driver.now - 3000.0}, {(2, 0): driver.now}
    assert driver.agent._cost(stalled) > 2 * driver.agent._cost(prompt)


def test_every_repeat_of_a_keyed_request_has_to_be_delivered_within_the_window_of_its_first_attempt() -> None:
    """Without it, a repeat decided within the window comes later than servers remember the key, and runs again."""
    driver = AgentDriver()
    _, actions = driver.ask(cls=1, key=7, budget=3000.0)
    (never_ran,) = sends(actions)
    (first,) = sends(driver.end(never_ran, it.Status.FULL))
    first_sent_at = driver.now
    driver.now += 500.0
    (second,) = sends(driver.end(first, it.Status.ERROR))
    driver.now += 500.0
    (third,) = sends(driver.end(second, it.Status.CANCELLED))
    window_end = first_sent_at + driver.agent.settings.classes[1].repeat_window_ms
    assert [never_ran.deliver_by_ms, first.deliver_by_ms] == [math.inf, math.inf]
    assert [second.deliver_by_ms, third.deliver_by_ms] == [window_end, window_end]
    driver.now = window_end
    assert not sends(driver.end(third, it.Status.MOOT))
    _, actions = driver.ask(cls=0)
    (repeat,) = sends(driver.end(*sends(actions), it.Status.ERROR))
    assert repeat.deliver_by_ms == math.inf, "a safe request may run at any time"
