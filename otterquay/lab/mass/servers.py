"""A simulated server: processes `CORES` requests at a time, slower while cold, and queues the others."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from otterquay import interface as it

CORES = 3
MAX_QUEUED = 60
CallLater = Callable[[float, Callable[[], None]], None]  # schedules a callback after a delay in ms
FinishAttempt = Callable[[it.Status], None]


@dataclass(slots=True, eq=False)
class Server:
    """`entry` is its current entry in the fleet list, `listed_incarnation` the incarnation last published there."""

    entry: it.ServerEntry
    up: bool = True
    incarnation: int = 1
    listed_incarnation: int = 1
    started: float = -1e9
    error_share: float = 0.0  # share of attempts that fail while the server fails
    fails_after_ms: float = 0.0  # time after its start from which it fails
    fails_over_busy: float = 0.0  # share of busy cores from which it fails
    busy_cores: int = 0
    queue: deque[FinishAttempt] = field(default_factory=deque)
    in_progress: dict[FinishAttempt, None] = field(default_factory=dict)  # queued or running, by order of arrival
    # recent attempts: time, and whether the sender knew of the server's start
    arrivals: deque[tuple[float, bool]] = field(default_factory=deque)

    def capacity_share(self, at: float, rules: it.RuleFigures) -> float:
        """Its share of the full capacity at a time; grows linearly while it is cold."""
        start_share, cold = rules.start_capacity, max(rules.cold_ms, 1.0)
        return start_share + (1 - start_share) * min(1.0, max(0.0, (at - self.started) / cold))

    def failing_share(self, at: float) -> float:
        """Share of the attempts that fail at a time, by the server's age and load."""
        fails = at - self.started >= self.fails_after_ms and self.busy_cores >= self.fails_over_busy * CORES
        return self.error_share if fails else 0.0

    def enqueue(self, finish: FinishAttempt) -> bool:
        """Queue an attempt; False when the queue is full."""
        if len(self.queue) >= MAX_QUEUED:
            return False
        self.queue.append(finish)
        self.in_progress[finish] = None
        return True

    def start_work(
        self,
        now: Callable[[], float],
        call_later: CallLater,
        rules: it.RuleFigures,
        work_ms: float,
        rng: random.Random,
    ) -> None:
        """Start queued attempts on idle cores."""

        def complete(finish: FinishAttempt, incarnation: int) -> None:
            if incarnation != self.incarnation:
                return
            error_share = self.failing_share(now())
            self.busy_cores -= 1
            self.in_progress.pop(finish, None)
            finish(it.Status.ERROR if error_share and rng.random() < error_share else it.Status.OK)
            self.start_work(now, call_later, rules, work_ms, rng)

        while self.queue and self.busy_cores < CORES:
            finish, incarnation = self.queue.popleft(), self.incarnation
            self.busy_cores += 1
            service_ms = rng.expovariate(1 / work_ms) / self.capacity_share(now(), rules)
            call_later(service_ms, lambda finish=finish, incarnation=incarnation: complete(finish, incarnation))  # type: ignore[misc]

    def stop(self) -> list[FinishAttempt]:
        """Stop the server; returns its unfinished attempts."""
        unfinished = list(self.in_progress)
        self.up, self.incarnation, self.busy_cores = False, self.incarnation + 1, 0
        self.queue.clear()
        self.in_progress.clear()
        self.arrivals.clear()
        return unfinished

    def restart_cold(self, now: float) -> None:
        """Start again, cold."""
        self.up, self.started = True, now
