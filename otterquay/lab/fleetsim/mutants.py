"""Mutants of the program, each with one safety guard removed. For the lab and tests only.

Playing days with a mutant shows that the judge detects the absence of the guard.
"""

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


def _unchanged(sim: Sim) -> None:
    """Leave the simulation unchanged; the mutant patches the program instead."""


def patch(target: Any, name: str, replacement: Any) -> Callable[[], contextlib.AbstractContextManager[Any]]:
    """Return a factory of context managers that replace an attribute of a class."""
    return lambda: mock.patch.object(target, name, replacement)


@contextlib.contextmanager
def _no_patch() -> Iterator[None]:
    yield


def _no_fence(sim: Sim) -> None:
    sim.yard.fencing = False


def _no_deduplication(sim: Sim) -> None:
    sim.yard.deduplicates = False


def _no_sync(sim: Sim) -> None:
    sim.syncs = False


def _any_token(self: Duties, name: str, token: Any, by: Any) -> Any:
    duty = self.group_state.duties.get(name)
    return (duty, cm.Result(True)) if duty else (None, cm.Result(False, "no duty"))


_original_overdue = LeaseRegistry.overdue


def _no_lease_wait(self: LeaseRegistry, now: float, led_at: float, duties: Duties) -> Any:
    """A new leader treats every lease as overdue at once."""
    return _original_overdue(self, now, -1e9, duties)


def _sent_before_recorded(self: SiteReconciler, now: float, name: str, kind: str, count: int, out: Effects) -> None:
    self.pending_orders[name] = PendingOrder(self.site, name, kind, count, self.token)
    _propose_order(self, now, name, kind, count, out)


_propose_order = SiteReconciler._propose_order


def _without_allowances(self: Duties) -> int:
    return sum(self.alive(site, kind) for site, kinds in self.group_state.running.items() for kind in kinds) + sum(
        max(o.count, 0) for o in self.group_state.orders.values()
    )


_original_order = Site.order


def _order_unreserved(self: Site, now: float, kind: str, count: int, out: Effects) -> bool:
    """Orders at once, before a majority of the site has recorded the reservation."""
    done = _original_order(self, now, kind, count, out)
    self.ready += [(self.token, r.entry, r.act) for r in self.reserves]
    self.reserves.clear()
    return done


def _hand_over_while_acting(self: JournalHandover, now: float, out: Effects) -> None:
    """Hands its journal over while it still acts as coordinator."""
    if self.busy or self.site.group_lost(now):
        return
    for token in sorted(self.site.journal.acts):
        return self._send_pieces(now, token, self.site.journal.pieces(token), out)


_original_stop = Site.stop


def _keep_coordinating(self: Site, now: float, reason: str, out: Effects) -> None:
    if reason != "the group is back":
        _original_stop(self, now, reason, out)


@contextlib.contextmanager
def _act_during_handover() -> Iterator[None]:
    with (
        mock.patch.object(JournalHandover, "step", _hand_over_while_acting),
        mock.patch.object(Site, "stop", _keep_coordinating),
    ):
        yield


def _all_acts(self: Journal, token: Any) -> list[list[cm.Act]]:
    return [[act for _, act in sorted(self.acts.get(token, {}).items()) if act]]


def _admit_everyone(self: Joining, sender: int, hello: Any) -> str:
    return ""


def _commit_any_term(self: Member, now: float, out: Effects) -> None:
    """Commits an entry that a majority stores, whatever its term (figure 8 of the Raft paper)."""
    matches = sorted([self.durable_index, *(p.match for p in self.peers.values())], reverse=True)
    if matches[self.majority - 1] > self.commit_index:
        self.commit_index = matches[self.majority - 1]
        self._apply(now, out)


_original_load = Site.load.__func__  # type: ignore[attr-defined]


def _load_unbarred(cls: Any, *args: Any) -> Site:
    site: Site = _original_load(cls, *args)
    site.stored.barred_until = -1
    return site


@contextlib.contextmanager
def _vote_with_lost_disk() -> Iterator[None]:
    """An agent with an empty or older disk votes in its site as if it had no earlier vote."""
    with (
        mock.patch.object(Site, "load", classmethod(_load_unbarred)),
        mock.patch.object(Site, "bar_votes", lambda self, now, out: None),
    ):
        yield


def _no_reconciliation(self: SiteReconciler, now: float, beat: Any, out: Effects) -> None:
    self.phase = "run"


def _record_acts_again(self: Duties, site: str, token: Any, acts: list[cm.Act]) -> None:
    for act in acts:
        if act.what == "order" and act.id not in self.group_state.orders:
            _take(self, site, token, [act])
            self.closed.pop(act.id, None)


_take = Duties._record_acts

# by name: change to the simulation, patch of the program, counts of the judge that detect it
MUTANTS: dict[str, tuple[Alter, Callable[[], contextlib.AbstractContextManager[Any]], tuple[str, ...]]] = {
    "no fencing at the yard": (_no_fence, _no_patch, ("late_harm",)),
    "no token at the group": (_unchanged, patch(Duties, "_owned", _any_token), ("late_harm",)),
    "a new leader does not wait": (_unchanged, patch(LeaseRegistry, "overdue", _no_lease_wait), ("two_owners",)),
    "votes and entries not synced": (
        _no_sync,
        _no_patch,
        ("state_differs", "tokens_back", "two_owners", "orders_lost", "two_coordinators", "acts_lost", "late_harm"),
    ),
    "order sent before it is written": (
        _unchanged,
        patch(SiteReconciler, "_propose_order", _sent_before_recorded),
        ("orders_lost", "over_allowance"),
    ),
    "allowance not held apart": (
        _unchanged,
        patch(Duties, "committed_servers", _without_allowances),
        ("over_allowance",),
    ),
    "coordinator by a minority": (
        _unchanged,
        patch(Site, "majority", property(lambda self: 1)),
        ("two_coordinators", "over_allowance", "two_owners"),
    ),
    "order before a majority has reserved": (
        _unchanged,
        patch(Site, "order", _order_unreserved),
        ("over_allowance",),
    ),
    "acts on while handing back": (
        _unchanged,
        _act_during_handover,
        ("acts_lost", "late_harm", "over_allowance", "orders_lost", "acts_twice"),
    ),
    "acts that were never sent are handed over": (
        _unchanged,
        patch(Journal, "pieces", _all_acts),
        ("over_allowance",),
    ),
    "empty and old disks vote in the group": (
        _unchanged,
        patch(Joining, "_refusal_reason", _admit_everyone),
        ("state_differs", "tokens_back", "two_owners", "orders_lost"),
    ),
    "empty and old disks vote in the site": (
        _unchanged,
        _vote_with_lost_disk,
        ("two_coordinators", "over_allowance", "two_owners"),
    ),
    "entries of earlier terms committed alone": (
        _unchanged,
        patch(Member, "_commit", _commit_any_term),
        ("state_differs",),
    ),
    "orders known by no id at the yard": (
        _no_deduplication,
        _no_patch,
        ("orders_repeated", "acts_twice", "over_allowance"),
    ),
    "no settlement with the yard's list": (
        _unchanged,
        patch(SiteReconciler, "_found", _no_reconciliation),
        ("acts_lost", "over_allowance"),
    ),
    "a journal taken again each time it is told": (
        _unchanged,
        patch(Duties, "_record_acts", _record_acts_again),
        ("acts_twice", "over_allowance", "acts_lost"),
    ),
}
