"""Guards of the module that no other test misses when they are taken out; each with what happens without it."""

from __future__ import annotations

import math
import random

import pytest
from helpers import Drive, entry, sends, settings
from test_votes import Server, everything_slow, good, offered, play

from otterquay import interface as it
from otterquay.policy.agent import Agent
from otterquay.policy.state import INITIAL_CONCURRENCY_LIMIT, PendingRequest
from otterquay.policy.updates import SETTLE_MS


def out_at(drive: Drive, cls: int) -> int:
    """How many attempts of a class one server holds when nothing is answered; of forty."""
    for _ in range(40):
        drive.ask(cls=cls)
    return len(drive.agent.servers[1].open_attempts)


def test_a_server_holds_a_bounded_number_of_own_attempts_that_follows_its_answers() -> None:
    """Without it a slow or stalled machine takes all that is sent until its time-outs come."""
    drive = Drive(servers=1)
    assert out_at(drive, 2) == math.ceil(INITIAL_CONCURRENCY_LIMIT)
    quick, tardy = Drive(servers=1), Drive(servers=1)
    for drive, latency in ((quick, 50.0), (tardy, 700.0)):
        for _ in range(20):
            drive.now += 200.0
            for send in [s for _ in range(6) for s in sends(drive.ask(cls=2)[1])]:
                drive.now += 10.0
                drive.end(send, latency=latency)
    assert (
        tardy.agent.servers[1].concurrency_limit
        < INITIAL_CONCURRENCY_LIMIT
        < quick.agent.servers[1].concurrency_limit
    )


def test_a_bound_of_one_grows_again_with_quick_answers() -> None:
    """The answered attempt was not counted, so a server once cut to one held one for good."""
    drive = Drive(servers=1)
    drive.agent.servers[1].concurrency_limit = 1.0
    for _ in range(10):
        drive.now += 200.0
        for send in sends(drive.ask(cls=2)[1]):
            drive.end(send, latency=50.0)
    assert drive.agent.servers[1].concurrency_limit > 1.0


def test_the_least_worth_may_use_a_part_of_that_number_only() -> None:
    assert out_at(Drive(servers=1), 0) < out_at(Drive(servers=1), 2)


def test_a_tenant_over_its_share_counts_for_little() -> None:
    """Without it the traffic over a share, which is worth a twentieth, pushes out the rest."""
    tenants = (it.Tenant("a", 10.0, 0.5), it.Tenant("b", 10.0, 0.5))
    drive = Drive(settings(tenants=tenants, over_share_worth=0.05), servers=1)
    drive.agent.tenant_request_times = [[drive.now] * 50, [drive.now] * 10]
    worth = [
        drive.agent._worth(
            PendingRequest(
                it.Request(1, 2, t, 0, 2000.0, 0.0, False, False, False), drive.now, drive.agent.settings.classes[2]
            )
        )
        for t in (0, 1)
    ]
    assert worth[0] == 0.05 * worth[1] > 0


def test_a_server_that_was_avoided_for_its_failures_is_tried_again_after_seconds() -> None:
    """Without it a server that recovers is chosen only where nothing else fits."""
    drive = Drive(servers=4)
    bad = drive.agent.servers[1]
    bad.health = 0.1
    for _ in range(40):
        drive.tick(500.0)
        drive.agent._rank()
    assert bad.health > 0.7


def test_a_server_that_was_slow_is_tried_and_trusted_again() -> None:
    """Slowness and the bound on open work do not age, but a server avoided for them is still drawn now and then."""
    drive = Drive(servers=3)
    slow = drive.agent.servers[1]
    slow.slowness, slow.concurrency_limit = 8.0, 1.0
    rng, used = random.Random(1), 0
    for i in range(1500):
        drive.now += 20.0
        if i % 25 == 0:
            drive.tick(0.0)
        for send in sends(drive.ask()[1]):
            used += i >= 1200 and send.server == 1
            drive.end(send, latency=rng.uniform(100.0, 300.0))
    assert slow.slowness < 2.0 and used > 300 / 3 / 2


def test_the_crossing_of_zones_counts_where_it_has_a_price() -> None:
    for price, dearer in ((0.0, False), (0.02, True)):
        drive = Drive(settings(cross_zone_price=price), servers=0)
        drive.list(entry(1, zone=0), entry(2, zone=1))
        near, far = (drive.agent._cost(drive.agent.servers[i]) for i in (1, 2))
        assert (far > near) is dearer


def middle(drive: Drive, trial_ms: float, earlier_ms: float, bins: int) -> str:
    """Some bins of two outcomes a class on each side, too few for the level; what the breaker says."""
    for _ in range(bins):
        drive.now += 10.0
        for server in drive.agent.servers.values():
            for cls in range(3):
                for _ in range(2 if server.id in (1, 20) else 0):
                    drive.agent._record_outcome(server, cls, trial_ms if server.id == 20 else earlier_ms, 1)
        drive.tick(490.0)
    return drive.agent.trip_reason


def test_a_trial_whose_middle_is_late_for_three_bins_goes_back_unless_the_earlier_build_is_late_too() -> None:
    """The design's latency breaker; without it only a level, which needs more evidence, speaks of slowness."""
    for trial, earlier, bins, trips in (
        (1500.0, 100.0, 3, True),
        (1500.0, 100.0, 2, False),
        (700.0, 100.0, 3, False),
        (1500.0, 1200.0, 3, False),
    ):
        drive = offered()
        drive.now += 2500.0
        drive.tick(0.0)
        for server in drive.agent.servers.values():
            server.series.clear()
        assert middle(drive, trial, earlier, bins).startswith("late class") is trips


@pytest.mark.parametrize(("behave", "waits"), [(everything_slow, True), (good, False)])
def test_an_agent_started_in_a_trial_casts_no_vote_on_before_it_knows_the_usual(
    behave: Server,
    waits: bool,
) -> None:
    """Without it one that starts in a jam takes the jam for the usual; answers well within the aim are no jam."""
    drive = Drive(servers=8)
    drive.agent = Agent(settings(), 3)
    drive.give(it.Started())
    drive.list(*[entry(i) for i in range(1, 9)], entry(20, build=2), kind=it.ListKind.FULL)
    drive.news(2, 0, it.Phase.TRIAL, 0.14)
    assert bool(play(drive, behave, SETTLE_MS / 1e3 - 1.0)) is not waits
    assert it.Verdict.ON in {v.verdict for v in play(drive, behave, 15.0)}


def test_errors_of_the_trial_that_are_not_yet_sure_hold_the_step() -> None:
    """Without it a build that fails a little goes on while the breaker still gathers evidence."""
    drive = offered()
    drive.now += 2500.0
    trial = [drive.agent.servers[20]]
    earlier = [drive.agent.servers[i] for i in range(1, 9)]
    drive.agent.errors_widespread = True
    row = [20.0, 0.0, 100.0, 0.0] * 3 + [25.0, 1.0, 25.0, 1.0]
    drive.agent.pools = {pool: row for pool in drive.agent.pools}
    assert drive.agent._enough_evidence(trial, earlier)
    drive.agent.pools = {pool: [20.0, 3.0, *row[2:]] for pool in drive.agent.pools}
    assert not drive.agent._enough_evidence(trial, earlier)


def test_a_request_avoids_a_server_whose_oldest_attempt_has_long_been_out() -> None:
    """Without it a server that stands still looks as good as one that answers until its time-outs come."""
    drive = Drive(servers=2)
    one, two = drive.agent.servers[1], drive.agent.servers[2]
    one.open_attempts, two.open_attempts = {(1, 0): drive.now - 3000.0}, {(2, 0): drive.now}
    assert drive.agent._cost(one) > 2 * drive.agent._cost(two)
