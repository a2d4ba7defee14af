"""Hunts for days that break a rule: faults drawn by seed, played on simulated time; failing days are shrunk.

Which faults run together is drawn first (swarm testing, Groce et al. 2012): a day with a few kinds goes deeper
than one with all of them. No I/O: a day becomes text that its caller writes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, get_args

from otterquay.config.schema import Service
from otterquay.lab.day import Day, FaultKind, FaultPlan
from otterquay.lab.sim import play_simulated
from otterquay.lab.simloop import NoProgressError

KINDS: tuple[str, ...] = get_args(FaultKind)
ZONES = {"zone_cut": 2, "one_way": 2, "link_reset": 2, "link_slow": 2, "zone_loss": 1}
FACTORS = {
    "burst": (1.2, 4.0),
    "slow_servers": (2.0, 20.0),
    "link_slow": (5.0, 400.0),
    "list_late": (0.3, 5.0),
    "shared_slow": (1.2, 4.0),
}
HEAVY = 1.5  # spread of the logarithm of agents' shares of the traffic


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What became of one seed; `broken` holds violations in words, by rule, and errors of the program."""

    seed: int
    broken: dict[str, list[str]]
    served: float
    digest: str
    faults: tuple[str, ...]

    @property
    def is_failure(self) -> bool:
        """Whether a rule was broken or the program failed."""
        return bool(self.broken)


def draw_faults(day: Day, service: Service, seed: int, most: int = 6) -> Day:
    """The day with other faults: up to `most` of a few kinds, at any time, overlapping."""
    rng = random.Random(seed)
    kinds = rng.sample(KINDS, rng.randint(1, 5))
    faults: list[FaultPlan] = []
    for _ in range(rng.randint(1, most)):
        kind = rng.choice(kinds)
        low, high = FACTORS.get(kind, (2.0, 2.0))
        zones = ZONES.get(kind, 0)
        if zones > len(service.zones):
            continue
        faults.append(
            FaultPlan.model_construct(
                kind=kind,
                at=round(rng.uniform(0, 0.8 * day.duration)),
                lasts=round(200 * 40 ** rng.random()),
                zones=rng.sample(list(service.zones), zones),
                agent=rng.randrange(len(day.agents.zones)),
                count=rng.randint(1, day.fleet.machines),
                factor=round(low * (high / low) ** rng.random(), 2),
                share=round(rng.uniform(0.05, 0.9), 2),
            )
        )
    return day.model_copy(update={"fault": faults})


def with_agents(day: Day, service: Service, agents: int, rng: random.Random) -> Day:
    """The day with so many agents, over all zones, whose shares of the traffic have a heavy tail."""
    zones = [service.zones[i % len(service.zones)] for i in range(agents)]
    weights = [round(rng.lognormvariate(0, HEAVY), 4) for _ in range(agents)]
    plan = day.agents.model_copy(update={"zones": zones, "weights": weights})
    return day.model_copy(update={"agents": plan})


def play_day(day: Day, service: Service, seed: int) -> SearchResult:
    """Play a day and tell what broke."""
    faults = tuple(f.kind for f in day.fault)
    try:
        played = play_simulated(day, service, seed)
    except NoProgressError as stuck:
        return SearchResult(seed, {"program": [f"the run does not end: {stuck}"]}, 0.0, "", faults)
    except Exception as error:  # a failing stand-in must not end the hunt
        return SearchResult(seed, {"program": [f"{type(error).__name__}: {error}"]}, 0.0, "", faults)
    summary = played.summary()
    broken = {rule: texts[:5] for rule, texts in played.result.report.violations.items() if texts}
    if played.program_errors:
        broken["program"] = played.program_errors[:5]
    return SearchResult(
        seed, broken, summary["operations_served"] / max(summary["operations"], 1), played.digest, faults
    )


def shrink(
    day: Day, service: Service, seed: int, said: Callable[[str], None] = lambda text: None, tries: int = 60
) -> Day:
    """A smaller day that breaks one of the same rules with the same seed: fewer faults and builds, shorter."""
    wanted = set(play_day(day, service, seed).broken)

    def still(smaller: Day) -> bool:
        nonlocal tries
        tries -= 1
        return tries >= 0 and bool(wanted & set(play_day(smaller, service, seed).broken))

    changed = True
    while changed and tries > 0:
        changed = False
        for i in range(len(day.fault) - 1, -1, -1):
            smaller = day.model_copy(update={"fault": day.fault[:i] + day.fault[i + 1 :]})
            if still(smaller):
                day, changed = smaller, True
                said(f"without {len(day.fault)} faults left")
        for name in list(day.build):
            smaller = day.model_copy(update={"build": {k: v for k, v in day.build.items() if k != name}})
            if still(smaller):
                day, changed = smaller, True
                said(f"without build {name}")
        for part in (0.5, 0.75, 0.9):
            smaller = day.model_copy(update={"duration": round(day.duration * part)})
            if smaller.duration >= 1000 and still(smaller):
                day, changed = smaller, True
                said(f"{day.duration / 1e3:g} s long")
                break
        for i, fault in enumerate(day.fault):
            shorter = fault.model_copy(update={"lasts": round(fault.lasts / 2)})
            smaller = day.model_copy(update={"fault": [*day.fault[:i], shorter, *day.fault[i + 1 :]]})
            if fault.lasts >= 400 and still(smaller):
                day, changed = smaller, True
    return day


# --- a day as text ---
_DURATIONS = {
    "duration",
    "handshake",
    "list_lag",
    "desk_lag",
    "start",
    "backoff",
    "work_least",
    "work_most",
    "at",
    "lasts",
    "after",
}
_SHARES = {"share", "patience_least", "busy"}


def _value(name: str, value: Any) -> str:
    if name in _DURATIONS:
        return f'"{value:g}ms"'
    if name in _SHARES:
        return f'"{value * 100:g}%"'
    if isinstance(value, list):
        return "[" + ", ".join(_value("", one) for one in value) + "]"
    return f'"{value}"' if isinstance(value, str) else f"{value:g}"


def _fields(block: Any, skip: set[str], indent: str) -> list[str]:
    return [
        f"{indent}{name} = {_value(name, getattr(block, name))}"
        for name in type(block).model_fields
        if name not in skip and getattr(block, name) not in ([], "")
    ]


def day_text(day: Day, service: str, note: str = "") -> str:
    """A day as HCL that `load_day` reads; `service` is the path that it names."""
    lines = [f"# {line}" for line in note.splitlines()]
    lines += [f'service = "{service}"', f'duration = "{day.duration:g}ms"']
    for name in ("fleet", "agents"):
        lines += [f"{name} {{", *_fields(getattr(day, name), set(), "  "), "}"]
    lines += ["traffic {", *_fields(day.traffic, {"class_"}, "  ")]
    for name, plan in day.traffic.class_.items():
        lines += [f'  class "{name}" {{', *_fields(plan, set(), "    "), "  }"]
    lines.append("}")
    for name, build in day.build.items():
        lines += [f'build "{name}" {{', *_fields(build, set(), "  "), "}"]
    for fault in day.fault:
        lines += ["fault {", *_fields(fault, set(), "  "), "}"]
    return "\n".join(lines) + "\n"
