"""The store beside sqlite3 (WAL, synchronous FULL) and lmdb on the same work, in one run on one disk.

    python benchmarks/store.py [--writes 2000] [--keys 1000 100000 1000000] [--rounds 3] [--out FILE]

Synced commits of 1, 16 and 256 writers at once (sqlite3 and lmdb: as many rows in one transaction, the most
favourable to them); random reads, a scan of all, and opening by size; overwriting while compaction keeps up: bytes
written for each byte given, space against what is alive, and how long a commit takes. Values are 100 bytes.
What a sync costs is the disk's affair: compare within a run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shutil
import sqlite3
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import lmdb

from otterquay.logs import silent
from otterquay.store import Options, Put, Store, open_store
from otterquay.store.files import BackgroundSyncDisk, Disk

VALUE = 100


class Ours:
    """The store, its disk synced in the loop or aside."""

    def __init__(self, folder: Path, aside: bool = False, options: Options | None = None) -> None:
        self.loop = asyncio.new_event_loop()
        disk = BackgroundSyncDisk(folder) if aside else Disk(folder)
        self.store: Store = self.loop.run_until_complete(open_store(disk, silent(), time.monotonic, options))

    def group(self, rows: list[tuple[bytes, bytes]]) -> None:
        async def run() -> None:
            await asyncio.gather(*(self.store.commit([Put("t", k, v)]) for k, v in rows))

        self.loop.run_until_complete(run())

    def one(self, rows: list[tuple[bytes, bytes]]) -> None:
        self.loop.run_until_complete(self.store.commit([Put("t", k, v) for k, v in rows]))

    def get(self, key: bytes) -> bytes | None:
        return self.store.get("t", key)

    def scan(self) -> int:
        return sum(1 for _ in self.store.scan("t"))

    def close(self) -> None:
        self.loop.run_until_complete(self.store.close())
        self.loop.close()


class Sqlite:
    """sqlite3, write-ahead log, a sync a transaction."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        self.base = sqlite3.connect(folder / "db", isolation_level=None)
        self.base.execute("pragma journal_mode=wal")
        self.base.execute("pragma synchronous=full")
        self.base.execute("create table if not exists t(k blob primary key, v blob) without rowid")

    def group(self, rows: list[tuple[bytes, bytes]]) -> None:
        self.base.execute("begin")
        self.base.executemany("insert or replace into t values(?, ?)", rows)
        self.base.execute("commit")

    one = group

    def get(self, key: bytes) -> bytes | None:
        row = self.base.execute("select v from t where k = ?", (key,)).fetchone()
        return row[0] if row else None

    def scan(self) -> int:
        return sum(1 for _ in self.base.execute("select k, v from t order by k"))

    def close(self) -> None:
        self.base.close()


class Lmdb:
    """lmdb, a sync a transaction."""

    def __init__(self, folder: Path) -> None:
        self.env = lmdb.open(str(folder), map_size=4 << 30)

    def group(self, rows: list[tuple[bytes, bytes]]) -> None:
        with self.env.begin(write=True) as txn:
            for key, value in rows:
                txn.put(key, value)

    one = group

    def get(self, key: bytes) -> bytes | None:
        with self.env.begin() as txn:
            return txn.get(key)

    def scan(self) -> int:
        with self.env.begin() as txn:
            return sum(1 for _ in txn.cursor())

    def close(self) -> None:
        self.env.close()


KINDS: dict[str, Callable[[Path], Any]] = {
    "store": Ours,
    "store, synced aside": lambda f: Ours(f, aside=True),
    "sqlite3": Sqlite,
    "lmdb": Lmdb,
}


def timed(work: Callable[[], Any]) -> float:
    """Seconds."""
    begin = time.perf_counter()
    work()
    return time.perf_counter() - begin


def rows_of(rng: random.Random, first: int, count: int) -> list[tuple[bytes, bytes]]:
    """Rows with keys that count up."""
    return [(b"%012d" % i, rng.randbytes(VALUE)) for i in range(first, first + count)]


def syncs(writes: int, rounds: int, scratch: Path) -> dict[str, Any]:
    """Rows a second with a sync for each group, medians of rounds in turn, and the lowest and highest."""
    found: dict[str, Any] = {}
    for size in (1, 16, 256):
        rates: dict[str, list[float]] = {name: [] for name in KINDS}
        count = max(writes // size, 20) * (1 if size == 1 else 4)
        for i in range(rounds):
            for name, make in KINDS.items():
                folder, rng = scratch / f"{name}-{size}-{i}", random.Random(1)
                base = make(folder)
                groups = [rows_of(rng, at * size, size) for at in range(count)]
                took = timed(lambda b=base, g=groups: [b.group(rows) for rows in g])
                rates[name].append(count * size / took)
                base.close()
                shutil.rmtree(folder)
        found[f"{size} at once"] = {
            name: {"rows_per_s": round(statistics.median(r)), "range": [round(min(r)), round(max(r))]}
            for name, r in rates.items()
        }
    return found


def by_size(keys: int, scratch: Path) -> dict[str, Any]:
    """Filling in batches of 1,000 rows; opening; reads; a scan; bytes on disk."""
    found: dict[str, Any] = {}
    for name, make in KINDS.items():
        if name == "store, synced aside":
            continue
        folder, rng = scratch / f"{name}-{keys}", random.Random(1)
        base = make(folder)
        fill = timed(
            lambda b=base, r=rng: [b.one(rows_of(r, at, min(1000, keys - at))) for at in range(0, keys, 1000)]
        )
        base.close()
        opened: list[Any] = []
        opens = []
        for _ in range(3):
            if opened:
                opened.pop().close()
            opens.append(timed(lambda m=make, f=folder, o=opened: o.append(m(f))))
        base = opened[0]
        wanted = [b"%012d" % rng.randrange(keys) for _ in range(20_000)]
        reads = timed(lambda b=base, w=wanted: [b.get(k) for k in w])
        first, scan = timed(base.scan), timed(base.scan)
        found[name] = {
            "fill_rows_per_s": round(keys / fill),
            "open_ms": round(statistics.median(opens) * 1e3, 1),
            "reads_per_s": round(len(wanted) / reads),
            "first_scan_rows_per_s": round(keys / first),
            "scan_rows_per_s": round(keys / scan),
            "bytes_per_row": round(sum(p.stat().st_size for p in folder.iterdir()) / keys),
        }
        base.close()
        shutil.rmtree(folder)
    return found


def written() -> int:
    """Bytes that this process gave to the disk so far."""
    with open("/proc/self/io") as file:
        return int(dict(line.split(": ") for line in file.read().splitlines())["write_bytes"])


def overwriting(keys: int, commits: int, scratch: Path) -> dict[str, Any]:
    """Commits of one row over a store of `keys`, one after another, while space is reclaimed."""
    found: dict[str, Any] = {}
    for name, make in KINDS.items():
        if name == "store, synced aside":
            continue
        folder, rng = scratch / f"{name}-over", random.Random(1)
        base = Ours(folder, options=Options(segment_bytes=1 << 20)) if name == "store" else make(folder)
        for at in range(0, keys, 1000):
            base.one(rows_of(rng, at, 1000))
        before, waits, worst = written(), [], 0
        for i in range(commits):
            rows = [(b"%012d" % rng.randrange(keys), rng.randbytes(VALUE)) for _ in range(16)]
            waits.append(timed(lambda b=base, r=rows: b.one(r)))
            if i % 100 == 0:
                worst = max(worst, sum(p.stat().st_size for p in folder.iterdir()))
        waits.sort()
        given = commits * 16 * (VALUE + 12)
        found[name] = {
            "p50_ms": round(waits[commits // 2] * 1e3, 3),
            "p99_ms": round(waits[-commits // 100] * 1e3, 3),
            "most_ms": round(waits[-1] * 1e3, 1),
            "disk_bytes_per_byte_given": round((written() - before) / given, 1),
            "most_space_per_byte_alive": round(worst / (keys * (VALUE + 12)), 2),
        }
        if isinstance(base, Ours):
            found[name]["log_bytes_per_byte_given"] = round(base.store.written_bytes / (given + keys * 112), 2)
            found[name]["segments_removed"] = base.store.oldest - 1
        base.close()
        shutil.rmtree(folder)
    return found


def held_up(scratch: Path) -> dict[str, Any]:
    """The longest that other work of the loop waits while 16 writers commit and compaction runs."""
    found = {}
    for name, aside in (("store", False), ("store, synced aside", True)):

        async def run(aside: bool = aside) -> list[float]:
            disk = (BackgroundSyncDisk if aside else Disk)(scratch / f"held-{aside}")
            store = await open_store(disk, silent(), time.monotonic, Options(segment_bytes=1 << 20))
            stop, gaps, rng = False, list[float](), random.Random(1)

            async def write() -> None:
                while not stop:
                    await store.commit([Put("t", b"%d" % rng.randrange(5000), rng.randbytes(VALUE))])

            tasks = [asyncio.create_task(write()) for _ in range(16)]
            last = time.perf_counter()
            until = last + 4
            while last < until:
                await asyncio.sleep(0)
                now = time.perf_counter()
                gaps.append(now - last)
                last = now
            stop = True
            await asyncio.gather(*tasks)
            await store.close()
            return sorted(gaps)

        gaps = asyncio.run(run())
        found[name] = {
            "p99_ms": round(gaps[int(len(gaps) * 0.99)] * 1e3, 2),
            "p99.9_ms": round(gaps[int(len(gaps) * 0.999)] * 1e3, 2),
            "most_ms": round(gaps[-1] * 1e3, 1),
        }
    return found


@click.command()
@click.option("--writes", default=2000)
@click.option("--keys", multiple=True, type=int, default=(1000, 100_000, 1_000_000))
@click.option("--rounds", default=3)
@click.option("--out", type=click.Path(path_type=Path))
def main(writes: int, keys: tuple[int, ...], rounds: int, out: Path | None) -> None:
    """Measure and print one JSON object."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("OTTERQUAY_SCRATCH")) as scratch:
        folder = Path(scratch)
        found = {
            "synced": syncs(writes, rounds, folder),
            "by_size": {str(n): by_size(n, folder) for n in keys},
            "overwriting 50,000 keys": overwriting(50_000, 8000, folder),
            "turns of the loop": held_up(folder),
            "most_memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        }
    text = json.dumps(found, indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
