"""Searches for days that violate a rule: plays random faults on simulated time and reduces failing days.

Each day uses a random subset of the fault kinds (swarm testing, Groce et al. 2012), which explores more deeply than
all of them at once. This module does no I/O: it formats days as text that the caller writes.
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

FAULT_KINDS: tuple[str, ...] = get_args(FaultKind)
ZONE_COUNTS = {"zone_cut": 2, "one_way": 2, "link_reset": 2, "link_slow": 2, "zone_loss": 1}
# Range of `FaultPlan.factor` by kind of fault, in the unit that is described there.
FACTOR_RANGES = {
    "burst": (1.2, 4.0),
    "slow_servers": (2.0, 20.0),
    "link_slow": (5.0, 400.0),
    "list_late": (0.3, 5.0),
    "shared_slow": (1.2, 4.0),
}
AGENT_SHARE_SIGMA = 1.5  # standard deviation of the logarithm of the agents' traffic shares


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result for one seed; `broken` holds descriptions of violations by rule, and of program errors."""

    seed: int
    broken: dict[str, list[str]]
    served: float
    digest: str
    faults: tuple[str, ...]

    @property
    def is_failure(self) -> bool:
        """Whether a rule was violated or the program failed."""
        return bool(self.broken)


def draw_faults(day: Day, service: Service, seed: int, max_faults: int = 6) -> Day:
    """The day with random faults instead of its own: up to `max_faults` of a few kinds, which may overlap."""
    rng = random.Random(seed)
    kinds = rng.sample(FAULT_KINDS, rng.randint(1, 5))
    faults: list[FaultPlan] = []
    for _ in range(rng.randint(1, max_faults)):
        kind = rng.choice(kinds)
        low, high = FACTOR_RANGES.get(kind, (2.0, 2.0))
        zone_count = ZONE_COUNTS.get(kind, 0)
        if zone_count > len(service.zones):
            continue
        faults.append(
            FaultPlan.model_construct(
                kind=kind,
                at=round(rng.uniform(0, 0.8 * day.duration)),
                lasts=round(200 * 40 ** rng.random()),
                zones=rng.sample(list(service.zones), zone_count),
                agent=rng.randrange(len(day.agents.zones)),
                count=rng.randint(1, day.fleet.machines),
                factor=round(low * (high / low) ** rng.random(), 2),
                share=round(rng.uniform(0.05, 0.9), 2),
            )
        )
    return day.model_copy(update={"fault": faults})


def with_agents(day: Day, service: Service, agents: int, rng: random.Random) -> Day:
    """The day with this number of agents over all zones; their traffic shares have a heavy tail."""
    zones = [service.zones[i % len(service.zones)] for i in range(agents)]
    weights = [round(rng.lognormvariate(0, AGENT_SHARE_SIGMA), 4) for _ in range(agents)]
    plan = day.agents.model_copy(update={"zones": zones, "weights": weights})
    return day.model_copy(update={"agents": plan})


def play_day(day: Day, service: Service, seed: int) -> SearchResult:
    """Play a day and return its violations and errors."""
    faults = tuple(f.kind for f in day.fault)
    try:
        played = play_simulated(day, service, seed)
    except NoProgressError as error:
        return SearchResult(seed, {"program": [f"the run cannot finish: {error}"]}, 0.0, "", faults)
    except Exception as error:  # an error in a stand-in must not end the search
        return SearchResult(seed, {"program": [f"{type(error).__name__}: {error}"]}, 0.0, "", faults)
    summary = played.summary()
    broken = {rule: texts[:5] for rule, texts in played.result.report.violations.items() if texts}
    if played.program_errors:
        broken["program"] = played.program_errors[:5]
    return SearchResult(
        seed, broken, summary["operations_served"] / max(summary["operations"], 1), played.digest, faults
    )


def shrink(
    day: Day, service: Service, seed: int, log: Callable[[str], None] = lambda text: None, tries: int = 60
) -> Day:
    """Reduce a day (faults, builds, length) while the same seed still violates one of the same rules."""
    violated = set(play_day(day, service, seed).broken)

    def still_fails(smaller: Day) -> bool:
        nonlocal tries
        tries -= 1
        return tries >= 0 and bool(violated & set(play_day(smaller, service, seed).broken))

    changed = True
    while changed and tries > 0:
        changed = False
        for i in range(len(day.fault) - 1, -1, -1):
            smaller = day.model_copy(update={"fault": day.fault[:i] + day.fault[i + 1 :]})
            if still_fails(smaller):
                day, changed = smaller, True
                log(f"{len(day.fault)} faults left")
        for name in list(day.build):
            smaller = day.model_copy(update={"build": {k: v for k, v in day.build.items() if k != name}})
            if still_fails(smaller):
                day, changed = smaller, True
                log(f"without build {name}")
        for part in (0.5, 0.75, 0.9):
            smaller = day.model_copy(update={"duration": round(day.duration * part)})
            if smaller.duration >= 1000 and still_fails(smaller):
                day, changed = smaller, True
                log(f"{day.duration / 1e3:g} s long")
                break
        for i, fault in enumerate(day.fault):
            shorter = fault.model_copy(update={"lasts": round(fault.lasts / 2)})
            smaller = day.model_copy(update={"fault": [*day.fault[:i], shorter, *day.fault[i + 1 :]]})
            if fault.lasts >= 400 and still_fails(smaller):
                day, changed = smaller, True
    return day


# --- formatting of days ---
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


def _format_value(name: str, value: Any) -> str:
    if name in _DURATIONS:
        return f'"{value:g}ms"'
    if name in _SHARES:
        return f'"{value * 100:g}%"'
    if isinstance(value, list):
        return "[" + ", ".join(_format_value("", item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else f"{value:g}"


def _format_fields(block: Any, skip: set[str], indent: str) -> list[str]:
    return [
        f"{indent}{name} = {_format_value(name, getattr(block, name))}"
        for name in type(block).model_fields
        if name not in skip and getattr(block, name) not in ([], "")
    ]


def day_text(day: Day, service: str, note: str = "") -> str:
    """Format a day as HCL for `load_day`; `service` is the path of its settings."""
    lines = [f"# {line}" for line in note.splitlines()]
    lines += [f'service = "{service}"', f'duration = "{day.duration:g}ms"']
    for name in ("fleet", "agents"):
        lines += [f"{name} {{", *_format_fields(getattr(day, name), set(), "  "), "}"]
    lines += ["traffic {", *_format_fields(day.traffic, {"class_"}, "  ")]
    for name, plan in day.traffic.class_.items():
        lines += [f'  class "{name}" {{', *_format_fields(plan, set(), "    "), "  }"]
    lines.append("}")
    for name, build in day.build.items():
        lines += [f'build "{name}" {{', *_format_fields(build, set(), "  "), "}"]
    for fault in day.fault:
        lines += ["fault {", *_format_fields(fault, set(), "  "), "}"]
    return "\n".join(lines) + "\n"
