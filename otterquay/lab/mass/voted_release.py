"""A release that the votes of the agents advance or send back, in a fleet whose agents exchange messages."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from functools import partial

from otterquay import interface as it
from otterquay.lab.mass.scenario import FleetScenario, Release
from otterquay.lab.mass.servers import Server
from otterquay.lab.mass.simulation import FleetSimulation

VOTE_CALL_MS = (33.0, 170.0)  # from the casting of a vote until the platform counts it
PEER_DELAY_MS = (2.0, 37.0)  # of a message between agents
BOOT_MS = (1000.0, 2300.0)  # from the launch of a successor until it is up, cold
NEW_BUILD = 2


@dataclass(frozen=True, slots=True)
class CountedVote:
    """A vote that the platform counted at `at_ms`; `answers` and `errors` are the new build's up to then."""

    at_ms: float
    agent: int
    vote: it.CastVote
    answers: int
    errors: int


@dataclass(frozen=True, slots=True)
class StageChange:
    """A change of the stage or phase of the new build; `answers` and `errors` are its up to then."""

    at_ms: float
    stage: int
    phase: it.Phase
    answers: int
    errors: int


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """A line that an agent's decision module logged at `at_ms`."""

    at_ms: float
    agent: int
    text: str


@dataclass(slots=True)
class VoteResult:
    """What became of a release, in order of time."""

    votes: list[CountedVote] = field(default_factory=list)
    stages: list[StageChange] = field(default_factory=list)
    logs: list[DecisionLine] = field(default_factory=list)


class VotedRelease(FleetSimulation):
    """One run, in which one vote on begins the next stage once the present one has baked.

    One vote back ends the trial, and the run with it; so does the release. A server that is replaced serves until
    its successor is up.
    """

    def __init__(self, scenario: FleetScenario, plan: Release, seed: int) -> None:
        super().__init__(replace(scenario, release=plan), seed)
        self.plan, self.outcome = plan, VoteResult()
        self.places = list(self.servers)
        self.answers, self.errors = 0, 0
        self.baked_at = math.inf
        self.standing_on_stage = -1

    def deliver(self, i: int, event: it.Event) -> None:
        """Pass an event to an agent, and count it if it is an answer of the new build."""
        if (
            isinstance(event, it.Outcome)
            and event.status in (it.Status.OK, it.Status.ERROR)
            and self.servers[event.server - 1].entry.build == NEW_BUILD
        ):
            self.answers += 1
            self.errors += event.status is it.Status.ERROR
        super().deliver(i, event)

    def handle_other(self, i: int, action: it.Action) -> None:
        """Carry out votes, messages between agents and log lines."""
        match action:
            case it.TellPeers(to, data):
                for peer in range(len(self.agents)) if to is None else [to]:
                    arrive = partial(self.deliver, peer, it.PeerMessage(i, data))
                    self.call_later(self.rng.uniform(*PEER_DELAY_MS), arrive)
            case it.CastVote():
                self.call_later(self.rng.uniform(*VOTE_CALL_MS), partial(self._count_vote, i, action))
            case it.Log(text):
                self.outcome.logs.append(DecisionLine(self.now, i, text))

    def update_stage(self, news: it.StageNews) -> None:
        """Record the change and send the news to all agents."""
        self.outcome.stages.append(StageChange(self.now, news.stage, news.phase, self.answers, self.errors))
        super().update_stage(news)
        if news.phase is not it.Phase.TRIAL:
            self._events.clear()

    def _count_vote(self, agent: int, vote: it.CastVote) -> None:
        if (
            vote.build != self.stage.build
            or self.stage.phase is not it.Phase.TRIAL
            or vote.stage != self.stage.stage
        ):
            return
        self.outcome.votes.append(CountedVote(self.now, agent, vote, self.answers, self.errors))
        if vote.verdict is it.Verdict.BACK:
            self.update_stage(replace(self.stage, phase=it.Phase.GOING_BACK, cap=0.0))
        elif vote.verdict is it.Verdict.ON:
            self.standing_on_stage = vote.stage
            self._advance_if_baked(vote.stage)
        else:
            self.standing_on_stage = -1

    def _advance_if_baked(self, stage: int) -> None:
        if self.standing_on_stage == stage == self.stage.stage and self.now >= self.baked_at:
            self._begin_stage(self.plan, stage + 1)

    def _begin_stage(self, plan: Release, stage: int) -> None:
        roll = self.settings.rollout
        self.baked_at = math.inf
        if stage == len(roll.stage_cap):
            released = it.StageNews(NEW_BUILD, stage - 1, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
            return self.update_stage(released)
        trial = it.StageNews(NEW_BUILD, stage, it.Phase.TRIAL, False, it.Status.OK, roll.stage_cap[stage], 0.0)
        self.update_stage(trial)
        count = math.ceil(roll.stage_share[stage] * len(self.places))
        longest = 0.0
        for place in range(count):
            if self.places[place].entry.build != NEW_BUILD:
                boot_ms = self.rng.uniform(*BOOT_MS)
                longest = max(longest, boot_ms)
                self.call_later(boot_ms, partial(self._succeed, place))
        self.call_later(longest, partial(self._bake, stage))

    def _bake(self, stage: int) -> None:
        self.baked_at = self.now + self.settings.rollout.bake_ms
        self.call_at(self.baked_at, partial(self._advance_if_baked, stage))

    def _succeed(self, place: int) -> None:
        """Start the successor of a server, cold, and drain that server."""
        old = self.places[place]
        entry = replace(old.entry, server=len(self.servers) + 1, build=NEW_BUILD, state=it.ServerState.READY)
        new = self.places[place] = Server(entry)
        self.servers.append(new)
        self.set_failures(new, self.plan)
        self.restart_cold(new)
        old.entry = replace(old.entry, state=it.ServerState.DRAINING)
        self.update_list([new, old])
        self.call_later(self.plan.drain_ms, partial(self._stop_servers, [old]))


def play_release(scenario: FleetScenario, plan: Release, seed: int) -> VoteResult:
    """Play a release from its offer to its end or to the end of the scenario; returns what became of it."""
    simulation = VotedRelease(scenario, plan, seed)
    simulation.run()
    return simulation.outcome
