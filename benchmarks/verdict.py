"""What one verdict on a new build costs, and what it grows with: servers, and agents told of.

    python benchmarks/verdict.py [--rounds 15] [--out FILE]

One agent of the decision module, driven by hand: a fleet of which a tenth runs the build on trial, all servers with
series, evidence in every pool. Each figure is CPU time of this process, the median of rounds taken in turn at all
sizes, so that ratios hold where the machine's speed does not. Beside it stands the work in bytecode instructions,
which is the same on every run; `tests/test_work.py` holds its growth.
"""

from __future__ import annotations

import json
import math
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from statistics import median
from types import FrameType
from typing import Any

import click

from otterquay import interface as it
from otterquay.policy.agent import Agent

NOW = 1e6


def settings(agents: int, me: int = 0) -> it.Settings:
    """A deployment with two classes, peers and tallies."""
    classes = tuple(
        it.RequestClass(name, effect, it.Scope.ALL, 5000.0, 1000.0, 0.0, 3000.0, 1.0, 0.2, False)
        for name, effect in (("read", it.Effect.SAFE), ("buy", it.Effect.UNSAFE))
    )
    return it.Settings(
        agents,
        me,
        0,
        2,
        classes,
        (),
        1.0,
        False,
        False,
        5.0,
        it.Discovery.PUSH,
        (),
        False,
        0.01,
        it.Limits(True, True, True, True, False, 4, 100000, 500.0, 15000.0),
        it.RuleFigures(20.0, 10000.0, 4000.0, 0.4, 1000.0, 3.0, 2000.0),
        it.Rollout(
            it.Control.ANY,
            it.Replacement.BESIDE,
            1,
            1,
            0,
            1500.0,
            0.0,
            4000.0,
            1000.0,
            200.0,
            4000.0,
            (0.1, 1.0),
            (0.14, 1.0),
            4000.0,
            2.0,
            False,
            0,
            False,
            1000.0,
            0.2,
            0.0,
            0.5,
            4.0,
        ),
    )


class TrialDriver:
    """An agent in the middle of a trial, and one of each thing that may happen to it."""

    def __init__(self, servers: int, agents: int = 540) -> None:
        self.agent, self.now, self.ids, self.servers = Agent(settings(agents), 1), NOW, 0, servers
        self.rng, self.out = random.Random(1), list[tuple[it.Send, float]]()
        self.give(it.Started())
        trial = max(servers // 10, 1)
        self.give(
            it.ServerList(
                it.ListKind.FULL,
                1,
                tuple(
                    it.ServerEntry(i, i % 2, 0, 0, it.ServerState.READY, 1.0, 0.0, 2 if i < trial else 1)
                    for i in range(servers)
                ),
            )
        )
        self.give(it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))
        self.give(it.StageNews(2, 0, it.Phase.TRIAL, False, it.Status.OK, 0.14, 0.0))
        self.now += 2500.0
        for _ in range(10):
            self.bin()

    def give(self, event: it.Event) -> list[it.Action]:
        actions = self.agent.handle(self.now, event)
        self.out.extend((a, self.now) for a in actions if isinstance(a, it.Send))
        return actions

    def evidence(self) -> None:
        """Two outcomes a class of every server; what an agent with all of the traffic would see in a bin."""
        self.now += 10.0
        for server in self.agent.servers.values():
            for cls in range(2):
                for _ in range(2):
                    failed, latency = self.rng.random() < 0.02, self.rng.uniform(50, 150)
                    self.agent._record_outcome(server, cls, math.nan if failed else latency, 1)
        self.agent._add_evidence(self.agent.own_row, 2, 8, 20.0, 1.0)
        self.agent._add_evidence(self.agent.own_row, 1, 8, 20.0, 1.0)

    def bin(self) -> None:
        """A bin full of evidence and its verdict."""
        self.evidence()
        self.verdict()

    def verdict(self) -> None:
        """The bin closes while a build is judged."""
        self.now = max(self.now, self.agent.next_bin_at)
        self.give(it.TimerFired(0))

    def request(self) -> None:
        """A request is taken, sent and answered."""
        self.now += 1.0
        self.ids += 1
        self.give(it.Request(self.ids, self.ids % 2, 0, 0, 2000.0, 0.0, False, False, False))
        while self.out:
            send, at = self.out.pop()
            self.give(it.Outcome(send.request, send.server, 0, it.Status.OK, self.now - at + 80.0, True, ()))

    def tally(self) -> None:
        """The platform's count of one build and class."""
        self.give(it.Tally(2, 0, 40, 1, 100.0, 300.0))

    def change(self) -> None:
        """One server of the list restarts, and the next request is taken by the new list."""
        self.now += 1.0
        entry = self.agent.servers[self.servers - 1].entry
        self.give(
            it.ServerList(
                it.ListKind.DELTA,
                2,
                (it.ServerEntry(entry.server, entry.zone, 0, 0, it.ServerState.READY, 1.0, self.now, 1),),
            )
        )
        self.request()

    def refusal(self) -> None:
        """A request for which every server has as much open as it may: all are asked."""
        self.now += 1.0
        for server in self.agent.servers.values():
            server.concurrency_limit = 0.0
        self.ids += 1
        self.give(it.Request(self.ids, 0, 0, 0, 2000.0, 0.0, False, False, False))
        for server in self.agent.servers.values():
            server.concurrency_limit = 6.0


WHAT = ("verdict", "request", "tally", "change", "refusal")


def count_instructions(work: Callable[[], None]) -> int:
    """Bytecode instructions that the module executes for it: work counted, not timed."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        if "/otterquay/policy/" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def instruction_counts(servers: int, agents: int = 540) -> dict[str, int]:
    """Instructions of each thing that may happen, in a fleet of this size."""
    driven, found = TrialDriver(servers, agents), dict[str, int]()
    for what in WHAT:
        driven.bin()
        driven.request()  # ranks the fleet, once a bin
        driven.tally()  # and looks for its youngest server, once a list
        if what == "verdict":
            driven.evidence()
        found[what] = count_instructions(getattr(driven, what))
    return found


def memory(servers: int) -> int:
    """Bytes of an agent in the middle of a trial."""
    tracemalloc.start()
    driven = TrialDriver(servers)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert driven.agent
    return taken


def order(small: float, large: float) -> float:
    """The exponent by which a figure grows over ten times the size."""
    return round(math.log10(max(large, 1e-9) / max(small, 1e-9)), 2)


def measure(rounds: int) -> dict[str, Any]:
    """All figures: at 48 and 480 servers, at 540 and 5,400 agents."""
    sizes = {"48 servers": (48, 540), "480 servers": (480, 540), "48 servers, 5400 agents": (48, 5400)}
    driven = {name: TrialDriver(*size) for name, size in sizes.items()}
    times: dict[str, dict[str, list[float]]] = {name: {what: [] for what in WHAT} for name in sizes}
    for _ in range(rounds):
        for name, one in driven.items():
            for what in WHAT:
                one.bin()
                one.request()
                one.tally()
                if what == "verdict":
                    one.evidence()
                begin = time.process_time_ns()
                getattr(one, what)()
                times[name][what].append((time.process_time_ns() - begin) / 1e3)
    work = {name: instruction_counts(*size) for name, size in sizes.items()}
    held = {name: memory(size[0]) for name, size in sizes.items() if size[1] == 540}
    found: dict[str, Any] = {}
    one, ten, many = sizes
    for what in WHAT:
        us = {name: median(times[name][what]) for name in sizes}
        found[what] = {
            "cpu_us": {name: round(value, 1) for name, value in us.items()},
            "instructions": {name: work[name][what] for name in sizes},
            "order_by_servers": {
                "cpu": order(us[one], us[ten]),
                "instructions": order(work[one][what], work[ten][what]),
            },
            "order_by_agents": {
                "cpu": order(us[one], us[many]),
                "instructions": order(work[one][what], work[many][what]),
            },
        }
    found["memory"] = {"bytes": held, "bytes_a_server": round((held[ten] - held[one]) / (480 - 48))}
    return found


@click.command()
@click.option("--rounds", default=15, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(rounds: int, out: Path | None) -> None:
    """Print the figures as JSON."""
    text = json.dumps(measure(rounds), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
