"""Requests cross the close at the end of a planned restart: appliances hang through the shutdown."""

from __future__ import annotations

import asyncio
import os
import random
import select
import signal
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
AGENTS, MATCHMAKERS, HANGING, CLIENTS = 3, 20, 13, 180
RESTARTS = 18
KILL_S, NEW_CONNECTIONS_S = 3.7, 0.3  # SIGKILL 3 s and 0.7 s after SIGTERM; new connections come for 0.2 to 0.4 s
DEADLINE_S, TRY_SHARE = 6.0, (0.4, 1.0)
WAIT_S, RETRIES = (0.15, 0.18), 3  # a fixed wait of each client between its tries, of 40 to 320 ms
THINK_S = (0.5, 1.5)

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Member:
    """An agent with the time of its SIGTERM, None while it serves."""

    def __init__(self, agent: Agent) -> None:
        self.agent, self.ends_at, self.up = agent, 0.0, True

    def takes_connections(self) -> bool:
        return self.up and (not self.ends_at or now() - self.ends_at < NEW_CONNECTIONS_S)


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Whether the agent's end of the connection has come, asked of the kernel."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def case(folder: Path, record: Record) -> int:
    fleet = Fleet(record)
    zones = [Zone("cyberjaya", 5.0), Zone("shah-alam", 5.0)]
    discovery, platform = Discovery(), Platform()
    await discovery.start()
    await platform.start()
    hanging: set[str] = set()

    async def serve(appliance: Appliance, options: dict[str, str], id: str) -> bytes | None:
        if appliance.name in hanging:
            while appliance.name in hanging:
                await asyncio.sleep(0.1)
            return None
        await asyncio.sleep(random.uniform(0.03, 0.06))
        return appliance.value(id)

    matchmakers = []
    for number in range(MATCHMAKERS):
        one = Appliance(f"s-{number}", zones[number % 2], fleet)
        one.plan = serve
        await one.start()
        discovery.set(one.name, hostPort=one.address, zone=one.zone.name, version_no=1)
        matchmakers.append(one)
    settings = {**SETTINGS, "groupSize": AGENTS}
    members = [Member(Agent(folder, n, {**settings, "zone": n % 2}, discovery, platform)) for n in range(AGENTS)]
    answers: Counter[str] = Counter()
    lost: list[str] = []
    asked, stop = 0, False

    async def play(member: Member) -> None:
        """One request at a time on a kept connection; what crosses its end is sent once more on a new one."""
        nonlocal asked
        host, port = member.agent.listen.split(":")
        wait = random.uniform(*WAIT_S)
        streams: Streams | None = None
        tries = 0
        await asyncio.sleep(random.uniform(0, THINK_S[1]))
        while not stop:
            if streams is None or has_ended(streams[1]):
                if streams:
                    streams[1].close()
                streams = None
                if not member.takes_connections():
                    await asyncio.sleep(0.1)
                    continue
                try:
                    streams = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
            asked += 1
            id, deadline = f"{asked:016x}", DEADLINE_S * random.uniform(*TRY_SHARE)
            options = f"c=lobby-read,t=pacu-games,d={int(deadline * 1e3)}"
            data = encode([b"SVC.QUERY", f"u{id}".encode(), id.encode(), options.encode()])
            if has_ended(streams[1]):
                continue
            streams[1].write(data)
            record(f"client sends {id} to {member.agent.name}")
            try:
                answer = await asyncio.wait_for(read_answer(streams[0]), deadline + 0.55)
            except TimeoutError:
                lost.append(f"{id} (no answer)")
                record(f"{id} is not answered within its time")
                streams[1].close()
                streams = None
                continue
            except (OSError, asyncio.IncompleteReadError):
                streams[1].close()
                streams = None
                if not member.ends_at or now() - member.ends_at >= KILL_S:
                    continue
                since = now() - member.ends_at
                record(
                    f"{member.agent.name} ends the connection of {id}, {since:.4f} s after SIGTERM; sent once more"
                )
                try:
                    streams = await asyncio.open_connection(host, int(port))
                    streams[1].write(data)
                    answer = await asyncio.wait_for(read_answer(streams[0]), deadline + 0.55)
                except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                    streams = None
                    lost.append(f"{id} ({member.agent.name}, {since:.4f} s after SIGTERM)")
                    record(f"{id} finds nobody: {type(error).__name__}")
                    continue
            answers[answer[:5].decode("latin-1") if answer[:1] == b"-" else "served"] += 1
            record(f"{member.agent.name} answers {id}: {answer[:40]!r}")
            if answer[:1] == b"-" and tries < RETRIES:
                tries += 1
                await asyncio.sleep(wait)
            else:
                tries = 0
                await asyncio.sleep(random.uniform(*THINK_S))

    players: list[asyncio.Task[None]] = []
    late = 0
    try:
        for member in members:
            member.agent.start()
        await asyncio.gather(*(member.agent.ready() for member in members))
        players = [asyncio.create_task(play(member)) for member in members for _ in range(CLIENTS)]
        await asyncio.sleep(2.5)
        for number in range(RESTARTS):
            member = members[number % AGENTS]
            if TROUBLE:
                hanging.update(one.name for one in random.sample(matchmakers, HANGING))
            member.ends_at = now()
            member.agent.signal(signal.SIGTERM)
            record(f"SIGTERM to {member.agent.name}")
            while member.agent.process.poll() is None and now() - member.ends_at < KILL_S:
                await asyncio.sleep(0.005)
            took, code = now() - member.ends_at, member.agent.process.poll()
            late += code is None
            record(f"{member.agent.name} has ended with {code} after {took:.3f} s; lost so far {len(lost)}")
            member.up = False
            member.agent.end()
            hanging.clear()
            member.agent.start()
            await member.agent.ready()
            member.up, member.ends_at = True, 0.0
            await asyncio.sleep(1.2)
        stop = True
        await asyncio.wait(players, timeout=7.0)
    finally:
        for player in players:
            player.cancel()
        for member in members:
            member.agent.end()
        for listener in (*matchmakers, discovery, platform):
            listener.close()
    record(f"asked {asked}, answers {dict(answers)}, killed by SIGKILL {late}, lost {len(lost)}: {' '.join(lost)}")
    print(f"asked {asked} over {RESTARTS} planned restarts; {len(lost)} found nobody or no answer")
    return 1 if lost else 0 if asked > 1000 else 2


if __name__ == "__main__":
    sys.exit(asyncio.run(bounded(case, 115.0, HERE / "record.txt")))
