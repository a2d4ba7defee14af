"""Evidence on servers and builds from outcomes, complaints, tallies and messages of other agents."""

import math
import struct

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.scoring import distance
from otterquay.policy.state import BIN_MS, LOW_WORTH_LIMIT_PART, PAIRS_PER_BIN, UNRUN, Attempt, Server

# Learning rate of the usual latency.
USUAL_LEARNING_RATE = 0.03
# Parts of the aim: a quicker answer raises the server's concurrency limit, a slower one lowers it.
QUICK_AIM_PART = 0.35
TARDY_AIM_PART = 0.6
# Factor by which the concurrency limit is cut, and the least time between two cuts.
LIMIT_CUT_FACTOR = 0.75
MIN_LIMIT_CUT_INTERVAL_MS = 100.0
# A note is sent with this many outcomes, or after this time with fewer.
MIN_NOTE_OUTCOMES = 8.0
MAX_NOTE_WAIT_MS = 2000.0
# Header of a note: format version, build, number of classes. The evidence row follows as floats.
NOTE_HEADER = struct.Struct("<BHB")


class Evidence(Rules):
    """Keeps evidence by server and class in series, and by build in evidence rows (see `AgentState`)."""

    def _add_evidence(self, row: list[float], build: int, at: int, *values: float) -> None:
        """Add values to a row, at a class or at the levels; values of earlier builds follow the trial's."""
        if build <= self.stage_news.build:
            for i, value in enumerate(values, at + len(values) * (build < self.stage_news.build)):
                row[i] += value

    def _record_outcome(self, server: Server, cls: int, value: float, outcomes: int) -> None:
        """Record a latency, or NaN for an error; `outcomes` is 0 where the outcome has been counted before."""
        server.bin_latencies.setdefault(cls, []).append(value)
        self._add_evidence(self.own_row, server.entry.build, 4 * cls, outcomes, value != value)

    def _learn(self, attempt: Attempt, status: it.Status, latency: float) -> None:
        """Update what is known of the server and the build from the outcome of an attempt."""
        server, cls, good = attempt.server, attempt.cls, status is it.Status.OK
        aim, build = self.settings.classes[cls].aim_ms, server.entry.build
        if status in (it.Status.CANCELLED, it.Status.MOOT) or self.now == self.stalled_at:
            return
        server.health += (good - server.health) * (0.5 if status in UNRUN else 0.2)
        if good and latency < QUICK_AIM_PART * aim:
            limit_used = (
                server.concurrency_limit <= 1.0
                or len(server.open_attempts) >= LOW_WORTH_LIMIT_PART * server.concurrency_limit
            )
            server.concurrency_limit += 0.5 * limit_used
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
            log_ratio = math.log(latency / self.usual_latency_ms[cls])
            server.slowness += (min(math.exp(log_ratio), 8.0) - server.slowness) * 0.1
            # During a trial the usual latency stays as it was before.
            if good and self.stage_news.phase is not it.Phase.TRIAL:
                # It is learnt quickly at first, as a quiet agent has few answers.
                self.usual_sample_count[cls] += 1
                self.usual_latency_ms[cls] += (latency - self.usual_latency_ms[cls]) * max(
                    USUAL_LEARNING_RATE, 1 / (self.usual_sample_count[cls] + 1)
                )
            # Any cold server is slow, so only latencies of warm ones count as levels.
            if attempt.sent_at - server.started_at > self.settings.rules.cold_ms + 2 * BIN_MS:
                self._add_evidence(self.own_row, build, 4 * self.class_count, 1.0, log_ratio)
                self.last_warm_success_at = self.now if good else self.last_warm_success_at
        # Lost connections and full queues are evidence on machines, not on builds.
        if good or status is it.Status.ERROR:
            self._record_outcome(server, cls, latency if good else math.nan, 1)

    def _complaint(self, event: it.Complaint) -> None:
        # A wrong answer was counted as a good outcome when it passed. An answer older than the server's entry in
        # the list was given by an earlier server with this id.
        server = self.servers.get(event.server)
        if server and self.now - event.age_ms >= server.listed_at:
            self._record_outcome(server, event.cls, math.nan, 0)

    def _tally(self, event: it.Tally) -> None:
        counted_at, good = self.now - event.age_ms, (event.attempts - event.failures) * (event.mean_ms > 0)
        self._add_evidence(self.tally_row, event.build, 4 * event.cls, event.attempts, event.failures)
        if event.build < self.stage_news.build:
            self.earlier_tallies[event.cls] = counted_at, good, event.mean_ms
        # The level is set against the earlier build's of the same class and time: what slows all builds or one
        # class is no fault of the trial.
        earlier_counted_at, earlier_good, earlier_mean_ms = self.earlier_tallies.get(event.cls, (-math.inf, 0, 0.0))
        cold, n = self.settings.rules.cold_ms + self.rollout.tally_ms + event.age_ms, min(good, earlier_good)
        # Computed once per server list, not once per tally.
        if self.latest_start is None:
            self.latest_start = max((s.started_at for s in self.servers.values() if s.ready), default=0.0)
        warm = self.latest_start <= 0 or self.now - self.latest_start > cold
        if (
            event.build == self.stage_news.build
            and warm
            and n > 0
            and counted_at - earlier_counted_at < 1.5 * self.rollout.tally_ms
        ):
            self._add_evidence(
                self.tally_row,
                event.build,
                4 * self.class_count,
                n,
                n * math.log(event.mean_ms / earlier_mean_ms),
                n,
                0.0,
            )

    def _totals(self, name: str, span: int) -> tuple[list[list[float]], list[float]]:
        """Return a pool's counts (a row per class, then the sum over classes) and its levels."""
        sums = self.pools[name, span]
        rows = [sums[4 * c : 4 * c + 4] for c in range(self.class_count)]
        return [*rows, [sum(sums[i : 4 * self.class_count : 4]) for i in range(4)]], sums[4 * self.class_count :]

    def _peermessage(self, event: it.PeerMessage) -> None:
        # A peer's evidence counts like the agent's own, however late it comes.
        fits = len(event.data) == NOTE_HEADER.size + 4 * len(self.own_row)
        if fits and NOTE_HEADER.unpack_from(event.data) == (1, self.stage_news.build, self.class_count):
            row = struct.unpack_from(f"<{len(self.own_row)}f", event.data, NOTE_HEADER.size)
            if all(map(math.isfinite, row)) and min(row[: 4 * self.class_count]) >= 0:
                self.peer_row = [x + y for x, y in zip(self.peer_row, row, strict=True)]

    def _share_evidence(self) -> None:
        """Send the evidence on the newest build to the evaluators, each piece once."""
        self.unsent_row = [x + y for x, y in zip(self.unsent_row, self.own_row, strict=True)]
        few_outcomes = sum(self.unsent_row[: 4 * self.class_count : 2]) < MIN_NOTE_OUTCOMES
        # Errors of the trial do not wait: the evaluators would vote on meanwhile.
        has_trial_errors = any(self.unsent_row[1 : 4 * self.class_count : 4])
        if few_outcomes and not has_trial_errors and self.now < self.next_note_at:
            return
        note = NOTE_HEADER.pack(1, self.stage_news.build, self.class_count) + struct.pack(
            f"<{len(self.unsent_row)}f", *self.unsent_row
        )
        # A message between agents holds at most 256 bytes.
        if any(any(self.unsent_row[4 * c : 4 * c + 2]) for c in range(self.class_count)) and len(note) <= 256:
            self.actions.extend(it.TellPeers(peer, note) for peer in self.evaluators if peer != self.settings.me)
        self.unsent_row, self.next_note_at = self.empty_row[:], self.now + MAX_NOTE_WAIT_MS

    def _pair_distances(self, first: list[Server], second: list[Server], metric: int) -> list[float]:
        """Return the distances in a metric of random pairs, one server from each list."""
        draw, count = self.rng.choice, PAIRS_PER_BIN if first and second else 0
        pairs = [(draw(first).series[metric], draw(second).series[metric]) for _ in range(count)]
        return [distance(a, b) for a, b in pairs if a is not b and min(len(a), len(b)) >= 2]
