"""Which server an attempt goes to."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import (
    LOW_WORTH_LIMIT_PART,
    MIN_CLASS_OUTCOMES,
    POOL_BINS,
    PendingRequest,
    Server,
    recent,
)

CAP_FILL_PART, EVEN_SHARE_FACTOR = 0.95, 1.3  # most used of the cap, of an even trial share
SAMPLED_SERVERS, CROSS_ZONE_FACTOR, OVER_SHARE_FACTOR = (
    3,
    1.3,
    1.25,
)  # servers drawn to choose from; crossing; times a share is over
SMALL_ZONE_PART = 0.75  # part of an even zone's servers, under which its cold ones are not preferred as near
MIN_SUBSET_SERVERS, REQUESTS_PER_KEEPALIVE, HIGH_REFUSAL_SHARE, LOAD_REPORT_DECAY_MS = (
    3,
    2.0,
    0.1,
    2000.0,
)  # kept; asks a keep-alive; refused; stale
MIN_HEALTH = 0.4  # health avoided


class Routing(Rules):  # two random choices, within what the rules leave
    def _cost(self, server: Server) -> float:  # own open work, seen slowness, failures, a stall, the crossing
        stall = 1.0 + (self.now - next(iter(server.open_attempts.values()), self.now)) / (
            2 * max(self.usual_latency_ms)
        )
        cross = (
            CROSS_ZONE_FACTOR if server.entry.zone != self.settings.zone and self.settings.cross_zone_price else 1.0
        )
        held = max(
            len(server.open_attempts), server.load * math.exp((server.load_at - self.now) / LOAD_REPORT_DECAY_MS)
        )
        return (held + 1) * max(server.slowness, 0.2) * stall * cross / max(server.health, 0.1) ** 2

    def _rank(self) -> None:  # each bin and after news: who is on trial and who not, the trial's even share
        ready = sorted((s for s in self.servers.values() if s.ready), key=lambda s: s.hash_rank)
        self.ranked_bin = self.bin_count
        self.cold_count = sum(map(self._cold, ready))
        groups = [[s for s in ready if (self._cap(s.entry.build) is None) is old] for old in (True, False)]
        self.trial_builds, self.ready_count = {s.entry.build for s in groups[1]}, max(len(ready), 1)
        zone = self.settings.zone if self.settings.cross_zone_price else -1
        self.server_groups = [[[s for s in group if s.entry.zone == zone], group] for group in groups]
        old, new = (sum(s.entry.weight * self._capacity(s) * s.health for s in group) for group in groups)
        places = old + new * (self.rollout.replacement is it.Replacement.IN_PLACE)
        self.even_trial_share = EVEN_SHARE_FACTOR * new / max(places, new, 1e-9)

    def _choose(self, pending: PendingRequest) -> Server | None:
        if self.ranked_bin != self.bin_count:
            self._rank()
        used, part = (
            {a.server.id for a in pending.attempts},
            LOW_WORTH_LIMIT_PART + (1 - LOW_WORTH_LIMIT_PART) * self._worth(pending),
        )

        def fits(server: Server) -> bool:
            return len(server.open_attempts) < server.concurrency_limit * part and self.may_send(pending, server)

        # against refusals that cost more than service: where every build on trial is shut, its servers are
        # not asked one by one; the draws stay as they were. Could harm if the gate differed within a build
        shut = all(self._cap_reached(pending, build) for build in self.trial_builds)
        fill = not pending.attempts and self.server_groups[1][1] and self._prefer_trial(pending)
        for near, every in (groups := self.server_groups[::-1] if fill else self.server_groups):
            few = [
                self.rng.sample(kept, min(SAMPLED_SERVERS, len(kept))) for kept in map(self._subset, (near, every))
            ]
            if shut and every is self.server_groups[1][1]:
                continue
            for some in (few, (near, every)):
                close, can = (
                    [s for s in those if s.health >= MIN_HEALTH and s.id not in used and fits(s)] for those in some
                )
                if (
                    SMALL_ZONE_PART * len(every) > len(near) * self.settings.zones
                ):  # else all agents near would push it over
                    close = [s for s in close if not self._cold(s)]
                if close or can:  # DESIGN: two random choices
                    return min(self.rng.choice(close or can), self.rng.choice(can or close), key=self._cost)
        can = [s for _, some in groups if not (shut and some is self.server_groups[1][1]) for s in some if fits(s)]
        return min(self.rng.choice(can), self.rng.choice(can), key=self._cost) if can else None

    def _subset(self, group: list[Server]) -> list[Server]:  # few, so that open connections serve again
        keep = self.settings.limits.keepalive_ms
        if self.refusal_share > HIGH_REFUSAL_SHARE and (
            linked := [s for s in group if self.now - s.connected_at < keep]
        ):
            return linked
        span = (
            min(keep / REQUESTS_PER_KEEPALIVE, math.inf if self.load_index is None else LOAD_REPORT_DECAY_MS)
            * len(group)
            / self.ready_count
        )
        return group[
            : max(MIN_SUBSET_SERVERS, math.ceil(self._exposure(0, 0, True)[1] * span / self.rollout.window_ms))
        ]

    def _prefer_trial(
        self, pending: PendingRequest
    ) -> bool:  # DESIGN: fill the cap; ours: up to an even share, by chance, no burst
        newest = max(self.trial_builds)
        tries, asked = self._exposure(newest, pending.cls, not self.rollout.per_class)
        room = CAP_FILL_PART * (self.rollout.free + (self._cap(newest) or 0.0) * asked)
        lacks = (
            self.settings.me in self.evaluators
            and self.pools["own", POOL_BINS][4 * pending.cls] < MIN_CLASS_OUTCOMES
        )
        part = min(
            room / max(asked, 1), 1.0 if lacks else self.even_trial_share
        )  # judges seek what they have not seen
        return not self.trip_reason and tries < room and self.rng.random() < part

    def _worth(
        self, pending: PendingRequest
    ) -> float:  # for its work; a tenant's by its part here, as agents may be down
        worth = [
            c.worth * (self.settings.worth_by_work or 1 / self.usual_latency_ms[i])
            for i, c in enumerate(self.settings.classes)
        ]
        sent, tenant = (
            [recent(times, self.now - 1e3) for times in self.tenant_request_times],
            pending.request.tenant,
        )
        over = sent and sent[tenant] > OVER_SHARE_FACTOR * self.settings.tenants[tenant].share * sum(sent)
        return worth[pending.cls] / max(*worth, 1e-9) * (self.settings.over_share_worth if over else 1.0)
