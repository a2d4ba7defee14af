"""Releases that the agents' votes decide on, in simulated fleets whose agents exchange messages."""

from __future__ import annotations

import pytest

from otterquay import interface as it
from otterquay.lab.mass.scenario import Fault, FleetScenario, Release
from otterquay.lab.mass.voted_release import play_release
from tests.rig import service

SERVICE = service(
    rules={"cold": "1s", "fall": "3s", "start_capacity": "50%"},
    rollout={
        "replacement": "in_place",
        "bake": "700ms",
        "window": "2s",
        "stage": [{"share": "8%", "cap": "11%"}, {"share": "60%", "cap": "84%"}, {"share": "100%", "cap": "100%"}],
    },
)
PEERS = SERVICE.model_copy(update={"limits": SERVICE.limits.model_copy(update={"peers": True})})
FLEET = FleetScenario(
    PEERS, 48, 24, Fault(zone=None, restored_at=1e9), duration_ms=16000.0, max_news_delay_ms=880.0
)


@pytest.mark.parametrize(
    ("error_share", "phase", "stage"), [(0.0, it.Phase.RELEASED, 2), (0.3, it.Phase.GOING_BACK, 0)]
)
def test_votes_release_a_good_build_and_send_a_failing_one_back(
    error_share: float, phase: it.Phase, stage: int
) -> None:
    """Guards the laboratory that figures on bad builds rest on: its votes, messages, stages and failures count."""
    plan = Release(4000.0, error_share=error_share, fails_after_ms=500.0)
    outcome = play_release(FLEET, plan, 1)
    end, last_vote = outcome.stages[-1], outcome.votes[-1]
    assert (end.phase, end.stage) == (phase, stage), outcome
    assert last_vote.vote == it.CastVote(2, stage, it.Verdict.BACK if error_share else it.Verdict.ON)
    assert bool(last_vote.errors) is bool(error_share) and any(": vote " in line.text for line in outcome.logs)
    assert play_release(FLEET, plan, 1) == outcome
