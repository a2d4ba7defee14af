"""What one agent costs by the size of the fleet, as ratios to the smallest size of the same run.

    python benchmarks/sizes.py [--sizes 16,200,1024] [--rounds 5] [--out FILE]

As many peers as servers. CPU microseconds, the least of some rounds: a whole list as discovery writes it (read,
held, told to the module), a change of one server, a simulated second at rest, and a request that is answered at
once with all that the module does meanwhile at 50 a second. No sockets: what those cost does not hang on the size.
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
RATE, SPAN_S = 50, 4
WALL_MS = 1e12


class One:
    """An agent of a fleet of `size` agents and servers, with its timers on a clock of its own; times in ms."""

    def __init__(self, size: int) -> None:
        service = load_service(EXAMPLE)
        self.zones, self.size, self.now = service.zones, size, 1e6
        settings = replace(decision_settings(service), agents=size)
        self.agent, self.timers = Agent(settings, 1), list[tuple[float, int, int]]()
        self.reader, self.book, self._order = TargetReader(["std"]), FleetRegistry(service.zones), itertools.count()
        self.sent: list[it.Send] = []
        self.give(it.Started())
        self.give(it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))

    def give(self, event: it.Event) -> None:
        """An event and what follows from it."""
        for action in self.agent.handle(self.now, event):
            if isinstance(action, it.SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay_ms, next(self._order), action.token))
            elif isinstance(action, it.Send):
                self.sent.append(action)

    def run(self, until: float) -> None:
        """The clock goes on, and timers fire."""
        while self.timers and self.timers[0][0] <= until:
            self.now, _, token = heapq.heappop(self.timers)
            self.give(it.TimerFired(token))
        self.now = until

    def list(self, version: int, names: range, whole: bool) -> bytes:
        """The list, or some of it, as discovery writes it."""
        return json.dumps(
            {
                "generation": version,
                "reset": whole,
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
                    for i in names
                ],
            }
        ).encode()

    def hear(self, data: bytes) -> None:
        """Discovery's bytes become the module's event."""
        whole, fleet, _ = self.reader.read(data, WALL_MS)
        kind = it.ListKind.FULL if whole else it.ListKind.DELTA
        self.give(self.book.apply(kind, fleet, self.now))

    def serve(self, count: int, gap_ms: float) -> None:
        """Requests one after another, each answered at once."""
        for _ in range(count):
            self.run(self.now + gap_ms)
            number = next(self._order)
            self.give(it.Request(number, 0, 0, 0, 6000.0, 0.0, False, False, False))
            send = self.sent.pop()
            self.give(it.Outcome(number, send.server, 0, it.Status.OK, 5.0, True, ()))


def least_us(rounds: int, work: Callable[[int], None], per: float = 1.0) -> float:
    """CPU microseconds of a piece of work, the least of some rounds; it gets the round's number."""
    found = []
    for i in range(rounds):
        begin = process_time()
        work(i)
        found.append((process_time() - begin) * 1e6 / per)
    return min(found)


def measure(size: int, rounds: int) -> dict[str, float]:
    """All figures of one size."""
    one = One(size)
    one.hear(one.list(1, range(size), True))
    one.serve(RATE * SPAN_S, 1e3 / RATE)
    lists = [one.list(10 + i, range(size), True) for i in range(rounds)]
    changes = [one.list(100 + i, range(i % size, i % size + 1), False) for i in range(rounds)]
    return {
        "whole list": least_us(rounds, lambda i: one.hear(lists[i])),
        "change": least_us(rounds, lambda i: one.hear(changes[i])),
        "second at rest": least_us(rounds, lambda _: one.run(one.now + 5e3), 5),
        "request": least_us(rounds, lambda _: one.serve(RATE * SPAN_S, 1e3 / RATE), RATE * SPAN_S),
    }


@click.command()
@click.option("--sizes", default="16,200,1024", show_default=True)
@click.option("--rounds", type=click.IntRange(1), default=5, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(sizes: str, rounds: int, out: Path | None) -> None:
    """Measure and print."""
    found = {size: measure(size, rounds) for size in map(int, sizes.split(","))}
    first = found[min(found)]
    table = {
        str(size): {what: {"us": round(us, 1), "ratio": round(us / first[what], 2)} for what, us in figures.items()}
        for size, figures in found.items()
    }
    text = json.dumps(table, indent=1)
    click.echo(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
