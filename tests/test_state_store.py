"""Tests that stored attempts under a cap survive restarts and kills, on simulated time and an in-memory disk."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from otterquay import interface as it
from otterquay.agent.state_store import BIN_MS, AgentStateStore
from otterquay.lab.disk import FaultDisk
from otterquay.lab.simloop import SimLoop
from otterquay.logs import silent
from otterquay.store import Store, open_store

WINDOW_MS = 2000.0
SYNC_MS = 40.0
# A kill may lose attempts of this time: counts are written one interval after the first attempt that changed them,
# and a sync that is under way then ends before the one that covers them.
KILL_LOSS_MS = BIN_MS + 2 * SYNC_MS
GAPS_MS = st.sampled_from((0, 7, 90, 240, 700))
# by how many seconds the clock of another machine, or after a reboot, is ahead; None without either
OTHER_CLOCKS = st.sampled_from((None, None, -5.0, 1.0, 2.5, 100.0))
Traffic = list[tuple[tuple[int, int], int]]  # attempts: build and class, and the time until the next one in ms
TRAFFIC = st.lists(st.tuples(st.sampled_from(((2, 0), (2, 1), (3, 0))), GAPS_MS), min_size=1, max_size=8)


class SlowDisk(FaultDisk):
    """A disk whose syncs take `SYNC_MS`; the store appends nothing meanwhile."""

    async def sync(self, name: str) -> None:
        await asyncio.sleep(SYNC_MS / 1e3)
        await super().sync(name)


@dataclass(frozen=True)
class Attempt:
    """One attempt as the model remembers it."""

    build: int
    cls: int
    sent_ms: float  # simulated time, which is never set back
    sent_store_ms: int  # store time
    durable: bool = True  # False if a kill may have lost it


class Restarts(RuleBasedStateMachine):
    """Attempts, flushes, ends, kills and clocks set back at drawn moments, against a list of all attempts."""

    def __init__(self) -> None:
        super().__init__()
        self.loop, self.clock_offset_s = SimLoop(1), 0.0
        self.boots = 1
        self.sent: list[Attempt] = []
        self._restart(FaultDisk(), 0, None)

    # --- steps ---
    @rule(traffic=TRAFFIC)
    def traffic_then_a_flush(self, traffic: Traffic) -> None:
        self._send(traffic)
        self._run(self._flush())

    @rule(traffic=TRAFFIC, by_s=st.floats(0.0, 10.0))
    def traffic_then_the_clock_is_set_back(self, traffic: Traffic, by_s: float) -> None:
        self._send(traffic)
        self.clock_offset_s = max(self.clock_offset_s - by_s, -self.loop.now)

    @rule(traffic=TRAFFIC, down_ms=GAPS_MS, other_clock=OTHER_CLOCKS)
    def traffic_then_an_orderly_end(self, traffic: Traffic, down_ms: int, other_clock: float | None) -> None:
        self._send(traffic)
        self._run(self._flush())
        self._run(self.store.close())
        self._restart(self.disk.after_kill(), down_ms, other_clock)

    @rule(
        traffic=TRAFFIC,
        down_ms=GAPS_MS,
        other_clock=OTHER_CLOCKS,
        power_seed=st.none() | st.integers(0, 2**32),
    )
    def traffic_then_a_kill(
        self, traffic: Traffic, down_ms: int, other_clock: float | None, power_seed: int | None
    ) -> None:
        """A kill keeps what was written; with `power_seed` the power fails, which keeps only what was synced."""
        self._send(traffic)
        durable_until_ms = self._true_ms() - KILL_LOSS_MS
        self.sent = [replace(a, durable=a.durable and a.sent_ms <= durable_until_ms) for a in self.sent]
        killed = (
            self.disk.after_kill() if power_seed is None else self.disk.after_power_loss(random.Random(power_seed))
        )
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        if self.kept._timer:
            self.kept._timer.cancel()
        self._restart(killed, down_ms, other_clock)

    # --- checks ---
    def _check(self, restored: it.Restored, now_ms: float) -> None:
        """Nothing in the window is forgotten, nothing invented, and no time is in the future or too early."""
        counts = Counter((build, cls) for build, cls, at in restored.attempts if at > now_ms - WINDOW_MS)
        window_start_ms = self._true_ms() - WINDOW_MS
        in_window = Counter((a.build, a.cls) for a in self.sent if a.durable and a.sent_ms > window_start_ms)
        edge_ms = self.store.now() - WINDOW_MS - BIN_MS  # an attempt is restored at the end of its bin
        at_most = Counter((a.build, a.cls) for a in self.sent if a.sent_store_ms >= edge_ms)
        assert in_window <= counts, f"forgotten: {in_window - counts} of {in_window}"
        assert counts <= at_most, f"invented: {counts - at_most} beyond {at_most}"
        assert all(at <= now_ms for _, _, at in restored.attempts), "restored to the future"
        for key in {(a.build, a.cls) for a in self.sent}:
            sent = sorted(a.sent_ms for a in self.sent if (a.build, a.cls) == key and a.durable)
            ages = sorted((now_ms - at for b, c, at in restored.attempts if (b, c) == key), reverse=True)
            true_ages = [self._true_ms() - at for at in sent if at > window_start_ms]
            newest = ages[len(ages) - len(true_ages) :] if true_ages else []
            assert all(age <= true for age, true in zip(newest, true_ages, strict=True)), "restored too early"

    # --- the process ---
    def _clock(self) -> float:
        return self.loop.now + self.clock_offset_s

    def _true_ms(self) -> float:
        return self.loop.now * 1e3

    def _run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def _send(self, traffic: Traffic) -> None:
        for (build, cls), gap_ms in traffic:
            self.sent.append(Attempt(build, cls, self._true_ms(), self.store.now()))
            self._run(self._tried(build, cls))
            self._wait(gap_ms)

    def _wait(self, ms: float) -> None:
        self._run(asyncio.sleep(ms / 1e3))

    async def _tried(self, build: int, cls: int) -> None:
        self.kept.tried(build, cls)

    async def _flush(self) -> None:
        self.kept.flush()

    def _restart(self, disk: FaultDisk, down_ms: int, other_clock: float | None) -> None:
        self._wait(down_ms)
        if other_clock is not None:
            self.clock_offset_s = max(self.clock_offset_s + other_clock, -self.loop.now)
            self.boots += 1
        self.disk = SlowDisk(sector=disk.sector)
        self.disk.files = disk.files
        self.disk.durable_names = disk.durable_names
        self.disk.name_changes = disk.name_changes
        self.store: Store = self._run(open_store(self.disk, silent(), self._clock, boot_id=str(self.boots)))
        self.kept = AgentStateStore(self.store, WINDOW_MS, silent())
        now_ms = self._clock() * 1e3
        _, events = self.kept.recall(now_ms)
        restored = [event for event in events if isinstance(event, it.Restored)]
        self._check(restored[0] if restored else it.Restored((), ()), now_ms)

    def teardown(self) -> None:
        self.traffic_then_an_orderly_end([], 0, None)
        self._run(self.store.close())
        self.loop.close()
        assert not self.loop.program_errors


Restarts.TestCase.settings = settings(max_examples=20, stateful_step_count=15, deadline=None, derandomize=True)
TestRestarts = Restarts.TestCase
