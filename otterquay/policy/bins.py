"""The end of a bin: closes the series, decays and shares the evidence, and scores pairs of servers."""

from statistics import fmean

from otterquay import interface as it
from otterquay.policy.scoring import metric_score
from otterquay.policy.state import POOL_BINS, SERIES_BINS, count_recent
from otterquay.policy.votes import Voting

# Pairs that a baseline needs. Prescribed by the published design.
MIN_BASELINE_PAIRS = 20
# Servers listed for a shorter time than this are left out of the scores. Prescribed by the published design.
MIN_LISTED_MS = 2000.0
# Decay per bin of the sums that decide on shedding and cold budgets.
DECAY_PER_BIN = 0.9
# A server that has left is forgotten after this time.
FORGET_SERVER_MS = 60000.0
# Part of the missing health that a server regains per bin.
HEALTH_RECOVERY_PER_BIN = 0.04


class BinProcessing(Voting):
    """The work at the end of each bin."""

    def _close_bin(self) -> None:
        """Close the series of the bin, extend the baseline, share the evidence, then score the trial and vote."""
        self.bin_count += 1
        self.sent_and_useful = [
            (sent * DECAY_PER_BIN, useful * DECAY_PER_BIN) for sent, useful in self.sent_and_useful
        ]
        self._drop_expired()
        # A server that started before this time has had full capacity throughout the overload window.
        warm_since = self.now - self.settings.rules.fall_ms - self.settings.rules.cold_ms
        capacity = sum(
            1.0 if s.started_at < warm_since else self._capacity(s) for s in self.servers.values() if s.ready
        )
        self.success_and_capacity = (
            self.success_and_capacity[0] * DECAY_PER_BIN + len(self.success_times),
            self.success_and_capacity[1] * DECAY_PER_BIN + capacity,
        )
        for server in filter(lambda s: s.series or s.bin_latencies, self.servers.values()):
            server.close_bin()
        judged = self.stage_news.build > 0 and self.stage_news.phase in (it.Phase.TRIAL, it.Phase.RELEASED)
        self._share_evidence()
        is_evaluator, own_outcomes = (
            not self.evaluators or self.settings.me in self.evaluators,
            sum(self.own_row[: 4 * self.class_count : 4]),
        )
        row = [x + y for x, y in zip(self.own_row, self.peer_row, strict=True)]
        # A bin without new evidence changes no vote. An agent that sends its evidence to others votes back on
        # it, but never on.
        has_news = any(row[1 : 4 * self.class_count : 4]) or (is_evaluator and (any(row) or any(self.tally_row)))
        for name, added in (("own", row), ("tally", self.tally_row)):
            # Levels of both builds are compared within the same bin, as the load changes over time.
            trial_n, trial_sum, earlier_n, earlier_sum = added[4 * self.class_count :]
            added = [
                *added,
                n := min(trial_n, earlier_n),
                n * trial_sum / max(trial_n, 1.0),
                n * earlier_sum / max(earlier_n, 1.0),
            ]
            for pool in (name, POOL_BINS), (name, SERIES_BINS):
                self.pools[pool] = [x * (1 - 1 / pool[1]) + y for x, y in zip(self.pools[pool], added, strict=True)]
        self.own_row, self.peer_row, self.tally_row = self.empty_row[:], self.empty_row[:], self.empty_row[:]
        if not has_news and not self.trip_reason and self.last_vote[2] is it.Verdict.NONE:
            return
        seen = [s for s in self.servers.values() if s.ready and self.now - s.listed_at >= MIN_LISTED_MS]
        trial = [s for s in seen if s.entry.build == self.stage_news.build]
        earlier = [s for s in seen if s.entry.build < self.stage_news.build]
        scores, self.compared_pairs = list[float](), 0
        for metric, baseline in enumerate(self.baseline_distances if is_evaluator else ()):
            old, new = ([s for s in group if metric in s.series] for group in (earlier or trial, trial))
            distances = self._pair_distances(new, old, metric)
            # Without servers of an earlier build the last baseline stays. Prescribed by the published design.
            baseline.extend(self._pair_distances(old, old, metric) if earlier or not judged else ())
            if distances and len(baseline) >= MIN_BASELINE_PAIRS:
                self.compared_pairs += len(distances)
                scores.append(metric_score(fmean(distances), baseline))
        if judged:
            self._evaluate(scores, trial, earlier, own_outcomes)

    def _drop_expired(self) -> None:
        """Drop what no rule or score needs any more; over days it would pile up."""
        exposure_since, overload_since = (
            self.now - self.rollout.window_ms - 2 * self.settings.tick_ms,
            self.now - self.settings.rules.fall_ms,
        )
        self.attempt_times = {
            key: times for key, times in self.attempt_times.items() if count_recent(times, exposure_since)
        }
        for times, since in [
            *((t, exposure_since) for t in self.request_times),
            (self.success_times, overload_since),
            (self.cold_send_times, overload_since),
        ]:
            count_recent(times, since)
        for server in list(self.servers.values()):
            server.health += (1 - server.health) * HEALTH_RECOVERY_PER_BIN
            server.last_ready_at = self.now if server.ready else server.last_ready_at
            # A server that has left is kept while its sends still count for a rule or an attempt is open.
            if (
                not count_recent(server.send_times, overload_since)
                and not server.open_attempts
                and self.now - server.last_ready_at > FORGET_SERVER_MS
            ):
                del self.servers[server.id]
