"""Discovery is down and returns: is a drain that it tells at its return kept within the grace?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import rig

DOWN_S = 8.0  # the pages: discovery is down for 8 s
DRAIN_BEFORE_RETURN_S = 0.5
GRACE_S, SLACK_S = 0.25, 0.05 + 0.15  # the site's grace; the protocol's 50 ms and the time an agent may be held up
AGENTS, NODES, RATE = 5, 24, 24.0  # 3 to 5 agents, about 120 requests a second in all

CLASSES = [
    {"name": "cab-positions", "effect": "idempotent", "deadlineMs": 2000.0, "onTimeMs": 750.0, "lateWorth": 0.2,
     "value": 2.0},
    {"name": "fare-quote", "effect": "idempotent", "deadlineMs": 3000.0, "onTimeMs": 1200.0, "lateWorth": 0.0,
     "value": 1.0},
    {"name": "book-ride", "effect": "deduplicated", "dedupScope": "zone", "deadlineMs": 4000.0, "onTimeMs": 1200.0,
     "lateWorth": 0.2, "repeatWindowMs": 2500.0, "value": 5.0},
]  # fmt: skip
ZONES = ["rennes", "brest"]


def settings(number: int) -> dict:
    """Settings with the figures of dispatch-rennes."""
    found = rig.settings(
        groupSize=AGENTS, myNumber=number, zone=number % 2, localities=ZONES, kinds=["dual-fast"],
        requestClasses=CLASSES, loadReport={"names": [], "source": "none"},
    )  # fmt: skip
    found["rules"] |= {"drainGraceMs": 250.0, "fallMs": 2000.0, "fallMultiple": 4.0, "startCapacity": 0.31}
    found["limits"] |= {"sendCap": 3, "secondCopies": True, "retryAfter": True}
    found["familyInfo"] |= {
        "caps": [0.14, 0.49, 1.0], "stageShare": [0.1, 0.35, 1.0], "swap": "parallel", "voteLifeMs": 4000.0,
        "soakMs": 3000.0, "windowMs": 6000.0, "apiTimeoutMs": 1200.0, "callsPerS": 150.0, "repeatEveryMs": 4000.0,
    }  # fmt: skip
    return found


def draw(rng: random.Random) -> tuple[str, int]:
    name, deadline = rng.choices(
        [("cab-positions", 2000), ("fare-quote", 3000), ("book-ride", 4000)], [51, 37, 12]
    )[0]
    return name, round(deadline * rng.uniform(0.4, 1.0))


async def case(record: rig.Record) -> list[str]:
    rng = random.Random(9)
    # the build 42 has been released; the nodes of the earlier build drain while discovery is down
    nodes = [rig.Appliance(record, f"s-{i:08x}", 41 + i % 2, ZONES[i // 2 % 2], rng) for i in range(NODES)]
    for node in nodes:
        node.mean_s = {b"cab-positions": 0.086, b"fare-quote": 0.14, b"book-ride": 0.14}
    discovery, platform = rig.Discovery(record), rig.Platform(record, (42, 2, "live", 1.0))
    for node in nodes:
        await node.start()
        discovery.list_entry(node)
    await discovery.start()
    await platform.start()
    agents = [rig.AgentProcess(record, discovery, platform, settings(i)) for i in range(AGENTS)]
    clients = [rig.Clients(record, agent, rng) for agent in agents]
    leaving = [node for node in nodes if node.build == 41]
    try:
        await asyncio.gather(*(agent.start() for agent in agents))
        ends = rig.now() + 5.0 + DOWN_S + 8.0
        sending = [asyncio.ensure_future(c.steady(RATE, ends, lambda: draw(rng))) for c in clients]
        await asyncio.sleep(5.0)
        if rig.TROUBLE:
            discovery.go_down()
        await asyncio.sleep(DOWN_S - DRAIN_BEFORE_RETURN_S)
        for node in leaving:
            node.draining = True
            discovery.list_entry(node, "terminating")
        await discovery.publish()
        drains_at = record("drain", nodes=len(leaving))
        await asyncio.sleep(DRAIN_BEFORE_RETURN_S if rig.TROUBLE else 0.0)
        told_at = discovery.come_back() if rig.TROUBLE else drains_at
        await asyncio.gather(*sending)
        for one in clients:
            await one.finish()
    finally:
        for agent in agents:
            await agent.end()
        for listener in (*nodes, discovery, platform):
            listener.stop()
    sent = sorted((at, node.name, words[2].decode()) for node in leaving for at, words in node.came)
    broken = [
        f"request {id} sent to {name} {at - told_at:.3f} s after the drain was told"
        for at, name, id in sent
        if at > told_at + GRACE_S + SLACK_S
    ]
    record.say(
        f"{sum(len(c.requests) for c in clients)} requests; to the nodes that drain: "
        f"{sum(at <= told_at for at, *_ in sent)} until the drain was told, "
        f"{sum(at > told_at for at, *_ in sent)} after that, {len(broken)} after the grace"
    )
    return broken


sys.exit(rig.play(rig.folder_of(__file__), case))
