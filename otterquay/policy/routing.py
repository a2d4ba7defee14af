"""Which server an attempt goes to."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import CLASS_LEAST, LEAST_PART, POOL_BINS, PendingRequest, Server, recent

FILL, FAIR = 0.95, 1.3  # most used of the cap, of an even trial share
DRAWN, CROSS, OVER_SHARE = 3, 1.3, 1.25  # servers drawn to choose from; crossing; times a share is over
SMALL = 0.75  # part of an even zone's servers, under which its cold ones are not preferred as near
KEPT_LEAST, KEPT_GAPS, REFUSED_PART, LOAD_MS = 3, 2.0, 0.1, 2000.0  # kept; asks a keep-alive; refused; stale
DEAD_OK = 0.4  # health avoided


class Routing(Rules):  # two random choices, within what the rules leave
    def _cost(self, server: Server) -> float:  # own open work, seen slowness, failures, a stall, the crossing
        stall = 1.0 + (self.now - next(iter(server.open_attempts.values()), self.now)) / (2 * max(self.usual))
        cross = CROSS if server.entry.zone != self.settings.zone and self.settings.cross_zone_price else 1.0
        held = max(len(server.open_attempts), server.load * math.exp((server.told - self.now) / LOAD_MS))
        return (held + 1) * max(server.slowness, 0.2) * stall * cross / max(server.health, 0.1) ** 2

    def _rank(self) -> None:  # each bin and after news: who is on trial and who not, the trial's even share
        ready = sorted((s for s in self.servers.values() if s.ready), key=lambda s: s.key)
        self.ranked = self.bin_count
        self.colds = sum(map(self._cold, ready))
        groups = [[s for s in ready if (self._cap(s.entry.build) is None) is old] for old in (True, False)]
        self.on_trial, self.fleet = {s.entry.build for s in groups[1]}, max(len(ready), 1)
        zone = self.settings.zone if self.settings.cross_zone_price else -1
        self.groups = [[[s for s in group if s.entry.zone == zone], group] for group in groups]
        old, new = (sum(s.entry.weight * self._able(s) * s.health for s in group) for group in groups)
        places = old + new * (self.rollout.replacement is it.Replacement.IN_PLACE)
        self.even = FAIR * new / max(places, new, 1e-9)

    def _choose(self, job: PendingRequest) -> Server | None:
        if self.ranked != self.bin_count:
            self._rank()
        used, part = {a.server.id for a in job.attempts}, LEAST_PART + (1 - LEAST_PART) * self._worth(job)

        def fits(server: Server) -> bool:
            return len(server.open_attempts) < server.concurrency_limit * part and self.may_send(job, server)

        # against refusals that cost more than service: where every build on trial is shut, its servers are
        # not asked one by one; the draws stay as they were. Could harm if the gate differed within a build
        shut = all(self._cap_reached(job, build) for build in self.on_trial)
        fill = not job.attempts and self.groups[1][1] and self._fill(job)
        for near, every in (groups := self.groups[::-1] if fill else self.groups):
            few = [self.rng.sample(kept, min(DRAWN, len(kept))) for kept in map(self._kept, (near, every))]
            if shut and every is self.groups[1][1]:
                continue
            for some in (few, (near, every)):
                close, can = (
                    [s for s in those if s.health >= DEAD_OK and s.id not in used and fits(s)] for those in some
                )
                if SMALL * len(every) > len(near) * self.settings.zones:  # else all agents near would push it over
                    close = [s for s in close if not self._cold(s)]
                if close or can:  # DESIGN: two random choices
                    return min(self.rng.choice(close or can), self.rng.choice(can or close), key=self._cost)
        can = [s for _, some in groups if not (shut and some is self.groups[1][1]) for s in some if fits(s)]
        return min(self.rng.choice(can), self.rng.choice(can), key=self._cost) if can else None

    def _kept(self, group: list[Server]) -> list[Server]:  # few, so that open connections serve again
        keep = self.settings.limits.keepalive_ms
        if self.refused > REFUSED_PART and (linked := [s for s in group if self.now - s.connected_at < keep]):
            return linked
        span = min(keep / KEPT_GAPS, math.inf if self.load_index is None else LOAD_MS) * len(group) / self.fleet
        return group[: max(KEPT_LEAST, math.ceil(self._exposure(0, 0, True)[1] * span / self.rollout.window_ms))]

    def _fill(
        self, job: PendingRequest
    ) -> bool:  # DESIGN: fill the cap; ours: up to an even share, by chance, no burst
        newest = max(self.on_trial)
        tries, asked = self._exposure(newest, job.cls, not self.rollout.per_class)
        room = FILL * (self.rollout.free + (self._cap(newest) or 0.0) * asked)
        lacks = self.settings.me in self.evaluators and self.pools["own", POOL_BINS][4 * job.cls] < CLASS_LEAST
        part = min(room / max(asked, 1), 1.0 if lacks else self.even)  # judges seek what they have not seen
        return not self.tripped and tries < room and self.rng.random() < part

    def _worth(
        self, job: PendingRequest
    ) -> float:  # for its work; a tenant's by its part here, as agents may be down
        worth = [
            c.worth * (self.settings.worth_by_work or 1 / self.usual[i])
            for i, c in enumerate(self.settings.classes)
        ]
        sent, tenant = [recent(times, self.now - 1e3) for times in self.tenant_request_times], job.request.tenant
        over = sent and sent[tenant] > OVER_SHARE * self.settings.tenants[tenant].share * sum(sent)
        return worth[job.cls] / max(*worth, 1e-9) * (self.settings.over_share_worth if over else 1.0)
