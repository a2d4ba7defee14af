"""Progress as part of a lease: who renews and brings nothing, too little or too late.

What an owner has done is told by others than itself: a holder's reports are taken by the group, and that they lag
behind is seen against the yard's version as other holders of the same site tell it; whether a site's servers come
is seen by the holders that look at it, not by the one that orders them. Where many fall behind at once it is the
yard or the links, not the owners, and nobody is relieved for it.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field

from otterquay.duties.posts.names import post_name, site_and_kind
from otterquay.duties.posts.records import Posts

MANY = 1 / 3  # of the owners behind at once, over which it is not theirs
STUCK = 3.0  # times `owes`: an order on its way that does not move at all


@dataclass(slots=True)
class Overdue:
    """Since when each thing has been as it is; the first look at anything begins its time."""

    since: dict[Hashable, tuple[object, float]] = field(default_factory=dict)

    def unchanged(self, now: float, what: Hashable, value: object) -> float:
        """Seconds for which this has had this value, as far as was looked."""
        was = self.since.get(what)
        if was is None or was[0] != value:
            self.since[what] = value, now
            return 0.0
        return now - was[1]

    def keep(self, known: Iterable[Hashable]) -> None:
        """Forget all else."""
        known = set(known)
        self.since = {what: at for what, at in self.since.items() if what in known}


@dataclass(slots=True)
class Progress:
    """The leader's look at who is behind; volatile, so a fresh leader gives everyone their time anew."""

    owes: float
    overdue: Overdue = field(default_factory=Overdue)
    short: Overdue = field(default_factory=Overdue)

    def posts(self, now: float, state: Posts) -> list[tuple[str, int]]:
        """Posts whose holder is behind, with the holder."""
        behind: list[tuple[str, int]] = []
        holders: dict[str, set[int]] = {}
        for name, post in state.posts.items():
            if post.owner is None:
                continue
            site, _ = site_and_kind(name)
            holders.setdefault(site, set()).add(post.owner)
            silent = self.overdue.unchanged(now, (name, "told"), (post.token, post.report_count))
            lags = post.version < state.versions.get(site, 0)
            late = self.overdue.unchanged(now, (name, "lags"), (post.token, post.version if lags else -1))
            if silent > self.owes or (lags and late > self.owes):
                behind.append((name, post.owner))
        self.overdue.keep((name, what) for name in state.posts for what in ("told", "lags"))
        return self._theirs(behind, holders)

    def _theirs(self, behind: list[tuple[str, int]], holders: Mapping[str, set[int]]) -> list[tuple[str, int]]:
        late = {owner for _, owner in behind}
        if len(late) > max(MANY * len(set().union(*holders.values())), 1) if holders else False:
            return []
        by_site: dict[str, set[int]] = {}
        for name, owner in behind:
            by_site.setdefault(site_and_kind(name)[0], set()).add(owner)
        closed = {site for site, owners in by_site.items() if len(owners) > 1 and owners == holders[site]}
        return [(name, owner) for name, owner in behind if site_and_kind(name)[0] not in closed]

    def sites(
        self,
        now: float,
        state: Posts,
        wants: Mapping[str, Mapping[str, int]],
        owners: Mapping[str, tuple[int, int]],
        room: int,
    ) -> list[tuple[str, str]]:
        """Sites whose owner (agent and token by site) lets servers be missing that nobody sees come; and why."""
        behind = []
        for site, owner in sorted(owners.items()):
            missing = moving = 0
            seen: list[object] = []
            brought: list[int] = []
            for kind, count in wants.get(site, {}).items():
                post = state.posts.get(post_name(site, kind))
                if post is None or not post.report_count:
                    continue  # nobody has looked: nothing is known against the owner
                missing += max(count - post.alive - post.coming, 0)
                moving += post.coming
                seen.append((post.alive, post.coming))
                brought.append(post.brought)
            # what came meanwhile begins the time anew: servers may end as fast as they are replaced
            lacks = missing > 0 and room > 0
            lacking = self.short.unchanged(now, (site, "lacks"), (owner, lacks, tuple(brought)))
            stuck = self.short.unchanged(now, (site, "stuck"), (owner, tuple(seen)))
            if lacks and lacking > self.owes:
                behind.append((site, f"{missing} servers missing, none brought for {lacking:.1f} s"))
            elif moving and stuck > STUCK * self.owes:
                behind.append((site, f"{moving} servers on order that did not move for {stuck:.1f} s"))
        self.short.keep((site, what) for site in owners for what in ("lacks", "stuck"))
        return behind if len(behind) <= max(MANY * len(owners), 1) else []
