"""Placement of posts: balanced loads, and no move beyond what balance needs."""

from __future__ import annotations

import math
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from otterquay.duties.posts.names import MAX_POSTS, post_name, post_names, site_and_kind
from otterquay.duties.posts.placement import place_posts, shares

POSTS = [post_name(f"s{i}", f"k{j}") for i in range(12) for j in range(20)]


def even(agents: range) -> dict[int, float]:
    return dict.fromkeys(agents, 1.0)


@given(st.integers(1, 60), st.integers(1, 120))
@settings(max_examples=60, deadline=None)
def test_all_are_placed_and_no_two_agents_differ_by_more_than_one(agents: int, posts: int) -> None:
    found = place_posts(POSTS[:posts], even(range(agents)), {})
    loads = Counter(found.values())
    counts = [loads[a] for a in range(agents)]
    assert set(found) == set(POSTS[:posts]) and max(counts) - min(counts) <= 1


@given(st.integers(2, 40), st.data())
@settings(max_examples=60, deadline=None)
def test_an_agent_that_leaves_moves_its_posts_and_one_that_joins_its_share(
    agents: int, data: st.DataObject
) -> None:
    before = place_posts(POSTS, even(range(agents)), {})
    leaver = data.draw(st.integers(0, agents - 1))
    remaining = {a: 1.0 for a in range(agents) if a != leaver}
    held = {post: a for post, a in before.items() if a != leaver}
    after = place_posts(POSTS, remaining, held)
    assert {p for p in POSTS if after[p] != before[p]} == {p for p in POSTS if before[p] == leaver}
    rejoined = place_posts(POSTS, even(range(agents)), after)
    moved = {p for p in POSTS if rejoined[p] != after[p]}
    assert len(moved) <= len(POSTS) // agents + 1 and all(rejoined[p] == leaver for p in moved)
    assert place_posts(POSTS, even(range(agents)), rejoined) == rejoined


def test_the_hash_spreads_free_posts_and_a_new_leader_decides_alike() -> None:
    once, again = (place_posts(POSTS, even(range(30)), {}) for _ in range(2))
    assert once == again
    other = place_posts(POSTS, even(range(31)), {})
    assert sum(once[p] == other[p] for p in POSTS) > len(POSTS) / 2  # posts are not simply assigned in order


@pytest.mark.parametrize("weight", [0.5, 0.125])
def test_an_agent_with_a_lower_weight_gets_fewer_posts(weight: float) -> None:
    weights = {**even(range(10)), 3: weight}
    loads = Counter(place_posts(POSTS, weights, place_posts(POSTS, even(range(10)), {})).values())
    share = shares(len(POSTS), weights)
    assert math.floor(share[3]) <= loads[3] <= math.ceil(share[3]) < 24
    assert all(loads[a] >= math.floor(share[a]) for a in weights)


def test_a_barred_agent_does_not_get_a_post_back_and_a_post_barred_to_all_stays_unplaced() -> None:
    before = place_posts(POSTS, even(range(10)), {})
    held = [p for p in POSTS if before[p] == 3]
    after = place_posts(POSTS, even(range(10)), before, lambda post, agent: agent == 3 and post in held[:2])
    assert all(after[p] != 3 for p in held[:2])
    assert sum(after[p] != before[p] for p in POSTS) <= 4
    assert POSTS[0] not in place_posts(POSTS[:3], even(range(3)), {}, lambda post, agent: post == POSTS[0])
    assert place_posts(POSTS, {}, {}) == {}


def test_posts_that_cannot_move_now_count_towards_the_shares() -> None:
    """Otherwise the other posts would be rebalanced twice: once without those posts, and once with them."""
    before = place_posts(POSTS, even(range(7)), {})
    unmovable = {p for p in POSTS if before[p] == 6}
    movable = [p for p in POSTS if p not in unmovable]
    held = {p: before[p] for p in movable}
    assert place_posts(movable, even(range(6)), held, unmovable=len(unmovable)) == held


def test_names_of_posts_are_built_parsed_and_limited() -> None:
    assert site_and_kind(post_name("north", "a/b")) == ("north", "a/b")
    for text in ("capacity/north", "look/north", "look//a", "look/north/"):
        with pytest.raises(ValueError):
            site_and_kind(text)
    assert post_names(["n", "s"], {"n": ["b", "a", "a"]}) == ["look/n/a", "look/n/b"]
    assert len(post_names(["n"], {"n": map(str, range(MAX_POSTS + 9))})) == MAX_POSTS
