"""Plays a day and summarises it: answers, violations, stages, latencies."""

from __future__ import annotations

import secrets
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from otterquay.config.schema import Service
from otterquay.lab.auditor import Auditor, Report
from otterquay.lab.day import Day
from otterquay.lab.hosts import AgentHost, AgentPlacement, AgentProcess, InProcessAgent
from otterquay.lab.world import World
from otterquay.standins import tape as tp

QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Result:
    """The result of a day; `summary` is the object that `--json` prints."""

    tape: tp.Tape
    report: Report
    latency: dict[str, HdrHistogram] = field(default_factory=dict)

    def summary(self) -> dict[str, Any]:
        """Each retry of a client is a request; latencies are of whole operations, from their first due time."""
        answers: Counter[str] = Counter()
        ops: set[str] = set()
        served: set[str] = set()
        op_by_request: dict[str, str] = {}
        stages: list[dict[str, Any]] = []
        started_at = self.tape.crossings[0].at if self.tape.crossings else 0.0
        for c in self.tape.crossings:
            match c:
                case tp.Asked():
                    ops.add(c.op)
                    op_by_request[c.id] = c.op
                case tp.Answered():
                    answers[c.kind] += 1
                    if c.kind == "served" and c.right:
                        served.add(op_by_request[c.id])
                case tp.Left():
                    answers["left"] += 1
                case tp.Lost():
                    answers["lost"] += 1
                case tp.Moved():
                    stages.append(
                        {
                            "at_s": round(c.at - started_at, 2),
                            "build": c.build,
                            "stage": c.stage,
                            "phase": c.phase,
                            "cap": c.cap,
                        }
                    )
        return {
            "requests": len(op_by_request),
            "operations": len(ops),
            "operations_served": len(served),
            "answers": dict(sorted(answers.items())),
            "violations": {rule: len(found) for rule, found in self.report.violations.items()},
            "checked": self.report.checked,
            "stages": stages,
            "latency_ms": {
                cls: {f"p{q:g}": h.get_value_at_percentile(q) / 1e3 for q in QUANTILES}
                for cls, h in sorted(self.latency.items())
            },
        }


async def play(
    day: Day,
    service: Service,
    seed: int,
    make_host: Callable[[AgentPlacement], AgentHost],
    log: Callable[[str], None] = lambda text: None,
    tolerance_s: float = 0.25,
) -> Result:
    """Play a day with agents from `make_host`; the result contains the auditor's report.

    `tolerance_s` is the error of recorded times that the auditor allows: small on simulated time.
    """
    latency: dict[str, HdrHistogram] = {}

    def record(cls: str, seconds: float) -> None:
        histogram = latency.setdefault(cls, HdrHistogram(1, 60_000_000, 3))
        histogram.record_value(max(1, int(seconds * 1e6)))

    world = World(day, service, seed, make_host, log)
    world.record_latency = record
    await world.run()
    return Result(world.tape, Auditor(world.tape, service, tolerance_s).judge(), latency)


def in_process_agents(service: Service, **overrides: Any) -> Callable[[AgentPlacement], AgentHost]:
    """A factory of agents in this process."""
    key = secrets.token_bytes(32)
    return lambda place: InProcessAgent(service, place, key, **overrides)


def process_agents(settings: Path, folder: Path) -> Callable[[AgentPlacement], AgentHost]:
    """A factory of agents in separate processes; their logs, stores and key are in `folder`."""
    key_file = folder / "peer.key"
    key_file.write_text(secrets.token_hex(32))
    key_file.chmod(0o600)
    return lambda place: AgentProcess(settings, place, key_file, folder)


async def play_with_processes(
    day: Day,
    service: Service,
    settings: Path,
    seed: int,
    folder: Path | None,
    log: Callable[[str], None] = lambda text: None,
) -> Result:
    """Play a day with one process per agent, as users run them."""
    with tempfile.TemporaryDirectory(prefix="otterquay-") as scratch:
        output = folder or Path(scratch)
        output.mkdir(parents=True, exist_ok=True)
        result = await play(day, service, seed, process_agents(settings, output), log)
        if folder:
            (folder / "tape.jsonl").write_bytes(result.tape.dump())
            lines = [f"{rule}: {text}" for rule, texts in result.report.violations.items() for text in texts]
            (folder / "violations.txt").write_text("".join(line + "\n" for line in lines))
        return result
