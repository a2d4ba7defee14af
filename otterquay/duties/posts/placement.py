"""Placement of posts: bounded-load rendezvous hashing (Thaler and Ravishankar, 1998) with minimal moves.

A post stays where it is unless its agent is gone, is barred from the post, or holds more than its share rounded up.
When an agent leaves, only its posts move; an agent that joins gets at most its share rounded down. Among the agents
with room, a post goes to the one with the best hash score, so a new leader with the same information decides alike.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping

import xxhash

Bars = Callable[[str, int], bool]  # whether an agent is barred from a post


def score(post: str, agent: int, weight: float) -> float:
    """Weighted rendezvous score (unitless): the lowest wins, so each agent wins in proportion to its weight."""
    uniform = (xxhash.xxh3_64_intdigest(f"{post}@{agent}".encode()) + 1) / 2**64
    return -math.log(uniform) / weight


def shares(posts: int, weights: Mapping[int, float]) -> dict[int, float]:
    """The fractional number of posts that each agent should hold; the shares add up to `posts`."""
    total = sum(weights.values())
    return {agent: posts * weight / total for agent, weight in weights.items()}


def place_posts(
    posts: Collection[str],
    weights: Mapping[int, float],
    held: Mapping[str, int],
    barred: Bars = lambda post, agent: False,
    unmovable: int = 0,
) -> dict[str, int]:
    """Assigns each post to an agent; omits posts that no agent may take.

    `held` has the present holders, `weights` the agents that may hold posts. `unmovable` is the number of further
    posts that can't move yet but will later: shares count them, so that no post moves twice because of them.
    """
    if not weights:
        return {}
    share = shares(len(posts) + unmovable, weights)
    max_load = {agent: math.ceil(part - 1e-9) for agent, part in share.items()}
    min_load = {agent: math.floor(part + 1e-9) for agent, part in share.items()}
    placement: dict[str, int] = {}
    loads: dict[int, list[str]] = {agent: [] for agent in weights}
    unplaced = []
    for post in sorted(posts):
        agent = held.get(post)
        if agent in loads and not barred(post, agent) and len(loads[agent]) < max_load[agent]:
            placement[post] = agent
            loads[agent].append(post)
        else:
            unplaced.append(post)
    for post in unplaced:
        eligible = [agent for agent in weights if not barred(post, agent)]
        candidates = (
            [a for a in eligible if len(loads[a]) < min_load[a]]
            or [a for a in eligible if len(loads[a]) < max_load[a]]
            or eligible
        )
        if candidates:
            agent = min(candidates, key=lambda a: (score(post, a, weights[a]), a))
            placement[post] = agent
            loads[agent].append(post)
    _rebalance(placement, loads, min_load, weights, barred)
    return placement


def _rebalance(
    placement: dict[str, int],
    loads: dict[int, list[str]],
    min_load: Mapping[int, int],
    weights: Mapping[int, float],
    barred: Bars,
) -> None:
    """Fills each agent up to its share rounded down with posts of the agents that exceed theirs the most."""
    for agent in sorted(weights):
        while len(loads[agent]) < min_load[agent]:
            overloaded = [a for a in weights if len(loads[a]) > min_load[a]]
            moves = [
                (min_load[a] - len(loads[a]), score(post, agent, weights[agent]), post, a)
                for a in overloaded
                for post in loads[a]
                if not barred(post, agent)
            ]
            if not moves:
                break
            _, _, post, source = min(moves)
            loads[source].remove(post)
            loads[agent].append(post)
            placement[post] = agent
