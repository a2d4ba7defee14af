"""When a build on trial is sent back at once: errors, levels, late classes, all slower since it came."""

import math
from statistics import median

from otterquay import interface as it
from otterquay.policy.evidence import Evidence
from otterquay.policy.scoring import tail
from otterquay.policy.state import BIN_MS, POOL_BINS, SERIES_BINS, Server

ERROR_MARGIN, CHANCE_ERROR_SHARE, MAX_FALSE_TRIP_PROBABILITY = (
    0.025,
    0.01,
    0.001,
)  # DESIGN's five points halved; laid to chance; sure if rarer
TRIP_LATE_BINS, LEVEL_SIGMAS, MIN_FAILING_SPREAD, MIN_FAILING_MACHINES = (
    3,
    2.3,
    0.6,
    3,
)  # DESIGN: late bins that break; sure; machines hit
MIN_LEVEL_LATENCIES, TRIP_LEVEL_LOG, LATENCY_VARIANCE, SERVER_VARIANCE = (
    20,
    math.log(1.8),
    0.5,
    0.08,
)  # latencies; slower; variances
SLOWER_LOG, TRIP_SLOWER_BINS = math.log(1.4), 14  # all slower by this: no step on, so long: back


class Breaker(Evidence):  # says why, or nothing
    def _breaker(self, trial: list[Server], earlier: list[Server], own: float) -> str:  # DESIGN, but surer
        mates = [s for s in self.servers.values() if s.entry.build == self.stage_news.build]
        known, total = [s.errors for s in mates if s.outcomes] or [0], self._totals("own", POOL_BINS)[0][-1][1]
        hit = sum(x > 0 for x in known)  # failing machines are no failing build, which would hit most alike
        most = hit >= max(2, MIN_FAILING_SPREAD * len(known) * (1 - (1 - 1 / len(known)) ** sum(known)))
        self.errors_widespread = len(mates) == 1 or 2 * sum(known) < total or most  # what peers saw, was elsewhere
        for name, span in self.pools:
            rows, (*_, n1, s1, s0) = self._totals(name, span)
            # of many that judge on evidence of their own, one errs by chance
            many = max(self.settings.agents, 1) if name == "own" and self.settings.me not in self.evaluators else 1
            for cls, (n, x, old_n, old_x) in enumerate(rows):
                if old_n >= MIN_LEVEL_LATENCIES:  # DESIGN: lacking earlier servers, the last baseline stays
                    self.usual_error_shares[name, span, cls] = (old_x + 0.5) / (old_n + 1)
                usual = max(
                    self.usual_error_shares.get((name, some, cls), CHANCE_ERROR_SHARE)
                    for some in (POOL_BINS, SERIES_BINS)
                )
                # while machines of the earlier build fail too, most of the trial's must fail far more
                sure = many == 1 and x > MIN_FAILING_MACHINES * usual * n and most and hit >= MIN_FAILING_MACHINES
                if (
                    total > 1.5
                    and (sure or (self.errors_widespread and usual <= CHANCE_ERROR_SHARE))
                    and x > max(1.5, (usual + ERROR_MARGIN) * n)
                    and tail(max(n, x), x, usual + CHANCE_ERROR_SHARE) < MAX_FALSE_TRIP_PROBABILITY / many
                ):
                    return f"errors {name} class {cls}: {x:.0f} of {n:.0f}, usual {usual:.3f}"
            if self.stage_news.phase is it.Phase.TRIAL and trial and earlier and n1 >= MIN_LEVEL_LATENCIES:
                m1, m0 = s1 / n1, 2 * max(s0 / n1, 0.0)  # idle ones are no measure
                warm = sum(self._age(s) > self.settings.rules.cold_ms + 2 * BIN_MS for s in trial)
                noise = math.sqrt(2 * LATENCY_VARIANCE / n1 + SERVER_VARIANCE / max(warm, 1))
                if m1 - m0 - math.sqrt(LEVEL_SIGMAS**2 + 2 * math.log(many)) * noise > TRIP_LEVEL_LOG:
                    return f"level {name}: {math.exp(m1 - s0 / n1):.2f} times earlier, {n1:.0f} each"
        late = [
            c
            for c, cls in enumerate(self.settings.classes if own >= 2 * self.class_count else ())
            if self._median_latency(trial, c) > cls.aim_ms >= self._median_latency(earlier, c) > 0
        ]
        self.late_bins = self.late_bins + 1 if late and self.stage_news.phase is it.Phase.TRIAL else 0
        n1, s1, n0, s0 = self._totals("own", SERIES_BINS)[1][:4]  # log latency over the usual of before
        # against a good build held for what the earlier one does: what slows all slows the trial's servers,
        # too, and an earlier build that fails where the trial does not must be replaced
        n, x, old_n, old_x = self._totals("own", POOL_BINS)[0][-1]  # n may be 0: time-outs are levels only
        spared = n1 >= MIN_LEVEL_LATENCIES and (
            s1 / n1 < SLOWER_LOG / 2 or old_x * n > (x + 2 + ERROR_MARGIN * n) * old_n
        )
        worse = (
            self.stage_news.phase is it.Phase.TRIAL
            and n0 >= MIN_LEVEL_LATENCIES
            and s0 / n0 > SLOWER_LOG
            and not spared
        )
        self.slower_bins = self.slower_bins + 1 if worse and earlier else 0  # of those gone only stragglers end
        slower = (
            "all slower since it came" if self.stage_news.stage and self.slower_bins >= TRIP_SLOWER_BINS else ""
        )
        return f"late class {late[0]}" if self.late_bins >= TRIP_LATE_BINS else slower

    def _median_latency(self, group: list[Server], cls: int) -> float:
        return median([s.series[2 * cls + 1][-1] for s in group if 2 * cls + 1 in s.series] or [0.0])
