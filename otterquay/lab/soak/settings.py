"""Draws the settings of a customer (classes, tenants, zones, limits), and gives them the form of the auditor."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from otterquay.config import Service, parse_service

SHORT_DEADLINES_MS = (50.0, 120.0, 400.0, 1000.0)
DEADLINES_MS = (*SHORT_DEADLINES_MS, 2000.0, 3000.0, 8000.0, 60_000.0)
SHORT_SHARE = 0.6  # of the customers have short deadlines only; their days end sooner
EFFECT_NAMES = {"idempotent": "safe", "deduplicated": "keyed", "at_most_once": "unsafe"}
SCOPES = ("all", "zone")
ROLLOUT_STAGES = (0.25, 1.0)
# The protocol page grants these beyond the figures of the settings.
EXTRA_CAP_SHARE = 0.04
EXTRA_CAP_ATTEMPTS = 2.0


@dataclass(frozen=True, slots=True)
class Customer:
    """The settings of one customer, in the form of the configuration file but without the agent's own number."""

    settings: dict[str, Any]
    sockets: int  # descriptors that a process may hold
    memory_mb: float

    @property
    def classes(self) -> list[dict[str, Any]]:
        """The classes of requests."""
        return list(self.settings["requestClasses"])

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of a class."""
        return float(max(cls["deadlineMs"] for cls in self.classes)) / 1e3


def draw_customer(rng: random.Random, crowd: bool) -> Customer:
    """Draw a customer; with `crowd` its bounds are small enough to be passed by some dozens of clients."""
    zones = rng.choice(([], ["north"], ["north", "south"], ["a", "b", "c"]))
    deadlines = SHORT_DEADLINES_MS if rng.random() < SHORT_SHARE else DEADLINES_MS
    tenants = [f"tenant-{number}" for number in range(rng.choice((0, 0, 1, 3)))]
    settings = {
        "zone": 0,
        "localities": zones,
        "kinds": ["std"],
        "requestClasses": [_draw_class(rng, number, deadlines) for number in range(rng.randint(1, 4))],
        "tenants": [{"name": name, "quotaPerS": 200.0, "share": 1.0 / len(tenants)} for name in tenants],
        "limits": {
            "cancel": True,
            "probes": rng.random() < 0.5,
            "sendCap": rng.choice((1, 2, 3, 6)),
            "maxOpen": rng.randint(4, 12) if crowd else 500,
            "keepaliveMs": rng.choice((300.0, 2000.0, 15000.0)),
            "connectTimeoutMs": 250.0,
        },
        "rules": {"drainGraceMs": rng.choice((300.0, 500.0, 2000.0)), "answerSlackMs": 20.0},
        "tickMs": rng.choice((1.0, 5.0, 20.0)),
        "familyInfo": {
            "caps": list(ROLLOUT_STAGES),
            "stageShare": list(ROLLOUT_STAGES),
            "apiTimeoutMs": 300.0,
            "windowMs": rng.choice((1000.0, 4000.0)),
            "allowance": 2.0,
            "callsPerS": 200.0,
            "voteLifeMs": 10000.0,
        },
        "loadReport": {"names": ["pending"], "source": rng.choice(("answers", "none"))},
    }
    return Customer(settings, rng.choice((80, 120)) if crowd else 512, 192.0)


def _draw_class(rng: random.Random, number: int, deadlines: tuple[float, ...]) -> dict[str, Any]:
    deadline = rng.choice(deadlines)
    effect = rng.choice(tuple(EFFECT_NAMES))
    drawn: dict[str, Any] = {
        "name": f"class-{number}",
        "effect": effect,
        "deadlineMs": deadline,
        "onTimeMs": deadline * rng.choice((0.3, 1.0)),
        "lateWorth": rng.choice((0.0, 0.2)),
    }
    if effect == "deduplicated":
        drawn |= {"dedupScope": rng.choice(SCOPES), "repeatWindowMs": rng.choice((500.0, 5000.0))}
    return drawn


def audit_service(customer: Customer) -> Service:
    """Return the settings in the form that the auditor reads, with what the protocol page grants beyond them."""
    settings, rollout, rules = customer.settings, customer.settings["familyInfo"], customer.settings["rules"]
    classes = "".join(_class_block(cls) for cls in customer.classes)
    stages = "".join(
        f'  stage {{\n    share = "{share:.0%}"\n    cap = "{min(cap + EXTRA_CAP_SHARE, 1.0):.0%}"\n  }}\n'
        for share, cap in zip(rollout["stageShare"], rollout["caps"], strict=True)
    )
    zones = ", ".join(f'"{zone}"' for zone in settings["localities"] or ["only"])
    return parse_service(
        f"zones = [{zones}]\n"
        f'agent {{\n  zone = "{(settings["localities"] or ["only"])[0]}"\n  listen = "127.0.0.1:0"\n}}\n'
        f"{classes}"
        'rules {\n  cold = "4s"\n  start_capacity = "40%"\n  fall_multiple = 3\n  fall = "2s"\n'
        f'  drain_grace = "{rules["drainGraceMs"]:.0f}ms"\n}}\n'
        f'rollout {{\n  bake = "1s"\n  vote_life = "{rollout["voteLifeMs"]:.0f}ms"\n'
        f'  window = "{rollout["windowMs"]:.0f}ms"\n  free = {rollout["allowance"] + EXTRA_CAP_ATTEMPTS:g}\n'
        f"{stages}}}\n"
        'feeds {\n  fleet = "http://127.0.0.1:9"\n  desk = "http://127.0.0.1:9"\n}\n',
        "soak",
    )


def _class_block(cls: dict[str, Any]) -> str:
    keyed = ""
    if cls["effect"] == "deduplicated":
        keyed = f'  scope = "{cls["dedupScope"]}"\n  repeat_window = "{cls["repeatWindowMs"]:.0f}ms"\n'
    return (
        f'class "{cls["name"]}" {{\n  effect = "{EFFECT_NAMES[cls["effect"]]}"\n{keyed}'
        f'  aim = "{cls["onTimeMs"]:.0f}ms"\n  deadline = "{cls["deadlineMs"]:.0f}ms"\n}}\n'
    )
