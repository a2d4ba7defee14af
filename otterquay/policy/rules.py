"""The five rules: the one place that decides whether an attempt may be sent.

Rule 1: nothing is sent for a request that has its final answer, no time left or no attempt left. Rule 2: no effect
happens twice. Rule 3: nothing goes to a server that drains or is gone. Rule 4: cold servers are not overloaded.
Rule 5: builds on trial get no more than their cap, and a key does not go back to an earlier build.
"""

import math

from otterquay import interface as it
from otterquay.policy.state import BIN_MS, AgentState, PendingRequest, Server, count_recent

# Part of a cold server's budget that is used.
COLD_BUDGET_PART = 0.85
# Attempts per overload window that any cold server can take, from all agents together.
MIN_COLD_ATTEMPTS_PER_WINDOW = 3.0
# Keys whose builds are kept.
MAX_ANSWERED_KEYS = 2**18


class Rules(AgentState):
    """Guards that rest only on what this agent sent and was notified of."""

    def _cap(self, build: int) -> float | None:
        """Return the cap of a build on trial, or None for any other; a build not yet announced is at stage 0."""
        if build > self.stage_news.build:
            return self.rollout.stage_cap[0]
        if build < self.stage_news.build or self.stage_news.phase is it.Phase.RELEASED:
            return None
        return 0.0 if self.stage_news.phase is it.Phase.WITHDRAWN else self.stage_news.cap

    def _attempt_window_ms(self) -> float:
        """Return how long an attempt counts: for longer than the window, whose edges fall between ticks."""
        return self.rollout.window_ms + 2 * self.settings.tick_ms

    def _exposure(self, build: int, cls: int, together: bool) -> tuple[int, int]:
        """Return the attempts at a build and the requests within the exposure window, of one or of all classes."""
        window, tick, classes = (
            self.rollout.window_ms,
            self.settings.tick_ms,
            range(self.class_count) if together else [cls],
        )
        attempts = sum(
            count_recent(self.attempt_times.get((build, c), []), self.now - self._attempt_window_ms())
            for c in classes
        )
        return attempts, sum(count_recent(self.request_times[c], self.now - window + 4 * tick) for c in classes)

    def _cap_reached(self, pending: PendingRequest, build: int) -> bool:
        """Whether rule 5 forbids the build for this request; the same holds for every server of the build."""
        if (cap := self._cap(build)) is None:
            return False
        if self.now < self.exposure_known_from:
            return True
        stage, safe = self.stage_news.stage if build == self.stage_news.build else 0, it.Effect.SAFE
        guarded = stage < self.rollout.guarded_stages and self.settings.classes[pending.cls].effect is not safe
        attempts, requests = self._exposure(build, pending.cls, not self.rollout.per_class)
        return cap <= 0 or guarded or attempts + 1 > self.rollout.free + cap * requests

    def _age(self, server: Server) -> float:
        """Time since the server's start in milliseconds; infinite where it started long ago."""
        return self.now - server.started_at if server.started_at > 0 else math.inf

    def _cold(self, server: Server) -> bool:
        return self._age(server) < self.settings.rules.cold_ms + BIN_MS

    def _capacity(self, server: Server) -> float:
        """Return the least part of its full capacity that the server had during the overload window."""
        start, warm_up = self.settings.rules.start_capacity, max(self.settings.rules.cold_ms, 1.0)
        return start + (1.0 - start) * min(1.0, max(0.0, self._age(server) - self.settings.rules.fall_ms) / warm_up)

    def _deliver_by(self, pending: PendingRequest) -> float:
        """Return the time until which rule 2 lets a further attempt reach its server; infinite where it sets none.

        Servers drop repeats of a key for the repeat window. It counts from the send of the first attempt that may
        have run, also for the third attempt and later ones.
        """
        cls = self.settings.classes[pending.cls]
        may_have_run = [a.sent_at for a in pending.attempts if not a.never_ran]
        if cls.effect is not it.Effect.KEYED or not may_have_run:
            return math.inf
        return may_have_run[0] + cls.repeat_window_ms

    def may_send(self, pending: PendingRequest, server: Server) -> bool:
        """Check all five rules; first sends, retries and second copies all pass here."""
        limits, cls, entry = self.settings.limits, self.settings.classes[pending.cls], server.entry
        is_over = (
            pending.id not in self.pending_requests
            or self.now >= pending.expires_at
            or len(pending.attempts) >= limits.max_attempts
        )
        # One-way rollouts: a key never goes back to an earlier build, and a key that could no longer be kept goes
        # to no build on trial.
        key = pending.request.key
        keys_full = key and len(self.key_builds) >= MAX_ANSWERED_KEYS and key not in self.key_builds
        goes_back = key and max(self.key_builds.get(key, 0), self.any_key_build) > entry.build
        # Rules 1, 5 and 3.
        if is_over or goes_back or not server.ready or (keys_full and self._cap(entry.build) is not None):
            return False
        # Rule 2.
        may_have_run = [a for a in pending.attempts if not a.never_ran]
        if may_have_run:
            if cls.effect is it.Effect.UNSAFE or (
                any(a.is_open for a in may_have_run) and not limits.second_copies
            ):
                return False
            first = may_have_run[0].server.entry
            out_of_scope = (cls.scope is it.Scope.ZONE and entry.zone != first.zone) or (
                cls.scope is it.Scope.CELL and entry.cell != first.cell
            )
            if cls.effect is it.Effect.KEYED and (out_of_scope or self.now >= self._deliver_by(pending)):
                return False
        return not self._cap_reached(pending, entry.build) and (
            not self._cold(server) or self._within_cold_budget(server)
        )

    def _within_cold_budget(self, server: Server) -> bool:
        """Check rule 4. The budget rests on the good answers of servers, not on attempts."""
        window, part = (
            self.settings.rules.fall_ms,
            COLD_BUDGET_PART * self.settings.rules.fall_multiple * self._capacity(server),
        )
        budget = part * count_recent(self.success_times, self.now - window) / self.ready_count
        if self.last_warm_success_at < (
            math.inf if self.cold_count >= self.ready_count else max(server.started_at, self.now - window)
        ):
            # No warm server answers, so all agents meet at this one. Where the budget is below one attempt for each
            # agent, the agents take turns.
            share = max(
                part * self.success_and_capacity[0] / max(self.success_and_capacity[1], 1.0),
                MIN_COLD_ATTEMPTS_PER_WINDOW / self.settings.agents,
            )
            turn = self._age(server) / window * share - server.hash_rank * (share < 1)
            spent = not 0 <= math.fmod(turn, 1.0) < share
        else:
            # One attempt from each of hundreds of agents would overload the cold servers: the budgets are added up
            # over all cold servers, and at most one attempt more is allowed.
            spent = (
                self.cold_count < self.ready_count
                and count_recent(self.cold_send_times, self.now - window) > budget * self.cold_count
            )
        return not spent and count_recent(server.send_times, self.now - window) + 1 <= max(1.0, budget)
