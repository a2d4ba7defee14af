"""Small worlds explored fully: elections of three, and short orders of two owners on one duty."""

from __future__ import annotations

from itertools import product

import pytest

from otterquay.cores import incarnations
from otterquay.duties import commands as cm
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.lab.fleetsim.explore import explore_group, explore_site

NORTH = duty_of("north")


@pytest.mark.parametrize("explored", [explore_group, explore_site], ids=lambda f: f.__name__)
def test_every_order_of_two_timers_and_a_restart_makes_one_leader_each(explored: type) -> None:
    found = explored()
    assert not found.wrong and found.states > 4000
    assert explored(restarts=0).states > 900


@pytest.mark.parametrize("explored", [explore_group, explore_site], ids=lambda f: f.__name__)
def test_with_votes_that_do_not_last_it_finds_two(explored: type) -> None:
    assert "two lead under one" in explored(synced=False).wrong


def test_every_short_order_of_two_owners_commands_keeps_one_owner_and_rising_tokens() -> None:
    """Claims, renewals, orders and ends by two agents under the tokens they last had, and the leader's expiry."""
    words = ["claim", "renew", "order", "release"]
    alphabet = [(agent, word) for agent in (1, 2) for word in words] + [(9, "expire")]
    states: set[bytes] = set()
    for length in (4, 5):
        for sequence in product(alphabet, repeat=length):
            books, held, newest, written = Duties(["north"], 3), {1: NONE, 2: NONE}, NONE, 0
            for index, (agent, word) in enumerate(sequence, 1):
                duty = books.group_state.duties[NORTH]
                token = held.get(agent, duty.token)
                command: cm.Command = {
                    "claim": cm.Claim(NORTH),
                    "renew": cm.Renew(NORTH, token),
                    "release": cm.Release(NORTH, token),
                    "order": cm.Order(NORTH, token, f"{index}", "x", 1),
                    "expire": cm.Expire(NORTH, duty.token, duty.renewals),
                }[word]
                before = (duty.owner, duty.token)
                result = books.apply(
                    index, cm.encode(cm.Proposal(agent, 1 << incarnations.RANDOM_BITS, index, command))
                )
                if word == "claim" and result.ok:
                    assert before[0] is None and result.token > newest
                    held[agent] = newest = result.token
                elif word in ("renew", "order", "release") and result.ok:
                    assert before == (agent, token) and token == newest
                    written += word == "order"
                assert books.group_state.duties[NORTH].token == newest and books.committed_servers() == written <= 3
            states.add(books.dump())
    assert len(states) > 500 and Token(2) > Token(1, 9)
