"""The decisions answer drawn events as they did when these digests were written, action by action."""

from __future__ import annotations

import pytest
from tape import FLEETS, SECONDS, SEEDS, Tape

from otterquay.policy.agent import Agent
from otterquay.policy.state import Server

RECORDED = {
    "alone 1": "69c11cd7b7b3220b",
    "alone 2": "a796981967fe2a7b",
    "alone 3": "c3126e1881e2fd53",
    "alone 4": "a8b24f8e1a302c63",
    "alone 5": "199a415be63e82b0",
    "told 1": "408863e08a6e0a52",
    "told 2": "bd1a0d2f8bf90abb",
    "told 3": "c8359abc0e13133c",
    "told 4": "9fe15bee97e115a0",
    "told 5": "75e6041402cdefe9",
    "tenants 1": "4854eb16b9abdb32",
    "tenants 2": "37d072d160913953",
    "tenants 3": "27318e3fc47524cf",
    "tenants 4": "f39e1a5ac755009d",
    "tenants 5": "f4d7f2ee6ddf178b",
    "reports 1": "5b771b80cf101edf",
    "reports 2": "96f345a57999821e",
    "reports 3": "4b68f8d77f4a2c14",
    "reports 4": "71ee90da60818c4b",
    "reports 5": "456677d0c993f9a3",
    "timer 1": "852a75bad1d4f915",
    "timer 2": "768dc83dbcdc811f",
    "timer 3": "d5897339cc102191",
    "timer 4": "42ce9afab5ba7e52",
    "timer 5": "7efca90f8367bee2",
}


@pytest.mark.parametrize("run", [f"{name} {seed}" for name in FLEETS for seed in SEEDS])
def test_a_tape_gives_the_same_actions(run: str) -> None:
    name, seed = run.split()
    assert Tape(FLEETS[name], int(seed), Agent).run(SECONDS) == RECORDED[run]


class Nearer(Agent):
    """The crossing of zones costs a hair more: one of many choices falls otherwise."""

    def _cost(self, server: Server) -> float:
        return super()._cost(server) * (1.0 + 1e-3 * (server.entry.zone != self.s.zone))


class Later(Agent):
    """A build's series settle one point later."""

    def _enough(self, trial: list[Server], earlier: list[Server]) -> bool:
        return len(self.points) != 4 and super()._enough(trial, earlier)


@pytest.mark.parametrize("other", [Nearer, Later])
def test_a_small_change_of_the_decisions_is_seen(other: type[Agent]) -> None:
    assert any(Tape(config, seed, other).run(SECONDS) != RECORDED[f"{name} {seed}"]
               for seed in SEEDS for name, config in FLEETS.items())
