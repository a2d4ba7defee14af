"""Event-driven simulation of a fleet: clients, agents with their decision module, delayed updates and servers."""

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
from otterquay.lab.mass.tape_recorder import TapeRecorder
from otterquay.policy.agent import Agent

CONNECT_TIMEOUT_MS = 250.0
RATE_SIGMA = 0.8  # standard deviation of the logarithm of the agents' request rates
CLOCK_OFFSET_MS = 1e6  # agents' clock at the start of the run; a server's start time of 0 means long ago
RESTART_MS = 300.0  # from the stop of a replaced server to its next start


@dataclass(slots=True)
class _ClientRequest:
    """A request at an agent; `client_waiting` is false once the client has its answer or has given up."""

    deadline: float
    cls: int
    attempt_count: int = 0
    client_waiting: bool = True


class FleetSimulation:
    """One run of a scenario."""

    def __init__(self, scenario: FleetScenario, seed: int) -> None:
        self.scenario, self.rng, self.result = scenario, random.Random(seed), Result()
        self.settings = replace(decision_settings(scenario.service), agents=scenario.agents, me=0)
        self.now, self._events, self._sequence = (
            0.0,
            list[tuple[float, int, Callable[[], object]]](),
            itertools.count(),
        )
        n = scenario.agents
        self.servers = [
            Server(it.ServerEntry(i + 1, self._server_zone(i), 0, i % 8, it.ServerState.READY, 1.0, 0.0, 1))
            for i in range(scenario.servers)
        ]
        self.recorder = TapeRecorder(scenario.service, lambda: self.now)
        self.stage = it.StageNews(1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0)
        # by agent, then by server: the incarnation last received with a list update
        self.known_incarnations = [dict[int, int]() for _ in range(n)]
        self.requests = [dict[int, _ClientRequest]() for _ in range(n)]
        self.attempts_in_flight = [dict[tuple[int, int], Callable[[it.Status], None]]() for _ in range(n)]
        self.incarnations, self._last_delivery = [0] * n, [0.0] * n
        self._request_ids = itertools.count(1)
        self._cold_violations, self._cold_starts = list[str](), 0
        self.agents = [self._create_agent(i) for i in range(n)]
        self._weights = list(itertools.accumulate(self.rng.lognormvariate(0.0, RATE_SIGMA) for _ in range(n)))
        self._mean_interval_ms = scenario.work_ms / (scenario.servers * CORES * scenario.load)

    def run(self) -> Result:
        """Run the scenario to its end and check the rules."""
        fault = self.scenario.fault
        for i in range(len(self.agents)):
            self._start_agent(i)
        self.call_at(0.0, self._receive_request)
        if fault.zone is not None:
            lost = [s for s in self.servers if s.entry.zone == fault.zone]
            for server in lost:
                self.call_at(fault.lost_at, server.stop)  # no connection reset: attempts there time out
                self.call_at(fault.restored_at, partial(self.restart_cold, server))
            if fault.list_delay_ms is not None:
                self.call_at(fault.restored_at + fault.list_delay_ms, partial(self.update_list, lost))
        self.call_at(fault.restored_at, self._kill_agents)
        if self.scenario.release:
            self.call_at(self.scenario.release.offered_at, partial(self._begin_stage, self.scenario.release, 0))
        until = (
            self.scenario.duration_ms + max(cls.deadline_ms for cls in self.settings.classes) + CONNECT_TIMEOUT_MS
        )
        while self._events and self._events[0][0] <= until:  # the last requests run to their deadline
            self.now, _, step = heapq.heappop(self._events)
            step()
        report = self.recorder.judge()
        self.result.violations = {**report.violations, "cold": self._cold_violations}
        self.result.checked = {**report.checked, "cold": self._cold_starts}
        return self.result

    def _server_zone(self, i: int) -> int:
        zones, few = self.settings.zones, self.scenario.first_zone_servers
        return i % zones if few is None else 0 if i < few else 1 + i % (zones - 1)

    def call_at(self, when: float, step: Callable[[], object]) -> None:
        """Schedule a step at a simulated time."""
        heapq.heappush(self._events, (when, next(self._sequence), step))

    def call_later(self, delay: float, step: Callable[[], object]) -> None:
        """Schedule a step after a delay."""
        self.call_at(self.now + delay, step)

    # --- agents ---
    def _create_agent(self, i: int) -> Agent:
        return Agent(replace(self.settings, me=i, zone=i % self.settings.zones), self.rng.getrandbits(64))

    def _start_agent(self, i: int) -> None:
        self.recorder.agent_up(i)
        self.deliver(i, it.Started())
        self._deliver_stage(i, self.stage)
        self._deliver_list(i, it.ListKind.FULL, self.servers)

    def _kill_agents(self) -> None:
        part = int(self.scenario.fault.killed_share * len(self.agents))
        for i in self.rng.sample(range(len(self.agents)), part):
            self.recorder.agent_killed(
                i, [request for request, one in self.requests[i].items() if one.client_waiting]
            )
            self.incarnations[i] += 1
            self.agents[i], self.requests[i], self.attempts_in_flight[i] = self._create_agent(i), {}, {}
            self._start_agent(i)

    def deliver(self, i: int, event: it.Event) -> None:
        """Pass an event to an agent and carry out the actions that it returns."""
        for action in self.agents[i].handle(CLOCK_OFFSET_MS + self.now, event):
            match action:
                case it.Send(request, server, until):
                    self._send(i, request, self.servers[server - 1], until - CLOCK_OFFSET_MS)
                case it.SetTimer(delay, token):
                    self.call_later(delay, self._timer(i, self.incarnations[i], token))
                case it.Refuse(request, _) | it.Fail(request):
                    if (one := self.requests[i].pop(request, None)) and one.client_waiting:
                        refused = isinstance(action, it.Refuse)
                        self.result.refused += refused
                        self.result.failed += not refused
                        self.recorder.answered(request, "refused" if refused else "failed")
                case it.Cancel(request, attempt):
                    if end := self.attempts_in_flight[i].get((request, attempt)):
                        end(it.Status.CANCELLED)
                case _:
                    self.handle_other(i, action)

    def handle_other(self, i: int, action: it.Action) -> None:
        """Carry out an action that is no part of requests and timers; here votes, messages and logs are dropped."""

    def _timer(self, i: int, incarnation: int, token: int) -> Callable[[], None]:
        return lambda: self.deliver(i, it.TimerFired(token)) if incarnation == self.incarnations[i] else None

    # --- list and stage updates ---
    def update_list(self, servers: Iterable[Server]) -> None:
        """Send the current entries of these servers to all agents, to each in order and with its own delay."""
        entries, incarnations = [], {}
        for server in servers:
            started = CLOCK_OFFSET_MS + server.started if server.started >= 0 else 0.0
            server.entry, server.listed_incarnation = replace(server.entry, started_ms=started), server.incarnation
            entries.append(server.entry)
            incarnations[server.entry.server] = server.incarnation
        news = it.ServerList(it.ListKind.DELTA, 2, tuple(entries))
        self._broadcast(lambda i: self._deliver_servers(i, news, incarnations))

    def update_stage(self, news: it.StageNews) -> None:
        """Send the stage of the newest build to all agents."""
        self.stage = news
        self._broadcast(lambda i: self._deliver_stage(i, news))

    def _broadcast(self, receive: Callable[[int], None]) -> None:
        for i in range(len(self.agents)):
            if self.scenario.max_news_delay_ms <= 0:
                receive(i)
                continue
            self._last_delivery[i] = max(
                self._last_delivery[i], self.now + self.rng.uniform(0.0, self.scenario.max_news_delay_ms)
            )
            self.call_at(self._last_delivery[i], partial(self._deliver_late, i, self.incarnations[i], receive))

    def _deliver_late(self, i: int, incarnation: int, receive: Callable[[int], None]) -> None:
        if incarnation == self.incarnations[i]:  # a restarted agent already received the newest state
            receive(i)

    def _deliver_list(self, i: int, kind: it.ListKind, servers: Iterable[Server]) -> None:
        listed = list(servers)
        incarnations = {s.entry.server: s.listed_incarnation for s in listed}
        self._deliver_servers(i, it.ServerList(kind, 1, tuple(s.entry for s in listed)), incarnations)

    def _deliver_servers(self, i: int, news: it.ServerList, incarnations: dict[int, int]) -> None:
        self.known_incarnations[i].update(incarnations)
        self.recorder.list_update(i, news.entries, incarnations)
        self.deliver(i, news)

    def _deliver_stage(self, i: int, news: it.StageNews) -> None:
        self.recorder.stage_update(i, news)
        self.deliver(i, news)

    # --- requests ---
    def _receive_request(self) -> None:
        if self.now > self.scenario.duration_ms:
            return
        self.call_later(self.rng.expovariate(1 / self._mean_interval_ms), self._receive_request)
        i = self.rng.choices(range(len(self.agents)), cum_weights=self._weights)[0]
        request, s = next(self._request_ids), self.settings
        cls = self.rng.randrange(len(s.classes))
        deadline = s.classes[cls].deadline_ms
        self.requests[i][request] = _ClientRequest(self.now + deadline, cls)
        self.result.asked += 1
        tenant = self.rng.randrange(len(s.tenants)) if s.tenants else 0
        effect = s.classes[cls].effect is not it.Effect.SAFE
        asked = it.Request(request, cls, tenant, request, deadline, 0.0, False, False, effect)
        self.recorder.asked(i, asked)
        if self.scenario.leave_share and self.rng.random() < self.scenario.leave_share:
            self.call_later(self.rng.uniform(0.0, deadline / 2), partial(self._abandon_request, i, request))
        self.deliver(i, asked)

    def _abandon_request(self, i: int, request: int) -> None:
        if one := self.requests[i].get(request):
            one.client_waiting = False
            self.recorder.left(request)
            self.deliver(i, it.Abandoned(request))
            if not any(key[0] == request for key in self.attempts_in_flight[i]):
                self.requests[i].pop(request, None)

    def _send(self, i: int, request: int, server: Server, until: float) -> None:
        one, agent_incarnation, began = self.requests[i][request], self.incarnations[i], self.now
        attempt, one.attempt_count = one.attempt_count, one.attempt_count + 1
        key, number, build, incarnation = (
            (request, attempt),
            server.entry.server,
            server.entry.build,
            server.incarnation,
        )

        def end(status: it.Status) -> None:
            """End the attempt with an answer, a failure or a timeout; later calls are ignored."""
            if agent_incarnation != self.incarnations[i] or self.attempts_in_flight[i].get(key) is not end:
                return
            del self.attempts_in_flight[i][key]
            if status in (it.Status.OK, it.Status.ERROR):
                self.recorder.replied(request, attempt, number, "ok" if status is it.Status.OK else "error")
            good, late = status is it.Status.OK, self.now >= one.deadline
            over = good or late or not one.client_waiting
            if over:
                self.requests[i].pop(request, None)
            if over and one.client_waiting:
                one.client_waiting = False
                self.result.served += good
                self.result.failed += not good
                self.recorder.answered(request, "served" if good else "failed")
            self.deliver(i, it.Outcome(request, number, attempt, status, self.now - began, over, ()))

        self.attempts_in_flight[i][key] = end
        if not server.up:
            return self.call_later(
                min(CONNECT_TIMEOUT_MS, one.deadline - self.now), lambda: end(it.Status.CONNECT_FAILED)
            )
        self.call_at(min(until, one.deadline), lambda: end(it.Status.TIMEOUT))
        self._check_cold_load(server, self.known_incarnations[i].get(number) == server.incarnation)
        full = not server.enqueue(end)
        self.recorder.arrived(
            request, attempt, one.cls, server.entry, incarnation, build, self.scenario.work_ms, full
        )
        if full:
            return self.call_later(1.0, lambda: end(it.Status.FULL))
        self._start_work(server)

    # --- servers ---
    def _start_work(self, server: Server) -> None:
        server.start_work(lambda: self.now, self.call_later, self.settings.rules, self.scenario.work_ms, self.rng)

    def restart_cold(self, server: Server) -> None:
        """Start a server, cold."""
        server.restart_cold(self.now)
        self._cold_starts += 1

    def _begin_stage(self, plan: Release, stage: int) -> None:
        """Begin a stage of the release: announce its cap and replace its servers."""
        roll = self.settings.rollout
        if plan.rollback_at is not None and self.now >= plan.rollback_at:
            return self._roll_back(plan)
        if stage == len(roll.stage_cap):
            return self.update_stage(it.StageNews(2, stage - 1, it.Phase.RELEASED, False, it.Status.OK, 1.0, 0.0))
        self.update_stage(it.StageNews(2, stage, it.Phase.TRIAL, False, it.Status.OK, roll.stage_cap[stage], 0.0))
        replaceable = [s for s in self.servers if s.entry.zone != self.scenario.fault.zone]
        self._replace(plan, replaceable[: math.ceil(roll.stage_share[stage] * len(replaceable))], 2)
        begins = self.now + plan.stage_interval_ms
        if plan.rollback_at is not None:
            begins = min(begins, plan.rollback_at)
        self.call_at(begins, partial(self._begin_stage, plan, stage + 1))

    def _roll_back(self, plan: Release) -> None:
        """Roll the build back, and withdraw it once all servers run the earlier build."""
        news = it.StageNews(2, self.stage.stage, it.Phase.GOING_BACK, False, it.Status.OK, 0.0, 0.0)
        self.update_stage(news)
        self._replace(plan, self.servers, 1)
        self.call_later(
            plan.drain_ms + 2 * RESTART_MS, lambda: self.update_stage(replace(news, phase=it.Phase.WITHDRAWN))
        )

    def _replace(self, plan: Release, servers: Iterable[Server], build: int) -> None:
        old = [s for s in servers if s.entry.build != build and s.up]
        for server in old:
            server.entry = replace(server.entry, state=it.ServerState.DRAINING)
        self.update_list(old)
        self.call_later(plan.drain_ms, lambda: self._stop_servers(old))
        self.call_later(plan.drain_ms + RESTART_MS, lambda: self._start_replacements(plan, old, build))

    def _stop_servers(self, servers: list[Server]) -> None:
        for server in servers:
            for end in server.stop():
                end(it.Status.RESET)

    def _start_replacements(self, plan: Release, servers: list[Server], build: int) -> None:
        for server in servers:
            server.entry = replace(server.entry, state=it.ServerState.READY, build=build)
            self.set_failures(server, plan)
            self.restart_cold(server)
        self.update_list(servers)

    def set_failures(self, server: Server, plan: Release) -> None:
        """Make a server fail as its build does."""
        server.error_share = plan.error_share if server.entry.build == 2 else 0.0
        server.fails_after_ms, server.fails_over_busy = plan.fails_after_ms, plan.fails_over_busy

    def _check_cold_load(self, server: Server, informed_sender: bool) -> None:
        """Check rule 4, the load on a cold server.

        With N the number of attempts that its capacity and the overload multiple allow in the window, more than
        N + 2 * sqrt(N) + 2 attempts (the last terms allow for chance) violate the rule if at least two thirds of
        them came from agents that had been notified of the server's start.
        """
        rules = self.settings.rules
        if self.now - server.started > rules.cold_ms:
            return
        self.result.to_cold += 1
        server.arrivals.append((self.now, informed_sender))
        while server.arrivals[0][0] <= self.now - rules.fall_ms:
            server.arrivals.popleft()
        since = max(self.now - rules.fall_ms, server.started)
        capacity = (server.capacity_share(since, rules) + server.capacity_share(self.now, rules)) / 2
        allowed = rules.fall_multiple * capacity * rules.fall_ms * CORES / self.scenario.work_ms
        arrived, informed = len(server.arrivals), sum(t for _, t in server.arrivals) / len(server.arrivals)
        if arrived / allowed > self.result.peak_cold_load:
            self.result.peak_cold_load, self.result.informed_share = arrived / allowed, informed
        if arrived > allowed + 2 * math.sqrt(allowed) + 2 and 3 * informed >= 2:
            self._cold_violations.append(
                f"server {server.entry.server}: {arrived} attempts where {allowed:.1f} are allowed, "
                f"{self.now - server.started:.0f} ms after its start"
            )


def simulate_fleet(scenario: FleetScenario, seed: int) -> Result:
    """Simulate a scenario; returns the result."""
    return FleetSimulation(scenario, seed).run()
