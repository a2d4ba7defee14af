"""Progress checks of lease holders: finds those that renew but deliver nothing, too little or too late.

An owner's progress is judged by what others observe. A holder's reports are recorded by the group, and they are
behind if other holders of the same site report a higher version of the yard's list. Whether a site's servers
arrive is observed by the holders of its posts, not by the agent that orders them. If many fall behind at once,
the cause is the yard or the network rather than the owners, and nobody is relieved.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field

from otterquay.duties.posts.names import post_name, site_and_kind
from otterquay.duties.posts.records import Posts

MAX_BEHIND_SHARE = 1 / 3  # of the owners; if more are behind at once, the owners are not the cause
STALLED_ORDER_FACTOR = 3.0  # times `owes`: after which an order without any progress counts as stalled


@dataclass(slots=True)
class UnchangedTimer:
    """Tracks for how long each observed value has been unchanged; its time starts with the first observation."""

    since: dict[Hashable, tuple[object, float]] = field(default_factory=dict)

    def unchanged(self, now: float, key: Hashable, value: object) -> float:
        """Seconds for which `key` has been observed with this value."""
        previous = self.since.get(key)
        if previous is None or previous[0] != value:
            self.since[key] = value, now
            return 0.0
        return now - previous[1]

    def keep(self, known: Iterable[Hashable]) -> None:
        """Forgets all keys but the known ones."""
        known = set(known)
        self.since = {key: at for key, at in self.since.items() if key in known}


@dataclass(slots=True)
class Progress:
    """The leader's check of who is behind for `owes` seconds. Volatile: a new leader starts all timers anew."""

    owes: float
    post_timer: UnchangedTimer = field(default_factory=UnchangedTimer)
    site_timer: UnchangedTimer = field(default_factory=UnchangedTimer)

    def posts(self, now: float, state: Posts) -> list[tuple[str, int]]:
        """Posts whose holder is behind, each with the holder."""
        behind: list[tuple[str, int]] = []
        holders: dict[str, set[int]] = {}
        for name, post in state.posts.items():
            if post.owner is None:
                continue
            site, _ = site_and_kind(name)
            holders.setdefault(site, set()).add(post.owner)
            silent = self.post_timer.unchanged(now, (name, "told"), (post.token, post.report_count))
            lags = post.version < state.versions.get(site, 0)
            late = self.post_timer.unchanged(now, (name, "lags"), (post.token, post.version if lags else -1))
            if silent > self.owes or (lags and late > self.owes):
                behind.append((name, post.owner))
        self.post_timer.keep((name, what) for name in state.posts for what in ("told", "lags"))
        return self._attributable(behind, holders)

    def _attributable(
        self, behind: list[tuple[str, int]], holders: Mapping[str, set[int]]
    ) -> list[tuple[str, int]]:
        """Drops posts whose holders are not the cause: too many are behind at once, or a whole site is."""
        late = {owner for _, owner in behind}
        if len(late) > max(MAX_BEHIND_SHARE * len(set().union(*holders.values())), 1) if holders else False:
            return []
        by_site: dict[str, set[int]] = {}
        for name, owner in behind:
            by_site.setdefault(site_and_kind(name)[0], set()).add(owner)
        failed_sites = {site for site, owners in by_site.items() if len(owners) > 1 and owners == holders[site]}
        return [(name, owner) for name, owner in behind if site_and_kind(name)[0] not in failed_sites]

    def sites(
        self,
        now: float,
        state: Posts,
        wants: Mapping[str, Mapping[str, int]],
        owners: Mapping[str, tuple[int, int]],
        room: int,
    ) -> list[tuple[str, str]]:
        """Sites that lack servers which no holder sees arriving, with the reason. `owners` has agent and token."""
        behind = []
        for site, owner in sorted(owners.items()):
            missing = on_order = 0
            observed: list[object] = []
            delivered: list[int] = []
            for kind, count in wants.get(site, {}).items():
                post = state.posts.get(post_name(site, kind))
                if post is None or not post.report_count:
                    continue  # no report yet: nothing is known about the owner
                missing += max(count - post.alive - post.on_order, 0)
                on_order += post.on_order
                observed.append((post.alive, post.on_order))
                delivered.append(post.delivered)
            # a delivery restarts the time: servers may end as fast as they are replaced
            lacks = missing > 0 and room > 0
            lacking_s = self.site_timer.unchanged(now, (site, "lacks"), (owner, lacks, tuple(delivered)))
            stalled_s = self.site_timer.unchanged(now, (site, "stuck"), (owner, tuple(observed)))
            if lacks and lacking_s > self.owes:
                behind.append((site, f"{missing} servers missing, none delivered for {lacking_s:.1f} s"))
            elif on_order and stalled_s > STALLED_ORDER_FACTOR * self.owes:
                behind.append((site, f"{on_order} servers on order, no progress for {stalled_s:.1f} s"))
        self.site_timer.keep((site, what) for site in owners for what in ("lacks", "stuck"))
        return behind if len(behind) <= max(MAX_BEHIND_SHARE * len(owners), 1) else []
