"""Who takes which post: even, and nothing moves that evenness does not need."""

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
def test_one_that_goes_moves_what_it_held_and_one_that_comes_its_share(agents: int, data: st.DataObject) -> None:
    before = place_posts(POSTS, even(range(agents)), {})
    gone = data.draw(st.integers(0, agents - 1))
    left = {a: 1.0 for a in range(agents) if a != gone}
    held = {post: a for post, a in before.items() if a != gone}
    after = place_posts(POSTS, left, held)
    assert {p for p in POSTS if after[p] != before[p]} == {p for p in POSTS if before[p] == gone}
    back = place_posts(POSTS, even(range(agents)), after)
    moved = {p for p in POSTS if back[p] != after[p]}
    assert len(moved) <= len(POSTS) // agents + 1 and all(back[p] == gone for p in moved)
    assert place_posts(POSTS, even(range(agents)), back) == back


def test_the_hash_spreads_what_nobody_holds_and_a_new_leader_chooses_alike() -> None:
    once, again = (place_posts(POSTS, even(range(30)), {}) for _ in range(2))
    assert once == again
    other = place_posts(POSTS, even(range(31)), {})
    assert sum(once[p] == other[p] for p in POSTS) > len(POSTS) / 2  # not one list handed out in order


@pytest.mark.parametrize("weight", [0.5, 0.125])
def test_one_that_is_slow_everywhere_is_given_less(weight: float) -> None:
    weights = {**even(range(10)), 3: weight}
    loads = Counter(place_posts(POSTS, weights, place_posts(POSTS, even(range(10)), {})).values())
    share = shares(len(POSTS), weights)
    assert math.floor(share[3]) <= loads[3] <= math.ceil(share[3]) < 24
    assert all(loads[a] >= math.floor(share[a]) for a in weights)


def test_who_is_barred_from_a_post_does_not_get_it_back_and_one_without_any_taker_stays_out() -> None:
    before = place_posts(POSTS, even(range(10)), {})
    mine = [p for p in POSTS if before[p] == 3]
    after = place_posts(POSTS, even(range(10)), before, lambda post, agent: agent == 3 and post in mine[:2])
    assert all(after[p] != 3 for p in mine[:2])
    assert sum(after[p] != before[p] for p in POSTS) <= 4
    assert POSTS[0] not in place_posts(POSTS[:3], even(range(3)), {}, lambda post, agent: post == POSTS[0])
    assert place_posts(POSTS, {}, {}) == {}


def test_posts_that_cannot_move_now_are_reckoned_with() -> None:
    """Without it the others would be evened out twice: once without those posts, and once with them."""
    before = place_posts(POSTS, even(range(7)), {})
    stuck = {p for p in POSTS if before[p] == 6}
    rest = [p for p in POSTS if p not in stuck]
    held = {p: before[p] for p in rest}
    assert place_posts(rest, even(range(6)), held, unmovable=len(stuck)) == held


def test_names() -> None:
    assert site_and_kind(post_name("north", "a/b")) == ("north", "a/b")
    for text in ("capacity/north", "look/north", "look//a", "look/north/"):
        with pytest.raises(ValueError):
            site_and_kind(text)
    assert post_names(["n", "s"], {"n": ["b", "a", "a"]}) == ["look/n/a", "look/n/b"]
    assert len(post_names(["n"], {"n": map(str, range(MAX_POSTS + 9))})) == MAX_POSTS
