"""Books of the five rules for one agent, that share nothing with the module: events and actions in, faults out.

They know what the agent was told and what it did. Drains and lower caps are held to what `docs/design.md` promises:
they bind at once, without the grace that the users allow. Rule 4 cannot be judged by one agent's books alone; as
in service the capacity is guessed from what warm servers bear: an agent breaks its part when it sends a cold server
more than the multiple of its present share of what it sends a server on the average, beyond one attempt.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from otterquay import interface as it

UNRUN = (it.Status.FULL, it.Status.CONNECT_FAILED, it.Status.MOOT)
ANSWERED, EFFECTS, DRAINS, COLD, EXPOSURE = "answered", "effects", "drains", "cold", "exposure"
RULES = (ANSWERED, EFFECTS, DRAINS, COLD, EXPOSURE)


class Broken(AssertionError):
    """A rule is broken; `rule` says which."""

    def __init__(self, rule: str, why: str) -> None:
        super().__init__(f"{rule}: {why}")
        self.rule = rule


@dataclass(slots=True)
class Leg:
    """One attempt: at which server and start of it, when, until when, and how it ended."""

    server: it.ServerEntry
    at: float
    until: float
    status: it.Status | None = None


@dataclass(slots=True)
class Duty:
    """A request that was taken."""

    cls: int
    key: int
    deadline: float
    attempts: list[Leg] = field(default_factory=list)
    final_answers: int = 0


class RuleChecker:
    """Hand it each event before the agent gets it, each action after; it raises `Broken`."""

    def __init__(self, config: it.Settings) -> None:
        self.config = config
        self.requests: dict[int, Duty] = {}
        self.listed: dict[int, it.ServerEntry] = {}
        self.away: dict[int, float] = {}  # server: since when it is told to drain or be gone
        self.sent: list[tuple[float, int, float]] = []  # when, server, its start
        self.tried: list[tuple[float, int, int]] = []  # on trial: when, build, class
        self.taken: list[tuple[float, int]] = []
        self.caps: list[tuple[float, int, int, it.Phase, float]] = [(-math.inf, 0, 0, it.Phase.RELEASED, 1.0)]
        self.kept: dict[int, int] = {}  # key: the newest build that answered it

    # --- what the agent is told ---
    def event(self, now: float, event: it.Event) -> None:
        match event:
            case it.ServerList(kind, _, entries):
                if kind in (it.ListKind.FULL, it.ListKind.CACHED):
                    for server in self.listed.keys() - {e.server for e in entries}:
                        self.away.setdefault(server, now)
                for entry in entries:
                    self.listed[entry.server] = entry
                    if entry.state is it.ServerState.READY:
                        self.away.pop(entry.server, None)
                    else:
                        self.away.setdefault(entry.server, now)
            case it.StageNews(build, stage, phase, _, it.Status.OK, cap, _):
                if build >= self.caps[-1][1]:
                    self.caps.append((now, build, stage, phase, cap))
                    if phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                        self.kept = {}
                    self.kept = {key: b for key, b in self.kept.items() if b >= build}
            case it.Request(request, cls, _, key, budget):
                self.requests[request] = Duty(cls, key, now + budget)
                self.taken.append((now, cls))
            case it.Outcome(request, _, attempt, status, _, over, _):
                duty = self.requests[request]
                leg = duty.attempts[attempt]
                leg.status = status
                duty.final_answers += over and not duty.final_answers
                if status is it.Status.OK and duty.key and leg.server.build >= self.caps[-1][1]:
                    self.kept[duty.key] = max(self.kept.get(duty.key, 0), leg.server.build)
            case it.Abandoned(request):
                duty = self.requests[request]
                duty.final_answers += not duty.final_answers

    # --- what it does ---
    def action(self, now: float, action: it.Action) -> None:
        match action:
            case it.Send(request, server, until):
                self._send(now, self.requests[request], server, until)
            case it.Refuse(request) | it.Fail(request):
                duty = self.requests[request]
                duty.final_answers += 1
                if duty.final_answers > 1:
                    raise Broken(ANSWERED, f"{request} got a second final answer")
                if isinstance(action, it.Refuse):
                    self._refused(duty)

    def _refused(self, duty: Duty) -> None:
        cls = self.config.classes[duty.cls]
        harmless = cls.effect is it.Effect.SAFE or (cls.effect is it.Effect.KEYED and cls.scope is it.Scope.ALL)
        if not harmless and any(leg.status not in UNRUN for leg in duty.attempts):
            raise Broken(EFFECTS, "a refusal of what may have run")

    def _send(self, now: float, duty: Duty, server: int, until: float) -> None:
        config, entry = self.config, self.listed[server]
        if duty.final_answers or now >= duty.deadline:
            raise Broken(ANSWERED, "a send for what is over")
        if len(duty.attempts) >= config.limits.max_attempts:
            raise Broken(ANSWERED, "more attempts than are allowed")
        self._effects(now, duty, entry)
        if server in self.away:
            raise Broken(DRAINS, f"server {server} was told to be away")
        self.sent.append((now, server, entry.started_ms))
        self._cold(now, entry)
        self._exposure(now, duty, entry)
        duty.attempts.append(Leg(entry, now, min(until, duty.deadline)))

    def _effects(self, now: float, duty: Duty, entry: it.ServerEntry) -> None:
        cls, ran = self.config.classes[duty.cls], [leg for leg in duty.attempts if leg.status not in UNRUN]
        if not ran:
            return
        if cls.effect is it.Effect.UNSAFE:
            raise Broken(EFFECTS, "what must not run twice is sent again")
        if any(leg.status is None for leg in ran) and not self.config.limits.second_copies:
            raise Broken(EFFECTS, "two at once")
        if cls.effect is it.Effect.KEYED:
            first = ran[0].server
            outside = {
                it.Scope.ALL: False,
                it.Scope.ZONE: first.zone != entry.zone,
                it.Scope.CELL: first.cell != entry.cell,
            }
            if outside[cls.scope] or now - ran[0].at > cls.repeat_window_ms:
                raise Broken(EFFECTS, "a keyed repeat outside its group or window")

    def _cold(self, now: float, entry: it.ServerEntry) -> None:
        rules = self.config.rules
        age = now - entry.started_ms if entry.started_ms > 0 else math.inf
        if age >= rules.cold_ms:
            return
        window = [(s, at) for when, s, at in self.sent if when > now - rules.fall_ms]
        mine = sum(one == (entry.server, entry.started_ms) for one in window)
        able = rules.start_capacity + (1 - rules.start_capacity) * age / rules.cold_ms
        ready = sum(s not in self.away for s in self.listed)
        if mine > max(1.0, rules.fall_multiple * able * len(window) / max(ready, 1)):
            raise Broken(COLD, f"{mine} of {len(window)} to server {entry.server}, {age:.0f} ms old")

    def _exposure(self, now: float, duty: Duty, entry: it.ServerEntry) -> None:
        rollout, build, cls = self.config.rollout, entry.build, duty.cls
        if rollout.one_way and duty.key and self.kept.get(duty.key, 0) > build:
            raise Broken(EXPOSURE, f"key {duty.key} goes back to build {build}")
        _, newest, stage, phase, cap = self.caps[-1]
        if build < newest or (build == newest and phase is it.Phase.RELEASED):
            return
        if build > newest:
            stage, cap = 0, rollout.stage_cap[0]
        self.tried.append((now, build, cls))
        if cap <= 0:
            raise Broken(EXPOSURE, f"a send to build {build} at cap 0")
        if stage < rollout.guarded_stages and self.config.classes[cls].effect is not it.Effect.SAFE:
            raise Broken(EXPOSURE, "an effect in a guarded stage")
        since = now - rollout.window_ms
        same = [c for when, b, c in self.tried if when > since and b == build]
        tries = len([c for c in same if c == cls]) if rollout.per_class else len(same)
        taken = sum(when > since and (not rollout.per_class or c == cls) for when, c in self.taken)
        if tries > rollout.free + cap * taken + 1e-9:
            raise Broken(EXPOSURE, f"{tries} tries of build {build} on {taken} requests at cap {cap}")

    # --- time ---
    def at(self, now: float) -> None:
        """The clock has come this far: nothing may be owed beyond its time."""
        for request, duty in self.requests.items():
            if not duty.final_answers and now > duty.deadline + self.config.rules.answer_slack_ms:
                raise Broken(ANSWERED, f"{request} got no final answer in its time")
