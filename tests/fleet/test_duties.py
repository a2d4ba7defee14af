"""The group's books, leases and an order's way, by hand."""

from __future__ import annotations

import random

import msgspec
import pytest

from otterquay.cores import lives
from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties.errand import Answer, Errand, Ordered
from otterquay.duties.lease import Book, Terms
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, Token, duty_of
from otterquay.standins.yard_ledger import YardLedger

NORTH = duty_of("north")


class Group:
    """Books, and agents that speak to them."""

    def __init__(self, bound: int = 20) -> None:
        self.books, self.numbers, self.index = Duties(["north", "south"], bound), dict[tuple[int, int], int](), 0

    def do(self, agent: int, command: cm.Command, life: int = 1 << lives.BITS, number: int = 0) -> cm.Result:
        self.index += 1
        self.numbers[agent, life] = number or self.numbers.get((agent, life), 0) + 1
        return self.books.apply(self.index, cm.encode(cm.Proposal(agent, life, self.numbers[agent, life], command)))

    def own(self, agent: int, duty: str = NORTH) -> Token:
        result = self.do(agent, cm.Claim(duty))
        assert result.ok
        return result.token


def test_a_duty_has_one_owner_and_each_grant_a_token_of_its_own() -> None:
    group = Group()
    first = group.own(1)
    assert not group.do(2, cm.Claim(NORTH)).ok
    assert group.do(1, cm.Release(NORTH, first)).ok
    second = group.own(2)
    assert second > first and group.own(3, CAPACITY) > second
    for command in (
        cm.Renew(NORTH, first),
        cm.Order(NORTH, first, "x", "a", 1),
        cm.Settle(NORTH, first, "x", 1, True),
        cm.Found(NORTH, first, [], 0, True),
        cm.Ended(NORTH, first, "a", 1),
        cm.Release(NORTH, first),
    ):
        assert group.do(1, command).reason == f"token {first} after {second}"
    assert group.do(3, cm.Order(NORTH, second, "x", "a", 1)).reason == "not the owner"


def test_a_lease_that_was_renewed_meanwhile_does_not_expire() -> None:
    group = Group()
    token = group.own(1)
    renewals = group.books.whole.duties[NORTH].renewals
    assert group.do(1, cm.Renew(NORTH, token)).ok
    assert not group.do(9, cm.Expire(NORTH, token, renewals)).ok
    assert group.do(9, cm.Expire(NORTH, token, renewals + 1)).ok
    assert group.books.whole.duties[NORTH].owner is None


def test_a_repeated_proposal_gets_its_first_answer_and_does_nothing_twice() -> None:
    group = Group()
    first = group.do(1, cm.Claim(NORTH), number=5)
    assert group.do(1, cm.Claim(NORTH), number=5) == first and first.ok
    assert group.do(1, cm.Claim(CAPACITY), number=4).reason == "done before"
    later = 2 << lives.BITS
    assert group.do(1, cm.Claim(CAPACITY), later, 1).ok
    assert group.do(1, cm.Renew(NORTH, first.token), 1 << lives.BITS, 9).reason == "an earlier life"
    assert group.do(1, cm.Renew(NORTH, first.token), later | 7, 9).reason == "an earlier life", "a copy"


def test_allowances_and_orders_never_pass_the_bound_together() -> None:
    group = Group(bound=10)
    north, fleet = group.own(1), group.own(2, CAPACITY)
    assert group.do(2, cm.Allot(fleet, "south", 4)).ok
    assert group.do(1, cm.Order(NORTH, north, "a", "x", 6)).ok
    assert group.do(1, cm.Order(NORTH, north, "b", "x", 1)).reason == "over the bound of 10"
    assert not group.do(2, cm.Allot(fleet, "south", 5)).ok and not group.do(2, cm.Allot(fleet, "south", 3)).ok
    assert group.do(1, cm.Settle(NORTH, north, "a", 4, True)).ok, "only four were started"
    assert group.do(1, cm.Order(NORTH, north, "b", "x", 2)).ok
    assert group.do(1, cm.Ended(NORTH, north, "x", 3)).ok
    assert group.books.alive("north", "x") == 1 and group.books.taken() == 7


def test_an_act_is_taken_once_by_journal_list_or_both_and_leaves_the_allowance() -> None:
    group = Group(bound=10)
    fleet = group.own(2, CAPACITY)
    group.do(2, cm.Allot(fleet, "north", 5))
    act = cm.Act("5.1-1-3", "order", "x", 3, 3, sent=True)
    for _ in range(2):
        assert group.do(3, cm.Handover("north", Token(1, 1), [act], True)).ok
    whole = group.books.whole
    assert whole.sites["north"].spent == 3 and whole.acts == 1 and group.books.taken() == 3 + 2
    assert group.books.open_journals("north", [Token(1, 1), Token(1, 2)]) == [Token(1, 2)]
    owner = group.own(1)
    assert group.do(1, cm.Found(NORTH, owner, [act, cm.Act("5.2-1-4", "order", "x", 1, 1)], 4, True)).ok
    assert whole.acts == 2 and whole.sites["north"].spent == 4 and whole.sites["north"].floor == owner
    late = cm.Act("5.2-2-4", "order", "x", 1, sent=True)
    group.do(3, cm.Handover("north", Token(1, 2), [late], True))
    assert whole.sites["north"].spent == 4, "the settlement has counted that term's reservations already"
    assert not group.do(3, cm.Handover("north", Token(5, 0), [], True)).ok


def test_the_books_survive_a_snapshot() -> None:
    group = Group()
    token = group.own(1)
    group.do(1, cm.Order(NORTH, token, "a", "x", 2))
    other = Duties(["north", "south"], 20)
    other.load(group.books.dump())
    assert other.digest() == group.books.digest() and other.dump() == group.books.dump()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([1, 2, 3, ["nothing"]]),
        msgspec.msgpack.encode([1, 2**63, 3, ["claim", "x"]]),
        msgspec.msgpack.encode([1, -2, 3, ["claim", "x"]]),
    ],
)
def test_a_command_that_is_none_changes_nothing(data: bytes) -> None:
    group = Group()
    before = group.books.dump()
    assert not group.books.apply(1, data).ok and group.books.dump() == before


def test_an_owner_counts_from_before_it_asked_and_a_fresh_leader_from_its_own_beginning() -> None:
    terms = Terms(lease=4.0, drift=0.1)
    assert terms.owner == pytest.approx(3.6) and terms.group == pytest.approx(4.4)
    group = Group()
    group.own(1)
    book = Book(terms)
    assert book.overdue(10.0, 9.0, group.books) == []
    assert book.overdue(13.3, 9.0, group.books) == []
    assert [name for name, _, _ in book.overdue(13.5, 9.0, group.books)] == [NORTH]
    group.own(2, CAPACITY)
    assert [name for name, _, _ in book.overdue(15.0, 9.0, group.books)] == [NORTH], "granted since: not from 9.0"
    assert CAPACITY in [name for name, _, _ in book.overdue(19.5, 9.0, group.books)]


def test_an_order_is_asked_for_again_under_one_id_until_it_is_whole_and_then_cancelled() -> None:
    yard = YardLedger(random.Random(1), half=1.0)
    errand, now = Errand("north", "1.0-1", "x", 1000, Token(1)), 0.0
    asked = []
    while not errand.final and now < 60:
        now += 0.5
        errand.overdue(now)
        if request := errand.step(now):
            asked.append(request)
            answer = yard.answer(now, 1, request)
            if len(asked) % 3:
                errand.answer(now, answer)
    assert errand.final and {r.key for r in asked} == {"1.0-1"} and asked[-1].method == "DELETE"
    order = yard.site("north").orders["1.0-1"]
    assert order.cancelled and errand.started == order.started == yard.site("north").alive["x"] < 1000


def test_a_refused_token_ends_an_errand_and_a_spoilt_answer_does_not() -> None:
    errand = Errand("north", "1.0-1", "x", 2, Token(1))
    assert errand.step(0.0) is not None and errand.step(0.0) is None
    errand.answer(0.1, Answer(201, "", b"{"))
    assert not errand.final and errand.step(5.0) is not None
    errand.answer(5.1, Answer(201, "", msgspec.json.encode(Ordered("other", "x", 2, 2, "1.0"))))
    assert not errand.final
    assert errand.step(9.0) is not None
    errand.answer(9.1, Answer(409, "2.0"))
    assert errand.stale and errand.step(99.0) is None


@pytest.mark.parametrize("text", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.0", f"{2**62}.0", "1.0 "])
def test_a_token_that_is_none_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="no token"):
        Token.parse(text)
    assert Token.parse(str(Token(3, 4))) == Token(3, 4)
    assert Out().empty()
