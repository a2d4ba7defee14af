"""Evaluates the run-time model on random fleets with known true run times, against simple baselines.

Fleets have held-out machine kinds, agents that report false data, timeouts and slow builds. The true run times do
not follow the model: families differ by a random factor, kinds by a random power of their clock and an effect of
their own, each class reacts differently to each kind, and single times have a heavy tail.
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
    """A random fleet; `truth` is the log median by class and kind, `held_out` lists kinds without measurements."""

    machines: dict[str, Machine]
    truth: dict[tuple[str, str], float]
    family_of: dict[str, str]
    family: dict[str, float]
    base: dict[str, float]
    held_out: list[str]
    seen: list[str]
    rows: Rows = field(default_factory=Rows)
    order: list[str] = field(default_factory=list)  # kinds in the order in which they were first seen


def draw_fleet(
    seed: int,
    agents: int = 10,
    liars: int = 0,
    cut_at: float | None = None,
    trial: float | None = None,
) -> Fleet:
    """Generate a random fleet with measurements.

    `liars` is the number of agents that report false rows, `cut_at` a timeout as a multiple of the median, and
    `trial` the factor by which a build on trial, on some servers, is slower.
    """
    rng = random.Random(seed)
    families = [f"f{i}" for i in range(rng.randint(3, 5))]
    family = {f: rng.gauss(0, 0.35) for f in families}
    clock_exponent = rng.uniform(-1.1, -0.5)
    machines: dict[str, Machine] = {}
    truth: dict[tuple[str, str], float] = {}
    family_of: dict[str, str] = {}
    base = {c: math.log(rng.uniform(20, 200)) for c in ("read", "join", "entry")}
    for f in families:
        for i in range(rng.randint(3, 5)):
            kind, clock = f"{f}-{i}", rng.uniform(1.8, 4.2)
            kind_effect = rng.gauss(0, 0.10)
            machines[kind] = Machine(f, (float(rng.choice([2, 4, 8])), clock, float(rng.choice([8, 16, 32]))))
            family_of[kind] = f
            for cls, mean in base.items():
                truth[cls, kind] = (
                    mean + family[f] + clock_exponent * math.log(clock / 3) + kind_effect + rng.gauss(0, 0.06)
                )
    kinds = sorted(machines)
    held_out = rng.sample(kinds, max(len(kinds) // 4, 2))
    seen = [k for k in kinds if k not in held_out]
    fleet = Fleet(machines, truth, family_of, family, base, held_out, seen)
    server = 0
    for kind in rng.sample(seen, len(seen)):
        fleet.order.append(kind)
        for _ in range(rng.randint(1, 4)):
            server += 1
            server_effect = rng.gauss(0, 0.04)
            on_trial = trial is not None and rng.random() < 0.3
            for agent in range(agents):
                for cls in base:
                    key = Key(agent, 1, 0, cls, kind, server, 2 if on_trial else 1)
                    for _ in range(rng.randint(2, 8)):
                        tail = rng.expovariate(1.5) if rng.random() < 0.05 else 0.0
                        log_time = truth[cls, kind] + server_effect + rng.gauss(0, 0.35) + tail
                        log_time += math.log(trial) if on_trial and trial else 0.0
                        timed_out = cut_at is not None and log_time > truth[cls, kind] + math.log(cut_at)
                        if timed_out and cut_at is not None:
                            log_time = truth[cls, kind] + math.log(cut_at)
                        fleet.rows.record(key, math.exp(log_time), alone=True, timed_out=timed_out)
                    if rng.random() < 0.5:  # queued behind others: only an upper bound
                        upper_bound = truth[cls, kind] + rng.uniform(0.5, 2)
                        fleet.rows.record(key, math.exp(upper_bound), alone=False, timed_out=False)
    for agent in range(agents - liars, agents):
        for key, row in list(fleet.rows.rows.items()):
            if key.agent == agent:
                fleet.rows.rows[key] = Row(row.version, {rng.randrange(96): 2**32 - 1})
    return fleet


def estimates(fleet: Fleet) -> dict[tuple[str, str], tuple[float, float, float]]:
    """The model's log median and interval bounds by class and kind, where known."""
    model, _ = fit(list(fleet.rows.rows.items()), fleet.machines, 0)
    found = {}
    for cls, kind in fleet.truth:
        estimate = model.estimate(cls, kind)
        if estimate.known:
            found[cls, kind] = (math.log(estimate.median), math.log(estimate.low), math.log(estimate.high))
    return found


def baselines(fleet: Fleet) -> dict[str, Callable[[str, str], float]]:
    """Simple predictors: class mean, nearest kind by clock, kind seen last, oracle that knows the families."""

    def seen(cls: str, kind: str) -> float:
        return fleet.truth[cls, kind]

    def mean(cls: str, kind: str) -> float:
        return sum(seen(cls, k) for k in fleet.seen) / len(fleet.seen)

    def nearest(cls: str, kind: str) -> float:
        clock = fleet.machines[kind].specs[1] or 0.0
        return seen(cls, min(fleet.seen, key=lambda k: abs((fleet.machines[k].specs[1] or 0.0) - clock)))

    def last(cls: str, kind: str) -> float:
        return seen(cls, fleet.order[-1])

    def oracle(cls: str, kind: str) -> float:
        same_family = [k for k in fleet.seen if fleet.family_of[k] == fleet.family_of[kind]]
        return sum(seen(cls, k) for k in same_family) / len(same_family) if same_family else mean(cls, kind)

    return {"class mean": mean, "nearest kind": nearest, "last seen": last, "true family's mean": oracle}


@dataclass(slots=True)
class Score:
    """Mean error of the log median on held-out kinds by method, and coverage of the 90% interval."""

    errors: dict[str, float]
    interval_coverage: float
    coverage_seen: float
    answers: int
    unknown: int


def score(seeds: range, **options: float) -> Score:
    """Score the model and the baselines over random fleets."""
    errors: dict[str, list[float]] = defaultdict(list)
    covered, covered_seen, unknown = [], [], 0
    for seed in seeds:
        fleet = draw_fleet(seed, **options)  # type: ignore[arg-type]
        estimated = estimates(fleet)
        methods = baselines(fleet)
        for (cls, kind), truth in fleet.truth.items():
            estimate = estimated.get((cls, kind))
            if kind not in fleet.held_out:
                if estimate:
                    covered_seen.append(estimate[1] <= truth <= estimate[2])
                continue
            if estimate is None:
                unknown += 1
                continue
            errors["model"].append(abs(estimate[0] - truth))
            covered.append(estimate[1] <= truth <= estimate[2])
            for name, method in methods.items():
                errors[name].append(abs(method(cls, kind) - truth))
    means = {name: sum(e) / len(e) for name, e in errors.items()}
    return Score(means, sum(covered) / len(covered), sum(covered_seen) / len(covered_seen), len(covered), unknown)
