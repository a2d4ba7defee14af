"""`otterquay store ...`: inspects, copies and compacts a store's folder, and recovers the data of a damaged one."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from otterquay.logs import configure_logging
from otterquay.store import Store, StoreCorrupted, StoreFailed, open_store, read_boot_id
from otterquay.store.definitions import segment_name
from otterquay.store.files import Disk
from otterquay.store.salvage import Report, backup, salvage, verify

EXISTING_FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)
NEW_FOLDER = click.Path(file_okay=False, path_type=Path)
T = TypeVar("T")


@click.group("store")
def store_commands() -> None:
    """Inspect, copy, compact and repair store folders.

    All commands but compact only read FOLDER, and may be used while an agent writes to it.
    """


def _loop_clock() -> Callable[[], float]:
    return asyncio.get_running_loop().time


def _run(folder: Path, work: Coroutine[Any, Any, T]) -> T:
    try:
        return asyncio.run(work)
    except (StoreCorrupted, StoreFailed, OSError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)


async def _open(folder: Path, log_level: str, read_only: bool = False, hints: bool = True) -> Store:
    return await open_store(
        Disk(folder),
        configure_logging(log_level, "console"),
        _loop_clock(),
        read_only=read_only,
        hints=hints,
        boot_id=read_boot_id(),
    )


async def _open_read_only(folder: Path, hints: bool = True) -> Store:
    return await _open(folder, "error", read_only=True, hints=hints)


def _print_damage(folder: Path, report: Report) -> None:
    for name, offset, reason in report.damage:
        click.echo(f"{folder / name}: offset {offset}: {reason}")
    for first, last in report.missing:
        click.echo(f"{folder}: records {first} to {last} are missing; keys that they changed have older values")


@store_commands.command("verify")
@click.argument("folder", type=EXISTING_FOLDER)
def verify_command(folder: Path) -> None:
    """Read every record of FOLDER, not only the hint files that opening uses; exit 1 when one is damaged."""

    async def work() -> tuple[Store, Report]:
        opened = await _open_read_only(folder)
        return opened, verify(Disk(folder))

    opened, report = _run(folder, work())
    newest = segment_name(opened.active_segment)
    bad = [b for b in report.damage if not (b[0] == newest and opened.truncated_bytes)]
    report.damage = bad
    _print_damage(folder, report)
    torn_note = (
        f"; {opened.truncated_bytes} bytes of a torn tail, which the next opening for writing cuts off"
        if opened.truncated_bytes
        else ""
    )
    if not bad and not report.missing:
        click.echo(f"{folder}: whole, {report.records} records, {report.entries} entries{torn_note}")
    sys.exit(1 if bad or report.missing else 0)


@store_commands.command()
@click.argument("folder", type=EXISTING_FOLDER)
def stat(folder: Path) -> None:
    """Print the tables with their numbers of keys and the segments with their sizes, as one JSON object."""

    async def work() -> dict[str, Any]:
        opened = await _open_read_only(folder)
        return {
            "tables": opened.tables(),
            "segments": {segment_name(n): s.size for n, s in opened.segments.items()},
            "records": opened.sequence,
            "bytes": opened.total_bytes(),
            "bytes_alive": opened.index.live_bytes,
            "oldest": segment_name(opened.oldest),
            "store_time_ms": opened.time,
            "torn_bytes": opened.truncated_bytes,
        }

    click.echo(json.dumps(_run(folder, work()), indent=1))


@store_commands.command()
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--table", help="Only this table.")
def dump(folder: Path, table: str | None) -> None:
    """Print every key and value in order, one JSON object per line, bytes in hexadecimal.

    `ends_ms` is the store time at which a key expires.
    """

    async def work() -> None:
        opened = await _open_read_only(folder)
        for name in opened.tables():
            if table in (None, name):
                expiry_times = opened.index.tables[name].expiry_times
                for key, value in opened.scan(name):
                    expiry = {"ends_ms": expiry_times[key]} if key in expiry_times else {}
                    click.echo(json.dumps({"table": name, "key": key.hex(), "value": value.hex(), **expiry}))

    _run(folder, work())


@store_commands.command()
@click.argument("folder", type=EXISTING_FOLDER)
def compact(folder: Path) -> None:
    """Rewrite the live entries of FOLDER and remove the rest. No other process may use the folder."""

    async def work() -> tuple[int, int]:
        opened = await _open(folder, "warning")
        before = opened.total_bytes()
        await opened.compact()
        after = opened.total_bytes()
        await opened.close()
        return before, after

    before, after = _run(folder, work())
    click.echo(f"{folder}: {before} bytes before, {after} after")


@store_commands.command("backup")
@click.argument("folder", type=EXISTING_FOLDER)
@click.argument("to", type=NEW_FOLDER)
def backup_command(folder: Path, to: Path) -> None:
    """Copy FOLDER into TO, a new or empty folder, even while an agent writes; then open and read the whole copy."""

    async def work() -> tuple[int, int, int]:
        count, size = await backup(Disk(folder), Disk(to))
        copy = await _open_read_only(to, hints=False)
        return count, size, sum(copy.tables().values())

    count, size, keys = _run(folder, work())
    click.echo(f"{to}: {count} segments, {size} bytes, {keys} keys")


@store_commands.command()
@click.argument("folder", type=EXISTING_FOLDER)
@click.option("--to", type=NEW_FOLDER, required=True, help="New or empty folder for the intact records.")
def repair(folder: Path, to: Path) -> None:
    """Copy the intact records of a damaged FOLDER to another one and report the damage; FOLDER stays as it is."""

    async def work() -> Report:
        return await salvage(
            Disk(folder), Disk(to), configure_logging("warning", "console"), _loop_clock(), read_boot_id()
        )

    report = _run(folder, work())
    _print_damage(folder, report)
    click.echo(f"{to}: {report.entries} entries of {report.records} intact records")
