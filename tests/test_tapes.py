"""The agents answer recorded tapes of random events with the same actions as when the digests were recorded."""

from __future__ import annotations

import pytest
from tape import FLEETS, SECONDS, SEEDS, Tape

from otterquay.policy.agent import Agent
from otterquay.policy.state import Server

RECORDED = {
    "alone 1": "f17c8429c0446d24",
    "alone 2": "5dd0aed57c0ae8b2",
    "alone 3": "c8b26cb3d6b4efcf",
    "alone 4": "ddf93efd340c76fd",
    "alone 5": "fbec9ef6c1a8bf32",
    "told 1": "4b930916c217677d",
    "told 2": "25aa045c68ab0ede",
    "told 3": "429c0181454ef972",
    "told 4": "05ba3ae7f7b84682",
    "told 5": "aa074e41db0451cf",
    "tenants 1": "81ccf3c35fd5497e",
    "tenants 2": "45783fb8bdf91ac7",
    "tenants 3": "7a9eb8cfa8ab9a05",
    "tenants 4": "9e7e06391cb74052",
    "tenants 5": "9c9e784832ea10ae",
    "reports 1": "64a70c9d24e6ccea",
    "reports 2": "0976316c2303d2d1",
    "reports 3": "d1c9d8ec6562e523",
    "reports 4": "54ba2f2e29f23e71",
    "reports 5": "f78f2653fdd14ea2",
    "timer 1": "12b0b9fc0d5962cd",
    "timer 2": "f3d2ed8c478a5cfd",
    "timer 3": "4e8c6e2ffaab3fcb",
    "timer 4": "72800a967c4ad3d5",
    "timer 5": "cdbecf95c6dddfed",
}


@pytest.mark.parametrize("run", [f"{name} {seed}" for name in FLEETS for seed in SEEDS])
def test_a_tape_gives_the_same_actions(run: str) -> None:
    name, seed = run.split()
    assert Tape(FLEETS[name], int(seed), Agent).run(SECONDS) == RECORDED[run]


class DearerZoneCrossing(Agent):
    """Crossing zones costs slightly more, which changes one of many choices."""

    def _cost(self, server: Server) -> float:
        return super()._cost(server) * (1.0 + 1e-3 * (server.entry.zone != self.settings.zone))


class LaterVote(Agent):
    """The scores of a build settle one bin later."""

    def _enough_evidence(self, trial: list[Server], earlier: list[Server]) -> bool:
        return len(self.bin_scores) != 4 and super()._enough_evidence(trial, earlier)


@pytest.mark.parametrize("other", [DearerZoneCrossing, LaterVote])
def test_a_small_change_of_the_decisions_is_seen(other: type[Agent]) -> None:
    assert any(
        Tape(config, seed, other).run(SECONDS) != RECORDED[f"{name} {seed}"]
        for seed in SEEDS
        for name, config in FLEETS.items()
    )
