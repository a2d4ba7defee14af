"""Guards of the module that no other test misses when they are taken out; each with what happens without it."""

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


def out_at(driver: AgentDriver, cls: int) -> int:
    """How many attempts of a class one server holds when nothing is answered; of forty."""
    for _ in range(40):
        driver.ask(cls=cls)
    return len(driver.agent.servers[1].open_attempts)


def test_a_server_holds_a_bounded_number_of_own_attempts_that_follows_its_answers() -> None:
    """Without it a slow or stalled machine takes all that is sent until its time-outs come."""
    driver = AgentDriver(servers=1)
    assert out_at(driver, 2) == math.ceil(INITIAL_CONCURRENCY_LIMIT)
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


def test_a_bound_of_one_grows_again_with_quick_answers() -> None:
    """The answered attempt was not counted, so a server once cut to one held one for good."""
    driver = AgentDriver(servers=1)
    driver.agent.servers[1].concurrency_limit = 1.0
    for _ in range(10):
        driver.now += 200.0
        for send in sends(driver.ask(cls=2)[1]):
            driver.end(send, latency=50.0)
    assert driver.agent.servers[1].concurrency_limit > 1.0


def test_the_least_worth_may_use_a_part_of_that_number_only() -> None:
    assert out_at(AgentDriver(servers=1), 0) < out_at(AgentDriver(servers=1), 2)


def test_a_tenant_over_its_share_counts_for_little() -> None:
    """Without it the traffic over a share, which is worth a twentieth, pushes out the rest."""
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


def test_a_server_that_was_avoided_for_its_failures_is_tried_again_after_seconds() -> None:
    """Without it a server that recovers is chosen only where nothing else fits."""
    driver = AgentDriver(servers=4)
    bad = driver.agent.servers[1]
    bad.health = 0.1
    for _ in range(40):
        driver.tick(500.0)
        driver.agent._rank()
    assert bad.health > 0.7


def test_a_server_that_was_slow_is_tried_and_trusted_again() -> None:
    """Slowness and the bound on open work do not age, but a server avoided for them is still drawn now and then."""
    driver = AgentDriver(servers=3)
    slow = driver.agent.servers[1]
    slow.slowness, slow.concurrency_limit = 8.0, 1.0
    rng, used = random.Random(1), 0
    for i in range(1500):
        driver.now += 20.0
        if i % 25 == 0:
            driver.tick(0.0)
        for send in sends(driver.ask()[1]):
            used += i >= 1200 and send.server == 1
            driver.end(send, latency=rng.uniform(100.0, 300.0))
    assert slow.slowness < 2.0 and used > 300 / 3 / 2


def test_the_crossing_of_zones_counts_where_it_has_a_price() -> None:
    for price, dearer in ((0.0, False), (0.02, True)):
        driver = AgentDriver(settings(cross_zone_price=price), servers=0)
        driver.update_list(entry(1, zone=0), entry(2, zone=1))
        near, far = (driver.agent._cost(driver.agent.servers[i]) for i in (1, 2))
        assert (far > near) is dearer


def middle(driver: AgentDriver, trial_ms: float, earlier_ms: float, bins: int) -> str:
    """Some bins of two outcomes a class on each side, too few for the level; what the breaker says."""
    for _ in range(bins):
        driver.now += 10.0
        for server in driver.agent.servers.values():
            for cls in range(3):
                for _ in range(2 if server.id in (1, 20) else 0):
                    driver.agent._record_outcome(server, cls, trial_ms if server.id == 20 else earlier_ms, 1)
        driver.tick(490.0)
    return driver.agent.trip_reason


def test_a_trial_whose_middle_is_late_for_three_bins_goes_back_unless_the_earlier_build_is_late_too() -> None:
    """The design's latency breaker; without it only a level, which needs more evidence, speaks of slowness."""
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
        assert middle(driver, trial, earlier, bins).startswith("late class") is trips


@pytest.mark.parametrize(("behave", "waits"), [(everything_slow, True), (good, False)])
def test_an_agent_started_in_a_trial_casts_no_vote_on_before_it_knows_the_usual(
    behave: Server,
    waits: bool,
) -> None:
    """Without it one that starts in a jam takes the jam for the usual; answers well within the aim are no jam."""
    driver = AgentDriver(servers=8)
    driver.agent = Agent(settings(), 3)
    driver.deliver(it.Started())
    driver.update_list(*[entry(i) for i in range(1, 9)], entry(20, build=2), kind=it.ListKind.FULL)
    driver.update_stage(2, 0, it.Phase.TRIAL, 0.14)
    assert bool(play(driver, behave, SETTLE_MS / 1e3 - 1.0)) is not waits
    assert it.Verdict.ON in {v.verdict for v in play(driver, behave, 15.0)}


def test_errors_of_the_trial_that_are_not_yet_sure_hold_the_step() -> None:
    """Without it a build that fails a little goes on while the breaker still gathers evidence."""
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
    """Without it a server that stands still looks as good as one that answers until its time-outs come."""
    driver = AgentDriver(servers=2)
    one, two = driver.agent.servers[1], driver.agent.servers[2]
    one.open_attempts, two.open_attempts = {(1, 0): driver.now - 3000.0}, {(2, 0): driver.now}
    assert driver.agent._cost(one) > 2 * driver.agent._cost(two)
