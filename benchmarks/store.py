"""The store beside sqlite3 (WAL, synchronous FULL) on the same work, in one run on one disk.

    python benchmarks/store.py [--writes 2000] [--out FILE]

Synced single writes, and commits of 16 and 256 writers at once (sqlite3: as many rows in one transaction, the most
favourable to it); opening what was written. Values are 100 bytes. What a sync costs is the disk's affair: compare.
"""

from __future__ import annotations

import asyncio
import json
import random
import sqlite3
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from otterquay.logs import silent
from otterquay.store import Store
from otterquay.store.files import Disk


async def ours(folder: Path, writes: int, group: int) -> tuple[float, float]:
    """Writes a second in groups, and seconds to open."""
    store, rng = Store.open(Disk(folder), silent()), random.Random(1)
    begin = time.perf_counter()
    for at in range(0, writes, group):
        await asyncio.gather(*(store.commit([("t", b"%012d" % (at + i), rng.randbytes(100))])
                               for i in range(group)))
    took = time.perf_counter() - begin
    store.close()
    begin = time.perf_counter()
    Store.open(Disk(folder), silent()).close()
    return writes / took, time.perf_counter() - begin


def sqlite(folder: Path, writes: int, group: int) -> tuple[float, float]:
    """The same with sqlite3."""
    folder.mkdir()
    base, rng = sqlite3.connect(folder / "db", isolation_level=None), random.Random(1)
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("create table t(k blob primary key, v blob) without rowid")
    begin = time.perf_counter()
    for at in range(0, writes, group):
        base.execute("begin")
        base.executemany("insert or replace into t values(?, ?)",
                         [(b"%012d" % (at + i), rng.randbytes(100)) for i in range(group)])
        base.execute("commit")
    took = time.perf_counter() - begin
    base.close()
    begin = time.perf_counter()
    again = sqlite3.connect(folder / "db")
    again.execute("select count(*) from t").fetchone()
    again.close()
    return writes / took, time.perf_counter() - begin


def measure(writes: int, rounds: int = 3) -> dict[str, Any]:
    """All figures: medians of rounds in turn."""
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as scratch:
        for group in (1, 16, 256):
            rows: dict[str, list[tuple[float, float]]] = {"store": [], "sqlite3": []}
            count = max(writes // group * group, group) * (1 if group == 1 else 4)
            for i in range(rounds):
                rows["store"].append(asyncio.run(ours(Path(scratch) / f"o{group}-{i}", count, group)))
                rows["sqlite3"].append(sqlite(Path(scratch) / f"s{group}-{i}", count, group))
            found[f"{group} at once"] = {
                **{name: {"writes_per_s": round(statistics.median(r for r, _ in v)),
                          "open_ms": round(statistics.median(o for _, o in v) * 1e3, 1)}
                   for name, v in rows.items()},
                "keys": count}
    return found


@click.command()
@click.option("--writes", default=2000)
@click.option("--out", type=click.Path(path_type=Path))
def main(writes: int, out: Path | None) -> None:
    """Measure and print one JSON object."""
    text = json.dumps(measure(writes), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
