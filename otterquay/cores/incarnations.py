"""Lives: which start of an agent speaks. A start's number comes from its disk and rises; a drawn part tells two
starts apart that an older copy of a disk has given the same number."""

from __future__ import annotations

import random

RANDOM_BITS = 20


def new_incarnation(start: int, rng: random.Random) -> int:
    """The life of a disk's start of that number."""
    return start << RANDOM_BITS | rng.getrandbits(RANDOM_BITS)


def start_number(incarnation: int) -> int:
    """Which start of its disk a life is."""
    return incarnation >> RANDOM_BITS


def is_later(incarnation: int, known: int) -> bool:
    """Whether a life began after one that is known; one that is neither it nor later is of an older copy."""
    return incarnation >> RANDOM_BITS > known >> RANDOM_BITS
