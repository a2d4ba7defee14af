"""Cost of the agent per request, compared with a minimal asyncio relay and with no relay, in one run.

    python benchmarks/relay.py [--seconds 5] [--rounds 3] [--out FILE]

Compares three kinds of proxy, each in its own process: `direct` (no proxy), `relay` (the agent's connection pool
and HTTP codec, a server picked at random, no decisions) and `agent` (`otterquay agent`). Closed-loop clients
measure throughput; open-loop clients at a third of the agent's throughput measure latency from the time at which
each request was due. CPU is user and system time of the proxy's process. Absolute figures depend on the machine;
compare the ratios of one run.
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
SERVER_COUNT, CONNECTIONS = 8, 32
START_TIMEOUT_S = 30.0
CODEC_ROUNDS_PER_S = 5000  # of the run's length
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REQUEST_BYTES = write_request(
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
    """Return the seconds of user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_of(pid: int) -> int:
    """Return the resident bytes of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


# --- processes ---
async def serve_appliances() -> None:
    """Serve appliances that answer at once, the fleet list and the release desk; prints all addresses."""
    listeners = []

    def answer(peer: Peer, request: Any) -> None:
        peer.send(ANSWER)

    for _ in range(SERVER_COUNT):
        listeners.append(Listener(answer))
        await listeners[-1].start()
    entries = [
        news.Entry(i + 1, "north", "ready", 1, listener.address, i + 1) for i, listener in enumerate(listeners)
    ]
    fleet = msgspec.json.encode(news.FleetNews(1, entries)).decode()
    stage = msgspec.json.encode(news.Stage(1, 0, "released", 1.0, 0.0)).decode()
    sources = [
        EventSource("b", lambda *_, n=name, d=document: [(n, d, 1)], lambda *_: None)
        for name, document in (("full", fleet), ("stage", stage))
    ]
    print(json.dumps([listener.address for listener in listeners] + [await s.start() for s in sources]), flush=True)
    await asyncio.Event().wait()


async def serve_relay(targets: list[str]) -> None:
    """Serve the minimal relay: the agent's codec and connection pool, a random server, no decisions."""
    rng, pool = random.Random(1), Pool(0.25, 15.0, HttpApplianceProtocol(0, ()), silent())
    unforwarded = (b"host", b"content-length", b"connection", b"transfer-encoding")

    async def handle_client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, loop = RequestParser(), asyncio.get_running_loop()

        def send_answer(call: Any, end: Any, answer: Any) -> None:
            headers = [h for h in answer.headers.items() if h[0] not in unforwarded] if answer else []
            writer.write(write_response(answer.status if answer else 502, headers, answer.body if answer else b""))

        while data := await reader.read(65536):
            for request in parser.feed(data):
                target = rng.choice(targets)
                headers = [
                    (b"host", target.encode()),
                    *(h for h in request.headers.items() if h[0] not in unforwarded),
                ]
                payload = write_request(request.method, request.target, headers, request.body)
                pool.call(target, b"", lambda payload=payload: payload, loop.time() + 5, send_answer)
        writer.close()

    server = await asyncio.start_server(handle_client, "127.0.0.1", 0)
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
async def wait_until_served(address: str) -> None:
    """Return once a request has a 200 answer; TimeoutError after START_TIMEOUT_S."""
    host, port = address.split(":")
    async with asyncio.timeout(START_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST_BYTES)
        while not (await reader.read(65536)).startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(0.02)
            writer.write(REQUEST_BYTES)
    writer.close()


async def run_closed_loop(address: str, seconds: float) -> int:
    """Return the number of 200 answers to CONNECTIONS clients that each send one request at a time."""
    host, port = address.split(":")
    connections = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)]
    end, served = time.perf_counter() + seconds, 0

    async def run_client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal served
        while True:  # once at least
            writer.write(REQUEST_BYTES)
            data = await reader.read(65536)
            served += data.startswith(b"HTTP/1.1 200")
            if time.perf_counter() >= end:
                break
        writer.close()

    await asyncio.gather(*(run_client(*connection) for connection in connections))
    return served


async def run_open_loop(address: str, rate: float, seconds: float) -> list[float]:
    """Send requests on a fixed random schedule; return the sorted milliseconds from each due time to its answer."""
    host, port = address.split(":")
    idle, latencies_ms = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)], list[float]()
    rng, due = random.Random(2), time.perf_counter()
    tasks = set()
    end = due + seconds

    async def send_request(due: float) -> None:
        connection = idle.pop() if idle else await asyncio.open_connection(host, int(port))
        connection[1].write(REQUEST_BYTES)
        if (await connection[0].read(65536)).startswith(b"HTTP/1.1 200"):
            latencies_ms.append((time.perf_counter() - due) * 1e3)
        idle.append(connection)

    while due < end:
        due += rng.expovariate(rate)
        if (wait := due - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(send_request(due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return sorted(latencies_ms)


def quantile(values: list[float], q: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(q * len(values)))]


def ratio(value: float, base: float) -> float | None:
    """Return a ratio; None if the base was too small for the clock that measured it."""
    return round(value / base, 3) if base else None


def codec_us(rounds: int) -> float:
    """Return the microseconds of decoding and encoding the request and the answer of one exchange."""
    begin = time.process_time()
    for _ in range(rounds):
        request = RequestParser().feed(REQUEST_BYTES)[0]
        write_request(request.method, request.target, request.headers.items(), request.body)
        answer = ResponseParser().feed(ANSWER)[0]
        write_response(answer.status, answer.headers.items(), answer.body)
    return (time.process_time() - begin) / rounds * 1e6


async def serve_timed(fleet: str, desk: str) -> None:
    """Serve an agent whose decision module is timed; on SIGTERM prints the module's microseconds per request."""
    from otterquay import interface as it
    from otterquay.agent.http_agent import HttpAgent
    from otterquay.policy.agent import Agent

    class TimedAgent(Agent):
        spent_s, requests = 0.0, 0

        def handle(self, now: float, event: it.Event) -> list[it.Action]:
            begin = time.perf_counter()
            actions = super().handle(now, event)
            TimedAgent.spent_s += time.perf_counter() - begin
            TimedAgent.requests += isinstance(event, it.Request)
            return actions

    text = (ROOT / "examples" / "agent.hcl").read_text()
    service = parse_service(
        text,
        "bench",
        {"agent": {"listen": "127.0.0.1:0"}, "feeds": {"fleet": f"http://{fleet}", "desk": f"http://{desk}"}},
    )
    gc.freeze()
    runtime, stop_requested = HttpAgent(service, random.Random(1), silent(), decider=TimedAgent), asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    host, port = await runtime.start()
    print(f"listening {host}:{port}", flush=True)
    await stop_requested.wait()
    print(TimedAgent.spent_s / max(TimedAgent.requests, 1) * 1e6, flush=True)
    runtime.close()


async def module_us(fleet: str, desk: str, seconds: float) -> float:
    """Return the microseconds per request that the decision module takes in an agent under load."""
    agent, ready_line = await spawn(__file__, "--timed", f"{fleet},{desk}")
    address = ready_line.split()[1]
    await wait_until_served(address)
    await run_closed_loop(address, seconds)
    agent.terminate()
    assert agent.stdout
    cost_us = float(await agent.stdout.readline())
    await agent.wait()
    return cost_us


async def measure(seconds: float, rounds: int, loop: str) -> dict[str, Any]:
    """Measure all figures of one run."""
    standins, ready_line = await spawn(__file__, "--appliances")
    *targets, fleet, desk = json.loads(ready_line)
    relay, ready_line = await spawn(__file__, "--relay", ",".join(targets))
    relay_address = ready_line.split()[1]
    agent, ready_line = await spawn(
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
    agent_address = ready_line.split()[1]
    proxies: dict[str, tuple[str, int | None]] = {
        "direct": (targets[0], None),
        "relay": (relay_address, relay.pid),
        "agent": (agent_address, agent.pid),
    }
    runs: dict[str, list[tuple[float, float]]] = {name: [] for name in proxies}
    try:
        for address, _pid in proxies.values():
            await wait_until_served(address)
        idle_bytes = {}
        for name in ("relay", "agent"):
            address, pid = proxies[name]
            assert pid
            bytes_before = memory_of(pid)
            host, port = address.split(":")
            connections = [await asyncio.open_connection(host, int(port)) for _ in range(1000)]
            await asyncio.sleep(0.5)
            idle_bytes[name] = (memory_of(pid) - bytes_before) / 1000
            for _, writer in connections:
                writer.close()
        for address, _pid in proxies.values():
            await run_closed_loop(address, min(0.5, seconds))
        for _ in range(rounds):  # alternating, so that a temporarily busy machine affects all proxies alike
            for name, (address, pid) in proxies.items():
                cpu_before = cpu_of(pid) if pid else 0.0
                served = await run_closed_loop(address, seconds)
                cpu_s = cpu_of(pid) - cpu_before if pid else 0.0
                runs[name].append((served / seconds, cpu_s / max(served, 1) * 1e6))
        rate = statistics.median(r for r, _ in runs["agent"]) / 3
        latency = {name: await run_open_loop(address, rate, seconds) for name, (address, _) in proxies.items()}
        module_cost_us = await module_us(fleet, desk, seconds)
    finally:
        for process in (relay, agent, standins):
            process.kill()
            await process.wait()
    medians = {name: [statistics.median(x) for x in zip(*values, strict=True)] for name, values in runs.items()}
    return {
        "requests_per_s": {n: round(m[0]) for n, m in medians.items()},
        "requests_per_s_spread": {
            n: [round(min(r for r, _ in v)), round(max(r for r, _ in v))] for n, v in runs.items()
        },
        "cpu_us_per_request": {n: round(m[1]) for n, m in medians.items() if n != "direct"},
        "codec_us": round(codec_us(max(round(seconds * CODEC_ROUNDS_PER_S), 1)), 1),
        "module_us": round(module_cost_us, 1),
        "latency_ms_at_rate": round(rate),
        "latency_ms": {
            n: {f"p{q * 100:g}": round(quantile(v, q), 2) for q in (0.5, 0.99, 0.999)} for n, v in latency.items()
        },
        "idle_connection_bytes": {n: round(v) for n, v in idle_bytes.items()},
        "agent_to_relay_throughput": ratio(medians["agent"][0], medians["relay"][0]),
        "shell_to_relay_cpu": ratio(medians["agent"][1] - module_cost_us, medians["relay"][1]),
    }


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--rounds", default=5)
@click.option("--loop", type=click.Choice(["uvloop", "asyncio"]), default="uvloop", help="Event loop of the agent.")
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
