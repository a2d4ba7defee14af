"""What chat costs: commands a second a core, waits beside the HTTP front, idle sessions, a mass reconnect.

    python benchmarks/chat.py [--seconds 4] [--sessions 5000] [--out FILE]

One agent process, appliances that answer at once in another, clients in this one. CPU and memory are the agent's.
The mass reconnect cuts every session's socket at once; all come back with their tokens while other clients go on
sending commands, whose waits are compared with those before.
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
from relay import at, cpu_of, memory_of, opened, spawn

from otterquay.chat.gateway import WebSocket, dial


class Client:
    """A session that can type, wait and come back."""

    def __init__(self, address: str, number: int) -> None:
        self.address, self.number, self.token, self.typed = address, number, "", 0
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

    async def enter(self) -> None:
        """Connect; resume where there is a token."""
        self.queue: list[dict[str, Any]] = []
        self.websocket = await dial(self.address)
        await self._next("challenge")
        if self.token:
            self._send(type="resume", token=self.token, open=[])
        else:
            self._send(type="hello", name=f"p{self.number}", tenant="first-studio")
        self.token = (await self._next("welcome"))["token"]

    async def command(self, text: str) -> float:
        """Milliseconds until the final answer."""
        self.typed += 1
        begin = time.perf_counter()
        self._send(type="command", id=f"c{self.typed}", text=text)
        await self._next("answer")
        self._send(type="ack", id=f"c{self.typed}")
        return (time.perf_counter() - begin) * 1e3


async def steady(clients: list[Client], seconds: float, pause_s: float) -> list[float]:
    """Sorted waits of commands, each client pausing between its own."""
    end, waits = time.perf_counter() + seconds, list[float]()

    async def one(client: Client) -> None:
        while time.perf_counter() < end:
            waits.append(await client.command("/lobby"))
            if pause_s:
                await asyncio.sleep(pause_s)

    await asyncio.gather(*map(one, clients))
    return sorted(waits)


async def crowd(address: str, count: int) -> None:
    """Sessions in a process of their own: all enter, and on a word all lose their sockets and come back."""
    held = [Client(address, 100 + i) for i in range(count)]
    for i in range(0, count, 50):
        await asyncio.gather(*(c.enter() for c in held[i : i + 50]))
    print("in", flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    for client in held:
        assert client.websocket
        client.websocket.writer.transport.abort()
    begin = time.perf_counter()
    await asyncio.gather(*(c.enter() for c in held))
    print(time.perf_counter() - begin, flush=True)
    await asyncio.Event().wait()


def quantiles(values: list[float]) -> dict[str, float]:
    """Three quantiles of sorted waits."""
    return {f"p{q * 100:g}": round(at(values, q), 2) for q in (0.5, 0.99, 0.999)}


async def measure(seconds: float, sessions: int) -> dict[str, Any]:
    """All figures of one run."""
    stand, line = await spawn(str(Path(__file__).with_name("relay.py")), "--appliances")
    *_, fleet, desk = json.loads(line)
    with tempfile.TemporaryDirectory() as folder:
        key, settings = Path(folder) / "chat.key", Path(folder) / "agent.hcl"
        key.write_text(secrets.token_hex(32))
        text = (Path(__file__).parent.parent / "examples" / "chat-agent.hcl").read_text()
        settings.write_text(
            text.replace(
                "  resume_within",
                "  session_rate = 100000\n  session_burst = 100000\n  tenant_rate = 100000\n"
                '  tenant_burst = 100000\n  ping_every = "10m"\n  resume_within',
            )
        )
        agent, said = await spawn(
            "-m",
            "otterquay",
            "agent",
            str(settings),
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
            str(key),
        )
        http, chat = said.split()[1:3]
        try:
            await asyncio.sleep(1.0)
            busy = [Client(chat, i) for i in range(32)]
            await asyncio.gather(*(c.enter() for c in busy))
            await steady(busy, 1.0, 0.0)
            before = cpu_of(agent.pid)
            full = await steady(busy, seconds, 0.0)
            cpu = (cpu_of(agent.pid) - before) / len(full)
            rate = len(full) / seconds / 3
            calm = await steady(busy, seconds, 32 / rate)
            over_http = await opened(http, rate, seconds)
            held = memory_of(agent.pid)
            crowd = await asyncio.create_subprocess_exec(
                sys.executable,
                __file__,
                "--crowd",
                f"{chat},{sessions}",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            assert crowd.stdin and crowd.stdout
            await crowd.stdout.readline()
            each = (memory_of(agent.pid) - held) / sessions
            with_idle = await steady(busy, seconds, 32 / rate)
            crowd.stdin.write(b"go\n")
            hurt, took = list[float](), 0.0
            answer = asyncio.ensure_future(crowd.stdout.readline())
            while not answer.done():
                hurt += await steady(busy, 0.25, 32 / rate)
            took = float(await answer)
            hurt.sort()
            crowd.kill()
            await crowd.wait()
        finally:
            for process in (agent, stand):
                process.kill()
                await process.wait()
    return {
        "commands_per_s": round(len(full) / seconds),
        "cpu_us_per_command": round(cpu * 1e6),
        "at_commands_per_s": round(rate),
        "wait_ms": {
            "chat": quantiles(calm),
            "http": quantiles(over_http),
            f"chat_with_{sessions}_idle": quantiles(with_idle),
        },
        "bytes_a_session": round(each),
        "sessions": sessions,
        "mass_reconnect_s": round(took, 2),
        "wait_ms_during_reconnect": quantiles(hurt),
    }


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--sessions", default=5000)
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--crowd", "as_crowd", hidden=True)
def main(seconds: float, sessions: int, out: Path | None, as_crowd: str | None) -> None:
    """Measure and print one JSON object."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 3 * sessions + 1000), hard))
    if as_crowd:
        address, count = as_crowd.split(",")
        return asyncio.run(crowd(address, int(count)))
    text = json.dumps(asyncio.run(measure(seconds, sessions)), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
