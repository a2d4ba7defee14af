"""`otterquay lab cluster`: plays a scripted day on a cluster of agent processes with injected faults."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import click
from rich.console import Console

from otterquay.config import ConfigError
from otterquay.lab.cluster.day import load_cluster_day
from otterquay.lab.cluster.play import Result, play

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command("cluster")
@click.argument("day", type=EXISTING_FILE)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--processes",
    type=click.IntRange(4, 60),
    help="Total number of agents, spread over the sites, in place of the day's.",
)
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Folder in which to keep all files of the run."
)
@click.option("--settings", type=EXISTING_FILE, help="The agents' settings, in place of agent.hcl beside the day.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def cluster(
    day: Path,
    seed: int,
    processes: int | None,
    out: Path | None,
    settings: Path | None,
    as_json: bool,
) -> None:
    """Play a cluster DAY; exit 1 on any violation, or when the fleet did not come to rest.

    A day that fails keeps its files, also without --out, and names their folder.
    """
    try:
        plan = load_cluster_day(day)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if processes:
        agents_per_site = max(processes // len(plan.site), 1)
        sites = {
            name: site.model_copy(update={"agents": max(agents_per_site, site.members)})
            for name, site in plan.site.items()
        }
        plan = plan.model_copy(update={"site": sites})
    console = Console(stderr=True, quiet=as_json)

    async def run_to_completion(folder: Path) -> Result:
        play_task = asyncio.ensure_future(
            play(
                plan,
                settings or day.parent / "agent.hcl",
                seed,
                folder,
                lambda text: console.print(text, highlight=False),
            )
        )
        # cancelling the task stops its agents before the process exits
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, play_task.cancel)
        return await play_task

    folder = out or Path(tempfile.mkdtemp(prefix="otterquay-cluster-"))
    is_kept = out is not None
    try:
        result = asyncio.run(run_to_completion(folder))
        if not result.good and not is_kept:
            is_kept = True
            result.notes.append(f"all files of the run are in {folder}")
    except asyncio.CancelledError:
        raise click.ClickException("stopped by SIGTERM; the agents were stopped, too") from None
    except (FileExistsError, ConfigError) as error:
        raise click.ClickException(str(error)) from None
    finally:
        if not is_kept:
            shutil.rmtree(folder, ignore_errors=True)
    if as_json:
        click.echo(
            json.dumps({**result.counts, "rested": result.rested, "figures": result.figures, "notes": result.notes})
        )
    else:
        for name, count in {**result.counts, **result.figures}.items():
            click.echo(f"{name.replace('_', ' '):22} {count}")
        for note in result.notes:
            click.echo(f"broken: {note}")
        if not result.rested:
            click.echo("the fleet did not come to rest")
    sys.exit(0 if result.good else 1)
