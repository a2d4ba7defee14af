"""Chooses the server that an attempt goes to."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import (
    LOW_WORTH_LIMIT_PART,
    MIN_CLASS_OUTCOMES,
    POOL_BINS,
    PendingRequest,
    Server,
    count_recent,
)

# Part of the cap that is used at most.
CAP_FILL_PART = 0.95
# The trial gets at most this multiple of its even share of the requests.
EVEN_SHARE_FACTOR = 1.3
# Servers drawn from each group to choose from.
SAMPLED_SERVERS = 3
# Cost factor of a server in another zone.
CROSS_ZONE_FACTOR = 1.3
# A tenant is over its share above this multiple of it.
OVER_SHARE_FACTOR = 1.25
# Below this part of an even zone's servers, a zone's cold servers are not preferred for being near.
SMALL_ZONE_PART = 0.75
# Servers that an agent uses at least.
MIN_SUBSET_SERVERS = 3
# Requests per server and keep-alive time that the size of the subset aims at.
REQUESTS_PER_KEEPALIVE = 2.0
# Share of refused connections above which an agent keeps to servers that it has a connection to.
HIGH_REFUSAL_SHARE = 0.1
# Time constant of the exponential decay of a load report's weight.
LOAD_REPORT_DECAY_MS = 2000.0
# Servers below this health are avoided.
MIN_HEALTH = 0.4


class Routing(Rules):
    """Chooses by two random choices among the servers that the rules permit."""

    def _cost(self, server: Server) -> float:
        """Cost of a server by its open work, slowness, failures, the age of its oldest attempt, and its zone."""
        stall = 1.0 + (self.now - next(iter(server.open_attempts.values()), self.now)) / (
            2 * max(self.usual_latency_ms)
        )
        cross_zone = (
            CROSS_ZONE_FACTOR if server.entry.zone != self.settings.zone and self.settings.cross_zone_price else 1.0
        )
        open_work = max(
            len(server.open_attempts), server.load * math.exp((server.load_at - self.now) / LOAD_REPORT_DECAY_MS)
        )
        return (open_work + 1) * max(server.slowness, 0.2) * stall * cross_zone / max(server.health, 0.1) ** 2

    def _rank(self) -> None:
        """Group the ready servers and compute the trial's even share; once per bin and after each update."""
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
        """Return the server for the next attempt, or None where no server may be used."""
        if self.ranked_bin != self.bin_count:
            self._rank()
        used, limit_part = (
            {a.server.id for a in pending.attempts},
            LOW_WORTH_LIMIT_PART + (1 - LOW_WORTH_LIMIT_PART) * self._worth(pending),
        )

        def fits(server: Server) -> bool:
            return len(server.open_attempts) < server.concurrency_limit * limit_part and self.may_send(
                pending, server
            )

        # Where the cap forbids every build on trial, their servers are not checked one by one, which would take
        # longer than serving the request. This relies on the cap being the same for all servers of a build. The
        # random draws are made all the same, so the choice is the one that the checks would lead to.
        trial_closed = all(self._cap_reached(pending, build) for build in self.trial_builds)
        trial_first = not pending.attempts and self.server_groups[1][1] and self._prefer_trial(pending)
        for near, every in (groups := self.server_groups[::-1] if trial_first else self.server_groups):
            sampled = [
                self.rng.sample(subset, min(SAMPLED_SERVERS, len(subset)))
                for subset in map(self._subset, (near, every))
            ]
            if trial_closed and every is self.server_groups[1][1]:
                continue
            for candidates in (sampled, (near, every)):
                close, usable = (
                    [s for s in servers if s.health >= MIN_HEALTH and s.id not in used and fits(s)]
                    for servers in candidates
                )
                # Otherwise all agents of a small zone would overload its cold servers.
                if SMALL_ZONE_PART * len(every) > len(near) * self.settings.zones:
                    close = [s for s in close if not self._cold(s)]
                # Two random choices. Prescribed by the published design.
                if close or usable:
                    return min(self.rng.choice(close or usable), self.rng.choice(usable or close), key=self._cost)
        usable = [
            s
            for _, group in groups
            if not (trial_closed and group is self.server_groups[1][1])
            for s in group
            if fits(s)
        ]
        return min(self.rng.choice(usable), self.rng.choice(usable), key=self._cost) if usable else None

    def _subset(self, group: list[Server]) -> list[Server]:
        """Return the few servers of a group that this agent uses, so that open connections are used again."""
        keep_alive = self.settings.limits.keepalive_ms
        if self.refusal_share > HIGH_REFUSAL_SHARE and (
            connected := [s for s in group if self.now - s.connected_at < keep_alive]
        ):
            return connected
        span = (
            min(keep_alive / REQUESTS_PER_KEEPALIVE, math.inf if self.load_index is None else LOAD_REPORT_DECAY_MS)
            * len(group)
            / self.ready_count
        )
        return group[
            : max(MIN_SUBSET_SERVERS, math.ceil(self._exposure(0, 0, True)[1] * span / self.rollout.window_ms))
        ]

    def _prefer_trial(self, pending: PendingRequest) -> bool:
        """Whether to try the trial's servers first.

        The published design prescribes to fill the cap. Here the trial gets at most about its even share, and by
        chance, so that no burst goes to it.
        """
        newest = max(self.trial_builds)
        attempts, requests = self._exposure(newest, pending.cls, not self.rollout.per_class)
        room = CAP_FILL_PART * (self.rollout.free + (self._cap(newest) or 0.0) * requests)
        # Evaluators seek classes that they have not yet seen from the trial.
        class_unseen = (
            self.settings.me in self.evaluators
            and self.pools["own", POOL_BINS][4 * pending.cls] < MIN_CLASS_OUTCOMES
        )
        share = min(room / max(requests, 1), 1.0 if class_unseen else self.even_trial_share)
        return not self.trip_reason and attempts < room and self.rng.random() < share

    def _worth(self, pending: PendingRequest) -> float:
        """Worth of a request for its work, relative to the highest; less for a tenant over its share.

        A tenant's share is taken of the requests at this agent, as other agents may be down.
        """
        class_worths = [
            c.worth * (self.settings.worth_by_work or 1 / self.usual_latency_ms[i])
            for i, c in enumerate(self.settings.classes)
        ]
        tenant_requests, tenant = (
            [count_recent(times, self.now - 1e3) for times in self.tenant_request_times],
            pending.request.tenant,
        )
        over_share = tenant_requests and tenant_requests[tenant] > OVER_SHARE_FACTOR * self.settings.tenants[
            tenant
        ].share * sum(tenant_requests)
        return (
            class_worths[pending.cls]
            / max(*class_worths, 1e-9)
            * (self.settings.over_share_worth if over_share else 1.0)
        )
