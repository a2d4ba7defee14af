"""What is told: the list of servers, the stage, what a store kept over a restart."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import BIN_MS, Server

SETTLE_MS = 20000.0  # restarted agents wait


class Updates(Rules):  # what is new voids what was known, and forbids at once
    def _serverlist(self, news: it.ServerList) -> None:
        self.watch_needed = news.kind is it.ListKind.FAILED
        if news.kind in (it.ListKind.CACHED, it.ListKind.FULL):  # whole: what it does not name is gone
            whole = {e.server for e in news.entries}
            for server in self.servers.values():
                server.ready &= server.id in whole
        for entry in news.entries:
            known = self.servers.get(entry.server)
            # a restart, or another build under a known id: what we knew of it is void and it is cold; a start
            # that is not told is no restart, nor does it make one warm that was told to be cold
            started = entry.started_ms or (known.started_at if known else 0.0)
            if not known or (known.entry.build, known.started_at) != (entry.build, started):
                # but what was sent since it started went to its present life, whatever we took it for
                old, known = known, Server(entry, self.now, self.settings.me)
                self.servers[entry.server] = known
                if old and started > 0:
                    known.send_times = [t for t in old.send_times if t >= started]
                    known.open_attempts = {leg: t for leg, t in old.open_attempts.items() if t >= started}
            known.entry, known.ready = entry, entry.state is it.ServerState.READY
        self.ranked_bin, self.latest_start = -1, None

    def _stagenews(self, news: it.StageNews) -> None:
        if news.status is not it.Status.OK or news.build < self.stage_news.build:
            if news.status is not it.Status.OK:  # our vote may not count: vote again soon
                self.last_vote_at = min(self.last_vote_at, self.now - self.rollout.vote_life_ms + BIN_MS)
            return
        # started midway, with no usual of before, also where a store has told which builds are settled
        if (self.stage_news.build == 0 or self.stage_news.age_ms == math.inf) and news.phase is it.Phase.TRIAL:
            self.settle_until = self.now + SETTLE_MS
        old, self.stage_news, self.ranked_bin = self.stage_news, news, -1
        if news.build != old.build:
            self._reset_evidence()
            # keys of a build released: all earlier servers run it, so none need be known by itself; one still
            # on trial when the next is offered has been taken off, which frees its keys
            settled = [b for b in self.key_builds.values() if b <= old.build and old.phase is it.Phase.RELEASED]
            self.any_key_build = max(settled, default=self.any_key_build)
            self.key_builds = {key: b for key, b in self.key_builds.items() if b >= news.build}
        if (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.bin_scores.clear()
            self.late_bins, self.slower_bins, self.last_vote = 0, 0, (0, 0, it.Verdict.NONE)
            if news.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                self.key_builds, self.any_key_build = {}, 0

    def _restored(self, kept: it.Restored) -> None:  # against a cap or a key that each restart frees anew
        for build, cls, sent in kept.attempts:  # only forbids; may refuse too long: no asks are kept
            self.attempt_times.setdefault((build, cls), []).append(sent)
        self.key_builds.update(kept.answered)
        self.any_key_build = max(self.any_key_build, self.key_builds.pop(0, 0))
