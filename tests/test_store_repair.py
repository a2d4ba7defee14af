"""A store that fails at any operation is repaired in place: nothing durable is lost, also by a crash meanwhile."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import resource
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from store_rig import open_test_store, values

from otterquay.lab import torture as tt
from otterquay.lab.disk import FaultDisk
from otterquay.store import Put, Store, StoreFailed, syncer
from otterquay.store.files import BackgroundSyncDisk
from otterquay.store.reserve import RESERVE_BYTES, RESERVE_FILE

BATCHES = 30
CRASH_VARIANTS = 2


async def repair(store: Store) -> None:
    store.start_repair()
    assert store._writer
    await store._writer


@dataclass
class FailingDay:
    """A workload whose disk fails at one operation, and once more at a later one, with crashes during repairs."""

    first: int
    second: int
    disk: FaultDisk = field(default_factory=FaultDisk)
    clock: tt.Clock = field(default_factory=tt.Clock)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    operations: int = 0
    failures: int = 0
    crash_states: int = 0
    state: tt.State = field(default_factory=dict)
    possible_state: tt.State = field(default_factory=dict)
    is_repairing: bool = False

    def fail(self, operation: str, name: str) -> None:
        if operation == "read":
            return
        self.operations += 1
        if self.operations in (self.first, self.first + self.second):
            self.failures += 1
            raise OSError(errno.EIO, "Input/output error")

    def crash(self) -> None:
        """Open what a crash at this point of a repair may leave."""
        if not self.is_repairing:
            return
        for variant in range(CRASH_VARIANTS):
            crashed = self.disk.after_power_loss(self.rng) if variant else self.disk.after_kill()
            store = tt.run_sync(open_test_store(crashed, clock=self.clock, boot_id=self.clock.boot_id))
            allowed = [tt.unexpired(state, store.now()) for state in (self.state, self.possible_state)]
            assert tt.read_all(store) in allowed, (self.first, self.second)
            self.crash_states += 1

    async def play(self) -> None:
        store = await open_test_store(self.disk, clock=self.clock, boot_id=self.clock.boot_id)
        self.disk.fail = self.fail
        self.disk.before_change = self.crash
        for number in range(BATCHES):
            self.clock.now += 0.1
            changes = tt.random_batch(self.rng)
            store.now()
            self.possible_state = tt.apply_changes(self.state, changes, store.time)
            view, seen = store.view(), values(store)
            try:
                await store.commit(changes)
                self.state = self.possible_state
            except StoreFailed:
                pass
            for _ in range(4):
                await asyncio.sleep(0)  # lets compaction and the next segment follow the commit
            self.is_repairing = True
            while store.failed:
                await repair(store)
            self.is_repairing = False
            assert tt.read_all(store) == tt.unexpired(self.state, store.time), (self.first, self.second, number)
            assert {(t, k): v for t in ("votes", "ledger") for k, v in view.scan(t)} == seen
            view.close()
        assert store.oldest > 2 and store.active_segment > 4, "compaction and rolls are part of the workload"
        await store.close()
        self.disk.fail = lambda operation, name: None
        self.disk.before_change = lambda: None
        self.disk.locked = False
        again = await open_test_store(self.disk, clock=self.clock, boot_id=self.clock.boot_id)
        assert tt.read_all(again) == tt.unexpired(self.state, again.time)
        assert len(self.disk.names()) < 20, "segments that compaction left"
        await again.close()


@pytest.mark.parametrize("second", range(7))
def test_a_failure_at_any_operation_is_repaired_without_loss(second: int) -> None:
    """Guards against a repair that loses moved entries, leaves half a segment, or cannot be crashed in."""
    crash_states = first = 0
    was_reached = True
    while was_reached:
        first += 1
        day = FailingDay(first, second)
        asyncio.run(day.play())
        was_reached = day.failures > 0
        crash_states += day.crash_states
    assert first > 3 * BATCHES and crash_states > first


def test_a_store_whose_sync_subprocess_ended_is_repaired_with_another(tmp_path: Path) -> None:
    """Guards against a store that stays read-only as nothing starts the subprocess again."""

    async def run() -> None:
        disk = BackgroundSyncDisk(tmp_path)
        store = await open_test_store(disk)
        await store.commit([Put("t", b"a", b"1")])
        assert disk._sync_process is not None
        disk._sync_process.kill()
        await disk._sync_process.wait()
        with pytest.raises(StoreFailed):
            await store.commit([Put("t", b"b", b"2")])
        assert (tmp_path / RESERVE_FILE).stat().st_size < RESERVE_BYTES
        await repair(store)
        await store.commit([Put("t", b"c", b"3")])
        store.declare_complete()
        assert store._writer
        await store._writer
        assert (tmp_path / RESERVE_FILE).stat().st_size == RESERVE_BYTES
        await store.close()
        again = await open_test_store(BackgroundSyncDisk(tmp_path))
        assert values(again) == {("t", b"a"): b"1", ("t", b"c"): b"3"}
        await again.close()

    asyncio.run(run())


def test_the_sync_subprocess_syncs_the_file_that_has_a_name_now(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a mark of missing writes that is never durable, as the file before it is synced."""
    path, part, synced = tmp_path / RESERVE_FILE, tmp_path / "part", list[bytes]()

    def requests() -> Iterator[str]:
        path.write_bytes(b"first")
        yield f"{RESERVE_FILE}\n"
        part.write_bytes(b"second")
        part.replace(path)
        yield f"{RESERVE_FILE}\n"
        path.unlink()
        yield f"{RESERVE_FILE}\n"

    monkeypatch.setattr(sys, "stdin", requests())
    monkeypatch.setattr(os, "fdatasync", lambda descriptor: synced.append(os.pread(descriptor, 100, 0)))
    syncer.main(str(tmp_path))
    assert synced == [b"first", b"second", b"second"]
    assert capsys.readouterr().out == "0\n0\n0\n"


def test_a_store_in_files_that_may_not_grow_is_repaired_when_they_may(tmp_path: Path) -> None:
    """Guards against a difference between the simulated disk and files of the system (setrlimit(2))."""

    async def run() -> None:
        store = await open_test_store(BackgroundSyncDisk(tmp_path))
        await store.commit([Put("t", b"a", b"1")])
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        size = store.segments[store.active_segment].size
        resource.setrlimit(resource.RLIMIT_FSIZE, (size + 10, limits[1]))
        try:
            with pytest.raises(StoreFailed, match="File too large"):
                await store.commit([Put("t", b"b", b"2")])
            await repair(store)
            assert store.failed
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        await repair(store)
        await store.commit([Put("t", b"c", b"3")])
        await store.close()
        again = await open_test_store(BackgroundSyncDisk(tmp_path))
        assert values(again) == {("t", b"a"): b"1", ("t", b"c"): b"3"} and again.was_incomplete
        await again.close()

    asyncio.run(run())


def test_a_closed_store_is_not_repaired() -> None:
    """Guards against a write to a folder that another process may hold by now."""

    async def run() -> None:
        store = await open_test_store(FaultDisk())
        await store.close()
        store.start_repair()
        assert store.failed == "closed" and store._writer is None

    asyncio.run(run())
