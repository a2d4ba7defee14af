"""The five rules over random days, judged by the books of `rule_checker`."""

from __future__ import annotations

import random

from helpers import entry, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from rule_checker import RuleChecker

from otterquay import interface as it
from otterquay.policy.agent import Agent


class Watcher:
    """Plays clients, servers, list and platform; the books judge every action."""

    def __init__(self, config: it.Settings, seed: int) -> None:
        self.config, self.rng, self.checker = config, random.Random(seed), RuleChecker(config)
        self.agent, self.now, self.ids = Agent(config, seed), 1e6, 0
        self.waiting: list[tuple[float, int, int]] = []
        self.build, self.fresh_id = 1, 50
        self.give(it.Started())
        self.show(*[entry(i, zone=i % 2, cell=i % 3) for i in range(1, 7)], kind=it.ListKind.CACHED)
        self.tell(1, 0, it.Phase.RELEASED, 1.0)

    def give(self, event: it.Event) -> None:
        self.checker.event(self.now, event)
        for action in self.agent.handle(self.now, event):
            self.checker.action(self.now, action)
            if isinstance(action, it.Send):
                leg = len(self.checker.requests[action.request].attempts) - 1
                self.waiting.append((self.now + self.rng.expovariate(1 / 300.0), action.request, leg))

    def show(self, *entries: it.ServerEntry, kind: it.ListKind = it.ListKind.DELTA) -> None:
        self.give(it.ServerList(kind, 1, entries))

    def tell(self, build: int, stage: int, phase: it.Phase, cap: float) -> None:
        self.give(it.StageNews(build, stage, phase, False, it.Status.OK, cap, 0.0))

    def ask(self) -> None:
        self.ids += 1
        cls = self.rng.randrange(len(self.config.classes))
        budget = self.rng.choice([20.0, 80.0, 300.0, 1000.0, 2000.0])
        self.give(it.Request(self.ids, cls, 0, self.rng.randrange(1, 9), budget, 0.0, False, False, False))

    def step(self, bad: float) -> None:
        """Five milliseconds of a day: arrivals, answers, time-outs, timers, and now and then news."""
        self.now += 5.0
        if self.rng.random() < 0.4:
            self.ask()
        for due in sorted(self.waiting):
            at, request, number = due
            duty = self.checker.requests[request]
            leg = duty.attempts[number]
            if min(at, leg.until) > self.now:
                continue
            self.waiting.remove(due)
            statuses = [it.Status.ERROR, it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.RESET]
            status = it.Status.OK if self.rng.random() > bad else self.rng.choice(statuses)
            if leg.until <= at:
                status = it.Status.TIMEOUT
            over = bool(duty.final_answers) or status is it.Status.OK
            self.give(it.Outcome(request, leg.server.server, number, status, self.now - leg.at, over, ()))
        if self.now % 50.0 == 0.0:
            self.give(it.TimerFired(0))
        self.checker.at(self.now)
        if self.rng.random() < 0.01:
            self.world()

    def world(self) -> None:
        """A server drains, restarts or comes, or the platform changes its mind."""
        pick, (_, newest, *_) = self.rng.randrange(6), self.checker.caps[-1]
        some = self.rng.choice(list(self.checker.listed.values()))
        if pick == 0:
            self.show(entry(some.server, some.build, some.zone, state=self.rng.choice(list(it.ServerState))))
        elif pick == 1:
            self.show(entry(some.server, some.build, some.zone, started=self.now))
        elif pick == 2:
            self.fresh_id += 1
            self.show(entry(self.fresh_id, self.build + 1, self.fresh_id % 2, started=self.now))
        elif pick == 3:
            self.tell(self.build + 1, 0, it.Phase.TRIAL, 0.14)
        elif pick == 4:
            self.tell(self.build + 1, 1, it.Phase.TRIAL, 1.0)
        elif newest == self.build + 1:
            self.build += 1
            back = self.rng.random() < 0.5
            self.tell(self.build, 1, it.Phase.GOING_BACK if back else it.Phase.RELEASED, 0.0 if back else 1.0)


@hypothesis_settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    bad=st.sampled_from([0.0, 0.2, 0.7]),
    per_class=st.booleans(),
    guarded=st.sampled_from([0, 1]),
    copies=st.booleans(),
    one_way=st.booleans(),
)
def test_rules_hold_on_random_days(
    seed: int, bad: float, per_class: bool, guarded: int, copies: bool, one_way: bool
) -> None:
    config = settings(
        rollout={"per_class": per_class, "guarded_stages": guarded, "one_way": one_way},
        limits={"second_copies": copies},
    )
    day = Watcher(config, seed)
    for _ in range(800):
        day.step(bad)
    assert any(duty.attempts for duty in day.checker.requests.values())
