"""`otterquay lab ...` and `otterquay demo`."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path
from time import perf_counter

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from otterquay.config import ConfigError
from otterquay.config.load import load_service
from otterquay.lab import search, torture
from otterquay.lab.chat import ChatWorld, judge, unsafe_commands
from otterquay.lab.day import load_day
from otterquay.lab.mass.plan import Fault, Mass, Release
from otterquay.lab.mass.play import play as play_mass
from otterquay.lab.play import Result, inside, play, play_with_processes, processes
from otterquay.lab.sim import play_simulated
from otterquay.lab.simloop import Stuck

EXAMPLES = Path(__file__).parents[2] / "examples"
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def run_day(file: Path, seed: int, report: Path | None, one_process: bool, quiet: bool) -> Result:
    """Play a day with progress on standard error; ConfigError when it cannot be read."""
    day, service = load_day(file)
    console = Console(stderr=True, quiet=quiet)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task("playing", total=day.duration / 1e3)

        def say(text: str) -> None:
            progress.console.print(f"[dim]{progress.tasks[task].elapsed or 0:5.1f} s[/dim]  {text}")

        async def run() -> Result:
            ticker = asyncio.create_task(_tick(progress, task))
            try:
                if one_process:
                    return await play(day, service, seed, inside(service), say)
                return await play_with_processes(day, service, file.parent / day.service, seed, report, say)
            finally:
                ticker.cancel()

        return asyncio.run(run())


async def _tick(progress: Progress, task: object) -> None:
    while True:
        await asyncio.sleep(0.25)
        progress.update(task, advance=0.25)  # type: ignore[arg-type]


def print_result(result: Result) -> None:
    """A summary that a newcomer understands, on standard output."""
    console, summary = Console(), result.summary()
    console.print(
        f"\n[bold]{summary['operations']} operations[/bold], {summary['operations_served']} served "
        f"right; {summary['requests']} tries: " + ", ".join(f"{n} {kind}" for kind, n in summary["answers"].items())
    )
    moves = Table("at", "build", "stage", "stands", "cap", title="what became of the builds", title_justify="left")
    for m in summary["stages"]:
        moves.add_row(
            f"{m['at_s']:.1f} s",
            str(m["build"]),
            str(m["stage"] + 1),
            m["phase"].replace("_", " "),
            f"{m['cap']:.0%}",
        )
    console.print(moves)
    times = Table(
        "class",
        *(f"p{q}" for q in ("50", "90", "99", "99.9")),
        title="milliseconds to the right answer, retries included",
        title_justify="left",
    )
    for cls, quantiles in summary["latency_ms"].items():
        times.add_row(cls, *(f"{value:.0f}" for value in quantiles.values()))
    console.print(times)
    rules = Table(
        "rule", "put to the test", "broken", title="the five rules, judged from the sockets", title_justify="left"
    )
    for rule, broken in summary["violations"].items():
        rules.add_row(rule, str(summary["checked"][rule]), f"[red]{broken}[/red]" if broken else "never")
    console.print(rules)
    for rule, found in result.report.violations.items():
        for text in found[:5]:
            console.print(f"[red]{rule}[/red]: {text}", highlight=False)


@click.group()
def lab() -> None:
    """The laboratory: days from a script, played against real agents, judged from the traffic."""


@lab.command("play")
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of traffic, machines and agents.")
@click.option(
    "--report",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the tape, the agents' logs and the violations in words.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the tables.")
@click.option("--one-process", is_flag=True, help="Run the agents in this process.")
def play_command(file: Path, seed: int, report: Path | None, as_json: bool, one_process: bool) -> None:
    """Play the day in FILE; exit 1 when a rule was broken, 2 when the file is wrong."""
    try:
        result = run_day(file, seed, report, one_process, quiet=as_json)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if as_json:
        click.echo(json.dumps(result.summary()))
    else:
        print_result(result)
    sys.exit(1 if result.report.broken else 0)


@lab.command("chat")
@click.option("--clients", "people", type=click.IntRange(1), default=200, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--file", type=FILE, default=EXAMPLES / "chat-night.hcl", show_default=True, help="The night.")
@click.option("--pause", type=float, default=1.0, show_default=True, help="Seconds between a client's commands.")
@click.option("--faults", type=float, default=0.3, show_default=True, help="Part of commands with a fault.")
@click.option("--seconds", type=float, help="Length of the night, in place of the file's.")
@click.option("--one-process", is_flag=True, help="Run the agents in this process.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def chat_command(
    people: int,
    seed: int,
    file: Path,
    pause: float,
    faults: float,
    seconds: float | None,
    one_process: bool,
    as_json: bool,
) -> None:
    """Play a chat night with scripted clients; exit 1 on a violation, 2 when the file is wrong."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if service.chat is None:
        click.echo(f"{file}: its service has no block chat", err=True)
        sys.exit(2)
    if seconds:
        day = day.model_copy(update={"duration": seconds * 1e3})
    with tempfile.TemporaryDirectory(prefix="otterquay-chat-") as folder:
        hosts = inside(service) if one_process else processes(file.parent / day.service, Path(folder))
        world = ChatWorld(day, service, seed, hosts, people=people, pause_s=pause, fault_share=faults)
        asyncio.run(world.run())
    found = judge(world.tape, unsafe_commands(service))
    waits = sorted(wait * 1e3 for chatter in world.chatters for wait in chatter.waits)
    if waits:
        found["wait_ms"] = {
            f"p{q * 100:g}": round(waits[min(len(waits) - 1, int(q * len(waits)))], 1) for q in (0.5, 0.9, 0.99)
        }
    if as_json:
        click.echo(json.dumps(found))
    else:
        for name, value in found.items():
            if name != "violations":
                click.echo(f"{name.replace('_', ' '):22} {value}")
        for text in found["violations"][:20]:
            click.echo(f"violation: {text}")
    sys.exit(1 if found["violations"] else 0)


@lab.command("sim")
@click.argument("file", type=FILE)
@click.option("--agents", type=click.IntRange(1), help="So many agents, in place of the file's.")
@click.option("--machines", type=click.IntRange(1), help="So many machines, in place of the file's.")
@click.option("--rate", type=click.FloatRange(0.1), help="Requests a second, in place of the file's.")
@click.option("--seconds", type=click.FloatRange(0.5), help="Length of the day, in place of the file's.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the tables.")
def sim_command(
    file: Path,
    agents: int | None,
    machines: int | None,
    rate: float | None,
    seconds: float | None,
    seed: int,
    as_json: bool,
) -> None:
    """Play the day in FILE on simulated time; exit 1 when a rule was broken, 2 when the file is wrong."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if agents:
        day = search.grown(day, service, agents, random.Random(seed))
    if machines:
        day = day.model_copy(update={"fleet": day.fleet.model_copy(update={"machines": machines})})
    if rate:
        day = day.model_copy(update={"traffic": day.traffic.model_copy(update={"rate": rate})})
    if seconds:  # nothing begins after the traffic's end or lasts beyond it
        end = seconds * 1e3
        day = day.model_copy(
            update={
                "duration": end,
                "build": {name: b for name, b in day.build.items() if b.at < end},
                "fault": [
                    f.model_copy(update={"lasts": min(f.lasts, end - f.at)}) for f in day.fault if f.at < end
                ],
            }
        )
    service = service.model_copy(
        update={"agent": service.agent.model_copy(update={"count": len(day.agents.zones), "number": 0})}
    )
    begin = perf_counter()
    try:
        played = play_simulated(day, service, seed)
    except Stuck as stuck:
        raise click.ClickException(f"the run does not end: {stuck}") from None
    summary = {**played.summary(), "wall_s": round(perf_counter() - begin, 3)}
    if as_json:
        click.echo(json.dumps(summary))
    else:
        print_result(played.result)
        click.echo(f"digest {summary['digest']}; {summary['sim_s']} s simulated in {summary['wall_s']} s")
        for text in summary["errors"]:
            click.echo(f"error in the program: {text}")
    sys.exit(1 if played.result.report.broken or played.faults else 0)


@lab.command("mass")
@click.argument("file", type=FILE)
@click.option("--agents", type=click.IntRange(1, 4096), default=230, show_default=True)
@click.option("--servers", type=click.IntRange(1, 4096), default=300, show_default=True)
@click.option("--few", type=click.IntRange(1), help="Servers in the zone that is lost.")
@click.option("--use", type=click.FloatRange(0.05, 2.0), default=0.55, show_default=True, help="Part of warm work.")
@click.option("--told", type=click.FloatRange(0.0), default=0.0, show_default=True, help="Delay of its return, s.")
@click.option("--killed", type=click.FloatRange(0.0, 1.0), default=0.0, show_default=True, help="Part restarted.")
@click.option("--release/--no-release", default=False, help="A build is offered at 2 s, a stage each 4 s.")
@click.option("--back", type=click.FloatRange(2.0), help="When the build is sent back, s.")
@click.option("--bad", type=click.FloatRange(0.0, 1.0), default=0.0, show_default=True, help="Part that it fails.")
@click.option("--late", type=click.FloatRange(0.0), default=0.0, show_default=True, help="News up to so late, s.")
@click.option("--leave", type=click.FloatRange(0.0, 1.0), default=0.0, show_default=True, help="Part of clients.")
@click.option("--seed", type=int, default=1, show_default=True)
def mass_command(
    file: Path,
    agents: int,
    servers: int,
    few: int | None,
    use: float,
    told: float,
    killed: float,
    release: bool,
    back: float | None,
    bad: float,
    late: float,
    leave: float,
    seed: int,
) -> None:
    """The decisions of a whole fleet with FILE's settings while a zone returns cold and, with --release, a build
    is offered; exit 1 when any of the five rules broke over the sum of all agents."""
    try:
        service = load_service(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    begin = perf_counter()
    plan = Release(back=None if back is None else back * 1e3, bad=bad) if release else None
    found = play_mass(
        Mass(
            service,
            agents,
            servers,
            Fault(told_ms=told * 1e3, killed=killed),
            plan,
            use,
            few,
            late_ms=late * 1e3,
            leave=leave,
        ),
        seed,
    )
    click.echo(
        json.dumps(
            {
                "asked": found.asked,
                "served": found.served,
                "refused": found.refused,
                "failed": found.failed,
                "to_cold": found.to_cold,
                "worst_of_limit": round(found.worst, 3),
                "by_told": round(found.by_told, 3),
                "violations": {rule: len(texts) for rule, texts in found.violations.items()},
                "checked": found.checked,
                "broken": found.broken,
                "wall_s": round(perf_counter() - begin, 3),
            }
        )
    )
    for rule, texts in found.violations.items():
        for text in texts[:3]:
            click.echo(f"{rule}: {text}", err=True)
    sys.exit(1 if found.broken else 0)


def _hunt(file: Path, seed: int) -> search.Found:
    day, service = load_day(file)
    return search.trial(search.draw(day, service, seed), service, seed)


@lab.command("search")
@click.argument("file", type=FILE)
@click.option("--seeds", type=click.IntRange(1), default=100, show_default=True, help="So many days.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--jobs", type=click.IntRange(1), help="Processes; as many as cores when not given.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for failing days, shrunk.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def search_command(file: Path, seeds: int, first: int, jobs: int | None, out: Path | None, as_json: bool) -> None:
    """Play FILE with other faults for each seed; exit 1 when a rule was broken, each such day shrunk to OUT."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    found: list[search.Found] = []
    progress = Progress(console=Console(stderr=True, quiet=as_json), transient=True)
    with progress, ProcessPoolExecutor(jobs) as pool:
        task = progress.add_task("days", total=seeds)
        for one in pool.map(partial(_hunt, file), range(first, first + seeds)):
            found.append(one)
            progress.advance(task)
    bad = [one for one in found if one.bad]
    for one in bad[:10] if out else ():
        assert out is not None
        out.mkdir(parents=True, exist_ok=True)
        smaller = search.shrink(search.draw(day, service, one.seed), service, one.seed)
        again = search.trial(smaller, service, one.seed)
        note = "\n".join(
            [f"Found by search, seed {one.seed}."]
            + [f"{rule}: {text}" for rule, texts in again.broken.items() for text in texts[:2]]
        )
        target = os.path.relpath(file.parent / day.service, out)
        (out / f"seed-{one.seed}.hcl").write_text(search.day_text(smaller, target, note))
    worst = sorted(found, key=lambda one: one.served)[:5]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "days": len(found),
                    "bad": [asdict(one) for one in bad],
                    "least_served": [asdict(one) for one in worst],
                    "faults": dict(Counter(kind for one in found for kind in one.faults)),
                }
            )
        )
    else:
        click.echo(f"{len(found)} days, {len(bad)} of them broke something")
        for one in bad:
            for rule, texts in one.broken.items():
                click.echo(f"seed {one.seed} ({', '.join(one.faults)}): {rule}: {texts[0]}")
        for one in worst:
            click.echo(f"seed {one.seed} ({', '.join(one.faults)}): {one.served:.1%} served")
    sys.exit(1 if bad else 0)


@lab.command("store-torture")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--kills", type=click.IntRange(0), default=200, show_default=True, help="Writers to kill.")
@click.option("--workloads", type=click.IntRange(0), default=20, show_default=True, help="To crash at each step.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def torture_command(seed: int, kills: int, workloads: int, as_json: bool) -> None:
    """Cut, flip, crash and kill stores; exit 1 when an acknowledged write is lost or a batch half shown."""
    with (
        tempfile.TemporaryDirectory(prefix="otterquay-store-") as folder,
        Progress(console=Console(stderr=True, quiet=as_json), transient=True) as progress,
    ):
        total = torture.Count()
        task = progress.add_task("cuts and flips", total=2 + workloads + kills)
        reference = torture.Reference(seed)
        for trial in (torture.cut_everywhere, torture.flip_everywhere):
            total.add(trial(reference))
            progress.advance(task)
        for number in range(workloads):
            progress.update(task, description="crash states", advance=1)
            total.add(torture.crash_everywhere(seed * 1000 + number))
        progress.update(task, description="kills")
        total.add(asyncio.run(torture.kill_often(seed, kills, Path(folder), lambda: progress.advance(task))))
    found = asdict(total)
    if as_json:
        click.echo(json.dumps(found))
    else:
        for name, value in found.items():
            if name != "notes":
                click.echo(f"{name.replace('_', ' '):14} {value}")
        for text in total.notes[:20]:
            click.echo(f"broken: {text}")
    sys.exit(1 if total.broken() else 0)


DEMO_SERVICE = Path(__file__).parent / "demo-agent.hcl"
DEMO_DAY = Path(__file__).parent / "demo-day.hcl"


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seed: int) -> None:
    """A small fleet, a bad build and a good one, in half a minute: watch agents find out which is which."""
    Console(stderr=True).print(
        "Two agents route a small fleet's traffic on loopback. Build 2 fails one class of requests; build 3 is "
        "good.\nNobody tells the agents: they vote by what they see. Stages open a build to more of the fleet.\n"
    )
    with tempfile.TemporaryDirectory(prefix="otterquay-demo-") as folder:
        result = run_day(DEMO_DAY, seed, Path(folder), one_process=False, quiet=False)
    print_result(result)
    sys.exit(1 if result.report.broken else 0)
