"""Builders of settings and events, and a driver of one agent, for tests that write event sequences by hand."""

from __future__ import annotations

from dataclasses import replace

import pytest

from otterquay import interface as it
from otterquay.policy.agent import Agent

SAFE = it.RequestClass("read", it.Effect.SAFE, it.Scope.ALL, 5000.0, 1000.0, 0.0, 3000.0, 1.0, 0.2, False)
KEYED = it.RequestClass("join", it.Effect.KEYED, it.Scope.ZONE, 2000.0, 1000.0, 0.0, 3000.0, 2.0, 0.2, False)
UNSAFE = it.RequestClass("buy", it.Effect.UNSAFE, it.Scope.ALL, 5000.0, 800.0, 0.0, 2000.0, 5.0, 0.0, False)

ROLLOUT = it.Rollout(
    control=it.Control.ANY,
    replacement=it.Replacement.BESIDE,
    on_votes=1,
    back_votes=1,
    hold_votes=0,
    bake_ms=1500.0,
    step_ms=0.0,
    push_ms=4000.0,
    call_timeout_ms=1000.0,
    calls_per_s=200.0,
    vote_life_ms=4000.0,
    stage_share=(0.1, 1.0),
    stage_cap=(0.14, 1.0),
    window_ms=4000.0,
    free=2.0,
    per_class=False,
    guarded_stages=0,
    one_way=False,
    tally_ms=0.0,
    tally_sample=0.0,
    flag_share=0.0,
    behind_price=0.5,
    harm_price=4.0,
)

SETTINGS = it.Settings(
    agents=1,
    me=0,
    zone=0,
    zones=2,
    classes=(SAFE, KEYED, UNSAFE),
    tenants=(),
    over_share_worth=1.0,
    worth_by_work=False,
    clients_mark_retries=False,
    tick_ms=5.0,
    discovery=it.Discovery.PUSH,
    report_fields=(),
    reports_in_answers=False,
    cross_zone_price=0.0,
    limits=it.Limits(
        cancel=True,
        peers=False,
        probes=True,
        retry_after=True,
        second_copies=False,
        max_attempts=4,
        max_open=1000,
        max_retry_after_ms=500.0,
        keepalive_ms=15000.0,
    ),
    rules=it.RuleFigures(
        answer_slack_ms=20.0,
        ask_within_ms=10000.0,
        cold_ms=4000.0,
        start_capacity=0.4,
        drain_grace_ms=1000.0,
        fall_multiple=3.0,
        fall_ms=2000.0,
    ),
    rollout=ROLLOUT,
)


def settings(**changes: object) -> it.Settings:
    """Return the default settings with changes; rollout, limits and rules take dictionaries."""
    parts = {
        name: replace(getattr(SETTINGS, name), **changes.pop(name))
        for name in ("rollout", "limits", "rules")
        if name in changes
    }
    return replace(SETTINGS, **parts, **changes)


def entry(
    server: int,
    build: int = 1,
    zone: int = 0,
    started: float = 0.0,
    state: it.ServerState = it.ServerState.READY,
    cell: int = 0,
    kind: int = 0,
) -> it.ServerEntry:
    return it.ServerEntry(server, zone, kind, cell, state, 1.0, started, build)


class AgentDriver:
    """Drives one agent on a clock of its own and records its actions."""

    def __init__(self, config: it.Settings = SETTINGS, servers: int = 4, seed: int = 1, now: float = 1e6) -> None:
        self.agent, self.now, self.last_request = Agent(config, seed), now, 100
        self.actions: list[it.Action] = []
        self.attempt_counts: dict[int, int] = {}
        self.deliver(it.Started())
        self.update_list(*[entry(i) for i in range(1, servers + 1)], kind=it.ListKind.CACHED)
        self.update_stage(1, 0, it.Phase.RELEASED, 1.0)

    def deliver(self, event: it.Event) -> list[it.Action]:
        actions = self.agent.handle(self.now, event)
        self.actions.extend(actions)
        return actions

    def update_list(self, *entries: it.ServerEntry, kind: it.ListKind = it.ListKind.DELTA) -> list[it.Action]:
        return self.deliver(it.ServerList(kind, 1, entries))

    def update_stage(self, build: int, stage: int, phase: it.Phase, cap: float) -> list[it.Action]:
        return self.deliver(it.StageNews(build, stage, phase, False, it.Status.OK, cap, 0.0))

    def ask(
        self, cls: int = 0, budget: float = 2000.0, key: int = 0, tenant: int = 0
    ) -> tuple[int, list[it.Action]]:
        self.last_request += 1
        return self.last_request, self.deliver(
            it.Request(self.last_request, cls, tenant, key, budget, 0.0, False, False, False)
        )

    def end(
        self,
        send: it.Send,
        status: it.Status = it.Status.OK,
        latency: float = 100.0,
        over: bool | None = None,
    ) -> list[it.Action]:
        attempt = self.attempt_counts.get(send.request, 0)
        self.attempt_counts[send.request] = attempt + 1
        is_over = status is it.Status.OK if over is None else over
        return self.deliver(it.Outcome(send.request, send.server, attempt, status, latency, is_over, ()))

    def tick(self, ms: float = 50.0) -> list[it.Action]:
        self.now += ms
        return self.deliver(it.TimerFired(0))


def sends(actions: list[it.Action]) -> list[it.Send]:
    return [a for a in actions if isinstance(a, it.Send)]


def kinds(actions: list[it.Action]) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, it.SetTimer)]


def never_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take a guard out, to show that tests notice: the agent holds every known server for ready."""
    original = Agent._serverlist

    def without_drains(self: Agent, news: it.ServerList) -> None:
        original(self, news)
        for server in self.servers.values():
            server.ready = True

    monkeypatch.setattr(Agent, "_serverlist", without_drains)
