"""Hosts for agents under test: separate processes, or this process for tests that replace parts of the agent."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from otterquay import interface as it
from otterquay.agent.http_agent import HttpAgent
from otterquay.agent.runtime import DecisionModule
from otterquay.config.schema import Peers, Service
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.policy.agent import Agent
from otterquay.store import open_store

LAB_BOOT_ID = "lab"  # all agents of one process read its clock


@dataclass(frozen=True, slots=True)
class AgentPlacement:
    """Number, zone, addresses and seed of one agent in a run."""

    number: int
    count: int
    zone: str
    fleet: str
    desk: str
    seed: int
    peers: dict[str, str]
    chat: dict[str, str] = field(default_factory=dict)


def agent_settings(service: Service, place: AgentPlacement) -> Service:
    """The service settings with the values of this agent filled in."""
    agent = service.agent.model_copy(
        update={"number": place.number, "count": place.count, "zone": place.zone, "listen": "127.0.0.1:0"}
    )
    feeds = service.feeds.model_copy(update={"fleet": place.fleet, "desk": place.desk})
    peers = Peers(key_file="", address=place.peers) if place.peers else None
    chat = service.chat
    if chat and place.chat:
        chat = chat.model_copy(update={"listen": place.chat[str(place.number)], "agents": place.chat})
    return service.model_copy(update={"agent": agent, "feeds": feeds, "peers": peers, "chat": chat})


class AgentHost(Protocol):
    """An agent that can be started, killed and stopped repeatedly."""

    async def start(self) -> str: ...

    async def kill(self) -> None: ...

    async def stop(self) -> None: ...

    def pause(self, on: bool) -> None: ...


@dataclass(slots=True)
class InProcessAgent:
    """An agent in this process; `decider` may be a decision module with a guard removed."""

    service: Service
    place: AgentPlacement
    key: bytes
    decider: Callable[[it.Settings, int], DecisionModule] = Agent
    disk: FaultDisk = field(default_factory=lambda: FaultDisk(sector=4096))
    runtime: HttpAgent | None = None
    starts: int = 0

    async def start(self) -> str:
        """Start the agent; returns its address for clients."""
        self.starts += 1
        rng = random.Random(self.place.seed * 1000 + self.starts)
        self.disk = self.disk.after_kill()
        store = await open_store(self.disk, silent(), asyncio.get_running_loop().time, boot_id=LAB_BOOT_ID)
        self.runtime = HttpAgent(
            agent_settings(self.service, self.place),
            rng,
            silent(),
            self.key,
            store,
            self.decider,
            self.key if self.place.chat else None,
        )
        host, port = await self.runtime.start()
        return f"{host}:{port}"

    async def kill(self) -> None:
        """Abort without answering open requests."""
        if self.runtime:
            runtime, self.runtime = self.runtime, None
            runtime.post = lambda event: None  # type: ignore[method-assign]
            if runtime.gateway:
                runtime.gateway.abort()
            for client in list(runtime.front.clients):
                client.number = None
                client.writer.transport.abort()
            runtime.close()

    async def stop(self) -> None:
        """Stop gracefully."""
        if self.runtime:
            runtime, self.runtime = self.runtime, None
            await runtime.stop()

    def pause(self, on: bool) -> None:
        """Not supported: only an agent in a separate process can be paused."""


@dataclass(slots=True)
class AgentProcess:
    """An agent in a separate process, as users run it: `otterquay agent FILE`."""

    settings: Path
    place: AgentPlacement
    key_file: Path
    logs: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    async def start(self) -> str:
        """Start and wait until it listens; raises RuntimeError with its last log line if it exits instead."""
        await self.kill()  # the process holds the store and the ports: there is one at a time
        self.starts += 1
        place = self.place
        command = [
            sys.executable,
            "-m",
            "otterquay",
            "agent",
            str(self.settings),
            "--number",
            str(place.number),
            "--count",
            str(place.count),
            "--zone",
            place.zone,
            "--listen",
            "127.0.0.1:0",
            "--fleet",
            place.fleet,
            "--desk",
            place.desk,
            "--seed",
            str(place.seed * 1000 + self.starts),
            "--store",
            str(self.logs / f"agent-{place.number}.store"),
            "--announce",
        ]
        for number, address in place.peers.items():
            command += ["--peer", f"{number}={address}"]
        for number, address in place.chat.items():
            command += ["--chat-agent", f"{number}={address}"]
        if place.chat:
            command += ["--chat-listen", place.chat[str(place.number)], "--chat-key", str(self.key_file)]
        if place.peers:
            command += ["--peer-key", str(self.key_file)]
        with open(self.logs / f"agent-{place.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        assert self.process.stdout
        line = (await self.process.stdout.readline()).decode().split()
        if len(line) < 2 or line[0] != "listening":
            await self.kill()
            last = Path(log.name).read_text(errors="replace").splitlines()[-1:]
            raise RuntimeError(f"agent {place.number} did not start: {''.join(last)[:300]}; see {log.name}")
        return line[1]

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """Send SIGTERM and wait for the exit."""
        if self.process and self.process.returncode is None:
            self.process.terminate()
            await self.process.wait()

    def pause(self, on: bool) -> None:
        """Send SIGSTOP or SIGCONT."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
