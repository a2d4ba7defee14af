"""What is told: the list of servers, the stage, what a store kept over a restart."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import BIN_MS, Server

SETTLE_MS = 20000.0  # restarted agents wait


class News(Rules):  # what is new voids what was known, and forbids at once
    def _serverlist(self, news: it.ServerList) -> None:
        self.unwatched = news.kind is it.ListKind.FAILED
        if news.kind in (it.ListKind.CACHED, it.ListKind.FULL):  # whole: what it does not name is gone
            whole = {e.server for e in news.entries}
            for server in self.servers.values():
                server.ready &= server.id in whole
        for entry in news.entries:
            known = self.servers.get(entry.server)
            # a restart, or another build under a known id: what we knew of it is void and it is cold; a start
            # that is not told is no restart, nor does it make one warm that was told to be cold
            started = entry.started_ms or (known.started if known else 0.0)
            if not known or (known.entry.build, known.started) != (entry.build, started):
                # but what was sent since it started went to its present life, whatever we took it for
                old, known = known, Server(entry, self.now, self.settings.me)
                self.servers[entry.server] = known
                if old and started > 0:
                    known.send_times = [t for t in old.send_times if t >= started]
                    known.open_attempts = {leg: t for leg, t in old.open_attempts.items() if t >= started}
            known.entry, known.ready = entry, entry.state is it.ServerState.READY
        self.ranked, self.youngest = -1, None

    def _stagenews(self, news: it.StageNews) -> None:
        if news.status is not it.Status.OK or news.build < self.news.build:
            if news.status is not it.Status.OK:  # our vote may not count: vote again soon
                self.vote_at = min(self.vote_at, self.now - self.rollout.vote_life_ms + BIN_MS)
            return
        # started midway, with no usual of before, also where a store has told which builds are settled
        if (self.news.build == 0 or self.news.age_ms == math.inf) and news.phase is it.Phase.TRIAL:
            self.settle = self.now + SETTLE_MS
        old, self.news, self.ranked = self.news, news, -1
        if news.build != old.build:
            self._forget()
            # keys of a build released: all earlier servers run it, so none need be known by itself; one still
            # on trial when the next is offered has been taken off, which frees its keys
            settled = [b for b in self.key_builds.values() if b <= old.build and old.phase is it.Phase.RELEASED]
            self.floor = max(settled, default=self.floor)
            self.key_builds = {key: b for key, b in self.key_builds.items() if b >= news.build}
        if (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.points.clear()
            self.late_bins, self.worse_bins, self.last_vote = 0, 0, (0, 0, it.Verdict.NONE)
            if news.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                self.key_builds, self.floor = {}, 0

    def _restored(self, kept: it.Restored) -> None:  # against a cap or a key that each restart frees anew
        for build, cls, sent in kept.attempts:  # only forbids; may refuse too long: no asks are kept
            self.attempt_times.setdefault((build, cls), []).append(sent)
        self.key_builds.update(kept.answered)
        self.floor = max(self.floor, self.key_builds.pop(0, 0))
