"""The five rules on random days, checked by `rule_checker`."""

from __future__ import annotations

import random

from helpers import entry, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from rule_checker import RuleChecker

from otterquay import interface as it
from otterquay.policy.agent import Agent


class RandomDay:
    """Plays clients, servers, server list and platform; the rule checker judges every action."""

    def __init__(self, config: it.Settings, seed: int) -> None:
        self.config, self.rng, self.checker = config, random.Random(seed), RuleChecker(config)
        self.agent, self.now, self.ids = Agent(config, seed), 1e6, 0
        self.waiting: list[tuple[float, int, int]] = []
        self.build, self.last_new_server = 1, 50
        self.deliver(it.Started())
        self.update_list(*[entry(i, zone=i % 2, cell=i % 3) for i in range(1, 7)], kind=it.ListKind.CACHED)
        self.update_stage(1, 0, it.Phase.RELEASED, 1.0)

    def deliver(self, event: it.Event) -> None:
        self.checker.event(self.now, event)
        for action in self.agent.handle(self.now, event):
            self.checker.action(self.now, action)
            if isinstance(action, it.Send):
                number = len(self.checker.requests[action.request].attempts) - 1
                self.waiting.append((self.now + self.rng.expovariate(1 / 300.0), action.request, number))

    def update_list(self, *entries: it.ServerEntry, kind: it.ListKind = it.ListKind.DELTA) -> None:
        self.deliver(it.ServerList(kind, 1, entries))

    def update_stage(self, build: int, stage: int, phase: it.Phase, cap: float) -> None:
        self.deliver(it.StageNews(build, stage, phase, False, it.Status.OK, cap, 0.0))

    def ask(self) -> None:
        self.ids += 1
        cls = self.rng.randrange(len(self.config.classes))
        budget = self.rng.choice([20.0, 80.0, 300.0, 1000.0, 2000.0])
        self.deliver(it.Request(self.ids, cls, 0, self.rng.randrange(1, 9), budget, 0.0, False, False, False))

    def step(self, bad: float) -> None:
        """Advance by 5 ms: requests, answers, time-outs, timers; now and then a change of fleet or stage."""
        self.now += 5.0
        if self.rng.random() < 0.4:
            self.ask()
        for due in sorted(self.waiting):
            answer_at, request, number = due
            record = self.checker.requests[request]
            attempt = record.attempts[number]
            if min(answer_at, attempt.until) > self.now:
                continue
            self.waiting.remove(due)
            statuses = [it.Status.ERROR, it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.RESET]
            status = it.Status.OK if self.rng.random() > bad else self.rng.choice(statuses)
            if attempt.until <= answer_at:
                status = it.Status.TIMEOUT
            over = bool(record.final_answers) or status is it.Status.OK
            self.deliver(
                it.Outcome(request, attempt.server.server, number, status, self.now - attempt.sent_at, over, ())
            )
        if self.now % 50.0 == 0.0:
            self.deliver(it.TimerFired(0))
        self.checker.check_deadlines(self.now)
        if self.rng.random() < 0.01:
            self.change_fleet_or_stage()

    def change_fleet_or_stage(self) -> None:
        """A server drains, restarts or is added, or the platform changes the stage."""
        choice, (_, newest, *_) = self.rng.randrange(6), self.checker.stages[-1]
        server = self.rng.choice(list(self.checker.listed.values()))
        if choice == 0:
            self.update_list(
                entry(server.server, server.build, server.zone, state=self.rng.choice(list(it.ServerState)))
            )
        elif choice == 1:
            self.update_list(entry(server.server, server.build, server.zone, started=self.now))
        elif choice == 2:
            self.last_new_server += 1
            self.update_list(
                entry(self.last_new_server, self.build + 1, self.last_new_server % 2, started=self.now)
            )
        elif choice == 3:
            self.update_stage(self.build + 1, 0, it.Phase.TRIAL, 0.14)
        elif choice == 4:
            self.update_stage(self.build + 1, 1, it.Phase.TRIAL, 1.0)
        elif newest == self.build + 1:
            self.build += 1
            back = self.rng.random() < 0.5
            self.update_stage(
                self.build, 1, it.Phase.GOING_BACK if back else it.Phase.RELEASED, 0.0 if back else 1.0
            )


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
    day = RandomDay(config, seed)
    for _ in range(800):
        day.step(bad)
    assert any(record.attempts for record in day.checker.requests.values())
