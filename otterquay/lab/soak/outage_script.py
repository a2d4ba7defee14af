"""Draws soak days on which discovery falls silent again and again, and appliances begin to drain meanwhile.

What discovery has at its return counts as told to all agents, whether or not it has been read.
"""

from __future__ import annotations

import random
from dataclasses import replace

from otterquay.lab.soak.script import (
    QUIET_END_S,
    QUIET_START_S,
    ClientKind,
    DiscoveryTrouble,
    Drain,
    Event,
    EventDrawer,
    Script,
)
from otterquay.lab.soak.settings import Customer, draw_customer

EVENTS_S = 8.0
GRACES_MS = (250.0, 250.0, 500.0)
SILENT_S = (0.1, 2.0)
APART_S = (1.0, 2.0)  # from the end of an outage to the next one
DRAIN_BEFORE_RETURN_S = 0.1
DRAIN_S = 1.0
DRAINING_SHARE = 0.5  # of the appliances
DELAY_S = (0.05, 0.8)
SLOW_CHANCE = 0.2


def draw_outage_script(seed: int) -> Script:
    """Draw the day of a seed; the same seed gives the same script."""
    rng = random.Random(seed)
    agents, appliances = rng.randint(1, 3), rng.randint(3, 8)
    draw = EventDrawer(rng, agents, appliances, ())
    events = _draw_outages(rng, appliances)
    clients: list[ClientKind] = ["steady"] * rng.randint(4, 8)
    return Script(
        seed,
        _draw_customer(rng),
        agents,
        appliances,
        (),
        tuple(clients),
        tuple(sorted(events, key=lambda event: event.at)),
        QUIET_START_S + EVENTS_S + QUIET_END_S,
        False,
        draw.term_series(),
        (),
    )


def _draw_customer(rng: random.Random) -> Customer:
    customer = draw_customer(rng, crowd=False)
    rules = {**customer.settings["rules"], "drainGraceMs": rng.choice(GRACES_MS)}
    return replace(customer, settings={**customer.settings, "rules": rules})


def _draw_outages(rng: random.Random, appliances: int) -> list[Event]:
    found: list[Event] = []
    at = QUIET_START_S
    while at < QUIET_START_S + EVENTS_S - SILENT_S[1] - DRAIN_S:
        seconds = rng.uniform(*SILENT_S)
        if rng.random() < SLOW_CHANCE:
            found.append(DiscoveryTrouble(at, "slow", seconds, rng.uniform(*DELAY_S)))
        else:
            found.append(DiscoveryTrouble(at, "silent", seconds, 0.0))
            drains_at = at + seconds - min(DRAIN_BEFORE_RETURN_S, seconds / 2)
            for number in rng.sample(range(appliances), max(1, int(appliances * DRAINING_SHARE))):
                found.append(Drain(drains_at, number, DRAIN_S, 1, False))
        at += seconds + rng.uniform(*APART_S)
    return found
