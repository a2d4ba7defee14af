"""What the cases 6 to 10 share: clients, appliances, discovery, the platform, and the process of an agent.

Standard library only. Everything listens on 127.0.0.1 at free ports. Times in the record are seconds of one monotonic
clock since the case began. The stand-ins run in the process of the case; each agent is a process of its own, started
by /bin/sh -c with the command `run` of deploy/balancer.toml from the repository's root.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()
LIMIT_S = 110.0  # a case ends itself before the 120 s that it may take


def now() -> float:
    """Seconds since the case began."""
    return time.monotonic() - BEGAN


class CannotRun(Exception):
    """The case could not be played: no verdict."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")

    def __call__(self, what: str, **fields: Any) -> float:
        at = now()
        self.file.write(f"{at:9.4f} {what} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")
        return at

    def say(self, text: str) -> None:
        print(text)
        self.file.write(f"# {text}\n")
        self.file.flush()


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """One command of bulk strings."""
    head = await reader.readuntil(b"\r\n")
    if head[:1] != b"*":
        raise ValueError(f"not an array: {head!r}")
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


class Listener:
    """A listener on loopback with its connections."""

    def __init__(self, record: Record) -> None:
        self.record, self.writers, self.tasks = record, set(), set()
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(Exception):
            await self.converse(reader, writer)
        self.writers.discard(writer)
        with contextlib.suppress(Exception):
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Appliance(Listener):
    """A sound appliance: `cores` requests at a time, a waiting room, BUSY beyond it; work stops when it is given up.

    `ran` holds (time, id) of each request that began; `came` holds (time, command words) of each last byte.
    """

    def __init__(
        self, record: Record, name: str, build: int, zone: str, rng: random.Random, cores: int = 3
    ) -> None:
        super().__init__(record)
        self.name, self.build, self.zone, self.rng = name, build, zone, rng
        self.slots, self.waiting, self.room = asyncio.Semaphore(cores), 0, 40 * cores
        self.came: list[tuple[float, list[bytes]]] = []
        self.mean_s = {b"lobby-read": 0.21, b"queue-join": 0.14, b"race-entry": 0.14}
        self.cv = 0.8  # lognormal, as in the site file
        self.draining = False  # turns away what is new
        self.slower = 1.0  # how many times slower it works now
        self.reachable = asyncio.Event()  # cleared: cut off, so that open connections are silent
        self.reachable.set()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = await read_command(reader)
            await self.reachable.wait()  # what comes while it is cut off is not seen
            name = words[0].upper()
            if name not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                writer.write(self._other(name, words))
                continue
            options = dict(item.split(b"=", 1) for item in words[3].split(b","))
            at = self.record(
                "attempt", appliance=self.name, build=self.build, id=words[2].decode(), d=options[b"d"].decode()
            )
            self.came.append((at, words))
            if self.waiting >= self.room or self.draining:
                self.record("turned_away", appliance=self.name, id=words[2].decode())
                writer.write(b"-BUSY\r\n")
                continue
            work = asyncio.ensure_future(self._work(words, options))
            gone = asyncio.ensure_future(reader.read(1))  # one request at a time: what comes meanwhile is the end
            done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if work not in done:
                work.cancel()
                self.record("given_up", appliance=self.name, id=words[2].decode())
                return
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            if writer.is_closing():
                return
            await self.reachable.wait()
            self.record("answered", appliance=self.name, id=words[2].decode())
            writer.write(b"*3\r\n" + bulk(self.value(words)) + b"$-1\r\n$-1\r\n")

    def cut_off(self) -> None:
        """Cut it off: open connections stay open and silent, and new ones do not come up."""
        self.record("cut_off", appliance=self.name)
        self.reachable.clear()
        assert self.server
        self.server.close()

    async def bring_back(self) -> None:
        """End the cut: connections that were open are reset."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.reachable.set()
        await self.start(self.port)
        self.record("back", appliance=self.name)

    def value(self, words: list[bytes]) -> bytes:
        return b"for " + words[2] + b" by " + self.name.encode()

    async def _work(self, words: list[bytes], options: dict[bytes, bytes]) -> None:
        self.waiting += 1
        try:
            async with self.slots:
                self.record("run", appliance=self.name, id=words[2].decode())
                sigma = math.sqrt(math.log(1 + self.cv**2))
                await asyncio.sleep(
                    self.slower * self.mean_s[options[b"c"]] * self.rng.lognormvariate(-(sigma**2) / 2, sigma)
                )
        finally:
            self.waiting -= 1

    def _other(self, name: bytes, words: list[bytes]) -> bytes:
        if name == b"PING":
            return b"+PONG\r\n"
        if name == b"INFO":
            return bulk(b"pending=%d,served_ps=1,cpu_share=0.5" % self.waiting)
        return b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown\r\n"


class Discovery(Listener):
    """Discovery by long poll. With `delay_s` above 0 each answer is written that much later than it would be."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.generation, self.entries, self.changed_at = 1, dict[str, dict[str, Any]](), dict[str, int]()
        self.change, self.delay_s = asyncio.Condition(), 0.0
        self.outages = 0
        self.down = False  # silent: what is asked, and what waits, is never answered on its connection
        self.told: list[tuple[float, str, str]] = []  # when an answer with this entry was written

    def list_entry(self, appliance: Appliance, lifecycle: str = "in_service", started_ms: float = 0.0) -> None:
        self.generation += 1
        self.entries[appliance.name] = {
            "instanceId": appliance.name,
            "hostPort": appliance.address,
            "zone": appliance.zone,
            "machineType": "std-3c",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
            "version_no": appliance.build,
        }
        self.changed_at[appliance.name] = self.generation
        self.record("list", appliance=appliance.name, lifecycle=lifecycle, generation=self.generation)

    def go_down(self) -> None:
        self.down, self.outages = True, self.outages + 1
        self.record("discovery_down")

    def come_back(self) -> float:
        self.down = False
        return self.record("discovery_back")

    async def publish(self) -> None:
        async with self.change:
            self.change.notify_all()

    def body(self, after: int | None) -> dict[str, Any]:
        found = [
            entry
            for name, entry in self.entries.items()
            if (entry["lifecycle"] != "terminated" if after is None else self.changed_at[name] > after)
        ]
        return {"generation": self.generation, "reset": after is None, "instances": found}

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            after = re.search(r"after=(\d+)", target)
            wait = re.search(r"wait_ms=(\d+)", target)
            self.record("discovery_asked", target=target)
            outage = self.outages
            if after and wait:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(int(wait[1]), 60_000) / 1e3):
                        async with self.change:
                            await self.change.wait_for(lambda: self.generation > int(after[1]))
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.down or self.outages != outage:
                await reader.read(1)  # the connection stays open and silent until the agent ends it
                return
            if writer.is_closing() or reader.at_eof():
                self.record("discovery_asker_gone", target=target)
                return
            found = self.body(int(after[1]) if after else None)
            body = json.dumps(found).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
            at = self.record("discovery_told", generation=found["generation"], entries=len(found["instances"]))
            self.told += [(at, entry["instanceId"], entry["lifecycle"]) for entry in found["instances"]]


class Platform(Listener):
    """The platform: tells the state of the newest build, a sign of life each second, and takes votes."""

    def __init__(self, record: Record, state: tuple[int, int, str, float]) -> None:
        super().__init__(record)
        self.state, self.since, self.takes_votes = state, now(), True
        self.subscribed: set[asyncio.StreamWriter] = set()
        self.votes: list[str] = []

    def words(self) -> bytes:
        build, stage, mode, cap = self.state
        return f"{build} {stage} {mode} {cap:g} {(now() - self.since) * 1e3:.0f}".encode()

    def set_state(self, *state: Any) -> float:
        """Announce a new state; returns when it was written."""
        self.state, self.since = state, now()  # type: ignore[assignment]
        for writer in self.subscribed:
            writer.write(b"* progress " + self.words() + b"\r\n")
        return self.record("platform_told", state=self.words().decode().replace(" ", "/"))

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        life: asyncio.Task[None] | None = None
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).strip()
                if line == b"SUB":
                    writer.write(b"OK\r\n* progress " + self.words() + b"\r\n")
                    self.record("platform_told", state=self.words().decode().replace(" ", "/"))
                    self.subscribed.add(writer)
                    life = asyncio.ensure_future(self._life(writer))
                else:
                    self.votes.append(line.decode())
                    self.record("vote", words=line.decode().replace(" ", "/"))
                    # a stage whose time has not passed: the vote stands and changes nothing yet
                    writer.write(b"OK " + self.words() + b"\r\n")
        finally:
            self.subscribed.discard(writer)
            if life:
                life.cancel()

    @staticmethod
    async def _life(writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            await asyncio.sleep(1.0)
            writer.write(b"*\r\n")


CLASSES: list[dict[str, Any]] = [
    {"name": "lobby-read", "effect": "idempotent", "dedupScope": "all", "deadlineMs": 6000.0, "onTimeMs": 1500.0,
     "lateWorth": 0.2, "repeatWindowMs": 5000.0, "streamed": False, "value": 1.0},
    {"name": "queue-join", "effect": "deduplicated", "dedupScope": "zone", "deadlineMs": 2500.0, "onTimeMs": 1000.0,
     "lateWorth": 0.2, "repeatWindowMs": 5000.0, "streamed": False, "value": 2.0},
    {"name": "race-entry", "effect": "at_most_once", "dedupScope": "all", "deadlineMs": 2000.0, "onTimeMs": 800.0,
     "lateWorth": 0.0, "repeatWindowMs": 5000.0, "streamed": False, "value": 5.0},
]  # fmt: skip
ZONES = ["cyberjaya", "shah-alam", "bangi"]


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: those that the wire page prints as its example."""
    return {
        "groupSize": 3, "myNumber": 0, "zone": 0, "localities": ZONES, "kinds": ["std-3c"],
        "kindOfService": "rollout", "discovery": "automatic", "tickMs": 5.0, "valueBy": "request",
        "weightKind": "nominal", "overShareWorth": 0.05, "stage": 0, "tiers": ["matchmaker"],
        "clientHabits": {"marksRetry": True},
        "charges": {"connection": 0.02, "crossZone": 0.01, "handshake": 0.03, "lateFail": 0.03, "peer": 0.01,
                    "probe": 0.01, "waste": 0.08},
        "requestClasses": CLASSES,
        "tenants": [{"name": "pacu-games", "quotaPerS": 1000.0, "share": 1.0}],
        "limits": {"cancel": True, "connectTimeoutMs": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 100000,
                   "keepaliveMs": 15000.0, "maxOpen": 20000, "maxRetryAfterMs": 1000.0, "maxStreams": 1,
                   "peers": False, "probes": True, "retryAfter": False, "secondCopies": False, "sendCap": 6},
        "loadReport": {"names": ["pending", "served_ps", "cpu_share"], "source": "probe"},
        "rules": {"answerSlackMs": 20.0, "askEveryMs": 10000.0, "coldMs": 4600.0, "drainGraceMs": 2000.0,
                  "fallMs": 3000.0, "fallMultiple": 3.0, "startCapacity": 0.4},
        "familyInfo": {"allowance": 2.0, "apiTimeoutMs": 2000.0, "ayesNeeded": 1, "callsPerS": 200.0,
                       "caps": [0.112, 0.35, 0.84, 1.0], "closedStages": 0, "complaintShare": 0.0,
                       "control": "first_voice", "counts": "all", "harmFee": 8.0, "noReturn": False,
                       "repeatEveryMs": 6000.0, "soakMs": 1500.0, "stageShare": [0.08, 0.25, 0.6, 1.0],
                       "staleBuildPrice": 0.35, "stepMs": 0.0, "swap": "replace", "tallyEveryMs": 0.0,
                       "tallySample": 0.0, "voteLifeMs": 10000.0, "votesToHold": 0, "votesToRevert": 1,
                       "warmKeys": False, "windowMs": 4000.0},
        **changes,
    }  # fmt: skip


SAFE = ("lobby-read", "cab-positions", "fare-quote")
KINDS = [("lobby-read", 38, 6000), ("queue-join", 35, 2500), ("race-entry", 27, 2000)]


def draw_request(rng: random.Random) -> tuple[str, int]:
    """A class by its share, and the time of a try: 40 to 100% of the class's give-up time."""
    name, _, deadline = rng.choices(KINDS, [k[1] for k in KINDS])[0]
    return name, round(deadline * rng.uniform(0.4, 1.0))


class Stalls:
    """Agents that stand still for `length_s` again and again, `apart_s` from the end of one to the next.

    `of` holds (begin, end) by agent: before the signal to stop and after the signal to go on.
    """

    def __init__(self, agents: list[AgentProcess], length_s: float, apart_s: float, together: bool = False) -> None:
        self.together = together
        self.agents, self.length_s, self.apart_s = agents, length_s, apart_s
        self.of: dict[str, list[tuple[float, float]]] = {agent.name: [] for agent in agents}

    async def run(self, until: float) -> None:
        await asyncio.gather(*(self._one(agent, i, until) for i, agent in enumerate(self.agents)))

    async def _one(self, agent: AgentProcess, i: int, until: float) -> None:
        if not self.together:  # each at times of its own
            await asyncio.sleep(i * self.apart_s / len(self.agents))
        while now() + self.length_s < until:
            begin = agent.signal(signal.SIGSTOP) if TROUBLE else now()
            await asyncio.sleep(self.length_s)
            end = agent.signal(signal.SIGCONT) if TROUBLE else now()
            self.of[agent.name].append((begin, end))
            await asyncio.sleep(self.apart_s)


def free_address(number: int) -> str:
    """A loopback address of its own for an agent, so that no outgoing connection takes its port meanwhile."""
    host = f"127.{os.getpid() // 250 % 200 + 20}.{os.getpid() % 250 + 1}.{number + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class AgentProcess:
    """One agent: `run` of the deploy file, with its configuration in a temporary folder."""

    def __init__(
        self,
        record: Record,
        discovery: Discovery,
        platform: Platform,
        agent_settings: dict[str, Any],
        sockets: int = 1024,
    ) -> None:
        self.record, self.folder = record, Path(tempfile.mkdtemp(prefix="case-"))
        self.name = f"n{agent_settings['myNumber']}"
        self.listen = free_address(agent_settings["myNumber"])
        build, stage, mode, cap = platform.state
        self.config = {
            "name": self.name,
            "listen": self.listen,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "pipeline": {
                "address": platform.address,
                "news": {"release": build, "tranche": stage, "mode": mode, "exposure": cap, "old_ms": 5000},
            },
            "known": discovery.body(None),
            "settings": agent_settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(self.config))
        fresh.rename(path)
        return path

    async def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        env = {
            **os.environ,
            "TMPDIR": str(scratch),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen,
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.write_config()),
        }
        self.log = (self.folder / "agent.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record("agent_started", agent=self.name, pid=self.process.pid, listen=self.listen)
        until = now() + 30.0
        while now() < until:
            if self.process.returncode is not None:
                raise CannotRun("the agent ended at its start:\n" + self.log_text()[-2000:])
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.listen.split(":"))
                    writer.write(command(b"PING"))
                    line = await reader.readuntil(b"\r\n")
                    writer.close()
                    if line == b"+PONG\r\n":
                        self.record("agent_ready", agent=self.name)
                        return
            await asyncio.sleep(0.1)
        raise CannotRun("the agent was not ready within 30 s")

    def signal(self, number: signal.Signals) -> float:
        assert self.process
        at = self.record("signal", agent=self.name, number=number.name)
        if self.process.returncode is None:
            self.process.send_signal(number)
        return at

    def log_text(self) -> str:
        return (self.folder / "agent.log").read_text(errors="replace")

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(self.folder / "agent.log", os.environ["KEEP_LOG"] + self.name)
        shutil.rmtree(self.folder, ignore_errors=True)


class Request:
    """One request of a client: when its last byte was written, its time, and how it ended."""

    __slots__ = ("answer", "cls", "d_ms", "ended_at", "id", "opened_at", "sent_at")

    def __init__(self, id: str, cls: str, d_ms: int) -> None:
        self.id, self.cls, self.d_ms = id, cls, d_ms
        self.sent_at = self.ended_at = self.opened_at = -1.0
        self.answer: bytes | None = None  # the answer's line or value; b"" if the connection ended without one


class Clients:
    """Sound clients: they keep connections, open more when all are busy, and resend once what crossed a close."""

    def __init__(self, record: Record, agent: AgentProcess, rng: random.Random, linger_s: float = 2.0) -> None:
        self.record, self.agent, self.rng, self.linger_s = record, agent, rng, linger_s
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.requests: list[Request] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.refused = 0

    def send(self, cls: str, d_ms: int, body: bytes = b"spend one token", key: str | None = None) -> Request:
        request = Request(f"{self.rng.getrandbits(64):016x}", cls, d_ms)
        self.requests.append(request)
        task = asyncio.ensure_future(self._run(request, body, key or f"{self.rng.getrandbits(64):016x}"))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return request

    async def _run(self, request: Request, body: bytes, key: str) -> None:
        options = f"c={request.cls},t=pacu-games,d={request.d_ms}"
        if request.cls in ("queue-join", "book-ride"):
            options += f",k={self.rng.getrandbits(64):016x}"
        words = [key.encode(), request.id.encode(), options.encode()]
        data = command(b"SVC.QUERY", *words) if request.cls in SAFE else command(b"SVC.SUBMIT", *words, body)
        for may_resend in (True, False):
            try:
                fresh = False
                while True:
                    if not self.idle:
                        reader, writer = await asyncio.open_connection(*self.agent.listen.split(":"))
                        fresh = True
                        break
                    reader, writer = self.idle.pop()
                    if not reader.at_eof() and not writer.is_closing():
                        break
                writer.write(data)
                request.sent_at = request.sent_at if request.sent_at >= 0 else self.record(
                    "request", agent=self.agent.name, id=request.id, c=request.cls, d=request.d_ms
                )  # fmt: skip
                async with asyncio.timeout(request.d_ms / 1e3 + self.linger_s):
                    line = await reader.readuntil(b"\r\n")
                    if line[:1] == b"$":
                        line = b"$" + (await reader.readexactly(int(line[1:]) + 2))
                request.answer = line[:-2]
                self.idle.append((reader, writer))
                break
            except TimeoutError:
                writer.transport.abort()
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                if may_resend and not fresh:
                    self.record("request_again", id=request.id, why=type(error).__name__)
                    continue
                request.answer = b""
                break
        request.ended_at = self.record(
            "final", id=request.id, c=request.cls, after_ms=round((now() - request.sent_at) * 1e3),
            answer=(request.answer or b"none")[:60].decode("latin-1").replace(" ", "_"),
        )  # fmt: skip

    async def steady(self, per_s: float, until: float, draw: Any) -> None:
        """Send requests at a mean rate, evenly spaced with some jitter, whatever the answers."""
        due = now()
        while due < until:
            await asyncio.sleep(max(0.0, due - now()))
            self.send(*draw())
            due += self.rng.uniform(0.5, 1.5) / per_s

    async def finish(self) -> None:
        while self.tasks and now() < LIMIT_S:
            await asyncio.wait(set(self.tasks), timeout=0.5)


def play(folder: Path, case: Any) -> int:
    """Run a case: `case(record)` returns a list of broken-rule texts; exit code 1, 0 or 2."""
    record = Record(Path(os.environ.get("RECORD_DIR", folder)))

    async def guarded() -> list[str]:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends the agents, too
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    try:
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    for text in broken[:20]:
        record.say(f"BROKEN: {text}")
    record.say(f"{'with' if TROUBLE else 'without'} the disruption: {len(broken)} breaks of the rule")
    return 1 if broken else 0


def folder_of(path: str) -> Path:
    return Path(path).resolve().parent


sys.dont_write_bytecode = True
