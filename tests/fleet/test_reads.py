"""Linearizability of reads of the group's books: what an answer must contain, and answers that come late."""

from __future__ import annotations

from otterquay.cores.effects import Effects
from otterquay.duties import commands as cm
from otterquay.duties import messages as dm
from otterquay.duties.state import OrderState
from otterquay.duties.token import Token, duty_of
from otterquay.duties.yard_orders import Answer
from otterquay.fleet.site_reconciler import SiteReconciler
from otterquay.lab.fleetsim.reads import ReadChecker

NORTH, TOKEN = duty_of("north"), Token(3)
OPEN = OrderState("north", "x", 2, 0, TOKEN, True)


def books(number: int, orders: dict[str, OrderState], granted: int = 0) -> dm.Books:
    return dm.Books("north", orders, {"x": 4}, {"north": granted}, {"north": 0}, 9, number)


def example_reads() -> ReadChecker:
    """An order committed at 1.0, an allowance of 5 at 2.0; agent 7 sends reads 1 to 3 at 0.5, 1.5 and 2.5."""
    reads = ReadChecker()
    for number, at in ((1, 0.5), (2, 1.5), (3, 2.5)):
        reads.message_sent(at, 7, dm.AskBooks("north", number))
    reads.order_recorded(1.0, cm.Order(NORTH, TOKEN, "o1", "x", 2))
    reads.allotment_recorded(2.0, cm.Allot(TOKEN, "north", 5))
    return reads


def test_a_read_has_what_was_answered_before_it_was_asked() -> None:
    assert not example_reads().check_answer(3.0, 7, books(1, {})), "the order was committed after the read was sent"
    assert not example_reads().check_answer(3.0, 7, books(2, {"o1": OPEN}))
    assert "not in north's books" in example_reads().check_answer(3.0, 7, books(2, {}))[0]
    assert "handed 5" in example_reads().check_answer(3.0, 7, books(3, {"o1": OPEN}, 4))[0]
    assert not example_reads().check_answer(3.0, 7, books(3, {"o1": OPEN}, 5))
    assert not example_reads().check_answer(3.0, 8, books(2, {})), "agent 8 sent no read"


def test_an_order_may_be_gone_once_its_closing_was_asked_for_and_must_be_once_that_was_answered() -> None:
    reads = example_reads()
    closing = cm.Settle(NORTH, TOKEN, "o1", 2, True)
    reads.message_sent(2.0, 7, dm.Propose(cm.Proposal(7, 1, 1, closing)))
    assert not reads.check_answer(3.0, 7, books(2, {})) and not reads.check_answer(3.0, 7, books(2, {"o1": OPEN}))
    reads.order_settled(2.2, closing)
    assert not reads.check_answer(3.0, 7, books(2, {"o1": OPEN})), (
        "the read was sent before the closing was answered"
    )
    assert "was closed by" in reads.check_answer(3.0, 7, books(3, {"o1": OPEN}, 5))[0]


def test_an_owner_passes_over_books_that_were_asked_for_before_its_last_change() -> None:
    """Guards against ordering twice: on slow links, books without an order arrived after the order was done."""
    ordered: list[cm.Command] = []

    def propose(now: float, command: cm.Command, on_result: object, out: Effects) -> bool:
        ordered.append(command)
        assert callable(on_result)
        on_result(now, cm.Result(True), out)
        return True

    reconciler = SiteReconciler(
        "north", TOKEN, lambda now, alive: {"x": 6}, 1.0, lambda *_: None, propose, "run", read_number=1
    )
    reconciler.receive_books(books(1, {}), 0.0, Effects())
    reconciler._order_missing(0.1, Effects())
    assert len(ordered) == 1 and reconciler.books is None
    pending_order = next(iter(reconciler.pending_orders.values()))
    pending_order.final, pending_order.started = True, 2
    reconciler._order_answered(0.5, pending_order, Answer(0), Effects())
    assert not reconciler.pending_orders, "the order is done and settled"
    reconciler.read_number = 2
    reconciler.receive_books(books(1, {}), 3.0, Effects())
    assert reconciler.books is None, "these books were requested before the last change"
    reconciler.receive_books(books(2, {}), 3.1, Effects())
    assert reconciler.books is not None
