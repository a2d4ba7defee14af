"""The handling of a request: attempts, answers, retries and refusals."""

from otterquay import interface as it
from otterquay.policy.evidence import Evidence
from otterquay.policy.routing import Routing
from otterquay.policy.rules import MAX_ANSWERED_KEYS
from otterquay.policy.state import UNRUN, Attempt, PendingRequest

# Requests sent per answer that brought worth, above which requests are shed: for the least and the highest worth.
MIN_SEND_RATIO = 1.2
MAX_SEND_RATIO = 1.6
# What a shed request counts as, where one that is sent counts as 1.
SHED_SEND_WEIGHT = 0.7
# Time after which a refused client may come back.
RETRY_AFTER_MS = 400.0


class RequestHandling(Routing, Evidence):
    """Gives each request one final answer."""

    def _should_shed(self, pending: PendingRequest) -> bool:
        """Shed by chance when most of what was sent for the request's class or tenant brought no worth.

        This guards against overload that feeds itself, against retry storms, and against a class or tenant that is
        late at every server.
        """
        ratio = MIN_SEND_RATIO + (MAX_SEND_RATIO - MIN_SEND_RATIO) * self._worth(pending)
        shed = self.rng.random() < min(
            (sent - ratio * useful) / (sent + 1)
            for sent, useful in [self.sent_and_useful[i] for i in pending.group_indexes]
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
        """Start an attempt, or give up where no server may be used."""
        if not (server := self._choose(pending) if self.now < pending.useful_until else None):
            return self._give_up(pending)
        attempt_key, deliver_by = (pending.id, len(pending.attempts)), self._deliver_by(pending)
        self.in_flight[attempt_key], server.open_attempts[attempt_key], pending.send_weight = (
            Attempt(server, pending.cls, self.now),
            self.now,
            1.0,
        )
        pending.attempts.append(self.in_flight[attempt_key])
        cold = [self.cold_send_times] if self._cold(server) else []
        for times in (
            server.send_times,
            *cold,
            self.attempt_times.setdefault((server.entry.build, pending.cls), []),
        ):
            times.append(self.now)
        self.actions.append(it.Send(pending.id, server.id, pending.useful_until, deliver_by))

    def _outcome(self, event: it.Outcome) -> None:
        if not (attempt := self.in_flight.pop((event.request, event.attempt), None)):
            return
        attempt.is_open, attempt.never_ran = False, event.status in UNRUN
        # The server may have a new incarnation since the attempt was sent.
        for server in (attempt.server, self.servers.get(attempt.server.id, attempt.server)):
            server.open_attempts.pop((event.request, event.attempt), None)
        self._learn(attempt, event.status, max(event.latency_ms, 1.0))
        if event.load and self.load_index is not None:
            attempt.server.load, attempt.server.load_at = float(event.load[self.load_index]), self.now
        if event.status is it.Status.OK:
            self.success_times.append(self.now)
        if not (pending := self.pending_requests.get(event.request)):
            return
        if event.status is it.Status.OK and self.rollout.one_way and (key := pending.request.key):
            build, newest = attempt.server.entry.build, self.stage_news.build
            if build >= newest and build > self.any_key_build:
                self.key_builds[key] = max(self.key_builds.get(key, 0), build)
            # Over the limit, once the newest build is released, it becomes the lowest build for every key.
            if len(self.key_builds) > MAX_ANSWERED_KEYS and self._cap(newest) is None:
                self.key_builds, self.any_key_build = (
                    {k: b for k, b in self.key_builds.items() if b > newest},
                    newest,
                )
        if event.over:
            worth = self.settings.classes[pending.cls].late_worth if self.now > pending.aim_at else 1.0
            self._finish(pending, worth if event.status is it.Status.OK else 0.0)
        elif not any(a.is_open for a in pending.attempts):
            (self._give_up if self._should_shed(pending) else self._send)(pending)

    def _abandoned(self, event: it.Abandoned) -> None:
        if pending := self.pending_requests.get(event.request):
            self._finish(pending, 0.0)

    def _finish(self, pending: PendingRequest, worth: float) -> None:
        """Forget the request and count what it brought, unless the agent itself has just stalled."""
        del self.pending_requests[pending.id]
        for i in pending.group_indexes if self.now != self.stalled_at else ():
            self.sent_and_useful[i] = (
                self.sent_and_useful[i][0] + pending.send_weight,
                self.sent_and_useful[i][1] + worth,
            )

    def _give_up(self, pending: PendingRequest) -> None:
        """Answer at once: a refusal where another try by the client does no harm, else a failure."""
        cls, limits = self.settings.classes[pending.cls], self.settings.limits
        repeatable = cls.effect is it.Effect.SAFE or (cls.effect, cls.scope) == (it.Effect.KEYED, it.Scope.ALL)
        harmless = repeatable or all(a.never_ran for a in pending.attempts)
        retry_after_ms = min(RETRY_AFTER_MS, limits.max_retry_after_ms) if limits.retry_after else 0.0
        self.actions.append(it.Refuse(pending.id, retry_after_ms) if harmless else it.Fail(pending.id))
        self._finish(pending, 0.0)
