"""What every keeper of a node's promises must do, written once: disk, disk beside the loop, simulated disk, memory.

A step's writes are there whole once it is said so, in order, also after the process ended then; a removed key stays
removed; an error is told and nothing after it counts as kept. Broken ones are among them, and must fail.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from otterquay.cores.out import Out
from otterquay.fleet.node import TABLES
from otterquay.fleet.shell import load_tables
from otterquay.group.log import LOG, META, Log
from otterquay.group.messages import Entry
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.store import Delete, Put, StoreFailed, open_store
from otterquay.store.files import AsideDisk, Disk


class Kept:
    """Steps written through the store on some file layer."""

    def __init__(self, again: Callable[[], Any]) -> None:
        self.again, self.store = again, None

    async def open(self) -> None:
        self.files = self.again()
        self.store = await open_store(self.files, silent(), lambda: 0.0)

    async def write(self, out: Out) -> None:
        assert self.store is not None
        await self.store.commit(
            [Delete(w.table, w.key) if w.value is None else Put(w.table, w.key, w.value) for w in out.writes]
        )

    async def end(self) -> None:
        """The process ends, nothing more is said to the disk."""
        assert self.store is not None
        await self.files.close()

    def held(self) -> dict[str, dict[bytes, bytes]]:
        assert self.store is not None
        return {name: dict(rows) for name, rows in load_tables(self.store).items() if rows}


class Forgets(Kept):
    """Broken: says done before it is."""

    async def write(self, out: Out) -> None:
        pass


class Keeps(Kept):
    """Broken: never removes."""

    async def write(self, out: Out) -> None:
        out.writes = [w for w in out.writes if w.value is not None]
        await super().write(out)


def simulated() -> Callable[[], Any]:
    held = [FaultDisk()]

    def again() -> FaultDisk:
        held[0] = held[0].killed()
        return held[0]

    return again


LAYERS: dict[str, Callable[[Path], Callable[[], Any]]] = {
    "disk": lambda folder: lambda: Disk(folder),
    "disk beside the loop": lambda folder: lambda: AsideDisk(folder),
    "simulated disk": lambda folder: simulated(),
}


async def a_log_is_there_again(kept: Kept) -> None:
    await kept.open()
    log, state = Log(), []
    for turn in range(60):
        out = Out()
        if turn % 7 == 6:
            log.merge(max(log.last - 2, log.base), [Entry(turn, b"other%d" % turn)], out)
        elif turn % 20 == 19:
            log.cut(log.last - 1, b"state%d" % turn, out)
        else:
            log.add(Entry(turn, b"%d" % turn * 50), out)
        await kept.write(out)
        state = [(e.term, e.data) for e in log.entries]
        if turn % 10 == 9:
            await kept.end()
            await kept.open()
            held, again = kept.held(), Log()
            again.load(held.get(META, {}).get(b"snapshot"), sorted(held.get(LOG, {}).items()))
            assert [(e.term, e.data) for e in again.entries] == state
            assert (again.base, again.base_term, again.state) == (log.base, log.base_term, log.state)
    await kept.end()


async def steps_are_whole_and_removed_is_removed(kept: Kept) -> None:
    await kept.open()
    for i in range(20):
        out = Out()
        for table in TABLES:
            out.write(table, b"k", b"%d" % i)
            out.write(table, b"gone%d" % i, b"x")
            out.write(table, b"gone%d" % (i - 1), None)
        await kept.write(out)
    await kept.end()
    await kept.open()
    assert kept.held() == {table: {b"k": b"19", b"gone19": b"x"} for table in TABLES}
    await kept.end()


CONTRACT = [a_log_is_there_again, steps_are_whole_and_removed_is_removed]


@pytest.mark.parametrize("clause", CONTRACT, ids=lambda c: c.__name__)
@pytest.mark.parametrize("layer", LAYERS)
def test_every_keeper_keeps_the_contract(layer: str, clause: Any, tmp_path: Path) -> None:
    asyncio.run(clause(Kept(LAYERS[layer](tmp_path / "s"))))


@pytest.mark.parametrize(
    ("kind", "clause"),
    [
        (Forgets, a_log_is_there_again),
        (Forgets, steps_are_whole_and_removed_is_removed),
        (Keeps, steps_are_whole_and_removed_is_removed),
    ],
)
def test_a_broken_keeper_does_not(kind: type[Kept], clause: Any, tmp_path: Path) -> None:
    with pytest.raises(AssertionError):
        asyncio.run(clause(kind(LAYERS["disk"](tmp_path / "s"))))


@pytest.mark.parametrize("operation", ["append", "sync"])
def test_a_disk_that_fails_is_told_and_nothing_counts_after_it(operation: str) -> None:
    async def work() -> None:
        disk = FaultDisk()
        store = await open_store(disk, silent(), lambda: 0.0)

        def fail(what: str, name: str) -> None:
            if what == operation:
                raise OSError(28, "No space left on device")

        disk.fail = fail
        for _ in range(2):
            with pytest.raises(StoreFailed, match="No space"):
                await store.commit([Put(META, b"term", b"x")])

    asyncio.run(work())


HUNG_UP = """
import asyncio, os, signal, sys, uvloop
from pathlib import Path
from otterquay.store.files import AsideDisk

async def work():
    disk = AsideDisk(Path(sys.argv[1]))
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


def test_what_a_terminal_sends_to_a_group_does_not_end_the_process_that_syncs(tmp_path: Path) -> None:
    """An agent under nohup outlived its terminal, and its helper did not: uvloop starts it with signals open."""
    done = subprocess.run(
        [sys.executable, "-c", HUNG_UP, str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        start_new_session=True,
        cwd=Path(__file__).parents[2],
    )
    assert done.stdout == "synced\n", done.stderr[-500:]
