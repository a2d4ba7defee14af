"""The store compared with sqlite3 (WAL, synchronous FULL) and lmdb on the same work, in one run on one disk.

    python benchmarks/store.py [--writes 2000] [--keys 1000 --keys 100000] [--rounds 3] [--out FILE]

Measures synced commits of 1, 16 and 256 concurrent writers (for sqlite3 and lmdb as many rows in one transaction,
which favours them most); random reads, a full scan and opening, by number of keys; and overwriting with concurrent
compaction: bytes written per byte of data, disk space relative to live data, and commit latency. Values are 100
bytes. The cost of a sync depends on the disk: compare figures of one run only.
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

VALUE_BYTES = 100


class OtterquayStore:
    """Our store, with syncs in the event loop's thread or in a background thread."""

    def __init__(self, folder: Path, background_sync: bool = False, options: Options | None = None) -> None:
        self.loop = asyncio.new_event_loop()
        disk = BackgroundSyncDisk(folder) if background_sync else Disk(folder)
        self.engine: Store = self.loop.run_until_complete(open_store(disk, silent(), time.monotonic, options))

    def commit_group(self, rows: list[tuple[bytes, bytes]]) -> None:
        async def run() -> None:
            await asyncio.gather(*(self.engine.commit([Put("t", k, v)]) for k, v in rows))

        self.loop.run_until_complete(run())

    def commit_batch(self, rows: list[tuple[bytes, bytes]]) -> None:
        self.loop.run_until_complete(self.engine.commit([Put("t", k, v) for k, v in rows]))

    def get(self, key: bytes) -> bytes | None:
        return self.engine.get("t", key)

    def scan(self) -> int:
        return sum(1 for _ in self.engine.scan("t"))

    def close(self) -> None:
        self.loop.run_until_complete(self.engine.close())
        self.loop.close()


class Sqlite:
    """sqlite3 with a write-ahead log and one sync per transaction."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(exist_ok=True)
        self.connection = sqlite3.connect(folder / "db", isolation_level=None)
        self.connection.execute("pragma journal_mode=wal")
        self.connection.execute("pragma synchronous=full")
        self.connection.execute("create table if not exists t(k blob primary key, v blob) without rowid")

    def commit_group(self, rows: list[tuple[bytes, bytes]]) -> None:
        self.connection.execute("begin")
        self.connection.executemany("insert or replace into t values(?, ?)", rows)
        self.connection.execute("commit")

    commit_batch = commit_group

    def get(self, key: bytes) -> bytes | None:
        row = self.connection.execute("select v from t where k = ?", (key,)).fetchone()
        return row[0] if row else None

    def scan(self) -> int:
        return sum(1 for _ in self.connection.execute("select k, v from t order by k"))

    def close(self) -> None:
        self.connection.close()


class Lmdb:
    """lmdb with one sync per transaction."""

    def __init__(self, folder: Path) -> None:
        self.env = lmdb.open(str(folder), map_size=4 << 30)

    def commit_group(self, rows: list[tuple[bytes, bytes]]) -> None:
        with self.env.begin(write=True) as txn:
            for key, value in rows:
                txn.put(key, value)

    commit_batch = commit_group

    def get(self, key: bytes) -> bytes | None:
        with self.env.begin() as txn:
            return txn.get(key)

    def scan(self) -> int:
        with self.env.begin() as txn:
            return sum(1 for _ in txn.cursor())

    def close(self) -> None:
        self.env.close()


STORES: dict[str, Callable[[Path], Any]] = {
    "store": OtterquayStore,
    "store, synced aside": lambda f: OtterquayStore(f, background_sync=True),
    "sqlite3": Sqlite,
    "lmdb": Lmdb,
}


def timed(work: Callable[[], Any]) -> float:
    """Return the seconds that a piece of work takes."""
    begin = time.perf_counter()
    work()
    return time.perf_counter() - begin


def make_rows(rng: random.Random, first: int, count: int) -> list[tuple[bytes, bytes]]:
    """Return rows with ascending keys and random values."""
    return [(b"%012d" % i, rng.randbytes(VALUE_BYTES)) for i in range(first, first + count)]


def measure_commits(writes: int, rounds: int, scratch: Path) -> dict[str, Any]:
    """Measure rows per second with one sync per group: the median, minimum and maximum of alternating rounds."""
    results: dict[str, Any] = {}
    for size in (1, 16, 256):
        rates: dict[str, list[float]] = {name: [] for name in STORES}
        group_count = max(writes // size, 20) * (1 if size == 1 else 4)
        for i in range(rounds):
            for name, make in STORES.items():
                folder, rng = scratch / f"{name}-{size}-{i}", random.Random(1)
                store = make(folder)
                groups = [make_rows(rng, number * size, size) for number in range(group_count)]
                duration_s = timed(lambda s=store, g=groups: [s.commit_group(rows) for rows in g])
                rates[name].append(group_count * size / duration_s)
                store.close()
                shutil.rmtree(folder)
        results[f"{size} at once"] = {
            name: {"rows_per_s": round(statistics.median(r)), "range": [round(min(r)), round(max(r))]}
            for name, r in rates.items()
        }
    return results


def measure_size(keys: int, scratch: Path) -> dict[str, Any]:
    """Measure filling in batches of 1,000 rows, opening, reads, scans and bytes on disk for a number of keys."""
    results: dict[str, Any] = {}
    for name, make in STORES.items():
        if name == "store, synced aside":
            continue
        folder, rng = scratch / f"{name}-{keys}", random.Random(1)
        store = make(folder)
        fill_s = timed(
            lambda s=store, r=rng: [
                s.commit_batch(make_rows(r, first_key, min(1000, keys - first_key)))
                for first_key in range(0, keys, 1000)
            ]
        )
        store.close()
        opened: list[Any] = []
        open_times = []
        for _ in range(3):
            if opened:
                opened.pop().close()
            open_times.append(timed(lambda m=make, f=folder, o=opened: o.append(m(f))))
        store = opened[0]
        wanted = [b"%012d" % rng.randrange(keys) for _ in range(20_000)]
        reads_s = timed(lambda s=store, w=wanted: [s.get(k) for k in w])
        first_scan_s, scan_s = timed(store.scan), timed(store.scan)
        results[name] = {
            "fill_rows_per_s": round(keys / fill_s),
            "open_ms": round(statistics.median(open_times) * 1e3, 1),
            "reads_per_s": round(len(wanted) / reads_s),
            "first_scan_rows_per_s": round(keys / first_scan_s),
            "scan_rows_per_s": round(keys / scan_s),
            "bytes_per_row": round(sum(p.stat().st_size for p in folder.iterdir()) / keys),
        }
        store.close()
        shutil.rmtree(folder)
    return results


def disk_bytes_written() -> int:
    """Return the bytes that this process has sent to the disk so far."""
    with open("/proc/self/io") as file:
        return int(dict(line.split(": ") for line in file.read().splitlines())["write_bytes"])


def measure_overwriting(keys: int, commits: int, scratch: Path) -> dict[str, Any]:
    """Measure sequential commits of 16 rows that overwrite random ones of `keys`, while space is reclaimed."""
    results: dict[str, Any] = {}
    for name, make in STORES.items():
        if name == "store, synced aside":
            continue
        folder, rng = scratch / f"{name}-over", random.Random(1)
        store = OtterquayStore(folder, options=Options(segment_bytes=1 << 20)) if name == "store" else make(folder)
        for first_key in range(0, keys, 1000):
            store.commit_batch(make_rows(rng, first_key, 1000))
        bytes_before, latencies, max_bytes = disk_bytes_written(), [], 0
        for i in range(commits):
            rows = [(b"%012d" % rng.randrange(keys), rng.randbytes(VALUE_BYTES)) for _ in range(16)]
            latencies.append(timed(lambda s=store, r=rows: s.commit_batch(r)))
            if i % 100 == 0:
                max_bytes = max(max_bytes, sum(p.stat().st_size for p in folder.iterdir()))
        latencies.sort()
        data_bytes = commits * 16 * (VALUE_BYTES + 12)
        results[name] = {
            "p50_ms": round(latencies[commits // 2] * 1e3, 3),
            "p99_ms": round(latencies[-commits // 100] * 1e3, 3),
            "most_ms": round(latencies[-1] * 1e3, 1),
            "disk_bytes_per_byte_given": round((disk_bytes_written() - bytes_before) / data_bytes, 1),
            "most_space_per_byte_alive": round(max_bytes / (keys * (VALUE_BYTES + 12)), 2),
        }
        if isinstance(store, OtterquayStore):
            results[name]["log_bytes_per_byte_given"] = round(
                store.engine.written_bytes / (data_bytes + keys * 112), 2
            )
            results[name]["segments_removed"] = store.engine.oldest - 1
        store.close()
        shutil.rmtree(folder)
    return results


def measure_loop_gaps(scratch: Path, seconds: float) -> dict[str, Any]:
    """Measure how long other work of the event loop waits while 16 writers commit and compaction runs."""
    results = {}
    for name, background_sync in (("store", False), ("store, synced aside", True)):

        async def run(background_sync: bool = background_sync) -> list[float]:
            disk = (BackgroundSyncDisk if background_sync else Disk)(scratch / f"held-{background_sync}")
            store = await open_store(disk, silent(), time.monotonic, Options(segment_bytes=1 << 20))
            stop, gaps, rng = False, list[float](), random.Random(1)

            async def write() -> None:
                while not stop:
                    await store.commit([Put("t", b"%d" % rng.randrange(5000), rng.randbytes(VALUE_BYTES))])

            tasks = [asyncio.create_task(write()) for _ in range(16)]
            previous = time.perf_counter()
            until = previous + seconds
            while previous < until:
                await asyncio.sleep(0)
                now = time.perf_counter()
                gaps.append(now - previous)
                previous = now
            stop = True
            await asyncio.gather(*tasks)
            await store.close()
            return sorted(gaps)

        gaps = asyncio.run(run())
        results[name] = {
            "p99_ms": round(gaps[int(len(gaps) * 0.99)] * 1e3, 2),
            "p99.9_ms": round(gaps[int(len(gaps) * 0.999)] * 1e3, 2),
            "most_ms": round(gaps[-1] * 1e3, 1),
        }
    return results


@click.command()
@click.option("--writes", default=2000)
@click.option("--keys", multiple=True, type=int, default=(1000, 100_000, 1_000_000))
@click.option("--rounds", default=3)
@click.option("--overwritten", default=50_000, help="Keys that are written over.")
@click.option("--commits", default=8000, help="Commits of 16 rows that write over them.")
@click.option("--seconds", default=4.0, help="Time in which the turns of the loop are timed.")
@click.option("--out", type=click.Path(path_type=Path))
def main(
    writes: int,
    keys: tuple[int, ...],
    rounds: int,
    overwritten: int,
    commits: int,
    seconds: float,
    out: Path | None,
) -> None:
    """Measure and print one JSON object."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("OTTERQUAY_SCRATCH")) as scratch:
        scratch_folder = Path(scratch)
        results = {
            "synced": measure_commits(writes, rounds, scratch_folder),
            "by_size": {str(n): measure_size(n, scratch_folder) for n in keys},
            f"overwriting {overwritten:,} keys": measure_overwriting(overwritten, commits, scratch_folder),
            "turns of the loop": measure_loop_gaps(scratch_folder, seconds),
            "most_memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        }
    text = json.dumps(results, indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
