"""The end of a bin: series roll on, evidence is told and fades, pairs are scored."""

from statistics import fmean

from otterquay import interface as it
from otterquay.policy.scoring import metric_score
from otterquay.policy.state import POOL_BINS, SERIES_BINS, recent
from otterquay.policy.votes import Voting

MIN_BASELINE_PAIRS, MIN_LISTED_MS = 20, 2000.0  # DESIGN: pairs of a baseline; servers listed later are left out
DECAY_PER_BIN, FORGET_SERVER_MS, HEALTH_RECOVERY_PER_BIN = (
    0.9,
    60000.0,
    0.04,
)  # of tries, a bin; who left is forgotten; health regained a bin


class BinProcessing(Voting):  # twice a second
    def _close_bin(self) -> None:  # roll the series, extend the baseline, share evidence, score and vote
        self.bin_count += 1
        self.sent_and_useful = [
            (tried * DECAY_PER_BIN, gain * DECAY_PER_BIN) for tried, gain in self.sent_and_useful
        ]
        self._drop_expired()
        warm = (
            self.now - self.settings.rules.fall_ms - self.settings.rules.cold_ms
        )  # started before, it is able to all
        able = sum(1.0 if s.started_at < warm else self._capacity(s) for s in self.servers.values() if s.ready)
        self.success_and_capacity = (
            self.success_and_capacity[0] * DECAY_PER_BIN + len(self.success_times),
            self.success_and_capacity[1] * DECAY_PER_BIN + able,
        )
        for server in filter(lambda s: s.series or s.bin_latencies, self.servers.values()):
            server.close_bin()
        judged = self.stage_news.build > 0 and self.stage_news.phase in (it.Phase.TRIAL, it.Phase.RELEASED)
        self._share_evidence()
        judge, own = (
            not self.evaluators or self.settings.me in self.evaluators,
            sum(self.own_row[: 4 * self.class_count : 4]),
        )
        row = [x + y for x, y in zip(self.own_row, self.peer_row, strict=True)]
        # a bin in which nothing came changes no mind; who tells its evidence votes back on it, never on
        came = any(row[1 : 4 * self.class_count : 4]) or (judge and (any(row) or any(self.tally_row)))
        for name, add in (("own", row), ("tally", self.tally_row)):  # evidence fades
            n1, s1, n0, s0 = add[
                4 * self.class_count :
            ]  # levels are set against those of the same bin, as load changes
            add = [*add, n := min(n1, n0), n * s1 / max(n1, 1.0), n * s0 / max(n0, 1.0)]
            for at in (name, POOL_BINS), (name, SERIES_BINS):
                self.pools[at] = [x * (1 - 1 / at[1]) + y for x, y in zip(self.pools[at], add, strict=True)]
        self.own_row, self.peer_row, self.tally_row = self.empty_row[:], self.empty_row[:], self.empty_row[:]
        if not came and not self.trip_reason and self.last_vote[2] is it.Verdict.NONE:
            return
        seen = [s for s in self.servers.values() if s.ready and self.now - s.listed_at >= MIN_LISTED_MS]
        trial = [s for s in seen if s.entry.build == self.stage_news.build]
        earlier = [s for s in seen if s.entry.build < self.stage_news.build]
        scores = list[float]()
        for metric, past in enumerate(self.baseline_distances if judge else ()):
            old, new = ([s for s in group if metric in s.series] for group in (earlier or trial, trial))
            found = self._pair_distances(new, old, metric)  # DESIGN: lacking earlier ones, the last baseline stays
            past.extend(self._pair_distances(old, old, metric) if earlier or not judged else ())
            if found and len(past) >= MIN_BASELINE_PAIRS:
                scores.append(metric_score(fmean(found), past))
        if judged:
            self._evaluate(scores, trial, earlier, own)

    def _drop_expired(self) -> None:  # what no rule or score asks for; days would heap it up
        since, fall = (
            self.now - self.rollout.window_ms - 2 * self.settings.tick_ms,
            self.now - self.settings.rules.fall_ms,
        )
        self.attempt_times = {at: times for at, times in self.attempt_times.items() if recent(times, since)}
        for times, least in [
            *((t, since) for t in self.request_times),
            (self.success_times, fall),
            (self.cold_send_times, fall),
        ]:
            recent(times, least)
        for server in list(self.servers.values()):
            server.health += (1 - server.health) * HEALTH_RECOVERY_PER_BIN
            server.last_ready_at = (
                self.now if server.ready else server.last_ready_at
            )  # forgotten once what it was sent faded
            if (
                not recent(server.send_times, fall)
                and not server.open_attempts
                and self.now - server.last_ready_at > FORGET_SERVER_MS
            ):
                del self.servers[server.id]
