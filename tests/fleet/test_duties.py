"""The group's replicated state, leases and the retries of one order, driven by hand."""

from __future__ import annotations

import random

import msgspec
import pytest

from otterquay.cores import incarnations
from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties.lease import LeaseRegistry, LeaseTerms
from otterquay.duties.state import Duties
from otterquay.duties.token import CAPACITY, Token, duty_of
from otterquay.duties.yard_orders import Answer, PendingOrder, YardOrder
from otterquay.standins.yard_ledger import YardLedger

NORTH = duty_of("north")


class Group:
    """The replicated state, and agents that send it proposals."""

    def __init__(self, bound: int = 20) -> None:
        self.duties, self.numbers, self.index = Duties(["north", "south"], bound), dict[tuple[int, int], int](), 0

    def propose(
        self, agent: int, command: cm.Command, incarnation: int = 1 << incarnations.RANDOM_BITS, number: int = 0
    ) -> cm.Result:
        self.index += 1
        self.numbers[agent, incarnation] = number or self.numbers.get((agent, incarnation), 0) + 1
        return self.duties.apply(
            self.index, cm.encode(cm.Proposal(agent, incarnation, self.numbers[agent, incarnation], command))
        )

    def own(self, agent: int, duty: str = NORTH) -> Token:
        result = self.propose(agent, cm.Claim(duty))
        assert result.ok
        return result.token


def test_a_duty_has_one_owner_and_each_grant_a_new_token() -> None:
    group = Group()
    first = group.own(1)
    assert not group.propose(2, cm.Claim(NORTH)).ok
    assert group.propose(1, cm.Release(NORTH, first)).ok
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
        assert group.propose(1, command).reason == f"token {first} after {second}"
    assert group.propose(3, cm.Order(NORTH, second, "x", "a", 1)).reason == "not the owner"


def test_a_lease_that_was_renewed_meanwhile_does_not_expire() -> None:
    group = Group()
    token = group.own(1)
    renewals = group.duties.group_state.duties[NORTH].renewals
    assert group.propose(1, cm.Renew(NORTH, token)).ok
    assert not group.propose(9, cm.Expire(NORTH, token, renewals)).ok
    assert group.propose(9, cm.Expire(NORTH, token, renewals + 1)).ok
    assert group.duties.group_state.duties[NORTH].owner is None


def test_a_repeated_proposal_gets_its_first_answer_and_does_nothing_twice() -> None:
    group = Group()
    first = group.propose(1, cm.Claim(NORTH), number=5)
    assert group.propose(1, cm.Claim(NORTH), number=5) == first and first.ok
    assert group.propose(1, cm.Claim(CAPACITY), number=4).reason == "done before"
    later_incarnation = 2 << incarnations.RANDOM_BITS
    assert group.propose(1, cm.Claim(CAPACITY), later_incarnation, 1).ok
    assert (
        group.propose(1, cm.Renew(NORTH, first.token), 1 << incarnations.RANDOM_BITS, 9).reason == "an earlier life"
    )
    assert group.propose(1, cm.Renew(NORTH, first.token), later_incarnation | 7, 9).reason == "an earlier life", (
        "a copy"
    )


def test_allowances_and_orders_never_exceed_the_bound_together() -> None:
    group = Group(bound=10)
    north, fleet = group.own(1), group.own(2, CAPACITY)
    assert group.propose(2, cm.Allot(fleet, "south", 4)).ok
    assert group.propose(1, cm.Order(NORTH, north, "a", "x", 6)).ok
    assert group.propose(1, cm.Order(NORTH, north, "b", "x", 1)).reason == "over the bound of 10"
    assert (
        not group.propose(2, cm.Allot(fleet, "south", 5)).ok
        and not group.propose(2, cm.Allot(fleet, "south", 3)).ok
    )
    assert group.propose(1, cm.Settle(NORTH, north, "a", 4, True)).ok, "only four servers were started"
    assert group.propose(1, cm.Order(NORTH, north, "b", "x", 2)).ok
    assert group.propose(1, cm.Ended(NORTH, north, "x", 3)).ok
    assert group.duties.alive("north", "x") == 1 and group.duties.committed_servers() == 7


def test_an_act_is_recorded_once_by_journal_list_or_both_and_charged_to_the_allowance() -> None:
    group = Group(bound=10)
    fleet = group.own(2, CAPACITY)
    group.propose(2, cm.Allot(fleet, "north", 5))
    act = cm.Act("5.1-1-3", "order", "x", 3, 3, sent=True)
    for _ in range(2):
        assert group.propose(3, cm.Handover("north", Token(1, 1), [act], True)).ok
    state = group.duties.group_state
    assert state.sites["north"].spent == 3 and state.acts == 1 and group.duties.committed_servers() == 3 + 2
    assert group.duties.open_journals("north", [Token(1, 1), Token(1, 2)]) == [Token(1, 2)]
    owner = group.own(1)
    assert group.propose(1, cm.Found(NORTH, owner, [act, cm.Act("5.2-1-4", "order", "x", 1, 1)], 4, True)).ok
    assert state.acts == 2 and state.sites["north"].spent == 4 and state.sites["north"].floor == owner
    late = cm.Act("5.2-2-4", "order", "x", 1, sent=True)
    group.propose(3, cm.Handover("north", Token(1, 2), [late], True))
    assert state.sites["north"].spent == 4, "the settlement has already counted that term's reservations"
    assert not group.propose(3, cm.Handover("north", Token(5, 0), [], True)).ok


def test_the_state_survives_a_snapshot() -> None:
    group = Group()
    token = group.own(1)
    group.propose(1, cm.Order(NORTH, token, "a", "x", 2))
    other = Duties(["north", "south"], 20)
    other.load(group.duties.dump())
    assert other.digest() == group.duties.digest() and other.dump() == group.duties.dump()


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
def test_an_invalid_command_changes_nothing(data: bytes) -> None:
    group = Group()
    before = group.duties.dump()
    assert not group.duties.apply(1, data).ok and group.duties.dump() == before


def test_an_owners_lease_counts_from_its_request_and_a_new_leader_counts_from_its_first_entry() -> None:
    terms = LeaseTerms(lease=4.0, drift=0.1)
    assert terms.owner == pytest.approx(3.6) and terms.group == pytest.approx(4.4)
    group = Group()
    group.own(1)
    registry = LeaseRegistry(terms)
    assert registry.overdue(10.0, 9.0, group.duties) == []
    assert registry.overdue(13.3, 9.0, group.duties) == []
    assert [name for name, _, _ in registry.overdue(13.5, 9.0, group.duties)] == [NORTH]
    group.own(2, CAPACITY)
    assert [name for name, _, _ in registry.overdue(15.0, 9.0, group.duties)] == [NORTH], (
        "granted since then, so not counted from 9.0"
    )
    assert CAPACITY in [name for name, _, _ in registry.overdue(19.5, 9.0, group.duties)]


def test_an_order_is_retried_under_one_id_and_its_rest_is_cancelled_in_the_end() -> None:
    yard = YardLedger(random.Random(1), half=1.0)
    pending_order, now = PendingOrder("north", "1.0-1", "x", 1000, Token(1)), 0.0
    requests = []
    while not pending_order.final and now < 60:
        now += 0.5
        pending_order.overdue(now)
        if request := pending_order.step(now):
            requests.append(request)
            answer = yard.answer(now, 1, request)
            if len(requests) % 3:
                pending_order.answer(now, answer)
    assert pending_order.final and {r.key for r in requests} == {"1.0-1"} and requests[-1].method == "DELETE"
    order = yard.site("north").orders["1.0-1"]
    assert order.cancelled and pending_order.started == order.started == yard.site("north").alive["x"] < 1000


def test_a_refused_token_ends_an_order_and_a_malformed_answer_does_not() -> None:
    pending_order = PendingOrder("north", "1.0-1", "x", 2, Token(1))
    assert pending_order.step(0.0) is not None and pending_order.step(0.0) is None
    pending_order.answer(0.1, Answer(201, "", b"{"))
    assert not pending_order.final and pending_order.step(5.0) is not None
    pending_order.answer(5.1, Answer(201, "", msgspec.json.encode(YardOrder("other", "x", 2, 2, "1.0"))))
    assert not pending_order.final
    assert pending_order.step(9.0) is not None
    pending_order.answer(9.1, Answer(409, "2.0"))
    assert pending_order.stale and pending_order.step(99.0) is None


@pytest.mark.parametrize("text", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.0", f"{2**62}.0", "1.0 "])
def test_an_invalid_token_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="no token"):
        Token.parse(text)
    assert Token.parse(str(Token(3, 4))) == Token(3, 4)
    assert Effects().is_empty()
