"""Sends attempts and probes to appliances, and reports their ends to the decision module as events.

Connecting may take up to the connect timeout, and the state that a decision was based on may change meanwhile. It
is checked again before the first byte is written: if it has changed, the attempt is withheld and the module decides
anew.
"""

from __future__ import annotations

from typing import Any

from blake3 import blake3

from otterquay import interface as it
from otterquay.agent.exchange import Call, DeliveryLimit
from otterquay.agent.feeds import share_allowed
from otterquay.agent.lifecycle import Lifecycle, OpenAttempt, OpenRequest, Phase
from otterquay.agent.outcomes import END_MEANINGS, End
from otterquay.agent.ports import Requester
from otterquay.protocol import news


def hash_idempotency_key(key: bytes) -> int:
    """Hash an idempotency key to the number that the module knows it by; never 0, which means no key."""
    return int.from_bytes(blake3(key).digest(length=8)) or 1


def _is_same_process(entry: news.Entry, current: news.Entry | None) -> bool:
    """Whether both entries name the same process in the same state."""
    return current is not None and (current.address, current.incarnation, current.build, current.state) == (
        entry.address,
        entry.incarnation,
        entry.build,
        entry.state,
    )


class Attempts(Lifecycle):
    """The attempts and probes of the runtime. `newest` is the newest stage that was posted to the module."""

    newest: it.StageNews | None = None

    def _forget(self, open_request: OpenRequest) -> None:
        raise NotImplementedError

    def _allowed_share(self, build: int) -> float:
        return share_allowed(build, self.newest, self.settings.rollout.stage_cap[0]) if self.newest else 1.0

    def _send(self, send: it.Send) -> None:
        """Start an attempt that the module has decided on, or report it as moot if it can no longer begin."""
        open_request = self.open_requests.get(send.request)
        if open_request is None:
            return self.post(it.Outcome(send.request, send.server, 0, it.Status.MOOT, 0.0, True, ()))
        attempt, open_request.attempts = open_request.attempts, open_request.attempts + 1
        entry = self.ports.list.entries.get(send.server)
        client = self._present_client(open_request)
        until = min(send.until_ms / 1e3, open_request.deadline_s) if send.until_ms > 0 else open_request.deadline_s
        deliver_by = send.deliver_by_ms / 1e3
        is_late = min(until, deliver_by) <= self._now()
        if client is None or entry is None or is_late or attempt >= self.settings.limits.max_attempts:
            over = client is None
            return self.post(it.Outcome(send.request, send.server, attempt, it.Status.MOOT, 0.0, over, ()))
        self._begin(open_request, client, entry, attempt, until, deliver_by)

    def _present_client(self, open_request: OpenRequest) -> Requester | None:
        """Return the client of a request, or None if it has disconnected, also if that is not read yet."""
        client = open_request.client
        if client and (self.phase is Phase.CLOSED or client.has_left()):
            self.log.debug("client_left_unread", request=open_request.number)
            return None
        return client

    def _begin(
        self,
        open_request: OpenRequest,
        client: Requester,
        entry: news.Entry,
        attempt: int,
        until: float,
        deliver_by: float,
    ) -> None:
        """Start the exchange of an attempt with the server of a list entry."""
        request, server, build = open_request.number, entry.server, entry.build
        tag, share_at_decision = self.ports.appliance_protocol.tag(request, attempt), self._allowed_share(build)

        def build_payload() -> bytes | None:
            """Return the request with its remaining time; None if the decision no longer holds."""
            # the attempt is registered only if it had to wait for a connection; otherwise nothing has changed yet
            waited = attempt in open_request.open_attempts
            if waited and (
                client.has_left()
                or self._allowed_share(build) < share_at_decision
                or not _is_same_process(entry, self.ports.list.entries.get(server))
            ):
                self.log.info("attempt_withheld", request=request, attempt=attempt, server=server)
                return None
            self.counts["attempts"] += 1
            return self.ports.appliance_protocol.attempt(
                open_request.request, tag, entry.address, (until - self._now()) * 1e3
            )

        def done(call: Call, end: End, answer: Any | None) -> None:
            if self.ports.fleet:
                self.ports.fleet.attempt_ended(
                    entry,
                    open_request.request.cls,
                    END_MEANINGS[end].status,
                    (self._now() - call.started) * 1e3,
                    self.ports.desk.capped(build),
                )
            self._attempt_done(open_request, server, build, attempt, call, end, answer)

        if self.ports.fleet:
            self.ports.fleet.attempt_sent(server)
        if self.ports.state_store and self.ports.desk.capped(build):
            self.ports.state_store.tried(build, open_request.request.cls)
        client.attempt(attempt + 1)
        call = self.pool.call(entry.address, tag, build_payload, until, done, deliver_by)
        open_request.open_attempts[attempt] = OpenAttempt(call, build, share_at_decision)
        self.log.debug("attempt", request=request, attempt=attempt, server=server, tag=tag)

    def _withhold_above_lower_caps(self) -> None:
        """Withhold the attempts at builds that are allowed less than when the attempts were decided."""
        for open_request in list(self.open_requests.values()):
            for attempt in list(open_request.open_attempts.values()):
                if self._allowed_share(attempt.build) < attempt.allowed_share:
                    self.pool.withhold(attempt.call, DeliveryLimit.CAP_FELL)

    def _attempt_done(
        self,
        open_request: OpenRequest,
        server: int,
        build: int,
        attempt: int,
        call: Call,
        end: End,
        answer: Any | None,
    ) -> None:
        open_request.open_attempts.pop(attempt, None)
        open_request.last = end
        meaning = END_MEANINGS[end]
        open_request.may_have_run |= not meaning.never_ran
        if meaning.status is not it.Status.OK:
            self.log.info(
                "attempt_ended", request=open_request.number, attempt=attempt, server=server, end=end.name.lower()
            )
        load = self.ports.appliance_protocol.load(answer) if answer and self.settings.reports_in_answers else ()
        latency = (self._now() - call.started) * 1e3
        client = open_request.client
        if meaning.status is it.Status.OK and client is not None and answer is not None:
            # post the outcome before the client's next request is accepted
            open_request.client = None
            self.counts["served"] += 1
            client.final(self.ports.appliance_protocol.final(answer))
            # the build that the attempt was sent to: another build may run under the server's number by now
            if self.ports.state_store and self.settings.rollout.one_way and open_request.request.key:
                self.ports.state_store.answered(
                    hash_idempotency_key(open_request.request.key), build, self.ports.desk.capped(build)
                )
        over = open_request.client is None
        if over:
            self._forget(open_request)
        self.post(it.Outcome(open_request.number, server, attempt, meaning.status, latency, over, load))
        if over and client is not None:
            client.settled()

    # --- probes ---
    def _probe(self, server: int) -> None:
        entry, started = self.ports.list.entries.get(server), self._now()

        def done(_: Call, end: End, answer: Any | None) -> None:
            load = self.ports.appliance_protocol.load(answer) if answer else ()
            self.post(it.ProbeResult(server, END_MEANINGS[end].status, (self._now() - started) * 1e3, load))

        if entry is None:
            return self.post(it.ProbeResult(server, it.Status.MOOT, 0.0, ()))
        tag, payload = self.ports.appliance_protocol.probe(server, entry.address)
        until = started + self.settings.rollout.call_timeout_ms / 1e3
        self.pool.call(entry.address, tag, lambda: payload, until, done)
