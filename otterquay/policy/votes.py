"""Whether to vote on a build, and how."""

from statistics import fmean

from otterquay import interface as it
from otterquay.policy.breaker import ERROR_MARGIN, MIN_LEVEL_LATENCIES, Breaker
from otterquay.policy.scoring import settled
from otterquay.policy.state import MIN_CLASS_OUTCOMES, POOL_BINS, Server

PASSING_MEAN, MIN_TRIAL_OUTCOMES = 0.9, 20  # DESIGN: mean to go on; trial outcomes for a vote
MIN_SERVERS_SEEN_PART, JAM_LOST_SHARE = 0.7, 0.2  # a stage's servers seen before a step; part lost


class Voting(Breaker):  # points of bins until they have settled
    def _evaluate(self, scores: list[float], trial: list[Server], earlier: list[Server], own: float) -> None:
        trip = self.trip_reason = self.trip_reason or self._breaker(trial, earlier, own)
        if scores or trip:  # DESIGN: a breaker zeroes the average
            self.bin_scores.append(0.0 if trip else fmean(scores))
        if self.trip_reason:
            self._vote(it.Verdict.BACK, self.trip_reason)
        elif self.stage_news.phase is it.Phase.TRIAL:
            mean, enough = fmean(self.bin_scores or [0.0]), self._enough_evidence(trial, earlier)
            sure = enough and settled(list(self.bin_scores))
            if sure and (mean >= PASSING_MEAN or self.rollout.control is not it.Control.ANY):  # DESIGN
                self._vote(it.Verdict.ON if mean >= PASSING_MEAN else it.Verdict.BACK, f"mean {mean:.2f}")
            elif not enough and self.last_vote == (self.stage_news.build, self.stage_news.stage, it.Verdict.ON):
                self._vote(it.Verdict.NONE, "a change of mind")

    def _enough_evidence(self, trial: list[Server], earlier: list[Server]) -> bool:  # would failure have shown?
        pools = [self._totals(name, POOL_BINS) for name in ("own", "tally")]
        places = len(earlier) + len(trial) * (self.rollout.replacement is it.Replacement.IN_PLACE)
        unseen = len(trial) < MIN_SERVERS_SEEN_PART * self.rollout.stage_share[self.stage_news.stage] * places
        works = [
            c
            for c, (n, got) in enumerate(self.sent_and_useful[: self.class_count])
            if got >= (1 - JAM_LOST_SHARE) * n
        ]
        jam = not works or min(old_x / max(old_n, 1) for _, _, old_n, old_x in pools[1][0]) > JAM_LOST_SHARE
        failing = self.errors_widespread and any(
            x > max(1.5, 2 * ERROR_MARGIN * n, 2 * old_x / max(old_n, 1) * n)
            for rows, _ in pools
            for n, x, old_n, old_x in rows
        )
        least = MIN_CLASS_OUTCOMES * (1 + self.stage_news.stage)  # of a class that is shed, none can come
        seen = any(r[-1][0] >= MIN_TRIAL_OUTCOMES and all(r[c][0] >= least for c in works) for r, _ in pools)
        n1, _, n0, s0, *_ = pools[0][1]
        blind = self.stage_news.stage and n0 >= MIN_LEVEL_LATENCIES > n1  # levels are due
        settle = self.now < self.settle_until and not (
            n0 >= MIN_LEVEL_LATENCIES and s0 <= 0
        )  # well within the aim: no jam
        return seen and not (unseen or blind or jam or failing or self.slower_bins or settle)

    def _vote(self, verdict: it.Verdict, why: str) -> None:  # DESIGN: one draw each vote life
        vote = self.stage_news.build, self.stage_news.stage, verdict
        stands = self.last_vote == vote and self.now - self.last_vote_at < self.rollout.vote_life_ms
        if stands or (verdict is it.Verdict.ON and self.rollout.control is it.Control.TIMER):
            return
        self.last_vote, self.last_vote_at = vote, self.now
        # where judges alone vote on, a draw over all agents leaves a good build without a vote for long
        voters = len(self.evaluators) if self.settings.me in self.evaluators else self.settings.agents
        if self.rng.random() * 2000 * voters < self.rollout.calls_per_s * self.rollout.vote_life_ms:
            self.actions.append(it.CastVote(*vote))
            self.actions.append(it.Log(f"build {vote[0]} stage {vote[1]}: vote {verdict.name} on {why}"))
