"""Stand-ins for one small deployment: appliances, discovery, the platform, clients, and agents as processes.

They follow PROTOCOL.md. Appliances of one zone share a memory of keys. Everything that is sent, answered and run is
kept in `Record`, which `record.txt` is written from.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
now = time.monotonic


class Record:
    """Lines of the record, with seconds since the start."""

    def __init__(self) -> None:
        self.start, self.lines = now(), list[str]()

    def __call__(self, text: str) -> None:
        self.lines.append(f"{now() - self.start:9.4f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


def encode(arguments: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """One array of bulk strings; IncompleteReadError at the end of the stream."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    arguments = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """An answer of an agent: a line with its type byte, or `$` and the value."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        return b"$" + (await reader.readexactly(int(line[1:-2]) + 2))[:-2]
    return line[:-2]


class Listener:
    """A TCP listener on a free port of loopback."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Zone:
    """What the appliances of one zone remember of keys: when each was first begun."""

    def __init__(self, name: str, window_s: float) -> None:
        self.name, self.window_s, self.begun = name, window_s, dict[str, float]()

    def is_repeat(self, key: str) -> bool:
        at = self.begun.get(key)
        if at is not None and now() - at < self.window_s:
            return True
        self.begun[key] = now()
        return False


class Fleet:
    """What ran: by request id the attempts, and by idempotency key the effects."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.attempts: dict[str, list[tuple[float, str, str]]] = defaultdict(list)  # id: time, appliance, what
        self.effects: dict[str, list[tuple[float, str]]] = defaultdict(list)  # key or id: time, appliance
        self.values: dict[str, set[bytes]] = defaultdict(set)


Plan = Callable[["Appliance", dict[str, str], str], Awaitable[bytes | None]]


class Appliance(Listener):
    """One appliance; `plan` returns the bytes of an answer, or None to end the connection with a reset."""

    def __init__(self, name: str, zone: Zone, fleet: Fleet, build: int = 1) -> None:
        super().__init__()
        self.name, self.zone, self.fleet, self.build = name, zone, fleet, build
        self.plan: Plan = self.serve
        self.report = "pending=1"

    async def serve(self, _: Appliance, options: dict[str, str], id: str) -> bytes | None:
        await asyncio.sleep(0.02)
        return self.value(id)

    def value(self, id: str) -> bytes:
        value = f"{self.name} for {id}".encode()
        self.fleet.values[id].add(value)
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)

    def begin(self, options: dict[str, str], id: str, unsafe: bool) -> None:
        """An appliance begins a command once its last byte has come."""
        fleet, key = self.fleet, options.get("k")
        what = "run"
        if key is not None and self.zone.is_repeat(key):
            what = "repeat dropped"
        elif key is not None:
            fleet.effects[key].append((now(), self.name))
        elif unsafe:
            fleet.effects[id].append((now(), self.name))
        fleet.attempts[id].append((now(), self.name, what))
        fleet.record(f"{self.name} got {id} c={options['c']} d={options['d']} k={key}: {what}")

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            arguments = await read_command(reader)
            if arguments[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(b"+PONG\r\n" if arguments[0] == b"PING" else b"-NOPERM\r\n")
                continue
            id = arguments[2].decode()
            options = dict(item.split("=", 1) for item in arguments[3].decode().split(","))
            self.begin(options, id, arguments[0] == b"SVC.SUBMIT")
            answer = await self.plan(self, options, id)
            if answer is None:
                self.fleet.record(f"{self.name} resets the connection under {id}")
                return writer.transport.abort()
            self.fleet.record(f"{self.name} answers {id}: {answer[:24]!r}")
            writer.write(answer)


class Discovery(Listener):
    """The list of appliances by long poll."""

    def __init__(self) -> None:
        super().__init__()
        self.generation, self.entries, self.changed = 1, dict[str, dict[str, Any]](), asyncio.Event()

    def set(self, id: str, **fields: Any) -> None:
        self.generation += 1
        self.entries[id] = {
            "instanceId": id,
            "machineType": "std",
            "cell": 0,
            "weight": 1.0,
            "startedAtMs": 0,
            "lifecycle": "in_service",
            **self.entries.get(id, {}),
            **fields,
            "of": self.generation,
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, after: int | None = None) -> dict[str, Any]:
        found = [
            {k: v for k, v in e.items() if k != "of"}
            for e in self.entries.values()
            if (e["lifecycle"] != "terminated" if after is None else e["of"] > after)
        ]
        return {"generation": self.generation, "reset": after is None, "instances": found}

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            query = dict(p.split("=") for p in head.split(" ")[1].partition("?")[2].split("&") if p)
            after = int(query["after"]) if "after" in query else None
            if after is not None and after >= self.generation:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query.get("wait_ms", "0")) / 1e3)
            body = json.dumps(self.listing(after)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


class Platform(Listener):
    """The platform: the state of the newest build, a sign of life each second, votes answered with the state."""

    def __init__(self) -> None:
        super().__init__()
        self.state = b"1 0 live 1 60000"

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        beat: asyncio.Task[None] | None = None

        async def beats() -> None:
            while True:
                await asyncio.sleep(1.0)
                writer.write(b"*\r\n")

        try:
            while line := await reader.readuntil(b"\r\n"):
                if line == b"SUB\r\n":
                    writer.write(b"OK\r\n* progress " + self.state + b"\r\n")
                    beat = beat or asyncio.get_running_loop().create_task(beats())
                else:
                    writer.write(b"ERR ConditionFailed\r\n")
        finally:
            if beat:
                beat.cancel()


def free_address(number: int) -> str:
    """A loopback address of its own for an agent, so that no connection of another one takes its port."""
    host = f"127.{os.getpid() // 250 % 200 + 20}.{os.getpid() % 250 + 1}.{number + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Agent:
    """One agent, started by `run` of the deploy file."""

    def __init__(
        self, folder: Path, number: int, settings: dict[str, Any], discovery: Discovery, platform: Platform
    ):
        self.folder, self.number, self.settings = folder, number, settings
        self.discovery, self.platform = discovery, platform
        self.listen, self.name = free_address(number), f"n{number}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        release, tranche, mode, exposure, old_ms = self.platform.state.decode().split(" ")
        config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "pipeline": {
                "address": self.platform.address,
                "news": {
                    "release": int(release),
                    "tranche": int(tranche),
                    "mode": mode,
                    "exposure": float(exposure),
                    "old_ms": float(old_ms),
                },
            },
            "known": self.discovery.listing(),
            "settings": {**self.settings, "myNumber": self.number},
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"tmp-{self.name}"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen,
            "PROXY_DISCOVERY": self.discovery.address,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self.log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def ready(self) -> None:
        """Wait until the agent answers PING; TimeoutError after 30 s."""
        host, port = self.listen.split(":")
        end = now() + 30.0
        while now() < end and self.process and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode([b"PING"]))
                answer = await asyncio.wait_for(read_answer(reader), 2.0)
                writer.close()
                if answer == b"+PONG":
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} did not get ready")

    def signal(self, number: int) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Client:
    """Connections to one agent: each carries one request at a time; when all are busy another is opened."""

    def __init__(self, agent: Agent, record: Record, body: bytes = b"body") -> None:
        self.agent, self.record, self.body = agent, record, body
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, id: str, cls: str, tenant: str, d: int, submit: bool, key: str | None = None) -> bytes:
        """The answer, `lost: ...` where none came; a request that crosses a close is sent once more."""
        options = f"c={cls},t={tenant},d={d}" + (f",k={key}" if key else "")
        words = [f"u{id}".encode(), id.encode(), options.encode()]
        data = encode([b"SVC.SUBMIT", *words, self.body] if submit else [b"SVC.QUERY", *words])
        host, port = self.agent.listen.split(":")
        sent, answer, old = now(), b"lost: no answer", False
        self.record(f"client sends {id} to {self.agent.name}: {options}")
        for again in (False, True):
            try:
                old = bool(self.free) and not again
                reader, writer = self.free.pop() if old else await asyncio.open_connection(host, int(port))
                writer.write(data)
                answer = await asyncio.wait_for(read_answer(reader), d / 1e3 + 2.0 - (now() - sent))
                self.free.append((reader, writer))
                break
            except ConnectionRefusedError:
                answer = b"could not connect"
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                answer = f"lost: {type(error).__name__}".encode()
                if not old:
                    break
            except TimeoutError:
                writer.transport.abort()
                break
        self.record(f"client got {id} after {now() - sent:.4f} s: {answer[:80]!r}")
        return answer


async def bounded(case: Callable[[Path, Record], Awaitable[int]], seconds: float, out: Path) -> int:
    """Run a case in a temporary folder within the time; 2 where it could not run."""
    folder, record = Path(tempfile.mkdtemp(prefix="otterquay-review-")), Record()
    seed = int(os.environ.get("SEED", "1"))  # of all draws; what comes of them still hangs on the real clock
    random.seed(seed)
    record(f"seed {seed}")
    task = asyncio.current_task()
    assert task
    for number in (signal.SIGTERM, signal.SIGINT):  # the agents end with the script
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(case(folder, record), seconds)
    except (TimeoutError, OSError, AssertionError, asyncio.CancelledError) as error:
        record(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        record.write(out)
        shutil.rmtree(folder, ignore_errors=True)
