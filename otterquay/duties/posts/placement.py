"""Who takes which post: rendezvous hashing (Thaler and Ravishankar, 1998) under a bound on load, with no move that
evenness does not need.

A post stays where it is unless its agent is gone, barred from it, or holds more than its share rounded up. One
agent that goes moves what it held; one that comes is handed at most its share rounded down. Among the agents that
have room a post goes to the one whose hash with it is best, so that a new leader with the same news chooses alike.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping

import xxhash

Bars = Callable[[str, int], bool]


def score(post: str, agent: int, weight: float) -> float:
    """Weighted rendezvous: the least wins, each agent as often as its weight. Without a unit."""
    drawn = (xxhash.xxh3_64_intdigest(f"{post}@{agent}".encode()) + 1) / 2**64
    return -math.log(drawn) / weight


def shares(posts: int, weights: Mapping[int, float]) -> dict[int, float]:
    """How many posts each agent should have; their sum is `posts`."""
    whole = sum(weights.values())
    return {agent: posts * weight / whole for agent, weight in weights.items()}


def place_posts(
    posts: Collection[str],
    weights: Mapping[int, float],
    held: Mapping[str, int],
    barred: Bars = lambda post, agent: False,
    others: int = 0,
) -> dict[str, int]:
    """The agent of each post, where any may take it. `held` names the present ones, `weights` those that may hold.

    `others` are posts that cannot be moved now, and will be: shares are reckoned with them, so that nothing moves
    for them twice.
    """
    if not weights:
        return {}
    share = shares(len(posts) + others, weights)
    most = {agent: math.ceil(part - 1e-9) for agent, part in share.items()}
    least = {agent: math.floor(part + 1e-9) for agent, part in share.items()}
    found: dict[str, int] = {}
    loads: dict[int, list[str]] = {agent: [] for agent in weights}
    homeless = []
    for post in sorted(posts):
        agent = held.get(post)
        if agent in loads and not barred(post, agent) and len(loads[agent]) < most[agent]:
            found[post] = agent
            loads[agent].append(post)
        else:
            homeless.append(post)
    for post in homeless:
        able = [agent for agent in weights if not barred(post, agent)]
        roomy = (
            [a for a in able if len(loads[a]) < least[a]] or [a for a in able if len(loads[a]) < most[a]] or able
        )
        if roomy:
            agent = min(roomy, key=lambda a: (score(post, a, weights[a]), a))
            found[post] = agent
            loads[agent].append(post)
    _level(found, loads, least, weights, barred)
    return found


def _level(
    found: dict[str, int],
    loads: dict[int, list[str]],
    least: Mapping[int, int],
    weights: Mapping[int, float],
    barred: Bars,
) -> None:
    """Fill each agent up to its share rounded down, from those that are furthest over theirs."""
    for agent in sorted(weights):
        while len(loads[agent]) < least[agent]:
            rich = [a for a in weights if len(loads[a]) > least[a]]
            moves = [
                (least[a] - len(loads[a]), score(post, agent, weights[agent]), post, a)
                for a in rich
                for post in loads[a]
                if not barred(post, agent)
            ]
            if not moves:
                break
            _, _, post, giver = min(moves)
            loads[giver].remove(post)
            loads[agent].append(post)
            found[post] = agent
