"""Draws soak days on which appliances stand still again and again, as requests with large bodies come to them.

A command is then whole at its appliance long after its first byte, which is where limits in time have to hold.
Attempts fail shortly before the end of the repeat window. No request is small enough to lie unread as a whole in an
appliance's kernel, so the time at which an appliance reads the last byte is the time at which it came.
"""

from __future__ import annotations

import random
from dataclasses import replace

from otterquay.lab.soak.script import (
    QUIET_END_S,
    QUIET_START_S,
    Behaviour,
    ClientKind,
    Event,
    EventDrawer,
    Pause,
    Script,
    Standstill,
)
from otterquay.lab.soak.settings import SCOPES, Customer, draw_customer

EVENTS_S = 6.0  # in which appliances stand still
CROWD_CHANCE = 0.3
WINDOW_MS = 500.0
DEADLINE_MS = 2000.0
BODY_BYTES = 60_000
STANDING_STILL_SHARE = 0.5  # of the appliances
STILL_S = (0.19, 0.5)
APART_S = (0.5, 1.2)  # from the end of a standstill to the next one of the same appliance
HELD_UP_S = (0.05, 0.1)  # of an agent; the protocol page allows for 0.15 s


def draw_standstill_script(seed: int) -> Script:
    """Draw the day of a seed; the same seed gives the same script."""
    rng = random.Random(seed)
    crowd = rng.random() < CROWD_CHANCE
    agents, appliances = rng.randint(2, 3), rng.randint(3, 8)
    clients: list[ClientKind] = ["leaver"]
    clients += ["waiting"] * rng.randint(4, 10)
    draw = EventDrawer(rng, agents, appliances, ())
    events = [
        *draw.restarts(),
        *(Pause(_time(rng), rng.randrange(agents), rng.uniform(*HELD_UP_S)) for _ in range(rng.randint(0, 4))),
        *(Behaviour(0.0, number, "fails_late", EVENTS_S) for number in range(appliances)),
        *_draw_standstills(rng, appliances),
    ]
    if crowd:
        events.append(draw.crowd())
    return Script(
        seed,
        _draw_customer(rng, crowd),
        agents,
        appliances,
        (),
        tuple(clients),
        tuple(sorted(events, key=lambda event: event.at)),
        QUIET_START_S + EVENTS_S + QUIET_END_S,
        False,
        draw.term_series(),
        (),
        BODY_BYTES,
    )


def _time(rng: random.Random) -> float:
    return QUIET_START_S + rng.uniform(0.0, EVENTS_S)


def _draw_customer(rng: random.Random, crowd: bool) -> Customer:
    customer = draw_customer(rng, crowd)
    keyed = {
        "name": "class-0",
        "effect": "deduplicated",
        "deadlineMs": DEADLINE_MS,
        "onTimeMs": DEADLINE_MS,
        "lateWorth": 0.2,
        "dedupScope": rng.choice(SCOPES),
        "repeatWindowMs": WINDOW_MS,
    }
    unsafe = {
        "name": "class-1",
        "effect": "at_most_once",
        "deadlineMs": DEADLINE_MS,
        "onTimeMs": DEADLINE_MS,
        "lateWorth": 0.2,
    }
    classes = [keyed, unsafe] if rng.random() < 0.5 else [keyed]
    limits = {**customer.settings["limits"], "sendCap": rng.choice((2, 3, 6))}
    return replace(customer, settings={**customer.settings, "requestClasses": classes, "limits": limits})


def _draw_standstills(rng: random.Random, appliances: int) -> list[Event]:
    """Let some appliances stand still again and again, each at times of its own."""
    found: list[Event] = []
    for number in rng.sample(range(appliances), max(1, int(appliances * STANDING_STILL_SHARE))):
        at = QUIET_START_S + rng.uniform(*APART_S)
        while at < QUIET_START_S + EVENTS_S:
            seconds = rng.uniform(*STILL_S)
            found.append(Standstill(at, number, seconds))
            at += seconds + rng.uniform(*APART_S)
    return found
