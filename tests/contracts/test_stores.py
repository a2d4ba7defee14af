"""Contract of the storage of a node, for each file layer: disk, disk with a sync subprocess, simulated disk.

The writes of a step are atomic and ordered, and durable once acknowledged, also if the process ends then; a removed
key stays removed; after a reported error nothing counts as stored. Deliberately broken implementations must fail.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from otterquay.cores.effects import Effects
from otterquay.fleet.node import TABLES
from otterquay.fleet.shell import load_tables
from otterquay.group.log import LOG, META, Log
from otterquay.group.messages import Entry
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.store import Delete, Put, StoreFailed, open_store
from otterquay.store.files import BackgroundSyncDisk, Disk


class NodeStorage:
    """Writes the steps of a node through the store on one file layer."""

    def __init__(self, open_files: Callable[[], Any]) -> None:
        self.open_files, self.store = open_files, None

    async def open(self) -> None:
        self.files = self.open_files()
        self.store = await open_store(self.files, silent(), lambda: 0.0)

    async def write(self, out: Effects) -> None:
        assert self.store is not None
        await self.store.commit(
            [Delete(w.table, w.key) if w.value is None else Put(w.table, w.key, w.value) for w in out.writes]
        )

    async def end(self) -> None:
        """End the process without any further disk operation."""
        assert self.store is not None
        await self.files.close()

    def read_tables(self) -> dict[str, dict[bytes, bytes]]:
        assert self.store is not None
        return {name: dict(rows) for name, rows in load_tables(self.store).items() if rows}


class DropsWrites(NodeStorage):
    """Broken: acknowledges writes without making them."""

    async def write(self, out: Effects) -> None:
        pass


class IgnoresDeletes(NodeStorage):
    """Broken: never removes a key."""

    async def write(self, out: Effects) -> None:
        out.writes = [w for w in out.writes if w.value is not None]
        await super().write(out)


def simulated() -> Callable[[], Any]:
    current = [FaultDisk()]

    def open_files() -> FaultDisk:
        current[0] = current[0].after_kill()
        return current[0]

    return open_files


LAYERS: dict[str, Callable[[Path], Callable[[], Any]]] = {
    "disk": lambda folder: lambda: Disk(folder),
    "disk with a sync subprocess": lambda folder: lambda: BackgroundSyncDisk(folder),
    "simulated disk": lambda folder: simulated(),
}


async def a_log_survives_restarts(storage: NodeStorage) -> None:
    await storage.open()
    log, state = Log(), []
    for turn in range(60):
        out = Effects()
        if turn % 7 == 6:
            log.merge(max(log.last - 2, log.snapshot_index), [Entry(turn, b"other%d" % turn)], out)
        elif turn % 20 == 19:
            log.compact(log.last - 1, b"state%d" % turn, out)
        else:
            log.append(Entry(turn, b"%d" % turn * 50), out)
        await storage.write(out)
        state = [(e.term, e.data) for e in log.entries]
        if turn % 10 == 9:
            await storage.end()
            await storage.open()
            stored, again = storage.read_tables(), Log()
            again.load(stored.get(META, {}).get(b"snapshot"), sorted(stored.get(LOG, {}).items()))
            assert [(e.term, e.data) for e in again.entries] == state
            assert (again.snapshot_index, again.snapshot_term, again.snapshot_state) == (
                log.snapshot_index,
                log.snapshot_term,
                log.snapshot_state,
            )
    await storage.end()


async def steps_are_atomic_and_deletes_are_durable(storage: NodeStorage) -> None:
    await storage.open()
    for i in range(20):
        out = Effects()
        for table in TABLES:
            out.write(table, b"k", b"%d" % i)
            out.write(table, b"gone%d" % i, b"x")
            out.write(table, b"gone%d" % (i - 1), None)
        await storage.write(out)
    await storage.end()
    await storage.open()
    assert storage.read_tables() == {table: {b"k": b"19", b"gone19": b"x"} for table in TABLES}
    await storage.end()


CONTRACT = [a_log_survives_restarts, steps_are_atomic_and_deletes_are_durable]


@pytest.mark.parametrize("clause", CONTRACT, ids=lambda c: c.__name__)
@pytest.mark.parametrize("layer", LAYERS)
def test_every_file_layer_meets_the_contract(layer: str, clause: Any, tmp_path: Path) -> None:
    asyncio.run(clause(NodeStorage(LAYERS[layer](tmp_path / "s"))))


@pytest.mark.parametrize(
    ("kind", "clause"),
    [
        (DropsWrites, a_log_survives_restarts),
        (DropsWrites, steps_are_atomic_and_deletes_are_durable),
        (IgnoresDeletes, steps_are_atomic_and_deletes_are_durable),
    ],
)
def test_a_broken_implementation_fails_the_contract(kind: type[NodeStorage], clause: Any, tmp_path: Path) -> None:
    with pytest.raises(AssertionError):
        asyncio.run(clause(kind(LAYERS["disk"](tmp_path / "s"))))


@pytest.mark.parametrize("operation", ["append", "sync"])
def test_a_disk_error_is_reported_and_later_writes_fail(operation: str) -> None:
    async def work() -> None:
        disk = FaultDisk()
        store = await open_store(disk, silent(), lambda: 0.0)

        def fail(called: str, name: str) -> None:
            if called == operation:
                raise OSError(28, "No space left on device")

        disk.fail = fail
        for _ in range(2):
            with pytest.raises(StoreFailed, match="No space"):
                await store.commit([Put(META, b"term", b"x")])

    asyncio.run(work())


SIGNALLED_PROCESS = """
import asyncio, os, signal, sys, uvloop
from pathlib import Path
from otterquay.store.files import BackgroundSyncDisk

async def work():
    disk = BackgroundSyncDisk(Path(sys.argv[1]))
    await disk.sync_folder()
    os.killpg(0, signal.SIGHUP)
    os.killpg(0, signal.SIGINT)
    await asyncio.sleep(0.3)
    await disk.sync_folder()
    await disk.close()
    print("synced")

for number in (signal.SIGHUP, signal.SIGINT):
    signal.signal(number, signal.SIG_IGN)
uvloop.run(work())
"""


def test_signals_to_the_process_group_do_not_end_the_sync_subprocess(tmp_path: Path) -> None:
    """An agent under nohup outlived its terminal, but its sync subprocess did not.

    uvloop starts subprocesses with default signal handlers, so the hangup signal ended it.
    """
    done = subprocess.run(
        [sys.executable, "-c", SIGNALLED_PROCESS, str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        start_new_session=True,
        cwd=Path(__file__).parents[2],
    )
    assert done.stdout == "synced\n", done.stderr[-500:]
