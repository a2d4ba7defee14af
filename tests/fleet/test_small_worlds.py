"""Exhaustive exploration of small cases: elections of three, and short command sequences on one duty."""

from __future__ import annotations

from itertools import product

import pytest

from otterquay.cores import incarnations
from otterquay.duties import commands as cm
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.lab.fleetsim.explore import explore_group, explore_site

NORTH = duty_of("north")


@pytest.mark.parametrize("explore", [explore_group, explore_site], ids=lambda f: f.__name__)
def test_every_order_of_two_timers_and_a_restart_makes_one_leader_each(explore: type) -> None:
    found = explore()
    assert not found.wrong and found.states > 4000
    assert explore(restarts=0).states > 900


@pytest.mark.parametrize("explore", [explore_group, explore_site], ids=lambda f: f.__name__)
def test_with_votes_that_are_not_durable_it_finds_two_leaders(explore: type) -> None:
    assert "two lead under one" in explore(synced=False).wrong


def test_every_short_order_of_two_owners_commands_keeps_one_owner_and_rising_tokens() -> None:
    """Claims, renewals, orders and releases by two agents under their newest tokens, and expiry by the leader."""
    names = ["claim", "renew", "order", "release"]
    alphabet = [(agent, name) for agent in (1, 2) for name in names] + [(9, "expire")]
    states: set[bytes] = set()
    for length in (4, 5):
        for sequence in product(alphabet, repeat=length):
            duties, held, newest, ordered = Duties(["north"], 3), {1: NONE, 2: NONE}, NONE, 0
            for index, (agent, name) in enumerate(sequence, 1):
                duty = duties.group_state.duties[NORTH]
                token = held.get(agent, duty.token)
                command: cm.Command = {
                    "claim": cm.Claim(NORTH),
                    "renew": cm.Renew(NORTH, token),
                    "release": cm.Release(NORTH, token),
                    "order": cm.Order(NORTH, token, f"{index}", "x", 1),
                    "expire": cm.Expire(NORTH, duty.token, duty.renewals),
                }[name]
                before = (duty.owner, duty.token)
                result = duties.apply(
                    index, cm.encode(cm.Proposal(agent, 1 << incarnations.RANDOM_BITS, index, command))
                )
                if name == "claim" and result.ok:
                    assert before[0] is None and result.token > newest
                    held[agent] = newest = result.token
                elif name in ("renew", "order", "release") and result.ok:
                    assert before == (agent, token) and token == newest
                    ordered += name == "order"
                assert (
                    duties.group_state.duties[NORTH].token == newest and duties.committed_servers() == ordered <= 3
                )
            states.add(duties.dump())
    assert len(states) > 500 and Token(2) > Token(1, 9)
