"""The work of a holder: look at the yard's list of each site it has a post for, and tell the group what changed."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.calls import Ask, Propose
from otterquay.duties.posts.names import site_and_kind
from otterquay.duties.posts.records import MAX_MOVES, Looked, Report
from otterquay.duties.token import NONE, Token
from otterquay.duties.yard_orders import ANSWER_TIMEOUT_S, Answer, Request, SiteListing


@dataclass(slots=True)
class SiteObserver:
    """`every`: seconds between looks at a site; `refresh`: after how long what has not changed is told again."""

    every: float
    refresh: float
    ask: Ask
    propose: Propose
    next_at: dict[str, float] = field(default_factory=dict)
    told: dict[str, tuple[Token, int, float]] = field(default_factory=dict)
    news: dict[str, Report] = field(default_factory=dict)
    busy_until: float = -1e9
    held: Mapping[str, Token] = field(default_factory=dict)

    def step(self, now: float, held: Mapping[str, Token], idle: bool, out: Effects) -> None:
        """Go on; `idle` when nothing of this agent's waits for the group."""
        self.held = held
        sites = {site_and_kind(post)[0] for post in held}
        self.next_at = {site: self.next_at.get(site, now) for site in sorted(sites)}
        self.told = {post: was for post, was in self.told.items() if held.get(post) == was[0]}
        self.news = {post: report for post, report in self.news.items() if held.get(post) == report.token}
        for site, due in self.next_at.items():
            if now >= due:
                self.next_at[site] = now + max(self.every, ANSWER_TIMEOUT_S)
                self.ask(Request("GET", f"/sites/{site}", NONE), self._listed(site), out)
        if self.news and idle and now >= self.busy_until:
            self._tell(now, out)

    def _listed(self, site: str) -> Callable[[float, Answer, Effects], None]:
        def listed(now: float, answer: Answer, out: Effects) -> None:
            self.next_at[site] = now + self.every
            version = answer.etag.strip('"')
            if answer.status != 200 or not (version.isascii() and version.isdigit()):
                return
            try:
                found: SiteListing = msgspec.json.decode(answer.body, type=SiteListing)
            except msgspec.MsgspecError:
                return  # spoilt: looked at again
            for post, token in self.held.items():
                at, kind = site_and_kind(post)
                was = self.told.get(post)
                fresh = was and was[:2] == (token, int(version)) and now - was[2] < self.refresh
                if at != site or fresh:
                    continue
                orders = [o for o in found.orders if o.kind == kind]
                coming = sum(o.count - o.started for o in orders if not o.cancelled and o.count > o.started)
                brought = sum(max(o.started, 0) for o in orders)
                alive = max(found.alive.get(kind, 0), 0)
                self.news[post] = Report(post, token, int(version), alive, coming, brought)

        return listed

    def _tell(self, now: float, out: Effects) -> None:
        reports = [self.news.pop(post) for post in list(self.news)[:MAX_MOVES]]
        for report in reports:
            self.told[report.post] = report.token, report.version, now

        def taken(at: float, result: cm.Result, o: Effects) -> None:
            self.busy_until = at
            if not result.ok:  # some were refused: those that are still held are told again
                for report in reports:
                    self.told.pop(report.post, None)

        self.busy_until = now + ANSWER_TIMEOUT_S
        self.propose(now, Looked(reports), taken, out)
