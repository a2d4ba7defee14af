"""A cold server on RESP, judged by the requests it received, not by the agent's estimate of its capacity."""

from __future__ import annotations

import asyncio
from bisect import bisect_right

import pytest

from otterquay import interface as it
from otterquay.policy.agent import Agent
from otterquay.standins.resp import Appliance, answer_at_once
from tests.crossings.forcing import STEP_CLOCK, run
from tests.crossings.wiretape import RespTape, broken
from tests.noderig import SETTINGS, Rig, answer

COLD = {"coldMs": 3000.0, "startCapacity": 0.4, "fallMultiple": 3.0, "fallMs": 500.0}
WORK_S = 0.01
REQUEST_INTERVAL_S = 0.002


async def day(rig: Rig) -> RespTape:
    """Three servers in steady use; one restarts cold and the others refuse everything, so traffic moves to it.

    Requests come at an even rate of the loop's clock: on a step clock the traffic before and after the restart is
    the same, whatever else the machine does.
    """
    tape, loop, served = RespTape(rig, WORK_S), asyncio.get_running_loop(), list[float]()

    def got(one: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        tape.request_arrived(one, words)
        answer_at_once(one, writer, words)

    def full(one: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
        tape.request_arrived(one, words)
        writer.write(b"-BUSY\r\n")

    for one in rig.appliances:
        one.behave = got
    reader, writer = await rig.connect()

    async def use(min_requests: int, min_s: float) -> None:
        """Send requests one after another, at least this many and for at least this long."""
        begun, count = loop.time(), 0
        while count < min_requests or loop.time() < begun + min_s:
            count += 1
            tape.asked(id := f"r{tape.now()}-{count}", "lobby-read")
            writer.write(rig.encode_request(id=id))
            assert await answer(reader)
            served.append(loop.time())
            await asyncio.sleep(REQUEST_INTERVAL_S)

    await use(200, 3 * COLD["fallMs"] / 1e3)
    span_s = COLD["fallMs"] / 1e3  # capacity: the most served in any such span
    max_served = max(bisect_right(served, at + span_s) - i for i, at in enumerate(served))
    rig.discovery.set("s-0", startedAtMs=rig.wall() * 1e3)
    tape.started(rig.appliances[0], max_served / span_s * WORK_S / len(rig.appliances))
    lists = len(rig.seen(it.ServerList))
    await rig.until(lambda: len(rig.seen(it.ServerList)) > lists)
    for one in rig.appliances[1:]:
        one.behave = full
    await use(200, 2.5 * COLD["fallMs"] / 1e3)
    return tape


@pytest.mark.parametrize("guarded", [True, False])
def test_a_cold_server_gets_no_more_than_it_bears(guarded: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    if not guarded:
        monkeypatch.setattr(Agent, "_cold", lambda *_: False)

    async def work() -> None:
        async with Rig(count=3, rules={**SETTINGS["rules"], **COLD}) as rig:
            report = (await day(rig)).judge(
                cold=f"{COLD['coldMs']}ms",
                start_capacity=f"{COLD['startCapacity']:.0%}",
                fall_multiple=COLD["fallMultiple"],
                fall=f"{COLD['fallMs']}ms",
            )
            assert report.checked["cold"] == 1 and list(broken(report)) == ([] if guarded else ["cold"])
            assert len(rig.appliances[0].got) > 10, "the cold server still got requests"

    run(work, STEP_CLOCK)
