"""`otterquay standin ...`: runs single stand-ins, for manual tests of an agent."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import click

from otterquay.addresses import split_address
from otterquay.config import ConfigError
from otterquay.lab.day import Day, load_day
from otterquay.lab.world import World
from otterquay.standins.appliance import Appliance, DedupTable, Flaw, MachineSpec
from otterquay.standins.links import Link, LinkState
from otterquay.standins.tape import Tape

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def standin() -> None:
    """Stand-ins for appliances, fleet list, release desk, clients and faulty links."""


def _run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    try:
        asyncio.run(work())
    except KeyboardInterrupt:
        pass
    except OSError as error:
        raise click.ClickException(str(error)) from None


@standin.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="HOST:PORT; port 0 picks a free one.")
@click.option("--cores", type=click.IntRange(1), default=2, show_default=True)
@click.option("--speed", type=float, default=1.0, show_default=True, help="Speed of one core; 1 is the reference.")
@click.option("--queue", type=click.IntRange(1), default=64, show_default=True)
@click.option("--build", type=click.IntRange(1), default=1, show_default=True)
@click.option("--zone", default="north", show_default=True)
@click.option(
    "--flaw",
    type=click.Choice(["none", "errors", "class", "slow", "load", "late", "wrong"]),
    default="none",
    show_default=True,
)
@click.option(
    "--flaw-share", type=float, default=0.5, show_default=True, help="Share of requests that the flaw affects."
)
@click.option(
    "--flaw-factor",
    type=float,
    default=2.5,
    show_default=True,
    help="Factor by which the flaw multiplies the work.",
)
@click.option("--flaw-class", default="", help="Class of requests that the flaw `class` affects.")
def appliance(
    listen: str,
    cores: int,
    speed: float,
    queue: int,
    build: int,
    zone: str,
    flaw: str,
    flaw_share: float,
    flaw_factor: float,
    flaw_class: str,
) -> None:
    """Run one appliance; prints its address and, at the end, the traffic of its sockets as JSON lines."""
    tape = Tape()

    async def run() -> None:
        fault = None if flaw == "none" else Flaw(flaw, flaw_share, flaw_class, flaw_factor)  # type: ignore[arg-type]
        server = Appliance(
            1, 1, build, zone, MachineSpec(cores, speed, queue), tape, random.Random(1), DedupTable(5.0), fault
        )
        click.echo(f"listening {await server.start(*split_address(listen))}")
        await asyncio.Event().wait()

    try:
        _run(run)
    finally:
        sys.stdout.buffer.write(tape.dump())


@standin.command()
@click.argument("target")
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--delay-ms", type=float, default=0.0, show_default=True)
@click.option("--cut", is_flag=True, help="Drop all data in both directions.")
@click.option("--one-way", is_flag=True, help="Drop what TARGET sends.")
@click.option("--reset", is_flag=True, help="Reset the connection in the middle of each message.")
def link(target: str, listen: str, delay_ms: float, cut: bool, one_way: bool, reset: bool) -> None:
    """Run a faulty link to TARGET, HOST:PORT."""

    async def run() -> None:
        relay = Link(target, LinkState(delay_ms / 1e3, cut, one_way, reset))
        click.echo(f"listening {await relay.start(*split_address(listen))}")
        await asyncio.Event().wait()

    _run(run)


def _load(file: Path) -> tuple[Day, Any]:
    try:
        return load_day(file)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@standin.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--seed", type=int, default=1, show_default=True)
def world(file: Path, seed: int) -> None:
    """Run the appliances, fleet list and release desk of the day in FILE.

    The day's builds and faults are played, without agents. Prints the URLs for
    `otterquay agent --fleet ... --desk ...`.
    """
    day, service = _load(file)

    async def run() -> None:
        def no_host(_: object) -> Any:
            raise RuntimeError("this world runs no agents")

        lab_world = World(day, service, seed, no_host, click.echo)
        fleet, desk = await lab_world.start_standins()
        click.echo(f"fleet http://{fleet}\ndesk http://{desk}")
        await lab_world.play()
        await asyncio.Event().wait()

    _run(run)


@standin.command()
@click.argument("file", type=EXISTING_FILE)
@click.argument("agents", nargs=-1, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
def clients(file: Path, agents: tuple[str, ...], seed: int) -> None:
    """Run the clients of the day in FILE against running AGENTS.

    AGENTS are given as HOST:PORT, in the order of their numbers.
    """
    day, service = _load(file)

    async def run() -> None:
        traffic_world = World(day, service, seed, lambda _: (_ for _ in ()).throw(RuntimeError()), click.echo)
        load_generator = traffic_world.create_clients(dict(enumerate(agents)))
        await load_generator.offer(lambda _: day.traffic.rate, day.duration / 1e3)
        sys.stdout.buffer.write(traffic_world.tape.dump())

    _run(run)
