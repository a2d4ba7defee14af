"""The work of a post holder: poll the yard's list of each site that it has a post for, and report changes."""

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
    """Polls sites and reports on posts.

    `poll_s`: seconds between polls of a site; `refresh_s`: seconds until an unchanged report is sent again.
    """

    poll_s: float
    refresh_s: float
    ask: Ask
    propose: Propose
    next_at: dict[str, float] = field(default_factory=dict)
    # by post: token, version and time of the last report
    reported: dict[str, tuple[Token, int, float]] = field(default_factory=dict)
    unsent: dict[str, Report] = field(default_factory=dict)
    busy_until: float = -1e9
    held: Mapping[str, Token] = field(default_factory=dict)

    def step(self, now: float, held: Mapping[str, Token], idle: bool, out: Effects) -> None:
        """Polls the sites that are due; sends reports if `idle`: no other proposal of this agent is pending."""
        self.held = held
        sites = {site_and_kind(post)[0] for post in held}
        self.next_at = {site: self.next_at.get(site, now) for site in sorted(sites)}
        self.reported = {post: last for post, last in self.reported.items() if held.get(post) == last[0]}
        self.unsent = {post: report for post, report in self.unsent.items() if held.get(post) == report.token}
        for site, due in self.next_at.items():
            if now >= due:
                self.next_at[site] = now + max(self.poll_s, ANSWER_TIMEOUT_S)  # an answer sets it anew
                self.ask(Request("GET", f"/sites/{site}", NONE), self._on_listing(site), out)
        if self.unsent and idle and now >= self.busy_until:
            self._send_reports(now, out)

    def _on_listing(self, site: str) -> Callable[[float, Answer, Effects], None]:
        def listed(now: float, answer: Answer, out: Effects) -> None:
            self.next_at[site] = now + self.poll_s
            version = answer.etag.strip('"')
            if answer.status != 200 or not (version.isascii() and version.isdigit()):
                return
            try:
                found: SiteListing = msgspec.json.decode(answer.body, type=SiteListing)
            except msgspec.MsgspecError:
                return  # malformed: polled again
            for post, token in self.held.items():
                post_site, kind = site_and_kind(post)
                last = self.reported.get(post)
                fresh = last and last[:2] == (token, int(version)) and now - last[2] < self.refresh_s
                if post_site != site or fresh:
                    continue
                orders = [o for o in found.orders if o.kind == kind]
                on_order = sum(o.count - o.started for o in orders if not o.cancelled and o.count > o.started)
                delivered = sum(max(o.started, 0) for o in orders)
                alive = max(found.alive.get(kind, 0), 0)
                self.unsent[post] = Report(post, token, int(version), alive, on_order, delivered)

        return listed

    def _send_reports(self, now: float, out: Effects) -> None:
        reports = [self.unsent.pop(post) for post in list(self.unsent)[:MAX_MOVES]]
        for report in reports:
            self.reported[report.post] = report.token, report.version, now

        def on_result(at: float, result: cm.Result, o: Effects) -> None:
            self.busy_until = at
            if not result.ok:  # some were refused: report again on the posts still held
                for report in reports:
                    self.reported.pop(report.post, None)

        self.busy_until = now + ANSWER_TIMEOUT_S
        self.propose(now, Looked(reports), on_result, out)
