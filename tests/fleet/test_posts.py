"""Posts: leases that cost no entry of the log, moves in two steps, and who is behind."""

from __future__ import annotations

import msgspec
import pytest

from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.errand import Answer, Listed, Ordered
from otterquay.duties.lease import Terms
from otterquay.duties.spread.book import Assign, Looked, Placed, Posts, Report
from otterquay.duties.spread.chief import SETTLED_S, STEP_S, Chief
from otterquay.duties.spread.holder import SENT_MOST, Holder
from otterquay.duties.spread.looking import Looking
from otterquay.duties.spread.names import POSTS_MOST
from otterquay.duties.spread.progress import STUCK, Progress
from otterquay.duties.state import Duties
from otterquay.duties.token import NONE, Token, duty_of
from otterquay.fleet import codec

TERMS = Terms(4.0, 0.02)
A, B = "look/north/a", "look/north/b"
C = "look/south/a"


class Fleet:
    """A chief, the posts and agents that speak to it; whatever it moves is in the log at once."""

    def __init__(self, agents: int, wanted: list[str], owes: float = 6.0) -> None:
        self.now, self.wanted, self.tokens = 100.0, wanted, 0
        self.posts = Posts()
        self.chief = Chief(TERMS, 2.0, self.now, Progress(owes))
        self.holders = {a: Holder(TERMS) for a in range(agents)}
        self.silent: set[int] = set()
        self.lazy: set[int] = set()
        self.lives = dict.fromkeys(range(agents), 1 << 20)
        self.versions = dict.fromkeys(wanted, 1)

    def token(self) -> Token:
        self.tokens += 1
        return Token(self.tokens)

    def speak(self, agent: int) -> None:
        holder = self.holders[agent]
        told = self.chief.status(self.now, agent, self.lives[agent], *holder.status(self.now), self.posts)
        if told is not None:
            holder.answered(self.now, holder.number, told)

    def run(self, seconds: float, tells: bool = True) -> list[Placed]:
        moved = []
        for _ in range(round(seconds * 4)):
            self.now += 0.25
            for agent in self.holders:
                if agent not in self.silent:
                    self.speak(agent)
            moves = self.chief.step(self.now, self.wanted, self.posts)
            self.posts.assign(moves, self.token)
            self.chief.settled()
            moved += moves
            if tells:
                for agent, holder in self.holders.items():
                    if agent not in self.silent | self.lazy:
                        self.posts.looked(
                            agent,
                            self.lives[agent],
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


def test_a_post_of_one_that_is_not_heard_is_free_only_after_its_lease() -> None:
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
    fleet.chief = Chief(TERMS, 2.0, fleet.now, Progress(6.0))
    assert not fleet.run(4.0)
    assert [m.post for m in fleet.run(1.0)] == [A]


def test_one_that_comes_is_handed_a_post_once_its_holder_has_let_go() -> None:
    fleet = Fleet(2, [A, B, C])
    fleet.run(4.0)
    rich = max((0, 1), key=lambda a: len(fleet.holders[a].held(fleet.now)))
    fleet.holders[2], fleet.lives[2] = Holder(TERMS), 1 << 20
    fleet.silent.add(rich)  # it hears nothing: what it may still hold is not given away
    fleet.run(SETTLED_S + 0.5)
    before = set(fleet.holders[rich].held(fleet.now))
    assert not before & set(fleet.holders[2].held(fleet.now))
    fleet.silent.clear()
    fleet.run(3.0)
    assert sorted(len(h.held(fleet.now)) for h in fleet.holders.values()) == [1, 1, 1]


def test_a_later_life_does_not_wait_for_the_earlier_ones_lease() -> None:
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    fleet.holders[1], fleet.lives[1] = Holder(TERMS), 2 << 20
    fleet.run(SETTLED_S + 1.0)
    assert len(fleet.holders[1].held(fleet.now)) == 1 and len(fleet.held()) == 2


def test_an_older_copy_of_an_agent_and_a_late_status_are_passed_over() -> None:
    fleet = Fleet(1, [A])
    fleet.run(4.0)
    number = fleet.holders[0].number
    assert fleet.chief.status(fleet.now, 0, 1 << 20, number, 0, [], fleet.posts) is None
    assert fleet.chief.status(fleet.now, 0, 1 << 19, number + 5, 0, [], fleet.posts) is None
    assert fleet.chief.heard[0].number == number


def test_one_that_ends_frees_its_posts_at_once_and_its_late_words_do_not_take_that_back() -> None:
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    late = fleet.holders[0].number
    fleet.silent.add(0)
    fleet.holders[0].drop()
    fleet.chief.gone(0)
    assert fleet.chief.status(fleet.now, 0, 1 << 20, late, late - 1, [], fleet.posts) is None
    assert [m.agent for m in fleet.run(STEP_S)] == [1]


def test_a_holder_counts_from_when_it_asked_and_takes_newer_answers_alone() -> None:
    holder = Holder(TERMS)
    first, *_ = holder.status(10.0)
    second, *_ = holder.status(10.5)
    holder.answered(12.0, second, [(A, Token(5))])
    holder.answered(12.1, first, [(B, Token(4))])
    holder.answered(12.1, second, [])
    holder.answered(12.1, 99, [(B, Token(9))])
    assert holder.held(12.2) == {A: Token(5)} and holder.until == pytest.approx(10.5 + 4.0 * 0.98)
    assert holder.held(14.43) == {}
    for _ in range(SENT_MOST + 1):
        holder.status(20.0)
    holder.answered(20.0, second + 1, [(A, Token(6))])
    assert holder.held(20.0) == {}, "an answer to a status of long ago"


def test_one_that_brings_nothing_is_relieved_and_gets_less() -> None:
    fleet = Fleet(4, [A, B, C, "look/south/b"])
    fleet.run(5.0)
    lazy = fleet.held()[A]
    fleet.lazy.add(lazy)
    taken = fleet.run(15.0)
    assert fleet.chief.relieved >= 1 and not fleet.holders[lazy].held(fleet.now)
    assert fleet.chief.weights(fleet.now)[lazy] < 1.0 and len(taken) <= 3


def test_one_that_died_is_not_held_to_have_brought_nothing() -> None:
    """Its last report is older than its last status: it counted as behind before its lease had ended."""
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
    assert fleet.chief.relieved == 0 and len(fleet.holders[gone].held(fleet.now)) == 1


def test_where_most_are_behind_it_is_the_yard_and_nobody_is_relieved() -> None:
    fleet = Fleet(6, [A, B, C, "look/south/b", "look/east/a", "look/east/b"])
    fleet.run(5.0)
    assert not fleet.run(30.0, tells=False) and fleet.chief.relieved == 0


def test_where_all_of_one_site_are_behind_it_is_the_site() -> None:
    posts = [f"look/{s}/{k}" for s in ("north", "south", "east", "west") for k in "ab"]
    fleet = Fleet(8, posts)
    fleet.run(5.0)
    for _ in range(120):
        fleet.now += 0.25
        for agent in fleet.holders:
            fleet.speak(agent)
        assert not fleet.chief.step(fleet.now, posts, fleet.posts)
        for agent, holder in fleet.holders.items():
            fleet.posts.looked(
                agent,
                1 << 20,
                [Report(p, t, 1, 1, 0, 1) for p, t in holder.held(fleet.now).items() if "north" not in p],
            )
    assert fleet.chief.relieved == 0


def test_one_whose_reports_lag_behind_those_of_the_same_site_is_relieved() -> None:
    posts = [f"look/{s}/{k}" for s in ("north", "south") for k in "abc"]
    fleet = Fleet(6, posts)
    fleet.run(5.0)
    slow = fleet.held()[A]
    for post in posts:
        fleet.versions[post] = 1 if post == A else 7
    fleet.run(9.0)
    assert fleet.chief.relieved == 1 and fleet.posts.posts[A].owner != slow


def shortage(
    seconds: float,
    alive: int,
    coming: int,
    room: int,
    told: int = 1,
    sites: int = 1,
    brings: int = 0,
) -> list[str]:
    names = [f"s{i}" for i in range(sites)]
    state, progress = Posts(), Progress(6.0)
    state.assign([Placed(f"look/{s}/a", 1, 1) for s in names], lambda: Token(1))
    for post in state.posts.values():
        post.told, post.alive, post.coming = told, alive, coming
    found: list[tuple[str, str]] = []
    for i in range(round(seconds)):
        for post in state.posts.values():
            post.brought = i * brings // 4
        found = progress.sites(float(i), state, {s: {"a": 3} for s in names}, {s: (5, 9) for s in names}, room)
    return [site for site, _ in found]


def test_an_owner_whose_servers_nobody_sees_come_is_behind() -> None:
    assert shortage(9, 1, 0, 5) == ["s0"]
    assert shortage(6, 1, 0, 5) == []
    assert shortage(9, 1, 2, 5) == [] == shortage(9, 3, 0, 5)
    assert shortage(9, 1, 0, 0) == [], "the bound leaves no room: it may not order"
    assert shortage(40, 1, 0, 5, brings=1) == [], "servers come, and end as fast"
    assert shortage(9, 1, 0, 5, told=0) == [], "nobody has looked"
    assert shortage(round(STUCK * 6) + 3, 1, 2, 5) == ["s0"], "an order that does not move"
    assert shortage(9, 1, 0, 5, sites=6) == [], "all sites at once: the yard"


def test_reports_count_under_the_newest_token_and_from_the_holders_life_alone() -> None:
    posts = Posts()
    posts.assign([Placed(A, 4, 9)], lambda: Token(7))
    report = Report(A, Token(7), 3, 2, 1, 5)
    assert posts.looked(4, 9, [report, Report(A, Token(6), 9, 9, 9, 9), Report(B, Token(7), 1, 1, 1, 1)]) == 2
    assert posts.looked(4, 8, [report]) == 1 == posts.looked(5, 9, [report])
    found = posts.posts[A]
    assert (found.told, found.version, found.alive, found.coming, found.brought) == (1, 3, 2, 1, 5)
    assert posts.versions == {"north": 3}
    posts.looked(4, 9, [Report(A, Token(7), 2, 8, 8, 8)])
    assert (found.told, found.alive) == (2, 2), "an older list of the yard's is no news"
    posts.assign([Placed(A, None)], lambda: Token(8))
    assert found.owner is None and found.token == Token(7)


def test_names_that_are_none_and_posts_over_the_bound_are_passed_over() -> None:
    posts = Posts()
    drawn = iter(range(1, 10**6))
    given = posts.assign(
        [Placed("capacity/north", 1, 1), Placed("look/north", 1, 1), Placed(A, 1, 1)], lambda: Token(next(drawn))
    )
    assert given == [(A, Token(1))]
    for i in range(POSTS_MOST + 5):
        posts.assign([Placed(f"look/n/{i}", 1, 1)], lambda: Token(next(drawn)))
    assert len(posts.posts) == POSTS_MOST


def test_the_groups_state_gives_posts_and_duties_tokens_of_one_row_and_keeps_them_over_a_snapshot() -> None:
    duties = Duties(["north"], 10)
    leader = cm.Proposal(0xFFFF, 1, 1, Assign([Placed(A, 3, 5), Placed(B, 4, 6)]))
    assert duties.apply(1, cm.encode(leader)) == cm.Result(True, token=Token(1))
    claim = cm.Proposal(2, 1, 1, cm.Claim(duty_of("north")))
    assert duties.apply(2, cm.encode(claim)).token == Token(3)
    tell = cm.Proposal(4, 6, 1, Looked([Report(B, Token(2), 5, 1, 0, 1), Report(A, Token(1), 5, 1, 0, 1)]))
    assert duties.apply(3, cm.encode(tell)) == cm.Result(False, "1 of 2 refused")
    other = Duties(["north"], 10)
    other.load(duties.dump())
    assert other.digest() == duties.digest() and other.whole.spread.posts[B].version == 5


def test_one_agent_can_hold_all_posts_there_may_be() -> None:
    """With 512 as the bound, an agent left alone with more was refused by its leader, and held nothing."""
    many = list(range(1, POSTS_MOST + 1))
    status = dm.Status(1, "north", [], 0, False, 1, 0, many)
    assert codec.decode(codec.encode(status)) == status
    site = dm.SiteBeat(NONE, 0, NONE, [], [], 0, 0)
    beat = dm.Beat(1, {}, site, {}, 0, 0, 1, [(f"look/north/{n}", Token(n)) for n in many])
    assert codec.decode(codec.encode(beat)) == beat


class Bench:
    """The work of a holder with a yard that is this test."""

    def __init__(self) -> None:
        self.asked: list[object] = []
        self.told: list[list[Report]] = []
        self.work = Looking(1.0, 3.0, self._ask, self._propose)
        self.result = cm.Result(True)

    def _ask(self, request: object, told: object, out: Out) -> None:
        self.asked.append(told)

    def _propose(self, now: float, command: object, told: object, out: Out) -> bool:
        assert isinstance(command, Looked) and callable(told)
        self.told.append(command.reports)
        told(now, self.result, out)
        return True

    def answer(self, now: float, version: object, alive: int) -> None:
        listed = Listed(
            [Ordered("o1", "a", 4, 1, "1.0"), Ordered("o2", "a", 4, 1, "1.0", True)], {"a": alive}, {}, "1.0"
        )
        told = self.asked.pop()
        assert callable(told)
        told(now, Answer(200, f'"{version}"', msgspec.json.encode(listed)), Out())

    def step(self, now: float, held: dict[str, Token], idle: bool = True) -> None:
        self.work.step(now, held, idle, Out())


def test_a_holder_looks_once_a_site_and_tells_what_is_new() -> None:
    bench = Bench()
    held = {A: Token(1), B: Token(2), C: Token(3)}
    bench.step(0.0, held)
    assert len(bench.asked) == 2, "one look for each site"
    bench.asked.pop(0)
    bench.asked.append(bench.work._listed("north"))
    bench.answer(0.1, 4, 2)
    bench.step(0.2, held, idle=False)
    assert not bench.told
    bench.step(0.3, held)
    assert bench.told == [[Report(A, Token(1), 4, 2, 3, 2), Report(B, Token(2), 4, 0, 0, 0)]]
    for now, version, alive, told in ((1.2, 4, 2, 1), (2.4, 5, 3, 2), (3.6, 5, 3, 2), (6.0, 5, 3, 3)):
        bench.asked.clear()
        bench.asked.append(bench.work._listed("north"))
        bench.answer(now, version, alive)
        bench.step(now, held)
        assert len(bench.told) == told, "new, or not told for long"


@pytest.mark.parametrize("version", ["", "x", "²", -1])
def test_a_list_that_cannot_be_read_is_no_news(version: object) -> None:
    bench = Bench()
    bench.step(0.0, {A: Token(1)})
    bench.answer(0.1, version, 2)
    bench.step(0.2, {A: Token(1)})
    assert not bench.told


def test_a_post_that_was_taken_away_is_told_of_no_more_and_a_refusal_is_looked_at_again() -> None:
    bench = Bench()
    bench.step(0.0, {A: Token(1)})
    bench.answer(0.1, 4, 2)
    bench.step(0.2, {A: Token(9)})
    assert not bench.told, "another token: it was looked at under the old one"
    bench.result = cm.Result(False, "1 of 1 refused")
    bench.asked.append(bench.work._listed("north"))
    bench.answer(1.5, 4, 2)
    bench.step(1.6, {A: Token(9)})
    assert bench.told[-1][0].token == Token(9) and not bench.work.told


def test_a_holder_that_is_heard_again_is_not_told_of_a_post_that_is_on_its_way_to_another() -> None:
    """Drawn day 1645: its old holder spoke between the proposal and the log, and was told to go on."""
    fleet = Fleet(2, [A, B])
    fleet.run(4.0)
    old = fleet.held()[A]
    fleet.silent.add(old)
    for _ in range(30):
        fleet.now += 0.25
        fleet.speak(1 - old)
        if moves := fleet.chief.step(fleet.now, [A, B], fleet.posts):
            break
    assert A in [m.post for m in moves]
    fleet.speak(old)
    assert A not in fleet.holders[old].held(fleet.now)
    assert not fleet.chief.step(fleet.now + STEP_S, [A, B], fleet.posts), "one assignment at a time"
    fleet.chief.settled()
    fleet.now += 1.0
    fleet.speak(old)
    assert A in fleet.holders[old].held(fleet.now), "it was not taken into the log: nothing has changed hands"
