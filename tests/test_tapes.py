"""The agents answer recorded tapes of random events with the same actions as when the digests were recorded."""

from __future__ import annotations

import pytest
from tape import FLEETS, SECONDS, SEEDS, Tape

from otterquay.policy.agent import Agent
from otterquay.policy.state import Server

RECORDED = {
    "alone 1": "8ca780e436e935fb",
    "alone 2": "5dd0aed57c0ae8b2",
    "alone 3": "a0dddbc314d9c99e",
    "alone 4": "ddf93efd340c76fd",
    "alone 5": "ac45dbf56c699fa2",
    "told 1": "86dea75a1e170fb9",
    "told 2": "1d82ea561ad90cea",
    "told 3": "429c0181454ef972",
    "told 4": "05ba3ae7f7b84682",
    "told 5": "1336be322d1139b3",
    "tenants 1": "8fbcb78357fb9260",
    "tenants 2": "45783fb8bdf91ac7",
    "tenants 3": "238b9ec043c47ab5",
    "tenants 4": "9e7e06391cb74052",
    "tenants 5": "9c9e784832ea10ae",
    "reports 1": "1ed6ff19db81fca0",
    "reports 2": "0976316c2303d2d1",
    "reports 3": "d1c9d8ec6562e523",
    "reports 4": "4d40b36be1a10fcb",
    "reports 5": "31a65c87dc95aa51",
    "timer 1": "12b0b9fc0d5962cd",
    "timer 2": "f3d2ed8c478a5cfd",
    "timer 3": "8dd162056f7b8067",
    "timer 4": "5ea2ea511a555316",
    "timer 5": "725470b3e0aefcc4",
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
