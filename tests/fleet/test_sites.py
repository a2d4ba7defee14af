"""Tests of a site's coordinator: its election, its limits, and what its successor knows."""

from __future__ import annotations

import random

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties.commands import Act
from otterquay.duties.token import Token
from otterquay.duties.yard_orders import STATUS_STALE_TOKEN, Answer
from otterquay.fleet.site_coordinator import SiteCoordinator
from otterquay.sites import messages as ms
from otterquay.sites.journal import MAX_JOURNAL_ACTS, Journal
from otterquay.sites.site import BARRED_UNTIL_JOINED, Site, StoredState, Times


class Cluster:
    """A site whose messages are delivered at once, except over links in `partitions`."""

    def __init__(self, count: int = 3, allowed: int = 5) -> None:
        self.partitions: set[tuple[int, int]] = set()
        self.down: set[int] = set()
        self.now = 0.0
        self.sites = {}
        for me in range(count):
            stored = StoredState(newest=Token(4), allowed=allowed)
            self.sites[me] = Site.load(
                me,
                tuple(range(count)),
                random.Random(me),
                msgspec.msgpack.encode(stored),
                Journal(),
                0.0,
                Times(),
                2,
                (1 << 20) + me,
                Effects(),
            )

    def deliver(self, sender: int, out: Effects) -> None:
        for send in out.sends:
            if (sender, send.to) not in self.partitions and send.to not in self.down and sender not in self.down:
                back = Effects()
                self.sites[send.to].receive(self.now, sender, send.message, back)
                self.deliver(send.to, back)

    def run(self, seconds: float, heard: tuple[int, ...] = (), group: int = 4) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for me, site in self.sites.items():
                if me in self.down:
                    continue
                out = Effects()
                if me in heard:
                    site.handle_group_heard(self.now, Token(group), 5, 0, Token(group), [], out)
                site.tick(self.now, out)
                self.deliver(me, out)

    def coordinators(self) -> list[int]:
        return [n for n, s in self.sites.items() if s.acting and n not in self.down]


def test_a_site_that_has_lost_the_group_elects_one_and_only_by_a_majority() -> None:
    site = Cluster()
    site.run(3.0, heard=(0, 1, 2))
    assert site.coordinators() == []
    site.run(12.0, heard=(0,))
    assert len(site.coordinators()) == 1, "one agent that hears the group does not block two that have lost it"
    alone = Cluster()
    alone.run(12.0, heard=(0, 1))
    assert alone.coordinators() == []
    divided = Cluster(5)
    divided.partitions = {(a, b) for a in (0, 1) for b in (2, 3, 4)} | {(b, a) for a in (0, 1) for b in (2, 3, 4)}
    divided.run(15.0)
    assert len(divided.coordinators()) == 1 and divided.coordinators()[0] in (2, 3, 4)


def test_an_order_waits_until_a_majority_has_written_down_that_it_is_spent() -> None:
    site = Cluster()
    site.run(12.0)
    (coordinator,) = site.coordinators()
    others = [n for n in site.sites if n != coordinator]
    site.partitions = {(n, coordinator) for n in others}
    out = Effects()
    assert site.sites[coordinator].order(site.now, "x", 3, out)
    site.deliver(coordinator, out)
    assert site.sites[coordinator].ready == [], "no agent has confirmed the reservation"
    site.partitions.clear()
    site.run(0.4)
    assert [act.count for _, _, act in site.sites[coordinator].ready] == [3]
    assert all(site.sites[n].stored.spent == 3 for n in site.sites)
    assert not site.sites[coordinator].order(site.now, "x", 3, Effects()), "only two of five are left"


def test_a_successor_knows_what_its_predecessor_spent_and_lowered() -> None:
    site = Cluster()
    site.run(12.0)
    (coordinator,) = site.coordinators()
    out = Effects()
    site.sites[coordinator].order(site.now, "x", 4, out)
    site.sites[coordinator].lower_cap(site.now, 7, 0.1, out)
    site.deliver(coordinator, out)
    site.run(0.5)
    site.down.add(coordinator)
    site.run(12.0)
    (successor,) = site.coordinators()
    after = site.sites[successor]
    assert successor != coordinator and after.token > site.sites[coordinator].token
    assert after.stored.spent == 4 and after.stored.caps == {7: 0.1}
    assert not after.order(site.now, "x", 2, Effects()) and after.order(site.now, "x", 1, Effects())
    assert not after.lower_cap(site.now, 7, 0.5, Effects()), "a site never raises a cap"


def test_a_coordinator_that_wakes_late_is_refused_by_the_agents() -> None:
    site = Cluster()
    site.run(12.0)
    (coordinator,) = site.coordinators()
    site.down.add(coordinator)
    site.run(12.0)
    assert site.coordinators() and site.coordinators() != [coordinator]
    site.down.clear()
    out = Effects()
    site.sites[coordinator].order(site.now, "x", 2, out)
    site.deliver(coordinator, out)
    assert not site.sites[coordinator].acting and site.sites[coordinator].ready == []
    assert coordinator not in site.coordinators()


def test_a_flapping_upstream_neither_ends_a_coordinator_at_once_nor_makes_a_new_one_each_time() -> None:
    site = Cluster()
    site.run(12.0)
    (coordinator,) = site.coordinators()
    for _ in range(6):
        site.run(0.4, heard=(0, 1, 2))
        site.run(5.0)
    assert site.coordinators() == [coordinator] and sum(s.elections for s in site.sites.values()) == 1
    site.run(2.0, heard=(0, 1, 2))
    assert site.coordinators() == []
    assert all(s.following == Token() for s in site.sites.values())
    assert site.sites[coordinator].journal.acts, "the journal is kept until its handover"


def test_enough_verdicts_give_a_build_up_within_the_site() -> None:
    site = Cluster()
    site.run(12.0)
    (coordinator,) = site.coordinators()
    core = site.sites[coordinator]
    core.record_ballot(0, ms.Ballot(3, True), Effects())
    assert core.builds_voted_back() == []
    core.record_ballot(1, ms.Ballot(3, True), Effects())
    assert core.builds_voted_back() == [3]
    core.record_ballot(1, ms.Ballot(3, False), Effects())
    assert core.builds_voted_back() == []


def test_an_empty_or_older_disk_has_no_vote_before_a_settlement() -> None:
    out = Effects()
    fresh = Site.load(0, (0, 1, 2), random.Random(1), None, Journal(), 0.0, Times(), 1, 1 << 20, out)
    assert fresh.stored.barred_until == BARRED_UNTIL_JOINED and out.writes, "the bar must survive a restart"
    answers = Effects()
    fresh.receive(50.0, 1, ms.Ask(Token(9, 1), False), answers)
    assert [s.message.granted for s in answers.sends] == [False]
    fresh.handle_group_heard(50.0, Token(6), 0, 0, Token(5), [], Effects())
    assert fresh.stored.barred_until == BARRED_UNTIL_JOINED
    fresh.handle_join_result(True, Token(6), Effects())
    assert fresh.stored.barred_until == 6
    fresh.handle_group_heard(51.0, Token(7), 0, 0, Token(7), [], Effects())
    assert fresh.stored.barred_until == -1
    older = Cluster()
    older.sites[1].receive(0.0, 0, ms.Word(0.0, 5 << 20), Effects())
    back = Effects()
    older.sites[1].receive(0.1, 0, ms.Answer(Token(4, 1), False, True, Token(4, 1), 0, 0, {}, 3 << 20), back)
    assert [s.message for s in back.sends] == [ms.Older(5 << 20)]
    older.sites[0].receive(0.2, 1, ms.Older(5 << 20), Effects())
    assert older.sites[0].stored.barred_until == BARRED_UNTIL_JOINED


def test_only_acts_that_may_have_happened_are_handed_over_in_pieces_that_fit() -> None:
    journal, out, token = Journal(), Effects(), Token(4, 1)
    journal.open_term(token, out)
    assert journal.pieces(token) == [[]], "an empty journal is handed over as well"
    entry = journal.add(token, Act("a", "order", "x", 1), out)
    journal.add(token, Act("b", "cap", build=3, cap=0.0), out)
    assert [[a.id for a in piece] for piece in journal.pieces(token)] == [["b"]], "order a was never sent"
    journal.update(token, entry, Act("a", "order", "x", 1, sent=True), out)
    assert [[a.id for a in piece] for piece in journal.pieces(token)] == [["a", "b"]]
    rows = {w.key: w.value for w in out.writes if w.value is not None}
    assert Journal(sorted(rows.items())).pieces(token) == journal.pieces(token)
    for i in range(MAX_JOURNAL_ACTS):
        journal.add(token, Act(f"c{i}", "order", "x", 1, sent=True), out)
    assert journal.is_full(token) and max(map(len, journal.pieces(token))) == 256
    journal.remove(token, out)
    assert journal.acts == {}


def test_a_newer_token_that_the_yard_knows_is_stored_before_the_coordinator_stops() -> None:
    """Guards against a restart that forgets the token and stands for election with one that the yard refuses."""
    site = Cluster(1).sites[0]
    site.tick(100.0, Effects())
    site.tick(200.0, Effects())
    assert site.acting
    coordinator = SiteCoordinator("a", site, lambda now, alive: {}, 1.0, lambda request, answered, out: None)
    coordinator.token = site.token
    out = Effects()
    coordinator._handle_listing(200.0, Answer(STATUS_STALE_TOKEN, str(Token(9))), out)
    assert not site.acting
    stored = [msgspec.msgpack.decode(write.value, type=StoredState) for write in out.writes if write.value]
    assert [state.newest for state in stored] == [Token(9)]
