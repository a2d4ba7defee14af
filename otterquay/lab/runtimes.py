"""Run times on drawn fleets with a hidden truth: held-out kinds, liars, time-outs, slow builds, baselines.

The truth is not the model's: families differ by a drawn factor, kinds by their clock to a drawn power and a rest of
their own, classes react differently to each kind, and single times have a heavy tail.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay.runtimes.machine import Machine
from otterquay.runtimes.model import fit
from otterquay.runtimes.rows import Key, Row, Rows


@dataclass(slots=True)
class Fleet:
    """A drawn fleet: `truth` is the log of the median by class and kind; `held` are kinds that nobody has seen."""

    machines: dict[str, Machine]
    truth: dict[tuple[str, str], float]
    family_of: dict[str, str]
    family: dict[str, float]
    base: dict[str, float]
    held: list[str]
    seen: list[str]
    rows: Rows = field(default_factory=Rows)
    order: list[str] = field(default_factory=list)  # kinds as they were first seen


def draw_fleet(
    seed: int,
    agents: int = 10,
    liars: int = 0,
    cut_at: float | None = None,
    trial: float | None = None,
) -> Fleet:
    """`cut_at`: attempts are given up at so many medians; `trial`: a slow build's factor, on some servers."""
    rng = random.Random(seed)
    families = [f"f{i}" for i in range(rng.randint(3, 5))]
    family = {f: rng.gauss(0, 0.35) for f in families}
    power = rng.uniform(-1.1, -0.5)
    machines: dict[str, Machine] = {}
    truth: dict[tuple[str, str], float] = {}
    family_of: dict[str, str] = {}
    base = {c: math.log(rng.uniform(20, 200)) for c in ("read", "join", "entry")}
    for f in families:
        for i in range(rng.randint(3, 5)):
            kind, clock = f"{f}-{i}", rng.uniform(1.8, 4.2)
            own = rng.gauss(0, 0.10)
            machines[kind] = Machine(f, (float(rng.choice([2, 4, 8])), clock, float(rng.choice([8, 16, 32]))))
            family_of[kind] = f
            for cls, mean in base.items():
                truth[cls, kind] = mean + family[f] + power * math.log(clock / 3) + own + rng.gauss(0, 0.06)
    kinds = sorted(machines)
    held = rng.sample(kinds, max(len(kinds) // 4, 2))
    seen = [k for k in kinds if k not in held]
    fleet = Fleet(machines, truth, family_of, family, base, held, seen)
    server = 0
    for kind in rng.sample(seen, len(seen)):
        fleet.order.append(kind)
        for _ in range(rng.randint(1, 4)):
            server += 1
            off = rng.gauss(0, 0.04)
            slow = trial is not None and rng.random() < 0.3
            for agent in range(agents):
                for cls in base:
                    key = Key(agent, 1, 0, cls, kind, server, 2 if slow else 1)
                    for _ in range(rng.randint(2, 8)):
                        tail = rng.expovariate(1.5) if rng.random() < 0.05 else 0.0
                        y = truth[cls, kind] + off + rng.gauss(0, 0.35) + tail
                        y += math.log(trial) if slow and trial else 0.0
                        late = cut_at is not None and y > truth[cls, kind] + math.log(cut_at)
                        if late and cut_at is not None:
                            y = truth[cls, kind] + math.log(cut_at)
                        fleet.rows.note(key, math.exp(y), alone=True, late=late)
                    if rng.random() < 0.5:  # queued: at most so long
                        waited = truth[cls, kind] + rng.uniform(0.5, 2)
                        fleet.rows.note(key, math.exp(waited), alone=False, late=False)
    for agent in range(agents - liars, agents):
        for key, row in list(fleet.rows.rows.items()):
            if key.agent == agent:
                fleet.rows.rows[key] = Row(row.version, {rng.randrange(96): 2**32 - 1})
    return fleet


def estimates(fleet: Fleet) -> dict[tuple[str, str], tuple[float, float, float]]:
    """Log median, low and high by class and kind, where known."""
    model, _ = fit(list(fleet.rows.rows.items()), fleet.machines, 0)
    found = {}
    for cls, kind in fleet.truth:
        one = model.estimate(cls, kind)
        if one.known:
            found[cls, kind] = (math.log(one.median), math.log(one.low), math.log(one.high))
    return found


def baselines(fleet: Fleet) -> dict[str, Callable[[str, str], float]]:
    """What an operator would take: the class's mean, the nearest kind by clock, the kind seen last, an oracle."""

    def seen(cls: str, kind: str) -> float:
        return fleet.truth[cls, kind]

    def mean(cls: str, kind: str) -> float:
        return sum(seen(cls, k) for k in fleet.seen) / len(fleet.seen)

    def nearest(cls: str, kind: str) -> float:
        clock = fleet.machines[kind].figures[1] or 0.0
        return seen(cls, min(fleet.seen, key=lambda k: abs((fleet.machines[k].figures[1] or 0.0) - clock)))

    def last(cls: str, kind: str) -> float:
        return seen(cls, fleet.order[-1])

    def oracle(cls: str, kind: str) -> float:
        alike = [k for k in fleet.seen if fleet.family_of[k] == fleet.family_of[kind]]
        return sum(seen(cls, k) for k in alike) / len(alike) if alike else mean(cls, kind)

    return {"class mean": mean, "nearest kind": nearest, "last seen": last, "true family's mean": oracle}


@dataclass(slots=True)
class Score:
    """Mean error of the log median on held-out kinds by method, and how often the 90% interval holds."""

    errors: dict[str, float]
    interval_coverage: float
    inside_seen: float
    answers: int
    unknown: int


def score(seeds: range, **how: float) -> Score:
    """Over drawn fleets."""
    errors: dict[str, list[float]] = defaultdict(list)
    inside, inside_seen, unknown = [], [], 0
    for seed in seeds:
        fleet = draw_fleet(seed, **how)  # type: ignore[arg-type]
        told = estimates(fleet)
        methods = baselines(fleet)
        for (cls, kind), truth in fleet.truth.items():
            one = told.get((cls, kind))
            if kind not in fleet.held:
                if one:
                    inside_seen.append(one[1] <= truth <= one[2])
                continue
            if one is None:
                unknown += 1
                continue
            errors["model"].append(abs(one[0] - truth))
            inside.append(one[1] <= truth <= one[2])
            for name, method in methods.items():
                errors[name].append(abs(method(cls, kind) - truth))
    means = {name: sum(e) / len(e) for name, e in errors.items()}
    return Score(means, sum(inside) / len(inside), sum(inside_seen) / len(inside_seen), len(inside), unknown)
