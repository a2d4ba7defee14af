"""The root command with `agent` and `config`; the other commands have modules of their own."""

from __future__ import annotations

import asyncio
import gc
import random
import secrets
import signal
import sys
from pathlib import Path

import click
import uvloop

from otterquay.agent.http_agent import HttpAgent
from otterquay.cli.chat import chat
from otterquay.cli.cluster import cluster
from otterquay.cli.lab import demo, lab
from otterquay.cli.standin import standin
from otterquay.cli.store import store_commands
from otterquay.config import ConfigError, load_service
from otterquay.logs import configure_logging
from otterquay.store import StoreCorrupted, StoreFailed, open_store, read_boot_id
from otterquay.store.files import BackgroundSyncDisk

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def main() -> None:
    """Route requests while the software of the servers behind it is replaced, and vote on each new build."""


def _exit_with_error(error: ConfigError) -> None:
    click.echo(str(error), err=True)
    sys.exit(2)


@main.group()
def config() -> None:
    """Check and print settings files."""


@config.command()
@click.argument("file", type=EXISTING_FILE)
def check(file: Path) -> None:
    """Check an agent's settings in FILE; on errors print every problem found and exit 2."""
    try:
        load_service(file)
    except ConfigError as error:
        _exit_with_error(error)
    click.echo(f"{file}: fine")


@config.command()
@click.argument("file", type=EXISTING_FILE)
def show(file: Path) -> None:
    """Print an agent's settings in FILE as JSON, including defaults; times in milliseconds, shares from 0 to 1."""
    try:
        click.echo(load_service(file).model_dump_json(indent=2, by_alias=True))
    except ConfigError as error:
        _exit_with_error(error)


def _parse_key(text: str) -> bytes:
    try:
        key = bytes.fromhex(text.strip())
    except ValueError:
        key = b""
    if len(key) != 32:
        raise click.ClickException("the key files of the blocks peers and chat must hold 64 hex digits")
    return key


@main.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--number", type=click.IntRange(0), help="This agent's number, in place of the file's.")
@click.option("--count", type=click.IntRange(1), help="Number of agents, in place of the file's.")
@click.option("--zone", help="This agent's zone, in place of the file's.")
@click.option("--listen", help="HOST:PORT for clients, in place of the file's; port 0 picks a free one.")
@click.option("--fleet", help="URL of the fleet list, in place of the file's.")
@click.option("--desk", help="URL of the release desk, in place of the file's.")
@click.option("--peer", "peers", multiple=True, metavar="N=HOST:PORT", help="Address of agent N for datagrams.")
@click.option("--peer-key", type=EXISTING_FILE, help="File with the group's key, 64 hex digits.")
@click.option("--chat-listen", help="HOST:PORT for chat, in place of the file's.")
@click.option("--chat-key", "chat_key_file", type=EXISTING_FILE, help="File with the chat key, 64 hex digits.")
@click.option("--chat-agent", "chat_agents", multiple=True, metavar="N=HOST:PORT", help="Chat address of agent N.")
@click.option(
    "--store",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for state that is kept over a restart, in place of the file's.",
)
@click.option("--seed", type=int, help="Seed of all random choices; taken from the system if not given.")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@click.option("--log-form", type=click.Choice(["json", "console"]), default="json")
@click.option("--loop", type=click.Choice(["uvloop", "asyncio"]), default="uvloop", show_default=True)
@click.option("--announce", is_flag=True, help="Print `listening HOST:PORT` on standard output once ready.")
def agent(
    file: Path,
    number: int | None,
    count: int | None,
    zone: str | None,
    listen: str | None,
    fleet: str | None,
    desk: str | None,
    peers: tuple[str, ...],
    peer_key: Path | None,
    folder: Path | None,
    chat_listen: str | None,
    chat_key_file: Path | None,
    chat_agents: tuple[str, ...],
    seed: int | None,
    log_level: str,
    log_form: str,
    loop: str,
    announce: bool,
) -> None:
    """Run an agent with the settings in FILE until SIGTERM or SIGINT; it answers its open requests, then exits."""
    address = dict(item.partition("=")[::2] for item in peers) or None
    try:
        service = load_service(
            file,
            {
                "agent": {
                    "number": number,
                    "count": count,
                    "zone": zone,
                    "listen": listen,
                    "store": str(folder) if folder else None,
                },
                "feeds": {"fleet": fleet, "desk": desk},
                "chat": {
                    "listen": chat_listen,
                    "key_file": str(chat_key_file) if chat_key_file else None,
                    "agents": dict(item.partition("=")[::2] for item in chat_agents) or None,
                },
                "peers": {"address": address, "key_file": str(peer_key) if peer_key else None},
            },
        )
    except ConfigError as error:
        return _exit_with_error(error)
    key = None
    if service.limits.peers and service.peers:
        try:
            key = _parse_key(Path(service.peers.key_file).read_text(encoding="ascii"))
        except (OSError, UnicodeDecodeError) as error:
            raise click.ClickException(f"the peer key cannot be read: {error}") from None
    chat_key = None
    if service.chat:
        try:
            chat_key = _parse_key(Path(service.chat.key_file).read_text(encoding="ascii"))
        except (OSError, UnicodeDecodeError) as error:
            raise click.ClickException(f"the chat key cannot be read: {error}") from None
    log = configure_logging(log_level, log_form, agent=service.agent.number)
    rng = random.Random(secrets.randbits(64) if seed is None else seed)

    async def run() -> None:
        store = None
        if service.agent.store:
            clock = asyncio.get_running_loop().time
            try:
                disk = BackgroundSyncDisk(Path(service.agent.store))
                store = await open_store(disk, log, clock, boot_id=read_boot_id())
            except (StoreCorrupted, OSError) as error:
                # serves traffic without the store: serving matters more than the stored state, which
                # `otterquay store repair` recovers
                log.error("store_not_taken", folder=service.agent.store, reason=str(error))
        try:
            is_state_missing = service.agent.store is not None and store is None
            runtime = HttpAgent(service, rng, log, key, store, chat_key=chat_key, is_state_missing=is_state_missing)
            if service.group:
                from otterquay.fleet.build import attach  # imports numpy, so only where it is needed

                if store is None:
                    raise OSError("block group needs the store, which could not be opened")
                attach(runtime, store, random.Random(rng.getrandbits(64)), log)
            await serve(runtime)
        finally:
            if store:
                await store.close()

    async def serve(runtime: HttpAgent) -> None:
        stop_requested = asyncio.Event()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(stop_signal, stop_requested.set)
        host, port = await runtime.start()
        if announce:
            chat = "" if runtime.gateway is None else " {}:{}".format(*runtime.chat_bound)
            click.echo(f"listening {host}:{port}{chat}")
        await stop_requested.wait()
        await runtime.stop()

    gc.collect()
    gc.freeze()  # excludes objects that live as long as the process from collections
    gc.set_threshold(50_000, 20, 100)  # rare full collections: one over 5,000 sessions stops the process for 140 ms
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop if loop == "uvloop" else None) as runner:
            runner.run(run())
    except (OSError, ValueError, StoreFailed) as error:
        raise click.ClickException(f"cannot start: {error}") from None


lab.add_command(cluster)
main.add_command(lab)
main.add_command(chat)
main.add_command(demo)
main.add_command(standin)
main.add_command(store_commands)
