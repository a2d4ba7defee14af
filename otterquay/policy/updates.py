"""Updates from outside: the server list, the stage of the newest build, and what a store kept over a restart."""

import math

from otterquay import interface as it
from otterquay.policy.rules import Rules
from otterquay.policy.state import BIN_MS, Server

# An agent that starts during a trial waits this long before it may vote on.
SETTLE_MS = 20000.0


class Updates(Rules):
    """Takes in updates: a new fact voids what was known before, and what it forbids is forbidden at once."""

    def _serverlist(self, news: it.ServerList) -> None:
        self.watch_needed = news.kind is it.ListKind.FAILED
        # A whole list: a server that it does not name is gone.
        if news.kind in (it.ListKind.CACHED, it.ListKind.FULL):
            listed = {e.server for e in news.entries}
            for server in self.servers.values():
                server.ready &= server.id in listed
        for entry in news.entries:
            known = self.servers.get(entry.server)
            # A restart, or another build under a known id, voids what was known of the server and makes it cold.
            # An entry without a start time is no restart, and makes no cold server warm.
            started = entry.started_ms or (known.started_at if known else 0.0)
            if not known or (known.entry.build, known.started_at) != (entry.build, started):
                # What was sent since the start went to the present incarnation, though it was not known then.
                old, known = known, Server(entry, self.now, self.settings.me)
                self.servers[entry.server] = known
                if old and started > 0:
                    known.send_times = [t for t in old.send_times if t >= started]
                    known.open_attempts = {key: t for key, t in old.open_attempts.items() if t >= started}
            known.entry, known.ready = entry, entry.state is it.ServerState.READY
        self.ranked_bin, self.latest_start = -1, None

    def _stagenews(self, news: it.StageNews) -> None:
        if news.status is not it.Status.OK or news.build < self.stage_news.build:
            # This agent's vote may not have been counted: vote again soon.
            if news.status is not it.Status.OK:
                self.last_vote_at = min(self.last_vote_at, self.now - self.rollout.vote_life_ms + BIN_MS)
            return
        # The agent started during the trial and has no usual latency of the time before. It has none either where
        # its last news was restored from a store, which has an infinite age.
        if (self.stage_news.build == 0 or self.stage_news.age_ms == math.inf) and news.phase is it.Phase.TRIAL:
            self.settle_until = self.now + SETTLE_MS
        old, self.stage_news, self.ranked_bin = self.stage_news, news, -1
        if news.build != old.build:
            self._reset_evidence()
            # Once a build is released, all earlier servers run it, so its keys need not be kept one by one. A build
            # still on trial when the next one is offered has been taken off, which frees its keys.
            settled = [b for b in self.key_builds.values() if b <= old.build and old.phase is it.Phase.RELEASED]
            self.any_key_build = max(settled, default=self.any_key_build)
            self.key_builds = {key: b for key, b in self.key_builds.items() if b >= news.build}
        if (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.bin_scores.clear()
            self.stage_began_at = self.now
            self.late_bins, self.slower_bins, self.last_vote = 0, 0, (0, 0, it.Verdict.NONE)
            if news.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN):
                self.key_builds, self.any_key_build = {}, 0

    def _restored(self, kept: it.Restored) -> None:
        """Take over what a store kept, so that a restart frees neither a cap nor a key."""
        # This only forbids. It may refuse for too long, as the request times that widen a cap are not kept.
        for build, cls, sent_at in kept.attempts:
            self.attempt_times.setdefault((build, cls), []).append(sent_at)
        self.key_builds.update(kept.answered)
        self.any_key_build = max(self.any_key_build, self.key_builds.pop(0, 0))

    def _attemptsmissing(self, _: it.AttemptsMissing) -> None:
        """Forbid what is under a cap until the attempts that are not known no longer count."""
        self.exposure_known_from = self.now + self._attempt_window_ms()
