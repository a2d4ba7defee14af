"""Cost of a refused request in the agent, compared with a served one, as the fleet and the load grow.

    python benchmarks/overload.py [--seconds 3] [--settle 2.5] [--servers 12,48,200] [--loads 0.5,1,10] [--out FILE]

The first table compares two phases of the same servers on the same agent process, one after the other: on trial
under a small cap, where nearly all requests are refused, and released, where all are served. The second table
offers 0.5 to 10 times the load that a fleet of 8 slow appliances can serve. CPU is user and system time of the
agent's process per request.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from relay import CONNECTIONS, REQUEST_BYTES, cpu_of, ratio, spawn, wait_until_served

from otterquay.protocol import news
from otterquay.protocol.http import HttpRequest, write_response
from otterquay.standins.http import EventSource, Listener, Peer

SERVICE_S, CORES, MACHINES = 0.08, 2, 8


class SlowAppliance:
    """An appliance with CORES cores and a service time of `seconds`; refuses requests while its queue is full.

    With a service time of 0 it answers at once.
    """

    def __init__(self, seconds: float) -> None:
        self.service_s, self.busy, self.queue = seconds, 0, list[Peer]()
        self.listener = Listener(self.request)

    def request(self, peer: Peer, _: HttpRequest) -> None:
        if not self.service_s:
            return peer.send(write_response(200, [], b"right\n"))
        if len(self.queue) > 20:
            return peer.send(write_response(503, [(b"otterquay-seen", b"no")], b""))
        self.queue.append(peer)
        self.start_queued()

    def start_queued(self) -> None:
        while self.queue and self.busy < CORES:
            self.busy += 1
            asyncio.get_running_loop().call_later(self.service_s, self.finish, self.queue.pop(0))

    def finish(self, peer: Peer) -> None:
        self.busy -= 1
        peer.send(write_response(200, [], b"right\n"))
        self.start_queued()


async def serve_world(seconds: float, servers: int) -> None:
    """Serve MACHINES appliances, a fleet list of `servers` entries and a desk; stdin lines set the phase."""
    appliances = [SlowAppliance(seconds) for _ in range(MACHINES)]
    for appliance in appliances:
        await appliance.listener.start()
    entries = [
        news.Entry(i + 1, "north", "ready", 2, appliances[i % MACHINES].listener.address, i + 1)
        for i in range(servers)
    ]
    fleet = msgspec.json.encode(news.FleetNews(1, entries)).decode()
    version, stage = 1, news.Stage(2, 0, "released", 1.0, 0.0)
    sources = [
        EventSource("b", lambda *_: [("full", fleet, 1)], lambda *_: None),
        EventSource("b", lambda *_: [("stage", msgspec.json.encode(stage).decode(), version)], lambda *_: None),
    ]
    print(json.dumps([await s.start() for s in sources]), flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        version += 1
        phase = line.decode().strip()
        stage = news.Stage(2, 0, phase, 0.05 if phase == "trial" else 1.0, 0.0)  # type: ignore[arg-type]
        sources[1].publish("stage", msgspec.json.encode(stage).decode(), version)


async def offer_load(address: str, rate: float, seconds: float) -> dict[str, int]:
    """Send requests in an open loop at a mean rate; return the number of answers by kind."""
    host, port = address.split(":")
    idle = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)]
    rng, due, counts, tasks = random.Random(3), time.perf_counter(), {"served": 0, "refused": 0, "failed": 0}, set()
    end = due + seconds

    async def send_request() -> None:
        connection = idle.pop() if idle else await asyncio.open_connection(host, int(port))
        connection[1].write(REQUEST_BYTES)
        data = await connection[0].read(65536)
        for kind in counts:
            counts[kind] += f"otterquay-answer: {kind}".encode() in data
        idle.append(connection)

    while due < end:
        due += rng.expovariate(rate)
        if (wait := due - time.perf_counter()) > 0:
            await asyncio.sleep(wait)
        task = asyncio.create_task(send_request())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    for _, writer in idle:
        writer.close()
    return counts


async def start_world(seconds: float, servers: int) -> tuple[Any, Any, str]:
    """Start the stand-ins and an agent; return both processes and the agent's address."""
    standins = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--world",
        f"{seconds},{servers}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert standins.stdout
    fleet, desk = json.loads(await standins.stdout.readline())
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
        "error",
    )
    address = ready_line.split()[1]
    await wait_until_served(address)
    return standins, agent, address


async def measure(seconds: float, settle_s: float, fleet_sizes: list[int], loads: list[float]) -> dict[str, Any]:
    """Measure both tables; `settle_s` lets the window of a phase before expire."""
    refusal_rows, load_rows = [], []
    for servers in fleet_sizes:
        standins, agent, address = await start_world(0.0, servers)
        row: dict[str, Any] = {"servers": servers}
        for phase in ("released", "trial"):
            standins.stdin.write(phase.encode() + b"\n")
            await asyncio.sleep(min(0.5, settle_s))
            await offer_load(address, 300, settle_s)
            cpu_before = cpu_of(agent.pid)
            counts = await offer_load(address, 1000, seconds)
            cpu_s = (cpu_of(agent.pid) - cpu_before) / max(sum(counts.values()), 1)
            row[phase] = {**counts, "cpu_us": round(cpu_s * 1e6)}
        row["refused_to_served"] = ratio(row["trial"]["cpu_us"], row["released"]["cpu_us"])
        refusal_rows.append(row)
        for process in (agent, standins):
            process.kill()
            await process.wait()
    capacity_per_s = MACHINES * CORES / SERVICE_S
    standins, agent, address = await start_world(SERVICE_S, MACHINES)
    for load_factor in loads:
        await asyncio.sleep(min(2.0, settle_s))
        cpu_before = cpu_of(agent.pid)
        counts = await offer_load(address, capacity_per_s * load_factor, seconds)
        load_rows.append(
            {
                "times_of_capacity": load_factor,
                **counts,
                "served_to_capacity": round(counts["served"] / seconds / capacity_per_s, 2),
                "cpu_us": round((cpu_of(agent.pid) - cpu_before) / max(sum(counts.values()), 1) * 1e6),
            }
        )
    for process in (agent, standins):
        process.kill()
        await process.wait()
    return {"refusals": refusal_rows, "load": load_rows}


@click.command()
@click.option("--seconds", default=3.0)
@click.option("--settle", default=2.5, help="Seconds between phases, for what the agent remembers of the last one.")
@click.option("--servers", default="12,48,200", help="Fleet sizes of the first table.")
@click.option("--loads", default="0.5,1,2,3,5,10", help="Multiples of the capacity in the second table.")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--world", "as_world", hidden=True)
def main(seconds: float, settle: float, servers: str, loads: str, out: Path | None, as_world: str | None) -> None:
    """Measure and print one JSON object."""
    if as_world:
        service_s, server_count = as_world.split(",")
        asyncio.run(serve_world(float(service_s), int(server_count)))
        return
    fleet_sizes = [int(size) for size in servers.split(",")]
    load_factors = [float(load) for load in loads.split(",")]
    text = json.dumps(asyncio.run(measure(seconds, settle, fleet_sizes, load_factors)), indent=1)
    print(text)
    if out:
        out.write_text(text + "\n")


if __name__ == "__main__":
    main()
