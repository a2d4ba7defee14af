"""`otterquay store ...`: look into a store's folder."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from otterquay.logs import configure
from otterquay.store import Damaged, Store, StoreFailed
from otterquay.store.files import Disk

FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def store() -> None:
    """A store folder, opened as a writer does: a torn tail is cut, a running agent keeps these commands out."""


def _open(folder: Path) -> Store:
    try:
        return Store.open(Disk(folder), configure("warning", "console"))
    except (Damaged, StoreFailed) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)


@store.command()
@click.argument("folder", type=FOLDER)
def verify(folder: Path) -> None:
    """Read every record of FOLDER; exit 1 with file and offset where one is damaged."""
    opened = _open(folder)
    cut = f", {opened.cut_bytes} bytes of a torn tail were cut" if opened.cut_bytes else ""
    click.echo(f"{folder}: whole{cut}")
    opened.close()


@store.command()
@click.argument("folder", type=FOLDER)
def stat(folder: Path) -> None:
    """Tables with their keys, files with their sizes, as one JSON object."""
    opened = _open(folder)
    tables = opened.tables()
    opened.close()
    files = {p.name: p.stat().st_size for p in sorted(folder.iterdir()) if p.name != "lock"}
    click.echo(json.dumps({"tables": tables, "files": files}, indent=1))


@store.command()
@click.argument("folder", type=FOLDER)
@click.option("--table", help="This table only.")
def dump(folder: Path, table: str | None) -> None:
    """Every key and value in order, a JSON object a line, bytes in hexadecimal."""
    opened = _open(folder)
    for name in opened.tables():
        if table in (None, name):
            for key, value in opened.scan(name):
                click.echo(json.dumps({"table": name, "key": key.hex(), "value": value.hex()}))
    opened.close()
