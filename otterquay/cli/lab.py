"""`otterquay lab ...` and `otterquay demo`: play scripted days and print the verdict."""

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
from otterquay.lab.mass.scenario import Fault, FleetScenario, Release
from otterquay.lab.mass.simulation import simulate_fleet as play_mass
from otterquay.lab.play import Result, in_process_agents, play, play_with_processes, process_agents
from otterquay.lab.sim import play_simulated
from otterquay.lab.simloop import NoProgressError

EXAMPLES = Path(__file__).parents[2] / "examples"
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def run_day(file: Path, seed: int, report: Path | None, one_process: bool, quiet: bool) -> Result:
    """Play a day with progress on standard error; raises ConfigError when its file is invalid."""
    day, service = load_day(file)
    console = Console(stderr=True, quiet=quiet)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task("playing", total=day.duration / 1e3)

        def log(text: str) -> None:
            progress.console.print(f"[dim]{progress.tasks[task].elapsed or 0:5.1f} s[/dim]  {text}")

        async def run() -> Result:
            ticker = asyncio.create_task(_advance_progress(progress, task))
            try:
                if one_process:
                    return await play(day, service, seed, in_process_agents(service), log)
                return await play_with_processes(day, service, file.parent / day.service, seed, report, log)
            finally:
                ticker.cancel()

        return asyncio.run(run())


async def _advance_progress(progress: Progress, task: object) -> None:
    while True:
        await asyncio.sleep(0.25)
        progress.update(task, advance=0.25)  # type: ignore[arg-type]


def print_result(result: Result) -> None:
    """Print a summary of a day as tables on standard output."""
    console, summary = Console(), result.summary()
    console.print(
        f"\n[bold]{summary['operations']} operations[/bold], {summary['operations_served']} served "
        f"correctly; {summary['requests']} requests: "
        + ", ".join(f"{n} {kind}" for kind, n in summary["answers"].items())
    )
    stage_table = Table("at", "build", "stage", "phase", "cap", title="stages of the builds", title_justify="left")
    for m in summary["stages"]:
        stage_table.add_row(
            f"{m['at_s']:.1f} s",
            str(m["build"]),
            str(m["stage"] + 1),
            m["phase"].replace("_", " "),
            f"{m['cap']:.0%}",
        )
    console.print(stage_table)
    times = Table(
        "class",
        *(f"p{q}" for q in ("50", "90", "99", "99.9")),
        title="milliseconds to the correct answer, retries included",
        title_justify="left",
    )
    for cls, quantiles in summary["latency_ms"].items():
        times.add_row(cls, *(f"{value:.0f}" for value in quantiles.values()))
    console.print(times)
    rules = Table(
        "rule", "checked", "broken", title="the five rules, audited from the recorded traffic", title_justify="left"
    )
    for rule, broken in summary["violations"].items():
        rules.add_row(rule, str(summary["checked"][rule]), f"[red]{broken}[/red]" if broken else "never")
    console.print(rules)
    for rule, findings in result.report.violations.items():
        for text in findings[:5]:
            console.print(f"[red]{rule}[/red]: {text}", highlight=False)


@click.group()
def lab() -> None:
    """The lab: play scripted days against real agents and audit the recorded traffic."""


@lab.command("play")
@click.argument("file", type=EXISTING_FILE)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of traffic, machines and agents.")
@click.option(
    "--report",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the tape, the agents' logs and descriptions of the violations.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object in place of the tables.")
@click.option("--one-process", is_flag=True, help="Run the agents in this process.")
def play_command(file: Path, seed: int, report: Path | None, as_json: bool, one_process: bool) -> None:
    """Play the day in FILE; exit 1 when a rule was broken, 2 when the file is invalid."""
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
@click.option(
    "--file", type=EXISTING_FILE, default=EXAMPLES / "chat-night.hcl", show_default=True, help="The chat day."
)
@click.option("--pause", type=float, default=1.0, show_default=True, help="Seconds between a client's commands.")
@click.option("--faults", type=float, default=0.3, show_default=True, help="Share of commands with a fault.")
@click.option("--seconds", type=float, help="Length of the day, in place of the file's.")
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
    """Play a chat day with scripted clients; exit 1 on a violation, 2 when the file is invalid."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if service.chat is None:
        click.echo(f"{file}: the settings of its agents have no block chat", err=True)
        sys.exit(2)
    if seconds:
        day = day.model_copy(update={"duration": seconds * 1e3})
    with tempfile.TemporaryDirectory(prefix="otterquay-chat-") as folder:
        hosts = (
            in_process_agents(service) if one_process else process_agents(file.parent / day.service, Path(folder))
        )
        world = ChatWorld(day, service, seed, hosts, client_count=people, pause_s=pause, fault_share=faults)
        asyncio.run(world.run())
    findings = judge(world.tape, unsafe_commands(service))
    waits = sorted(wait * 1e3 for chat_client in world.chat_clients for wait in chat_client.waits)
    if waits:
        findings["wait_ms"] = {
            f"p{q * 100:g}": round(waits[min(len(waits) - 1, int(q * len(waits)))], 1) for q in (0.5, 0.9, 0.99)
        }
    if as_json:
        click.echo(json.dumps(findings))
    else:
        for name, value in findings.items():
            if name != "violations":
                click.echo(f"{name.replace('_', ' '):22} {value}")
        for text in findings["violations"][:20]:
            click.echo(f"violation: {text}")
    sys.exit(1 if findings["violations"] else 0)


@lab.command("sim")
@click.argument("file", type=EXISTING_FILE)
@click.option("--agents", type=click.IntRange(1), help="Number of agents, in place of the file's.")
@click.option("--machines", type=click.IntRange(1), help="Number of machines, in place of the file's.")
@click.option("--rate", type=click.FloatRange(0.1), help="Requests per second, in place of the file's.")
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
    """Play the day in FILE on simulated time; exit 1 when a rule was broken, 2 when the file is invalid."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if agents:
        day = search.with_agents(day, service, agents, random.Random(seed))
    if machines:
        day = day.model_copy(update={"fleet": day.fleet.model_copy(update={"machines": machines})})
    if rate:
        day = day.model_copy(update={"traffic": day.traffic.model_copy(update={"rate": rate})})
    if seconds:  # drops builds and faults after the end of traffic, cuts faults that outlast it
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
    started = perf_counter()
    try:
        played = play_simulated(day, service, seed)
    except NoProgressError as stuck:
        raise click.ClickException(f"the simulation cannot make progress: {stuck}") from None
    summary = {**played.summary(), "wall_s": round(perf_counter() - started, 3)}
    if as_json:
        click.echo(json.dumps(summary))
    else:
        print_result(played.result)
        click.echo(f"digest {summary['digest']}; {summary['sim_s']} s simulated in {summary['wall_s']} s")
        for text in summary["errors"]:
            click.echo(f"program error: {text}")
    sys.exit(1 if played.result.report.broken or played.program_errors else 0)


@lab.command("mass")
@click.argument("file", type=EXISTING_FILE)
@click.option("--agents", type=click.IntRange(1, 4096), default=230, show_default=True)
@click.option("--servers", type=click.IntRange(1, 4096), default=300, show_default=True)
@click.option(
    "--few",
    type=click.IntRange(1),
    help="Number of servers in the zone that is lost; without it all zones are equal.",
)
@click.option(
    "--use",
    type=click.FloatRange(0.05, 2.0),
    default=0.55,
    show_default=True,
    help="Load as a share of the capacity of the warm servers.",
)
@click.option(
    "--told",
    type=click.FloatRange(0.0),
    default=0.0,
    show_default=True,
    help="Delay in seconds after which lists show the servers that returned.",
)
@click.option(
    "--killed",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    show_default=True,
    help="Share of agents that restart with the zone.",
)
@click.option(
    "--release/--no-release", default=False, help="Offer a build at 2 s, which moves on one stage every 4 s."
)
@click.option("--back", type=click.FloatRange(2.0), help="Time in seconds at which the build is rolled back.")
@click.option(
    "--bad",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    show_default=True,
    help="Share of requests that the build fails.",
)
@click.option(
    "--late", type=click.FloatRange(0.0), default=0.0, show_default=True, help="Maximum delay of news in seconds."
)
@click.option(
    "--leave",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    show_default=True,
    help="Share of clients that give up waiting.",
)
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
    """Simulate the decisions of a whole fleet with the settings in FILE.

    A zone is lost and returns cold and, with --release, a build is offered. Exit 1 when any of the five rules was
    broken over the sum of all agents.
    """
    try:
        service = load_service(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    started = perf_counter()
    plan = Release(rollback_at=None if back is None else back * 1e3, error_share=bad) if release else None
    fleet_result = play_mass(
        FleetScenario(
            service,
            agents,
            servers,
            Fault(list_delay_ms=told * 1e3, killed_share=killed),
            plan,
            use,
            few,
            max_news_delay_ms=late * 1e3,
            leave_share=leave,
        ),
        seed,
    )
    click.echo(
        json.dumps(
            {
                "asked": fleet_result.asked,
                "served": fleet_result.served,
                "refused": fleet_result.refused,
                "failed": fleet_result.failed,
                "to_cold": fleet_result.to_cold,
                "worst_of_limit": round(fleet_result.peak_cold_load, 3),
                "by_told": round(fleet_result.informed_share, 3),
                "violations": {rule: len(texts) for rule, texts in fleet_result.violations.items()},
                "checked": fleet_result.checked,
                "broken": fleet_result.broken,
                "wall_s": round(perf_counter() - started, 3),
            }
        )
    )
    for rule, texts in fleet_result.violations.items():
        for text in texts[:3]:
            click.echo(f"{rule}: {text}", err=True)
    sys.exit(1 if fleet_result.broken else 0)


def _search_trial(file: Path, seed: int) -> search.SearchResult:
    day, service = load_day(file)
    return search.play_day(search.draw_faults(day, service, seed), service, seed)


@lab.command("search")
@click.argument("file", type=EXISTING_FILE)
@click.option("--seeds", type=click.IntRange(1), default=100, show_default=True, help="Number of days.")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--jobs", type=click.IntRange(1), help="Number of processes; one per core if not given.")
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for the failing days, reduced."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def search_command(file: Path, seeds: int, first: int, jobs: int | None, out: Path | None, as_json: bool) -> None:
    """Play FILE with random faults for each seed; exit 1 when a rule was broken, with the reduced days in --out."""
    try:
        day, service = load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    findings: list[search.SearchResult] = []
    progress = Progress(console=Console(stderr=True, quiet=as_json), transient=True)
    with progress, ProcessPoolExecutor(jobs) as pool:
        task = progress.add_task("days", total=seeds)
        for outcome in pool.map(partial(_search_trial, file), range(first, first + seeds)):
            findings.append(outcome)
            progress.advance(task)
    failing = [outcome for outcome in findings if outcome.is_failure]
    for outcome in failing[:10] if out else ():
        assert out is not None
        out.mkdir(parents=True, exist_ok=True)
        smaller = search.shrink(search.draw_faults(day, service, outcome.seed), service, outcome.seed)
        rerun = search.play_day(smaller, service, outcome.seed)
        note = "\n".join(
            [f"Found by search, seed {outcome.seed}."]
            + [f"{rule}: {text}" for rule, texts in rerun.broken.items() for text in texts[:2]]
        )
        target = os.path.relpath(file.parent / day.service, out)
        (out / f"seed-{outcome.seed}.hcl").write_text(search.day_text(smaller, target, note))
    worst = sorted(findings, key=lambda outcome: outcome.served)[:5]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "days": len(findings),
                    "bad": [asdict(outcome) for outcome in failing],
                    "least_served": [asdict(outcome) for outcome in worst],
                    "faults": dict(Counter(kind for outcome in findings for kind in outcome.faults)),
                }
            )
        )
    else:
        click.echo(f"{len(findings)} days, {len(failing)} of them with violations")
        for outcome in failing:
            for rule, texts in outcome.broken.items():
                click.echo(f"seed {outcome.seed} ({', '.join(outcome.faults)}): {rule}: {texts[0]}")
        for outcome in worst:
            click.echo(f"seed {outcome.seed} ({', '.join(outcome.faults)}): {outcome.served:.1%} served")
    sys.exit(1 if failing else 0)


@lab.command("store-torture")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--kills", type=click.IntRange(0), default=200, show_default=True, help="Number of writers to kill.")
@click.option(
    "--workloads",
    type=click.IntRange(0),
    default=20,
    show_default=True,
    help="Number of workloads to crash at every step.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def torture_command(seed: int, kills: int, workloads: int, as_json: bool) -> None:
    """Truncate, corrupt, crash and kill stores; exit 1 if an acknowledged write is lost or a batch is partial."""
    with (
        tempfile.TemporaryDirectory(prefix="otterquay-store-") as folder,
        Progress(console=Console(stderr=True, quiet=as_json), transient=True) as progress,
    ):
        total = torture.Count()
        task = progress.add_task("truncations and bit flips", total=2 + workloads + kills)
        reference = torture.Reference(seed)
        for trial in (torture.truncate_everywhere, torture.flip_everywhere):
            total.add(trial(reference))
            progress.advance(task)
        for number in range(workloads):
            progress.update(task, description="crash states", advance=1)
            total.add(torture.crash_everywhere(seed * 1000 + number))
        progress.update(task, description="killed writers")
        total.add(asyncio.run(torture.kill_repeatedly(seed, kills, Path(folder), lambda: progress.advance(task))))
    findings = asdict(total)
    if as_json:
        click.echo(json.dumps(findings))
    else:
        for name, value in findings.items():
            if name != "notes":
                click.echo(f"{name.replace('_', ' '):14} {value}")
        for text in total.notes[:20]:
            click.echo(f"broken: {text}")
    sys.exit(1 if total.failure_count() else 0)


DEMO_SERVICE = Path(__file__).parent / "demo-agent.hcl"
DEMO_DAY = Path(__file__).parent / "demo-day.hcl"


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
def demo(seed: int) -> None:
    """Play half a minute of a small fleet in which agents vote on a bad and a good build."""
    Console(stderr=True).print(
        "Two agents route a small fleet's traffic on loopback. Build 2 fails one class of requests; build 3 is "
        "good.\nThe agents vote by what they observe; each stage opens a build to more of the fleet.\n"
    )
    with tempfile.TemporaryDirectory(prefix="otterquay-demo-") as folder:
        result = run_day(DEMO_DAY, seed, Path(folder), one_process=False, quiet=False)
    print_result(result)
    sys.exit(1 if result.report.broken else 0)
