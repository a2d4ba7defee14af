"""A request's life: tried, answered, tried again, given up."""

from otterquay import interface as it
from otterquay.policy.evidence import Evidence
from otterquay.policy.routing import Routing
from otterquay.policy.rules import KEYS_MOST
from otterquay.policy.state import UNRUN, Attempt, PendingRequest

MIN_SEND_RATIO, MAX_SEND_RATIO, SHED_SEND_WEIGHT = 1.2, 1.6, 0.7  # tried over what brought worth; weight of shed
RETRY_AFTER_MS = 400.0  # come-back


class RequestHandling(Routing, Evidence):  # each request gets one answer
    def _should_shed(
        self, pending: PendingRequest
    ) -> bool:  # by chance, when most sent of a class or tenant brings no worth
        # against jams that feed on themselves, retry storms, a class or tenant that is late at every server
        k = MIN_SEND_RATIO + (MAX_SEND_RATIO - MIN_SEND_RATIO) * self._worth(pending)
        shed = self.rng.random() < min(
            (n - k * x) / (n + 1) for n, x in [self.sent_and_useful[c] for c in pending.group_indexes]
        )
        pending.send_weight = max(pending.send_weight, SHED_SEND_WEIGHT * shed)
        return shed

    def _request(self, request: it.Request) -> None:
        pending = self.pending_requests[request.request] = PendingRequest(
            request, self.now, self.settings.classes[request.cls]
        )
        self.request_times[request.cls].append(self.now)
        if self.tenant_request_times:
            self.tenant_request_times[request.tenant].append(self.now)
            pending.group_indexes.append(self.class_count + request.tenant)
        (self._give_up if self._should_shed(pending) else self._send)(pending)

    def _send(self, pending: PendingRequest) -> None:
        if not (server := self._choose(pending) if self.now < pending.useful_until else None):
            return self._give_up(pending)
        leg = pending.id, len(pending.attempts)
        self.in_flight[leg], server.open_attempts[leg], pending.send_weight = (
            Attempt(server, pending.cls, self.now),
            self.now,
            1.0,
        )
        pending.attempts.append(self.in_flight[leg])
        cold = [self.cold_send_times] if self._cold(server) else []
        for times in (
            server.send_times,
            *cold,
            self.attempt_times.setdefault((server.entry.build, pending.cls), []),
        ):
            times.append(self.now)
        self.actions.append(it.Send(pending.id, server.id, pending.useful_until))

    def _outcome(self, event: it.Outcome) -> None:
        if not (ran := self.in_flight.pop((event.request, event.attempt), None)):
            return
        ran.pending, ran.never_ran = False, event.status in UNRUN
        for server in (ran.server, self.servers.get(ran.server.id, ran.server)):  # it may have a new life
            server.open_attempts.pop((event.request, event.attempt), None)
        self._learn(ran, event.status, max(event.latency_ms, 1.0))
        if event.load and self.load_index is not None:
            ran.server.load, ran.server.load_at = float(event.load[self.load_index]), self.now
        if event.status is it.Status.OK:
            self.success_times.append(self.now)
        if not (pending := self.pending_requests.get(event.request)):
            return
        if event.status is it.Status.OK and self.rollout.one_way and (key := pending.request.key):
            build, newest = ran.server.entry.build, self.stage_news.build
            if build >= newest and build > self.any_key_build:
                self.key_builds[key] = max(self.key_builds.get(key, 0), build)
            if len(self.key_builds) > KEYS_MOST and self._cap(newest) is None:  # released: then for every key
                self.key_builds, self.any_key_build = (
                    {k: b for k, b in self.key_builds.items() if b > newest},
                    newest,
                )
        if event.over:
            worth = self.settings.classes[pending.cls].late_worth if self.now > pending.aim_at else 1.0
            self._finish(pending, worth if event.status is it.Status.OK else 0.0)
        elif not any(a.pending for a in pending.attempts):
            (self._give_up if self._should_shed(pending) else self._send)(pending)

    def _abandoned(self, event: it.Abandoned) -> None:
        if pending := self.pending_requests.get(event.request):
            self._finish(pending, 0.0)

    def _finish(self, pending: PendingRequest, gain: float) -> None:
        del self.pending_requests[pending.id]
        for cell in pending.group_indexes if self.now != self.stalled_at else ():
            self.sent_and_useful[cell] = (
                self.sent_and_useful[cell][0] + pending.send_weight,
                self.sent_and_useful[cell][1] + gain,
            )

    def _give_up(self, pending: PendingRequest) -> None:  # at once: a refusal where trying again does no harm
        cls, limits = self.settings.classes[pending.cls], self.settings.limits
        harmless = cls.effect is it.Effect.SAFE or (cls.effect, cls.scope) == (it.Effect.KEYED, it.Scope.ALL)
        clean = harmless or all(a.never_ran for a in pending.attempts)
        back = min(RETRY_AFTER_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0
        self.actions.append(it.Refuse(pending.id, back) if clean else it.Fail(pending.id))
        self._finish(pending, 0.0)
