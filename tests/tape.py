"""Tapes: random events for a few agents, and a digest of every action that the agents return.

A change that must not affect decisions keeps every digest. A change that is meant to affect them records the
digests anew (`python tests/tape.py`), and its commit says why.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from helpers import KEYED, SAFE, UNSAFE, entry, settings

from otterquay import interface as it

SEEDS, SECONDS = range(1, 6), 40.0
PEERS = {"peers": True}
TENANTS = (it.Tenant("a", 50.0, 0.7), it.Tenant("b", 20.0, 0.3))
CELLS = (SAFE, replace(KEYED, scope=it.Scope.CELL), UNSAFE, replace(SAFE, late_worth=0.0, aim_stretch=2.0))
FLEETS: dict[str, it.Settings] = {
    "alone": settings(),
    "told": settings(
        agents=4, limits=PEERS, rollout={"tally_ms": 1000.0, "control": it.Control.SHARE}, cross_zone_price=0.02
    ),
    "tenants": settings(
        agents=3,
        limits={**PEERS, "second_copies": True, "max_attempts": 3},
        tenants=TENANTS,
        over_share_worth=0.05,
        classes=CELLS,
        rollout={"per_class": True, "guarded_stages": 1},
    ),
    "reports": settings(
        agents=3,
        discovery=it.Discovery.ASK,
        reports_in_answers=True,
        worth_by_work=True,
        report_fields=(it.LoadField.UTIL, it.LoadField.INFLIGHT),
        rollout={"one_way": True, "replacement": it.Replacement.IN_PLACE},
    ),
    "timer": settings(
        agents=2,
        rollout={"control": it.Control.TIMER, "stage_share": (0.1, 0.4, 1.0), "stage_cap": (0.05, 0.3, 1.0)},
        limits={"retry_after": False},
    ),
}


class DecisionModule(Protocol):
    """The interface of a decision module's agent."""

    def handle(self, now: float, event: it.Event) -> list[it.Action]: ...


class Tape:
    """One run: the events of a fleet, drawn from a seed, and a digest of the agents' actions."""

    def __init__(self, config: it.Settings, seed: int, make: Callable[[it.Settings, int], DecisionModule]) -> None:
        self.config, self.rng, self.now, self.events = config, random.Random(seed), 1e6, 0
        self.heap, self.sequence = list[tuple[float, int, Callable[[], None]]](), itertools.count()
        self.digest, self.ids = hashlib.blake2b(digest_size=8), itertools.count(1)
        self.entries = {i: entry(i, zone=i % 2, cell=i % 3) for i in range(1, 11)}
        self.news = it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        self.trial_is_bad, self.latency_factor = False, 1.0
        self.attempt_counts: list[dict[int, int]] = []
        self.agents = [
            make(replace(config, me=i, zone=i % config.zones), seed * 10 + i) for i in range(config.agents)
        ]
        for i in range(config.agents):
            self.attempt_counts.append({})
            self.deliver(i, it.Started())
            self.deliver(i, it.ServerList(it.ListKind.CACHED, 1, tuple(self.entries.values())))
            self.deliver(i, self.news)

    def run(self, seconds: float) -> str:
        """Play the tape and return the digest."""
        for step, gap in (
            (self._request, 25.0),
            (self._change_server, 900.0),
            (self._change_stage, 2500.0),
            (self._rare_event, 700.0),
        ):
            self._repeat(step, gap)
        end = self.now + 1e3 * seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, step = heapq.heappop(self.heap)
            step()
        return self.digest.hexdigest()

    def at(self, delay: float, step: Callable[[], None]) -> None:
        """Run a step after a delay in milliseconds."""
        heapq.heappush(self.heap, (self.now + delay, next(self.sequence), step))

    def _repeat(self, step: Callable[[], None], gap: float) -> None:
        def once() -> None:
            step()
            self.at(self.rng.expovariate(1 / gap), once)

        self.at(self.rng.expovariate(1 / gap), once)

    def deliver(self, i: int, event: it.Event) -> None:
        """Give an event to an agent, add its actions to the digest and carry them out."""
        self.events += 1
        actions = self.agents[i].handle(self.now, event)
        self.digest.update(f"{i} {self.now!r} {event!r} {actions!r}\n".encode())
        for action in actions:
            match action:
                case it.Send(request, server, until):
                    self._serve(i, request, server, until)
                case it.SetTimer(delay, token):
                    self.at(delay, lambda t=token: self.deliver(i, it.TimerFired(t)))  # type: ignore[misc]
                case it.TellPeers(to, data):
                    for j in range(self.config.agents) if to is None else [to]:
                        if j != i and self.rng.random() < 0.9:
                            self.at(2.0, lambda j=j, d=data: self.deliver(j, it.PeerMessage(i, d)))  # type: ignore[misc]

    def _serve(self, i: int, request: int, server: int, until: float) -> None:
        attempt = self.attempt_counts[i].get(request, 0)
        self.attempt_counts[i][request] = attempt + 1
        server_entry, rng = self.entries.get(server), self.rng
        trial = (
            server_entry is not None and server_entry.build == self.news.build and self.news.phase is it.Phase.TRIAL
        )
        failures = [it.Status.ERROR, it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.TIMEOUT, it.Status.RESET]
        fails = rng.random() < (0.3 if trial and self.trial_is_bad else 0.03)
        status = rng.choice(failures) if fails or server_entry is None else it.Status.OK
        latency = rng.lognormvariate(4.7, 0.6) * self.latency_factor * (2.0 if trial and self.trial_is_bad else 1.0)
        if self.now + latency > until:
            status, latency = it.Status.TIMEOUT, until - self.now
        over = status is it.Status.OK or rng.random() < 0.1
        load = tuple(float(rng.randrange(5)) for _ in self.config.report_fields)
        self.at(latency, lambda: self.deliver(i, it.Outcome(request, server, attempt, status, latency, over, load)))

    def _request(self) -> None:
        c, rng = self.config, self.rng
        cls = rng.randrange(len(c.classes))
        tenant, key = rng.randrange(len(c.tenants) or 1), rng.randrange(1, 40)
        request, hinted = next(self.ids), rng.random() < 0.3
        i = rng.randrange(c.agents)
        self.deliver(
            i,
            it.Request(
                request,
                cls,
                tenant,
                key if c.classes[cls].effect is it.Effect.KEYED else 0,
                rng.uniform(300.0, c.classes[cls].deadline_ms),
                80.0 * hinted,
                hinted,
                False,
                False,
            ),
        )
        if rng.random() < 0.02:
            self.at(rng.uniform(0.0, 300.0), lambda: self.deliver(i, it.Abandoned(request)))

    def _change_server(self) -> None:
        rng, server = self.rng, self.rng.choice(sorted(self.entries))
        old = self.entries[server]
        build = self.news.build if rng.random() < 0.7 else old.build
        state = rng.choice([it.ServerState.READY] * 5 + [it.ServerState.DRAINING, it.ServerState.GONE])
        self.entries[server] = replace(old, build=build, state=state, started_ms=rng.choice([self.now, 0.0]))
        kind = rng.choice([it.ListKind.DELTA, it.ListKind.DELTA, it.ListKind.FULL, it.ListKind.FAILED])
        entries = tuple(self.entries.values()) if kind is it.ListKind.FULL else (self.entries[server],)
        for i in range(self.config.agents):
            if rng.random() < 0.9:
                self.deliver(i, it.ServerList(kind, 1, () if kind is it.ListKind.FAILED else entries))

    def _change_stage(self) -> None:
        rng, old, caps = self.rng, self.news, self.config.rollout.stage_cap
        if old.phase is not it.Phase.TRIAL:
            self.trial_is_bad = rng.random() < 0.4
            self.news = replace(old, build=old.build + 1, stage=0, phase=it.Phase.TRIAL, cap=caps[0])
        elif rng.random() < 0.3:
            phases = [it.Phase.RELEASED, it.Phase.GOING_BACK, it.Phase.WITHDRAWN]
            self.news = replace(old, phase=rng.choice(phases))
        elif rng.random() < 0.6:
            stage = min(old.stage + 1, len(caps) - 1)
            self.news = replace(old, stage=stage, cap=caps[stage])
        status = it.Status.OK if rng.random() < 0.9 else it.Status.ERROR
        for i in range(self.config.agents):
            self.deliver(i, replace(self.news, status=status, age_ms=rng.choice([0.0, 200.0, float("inf")])))

    def _rare_event(self) -> None:
        rng, i = self.rng, self.rng.randrange(self.config.agents)
        self.latency_factor = rng.choice([1.0, 1.0, 1.0, 5.0])
        cls, server = rng.randrange(len(self.config.classes)), rng.choice(sorted(self.entries))
        attempts = rng.randrange(1, 80)
        failed = rng.randrange(attempts + 1) if rng.random() < 0.2 else 0
        for build in (self.news.build - 1, self.news.build):
            self.deliver(i, it.Tally(build, cls, attempts, failed, rng.uniform(50.0, 200.0), 100.0))
        self.deliver(i, it.Complaint(cls, server, rng.uniform(0.0, 500.0)))
        if rng.random() < 0.1:
            self.deliver(i, it.Restored(((self.news.build, cls, self.now - 500.0),), ((7, self.news.build),)))
        if rng.random() < 0.1:
            self.now += 400.0  # the agents stall


def digests(make: Callable[[it.Settings, int], DecisionModule], seeds: range, seconds: float) -> dict[str, str]:
    """Return the digests by fleet and seed."""
    return {
        f"{name} {seed}": Tape(config, seed, make).run(seconds) for name, config in FLEETS.items() for seed in seeds
    }


if __name__ == "__main__":
    from otterquay.policy.agent import Agent

    for name, digest in digests(Agent, SEEDS, SECONDS).items():
        print(f'    "{name}": "{digest}",')
