"""What the agent costs a request, beside a bare asyncio relay and no relay at all, in one run on one machine.

    python benchmarks/relay.py [--seconds 5] [--rounds 3] [--out FILE]

Three kinds of middle, each in a process of its own: `direct` (none), `relay` (the same streams and HTTP codec,
a server picked at random, no decisions) and `agent` (`otterquay agent`). Closed-loop clients measure throughput;
open-loop clients at a third of the agent's throughput measure latency from the time each request was due.
CPU is user and system time of the middle's process. Figures are of this machine; the ratios are the result.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import signal
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import uvloop

from otterquay.agent.connection_pool import Pool
from otterquay.agent.http_agent import HttpApplianceProtocol
from otterquay.config.load import parse_service
from otterquay.logs import silent
from otterquay.protocol import news
from otterquay.protocol.http import RequestParser, ResponseParser, write_request, write_response
from otterquay.standins.http import EventSource, Listener, Peer

ROOT = Path(__file__).parent.parent
SERVERS, LINES = 8, 32
TICKS = os.sysconf("SC_CLK_TCK")
ASK = write_request(
    b"POST",
    b"/x",
    [
        (b"host", b"x"),
        (b"otterquay-class", b"lobby-read"),
        (b"otterquay-tenant", b"first-studio"),
        (b"otterquay-budget-ms", b"5000"),
        (b"x-request-id", b"bench-1"),
        (b"content-type", b"text/plain"),
    ],
    b"hello",
)
ANSWER = write_response(200, [(b"content-type", b"text/plain")], b"right\n")


def cpu_of(pid: int) -> float:
    """Seconds of user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_of(pid: int) -> int:
    """Resident bytes of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


# --- the processes ---
async def serve_appliances() -> None:
    """Appliances that answer at once, with list and desk beside them; prints all addresses."""
    listeners = []

    def answer(peer: Peer, request: Any) -> None:
        peer.send(ANSWER)

    for _ in range(SERVERS):
        listeners.append(Listener(answer))
        await listeners[-1].start()
    entries = [news.Entry(i + 1, "north", "ready", 1, one.address, i + 1) for i, one in enumerate(listeners)]
    fleet = msgspec.json.encode(news.FleetNews(1, entries)).decode()
    stage = msgspec.json.encode(news.Stage(1, 0, "released", 1.0, 0.0)).decode()
    sources = [
        EventSource("b", lambda *_, e=e, d=d: [(e, d, 1)], lambda *_: None)
        for e, d in (("full", fleet), ("stage", stage))
    ]
    print(json.dumps([one.address for one in listeners] + [await s.start() for s in sources]), flush=True)
    await asyncio.Event().wait()


async def serve_relay(targets: list[str]) -> None:
    """The bare relay: the agent's codec and its pool of connections, a server at random, no decisions."""
    rng, pool = random.Random(1), Pool(0.25, 15.0, HttpApplianceProtocol(0, ()), silent())
    skipped = (b"host", b"content-length", b"connection", b"transfer-encoding")

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, loop = RequestParser(), asyncio.get_running_loop()

        def done(call: Any, end: Any, answer: Any) -> None:
            headers = [h for h in answer.headers.items() if h[0] not in skipped] if answer else []
            writer.write(write_response(answer.status if answer else 502, headers, answer.body if answer else b""))

        while data := await reader.read(65536):
            for request in parser.feed(data):
                target = rng.choice(targets)
                headers = [(b"host", target.encode()), *(h for h in request.headers.items() if h[0] not in skipped)]
                payload = write_request(request.method, request.target, headers, request.body)
                pool.call(target, b"", payload, loop.time() + 5, done)
        writer.close()

    server = await asyncio.start_server(client, "127.0.0.1", 0)
    print(f"listening 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


async def spawn(*command: str) -> tuple[asyncio.subprocess.Process, str]:
    """Start a process and read its first line."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL, cwd=ROOT
    )
    assert process.stdout
    return process, (await process.stdout.readline()).decode()


# --- load ---
async def closed(address: str, seconds: float) -> int:
    """Requests answered 200 by LINES clients that each send the next once the last is answered."""
    host, port = address.split(":")
    end, served = time.perf_counter() + seconds, 0

    async def line() -> None:
        nonlocal served
        reader, writer = await asyncio.open_connection(host, int(port))
        while time.perf_counter() < end:
            writer.write(ASK)
            data = await reader.read(65536)
            served += data.startswith(b"HTTP/1.1 200")
        writer.close()

    await asyncio.gather(*(line() for _ in range(LINES)))
    return served


async def opened(address: str, rate: float, seconds: float) -> list[float]:
    """Milliseconds from when each request was due until its answer, at a fixed schedule."""
    host, port = address.split(":")
    free, took = [await asyncio.open_connection(host, int(port)) for _ in range(LINES)], list[float]()
    rng, due = random.Random(2), time.perf_counter()
    tasks = set()
    end = due + seconds

    async def one(due: float) -> None:
        line = free.pop() if free else await asyncio.open_connection(host, int(port))
        line[1].write(ASK)
        if (await line[0].read(65536)).startswith(b"HTTP/1.1 200"):
            took.append((time.perf_counter() - due) * 1e3)
        free.append(line)

    while due < end:
        due += rng.expovariate(rate)
        if (wait := due - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(one(due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return sorted(took)


def at(values: list[float], q: float) -> float:
    """A quantile of sorted values."""
    return values[min(len(values) - 1, int(q * len(values)))]


def codec_us(rounds: int = 20000) -> float:
    """Microseconds for the four codings of one relayed request."""
    begin = time.process_time()
    for _ in range(rounds):
        request = RequestParser().feed(ASK)[0]
        write_request(request.method, request.target, request.headers.items(), request.body)
        answer = ResponseParser().feed(ANSWER)[0]
        write_response(answer.status, answer.headers.items(), answer.body)
    return (time.process_time() - begin) / rounds * 1e6


async def serve_timed(fleet: str, desk: str) -> None:
    """The agent with a clock around its module: prints the module's microseconds a request when told to end."""
    from otterquay import interface as it
    from otterquay.agent.http_agent import HttpAgent
    from otterquay.policy.agent import Agent

    class Timed(Agent):
        spent, requests = 0.0, 0

        def handle(self, now: float, event: it.Event) -> list[it.Action]:
            begin = time.perf_counter()
            actions = super().handle(now, event)
            Timed.spent += time.perf_counter() - begin
            Timed.requests += isinstance(event, it.Request)
            return actions

    text = (ROOT / "examples" / "agent.hcl").read_text()
    service = parse_service(
        text,
        "bench",
        {"agent": {"listen": "127.0.0.1:0"}, "feeds": {"fleet": f"http://{fleet}", "desk": f"http://{desk}"}},
    )
    gc.freeze()
    runtime, ended = HttpAgent(service, random.Random(1), silent(), decider=Timed), asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    host, port = await runtime.start()
    print(f"listening {host}:{port}", flush=True)
    await ended.wait()
    print(Timed.spent / max(Timed.requests, 1) * 1e6, flush=True)
    runtime.close()


async def module_us(fleet: str, desk: str, seconds: float) -> float:
    """Microseconds that the module takes a request, inside an agent under load."""
    timed, said = await spawn(__file__, "--timed", f"{fleet},{desk}")
    await asyncio.sleep(0.5)
    await closed(said.split()[1], seconds)
    timed.terminate()
    assert timed.stdout
    spent = float(await timed.stdout.readline())
    await timed.wait()
    return spent


async def measure(seconds: float, rounds: int, loop: str) -> dict[str, Any]:
    """All figures of one run."""
    stand, line = await spawn(__file__, "--appliances")
    *targets, fleet, desk = json.loads(line)
    relay, said = await spawn(__file__, "--relay", ",".join(targets))
    relay_at = said.split()[1]
    agent, said = await spawn(
        "-m",
        "otterquay",
        "agent",
        "examples/agent.hcl",
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
        "warning",
        "--loop",
        loop,
    )
    agent_at = said.split()[1]
    await asyncio.sleep(1.0)
    middles: dict[str, tuple[str, int | None]] = {
        "direct": (targets[0], None),
        "relay": (relay_at, relay.pid),
        "agent": (agent_at, agent.pid),
    }
    runs: dict[str, list[tuple[float, float]]] = {name: [] for name in middles}
    try:
        idle = {}
        for name in ("relay", "agent"):
            address, pid = middles[name]
            assert pid
            before = memory_of(pid)
            host, port = address.split(":")
            held = [await asyncio.open_connection(host, int(port)) for _ in range(1000)]
            await asyncio.sleep(0.5)
            idle[name] = (memory_of(pid) - before) / 1000
            for _, writer in held:
                writer.close()
        for address, _pid in middles.values():
            await closed(address, 0.5)
        for _ in range(rounds):  # in turn, so that a noisy minute hits all alike
            for name, (address, pid) in middles.items():
                before = cpu_of(pid) if pid else 0.0
                served = await closed(address, seconds)
                used = cpu_of(pid) - before if pid else 0.0
                runs[name].append((served / seconds, used / max(served, 1) * 1e6))
        rate = statistics.median(r for r, _ in runs["agent"]) / 3
        latency = {name: await opened(address, rate, seconds) for name, (address, _) in middles.items()}
        module = await module_us(fleet, desk, seconds)
    finally:
        for process in (relay, agent, stand):
            process.kill()
            await process.wait()
    mid = {name: [statistics.median(x) for x in zip(*values, strict=True)] for name, values in runs.items()}
    return {
        "requests_per_s": {n: round(m[0]) for n, m in mid.items()},
        "requests_per_s_spread": {
            n: [round(min(r for r, _ in v)), round(max(r for r, _ in v))] for n, v in runs.items()
        },
        "cpu_us_per_request": {n: round(m[1]) for n, m in mid.items() if n != "direct"},
        "codec_us": round(codec_us(), 1),
        "module_us": round(module, 1),
        "latency_ms_at_rate": round(rate),
        "latency_ms": {
            n: {f"p{q * 100:g}": round(at(v, q), 2) for q in (0.5, 0.99, 0.999)} for n, v in latency.items()
        },
        "idle_connection_bytes": {n: round(v) for n, v in idle.items()},
        "agent_to_relay_throughput": round(mid["agent"][0] / mid["relay"][0], 3),
        "shell_to_relay_cpu": round((mid["agent"][1] - module) / mid["relay"][1], 3),
    }


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--rounds", default=5)
@click.option("--loop", type=click.Choice(["uvloop", "asyncio"]), default="uvloop", help="The agent's.")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--appliances", is_flag=True, hidden=True)
@click.option("--relay", hidden=True)
@click.option("--timed", hidden=True)
def main(
    seconds: float, rounds: int, loop: str, out: Path | None, appliances: bool, relay: str | None, timed: str | None
) -> None:
    """Measure and print one JSON object."""
    if appliances:
        asyncio.run(serve_appliances())
    elif relay:
        asyncio.run(serve_relay(relay.split(",")))
    elif timed:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve_timed(*timed.split(",")))
    else:
        text = json.dumps(asyncio.run(measure(seconds, rounds, loop)), indent=1)
        print(text)
        if out:
            out.write_text(text + "\n")


if __name__ == "__main__":
    main()
