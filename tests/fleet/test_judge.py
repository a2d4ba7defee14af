"""Tests the judge of the fleet simulation: each violation is counted when its messages occur, and only then."""

from __future__ import annotations

import random

import msgspec

from otterquay.cores import incarnations
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.state import Duties
from otterquay.duties.token import Token, duty_of
from otterquay.duties.yard_orders import OrderBody, Request
from otterquay.fleet import codec
from otterquay.lab.fleetsim.judge import SAFETY_COUNTS, Judge
from otterquay.runtimes import rows as rw
from otterquay.sites import messages as sm
from otterquay.standins.yard_ledger import YardLedger

NORTH = duty_of("north")
LIFE = 1 << incarnations.RANDOM_BITS


def judge() -> Judge:
    return Judge(4, sites={0: "north", 1: "north", 2: "south"})


def violations(one: Judge) -> set[str]:
    return {name for name, count in one.summary().items() if count}


def grant(one: Judge, agent: int, token: int) -> None:
    one.message_delivered(1.0, agent, 9, dm.Propose(cm.Proposal(agent, LIFE, token, cm.Claim(NORTH))))
    one.message_delivered(1.1, 9, agent, dm.Done(LIFE, token, cm.Result(True, token=Token(token))))


def order(yard: YardLedger, token: Token, agent: int, key: str, count: int = 1) -> None:
    yard.answer(
        2.0,
        agent,
        Request("POST", "/sites/north/orders", token, key, body=msgspec.json.encode(OrderBody("x", count))),
    )


def test_two_owners_and_two_coordinators() -> None:
    one = judge()
    grant(one, 0, 5)
    grant(one, 0, 6)
    one.message_delivered(2.0, 0, 1, sm.Lead(Token(5, 1), 1, 0, {}))
    one.message_delivered(2.0, 0, 1, sm.Lead(Token(5, 1), 1, 0, {}))
    assert violations(one) == set()
    one.message_delivered(2.0, 1, 0, sm.Lead(Token(5, 1), 1, 0, {}))
    assert violations(one) == {"two_coordinators"}
    grant(one, 1, 5)
    assert violations(one) == {"two_coordinators", "two_owners"}


def test_loosened_by_a_later_beat_and_not_by_a_late_one() -> None:
    one = judge()
    one.message_delivered(1.0, 0, 1, sm.Lead(Token(5, 1), 1, 0, {}))
    one.message_delivered(1.0, 0, 1, sm.Lead(Token(5, 1), 2, 0, {7: 0.2}))
    one.message_delivered(1.1, 0, 1, sm.Lead(Token(5, 1), 1, 0, {}))
    assert violations(one) == set()
    one.message_delivered(1.2, 0, 1, sm.Lead(Token(5, 1), 3, 0, {7: 0.3}))
    assert violations(one) == {"loosened"}


def test_counted_twice_by_rows_that_do_not_grow_with_their_version() -> None:
    key = rw.Key(0, LIFE, 0, "read", "a", 1, 1)

    def send_row(one: Judge, version: int, count: int) -> None:
        one.message_delivered(1.0, 0, 1, dm.Rows(rw.encode([(key, rw.Row(version, {3: count}))])))

    one = judge()
    for version, count in ((1, 1), (3, 3), (2, 2), (3, 3)):
        send_row(one, version, count)
    assert violations(one) == set()
    send_row(one, 3, 4)
    assert violations(one) == {"counted_twice"}
    other = judge()
    send_row(other, 1, 5)
    send_row(other, 2, 5)
    assert violations(other) == {"counted_twice"}


def test_late_harm_and_too_many_servers_at_the_yard() -> None:
    one, yard = judge(), YardLedger(random.Random(1), fencing=False)
    yard.on_effect = one.yard_effect
    order(yard, Token(2), 0, "a")
    order(yard, Token(3), 1, "b")
    assert violations(one) == set()
    order(yard, Token(2), 0, "c")
    assert violations(one) == {"late_harm"}
    order(yard, Token(3), 1, "d", 5)
    one.check_running(2.0, yard)
    assert violations(one) == {"late_harm", "over_allowance"}


def test_the_log_that_differs_tokens_that_fall_and_commands_under_old_ones() -> None:
    one = judge()
    claim = cm.encode(cm.Proposal(0, LIFE, 1, cm.Claim(NORTH)))
    one.entry_applied(1.0, 1, claim, 0, cm.Result(True, token=Token(4)))
    one.entry_applied(1.0, 1, claim, 1, cm.Result(True, token=Token(4)))
    assert violations(one) == set()
    one.entry_applied(
        1.0, 2, cm.encode(cm.Proposal(0, LIFE, 2, cm.Claim(NORTH))), 0, cm.Result(True, token=Token(3))
    )
    assert violations(one) == {"tokens_back"}
    one.entry_applied(1.0, 3, cm.encode(cm.Proposal(0, LIFE, 3, cm.Renew(NORTH, Token(2)))), 0, cm.Result(True))
    assert violations(one) == {"tokens_back", "late_harm"}
    one.entry_applied(1.0, 1, b"other", 2, None)
    assert violations(one) == {"tokens_back", "late_harm", "state_differs"}


def test_orders_and_acts_that_are_lost_repeated_or_taken_twice() -> None:
    books, yard = Duties(["north", "south"], 9), YardLedger(random.Random(1))
    one = judge()
    order(yard, Token(1, 1), 0, "act")
    one.check_end(yard, books)
    assert violations(one) == {"acts_lost", "over_allowance"}, "a site without an allowance ordered"
    books.apply(
        1,
        cm.encode(
            cm.Proposal(
                0, LIFE, 1, cm.Handover("north", Token(1, 1), [cm.Act("act", "order", "x", 1, 1, sent=True)], True)
            )
        ),
    )
    fine = judge()
    books.group_state.sites["north"].granted = 1
    fine.check_end(yard, books)
    assert violations(fine) == set()
    order(yard, Token(2), 0, "plain")
    lost = judge()
    lost.check_end(yard, books)
    assert violations(lost) == {"orders_lost"}
    twice = judge()
    books.group_state.orders.clear()
    books.closed = {"act": None, "plain": None}
    books.group_state.running["north"] = {"x": 3}
    twice.check_end(yard, books)
    assert violations(twice) == {"acts_twice"}
    again = judge()
    yard.site("north").orders["plain"] = msgspec.structs.replace(yard.site("north").orders["plain"], started=4)
    books.group_state.running["north"] = {"x": 5}
    again.check_end(yard, books)
    assert "orders_repeated" in violations(again)
    assert len(SAFETY_COUNTS) == 12 and codec.decode(codec.encode(dm.AskTable())) == dm.AskTable()


def test_a_request_that_leaves_under_an_old_token_from_one_that_was_awake() -> None:
    one = judge()
    one.entry_applied(
        10.0, 1, cm.encode(cm.Proposal(0, LIFE, 1, cm.Claim(NORTH))), 0, cm.Result(True, token=Token(4))
    )
    one.yard_request_sent(10.04, 1, "north", Token(3), 0.0)
    one.yard_request_sent(12.0, 1, "north", Token(3), 9.5)
    one.yard_request_sent(12.0, 0, "north", Token(4), 0.0)
    assert violations(one) == set(), "sent just after the grant, by a process that was suspended, or by the owner"
    one.yard_request_sent(12.0, 1, "north", Token(3), 0.0)
    assert violations(one) == {"two_owners"}
