"""A slow discovery: do agents learn of a drain in the time that the pages allow?"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import rig

DELAY_S = (
    1.5  # each answer of discovery comes that much later: within the 2 s and 6 s after which it counts as told
)
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05 + 0.15  # the last: the protocol's 50 ms, and an agent that is held up
AGENTS, RATE = 3, 32.0  # requests a second at each agent
BEFORE_S, DRAIN_S = 10.0, 15.0  # discovery is slow for some time, then matchmakers drain for some time


async def case(record: rig.Record) -> list[str]:
    rng = random.Random(8)
    appliances = [rig.Appliance(record, f"s-{i:08x}", 41, rig.ZONES[i % 3], rng) for i in range(9)]
    discovery, platform = rig.Discovery(record), rig.Platform(record, (41, 3, "live", 1.0))
    for appliance in appliances:
        await appliance.start()
        discovery.list_entry(appliance)
    await discovery.start()
    await platform.start()
    agents = [
        rig.AgentProcess(
            record, discovery, platform, rig.settings(groupSize=AGENTS, myNumber=i, zone=i, discovery="subscribe")
        )
        for i in range(AGENTS)
    ]
    clients = [rig.Clients(record, agent, rng) for agent in agents]
    drained = [appliances[3], appliances[7]]
    try:
        await asyncio.gather(*(agent.start() for agent in agents))
        ends = rig.now() + 5.0 + BEFORE_S + DRAIN_S
        sending = [asyncio.ensure_future(c.steady(RATE, ends, lambda: rig.draw_request(rng))) for c in clients]
        await asyncio.sleep(5.0)
        if rig.TROUBLE:
            discovery.delay_s = DELAY_S
            record("discovery_slow", each_answer_later_by_s=DELAY_S)
        await asyncio.sleep(BEFORE_S)
        for appliance in drained:
            appliance.draining = True
            discovery.list_entry(appliance, "terminating")
        await discovery.publish()
        drains_at = record("drain", appliances="+".join(a.name for a in drained))
        await asyncio.gather(*sending)
        for one in clients:
            await one.finish()
    finally:
        for agent in agents:
            await agent.end()
        for listener in (*appliances, discovery, platform):
            listener.stop()
    sent = sorted((at, a.name, words[2].decode()) for a in drained for at, words in a.came)
    broken = [
        f"request {id} sent to {name} {at - drains_at:.2f} s after its drain began"
        for at, name, id in sent
        if at > drains_at + TOLD_S + GRACE_S + SLACK_S
    ]
    told = sum(at > drains_at and lifecycle == "terminating" for at, _, lifecycle in discovery.told)
    record.say(
        f"{sum(len(c.requests) for c in clients)} requests; to the matchmakers that drain: "
        f"{sum(at <= drains_at for at, *_ in sent)} before, {sum(at > drains_at for at, *_ in sent)} after the drain "
        f"began, {len(broken)} of them after the bound; entries of the drain that discovery could write: {told}"
    )
    return broken


sys.exit(rig.play(rig.folder_of(__file__), case))
