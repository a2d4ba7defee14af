"""Chat scenarios: ten seeds of 200 clients, and runs with a safeguard disabled, which the judge must report."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import replace
from typing import Any

import pytest
from rig import EXAMPLE, run

from otterquay import interface as it
from otterquay.chat import hub as chat_hub
from otterquay.chat import messages
from otterquay.lab.chat import ChatWorld, judge, unsafe_commands
from otterquay.lab.day import FaultPlan, load_day
from otterquay.lab.disk import FaultDisk
from otterquay.lab.sim import SimAgent, simulated
from otterquay.lab.simloop import simulate
from otterquay.policy.agent import Agent

SCENARIO = EXAMPLE.parent / "chat-night.hcl"
SEEDS = range(1, 11)


def test_ten_runs_of_two_hundred_clients_with_agents_in_processes() -> None:
    async def work() -> None:
        slots = asyncio.Semaphore(3)  # a run is several processes; five at once overload the cores

        async def run_scenario(seed: int) -> dict[str, Any]:
            async with slots:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "otterquay",
                    "lab",
                    "chat",
                    "--clients",
                    "200",
                    "--seed",
                    str(seed),
                    "--seconds",
                    "5",
                    "--json",
                    stdout=asyncio.subprocess.PIPE,
                )
                out, _ = await process.communicate()
                return json.loads(out)  # type: ignore[no-any-return]

        for seed, findings in zip(SEEDS, await asyncio.gather(*map(run_scenario, SEEDS)), strict=True):
            assert findings["violations"] == [], (seed, findings["violations"][:5])
            assert findings["commands"] > 50 and findings["answers"] + findings["not_taken"] == findings["commands"]
            assert findings["entry_spent_twice"] == findings["answered_twice"] == findings["unanswered"] == 0
            assert (
                findings["resumed"] > 5 and findings["entry_spends"] > 5
            )  # how many depends on the speed of the machine

    run(work)


@pytest.mark.parametrize("seed", [1, 2])
def test_most_commands_of_a_run_are_served(seed: int) -> None:
    """Runs on simulated time, so that the share served does not depend on the load of the machine."""
    day, service = load_day(SCENARIO)
    day = day.model_copy(update={"duration": 5000.0})
    world = ChatWorld(day, service, seed, simulated(service, seed), client_count=200)
    simulate(world.run(), seed)
    findings = judge(world.tape, unsafe_commands(service))
    assert findings["violations"] == [] and findings["resumed"] > 50 and findings["entry_spends"] > 150
    assert findings["answered_served"] > 0.9 * findings["commands"] > 450


class ForgetsCommandIds(chat_hub.Hub):
    """Treats a repeated id as a new command."""

    def _command(self, conn_id: int, session: chat_hub.Session, message: messages.Command) -> None:
        session.entries.pop(message.id, None)
        super()._command(conn_id, session, message)


class DropsAnswersWhileDetached(chat_hub.Hub):
    """Drops an answer when the session is detached."""

    def _finished(self, event: chat_hub.Finished) -> None:
        if found := self._submitted.get(event.ref):
            session, entry = found
            lost = session.conn_id is None
            super()._finished(event)
            if lost:
                entry.acked = True


class LeavesLostCommandsUnanswered(chat_hub.Hub):
    """Does not answer commands of a lost session."""

    def _replace_lost_session(
        self, conn_id: int, connection: Any, token: Any, message: messages.ResumeHello
    ) -> None:
        super()._replace_lost_session(conn_id, connection, token, messages.ResumeHello(message.token, []))


class RunsLostCommandsAgain(chat_hub.Hub):
    """Reports commands of a lost session as never received."""

    def _replace_lost_session(
        self, conn_id: int, connection: Any, token: Any, message: messages.ResumeHello
    ) -> None:
        session = self._create_session(conn_id, connection, token.tenant, token.name, token.role)
        for id in message.open if session else ():
            self._send(conn_id, messages.Problem("not_here", "", id))


class TreatsAllAsSafe(Agent):
    """Treats every class as safe to repeat."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        classes = tuple(replace(c, effect=it.Effect.SAFE) for c in settings.classes)
        super().__init__(replace(settings, classes=classes), seed)


SAFEGUARDS: dict[str, tuple[Any, Any, str]] = {
    "none disabled": (chat_hub.Hub, Agent, ""),
    "an id is one command": (ForgetsCommandIds, Agent, "spent 2 times"),
    "answers are kept": (DropsAnswersWhileDetached, Agent, "got no final answer"),
    "lost commands are answered": (LeavesLostCommandsUnanswered, Agent, "got no final answer"),
    "lost commands never run again": (RunsLostCommandsAgain, Agent, "spent"),
    "race-entry is unsafe": (chat_hub.Hub, TreatsAllAsSafe, "spent"),
}


SAFEGUARDS_ON_LOSS = ("lost commands are answered", "lost commands never run again")


class SimAgentWithoutStore(SimAgent):
    """An agent that loses its store in a restart."""

    async def start(self) -> str:
        self.disk = FaultDisk()
        return await super().start()


@pytest.fixture(scope="module")
def violations_by_safeguard() -> dict[str, list[str]]:
    """The violations of one run per disabled safeguard, on simulated time."""
    day, service = load_day(SCENARIO)
    slow, kill = (
        FaultPlan.model_validate(plan)
        for plan in (  # so that many commands are open at the kill
            {"kind": "slow_servers", "at": "1s", "lasts": "1200ms", "count": 8, "factor": 60},
            {"kind": "kill_agent", "at": "1600ms", "lasts": "300ms", "agent": 0},
        )
    )
    day = day.model_copy(update={"duration": 2500.0, "fault": [slow, kill], "build": {}})
    findings = {}
    for name, (hub_class, decider, _) in SAFEGUARDS.items():
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("otterquay.chat.gateway.chat_hub.Hub", hub_class)
            hosts = simulated(
                service, 5, decider=decider, agent=SimAgentWithoutStore if name in SAFEGUARDS_ON_LOSS else SimAgent
            )
            world = ChatWorld(
                day, service, 5, hosts, client_count=150, pause_s=0.5, fault_share=0.5, drain_timeout_s=1.0
            )
            simulate(world.run(), 5)
        findings[name] = judge(world.tape, unsafe_commands(service))["violations"]
    return findings


@pytest.mark.parametrize("name", SAFEGUARDS)
def test_each_check_fails_when_its_safeguard_is_disabled(
    violations_by_safeguard: dict[str, list[str]], name: str
) -> None:
    expected = SAFEGUARDS[name][2]
    if not expected:
        assert violations_by_safeguard[name] == []
    else:
        assert any(expected in text for text in violations_by_safeguard[name]), violations_by_safeguard[name][:5]
