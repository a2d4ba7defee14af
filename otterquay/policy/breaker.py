"""The circuit breaker: sends a bad build back at once, by errors, latency levels, late classes or slowness."""

import math
from statistics import median

from otterquay import interface as it
from otterquay.policy.evidence import Evidence
from otterquay.policy.scoring import tail
from otterquay.policy.state import BIN_MS, POOL_BINS, SERIES_BINS, Server

# Error share over the usual one at which the breaker may trip: half of the five
# percentage points that the design prescribes.
ERROR_MARGIN = 0.025
# Error share that is put down to chance.
CHANCE_ERROR_SHARE = 0.01
# The breaker trips only on errors that are rarer than this by chance.
MAX_FALSE_TRIP_PROBABILITY = 0.001
# Late bins in a row that trip the breaker. Prescribed by the published design.
TRIP_LATE_BINS = 3
# Standard deviations by which a level must be off.
LEVEL_SIGMAS = 2.3
# Part of the machines expected to fail at a failing build that must fail for errors to count as widespread.
MIN_FAILING_SPREAD = 0.6
# Where machines of the earlier build fail too, the breaker needs this many failing machines of the trial, and this
# multiple of the usual errors.
MIN_FAILING_MACHINES = 3
# Latencies that a level needs.
MIN_LEVEL_LATENCIES = 20
# Log ratio of the trial's level to the earlier build's above which the breaker trips.
TRIP_LEVEL_LOG = math.log(1.8)
# Largest log ratio that the log shows as a factor.
MAX_SHOWN_LEVEL_LOG = math.log(1e9)
# Variance of one log latency, and of one server's mean log latency.
LATENCY_VARIANCE = 0.5
SERVER_VARIANCE = 0.08
# Log ratio to the usual latency above which all servers count as slower; no vote on is cast meanwhile.
SLOWER_LOG = math.log(1.4)
# Such bins in a row after which the build goes back.
TRIP_SLOWER_BINS = 14


class Breaker(Evidence):
    """Tells why a build must go back. Prescribed by the published design, with more certainty required here."""

    def _breaker(self, trial: list[Server], earlier: list[Server], own_outcomes: float) -> str:
        """Return the reason to send the build back, or an empty string."""
        trial_servers = [s for s in self.servers.values() if s.entry.build == self.stage_news.build]
        known_errors, total_errors = (
            [s.errors for s in trial_servers if s.outcomes] or [0],
            self._totals("own", POOL_BINS)[0][-1][1],
        )
        # A few failing machines do not make a failing build, which would fail on most machines alike.
        failing = sum(x > 0 for x in known_errors)
        most_fail = failing >= max(
            2, MIN_FAILING_SPREAD * len(known_errors) * (1 - (1 - 1 / len(known_errors)) ** sum(known_errors))
        )
        # Where most errors were seen by peers only, they happened elsewhere, too.
        self.errors_widespread = len(trial_servers) == 1 or 2 * sum(known_errors) < total_errors or most_fail
        for name, span in self.pools:
            rows, (*_, level_n, trial_sum, earlier_sum) = self._totals(name, span)
            # Of many agents that each judge on their own evidence, one would err by chance, so each must be surer.
            judging = (
                max(self.settings.agents, 1) if name == "own" and self.settings.me not in self.evaluators else 1
            )
            for cls, (n, errors, old_n, old_errors) in enumerate(rows):
                # Without earlier servers the last baseline stays. Prescribed by the published design.
                if old_n >= MIN_LEVEL_LATENCIES:
                    self.usual_error_shares[name, span, cls] = (old_errors + 0.5) / (old_n + 1)
                usual = max(
                    self.usual_error_shares.get((name, some_span, cls), CHANCE_ERROR_SHARE)
                    for some_span in (POOL_BINS, SERIES_BINS)
                )
                # While machines of the earlier build fail too, most of the trial's must fail, and far more often.
                clearly_worse = (
                    judging == 1
                    and errors > MIN_FAILING_MACHINES * usual * n
                    and most_fail
                    and failing >= MIN_FAILING_MACHINES
                )
                if (
                    total_errors > 1.5
                    and (clearly_worse or (self.errors_widespread and usual <= CHANCE_ERROR_SHARE))
                    and errors > max(1.5, (usual + ERROR_MARGIN) * n)
                    and tail(max(n, errors), errors, usual + CHANCE_ERROR_SHARE)
                    < MAX_FALSE_TRIP_PROBABILITY / judging
                ):
                    return f"errors {name} class {cls}: {errors:.0f} of {n:.0f}, usual {usual:.3f}"
            if self.stage_news.phase is it.Phase.TRIAL and trial and earlier and level_n >= MIN_LEVEL_LATENCIES:
                # Idle earlier servers answer quicker than usual and are no measure. A higher level counts twice.
                trial_level, earlier_level = trial_sum / level_n, 2 * max(earlier_sum / level_n, 0.0)
                warm = sum(self._age(s) > self.settings.rules.cold_ms + 2 * BIN_MS for s in trial)
                noise = math.sqrt(2 * LATENCY_VARIANCE / level_n + SERVER_VARIANCE / max(warm, 1))
                if (
                    trial_level - earlier_level - math.sqrt(LEVEL_SIGMAS**2 + 2 * math.log(judging)) * noise
                    > TRIP_LEVEL_LOG
                ):
                    factor = math.exp(min(trial_level - earlier_sum / level_n, MAX_SHOWN_LEVEL_LOG))
                    return f"level {name}: {factor:.2f} times earlier, {level_n:.0f} each"
        late_classes = [
            c
            for c, cls in enumerate(self.settings.classes if own_outcomes >= 2 * self.class_count else ())
            if self._median_latency(trial, c) > cls.aim_ms >= self._median_latency(earlier, c) > 0
        ]
        self.late_bins = self.late_bins + 1 if late_classes and self.stage_news.phase is it.Phase.TRIAL else 0
        # Numbers and sums of log latencies over the usual latency of the time before the trial.
        trial_n, trial_sum, earlier_n, earlier_sum = self._totals("own", SERIES_BINS)[1][:4]
        # A good build must not be held for faults of the earlier one: what slows all servers slows the trial's,
        # too, and an earlier build that fails where the trial does not must be replaced. `n` may be 0, as time-outs
        # count as levels only.
        n, errors, old_n, old_errors = self._totals("own", POOL_BINS)[0][-1]
        trial_is_better = trial_n >= MIN_LEVEL_LATENCIES and (
            trial_sum / trial_n < SLOWER_LOG / 2 or old_errors * n > (errors + 2 + ERROR_MARGIN * n) * old_n
        )
        is_slower = (
            self.stage_news.phase is it.Phase.TRIAL
            and earlier_n >= MIN_LEVEL_LATENCIES
            and earlier_sum / earlier_n > SLOWER_LOG
            and not trial_is_better
        )
        # Once the earlier servers have gone, only their slowest attempts still end, which are no measure.
        self.slower_bins = self.slower_bins + 1 if is_slower and earlier else 0
        slower_reason = (
            "all slower since it came" if self.stage_news.stage and self.slower_bins >= TRIP_SLOWER_BINS else ""
        )
        return f"late class {late_classes[0]}" if self.late_bins >= TRIP_LATE_BINS else slower_reason

    def _median_latency(self, group: list[Server], cls: int) -> float:
        """Median over servers of the last latency in their series; 0 where none has one."""
        return median([s.series[2 * cls + 1][-1] for s in group if 2 * cls + 1 in s.series] or [0.0])
