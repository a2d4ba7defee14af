"""The end of a bin: series roll on, evidence is told and fades, pairs are scored."""

from statistics import fmean

from otterquay import interface as it
from otterquay.policy.scoring import metric_score
from otterquay.policy.state import DEEP, POOL_BINS, recent
from otterquay.policy.votes import Votes

PAIRS_LEAST, FRESH_MS = 20, 2000.0  # DESIGN: pairs of a baseline; servers listed later are left out
FADE, FORGET_SERVER_MS, HEAL = 0.9, 60000.0, 0.04  # of tries, a bin; who left is forgotten; health regained a bin


class Bins(Votes):  # twice a second
    def _close_bin(self) -> None:  # roll the series, extend the baseline, share evidence, score and vote
        self.bin_count += 1
        self.sent_and_useful = [(tried * FADE, gain * FADE) for tried, gain in self.sent_and_useful]
        self._drop_old()
        warm = (
            self.now - self.settings.rules.fall_ms - self.settings.rules.cold_ms
        )  # started before, it is able to all
        able = sum(1.0 if s.started < warm else self._able(s) for s in self.servers.values() if s.ready)
        self.bears = self.bears[0] * FADE + len(self.success_times), self.bears[1] * FADE + able
        for server in filter(lambda s: s.series or s.bin_latencies, self.servers.values()):
            server.close()
        judged = self.news.build > 0 and self.news.phase in (it.Phase.TRIAL, it.Phase.RELEASED)
        self._tell()
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
            for at in (name, POOL_BINS), (name, DEEP):
                self.pools[at] = [x * (1 - 1 / at[1]) + y for x, y in zip(self.pools[at], add, strict=True)]
        self.own_row, self.peer_row, self.tally_row = self.empty_row[:], self.empty_row[:], self.empty_row[:]
        if not came and not self.tripped and self.last_vote[2] is it.Verdict.NONE:
            return
        seen = [s for s in self.servers.values() if s.ready and self.now - s.listed >= FRESH_MS]
        trial = [s for s in seen if s.entry.build == self.news.build]
        earlier = [s for s in seen if s.entry.build < self.news.build]
        scores = list[float]()
        for metric, past in enumerate(self.baseline if judge else ()):
            old, new = ([s for s in group if metric in s.series] for group in (earlier or trial, trial))
            found = self._distances(new, old, metric)  # DESIGN: lacking earlier ones, the last baseline stays
            past.extend(self._distances(old, old, metric) if earlier or not judged else ())
            if found and len(past) >= PAIRS_LEAST:
                scores.append(metric_score(fmean(found), past))
        if judged:
            self._judge(scores, trial, earlier, own)

    def _drop_old(self) -> None:  # what no rule or score asks for; days would heap it up
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
            server.health += (1 - server.health) * HEAL
            server.left = self.now if server.ready else server.left  # forgotten once what it was sent faded
            if (
                not recent(server.send_times, fall)
                and not server.open_attempts
                and self.now - server.left > FORGET_SERVER_MS
            ):
                del self.servers[server.id]
