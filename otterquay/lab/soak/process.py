"""One agent in service as a process: starts it, signals it and records how each of its runs went."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from otterquay.lab.ports import HOST
from otterquay.lab.soak.script import Signal

ROOT = Path(__file__).parent.parent.parent.parent
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
PING_INTERVAL_S = 0.02
START_TIMEOUT_S = 60.0  # then the run is given up; starts over the page's limit are counted by the judge
MAX_LOG_LINES = 5000  # kept of one run
SIGNALS = {name: signal.Signals["SIG" + name] for name in ("TERM", "HUP", "STOP", "CONT")}
MAX_SHUTDOWN_DEADLINE_S = 3.0  # longer deadlines count as this in the time that a planned end has
SHUTDOWN_EXTRA_S = 0.7


def earliest_kill_s(longest_deadline_s: float) -> float:
    """Seconds after SIGTERM at which SIGKILL may come, on the protocol page."""
    return min(longest_deadline_s, MAX_SHUTDOWN_DEADLINE_S) + SHUTDOWN_EXTRA_S


def wall_clock_ms() -> int:
    """Unix time in milliseconds, as discovery tells starts."""
    return time.time_ns() // 10**6


def limit_receive_buffer(transport: asyncio.BaseTransport, size_bytes: int) -> None:
    """Let the kernel hold little of what a client does not read."""
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def limit_listener_buffer(server: asyncio.Server, size_bytes: int) -> None:
    """Let the kernel hold little of what is not read on the connections that a listener accepts from now on."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


@dataclass(slots=True)
class ProcessRun:
    """One run of an agent's process, from its start to its end. Times are on the event loop's clock."""

    agent: int
    started_at: float
    ready_at: float | None = None
    term_at: float | None = None
    kill_at: float | None = None  # when SIGKILL was sent, planned or not
    planned: bool = False  # whether a SIGTERM came before the SIGKILL
    ended_at: float | None = None
    exit_code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)
    log_lines: list[dict[str, Any]] = field(default_factory=list)
    other_lines: list[str] = field(default_factory=list)
    most_descriptors: int = 0
    most_clients: int = 0
    descriptors_before: int = 0  # when it had become ready, before its clients came
    descriptors_at_rest: int = 0  # when all clients had gone
    memory_kb: list[int] = field(default_factory=list)

    def paused_s(self, since: float) -> float:
        """Seconds from `since` on for which it was stopped."""
        return sum(max(0.0, until - max(start, since)) for start, until in self.pauses)

    @property
    def killed(self) -> bool:
        """Whether SIGKILL ended it."""
        return self.exit_code == -signal.SIGKILL

    def events(self, event: str) -> list[dict[str, Any]]:
        """The log lines of an event."""
        return [line for line in self.log_lines if line.get("event") == event]


class AgentProcess:
    """The runs of one agent, always at one address; `configuration` returns the file's content for a start."""

    def __init__(self, number: int, port: int, configuration: Callable[[], bytes]) -> None:
        self.number, self.port, self._configuration = number, port, configuration
        self.runs: list[ProcessRun] = []
        self._folder = tempfile.TemporaryDirectory(prefix="otterquay-soak-")
        self.file = Path(self._folder.name) / "config.json"
        self._process: asyncio.subprocess.Process | None = None
        self._ended: asyncio.Task[None] | None = None
        self._stopped_at: float | None = None

    @property
    def run(self) -> ProcessRun:
        """The latest run."""
        return self.runs[-1]

    @property
    def pid(self) -> int | None:
        """The process id while it runs."""
        return self._process.pid if self._process and self._process.returncode is None else None

    def is_ready(self) -> bool:
        """Whether clients use it: it has answered PING and was not told to end."""
        run = self.run
        return run.ready_at is not None and run.term_at is None and run.ended_at is None and run.kill_at is None

    async def start(self) -> None:
        """Start the process and wait until it answers PING; TimeoutError if it does not in START_TIMEOUT_S."""
        loop = asyncio.get_running_loop()
        self.runs.append(ProcessRun(self.number, loop.time()))
        self.file.write_bytes(self._configuration())
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "otterquay.node",
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.file),
                "PYTHONPATH": str(ROOT),
                "PYTHONWARNINGS": "always::ResourceWarning",
            },
        )
        self._ended = asyncio.ensure_future(self._follow(self._process, self.run))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._pings():
                if self._process.returncode is not None:
                    return
                await asyncio.sleep(PING_INTERVAL_S)
        self.run.ready_at = loop.time()

    async def _pings(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(PING)
            return await reader.readexactly(len(PONG)) == PONG
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def _follow(self, process: asyncio.subprocess.Process, run: ProcessRun) -> None:
        """Keep the log of a run, then its end."""
        assert process.stderr
        async for line in process.stderr:
            if len(run.log_lines) + len(run.other_lines) >= MAX_LOG_LINES:
                continue
            try:
                run.log_lines.append(json.loads(line))
            except ValueError:
                run.other_lines.append(line.decode("utf-8", "replace").rstrip())
        run.exit_code = await process.wait()
        run.ended_at = asyncio.get_running_loop().time()

    def send(self, name: Signal) -> None:
        """Send a signal to the process, if it still runs."""
        now = asyncio.get_running_loop().time()
        if name == "TERM" and self.run.term_at is None:
            self.run.term_at, self.run.planned = now, True
        elif name == "STOP":
            self._stopped_at = now
        elif name == "CONT":
            self._note_pause(now)
        self._signal(SIGNALS[name])

    def _note_pause(self, now: float) -> None:
        if self._stopped_at is not None:
            self.run.pauses.append((self._stopped_at, now))
            self._stopped_at = None

    def _signal(self, number: int) -> None:
        """Send a signal past asyncio: its send_signal polls, which can reap the process before its watcher does."""
        if self.pid is not None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def kill(self) -> None:
        """Send SIGKILL, if it still runs."""
        now = asyncio.get_running_loop().time()
        self._note_pause(now)
        if self.pid is not None:
            self.run.kill_at = now
            self._signal(signal.SIGKILL)

    async def wait_ended(self) -> None:
        """Wait until the process has ended and its log is read."""
        if self._ended:
            await self._ended

    async def close(self) -> None:
        """Kill what still runs and remove the configuration."""
        self.kill()
        await self.wait_ended()
        self._folder.cleanup()
