"""The five rules watched from outside over random days, by bookkeeping of its own."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from helpers import entry, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from otterquay import interface as it
from otterquay.rules import Agent

UNRUN = (it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT)


@dataclass
class Ask:
    cls: int
    at: float
    until: float
    key: int
    attempts: list[dict[str, object]] = field(default_factory=list)
    over: bool = False


class Watcher:
    """Plays clients, servers, list and platform, and asserts the rules on every action."""

    def __init__(self, config: it.Settings, seed: int) -> None:
        self.config, self.rng = config, random.Random(seed)
        self.agent, self.now, self.ids = Agent(config, seed), 1e6, 0
        self.asks: dict[int, Ask] = {}
        self.listed: dict[int, it.ServerEntry] = {}
        self.away_since: dict[int, float] = {}
        self.waiting: list[tuple[float, int, int]] = []
        self.taken: list[tuple[float, int]] = []
        self.tries: list[tuple[float, int, int]] = []  # time, build, class
        self.news = (0, 0, it.Phase.RELEASED, 1.0)
        self.cap_since = self.now
        self.build, self.fresh_id = 1, 50
        self.give(it.Started())
        self.show(*[entry(i, zone=i % 2, cell=i % 3) for i in range(1, 7)], kind=it.ListKind.CACHED)
        self.tell(1, 0, it.Phase.RELEASED, 1.0)

    def give(self, event: it.Event) -> None:
        for action in self.agent.handle(self.now, event):
            self.check(action)

    def show(self, *entries: it.ServerEntry, kind: it.ListKind = it.ListKind.DELTA) -> None:
        for e in entries:
            self.listed[e.server] = e
            if e.state is it.ServerState.READY:
                self.away_since.pop(e.server, None)
            else:
                self.away_since.setdefault(e.server, self.now)
        self.give(it.ServerList(kind, 1, entries))

    def tell(self, build: int, stage: int, phase: it.Phase, cap: float) -> None:
        if (build, cap) != (self.news[0], self.news[3]):
            self.cap_since = self.now
        self.news = (build, stage, phase, cap)
        self.give(it.StageNews(build, stage, phase, False, it.Status.OK, cap, 0.0))

    def check(self, action: it.Action) -> None:
        if isinstance(action, it.Send):
            self.check_send(self.asks[action.request], action)
        elif isinstance(action, it.Refuse | it.Fail):
            ask = self.asks[action.request]
            assert not ask.over, "a second final answer"
            assert self.now <= ask.until + self.config.rules.answer_slack_ms, "a late answer"
            cls = self.config.classes[ask.cls]
            if isinstance(action, it.Refuse) and cls.effect is not it.Effect.SAFE:
                clean = all(a["status"] in UNRUN for a in ask.attempts)
                assert clean or (cls.effect is it.Effect.KEYED and cls.scope is it.Scope.ALL), (
                    "a refusal that lies"
                )
            ask.over = True

    def check_send(self, ask: Ask, send: it.Send) -> None:
        server, cls = self.listed[send.server], self.config.classes[ask.cls]
        assert not ask.over and self.now < ask.until, "a send for what is over"
        assert send.server not in self.away_since or (
            self.now - self.away_since[send.server] <= self.config.rules.drain_grace_ms
        ), "a send after a drain"
        ran = [a for a in ask.attempts if a["status"] not in UNRUN]
        out = [a for a in ask.attempts if a["status"] is None]
        assert self.config.limits.second_copies or not out, "two at once"
        assert len(ask.attempts) < self.config.limits.max_attempts
        if cls.effect is it.Effect.UNSAFE:
            assert not ran, "an unsafe request twice"
        if cls.effect is it.Effect.KEYED and ran:
            assert self.now - float(str(ran[0]["at"])) <= cls.repeat_window_ms, "a keyed repeat too late"
            if cls.scope is it.Scope.ZONE:
                assert server.zone == ran[0]["zone"], "a keyed repeat in another zone"
        self.check_exposure(server.build, ask.cls)
        ask.attempts.append({"at": self.now, "zone": server.zone, "status": None})
        self.waiting.append((self.now + self.rng.expovariate(1 / 300.0), send.request, len(ask.attempts) - 1))
        ask.attempts[-1]["server"] = send.server
        ask.attempts[-1]["until"] = min(send.until_ms, ask.until)

    def check_exposure(self, build: int, cls: int) -> None:
        known, stage, phase, cap = self.news
        if build < known or (build == known and phase is it.Phase.RELEASED):
            return
        if build > known:
            stage, cap = 0, self.config.rollout.stage_cap[0]
        assert cap > 0, "a send at cap 0"
        rollout = self.config.rollout
        if stage < rollout.guarded_stages:
            assert self.config.classes[cls].effect is it.Effect.SAFE, "an effect in a guarded stage"
        self.tries.append((self.now, build, cls))
        since = self.now - rollout.window_ms
        tries = sum(
            t > max(since, self.cap_since) and b == build and (not rollout.per_class or c == cls)
            for t, b, c in self.tries
        )
        taken = sum(t > since and (not rollout.per_class or c == cls) for t, c in self.taken)
        assert tries <= rollout.free + cap * taken + 1e-9, "exposure over the cap"

    def ask(self) -> None:
        self.ids += 1
        cls = self.rng.randrange(len(self.config.classes))
        budget = self.rng.choice([20.0, 80.0, 300.0, 1000.0, 2000.0])
        self.asks[self.ids] = Ask(cls, self.now, self.now + budget, self.rng.randrange(1, 9))
        self.taken.append((self.now, cls))
        key = self.asks[self.ids].key
        self.give(it.Request(self.ids, cls, 0, key, budget, 0.0, False, False, False))

    def step(self, bad: float) -> None:
        """Five milliseconds of a day: arrivals, answers, time-outs, timers, and now and then news."""
        self.now += 5.0
        if self.rng.random() < 0.4:
            self.ask()
        for due in sorted(self.waiting):
            at, request, leg = due
            ask = self.asks[request]
            attempt = ask.attempts[leg]
            limit = float(str(attempt["until"]))
            if min(at, limit) > self.now:
                continue
            self.waiting.remove(due)
            statuses = [it.Status.ERROR, it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.RESET]
            status = it.Status.OK if self.rng.random() > bad else self.rng.choice(statuses)
            if limit <= at:
                status = it.Status.TIMEOUT
            attempt["status"] = status
            over = ask.over or status is it.Status.OK
            ask.over = over
            server = int(str(attempt["server"]))
            spent = self.now - float(str(attempt["at"]))
            self.give(it.Outcome(request, server, leg, status, spent, over, ()))
            if not over and self.now >= ask.until:
                assert ask.over, "the time-out at the deadline left without an answer"
        if self.now % 50.0 == 0.0:
            self.give(it.TimerFired(0))
        for request, ask in self.asks.items():
            assert ask.over or self.now <= ask.until + self.config.rules.answer_slack_ms, f"{request} lost"
        if self.rng.random() < 0.01:
            self.world()

    def world(self) -> None:
        """A server drains, restarts or comes, or the platform changes its mind."""
        pick = self.rng.randrange(6)
        some = self.rng.choice(list(self.listed.values()))
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
        elif self.news[0] == self.build + 1:
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
)
def test_rules_hold_on_random_days(
    seed: int, bad: float, per_class: bool, guarded: int, copies: bool
) -> None:
    config = settings(
        rollout={"per_class": per_class, "guarded_stages": guarded}, limits={"second_copies": copies}
    )
    day = Watcher(config, seed)
    for _ in range(800):
        day.step(bad)
    assert any(a.attempts for a in day.asks.values())
