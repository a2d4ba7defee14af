"""Posts: leases renewed without log entries, reassignment in two steps, and detection of agents that are behind."""

from __future__ import annotations

import msgspec
import pytest

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.lease import LeaseTerms
from otterquay.duties.posts.assigner import PLACEMENT_INTERVAL_S, SETTLED_S, PostAssigner
from otterquay.duties.posts.holder import MAX_SENT_STATUSES, Holder
from otterquay.duties.posts.names import MAX_POSTS
from otterquay.duties.posts.observer import SiteObserver
from otterquay.duties.posts.progress import STALLED_ORDER_FACTOR, Progress
from otterquay.duties.posts.records import Assign, Looked, Placed, Posts, Report
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.duties.yard_orders import Answer, SiteListing, YardOrder
from otterquay.fleet import codec

TERMS = LeaseTerms(4.0, 0.02)
A, B = "look/north/a", "look/north/b"
C = "look/south/a"


class Fleet:
    """An assigner, the posts and agents that send it statuses; its moves are committed at once."""

    def __init__(self, agents: int, wanted: list[str], owes: float = 6.0) -> None:
        self.now, self.wanted, self.tokens = 100.0, wanted, 0
        self.posts = Posts()
        self.assigner = PostAssigner(TERMS, 2.0, self.now, Progress(owes))
        self.holders = {a: Holder(TERMS) for a in range(agents)}
        self.silent: set[int] = set()
        self.lazy: set[int] = set()
        self.incarnations = dict.fromkeys(range(agents), 1 << 20)
        self.versions = dict.fromkeys(wanted, 1)

    def token(self) -> Token:
        self.tokens += 1
        return Token(self.tokens)

    def send_status(self, agent: int) -> None:
        holder = self.holders[agent]
        granted = self.assigner.status(
            self.now, agent, self.incarnations[agent], *holder.status(self.now), self.posts
        )
        if granted is not None:
            holder.answered(self.now, holder.number, granted)

    def run(self, seconds: float, reports: bool = True) -> list[Placed]:
        moved = []
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for agent in self.holders:
                if agent not in self.silent:
                    self.send_status(agent)
            moves = self.assigner.step(self.now, self.wanted, self.posts)
            self.posts.assign(moves, self.token)
            self.assigner.settled()
            moved += moves
            if reports:
                for agent, holder in self.holders.items():
                    if agent not in self.silent | self.lazy:
                        self.posts.record_reports(
                            agent,
                            self.incarnations[agent],
                            [Report(p, t, self.versions[p], 1, 0, 1) for p, t in holder.held(self.now).items()],
                        )
        return moved

    def held(self) -> dict[str, int]:
        return {post: agent for agent, holder in self.holders.items() for post in holder.held(self.now)}


def test_agents_hold_what_they_were_assigned_and_the_log_has_no_renewals() -> None:
    fleet = Fleet(3, [A, B, C])
    assert not fleet.run(SETTLED_S - 0.5)
    moves = fleet.run(2.0)
    assert sorted(m.post for m in moves) == [A, B, C]
    assert fleet.held() == {m.post: m.agent for m in moves} and len(set(fleet.held().values())) == 3
    assert not fleet.run(30.0) and fleet.tokens == 3


def test_a_silent_agents_post_is_reassigned_only_after_its_lease() -> None:
    fleet = Fleet(3, [A, B, C])
    fleet.run(4.0)
    gone = fleet.held()[A]
    fleet.silent.add(gone)
    until = fleet.holders[gone].until
    assert not fleet.run(3.5) and fleet.holders[gone].held(fleet.now)
    moves = fleet.run(1.5)
    assert [m.post for m in moves] == [A] and fleet.now > until and not fleet.holders[gone].held(fleet.now)


def test_a_fresh_leader_waits_for_leases_that_it_does_not_know() -> None:
    fleet = Fleet(3, [A, B, C])
    fleet.run(4.0)
    gone = fleet.held()[A]
    fleet.run(2.0)
    fleet.silent.add(gone)
    fleet.assigner = PostAssigner(TERMS, 2.0, fleet.now, Progress(6.0))
    assert not fleet.run(4.0)
    assert [m.post for m in fleet.run(1.0)] == [A]


def test_a_new_agent_gets_a_post_once_the_holder_has_released_it() -> None:
    fleet = Fleet(2, [A, B, C])
    fleet.run(4.0)
    overloaded = max((0, 1), key=lambda a: len(fleet.holders[a].held(fleet.now)))
    fleet.holders[2], fleet.incarnations[2] = Holder(TERMS), 1 << 20
    fleet.silent.add(overloaded)  # it gets no answers, so posts that it may still hold are not reassigned
    fleet.run(SETTLED_S + 0.5)
    before = set(fleet.holders[overloaded].held(fleet.now))
    assert not before & set(fleet.holders[2].held(fleet.now))
    fleet.silent.clear()
    fleet.run(3.0)
    assert sorted(len(h.held(fleet.now)) for h in fleet.holders.values()) == [1, 1, 1]


def test_a_later_incarnation_does_not_wait_for_the_earlier_ones_lease() -> None:
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    fleet.holders[1], fleet.incarnations[1] = Holder(TERMS), 2 << 20
    fleet.run(SETTLED_S + 1.0)
    assert len(fleet.holders[1].held(fleet.now)) == 1 and len(fleet.held()) == 2


def test_an_older_copy_of_an_agent_and_a_late_status_are_passed_over() -> None:
    fleet = Fleet(1, [A])
    fleet.run(4.0)
    number = fleet.holders[0].number
    assert fleet.assigner.status(fleet.now, 0, 1 << 20, number, 0, [], fleet.posts) is None
    assert fleet.assigner.status(fleet.now, 0, 1 << 19, number + 5, 0, [], fleet.posts) is None
    assert fleet.assigner.heard[0].number == number


def test_an_agent_that_shuts_down_frees_its_posts_at_once_despite_late_statuses() -> None:
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    late = fleet.holders[0].number
    fleet.silent.add(0)
    fleet.holders[0].drop()
    fleet.assigner.agent_left(0)
    assert fleet.assigner.status(fleet.now, 0, 1 << 20, late, late - 1, [], fleet.posts) is None
    assert [m.agent for m in fleet.run(PLACEMENT_INTERVAL_S)] == [1]


def test_a_holders_lease_counts_from_its_status_and_older_answers_are_ignored() -> None:
    holder = Holder(TERMS)
    first, *_ = holder.status(10.0)
    second, *_ = holder.status(10.5)
    holder.answered(12.0, second, [(A, Token(5))])
    holder.answered(12.1, first, [(B, Token(4))])
    holder.answered(12.1, second, [])
    holder.answered(12.1, 99, [(B, Token(9))])
    assert holder.held(12.2) == {A: Token(5)} and holder.until == pytest.approx(10.5 + 4.0 * 0.98)
    assert holder.held(14.43) == {}
    for _ in range(MAX_SENT_STATUSES + 1):
        holder.status(20.0)
    holder.answered(20.0, second + 1, [(A, Token(6))])
    assert holder.held(20.0) == {}, "the answer to a status that is no longer remembered"


def test_a_holder_that_reports_nothing_is_relieved_and_gets_fewer_posts() -> None:
    fleet = Fleet(4, [A, B, C, "look/south/b"])
    fleet.run(5.0)
    lazy = fleet.held()[A]
    fleet.lazy.add(lazy)
    moves = fleet.run(15.0)
    assert fleet.assigner.relieved >= 1 and not fleet.holders[lazy].held(fleet.now)
    assert fleet.assigner.weights(fleet.now)[lazy] < 1.0 and len(moves) <= 3


def test_a_crashed_agent_is_not_counted_as_behind() -> None:
    """Its last report is older than its last status, so it used to count as behind before its lease had ended."""
    fleet = Fleet(4, [A, B, C, "look/south/b"], owes=4.2)
    fleet.run(5.0)
    gone = fleet.held()[A]
    fleet.lazy.add(gone)
    fleet.run(2.0)
    fleet.silent.add(gone)
    fleet.run(8.0)
    fleet.silent.clear()
    fleet.lazy.clear()
    fleet.run(SETTLED_S + 1.0)
    assert fleet.assigner.relieved == 0 and len(fleet.holders[gone].held(fleet.now)) == 1


def test_where_most_are_behind_it_is_the_yard_and_nobody_is_relieved() -> None:
    fleet = Fleet(6, [A, B, C, "look/south/b", "look/east/a", "look/east/b"])
    fleet.run(5.0)
    assert not fleet.run(30.0, reports=False) and fleet.assigner.relieved == 0


def test_where_all_of_one_site_are_behind_it_is_the_site() -> None:
    posts = [f"look/{s}/{k}" for s in ("north", "south", "east", "west") for k in "ab"]
    fleet = Fleet(8, posts)
    fleet.run(5.0)
    for _ in range(120):
        fleet.now += 0.25
        for agent in fleet.holders:
            fleet.send_status(agent)
        assert not fleet.assigner.step(fleet.now, posts, fleet.posts)
        for agent, holder in fleet.holders.items():
            fleet.posts.record_reports(
                agent,
                1 << 20,
                [Report(p, t, 1, 1, 0, 1) for p, t in holder.held(fleet.now).items() if "north" not in p],
            )
    assert fleet.assigner.relieved == 0


def test_one_whose_reports_lag_behind_those_of_the_same_site_is_relieved() -> None:
    posts = [f"look/{s}/{k}" for s in ("north", "south") for k in "abc"]
    fleet = Fleet(6, posts)
    fleet.run(5.0)
    slow = fleet.held()[A]
    for post in posts:
        fleet.versions[post] = 1 if post == A else 7
    fleet.run(9.0)
    assert fleet.assigner.relieved == 1 and fleet.posts.posts[A].owner != slow


def shortage(
    seconds: float,
    alive: int,
    on_order: int,
    room: int,
    report_count: int = 1,
    sites: int = 1,
    deliveries: int = 0,
) -> list[str]:
    names = [f"s{i}" for i in range(sites)]
    state, progress = Posts(), Progress(6.0)
    state.assign([Placed(f"look/{s}/a", 1, 1) for s in names], lambda: Token(1))
    for post in state.posts.values():
        post.report_count, post.alive, post.on_order = report_count, alive, on_order
    found: list[tuple[str, str]] = []
    for i in range(round(seconds)):
        for post in state.posts.values():
            post.delivered = i * deliveries // 4
        found = progress.sites(float(i), state, {s: {"a": 3} for s in names}, {s: (5, 9) for s in names}, room)
    return [site for site, _ in found]


def test_an_owner_whose_servers_no_holder_sees_arriving_is_behind() -> None:
    assert shortage(9, 1, 0, 5) == ["s0"]
    assert shortage(6, 1, 0, 5) == []
    assert shortage(9, 1, 2, 5) == [] == shortage(9, 3, 0, 5)
    assert shortage(9, 1, 0, 0) == [], "the bound leaves no room, so it may not order"
    assert shortage(40, 1, 0, 5, deliveries=1) == [], "servers arrive and end just as fast"
    assert shortage(9, 1, 0, 5, report_count=0) == [], "no report yet"
    assert shortage(round(STALLED_ORDER_FACTOR * 6) + 3, 1, 2, 5) == ["s0"], "an order without progress"
    assert shortage(9, 1, 0, 5, sites=6) == [], "all sites at once, so the yard is the cause"


def test_reports_count_only_under_the_newest_token_and_from_the_holders_incarnation() -> None:
    posts = Posts()
    posts.assign([Placed(A, 4, 9)], lambda: Token(7))
    report = Report(A, Token(7), 3, 2, 1, 5)
    assert (
        posts.record_reports(4, 9, [report, Report(A, Token(6), 9, 9, 9, 9), Report(B, Token(7), 1, 1, 1, 1)]) == 2
    )
    assert posts.record_reports(4, 8, [report]) == 1 == posts.record_reports(5, 9, [report])
    found = posts.posts[A]
    assert (found.report_count, found.version, found.alive, found.on_order, found.delivered) == (1, 3, 2, 1, 5)
    assert posts.versions == {"north": 3}
    posts.record_reports(4, 9, [Report(A, Token(7), 2, 8, 8, 8)])
    assert (found.report_count, found.alive) == (2, 2), (
        "an older version of the yard's list does not change the figures"
    )
    posts.assign([Placed(A, None)], lambda: Token(8))
    assert found.owner is None and found.token == Token(7)


def test_invalid_names_and_posts_over_the_limit_are_skipped() -> None:
    posts = Posts()
    numbers = iter(range(1, 10**6))
    granted = posts.assign(
        [Placed("capacity/north", 1, 1), Placed("look/north", 1, 1), Placed(A, 1, 1)], lambda: Token(next(numbers))
    )
    assert granted == [(A, Token(1))]
    for i in range(MAX_POSTS + 5):
        posts.assign([Placed(f"look/n/{i}", 1, 1)], lambda: Token(next(numbers)))
    assert len(posts.posts) == MAX_POSTS


def test_posts_and_duties_share_one_token_sequence_that_survives_a_snapshot() -> None:
    duties = Duties(["north"], 10)
    leader = cm.Proposal(0xFFFF, 1, 1, Assign([Placed(A, 3, 5), Placed(B, 4, 6)]))
    assert duties.apply(1, cm.encode(leader)) == cm.Result(True, token=Token(1))
    claim = cm.Proposal(2, 1, 1, cm.Claim(duty_of("north")))
    assert duties.apply(2, cm.encode(claim)).token == Token(3)
    reports = cm.Proposal(4, 6, 1, Looked([Report(B, Token(2), 5, 1, 0, 1), Report(A, Token(1), 5, 1, 0, 1)]))
    assert duties.apply(3, cm.encode(reports)) == cm.Result(False, "1 of 2 refused")
    other = Duties(["north"], 10)
    other.load(duties.dump())
    assert other.digest() == duties.digest() and other.group_state.posts.posts[B].version == 5


def test_one_agent_can_hold_the_maximum_number_of_posts() -> None:
    """With a limit of 512 the leader rejected the statuses of the only agent left, which then held no posts."""
    many = list(range(1, MAX_POSTS + 1))
    status = dm.Status(1, "north", [], 0, False, 1, 0, many)
    assert codec.decode(codec.encode(status)) == status
    site = dm.SiteBeat(NONE, 0, NONE, [], [], 0, 0)
    beat = dm.Beat(1, {}, site, {}, 0, 0, 1, [(f"look/north/{n}", Token(n)) for n in many])
    assert codec.decode(codec.encode(beat)) == beat


class Bench:
    """A post holder's observer with this test in the place of the yard and the group."""

    def __init__(self) -> None:
        self.asked: list[object] = []
        self.reports: list[list[Report]] = []
        self.observer = SiteObserver(1.0, 3.0, self._ask, self._propose)
        self.result = cm.Result(True)

    def _ask(self, request: object, on_answer: object, out: Effects) -> None:
        self.asked.append(on_answer)

    def _propose(self, now: float, command: object, on_result: object, out: Effects) -> bool:
        assert isinstance(command, Looked) and callable(on_result)
        self.reports.append(command.reports)
        on_result(now, self.result, out)
        return True

    def answer(self, now: float, version: object, alive: int) -> None:
        listed = SiteListing(
            [YardOrder("o1", "a", 4, 1, "1.0"), YardOrder("o2", "a", 4, 1, "1.0", True)], {"a": alive}, {}, "1.0"
        )
        on_answer = self.asked.pop()
        assert callable(on_answer)
        on_answer(now, Answer(200, f'"{version}"', msgspec.json.encode(listed)), Effects())

    def step(self, now: float, held: dict[str, Token], idle: bool = True) -> None:
        self.observer.step(now, held, idle, Effects())


def test_a_holder_polls_once_per_site_and_reports_changes() -> None:
    bench = Bench()
    held = {A: Token(1), B: Token(2), C: Token(3)}
    bench.step(0.0, held)
    assert len(bench.asked) == 2, "one poll for each site"
    bench.asked.pop(0)
    bench.asked.append(bench.observer._on_listing("north"))
    bench.answer(0.1, 4, 2)
    bench.step(0.2, held, idle=False)
    assert not bench.reports
    bench.step(0.3, held)
    assert bench.reports == [[Report(A, Token(1), 4, 2, 3, 2), Report(B, Token(2), 4, 0, 0, 0)]]
    for now, version, alive, sent in ((1.2, 4, 2, 1), (2.4, 5, 3, 2), (3.6, 5, 3, 2), (6.0, 5, 3, 3)):
        bench.asked.clear()
        bench.asked.append(bench.observer._on_listing("north"))
        bench.answer(now, version, alive)
        bench.step(now, held)
        assert len(bench.reports) == sent, "changed, or not reported for long"


@pytest.mark.parametrize("version", ["", "x", "²", -1])
def test_a_list_with_an_invalid_version_is_not_reported(version: object) -> None:
    bench = Bench()
    bench.step(0.0, {A: Token(1)})
    bench.answer(0.1, version, 2)
    bench.step(0.2, {A: Token(1)})
    assert not bench.reports


def test_a_lost_post_is_not_reported_and_a_refused_report_is_sent_again() -> None:
    bench = Bench()
    bench.step(0.0, {A: Token(1)})
    bench.answer(0.1, 4, 2)
    bench.step(0.2, {A: Token(9)})
    assert not bench.reports, "another token: the poll was made under the old one"
    bench.result = cm.Result(False, "1 of 1 refused")
    bench.asked.append(bench.observer._on_listing("north"))
    bench.answer(1.5, 4, 2)
    bench.step(1.6, {A: Token(9)})
    assert bench.reports[-1][0].token == Token(9) and not bench.observer.reported


def test_a_holder_that_is_heard_again_does_not_keep_a_post_that_is_being_reassigned() -> None:
    """Random day of seed 1645: the old holder sent a status before the proposal was committed, and was renewed."""
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    old = fleet.held()[A]
    fleet.silent.add(old)
    for _ in range(30):
        fleet.now += 0.25
        fleet.send_status(1 - old)
        if moves := fleet.assigner.step(fleet.now, [A, B], fleet.posts):
            break
    assert A in [m.post for m in moves]
    fleet.send_status(old)
    assert A not in fleet.holders[old].held(fleet.now)
    assert not fleet.assigner.step(fleet.now + PLACEMENT_INTERVAL_S, [A, B], fleet.posts), (
        "one assignment at a time"
    )
    fleet.assigner.settled()
    fleet.now += 1.0
    fleet.send_status(old)
    assert A in fleet.holders[old].held(fleet.now), "the proposal was not accepted, so the holder keeps the post"
