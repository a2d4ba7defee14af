"""Cost of chat: commands per second, waits compared with HTTP, memory of idle sessions, and a mass reconnect.

    python benchmarks/chat.py [--seconds 4] [--sessions 5000] [--out FILE]

Runs one agent process, appliances that answer at once in a second one, and the clients in this one; idle sessions
have a process of their own. CPU and memory are those of the agent. The mass reconnect closes the sockets of all
idle sessions at once. They resume with their tokens while the other clients keep sending commands, whose waits are
compared with those before.
"""

from __future__ import annotations

import asyncio
import json
import resource
import secrets
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
from relay import cpu_of, memory_of, quantile, run_open_loop, spawn, wait_until_served

from otterquay.chat.gateway import WebSocket, dial


class Client:
    """A chat client that sends commands, waits for their answers and can resume its session."""

    def __init__(self, address: str, number: int) -> None:
        self.address, self.number, self.token, self.command_count = address, number, "", 0
        self.websocket: WebSocket | None = None

    async def _next(self, kind: str) -> dict[str, Any]:
        assert self.websocket
        while True:
            for text in self.websocket.messages():
                self.queue.append(json.loads(text))
            while self.queue:
                message = self.queue.pop(0)
                if message["type"] == kind:
                    return message
                if message["type"] == "error":
                    raise RuntimeError(str(message))
            if not await self.websocket.receive():
                raise ConnectionResetError
            self.websocket.flush()

    def _send(self, **message: Any) -> None:
        assert self.websocket
        self.websocket.send(json.dumps(message).encode())

    async def connect(self) -> None:
        """Connect and open a session, or resume it if there is a token."""
        self.queue: list[dict[str, Any]] = []
        self.websocket = await dial(self.address)
        await self._next("challenge")
        if self.token:
            self._send(type="resume", token=self.token, open=[])
        else:
            self._send(type="hello", name=f"p{self.number}", tenant="first-studio")
        self.token = (await self._next("welcome"))["token"]

    async def command(self, text: str) -> float:
        """Send a command; return the milliseconds until its final answer."""
        self.command_count += 1
        begin = time.perf_counter()
        self._send(type="command", id=f"c{self.command_count}", text=text)
        await self._next("answer")
        self._send(type="ack", id=f"c{self.command_count}")
        return (time.perf_counter() - begin) * 1e3


async def run_commands(clients: list[Client], seconds: float, pause_s: float) -> list[float]:
    """Send commands from all clients, pausing after each; return the sorted waits in milliseconds."""
    end, waits_ms = time.perf_counter() + seconds, list[float]()

    async def run_client(client: Client) -> None:
        while True:  # once at least
            waits_ms.append(await client.command("/lobby"))
            if time.perf_counter() >= end:
                return
            if pause_s:
                await asyncio.sleep(pause_s)

    await asyncio.gather(*map(run_client, clients))
    return sorted(waits_ms)


async def run_idle_sessions(address: str, count: int) -> None:
    """Hold idle sessions; after a line on stdin, abort all sockets and print the seconds until all have resumed."""
    clients = [Client(address, 100 + i) for i in range(count)]
    for i in range(0, count, 50):
        await asyncio.gather(*(c.connect() for c in clients[i : i + 50]))
    print("in", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    for client in clients:
        assert client.websocket
        client.websocket.writer.transport.abort()
    begin = time.perf_counter()
    await asyncio.gather(*(c.connect() for c in clients))
    print(time.perf_counter() - begin, flush=True)
    await asyncio.Event().wait()


def quantiles(values: list[float]) -> dict[str, float]:
    """Return three quantiles of sorted waits."""
    return {f"p{q * 100:g}": round(quantile(values, q), 2) for q in (0.5, 0.99, 0.999)}


async def measure(seconds: float, sessions: int) -> dict[str, Any]:
    """Measure all figures of one run."""
    standins, ready_line = await spawn(str(Path(__file__).with_name("relay.py")), "--appliances")
    *_, fleet, desk = json.loads(ready_line)
    with tempfile.TemporaryDirectory() as folder:
        key_file, settings_file = Path(folder) / "chat.key", Path(folder) / "agent.hcl"
        key_file.write_text(secrets.token_hex(32))
        text = (Path(__file__).parent.parent / "examples" / "chat-agent.hcl").read_text()
        settings_file.write_text(
            text.replace(
                "  resume_within",
                "  session_rate = 100000\n  session_burst = 100000\n  tenant_rate = 100000\n"
                '  tenant_burst = 100000\n  ping_every = "10m"\n  resume_within',
            )
        )
        agent, ready_line = await spawn(
            "-m",
            "otterquay",
            "agent",
            str(settings_file),
            "--listen",
            "127.0.0.1:0",
            "--fleet",
            f"http://{fleet}",
            "--desk",
            f"http://{desk}",
            "--announce",
            "--seed",
            "1",
            "--log-level",
            "error",
            "--chat-listen",
            "127.0.0.1:0",
            "--chat-key",
            str(key_file),
        )
        http_address, chat_address = ready_line.split()[1:3]
        try:
            await wait_until_served(http_address)
            clients = [Client(chat_address, i) for i in range(32)]
            await asyncio.gather(*(c.connect() for c in clients))
            await run_commands(clients, min(1.0, seconds), 0.0)
            cpu_before = cpu_of(agent.pid)
            saturated_ms = await run_commands(clients, seconds, 0.0)
            cpu_s = (cpu_of(agent.pid) - cpu_before) / len(saturated_ms)
            rate = len(saturated_ms) / seconds / 3
            chat_ms = await run_commands(clients, seconds, 32 / rate)
            http_ms = await run_open_loop(http_address, rate, seconds)
            bytes_before = memory_of(agent.pid)
            idle_process = await asyncio.create_subprocess_exec(
                sys.executable,
                __file__,
                "--crowd",
                f"{chat_address},{sessions}",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            assert idle_process.stdin and idle_process.stdout
            await idle_process.stdout.readline()
            bytes_per_session = (memory_of(agent.pid) - bytes_before) / sessions
            with_idle_ms = await run_commands(clients, seconds, 32 / rate)
            idle_process.stdin.write(b"go\n")
            during_reconnect_ms, reconnect_s = list[float](), 0.0
            resumed = asyncio.ensure_future(idle_process.stdout.readline())
            while not resumed.done():
                during_reconnect_ms += await run_commands(clients, 0.25, 32 / rate)
            reconnect_s = float(await resumed)
            during_reconnect_ms.sort()
            idle_process.kill()
            await idle_process.wait()
        finally:
            for process in (agent, standins):
                process.kill()
                await process.wait()
    return {
        "commands_per_s": round(len(saturated_ms) / seconds),
        "cpu_us_per_command": round(cpu_s * 1e6),
        "at_commands_per_s": round(rate),
        "wait_ms": {
            "chat": quantiles(chat_ms),
            "http": quantiles(http_ms),
            f"chat_with_{sessions}_idle": quantiles(with_idle_ms),
        },
        "bytes_a_session": round(bytes_per_session),
        "sessions": sessions,
        "mass_reconnect_s": round(reconnect_s, 2),
        "wait_ms_during_reconnect": quantiles(during_reconnect_ms),
    }


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--sessions", default=5000)
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--crowd", "idle_sessions", hidden=True)
def main(seconds: float, sessions: int, out: Path | None, idle_sessions: str | None) -> None:
    """Measure and print one JSON object."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 3 * sessions + 1000), hard))
    if idle_sessions:
        address, count = idle_sessions.split(",")
        return asyncio.run(run_idle_sessions(address, int(count)))
    text = json.dumps(asyncio.run(measure(seconds, sessions)), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
