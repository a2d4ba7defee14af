"""What outcomes, complaints, tallies and other agents show of servers and builds."""

import math
import struct

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.scoring import distance
from otterquay.policy.state import BIN_MS, LOW_WORTH_LIMIT_PART, PAIRS_PER_BIN, UNRUN, Attempt, Server

USUAL_LEARNING_RATE, QUICK_AIM_PART, TARDY_AIM_PART = (
    0.03,
    0.35,
    0.6,
)  # rate of the usual; parts of the aim: quicker answers add to a bound
LIMIT_CUT_FACTOR, MIN_LIMIT_CUT_INTERVAL_MS = 0.75, 100.0  # on open work, tardier ones take away, so often at most
MIN_NOTE_OUTCOMES, MAX_NOTE_WAIT_MS = 8.0, 2000.0  # outcomes, time a note waits for
NOTE_HEADER = struct.Struct("<BHB")  # version, build, classes; then the evidence row as floats


class Evidence(Rules):  # by server and class in series, by build in rows
    def _add_evidence(self, row: list[float], build: int, at: int, *values: float) -> None:  # at a class or levels
        if build <= self.stage_news.build:
            for i, value in enumerate(values, at + len(values) * (build < self.stage_news.build)):
                row[i] += value

    def _record_outcome(self, server: Server, cls: int, value: float, outcomes: int) -> None:
        server.bin_latencies.setdefault(cls, []).append(value)
        self._add_evidence(self.own_row, server.entry.build, 4 * cls, outcomes, value != value)

    def _learn(self, attempt: Attempt, status: it.Status, latency: float) -> None:
        server, cls, good = attempt.server, attempt.cls, status is it.Status.OK
        aim, build = self.settings.classes[cls].aim_ms, server.entry.build
        if status in (it.Status.CANCELLED, it.Status.MOOT) or self.now == self.stalled_at:
            return
        server.health += (good - server.health) * (0.5 if status in UNRUN else 0.2)
        if good and latency < QUICK_AIM_PART * aim:
            full = (
                server.concurrency_limit <= 1.0
                or len(server.open_attempts) >= LOW_WORTH_LIMIT_PART * server.concurrency_limit
            )
            server.concurrency_limit += 0.5 * full
        elif (
            latency > TARDY_AIM_PART * aim or status in UNRUN
        ) and self.now - server.limit_cut_at > MIN_LIMIT_CUT_INTERVAL_MS:
            server.limit_cut_at = self.now
            server.concurrency_limit = max(
                min(server.concurrency_limit, 2.0 * len(server.open_attempts) + 2.0) * LIMIT_CUT_FACTOR, 1.0
            )
        if good or status is it.Status.CONNECT_FAILED:
            server.connected_at = self.now if good else -math.inf
        self.refusal_share += ((status is it.Status.CONNECT_FAILED) - self.refusal_share) * 0.1
        if good or status is it.Status.TIMEOUT:
            log = math.log(latency / self.usual_latency_ms[cls])
            server.slowness += (min(math.exp(log), 8.0) - server.slowness) * 0.1
            if good and self.stage_news.phase is not it.Phase.TRIAL:  # on trial, the usual stays what it was before
                self.usual_sample_count[cls] += 1  # learnt quickly at first: a quiet agent has few
                self.usual_latency_ms[cls] += (latency - self.usual_latency_ms[cls]) * max(
                    USUAL_LEARNING_RATE, 1 / (self.usual_sample_count[cls] + 1)
                )
            if attempt.sent_at - server.started_at > self.settings.rules.cold_ms + 2 * BIN_MS:  # cold, any is slow
                self._add_evidence(self.own_row, build, 4 * self.class_count, 1.0, log)
                self.last_warm_success_at = self.now if good else self.last_warm_success_at
        if good or status is it.Status.ERROR:  # lost connections and full queues tell of machines, not builds
            self._record_outcome(server, cls, latency if good else math.nan, 1)

    def _complaint(self, event: it.Complaint) -> None:
        server = self.servers.get(event.server)  # a wrong answer was counted as good when it passed
        if server and self.now - event.age_ms >= server.listed_at:  # else one before it, of this id, gave it
            self._record_outcome(server, event.cls, math.nan, 0)

    def _tally(self, event: it.Tally) -> None:
        when, good = self.now - event.age_ms, (event.attempts - event.failures) * (event.mean_ms > 0)
        self._add_evidence(self.tally_row, event.build, 4 * event.cls, event.attempts, event.failures)
        if event.build < self.stage_news.build:
            self.earlier_tallies[event.cls] = when, good, event.mean_ms
        # level against the earlier build's of the class and time: what slows all or one class is no build's
        then, old, old_ms = self.earlier_tallies.get(event.cls, (-math.inf, 0, 0.0))
        cold, n = self.settings.rules.cold_ms + self.rollout.tally_ms + event.age_ms, min(good, old)
        if self.latest_start is None:  # once a list, not once a tally
            self.latest_start = max((s.started_at for s in self.servers.values() if s.ready), default=0.0)
        warm = self.latest_start <= 0 or self.now - self.latest_start > cold
        if event.build == self.stage_news.build and warm and n > 0 and when - then < 1.5 * self.rollout.tally_ms:
            self._add_evidence(
                self.tally_row, event.build, 4 * self.class_count, n, n * math.log(event.mean_ms / old_ms), n, 0.0
            )

    def _totals(self, name: str, span: int) -> tuple[list[list[float]], list[float]]:  # classes, all; levels
        sums = self.pools[name, span]
        rows = [sums[4 * c : 4 * c + 4] for c in range(self.class_count)]
        return [*rows, [sum(sums[i : 4 * self.class_count : 4]) for i in range(4)]], sums[4 * self.class_count :]

    def _peermessage(self, event: it.PeerMessage) -> None:  # counts like our own, however late
        fits = len(event.data) == NOTE_HEADER.size + 4 * len(self.own_row)
        if fits and NOTE_HEADER.unpack_from(event.data) == (1, self.stage_news.build, self.class_count):
            row = struct.unpack_from(f"<{len(self.own_row)}f", event.data, NOTE_HEADER.size)
            if all(map(math.isfinite, row)) and min(row[: 4 * self.class_count]) >= 0:
                self.peer_row = [x + y for x, y in zip(self.peer_row, row, strict=True)]

    def _share_evidence(self) -> None:  # evidence on the build judged goes to the judges, each piece once
        self.unsent_row = [x + y for x, y in zip(self.unsent_row, self.own_row, strict=True)]
        if sum(self.unsent_row[: 4 * self.class_count : 2]) < MIN_NOTE_OUTCOMES and self.now < self.next_note_at:
            return
        note = NOTE_HEADER.pack(1, self.stage_news.build, self.class_count) + struct.pack(
            f"<{len(self.unsent_row)}f", *self.unsent_row
        )
        if any(any(self.unsent_row[4 * c : 4 * c + 2]) for c in range(self.class_count)) and len(note) <= 256:
            self.actions.extend(it.TellPeers(peer, note) for peer in self.evaluators if peer != self.settings.me)
        self.unsent_row, self.next_note_at = self.empty_row[:], self.now + MAX_NOTE_WAIT_MS

    def _pair_distances(self, ones: list[Server], others: list[Server], metric: int) -> list[float]:  # of pairs
        draw, times = self.rng.choice, PAIRS_PER_BIN if ones and others else 0
        pairs = [(draw(ones).series[metric], draw(others).series[metric]) for _ in range(times)]
        return [distance(a, b) for a, b in pairs if a is not b and min(len(a), len(b)) >= 2]
