"""Processes that follow one another on one disk, for tests of attempts under a cap over restarts."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from otterquay import interface as it
from otterquay.agent.state_store import BIN_MS, AgentStateStore
from otterquay.lab.disk import FaultDisk
from otterquay.lab.simloop import simulate
from otterquay.logs import silent
from otterquay.store import Put, Store, open_store

WINDOW_MS = 4000.0
TICK_MS = 5.0
COUNTED_MS = WINDOW_MS + 2 * TICK_MS  # how long the decision module counts an attempt
HOUR_S = 3600.0


def now_ms() -> float:
    return asyncio.get_running_loop().time() * 1e3


async def sleep_ms(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / 1e3)


async def sleep_to_bin(offset_ms: float = 0.0) -> None:
    """Sleep until `offset_ms` after the start of the next bin."""
    await sleep_ms(BIN_MS - now_ms() % BIN_MS + offset_ms)


def run(work: Coroutine[Any, Any, None]) -> None:
    simulate(work, 1)


@dataclass
class Processes:
    """Processes that follow one another on one disk, and when each attempt was sent, by build and class."""

    disk: FaultDisk = field(default_factory=FaultDisk)
    clock_offset_s: float = 1000.0  # of the clock that the store reads, against the loop's
    boot_of: Callable[[float], str | None] = "boot with offset {}".format  # what the store is told, by the offset
    sent: list[tuple[int, int, float]] = field(default_factory=list)
    restored: list[tuple[int, int, float]] = field(default_factory=list)
    is_incomplete: bool = False  # whether the newest process was told that attempts may be missing

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.disk.locked = False
        boot_id = self.boot_of(self.clock_offset_s)
        self.store: Store = await open_store(
            self.disk, silent(), lambda: loop.time() + self.clock_offset_s, boot_id=boot_id
        )
        self.state = AgentStateStore(self.store, WINDOW_MS, silent())
        _, events = self.state.recall(now_ms())
        self.is_incomplete = any(isinstance(event, it.AttemptsMissing) for event in events)
        self.restored = [a for event in events if isinstance(event, it.Restored) for a in event.attempts]

    def send(self, count: int = 1, build: int = 2, cls: int = 0) -> None:
        for _ in range(count):
            self.sent.append((build, cls, now_ms()))
            self.state.tried(build, cls)

    async def send_evenly(self, gap_ms: float, duration_ms: float) -> None:
        for _ in range(int(duration_ms / gap_ms)):
            self.send()
            await sleep_ms(gap_ms)

    async def written(self) -> None:
        """Flush, and wait until all that was submitted is durable."""
        self.state.flush()
        await self.store.commit([Put("x", b"", b"")])

    def kill(self) -> None:
        """End the process without a flush; what it does later reaches a disk that nobody reads."""
        self.disk = self.disk.after_kill()

    def cut_power(self) -> None:
        """End the process and keep only what was synced."""
        self.disk = FaultDisk({name: bytes(file.disk) for name, file in self.disk.durable_names.items()})

    async def stop(self) -> None:
        self.state.flush()
        await self.store.close()
        self.kill()

    async def restart(self) -> None:
        await self.stop()
        await self.start()

    def lost(self, until_ms: float = float("inf")) -> dict[tuple[int, int], int]:
        """How many attempts that still count were not restored, of those sent before `until_ms`."""
        since = now_ms() - COUNTED_MS
        sent = Counter((b, c) for b, c, at in self.sent if since < at < until_ms)
        return dict(sent - Counter((b, c) for b, c, at in self.restored if at > since))

    def invented(self) -> dict[tuple[int, int], int]:
        """How many attempts were restored that nobody sent."""
        return dict(Counter((b, c) for b, c, _ in self.restored) - Counter((b, c) for b, c, _ in self.sent))


def one_boot(clock_offset_s: float) -> str | None:
    """A clock that is set back within a boot."""
    return "boot"


def unknown_boot(clock_offset_s: float) -> str | None:
    """A system that does not tell which boot its clock counts from."""
    return None


BOOTS = [Processes.boot_of, one_boot, unknown_boot]


SYNC_MS = 400.0


def slow_disk(sync_ms: float, disk: FaultDisk | None = None) -> FaultDisk:
    """Let each sync of the disk, by default a new one, take this long."""
    disk, sync = disk or FaultDisk(), FaultDisk.sync

    async def slow_sync(name: str) -> None:
        await sleep_ms(sync_ms)
        await sync(disk, name)

    disk.sync = slow_sync  # type: ignore[method-assign]
    return disk
