"""Requests are read and never answered: an appliance hangs, and over 32 wait on one client connection."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from kit import (  # noqa: E402
    Agent,
    Appliance,
    Discovery,
    Fleet,
    Platform,
    Record,
    Zone,
    bounded,
    encode,
    now,
    read_answer,
)
from matchmaking import SETTINGS  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S, DRAIN_S = 25.0, 8.0
AGENTS, MATCHMAKERS = 3, 20
REQUESTS_PER_S = 15.0  # of each client, on one connection
DEADLINE_MS = 6000


async def case(folder: Path, record: Record) -> int:
    fleet = Fleet(record)
    zones = [Zone("cyberjaya", 5.0), Zone("shah-alam", 5.0)]
    discovery, platform = Discovery(), Platform()
    await discovery.start()
    await platform.start()
    hanging = f"s-{random.randrange(MATCHMAKERS)}" if TROUBLE else ""

    async def serve(appliance: Appliance, options: dict[str, str], id: str) -> bytes | None:
        if appliance.name == hanging:
            await asyncio.sleep(60.0)
        await asyncio.sleep(random.uniform(0.05, 0.1))
        return appliance.value(id)

    matchmakers = []
    for number in range(MATCHMAKERS):
        one = Appliance(f"s-{number}", zones[number % 2], fleet)
        one.plan = serve
        await one.start()
        discovery.set(one.name, hostPort=one.address, zone=one.zone.name, version_no=1)
        matchmakers.append(one)
    agents = [
        Agent(folder, n, {**SETTINGS, "groupSize": AGENTS, "zone": n % 2}, discovery, platform)
        for n in range(AGENTS)
    ]
    lost: list[str] = []
    answers: Counter[str] = Counter()
    asked = 0
    record(f"hanging: {hanging or 'none'}")

    async def play(agent: Agent, end: float) -> None:
        """Send on one connection and take the answers in order; begin a new connection where the agent ends it."""
        nonlocal asked
        while now() < end:
            host, port = agent.listen.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            waiting: list[str] = []

            async def read() -> None:
                while True:
                    answer = await read_answer(reader)
                    if not waiting:
                        record(f"{agent.name} closes a connection that nothing waits on: {answer!r}")
                        continue
                    id = waiting.pop(0)
                    answers[answer[:5].decode("latin-1")] += 1
                    record(f"{agent.name} answers {id}: {answer[:60]!r}")

            reading = asyncio.create_task(read())
            try:
                while now() < end and not reading.done():
                    asked += 1
                    id = f"{asked:016x}"
                    options = f"c=lobby-read,t=pacu-games,d={DEADLINE_MS}"
                    # what is written after the agent has ended the connection is not counted as taken
                    writer.write(encode([b"SVC.QUERY", f"u{id}".encode(), id.encode(), options.encode()]))
                    waiting.append(id)
                    record(f"client of {agent.name} sends {id}, {len(waiting)} wait on this connection")
                    await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
                if not reading.done():
                    await asyncio.wait([reading], timeout=DRAIN_S if waiting else 0.0)
                if reading.done():
                    reading.exception()
                    record(f"{agent.name} has ended the connection, {len(waiting)} requests on it have no answer")
                    # the last one may have crossed the end of the connection unread: the client may send it again
                    lost.extend(waiting[:-1])
            finally:
                reading.cancel()
                writer.close()

    try:
        for agent in agents:
            agent.start()
        await asyncio.gather(*(agent.ready() for agent in agents))
        end = now() + RUN_S
        await asyncio.gather(*(play(agent, end) for agent in agents))
        for agent in agents:
            assert agent.process and agent.process.poll() is None, "an agent has ended"
    finally:
        for agent in agents:
            agent.end()
        for listener in (*matchmakers, discovery, platform):
            listener.close()
    record(f"asked {asked}, answers {dict(answers)}, never answered {len(lost)}: {' '.join(lost)}")
    print(f"asked {asked}; {len(lost)} were taken and never answered, their connection ended by the agent")
    return 1 if lost else 0 if asked > 500 else 2


if __name__ == "__main__":
    sys.exit(asyncio.run(bounded(case, 100.0, HERE / "record.txt")))
