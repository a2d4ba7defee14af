"""CPU cost of one agent by fleet size, as ratios to the smallest size of the same run.

    python benchmarks/sizes.py [--sizes 16,200,1024] [--rounds 5] [--out FILE]

There are as many agents as servers. Each figure is CPU microseconds, the minimum over the rounds, of: a full fleet
list as discovery sends it (parsed, stored, delivered to the decision module), an update of one server, a simulated
second without traffic, and a request that is answered at once, including all that the module does in the meantime
at 50 requests per second. No sockets are used: their cost does not depend on the fleet size.
"""

from __future__ import annotations

import heapq
import itertools
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from time import process_time

import click

from otterquay import interface as it
from otterquay.agent.feeds import FleetRegistry
from otterquay.config.load import load_service
from otterquay.config.translate import decision_settings
from otterquay.policy.agent import Agent
from otterquay.protocol.targets import TargetReader

EXAMPLE = Path(__file__).parent.parent / "examples" / "agent.hcl"
REQUESTS_PER_S, SPAN_S = 50, 4
WALL_MS = 1e12


class AgentHarness:
    """An agent in a fleet of `size` agents and servers, with its timers on a simulated clock in milliseconds."""

    def __init__(self, size: int) -> None:
        service = load_service(EXAMPLE)
        self.zones, self.size, self.now = service.zones, size, 1e6
        settings = replace(decision_settings(service), agents=size)
        self.agent, self.timers = Agent(settings, 1), list[tuple[float, int, int]]()
        self.reader, self.registry, self._sequence = (
            TargetReader(["std"]),
            FleetRegistry(service.zones),
            itertools.count(),
        )
        self.sends: list[it.Send] = []
        self.deliver(it.Started())
        self.deliver(it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))

    def deliver(self, event: it.Event) -> None:
        """Deliver an event to the agent and record its timers and sends."""
        for action in self.agent.handle(self.now, event):
            if isinstance(action, it.SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay_ms, next(self._sequence), action.token))
            elif isinstance(action, it.Send):
                self.sends.append(action)

    def advance(self, until: float) -> None:
        """Advance the clock to `until` and fire the timers that are due."""
        while self.timers and self.timers[0][0] <= until:
            self.now, _, token = heapq.heappop(self.timers)
            self.deliver(it.TimerFired(token))
        self.now = until

    def encode_list(self, version: int, numbers: range, is_full: bool) -> bytes:
        """Encode the full fleet list, or an update of some servers, as discovery sends it."""
        return json.dumps(
            {
                "generation": version,
                "reset": is_full,
                "instances": [
                    {
                        "instanceId": f"s-{i}",
                        "lifecycle": "in_service",
                        "hostPort": f"127.0.0.1:{10000 + i}",
                        "cell": i % 8,
                        "zone": self.zones[i % len(self.zones)],
                        "machineType": "std",
                        "weight": 1.0 + version % 2,
                        "startedAtMs": 0,
                        "version_no": 1,
                    }
                    for i in numbers
                ],
            }
        ).encode()

    def apply_list(self, data: bytes) -> None:
        """Parse a list from discovery and deliver it to the agent."""
        is_full, fleet, _ = self.reader.read(data, WALL_MS)
        kind = it.ListKind.FULL if is_full else it.ListKind.DELTA
        self.deliver(self.registry.apply(kind, fleet, self.now))

    def serve(self, count: int, gap_ms: float) -> None:
        """Deliver requests one after another, each answered at once."""
        for _ in range(count):
            self.advance(self.now + gap_ms)
            request = next(self._sequence)
            self.deliver(it.Request(request, 0, 0, 0, 6000.0, 0.0, False, False, False))
            send = self.sends.pop()
            self.deliver(it.Outcome(request, send.server, 0, it.Status.OK, 5.0, True, ()))


def min_cpu_us(rounds: int, work: Callable[[int], None], per: float = 1.0) -> float:
    """Return the minimum CPU microseconds of some rounds of `work`, which is called with the round's index."""
    durations_us = []
    for i in range(rounds):
        begin = process_time()
        work(i)
        durations_us.append((process_time() - begin) * 1e6 / per)
    return min(durations_us)


def measure(size: int, rounds: int) -> dict[str, float]:
    """Measure all figures of one size."""
    harness = AgentHarness(size)
    harness.apply_list(harness.encode_list(1, range(size), True))
    harness.serve(REQUESTS_PER_S * SPAN_S, 1e3 / REQUESTS_PER_S)
    lists = [harness.encode_list(10 + i, range(size), True) for i in range(rounds)]
    changes = [harness.encode_list(100 + i, range(i % size, i % size + 1), False) for i in range(rounds)]
    return {
        "whole list": min_cpu_us(rounds, lambda i: harness.apply_list(lists[i])),
        "change": min_cpu_us(rounds, lambda i: harness.apply_list(changes[i])),
        "second at rest": min_cpu_us(rounds, lambda _: harness.advance(harness.now + 5e3), 5),
        "request": min_cpu_us(
            rounds, lambda _: harness.serve(REQUESTS_PER_S * SPAN_S, 1e3 / REQUESTS_PER_S), REQUESTS_PER_S * SPAN_S
        ),
    }


@click.command()
@click.option("--sizes", default="16,200,1024", show_default=True)
@click.option("--rounds", type=click.IntRange(1), default=5, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(sizes: str, rounds: int, out: Path | None) -> None:
    """Measure and print one JSON object."""
    results = {size: measure(size, rounds) for size in map(int, sizes.split(","))}
    smallest = results[min(results)]
    table = {
        str(size): {
            name: {"us": round(us, 1), "ratio": round(us / smallest[name], 2)} for name, us in figures.items()
        }
        for size, figures in results.items()
    }
    text = json.dumps(table, indent=1)
    click.echo(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
