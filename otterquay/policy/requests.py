"""A request's life: tried, answered, tried again, given up."""

from otterquay import interface as it
from otterquay.policy.evidence import Evidence
from otterquay.policy.routing import Routing
from otterquay.policy.rules import KEYS_MOST
from otterquay.policy.state import UNRUN, Attempt, PendingRequest

TRY_LEAST, TRY_MOST, SHED = 1.2, 1.6, 0.7  # tried over what brought worth; weight of shed
REFUSED_MS = 400.0  # come-back


class Life(Routing, Evidence):  # each request gets one answer
    def _should_shed(
        self, job: PendingRequest
    ) -> bool:  # by chance, when most sent of a class or tenant brings no worth
        # against jams that feed on themselves, retry storms, a class or tenant that is late at every server
        k = TRY_LEAST + (TRY_MOST - TRY_LEAST) * self._worth(job)
        shed = self.rng.random() < min(
            (n - k * x) / (n + 1) for n, x in [self.sent_and_useful[c] for c in job.cells]
        )
        job.weight = max(job.weight, SHED * shed)
        return shed

    def _request(self, request: it.Request) -> None:
        job = self.pending_requests[request.request] = PendingRequest(
            request, self.now, self.settings.classes[request.cls]
        )
        self.request_times[request.cls].append(self.now)
        if self.tenant_request_times:
            self.tenant_request_times[request.tenant].append(self.now)
            job.cells.append(self.class_count + request.tenant)
        (self._give_up if self._should_shed(job) else self._send)(job)

    def _send(self, job: PendingRequest) -> None:
        if not (server := self._choose(job) if self.now < job.useful else None):
            return self._give_up(job)
        leg = job.id, len(job.attempts)
        self.in_flight[leg], server.open_attempts[leg], job.weight = (
            Attempt(server, job.cls, self.now),
            self.now,
            1.0,
        )
        job.attempts.append(self.in_flight[leg])
        cold = [self.cold_send_times] if self._cold(server) else []
        for times in (server.send_times, *cold, self.attempt_times.setdefault((server.entry.build, job.cls), [])):
            times.append(self.now)
        self.out.append(it.Send(job.id, server.id, job.useful))

    def _outcome(self, event: it.Outcome) -> None:
        if not (ran := self.in_flight.pop((event.request, event.attempt), None)):
            return
        ran.live, ran.unrun = False, event.status in UNRUN
        for server in (ran.server, self.servers.get(ran.server.id, ran.server)):  # it may have a new life
            server.open_attempts.pop((event.request, event.attempt), None)
        self._learn(ran, event.status, max(event.latency_ms, 1.0))
        if event.load and self.load_index is not None:
            ran.server.load, ran.server.told = float(event.load[self.load_index]), self.now
        if event.status is it.Status.OK:
            self.success_times.append(self.now)
        if not (job := self.pending_requests.get(event.request)):
            return
        if event.status is it.Status.OK and self.rollout.one_way and (key := job.request.key):
            build, newest = ran.server.entry.build, self.news.build
            if build >= newest and build > self.floor:
                self.key_builds[key] = max(self.key_builds.get(key, 0), build)
            if len(self.key_builds) > KEYS_MOST and self._cap(newest) is None:  # released: then for every key
                self.key_builds, self.floor = {k: b for k, b in self.key_builds.items() if b > newest}, newest
        if event.over:
            worth = self.settings.classes[job.cls].late_worth if self.now > job.aim else 1.0
            self._finish(job, worth if event.status is it.Status.OK else 0.0)
        elif not any(a.live for a in job.attempts):
            (self._give_up if self._should_shed(job) else self._send)(job)

    def _abandoned(self, event: it.Abandoned) -> None:
        if job := self.pending_requests.get(event.request):
            self._finish(job, 0.0)

    def _finish(self, job: PendingRequest, gain: float) -> None:
        del self.pending_requests[job.id]
        for cell in job.cells if self.now != self.stood else ():
            self.sent_and_useful[cell] = (
                self.sent_and_useful[cell][0] + job.weight,
                self.sent_and_useful[cell][1] + gain,
            )

    def _give_up(self, job: PendingRequest) -> None:  # at once: a refusal where trying again does no harm
        cls, limits = self.settings.classes[job.cls], self.settings.limits
        harmless = cls.effect is it.Effect.SAFE or (cls.effect, cls.scope) == (it.Effect.KEYED, it.Scope.ALL)
        clean = harmless or all(a.unrun for a in job.attempts)
        back = min(REFUSED_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0
        self.out.append(it.Refuse(job.id, back) if clean else it.Fail(job.id))
        self._finish(job, 0.0)
