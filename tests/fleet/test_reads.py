"""What a read of the group's books cannot say, by what was answered before it was asked; and late answers."""

from __future__ import annotations

from otterquay.cores.out import Out
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.errand import Answer
from otterquay.duties.state import OrderState
from otterquay.duties.token import Token, duty_of
from otterquay.fleet.sitework import SiteWork
from otterquay.lab.fleetsim.reads import ReadChecker

NORTH, TOKEN = duty_of("north"), Token(3)
OPEN = OrderState("north", "x", 2, 0, TOKEN, True)


def books(number: int, orders: dict[str, OrderState], granted: int = 0) -> dm.Books:
    return dm.Books("north", orders, {"x": 4}, {"north": granted}, {"north": 0}, 9, number)


def told() -> ReadChecker:
    """An order written by 1.0, a site handed 5 by 2.0; questions 1 to 3 of agent 7 left at 0.5, 1.5 and 2.5."""
    reads = ReadChecker()
    for number, at in ((1, 0.5), (2, 1.5), (3, 2.5)):
        reads.message_sent(at, 7, dm.AskBooks("north", number))
    reads.order_recorded(1.0, cm.Order(NORTH, TOKEN, "o1", "x", 2))
    reads.allotment_recorded(2.0, cm.Allot(TOKEN, "north", 5))
    return reads


def test_a_read_has_what_was_answered_before_it_was_asked() -> None:
    assert not told().check_answer(3.0, 7, books(1, {})), "the order came after the question"
    assert not told().check_answer(3.0, 7, books(2, {"o1": OPEN}))
    assert "not in north's books" in told().check_answer(3.0, 7, books(2, {}))[0]
    assert "handed 5" in told().check_answer(3.0, 7, books(3, {"o1": OPEN}, 4))[0]
    assert not told().check_answer(3.0, 7, books(3, {"o1": OPEN}, 5))
    assert not told().check_answer(3.0, 8, books(2, {})), "when that agent asked is not known"


def test_an_order_may_be_gone_once_its_closing_was_asked_for_and_must_be_once_that_was_answered() -> None:
    reads = told()
    closing = cm.Settle(NORTH, TOKEN, "o1", 2, True)
    reads.message_sent(2.0, 7, dm.Propose(cm.Proposal(7, 1, 1, closing)))
    assert not reads.check_answer(3.0, 7, books(2, {})) and not reads.check_answer(3.0, 7, books(2, {"o1": OPEN}))
    reads.order_settled(2.2, closing)
    assert not reads.check_answer(3.0, 7, books(2, {"o1": OPEN})), "asked before that"
    assert "was closed by" in reads.check_answer(3.0, 7, books(3, {"o1": OPEN}, 5))[0]


def test_an_owner_passes_over_books_that_were_asked_for_before_its_last_change() -> None:
    """On slow links an answer came after the order it knows nothing of was done: the same was ordered again."""
    ordered: list[cm.Command] = []

    def propose(now: float, command: cm.Command, told: object, out: Out) -> bool:
        ordered.append(command)
        assert callable(told)
        told(now, cm.Result(True), out)
        return True

    work = SiteWork("north", TOKEN, lambda now, alive: {"x": 6}, 1.0, lambda *_: None, propose, "run", reads=1)
    work.booked(books(1, {}), 0.0, Out())
    work._order(0.1, Out())
    assert len(ordered) == 1 and work.books is None
    errand = next(iter(work.errands.values()))
    errand.final, errand.started = True, 2
    work._ordered(0.5, errand, Answer(0), Out())
    assert not work.errands, "done and settled"
    work.reads = 2
    work.booked(books(1, {}), 3.0, Out())
    assert work.books is None, "of before"
    work.booked(books(2, {}), 3.1, Out())
    assert work.books is not None
