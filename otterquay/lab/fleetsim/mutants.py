"""Every guard taken out once, by name: what it guards is in its docstring. For laboratories and tests alone."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.lease import LeaseRegistry
from otterquay.duties.state import Duties
from otterquay.duties.yard_orders import PendingOrder
from otterquay.fleet.site_coordinator import JournalHandover
from otterquay.fleet.site_reconciler import SiteReconciler
from otterquay.group.joining import Joining
from otterquay.group.member import Member
from otterquay.lab.fleetsim.world import Sim
from otterquay.sites.journal import Journal
from otterquay.sites.site import Site

Alter = Callable[[Sim], None]


def _nothing(sim: Sim) -> None:
    """The days are as they are."""


def patch(where: Any, name: str, instead: Any) -> Callable[[], contextlib.AbstractContextManager[Any]]:
    """Puts something in the place of a method, for as long as the context lasts."""
    return lambda: mock.patch.object(where, name, instead)


@contextlib.contextmanager
def _none() -> Iterator[None]:
    yield


def _no_fence(sim: Sim) -> None:
    sim.yard.fencing = False


def _forgetful(sim: Sim) -> None:
    sim.yard.remembers = False


def _no_sync(sim: Sim) -> None:
    sim.syncs = False


def _any_token(self: Duties, name: str, token: Any, by: Any) -> Any:
    duty = self.group_state.duties.get(name)
    return (duty, cm.Result(True)) if duty else (None, cm.Result(False, "no duty"))


_overdue = LeaseRegistry.overdue


def _no_wait(self: LeaseRegistry, now: float, led_at: float, duties: Duties) -> Any:
    """A fresh leader takes every lease for old."""
    return _overdue(self, now, -1e9, duties)


def _sent_first(self: SiteReconciler, now: float, name: str, kind: str, count: int, out: Effects) -> None:
    self.pending_orders[name] = PendingOrder(self.site, name, kind, count, self.token)
    _propose_order(self, now, name, kind, count, out)


_propose_order = SiteReconciler._propose_order


def _orders_alone(self: Duties) -> int:
    return sum(self.alive(site, kind) for site, kinds in self.group_state.running.items() for kind in kinds) + sum(
        max(o.count, 0) for o in self.group_state.orders.values()
    )


_order = Site.order


def _not_reserved(self: Site, now: float, kind: str, count: int, out: Effects) -> bool:
    """Orders at once, on its own word."""
    done = _order(self, now, kind, count, out)
    self.ready += [(self.token, r.entry, r.act) for r in self.reserves]
    self.reserves.clear()
    return done


def _goes_on(self: JournalHandover, now: float, out: Effects) -> None:
    """Hands over while it still acts."""
    if self.busy or self.site.group_lost(now):
        return
    for token in sorted(self.site.journal.acts):
        return self._send_pieces(now, token, self.site.journal.pieces(token), out)


_stop = Site.stop


def _never_stops(self: Site, now: float, reason: str, out: Effects) -> None:
    if reason != "the group is back":
        _stop(self, now, reason, out)


@contextlib.contextmanager
def _acts_on() -> Iterator[None]:
    with mock.patch.object(JournalHandover, "step", _goes_on), mock.patch.object(Site, "stop", _never_stops):
        yield


def _all_acts(self: Journal, token: Any) -> list[list[cm.Act]]:
    return [[act for _, act in sorted(self.acts.get(token, {}).items()) if act]]


def _welcome_all(self: Joining, sender: int, hello: Any) -> str:
    return ""


def _own_word(self: Member, now: float, out: Effects) -> None:
    """Commits what a majority has, whatever its term (the paper's figure 8)."""
    matches = sorted([self.durable_index, *(p.match for p in self.peers.values())], reverse=True)
    if matches[self.majority - 1] > self.commit_index:
        self.commit_index = matches[self.majority - 1]
        self._apply(now, out)


_load = Site.load.__func__  # type: ignore[attr-defined]


def _trusting(cls: Any, *args: Any) -> Site:
    site: Site = _load(cls, *args)
    site.stored.barred_until = -1
    return site


@contextlib.contextmanager
def _amnesia() -> Iterator[None]:
    """An agent with an empty or older disk votes in its site as if it had promised nothing."""
    with (
        mock.patch.object(Site, "load", classmethod(_trusting)),
        mock.patch.object(Site, "bar_votes", lambda self, now, out: None),
    ):
        yield


def _no_settlement(self: SiteReconciler, now: float, beat: Any, out: Effects) -> None:
    self.phase = "run"


def _credits_all(self: Duties, site: str, token: Any, acts: list[cm.Act]) -> None:
    for act in acts:
        if act.what == "order" and act.id not in self.group_state.orders:
            _take(self, site, token, [act])
            self.closed.pop(act.id, None)


_take = Duties._record_acts

# name: what alters the day, what patches the program, the count that shows it
MUTANTS: dict[str, tuple[Alter, Callable[[], contextlib.AbstractContextManager[Any]], tuple[str, ...]]] = {
    "no fencing at the yard": (_no_fence, _none, ("late_harm",)),
    "no token at the group": (_nothing, patch(Duties, "_owned", _any_token), ("late_harm",)),
    "a new leader does not wait": (_nothing, patch(LeaseRegistry, "overdue", _no_wait), ("two_owners",)),
    "votes and entries not synced": (
        _no_sync,
        _none,
        ("state_differs", "tokens_back", "two_owners", "orders_lost", "two_coordinators", "acts_lost", "late_harm"),
    ),
    "order sent before it is written": (
        _nothing,
        patch(SiteReconciler, "_propose_order", _sent_first),
        ("orders_lost", "over_allowance"),
    ),
    "allowance not held apart": (_nothing, patch(Duties, "committed_servers", _orders_alone), ("over_allowance",)),
    "coordinator by a minority": (
        _nothing,
        patch(Site, "majority", property(lambda self: 1)),
        ("two_coordinators", "over_allowance", "two_owners"),
    ),
    "order before a majority has reserved": (_nothing, patch(Site, "order", _not_reserved), ("over_allowance",)),
    "acts on while handing back": (
        _nothing,
        _acts_on,
        ("acts_lost", "late_harm", "over_allowance", "orders_lost", "acts_twice"),
    ),
    "acts that were never sent are handed over": (
        _nothing,
        patch(Journal, "pieces", _all_acts),
        ("over_allowance",),
    ),
    "empty and old disks vote in the group": (
        _nothing,
        patch(Joining, "_refusal_reason", _welcome_all),
        ("state_differs", "tokens_back", "two_owners", "orders_lost"),
    ),
    "empty and old disks vote in the site": (
        _nothing,
        _amnesia,
        ("two_coordinators", "over_allowance", "two_owners"),
    ),
    "entries of earlier terms committed alone": (_nothing, patch(Member, "_commit", _own_word), ("state_differs",)),
    "orders known by no id at the yard": (_forgetful, _none, ("orders_repeated", "acts_twice", "over_allowance")),
    "no settlement with the yard's list": (
        _nothing,
        patch(SiteReconciler, "_found", _no_settlement),
        ("acts_lost", "over_allowance"),
    ),
    "a journal taken again each time it is told": (
        _nothing,
        patch(Duties, "_record_acts", _credits_all),
        ("acts_twice", "over_allowance", "acts_lost"),
    ),
}
