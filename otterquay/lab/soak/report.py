"""Plays the days of a range of seeds and reports the counts: progress, a table, or one JSON object."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TextIO

from otterquay.lab.soak.day import play
from otterquay.lab.soak.judge import COUNTS, Findings, judge
from otterquay.lab.soak.outage_script import draw_outage_script
from otterquay.lab.soak.script import LAST_SEED, Script, draw_script
from otterquay.lab.soak.standstill_script import draw_standstill_script

SHOWN_FINDINGS = 5  # of a count and day
DRAWS: dict[str, Callable[[int], Script]] = {
    "usual": draw_script,
    "standstill": draw_standstill_script,
    "outage": draw_outage_script,
}


@dataclass
class Totals:
    """The counts over all days."""

    runs: int = 0
    requests: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    failed_seeds: list[int] = field(default_factory=list)
    findings: dict[int, Findings] = field(default_factory=dict)  # by seed

    def add(self, seed: int, findings: Findings) -> None:
        """Add one day."""
        self.runs += 1
        self.findings[seed] = findings
        self.requests += findings.requests
        for count, found in findings.found.items():
            self.counts[count] += len(found)
        if findings.failed:
            self.failed_seeds.append(seed)

    def as_json(self) -> str:
        """One JSON object on one line."""
        counts = {count: self.counts[count] for count in COUNTS}
        return json.dumps(
            {"runs": self.runs, "requests": self.requests, **counts, "failed_seeds": self.failed_seeds}
        )

    def table(self) -> str:
        """One line a count."""
        rows = {"runs": self.runs, "requests": self.requests, **{count: self.counts[count] for count in COUNTS}}
        lines = [f"{name:<16}{number:>10}" for name, number in rows.items()]
        return "\n".join([*lines, f"{'failed seeds':<16}{' '.join(map(str, self.failed_seeds)) or '-':>10}"])


def seed_range(first: int, count: int) -> range:
    """The seeds `first` and on, `count` of them; ValueError if there are none or they pass LAST_SEED."""
    if count < 1:
        raise ValueError(f"--seeds {count}: at least 1")
    if first < 0 or first + count - 1 > LAST_SEED:
        raise ValueError(f"--first {first} --seeds {count}: seeds are 0 to {LAST_SEED}")
    return range(first, first + count)


def soak(
    seeds: Iterable[int], progress: TextIO, timed: bool = True, draw: Callable[[int], Script] = draw_script
) -> Totals:
    """Play and judge the days of these seeds, one after another; a day that failed prints its script."""
    totals = Totals()
    for seed in seeds:
        script = draw(seed)
        recording = asyncio.run(play(script, timed))
        findings = judge(recording)
        totals.add(seed, findings)
        answers = ", ".join(f"{number} {kind}" for kind, number in sorted(findings.answers.items()))
        verdict = "FAILED" if findings.failed else "passed"
        stall = f"longest stall {recording.longest_stall_s * 1e3:.0f} ms"
        print(
            f"seed {seed}: {verdict}, {findings.requests} requests: {answers}; {stall}", file=progress, flush=True
        )
        if findings.failed:
            print("\n".join(["", *script.lines(), *_finding_lines(findings), ""]), file=progress, flush=True)
    return totals


def _finding_lines(findings: Findings) -> list[str]:
    lines = []
    for count, found in findings.found.items():
        lines += [f"{count}: {words}" for words in found[:SHOWN_FINDINGS]]
        if len(found) > SHOWN_FINDINGS:
            lines.append(f"{count}: and {len(found) - SHOWN_FINDINGS} more")
    return lines


def run_command(first: int, count: int, as_json: bool, days: str = "usual") -> int:
    """Run the command; returns its exit code: 0, 1 if a count is not zero, 2 for a range that is none."""
    try:
        seeds = seed_range(first, count)
    except ValueError as error:
        print(f"soak: {error}", file=sys.stderr)
        return 2
    totals = soak(seeds, sys.stderr, draw=DRAWS[days])
    print(totals.as_json() if as_json else totals.table())
    return 1 if totals.failed_seeds else 0
