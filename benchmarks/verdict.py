"""Cost of one verdict on a new build, and how it grows with the number of servers and of configured agents.

    python benchmarks/verdict.py [--rounds 15] [--out FILE]

Drives one agent of the decision module directly, without I/O. A tenth of the fleet runs the build on trial, every
server has a latency series, and every evidence pool has data. Each figure is CPU time of this process: the median
of rounds that alternate between all sizes, so that ratios are comparable even if the machine's speed varies. The
work is also counted in bytecode instructions, which are the same on every run; `tests/test_work.py` bounds their
growth.
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

START_MS = 1e6


def settings(agents: int, me: int = 0) -> it.Settings:
    """Return settings with two request classes, peers and platform tallies."""
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
    """Drives an agent in the middle of a trial; one method for each measured operation."""

    def __init__(self, servers: int, agents: int = 540) -> None:
        self.agent, self.now, self.last_request, self.servers = Agent(settings(agents), 1), START_MS, 0, servers
        self.rng, self.sends = random.Random(1), list[tuple[it.Send, float]]()
        self.deliver(it.Started())
        trial = max(servers // 10, 1)
        self.deliver(
            it.ServerList(
                it.ListKind.FULL,
                1,
                tuple(
                    it.ServerEntry(i, i % 2, 0, 0, it.ServerState.READY, 1.0, 0.0, 2 if i < trial else 1)
                    for i in range(servers)
                ),
            )
        )
        self.deliver(it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))
        self.deliver(it.StageNews(2, 0, it.Phase.TRIAL, False, it.Status.OK, 0.14, 0.0))
        self.now += 2500.0
        for _ in range(10):
            self.complete_bin()

    def deliver(self, event: it.Event) -> list[it.Action]:
        actions = self.agent.handle(self.now, event)
        self.sends.extend((a, self.now) for a in actions if isinstance(a, it.Send))
        return actions

    def add_evidence(self) -> None:
        """Add two outcomes per class and server: what an agent with all of the traffic would see in a bin."""
        self.now += 10.0
        for server in self.agent.servers.values():
            for cls in range(2):
                for _ in range(2):
                    failed, latency = self.rng.random() < 0.02, self.rng.uniform(50, 150)
                    self.agent._record_outcome(server, cls, math.nan if failed else latency, 1)
        self.agent._add_evidence(self.agent.own_row, 2, 8, 20.0, 1.0)
        self.agent._add_evidence(self.agent.own_row, 1, 8, 20.0, 1.0)

    def complete_bin(self) -> None:
        """Fill a bin with evidence and close it."""
        self.add_evidence()
        self.verdict()

    def verdict(self) -> None:
        """Close the bin while a build is on trial."""
        self.now = max(self.now, self.agent.next_bin_at)
        self.deliver(it.TimerFired(0))

    def request(self) -> None:
        """Deliver one request, and an outcome for each attempt that is open."""
        self.now += 1.0
        self.last_request += 1
        self.deliver(it.Request(self.last_request, self.last_request % 2, 0, 0, 2000.0, 0.0, False, False, False))
        while self.sends:
            send, sent_at = self.sends.pop()
            self.deliver(
                it.Outcome(send.request, send.server, 0, it.Status.OK, self.now - sent_at + 80.0, True, ())
            )

    def tally(self) -> None:
        """Deliver the platform's tally of one build and class."""
        self.deliver(it.Tally(2, 0, 40, 1, 100.0, 300.0))

    def change(self) -> None:
        """Restart one server of the fleet list and deliver a request, which is routed by the updated list."""
        self.now += 1.0
        entry = self.agent.servers[self.servers - 1].entry
        self.deliver(
            it.ServerList(
                it.ListKind.DELTA,
                2,
                (it.ServerEntry(entry.server, entry.zone, 0, 0, it.ServerState.READY, 1.0, self.now, 1),),
            )
        )
        self.request()

    def refusal(self) -> None:
        """Deliver a request while every server is at its concurrency limit, so that all of them are checked."""
        self.now += 1.0
        for server in self.agent.servers.values():
            server.concurrency_limit = 0.0
        self.last_request += 1
        self.deliver(it.Request(self.last_request, 0, 0, 0, 2000.0, 0.0, False, False, False))
        for server in self.agent.servers.values():
            server.concurrency_limit = 6.0


OPERATIONS = ("verdict", "request", "tally", "change", "refusal")


def count_instructions(work: Callable[[], None]) -> int:
    """Return the number of bytecode instructions that the decision module executes for a piece of work."""
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
    """Return the instructions of each measured operation in a fleet of this size."""
    driver, counts = TrialDriver(servers, agents), dict[str, int]()
    for operation in OPERATIONS:
        driver.complete_bin()
        driver.request()  # so that the ranking of the fleet, done once per bin, is not counted
        driver.tally()  # likewise the search for the youngest server, done once per list
        if operation == "verdict":
            driver.add_evidence()
        counts[operation] = count_instructions(getattr(driver, operation))
    return counts


def memory(servers: int) -> int:
    """Return the bytes that an agent in the middle of a trial takes."""
    tracemalloc.start()
    driver = TrialDriver(servers)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert driver.agent
    return used_bytes


def growth_exponent(small: float, large: float) -> float:
    """Return the exponent of a figure's growth over ten times the size."""
    return round(math.log10(max(large, 1e-9) / max(small, 1e-9)), 2)


def measure(rounds: int) -> dict[str, Any]:
    """Measure all figures at 48 and 480 servers and at 540 and 5,400 agents."""
    sizes = {"48 servers": (48, 540), "480 servers": (480, 540), "48 servers, 5400 agents": (48, 5400)}
    drivers = {name: TrialDriver(*size) for name, size in sizes.items()}
    cpu_us: dict[str, dict[str, list[float]]] = {
        name: {operation: [] for operation in OPERATIONS} for name in sizes
    }
    for _ in range(rounds):
        for name, driver in drivers.items():
            for operation in OPERATIONS:
                driver.complete_bin()
                driver.request()
                driver.tally()
                if operation == "verdict":
                    driver.add_evidence()
                begin = time.process_time_ns()
                getattr(driver, operation)()
                cpu_us[name][operation].append((time.process_time_ns() - begin) / 1e3)
    instructions = {name: instruction_counts(*size) for name, size in sizes.items()}
    memory_bytes = {name: memory(size[0]) for name, size in sizes.items() if size[1] == 540}
    figures: dict[str, Any] = {}
    base, ten_times_servers, ten_times_agents = sizes
    for operation in OPERATIONS:
        medians = {name: median(cpu_us[name][operation]) for name in sizes}
        figures[operation] = {
            "cpu_us": {name: round(value, 1) for name, value in medians.items()},
            "instructions": {name: instructions[name][operation] for name in sizes},
            "order_by_servers": {
                "cpu": growth_exponent(medians[base], medians[ten_times_servers]),
                "instructions": growth_exponent(
                    instructions[base][operation], instructions[ten_times_servers][operation]
                ),
            },
            "order_by_agents": {
                "cpu": growth_exponent(medians[base], medians[ten_times_agents]),
                "instructions": growth_exponent(
                    instructions[base][operation], instructions[ten_times_agents][operation]
                ),
            },
        }
    figures["memory"] = {
        "bytes": memory_bytes,
        "bytes_a_server": round((memory_bytes[ten_times_servers] - memory_bytes[base]) / (480 - 48)),
    }
    return figures


@click.command()
@click.option("--rounds", default=15, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(rounds: int, out: Path | None) -> None:
    """Measure and print the figures as JSON."""
    text = json.dumps(measure(rounds), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
