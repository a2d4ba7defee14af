"""Incarnation numbers: which start of an agent's process sent a message.

The high bits are the start number, which is kept on the agent's disk and incremented at each start. The low bits
are random: they distinguish two starts that have the same number because the disk was restored from an older
copy.
"""

from __future__ import annotations

import random

RANDOM_BITS = 20


def new_incarnation(start: int, rng: random.Random) -> int:
    """Returns the incarnation for the disk's start number `start`, with fresh random low bits."""
    return start << RANDOM_BITS | rng.getrandbits(RANDOM_BITS)


def start_number(incarnation: int) -> int:
    """Returns the start number of an incarnation."""
    return incarnation >> RANDOM_BITS


def is_later(incarnation: int, known: int) -> bool:
    """Whether `incarnation` started after `known`.

    An incarnation that is neither `known` nor later comes from an older copy of the disk.
    """
    return incarnation >> RANDOM_BITS > known >> RANDOM_BITS
