"""Attempts and probes: what the module sends goes out, and how it ended comes back as an event.

Between a decision and the first byte a connection may have to come up, for as long as its timeout. What the
decision stood on is looked at again then: the attempt begins as decided or not at all, and is decided anew.
"""

from __future__ import annotations

from typing import Any

from blake3 import blake3

from otterquay import interface as it
from otterquay.agent.exchange import Call
from otterquay.agent.feeds import share_allowed
from otterquay.agent.lifecycle import Lifecycle, OpenRequest, Phase
from otterquay.agent.outcomes import END_MEANINGS, End
from otterquay.protocol import news


def key_of(key: bytes) -> int:
    """An idempotency key as the module knows it, never 0."""
    return int.from_bytes(blake3(key).digest(length=8)) or 1


def _same(entry: news.Entry, now: news.Entry | None) -> bool:
    """Whether an entry names the process that it named before, in the same state."""
    return now is not None and (now.address, now.incarnation, now.build, now.state) == (
        entry.address,
        entry.incarnation,
        entry.build,
        entry.state,
    )


class Attempts(Lifecycle):
    """What the runtime does for one attempt or probe. `newest` is the stage that the module was told last."""

    newest: it.StageNews | None = None

    def _forget(self, open_request: OpenRequest) -> None:
        raise NotImplementedError

    def _allowed(self, build: int) -> float:
        return share_allowed(build, self.newest, self.settings.rollout.stage_cap[0]) if self.newest else 1.0

    def _send(self, request: int, server: int, until_ms: float) -> None:
        open_request = self.open_requests.get(request)
        if open_request is None:
            return self.post(it.Outcome(request, server, 0, it.Status.MOOT, 0.0, True, ()))
        attempt, open_request.attempts = open_request.attempts, open_request.attempts + 1
        entry, now = self.ports.list.entries.get(server), self._now()
        until = min(until_ms / 1e3, open_request.deadline_s) if until_ms > 0 else open_request.deadline_s
        client = open_request.client
        if client and (self.phase is Phase.CLOSED or client.has_left()):  # its close lies unread, soon to be told
            self.log.debug("client_left_unread", request=request)
            client = None
        over = client is None
        if client is None or entry is None or until <= now or attempt >= self.settings.limits.max_attempts:
            return self.post(it.Outcome(request, server, attempt, it.Status.MOOT, 0.0, over, ()))
        address, build = entry.address, entry.build
        tag, allowed = self.ports.appliance_protocol.tag(request, attempt), self._allowed(build)

        def begin() -> bytes | None:
            """What is written, with the time that is left by then; None where what was decided holds no more."""
            waited = attempt in open_request.calls  # for a connection; else this is still the turn of the decision
            if waited and (
                client.has_left()
                or self._allowed(build) < allowed
                or not _same(entry, self.ports.list.entries.get(server))
            ):
                self.log.info("attempt_withheld", request=request, attempt=attempt, server=server)
                return None
            self.counts["attempts"] += 1
            return self.ports.appliance_protocol.attempt(
                open_request.request, tag, address, (until - self._now()) * 1e3
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
            self._done(open_request, server, build, attempt, call, end, answer)

        if self.ports.fleet:
            self.ports.fleet.attempt_sent(server)
        if self.ports.state_store and self.ports.desk.capped(build):
            self.ports.state_store.tried(build, open_request.request.cls)
        client.attempt(attempt + 1)
        open_request.calls[attempt] = self.pool.call(address, tag, begin, until, done)
        self.log.debug("attempt", request=request, attempt=attempt, server=server, tag=tag)

    def _done(
        self,
        open_request: OpenRequest,
        server: int,
        build: int,
        attempt: int,
        call: Call,
        end: End,
        answer: Any | None,
    ) -> None:
        open_request.calls.pop(attempt, None)
        open_request.last = end
        meaning = END_MEANINGS[end]
        if meaning.status is not it.Status.OK:
            self.log.info(
                "attempt_ended", request=open_request.number, attempt=attempt, server=server, end=end.name.lower()
            )
        load = self.ports.appliance_protocol.load(answer) if answer and self.settings.reports_in_answers else ()
        latency = (self._now() - call.started) * 1e3
        client = open_request.client
        if meaning.status is it.Status.OK and client is not None and answer is not None:
            # the module hears of it before the client's next request is taken
            open_request.client = None
            self.counts["served"] += 1
            client.final(self.ports.appliance_protocol.final(answer))
            # the build that the attempt was sent to: another may have taken the server's name since
            if self.ports.state_store and self.settings.rollout.one_way and open_request.request.key:
                self.ports.state_store.answered(
                    key_of(open_request.request.key), build, self.ports.desk.capped(build)
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
