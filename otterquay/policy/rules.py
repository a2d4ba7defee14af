"""The five rules: the one place that decides whether an attempt may be sent."""

import math

from otterquay import interface as it
from otterquay.policy.state import BIN_MS, AgentState, PendingRequest, Server, recent

COLD_BUDGET_PART, MIN_COLD_ATTEMPTS_PER_WINDOW, KEYS_MOST = (
    0.85,
    3.0,
    2**18,
)  # of a cold budget; what any bears a window; keys kept


class Rules(AgentState):  # guards by what we sent and were told
    def _cap(self, build: int) -> float | None:  # cap on trial, else None; not yet named: stage 0
        if build > self.stage_news.build:
            return self.rollout.stage_cap[0]
        if build < self.stage_news.build or self.stage_news.phase is it.Phase.RELEASED:
            return None
        return 0.0 if self.stage_news.phase is it.Phase.WITHDRAWN else self.stage_news.cap

    def _exposure(self, build: int, cls: int, together: bool) -> tuple[int, int]:  # edges fall between ticks
        span, tick, classes = (
            self.rollout.window_ms,
            self.settings.tick_ms,
            range(self.class_count) if together else [cls],
        )
        tries = sum(recent(self.attempt_times.get((build, c), []), self.now - span - 2 * tick) for c in classes)
        return tries, sum(recent(self.request_times[c], self.now - span + 4 * tick) for c in classes)

    def _cap_reached(
        self, pending: PendingRequest, build: int
    ) -> bool:  # rule 5, the same for every server of a build
        if (cap := self._cap(build)) is None:
            return False
        stage, safe = self.stage_news.stage if build == self.stage_news.build else 0, it.Effect.SAFE
        guarded = stage < self.rollout.guarded_stages and self.settings.classes[pending.cls].effect is not safe
        tries, asked = self._exposure(build, pending.cls, not self.rollout.per_class)
        return cap <= 0 or guarded or tries + 1 > self.rollout.free + cap * asked

    def _age(self, server: Server) -> float:
        return self.now - server.started_at if server.started_at > 0 else math.inf

    def _cold(self, server: Server) -> bool:
        return self._age(server) < self.settings.rules.cold_ms + BIN_MS

    def _capacity(self, server: Server) -> float:  # least part of its capacity throughout the fall window
        start, warm = self.settings.rules.start_capacity, max(self.settings.rules.cold_ms, 1.0)
        return start + (1.0 - start) * min(1.0, max(0.0, self._age(server) - self.settings.rules.fall_ms) / warm)

    def may_send(
        self, pending: PendingRequest, server: Server
    ) -> bool:  # all five rules: first sends, retries, copies
        limits, cls, entry = self.settings.limits, self.settings.classes[pending.cls], server.entry
        over = (
            pending.id not in self.pending_requests
            or self.now >= pending.expires_at
            or len(pending.attempts) >= limits.max_attempts
        )
        # where there is no way back; a key that could no longer be kept goes to no build on trial
        key = pending.request.key
        full = key and len(self.key_builds) >= KEYS_MOST and key not in self.key_builds
        way_back = key and max(self.key_builds.get(key, 0), self.any_key_build) > entry.build
        if over or way_back or not server.ready or (full and self._cap(entry.build) is not None):
            return False  # rules 1, 5 and 3: nothing for what is over, nothing to what drains or is gone
        ran = [a for a in pending.attempts if not a.never_ran]
        if ran:  # rule 2
            if cls.effect is it.Effect.UNSAFE or (any(a.pending for a in ran) and not limits.second_copies):
                return False
            first = ran[0].server.entry
            away = (cls.scope is it.Scope.ZONE and entry.zone != first.zone) or (
                cls.scope is it.Scope.CELL and entry.cell != first.cell
            )
            if cls.effect is it.Effect.KEYED and (away or self.now - ran[0].sent_at >= cls.repeat_window_ms):
                return False
        return not self._cap_reached(pending, entry.build) and (
            not self._cold(server) or self._within_cold_budget(server)
        )

    def _within_cold_budget(self, server: Server) -> bool:  # rule 4: by what servers bore, not by tries
        fall, part = (
            self.settings.rules.fall_ms,
            COLD_BUDGET_PART * self.settings.rules.fall_multiple * self._capacity(server),
        )
        budget = part * recent(self.success_times, self.now - fall) / self.ready_count
        if self.last_warm_success_at < (
            math.inf if self.cold_count >= self.ready_count else max(server.started_at, self.now - fall)
        ):
            # no warm one answers: all agents meet here, so what is below one attempt each is due in turns
            share = max(
                part * self.success_and_capacity[0] / max(self.success_and_capacity[1], 1.0),
                MIN_COLD_ATTEMPTS_PER_WINDOW / self.settings.agents,
            )
            turn = self._age(server) / fall * share - server.hash_rank * (share < 1)
            spent = not 0 <= math.fmod(turn, 1.0) < share
        else:  # against one each from hundreds: budgets add up over all cold servers, but for one more
            spent = (
                self.cold_count < self.ready_count
                and recent(self.cold_send_times, self.now - fall) > budget * self.cold_count
            )
        return not spent and recent(server.send_times, self.now - fall) + 1 <= max(1.0, budget)
