"""One run of a fleet: clients, agents with their decision module, news that comes late, servers."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial

from otterquay import interface as it
from otterquay.config.translate import decision_settings
from otterquay.lab.mass.scenario import FleetScenario, Release, Result
from otterquay.lab.mass.servers import CORES, Server
from otterquay.lab.mass.tape_recorder import Books
from otterquay.policy.agent import Agent

CONNECT_MS = 250.0
UNEVEN = 0.8  # sigma of the agents' log rates
EPOCH_MS = 1e6  # the agents' clock at the start, as a start at 0 means long ago
ABSENT_MS = 300.0  # a replaced server's end to its next start


@dataclass(slots=True)
class _Held:
    """A request that an agent holds; no client once it has left."""

    deadline: float
    cls: int
    attempts: int = 0
    client: bool = True


class FleetSimulation:
    """One run of a fleet."""

    def __init__(self, mass: FleetScenario, seed: int) -> None:
        self.mass, self.rng, self.result = mass, random.Random(seed), Result()
        self.settings = replace(decision_settings(mass.service), agents=mass.agents, me=0)
        self.now, self._heap, self._order = 0.0, list[tuple[float, int, Callable[[], object]]](), itertools.count()
        n = mass.agents
        self.servers = [
            Server(it.ServerEntry(i + 1, self._zone(i), 0, i % 8, it.ServerState.READY, 1.0, 0.0, 1))
            for i in range(mass.servers)
        ]
        self.books = Books(mass.service, lambda: self.now)
        self.stage = it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        self.told = [dict[int, int]() for _ in range(n)]  # by agent: the lives of servers that it was told
        self.held = [dict[int, _Held]() for _ in range(n)]
        self.out = [dict[tuple[int, int], Callable[[it.Status], None]]() for _ in range(n)]
        self.lives, self._heard = [0] * n, [0.0] * n
        self._ids = itertools.count(1)
        self._fallen, self._cold_starts = list[str](), 0
        self.agents = [self._agent(i) for i in range(n)]
        self._weights = list(itertools.accumulate(self.rng.lognormvariate(0.0, UNEVEN) for _ in range(n)))
        self._gap = mass.work_ms / (mass.servers * CORES * mass.use)

    def run(self) -> Result:
        """Play it to its end, and judge it."""
        fault = self.mass.fault
        for i in range(len(self.agents)):
            self._begin(i)
        self.at(0.0, self._arrive)
        if fault.zone is not None:
            lost = [s for s in self.servers if s.entry.zone == fault.zone]
            for server in lost:
                self.at(fault.lost, server.fall)  # without a word: what was out there runs into its time
                self.at(fault.back, partial(self.rise, server))
            if fault.list_delay_ms is not None:
                self.at(fault.back + fault.list_delay_ms, partial(self.tell, lost))
        self.at(fault.back, self._kill)
        if self.mass.release:
            self.at(self.mass.release.offered, partial(self._stage, self.mass.release, 0))
        until = self.mass.length_ms + max(cls.deadline_ms for cls in self.settings.classes) + CONNECT_MS
        while self._heap and self._heap[0][0] <= until:  # what was asked last has its time, too
            self.now, _, step = heapq.heappop(self._heap)
            step()
        report = self.books.judge()
        self.result.violations = {**report.violations, "cold": self._fallen}
        self.result.checked = {**report.checked, "cold": self._cold_starts}
        return self.result

    def _zone(self, i: int) -> int:
        zones, few = self.settings.zones, self.mass.few
        return i % zones if few is None else 0 if i < few else 1 + i % (zones - 1)

    def at(self, when: float, step: Callable[[], object]) -> None:
        """Do something at a time."""
        heapq.heappush(self._heap, (when, next(self._order), step))

    def later(self, delay: float, step: Callable[[], object]) -> None:
        """Do something so much later."""
        self.at(self.now + delay, step)

    # --- agents ---
    def _agent(self, i: int) -> Agent:
        return Agent(replace(self.settings, me=i, zone=i % self.settings.zones), self.rng.getrandbits(64))

    def _begin(self, i: int) -> None:
        self.books.up(i)
        self.give(i, it.Started())
        self._hear_stage(i, self.stage)
        self._hear_list(i, it.ListKind.FULL, self.servers)

    def _kill(self) -> None:
        part = int(self.mass.fault.killed_share * len(self.agents))
        for i in self.rng.sample(range(len(self.agents)), part):
            self.books.killed(i, [request for request, one in self.held[i].items() if one.client])
            self.lives[i] += 1
            self.agents[i], self.held[i], self.out[i] = self._agent(i), {}, {}
            self._begin(i)

    def give(self, i: int, event: it.Event) -> None:
        """An event for an agent, and its actions carried out."""
        for action in self.agents[i].handle(EPOCH_MS + self.now, event):
            match action:
                case it.Send(request, server, until):
                    self._send(i, request, self.servers[server - 1], until - EPOCH_MS)
                case it.SetTimer(delay, token):
                    self.later(delay, self._timer(i, self.lives[i], token))
                case it.Refuse(request, _) | it.Fail(request):
                    if (one := self.held[i].pop(request, None)) and one.client:
                        refused = isinstance(action, it.Refuse)
                        self.result.refused += refused
                        self.result.failed += not refused
                        self.books.answered(request, "refused" if refused else "failed")
                case it.Cancel(request, attempt):
                    if end := self.out[i].get((request, attempt)):
                        end(it.Status.CANCELLED)

    def _timer(self, i: int, life: int, token: int) -> Callable[[], None]:
        return lambda: self.give(i, it.TimerFired(token)) if life == self.lives[i] else None

    # --- news ---
    def tell(self, servers: Iterable[Server]) -> None:
        """All agents hear of these, as they are now: each by a time of its own, in order."""
        entries, lives = [], {}
        for server in servers:
            started = EPOCH_MS + server.started if server.started > 0 else 0.0
            server.entry, server.listed = replace(server.entry, started_ms=started), server.life
            entries.append(server.entry)
            lives[server.entry.server] = server.life
        news = it.ServerList(it.ListKind.DELTA, 2, tuple(entries))
        self._all(lambda i: self._hear(i, news, lives))

    def tell_stage(self, news: it.StageNews) -> None:
        """All agents hear where the newest build stands."""
        self.stage = news
        self._all(lambda i: self._hear_stage(i, news))

    def _all(self, hear: Callable[[int], None]) -> None:
        for i in range(len(self.agents)):
            if self.mass.max_news_delay_ms <= 0:
                hear(i)
                continue
            self._heard[i] = max(self._heard[i], self.now + self.rng.uniform(0.0, self.mass.max_news_delay_ms))
            self.at(self._heard[i], partial(self._late, i, self.lives[i], hear))

    def _late(self, i: int, life: int, hear: Callable[[int], None]) -> None:
        if life == self.lives[i]:  # one that has started since has had the newest
            hear(i)

    def _hear_list(self, i: int, kind: it.ListKind, servers: Iterable[Server]) -> None:
        told = list(servers)
        lives = {s.entry.server: s.listed for s in told}
        self._hear(i, it.ServerList(kind, 1, tuple(s.entry for s in told)), lives)

    def _hear(self, i: int, news: it.ServerList, lives: dict[int, int]) -> None:
        self.told[i].update(lives)
        self.books.told_servers(i, news.entries, lives)
        self.give(i, news)

    def _hear_stage(self, i: int, news: it.StageNews) -> None:
        self.books.told_stage(i, news)
        self.give(i, news)

    # --- requests ---
    def _arrive(self) -> None:
        if self.now > self.mass.length_ms:
            return
        self.later(self.rng.expovariate(1 / self._gap), self._arrive)
        i = self.rng.choices(range(len(self.agents)), cum_weights=self._weights)[0]
        request, s = next(self._ids), self.settings
        cls = self.rng.randrange(len(s.classes))
        deadline = s.classes[cls].deadline_ms
        self.held[i][request] = _Held(self.now + deadline, cls)
        self.result.asked += 1
        tenant = self.rng.randrange(len(s.tenants)) if s.tenants else 0
        effect = s.classes[cls].effect is not it.Effect.SAFE
        asked = it.Request(request, cls, tenant, request, deadline, 0.0, False, False, effect)
        self.books.asked(i, asked)
        if self.mass.leave_share and self.rng.random() < self.mass.leave_share:
            self.later(self.rng.uniform(0.0, deadline / 2), partial(self._leave, i, request))
        self.give(i, asked)

    def _leave(self, i: int, request: int) -> None:
        if one := self.held[i].get(request):
            one.client = False
            self.books.left(request)
            self.give(i, it.Abandoned(request))
            if not any(leg[0] == request for leg in self.out[i]):
                self.held[i].pop(request, None)

    def _send(self, i: int, request: int, server: Server, until: float) -> None:
        one, life, began = self.held[i][request], self.lives[i], self.now
        attempt, one.attempts = one.attempts, one.attempts + 1
        leg, number, build, incarnation = (request, attempt), server.entry.server, server.entry.build, server.life

        def end(status: it.Status) -> None:
            """Once: it answers, fails, or runs into its time."""
            if life != self.lives[i] or self.out[i].get(leg) is not end:
                return
            del self.out[i][leg]
            if status in (it.Status.OK, it.Status.ERROR):
                self.books.replied(request, attempt, number, "ok" if status is it.Status.OK else "error")
            good, late = status is it.Status.OK, self.now >= one.deadline
            over = good or late or not one.client
            if over:
                self.held[i].pop(request, None)
            if over and one.client:
                one.client = False
                self.result.served += good
                self.result.failed += not good
                self.books.answered(request, "served" if good else "failed")
            self.give(i, it.Outcome(request, number, attempt, status, self.now - began, over, ()))

        self.out[i][leg] = end
        if not server.up:
            return self.later(min(CONNECT_MS, one.deadline - self.now), lambda: end(it.Status.CONNECT_FAILED))
        self.at(min(until, one.deadline), lambda: end(it.Status.TIMEOUT))
        self._came(server, self.told[i].get(number) == server.life)
        full = not server.take(end)
        self.books.came(request, attempt, one.cls, server.entry, incarnation, build, self.mass.work_ms, full)
        if full:
            return self.later(1.0, lambda: end(it.Status.FULL))
        self._work(server)

    # --- servers ---
    def _work(self, server: Server) -> None:
        server.work(lambda: self.now, self.later, self.settings.rules, self.mass.work_ms, self.rng)

    def rise(self, server: Server) -> None:
        """A server starts cold."""
        server.rise(self.now)
        self._cold_starts += 1

    def _stage(self, plan: Release, stage: int) -> None:
        """A stage of the release begins: its cap is told and its servers are replaced."""
        roll = self.settings.rollout
        if plan.rollback_at is not None and self.now >= plan.rollback_at:
            return self._back(plan)
        if stage == len(roll.stage_cap):
            return self.tell_stage(it.StageNews(2, stage - 1, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))
        self.tell_stage(it.StageNews(2, stage, it.Phase.TRIAL, False, it.Status.OK, roll.stage_cap[stage], 0.0))
        places = [s for s in self.servers if s.entry.zone != self.mass.fault.zone]
        self._replace(plan, places[: math.ceil(roll.stage_share[stage] * len(places))], 2)
        begins = self.now + plan.step_ms
        if plan.rollback_at is not None:
            begins = min(begins, plan.rollback_at)
        self.at(begins, partial(self._stage, plan, stage + 1))

    def _back(self, plan: Release) -> None:
        """The build is sent back, and withdrawn once the earlier one is everywhere."""
        news = it.StageNews(2, self.stage.stage, it.Phase.GOING_BACK, False, it.Status.OK, 0.0, 0.0)
        self.tell_stage(news)
        self._replace(plan, self.servers, 1)
        self.later(plan.drain_ms + 2 * ABSENT_MS, lambda: self.tell_stage(replace(news, phase=it.Phase.WITHDRAWN)))

    def _replace(self, plan: Release, servers: Iterable[Server], build: int) -> None:
        old = [s for s in servers if s.entry.build != build and s.up]
        for server in old:
            server.entry = replace(server.entry, state=it.ServerState.DRAINING)
        self.tell(old)
        self.later(plan.drain_ms, lambda: self._end(old))
        self.later(plan.drain_ms + ABSENT_MS, lambda: self._renew(plan, old, build))

    def _end(self, servers: list[Server]) -> None:
        for server in servers:
            for end in server.fall():
                end(it.Status.RESET)

    def _renew(self, plan: Release, servers: list[Server], build: int) -> None:
        for server in servers:
            server.entry = replace(server.entry, state=it.ServerState.READY, build=build)
            server.bad = plan.error_share if build == 2 else 0.0
            self.rise(server)
        self.tell(servers)

    def _came(self, server: Server, told: bool) -> None:
        """Rule 4: it falls when more came within the span than the multiple of what it could bear meanwhile, N,
        and 2 x root of N + 2 for chance; it is broken where two thirds came from agents told of its start."""
        figures = self.settings.rules
        if self.now - server.started > figures.cold_ms:
            return
        self.result.to_cold += 1
        server.came.append((self.now, told))
        while server.came[0][0] <= self.now - figures.fall_ms:
            server.came.popleft()
        since = max(self.now - figures.fall_ms, server.started)
        able = (server.able(since, figures) + server.able(self.now, figures)) / 2
        bears = figures.fall_multiple * able * figures.fall_ms * CORES / self.mass.work_ms
        came, by_told = len(server.came), sum(t for _, t in server.came) / len(server.came)
        if came / bears > self.result.peak_cold_load:
            self.result.peak_cold_load, self.result.informed_share = came / bears, by_told
        if came > bears + 2 * math.sqrt(bears) + 2 and 3 * by_told >= 2:
            self._fallen.append(
                f"server {server.entry.server}: {came} attempts where it bears {bears:.1f}, "
                f"{self.now - server.started:.0f} ms after its start"
            )


def simulate_fleet(mass: FleetScenario, seed: int) -> Result:
    """The result of one run."""
    return FleetSimulation(mass, seed).run()
