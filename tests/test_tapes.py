"""The agents answer recorded tapes of random events with the same actions as when the digests were recorded."""

from __future__ import annotations

import pytest
from tape import FLEETS, SECONDS, SEEDS, Tape

from otterquay.policy.agent import Agent
from otterquay.policy.state import Server

RECORDED = {
    "alone 1": "15277e3d8622d0a8",
    "alone 2": "bf610b7ef4e1ab80",
    "alone 3": "7aa3135d8f99d1ed",
    "alone 4": "ea11c933c0f3dee1",
    "alone 5": "2e3f8f767bddc7e8",
    "told 1": "ff45303f6c0f421f",
    "told 2": "04697db0350bfa47",
    "told 3": "f15e4d4f0d540e3a",
    "told 4": "02de2b4c734fe2db",
    "told 5": "d4a7207f8e705e75",
    "tenants 1": "3920f1d120d1150c",
    "tenants 2": "bc3ac26344bd7013",
    "tenants 3": "f79f30a4171bc9ae",
    "tenants 4": "f3a8e6ca24a55e82",
    "tenants 5": "fb7fc0ea725f07b7",
    "reports 1": "91dc37787f72fd01",
    "reports 2": "0e1a940c8755ca3b",
    "reports 3": "e12633c5913df354",
    "reports 4": "4294f3f05625b9cf",
    "reports 5": "4f5d9baeb5c24fc3",
    "timer 1": "77709a8f7e720221",
    "timer 2": "03adfb7cbf085a00",
    "timer 3": "7e9c793c93c0f003",
    "timer 4": "1732184b56e2c5ee",
    "timer 5": "93fd76c009b60d2f",
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
