"""The five rules: the one place that decides whether an attempt may be sent."""

import math

from otterquay import interface as it
from otterquay.policy.state import BIN_MS, Job, Server, State, recent

COLD_PART, ANY_BEARS, KEYS_MOST = 0.85, 3.0, 2**18  # of a cold budget; what any bears a window; keys kept


class Rules(State):  # guards by what we sent and were told
    def _cap(self, build: int) -> float | None:  # cap on trial, else None; not yet named: stage 0
        if build > self.news.build:
            return self.roll.stage_cap[0]
        if build < self.news.build or self.news.phase is it.Phase.RELEASED:
            return None
        return 0.0 if self.news.phase is it.Phase.WITHDRAWN else self.news.cap

    def _exposed(self, build: int, cls: int, together: bool) -> tuple[int, int]:  # edges fall between ticks
        span, tick, classes = self.roll.window_ms, self.s.tick_ms, range(self.n) if together else [cls]
        tries = sum(recent(self.tries.get((build, c), []), self.now - span - 2 * tick) for c in classes)
        return tries, sum(recent(self.asked[c], self.now - span + 4 * tick) for c in classes)

    def _shut(self, job: Job, build: int) -> bool:  # rule 5, the same for every server of a build
        if (cap := self._cap(build)) is None:
            return False
        stage, safe = self.news.stage if build == self.news.build else 0, it.Effect.SAFE
        guarded = stage < self.roll.guarded_stages and self.s.classes[job.cls].effect is not safe
        tries, asked = self._exposed(build, job.cls, not self.roll.per_class)
        return cap <= 0 or guarded or tries + 1 > self.roll.free + cap * asked

    def _age(self, server: Server) -> float:
        return self.now - server.started if server.started > 0 else math.inf

    def _cold(self, server: Server) -> bool:
        return self._age(server) < self.s.rules.cold_ms + BIN_MS

    def _able(self, server: Server) -> float:  # least part of its capacity throughout the fall window
        start, warm = self.s.rules.start_capacity, max(self.s.rules.cold_ms, 1.0)
        return start + (1.0 - start) * min(1.0, max(0.0, self._age(server) - self.s.rules.fall_ms) / warm)

    def may_send(self, job: Job, server: Server) -> bool:  # all five rules: first sends, retries, copies
        limits, cls, entry = self.s.limits, self.s.classes[job.cls], server.entry
        over = job.id not in self.jobs or self.now >= job.until or len(job.attempts) >= limits.max_attempts
        # where there is no way back; a key that could no longer be kept goes to no build on trial
        key = job.request.key
        full = key and len(self.answered) >= KEYS_MOST and key not in self.answered
        way_back = key and max(self.answered.get(key, 0), self.floor) > entry.build
        if over or way_back or not server.ready or (full and self._cap(entry.build) is not None):
            return False  # rules 1, 5 and 3: nothing for what is over, nothing to what drains or is gone
        ran = [a for a in job.attempts if not a.unrun]
        if ran:  # rule 2
            if cls.effect is it.Effect.UNSAFE or (any(a.live for a in ran) and not limits.second_copies):
                return False
            first = ran[0].server.entry
            away = (cls.scope is it.Scope.ZONE and entry.zone != first.zone) or (
                cls.scope is it.Scope.CELL and entry.cell != first.cell
            )
            if cls.effect is it.Effect.KEYED and (away or self.now - ran[0].sent >= cls.repeat_window_ms):
                return False
        return not self._shut(job, entry.build) and (not self._cold(server) or self._bears_more(server))

    def _bears_more(self, server: Server) -> bool:  # rule 4: by what servers bore, not by tries
        fall, part = self.s.rules.fall_ms, COLD_PART * self.s.rules.fall_multiple * self._able(server)
        budget = part * recent(self.borne, self.now - fall) / self.fleet
        if self.warm_at < (math.inf if self.colds >= self.fleet else max(server.started, self.now - fall)):
            # no warm one answers: all agents meet here, so what is below one attempt each is due in turns
            share = max(part * self.bears[0] / max(self.bears[1], 1.0), ANY_BEARS / self.s.agents)
            turn = self._age(server) / fall * share - server.key * (share < 1)
            spent = not 0 <= math.fmod(turn, 1.0) < share
        else:  # against one each from hundreds: budgets add up over all cold servers, but for one more
            spent = self.colds < self.fleet and recent(self.to_cold, self.now - fall) > budget * self.colds
        return not spent and recent(server.sent, self.now - fall) + 1 <= max(1.0, budget)
