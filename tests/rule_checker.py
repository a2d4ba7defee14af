"""Checks the five rules for one agent from its events and actions; it shares no code with the decision module.

The checker knows what the agent was notified of and what it did. Drains and lower caps must bind at once, as
`docs/design.md` promises, without the grace that the users allow. Rule 4 cannot be judged from one agent alone: the
capacity is estimated from what warm servers bear. An agent breaks its part of the rule when it sends a cold server,
beyond one attempt, more than the permitted multiple of that server's present capacity times the average number of
its sends per server.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from otterquay import interface as it

UNRUN = (it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT)
ANSWERED, EFFECTS, DRAINS, COLD, EXPOSURE = "answered", "effects", "drains", "cold", "exposure"
RULES = (ANSWERED, EFFECTS, DRAINS, COLD, EXPOSURE)


class RuleViolation(AssertionError):
    """The agent has broken a rule; `rule` tells which."""

    def __init__(self, rule: str, reason: str) -> None:
        super().__init__(f"{rule}: {reason}")
        self.rule = rule


@dataclass(slots=True)
class AttemptRecord:
    """One attempt: its server with that server's start, when it was sent, its time limit, and how it ended."""

    server: it.ServerEntry
    sent_at: float
    until: float
    status: it.Status | None = None


@dataclass(slots=True)
class RequestRecord:
    """A request that the agent has taken."""

    cls: int
    key: int
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    final_answers: int = 0


class RuleChecker:
    """Give it each event before the agent gets it and each action after; it raises `RuleViolation`."""

    def __init__(self, config: it.Settings) -> None:
        self.config = config
        self.requests: dict[int, RequestRecord] = {}
        self.listed: dict[int, it.ServerEntry] = {}
        self.not_ready: dict[int, float] = {}  # by server: since when the list has it as draining or gone
        self.sends: list[tuple[float, int, float]] = []  # time, server, start of the server
        self.trial_sends: list[tuple[float, int, int]] = []  # sends to builds on trial: time, build, class
        self.arrivals: list[tuple[float, int]] = []  # time, class
        self.stages: list[tuple[float, int, int, it.Phase, float]] = [(-math.inf, 0, 0, it.Phase.RELEASED, 1.0)]
        self.key_builds: dict[int, int] = {}  # by key: the newest build that answered it

    # --- events ---
    def event(self, now: float, event: it.Event) -> None:
        """Record what the agent is notified of."""
        match event:
            case it.ServerList(kind, _, entries):
                if kind in (it.ListKind.FULL, it.ListKind.CACHED):
                    for server in self.listed.keys() - {e.server for e in entries}:
                        self.not_ready.setdefault(server, now)
                for entry in entries:
                    self.listed[entry.server] = entry
                    if entry.state is it.ServerState.READY:
                        self.not_ready.pop(entry.server, None)
                    else:
                        self.not_ready.setdefault(entry.server, now)
            case it.StageNews(build, stage, phase, _, it.Status.OK, cap, _):
                if build >= self.stages[-1][1]:
                    self.stages.append((now, build, stage, phase, cap))
                    if phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                        self.key_builds = {}
                    self.key_builds = {key: b for key, b in self.key_builds.items() if b >= build}
            case it.Request(request, cls, _, key, budget):
                self.requests[request] = RequestRecord(cls, key, now + budget)
                self.arrivals.append((now, cls))
            case it.Outcome(request, _, attempt, status, _, over, _):
                record = self.requests[request]
                attempt_record = record.attempts[attempt]
                attempt_record.status = status
                record.final_answers += over and not record.final_answers
                if status is it.Status.OK and record.key and attempt_record.server.build >= self.stages[-1][1]:
                    self.key_builds[record.key] = max(
                        self.key_builds.get(record.key, 0), attempt_record.server.build
                    )
            case it.Abandoned(request):
                record = self.requests[request]
                record.final_answers += not record.final_answers

    # --- actions ---
    def action(self, now: float, action: it.Action) -> None:
        """Check what the agent does."""
        match action:
            case it.Send(request, server, until, deliver_by):
                self._send(now, self.requests[request], server, until, deliver_by)
            case it.Refuse(request) | it.Fail(request):
                record = self.requests[request]
                record.final_answers += 1
                if record.final_answers > 1:
                    raise RuleViolation(ANSWERED, f"{request} got a second final answer")
                if isinstance(action, it.Refuse):
                    self._refused(record)

    def _refused(self, record: RequestRecord) -> None:
        cls = self.config.classes[record.cls]
        harmless = cls.effect is it.Effect.SAFE or (cls.effect is it.Effect.KEYED and cls.scope is it.Scope.ALL)
        if not harmless and any(a.status not in UNRUN for a in record.attempts):
            raise RuleViolation(EFFECTS, "a refusal of a request that may have run")

    def _send(self, now: float, record: RequestRecord, server: int, until: float, deliver_by: float) -> None:
        config, entry = self.config, self.listed[server]
        if record.final_answers or now >= record.deadline:
            raise RuleViolation(ANSWERED, "a send for a request that is over")
        if len(record.attempts) >= config.limits.max_attempts:
            raise RuleViolation(ANSWERED, "more attempts than are allowed")
        self._effects(now, record, entry, deliver_by)
        if server in self.not_ready:
            raise RuleViolation(DRAINS, f"a send to server {server}, which is draining or gone")
        self.sends.append((now, server, entry.started_ms))
        self._cold(now, entry)
        self._exposure(now, record, entry)
        record.attempts.append(AttemptRecord(entry, now, min(until, record.deadline)))

    def _effects(self, now: float, record: RequestRecord, entry: it.ServerEntry, deliver_by: float) -> None:
        cls, may_have_run = self.config.classes[record.cls], [a for a in record.attempts if a.status not in UNRUN]
        if not may_have_run:
            return
        if cls.effect is it.Effect.UNSAFE:
            raise RuleViolation(EFFECTS, "an unsafe request that may have run is sent again")
        if any(a.status is None for a in may_have_run) and not self.config.limits.second_copies:
            raise RuleViolation(EFFECTS, "two attempts at once")
        if cls.effect is it.Effect.KEYED:
            first = may_have_run[0].server
            outside = {
                it.Scope.ALL: False,
                it.Scope.ZONE: first.zone != entry.zone,
                it.Scope.CELL: first.cell != entry.cell,
            }
            if outside[cls.scope] or now - may_have_run[0].sent_at > cls.repeat_window_ms:
                raise RuleViolation(EFFECTS, "a keyed repeat outside its scope or window")
            if deliver_by > may_have_run[0].sent_at + cls.repeat_window_ms:
                raise RuleViolation(EFFECTS, "a keyed repeat that may be delivered after its window")

    def _cold(self, now: float, entry: it.ServerEntry) -> None:
        rules = self.config.rules
        age = now - entry.started_ms if entry.started_ms > 0 else math.inf
        if age >= rules.cold_ms:
            return
        window = [(s, start) for at_ms, s, start in self.sends if at_ms > now - rules.fall_ms]
        to_server = sum(one == (entry.server, entry.started_ms) for one in window)
        capacity = rules.start_capacity + (1 - rules.start_capacity) * age / rules.cold_ms
        ready = sum(s not in self.not_ready for s in self.listed)
        if to_server > max(1.0, rules.fall_multiple * capacity * len(window) / max(ready, 1)):
            raise RuleViolation(
                COLD, f"{to_server} of {len(window)} sends to server {entry.server}, {age:.0f} ms old"
            )

    def _exposure(self, now: float, record: RequestRecord, entry: it.ServerEntry) -> None:
        rollout, build, cls = self.config.rollout, entry.build, record.cls
        if rollout.one_way and record.key and self.key_builds.get(record.key, 0) > build:
            raise RuleViolation(EXPOSURE, f"key {record.key} goes back to build {build}")
        _, newest, stage, phase, cap = self.stages[-1]
        if build < newest or (build == newest and phase is it.Phase.RELEASED):
            return
        if build > newest:
            stage, cap = 0, rollout.stage_cap[0]
        self.trial_sends.append((now, build, cls))
        if cap <= 0:
            raise RuleViolation(EXPOSURE, f"a send to build {build} at cap 0")
        if stage < rollout.guarded_stages and self.config.classes[cls].effect is not it.Effect.SAFE:
            raise RuleViolation(EXPOSURE, "a request with an effect in a guarded stage")
        since = now - rollout.window_ms
        same_build = [c for at_ms, b, c in self.trial_sends if at_ms > since and b == build]
        attempts = len([c for c in same_build if c == cls]) if rollout.per_class else len(same_build)
        arrivals = sum(at_ms > since and (not rollout.per_class or c == cls) for at_ms, c in self.arrivals)
        if attempts > rollout.free + cap * arrivals + 1e-9:
            raise RuleViolation(
                EXPOSURE, f"{attempts} attempts at build {build} on {arrivals} requests at cap {cap}"
            )

    # --- time ---
    def check_deadlines(self, now: float) -> None:
        """Check that no request is without a final answer after its time."""
        for request, record in self.requests.items():
            if not record.final_answers and now > record.deadline + self.config.rules.answer_slack_ms:
                raise RuleViolation(ANSWERED, f"{request} got no final answer in its time")
