"""`otterquay store ...`: look into a store's folder, copy it, compact it, salvage what a damaged one holds."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from otterquay.logs import configure
from otterquay.store import Damaged, Store, StoreFailed, open_store
from otterquay.store.files import Disk
from otterquay.store.parts import segment_name
from otterquay.store.salvage import Report, backup, salvage, verify

FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)
NEW = click.Path(file_okay=False, path_type=Path)
T = TypeVar("T")


@click.group("store")
def store_commands() -> None:
    """A store folder. All but compact only read, and may be used while an agent writes there."""


def _clock() -> Callable[[], float]:
    return asyncio.get_running_loop().time


def _run(folder: Path, work: Coroutine[Any, Any, T]) -> T:
    try:
        return asyncio.run(work)
    except (Damaged, StoreFailed, OSError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)


async def _look(folder: Path) -> Store:
    return await open_store(Disk(folder), configure("error", "console"), _clock(), look=True)


def _tell(folder: Path, report: Report) -> None:
    for name, offset, reason in report.bad:
        click.echo(f"{folder / name}: offset {offset}: {reason}")
    for first, last in report.missing:
        click.echo(f"{folder}: records {first} to {last} are missing; a key that they changed shows an older value")


@store_commands.command("verify")
@click.argument("folder", type=FOLDER)
def verify_command(folder: Path) -> None:
    """Read every record of FOLDER, beside the hints that opening goes by; exit 1 where one is damaged."""

    async def work() -> tuple[Store, Report]:
        opened = await _look(folder)
        return opened, verify(Disk(folder))

    opened, report = _run(folder, work())
    newest = segment_name(opened.number)
    bad = [b for b in report.bad if not (b[0] == newest and opened.cut_bytes)]
    report.bad = bad
    _tell(folder, report)
    torn = f"; {opened.cut_bytes} bytes of a torn tail, which opening to write cuts" if opened.cut_bytes else ""
    if not bad and not report.missing:
        click.echo(f"{folder}: whole, {report.records} records, {report.entries} entries{torn}")
    sys.exit(1 if bad or report.missing else 0)


@store_commands.command()
@click.argument("folder", type=FOLDER)
def stat(folder: Path) -> None:
    """Tables with their keys, segments with their sizes, as one JSON object."""

    async def work() -> dict[str, Any]:
        opened = await _look(folder)
        return {
            "tables": opened.tables(),
            "segments": {segment_name(n): s.size for n, s in opened.segments.items()},
            "records": opened.sequence,
            "bytes": opened.total_bytes(),
            "bytes_alive": opened.index.live,
            "oldest": segment_name(opened.oldest),
            "store_time_ms": opened.time,
            "torn_bytes": opened.cut_bytes,
        }

    click.echo(json.dumps(_run(folder, work()), indent=1))


@store_commands.command()
@click.argument("folder", type=FOLDER)
@click.option("--table", help="This table only.")
def dump(folder: Path, table: str | None) -> None:
    """Every key and value in order, a JSON object a line, bytes in hexadecimal; `ends_ms` is store time."""

    async def work() -> None:
        opened = await _look(folder)
        for name in opened.tables():
            if table in (None, name):
                ends = opened.index.tables[name].ends
                for key, value in opened.scan(name):
                    life = {"ends_ms": ends[key]} if key in ends else {}
                    click.echo(json.dumps({"table": name, "key": key.hex(), "value": value.hex(), **life}))

    _run(folder, work())


@store_commands.command()
@click.argument("folder", type=FOLDER)
def compact(folder: Path) -> None:
    """Write what is alive anew and remove the rest. Needs the folder to itself."""

    async def work() -> tuple[int, int]:
        opened = await open_store(Disk(folder), configure("warning", "console"), _clock())
        before = opened.total_bytes()
        await opened.compact()
        after = opened.total_bytes()
        await opened.close()
        return before, after

    before, after = _run(folder, work())
    click.echo(f"{folder}: {before} bytes before, {after} after")


@store_commands.command("backup")
@click.argument("folder", type=FOLDER)
@click.argument("to", type=NEW)
def backup_command(folder: Path, to: Path) -> None:
    """Copy FOLDER into TO, new or empty, also while an agent writes; the copy is opened and read whole."""

    async def work() -> tuple[int, int, int]:
        count, size = await backup(Disk(folder), Disk(to))
        copy = await open_store(Disk(to), configure("error", "console"), _clock(), look=True, hints=False)
        return count, size, sum(copy.tables().values())

    count, size, keys = _run(folder, work())
    click.echo(f"{to}: {count} segments, {size} bytes, {keys} keys")


@store_commands.command()
@click.argument("folder", type=FOLDER)
@click.option("--to", type=NEW, required=True, help="Folder for what is whole, new or empty.")
def repair(folder: Path, to: Path) -> None:
    """Put what is whole of a damaged FOLDER into another one and tell what is not; FOLDER stays as it is."""

    async def work() -> Report:
        return await salvage(Disk(folder), Disk(to), configure("warning", "console"), _clock())

    report = _run(folder, work())
    _tell(folder, report)
    click.echo(f"{to}: {report.entries} entries of {report.records} whole records")
