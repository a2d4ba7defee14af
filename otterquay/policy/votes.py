"""Whether to vote on a build, and how."""

from statistics import fmean

from otterquay import interface as it
from otterquay.policy.breaker import ERROR_MARGIN, MIN_LEVEL_LATENCIES, Breaker
from otterquay.policy.scoring import settled
from otterquay.policy.state import BIN_MS, MIN_CLASS_OUTCOMES, POOL_BINS, Server

# Mean score needed for a vote on. Prescribed by the published design.
PASSING_MEAN = 0.9
# Outcomes of the trial that a vote needs. Prescribed by the published design.
MIN_TRIAL_OUTCOMES = 20
# Part of a stage's servers that must have been seen before the next step.
MIN_SERVERS_SEEN_PART = 0.7
# Lost share of the requests above which a class counts as overloaded.
OVERLOAD_LOST_SHARE = 0.2


class Voting(Breaker):
    """Collects a score per bin and votes once the scores have settled."""

    def _evaluate(
        self, scores: list[float], trial: list[Server], earlier: list[Server], own_outcomes: float
    ) -> None:
        self.judged_servers = len(trial), len(earlier)
        trip_reason = self.trip_reason = self.trip_reason or self._breaker(trial, earlier, own_outcomes)
        # A tripped breaker sets the average to zero. Prescribed by the published design.
        if scores or trip_reason:
            self.bin_scores.append(0.0 if trip_reason else fmean(scores))
        if self.trip_reason:
            self._vote(it.Verdict.BACK, self.trip_reason)
        elif self.stage_news.phase is it.Phase.TRIAL:
            mean, enough = fmean(self.bin_scores or [0.0]), self._enough_evidence(trial, earlier)
            is_settled = enough and settled(list(self.bin_scores))
            # Vote by the mean once settled. Prescribed by the published design.
            if is_settled and (mean >= PASSING_MEAN or self.rollout.control is not it.Control.ANY):
                self._vote(it.Verdict.ON if mean >= PASSING_MEAN else it.Verdict.BACK, f"mean {mean:.2f}")
            elif not enough and self.last_vote == (self.stage_news.build, self.stage_news.stage, it.Verdict.ON):
                self._vote(it.Verdict.NONE, "a change of mind")

    def _enough_evidence(self, trial: list[Server], earlier: list[Server]) -> bool:
        """Whether a fault of the trial build would have shown by now."""
        pools = [self._totals(name, POOL_BINS) for name in ("own", "tally")]
        places = len(earlier) + len(trial) * (self.rollout.replacement is it.Replacement.IN_PLACE)
        too_few_servers = (
            len(trial) < MIN_SERVERS_SEEN_PART * self.rollout.stage_share[self.stage_news.stage] * places
        )
        served_classes = [
            c
            for c, (sent, useful) in enumerate(self.sent_and_useful[: self.class_count])
            if useful >= (1 - OVERLOAD_LOST_SHARE) * sent
        ]
        overloaded = (
            not served_classes
            or min(old_errors / max(old_n, 1) for _, _, old_n, old_errors in pools[1][0]) > OVERLOAD_LOST_SHARE
        )
        failing = self.errors_widespread and any(
            errors > max(1.5, 2 * ERROR_MARGIN * n, 2 * old_errors / max(old_n, 1) * n)
            for rows, _ in pools
            for n, errors, old_n, old_errors in rows
        )
        # A class that is shed brings no outcomes, so only served classes must have been seen.
        min_outcomes = MIN_CLASS_OUTCOMES * (1 + self.stage_news.stage)
        seen = any(
            rows[-1][0] >= MIN_TRIAL_OUTCOMES and all(rows[c][0] >= min_outcomes for c in served_classes)
            for rows, _ in pools
        )
        trial_n, _, earlier_n, earlier_sum, *_ = pools[0][1]
        # After the first stage, warm latencies of the trial are needed where the earlier build has them.
        lacks_levels = self.stage_news.stage and earlier_n >= MIN_LEVEL_LATENCIES > trial_n
        # No wait after a start where the earlier build answers well within the aim: that is no overload.
        settling = self.now < self.settle_until and not (earlier_n >= MIN_LEVEL_LATENCIES and earlier_sum <= 0)
        return seen and not (
            too_few_servers or lacks_levels or overloaded or failing or self.slower_bins or settling
        )

    def _vote(self, verdict: it.Verdict, why: str) -> None:
        """Cast a vote by a random draw, once per lifetime of a vote. Prescribed by the published design."""
        vote = self.stage_news.build, self.stage_news.stage, verdict
        stands = self.last_vote == vote and self.now - self.last_vote_at < self.rollout.vote_life_ms
        if stands or (verdict is it.Verdict.ON and self.rollout.control is it.Control.TIMER):
            return
        self.last_vote, self.last_vote_at = vote, self.now
        # Only evaluators vote on; a draw over all agents would leave a good build without a vote for long.
        voters = len(self.evaluators) if self.settings.me in self.evaluators else self.settings.agents
        # On average, all voters together use at most half of the platform's call rate.
        drawn = self.rng.random() * 2000 * voters < self.rollout.calls_per_s * self.rollout.vote_life_ms
        if drawn:
            self.actions.append(it.CastVote(*vote))
        vote_text = f"vote {verdict.name}" if drawn else f"no vote {verdict.name} by the draw"
        self.actions.append(it.Log(f"build {vote[0]} stage {vote[1]}: {vote_text} on {why}; {self._vote_basis()}"))

    def _vote_basis(self) -> str:
        """Return what a vote rests on, for the log: the time in the stage, servers, scores and evidence."""
        trial_servers, earlier_servers = self.judged_servers
        scores = " ".join(f"{score:.2f}" for score in self.bin_scores) or "none"
        parts = [
            f"{(self.now - self.stage_began_at) / 1000:.1f} s into the stage",
            f"{trial_servers} servers on trial and {earlier_servers} earlier",
            f"scores {scores} with {self.compared_pairs} pairs in this bin",
            *(self._pool_text(name, span) for name, span in self.pools),
        ]
        return "; ".join(parts)

    def _pool_text(self, name: str, span: int) -> str:
        """Return a pool for the log, the trial's figures before those of earlier builds.

        They are the errors of the outcomes by class and in all, and the mean log latency over the usual one.
        """
        rows, (trial_n, trial_sum, earlier_n, earlier_sum, *_) = self._totals(name, span)
        counts = (f"{errors:.0f}/{n:.0f} {old_errors:.0f}/{old_n:.0f}" for n, errors, old_n, old_errors in rows)
        return (
            f"{name} over {span * BIN_MS / 1000:.0f} s: errors {', '.join(counts)}, "
            f"log level {trial_sum / max(trial_n, 1.0):.2f} of {trial_n:.0f} "
            f"{earlier_sum / max(earlier_n, 1.0):.2f} of {earlier_n:.0f}"
        )
