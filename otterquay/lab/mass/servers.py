"""A server in a fleet's run: it works on `CORES` requests at once, slower while it is cold, queues the others."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay import interface as it

CORES, QUEUE = 3, 60
Clock = Callable[[float, Callable[[], None]], None]  # do something so many ms from now
End = Callable[[it.Status], None]


@dataclass(slots=True, eq=False)
class Server:
    """`entry` is what the list would say of it, `listed` the life that it has said last."""

    entry: it.ServerEntry
    up: bool = True
    life: int = 1
    listed: int = 1
    started: float = -1e9
    bad: float = 0.0  # part of what it gets that fails
    busy: int = 0
    queue: deque[End] = field(default_factory=deque)
    out: dict[End, None] = field(default_factory=dict)  # in the order in which they came
    came: deque[tuple[float, bool]] = field(default_factory=deque)  # when, by an agent that was told of its start

    def able(self, when: float, rules: it.RuleFigures) -> float:
        """The part of its whole capacity that it has at a time."""
        least, cold = rules.start_capacity, max(rules.cold_ms, 1.0)
        return least + (1 - least) * min(1.0, max(0.0, (when - self.started) / cold))

    def take(self, end: End) -> bool:
        """Queue an attempt; False when it is full."""
        if len(self.queue) >= QUEUE:
            return False
        self.queue.append(end)
        self.out[end] = None
        return True

    def work(
        self, now: Callable[[], float], later: Clock, rules: it.RuleFigures, work_ms: float, rng: random.Random
    ) -> None:
        """Begin what it can."""

        def worked(end: End, life: int) -> None:
            if life != self.life:
                return
            self.busy -= 1
            self.out.pop(end, None)
            end(it.Status.ERROR if self.bad and rng.random() < self.bad else it.Status.OK)
            self.work(now, later, rules, work_ms, rng)

        while self.queue and self.busy < CORES:
            end, life = self.queue.popleft(), self.life
            self.busy += 1
            took = rng.expovariate(1 / work_ms) / self.able(now(), rules)
            later(took, lambda end=end, life=life: worked(end, life))  # type: ignore[misc]

    def fall(self) -> list[End]:
        """It ends; returns the attempts that it had."""
        held = list(self.out)
        self.up, self.life, self.busy = False, self.life + 1, 0
        self.queue.clear()
        self.out.clear()
        self.came.clear()
        return held

    def rise(self, now: float) -> None:
        """It is back, cold."""
        self.up, self.started = True, now
