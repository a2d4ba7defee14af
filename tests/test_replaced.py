"""A server replaced under the same name: what was learnt of the old one never counts for the new one."""

from __future__ import annotations

import asyncio
import math

import msgspec
import pytest
from helpers import Drive, entry, sends, settings
from rig import Rig, kind, right, run, service

from otterquay import interface as it
from otterquay.agent.back import Pool
from otterquay.agent.feeds import FleetBook
from otterquay.lab.disk import FaultDisk
from otterquay.logs import silent
from otterquay.protocol import news
from otterquay.protocol.http import HttpResponse, write_request, write_response
from otterquay.standins.http import Listener, Peer

FULL, DELTA, CACHED = it.ListKind.FULL, it.ListKind.DELTA, it.ListKind.CACHED
REPLACED = {
    "restarted": entry(1, started=1e6),
    "another build": entry(1, build=2),
    "another build, cold": entry(1, build=2, started=1e6),
}


def worn() -> Drive:
    """An agent with one server of which it has learnt much, all of it bad, and an attempt out."""
    drive = Drive(settings(report_fields=(it.LoadField.INFLIGHT,), reports_in_answers=True), servers=1)
    drive.agent.gauge = 0
    for _ in range(6):
        drive.tick(500.0)
        drive.now += 10.0  # what comes in the turn in which it is woken late is not booked
        for send in sends(drive.ask()[1]):
            drive.give(it.Outcome(send.request, 1, 0, it.Status.ERROR, 900.0, True, (50.0,)))
    drive.ask(budget=3000.0)
    return drive


@pytest.mark.parametrize("how", [FULL, DELTA, CACHED])
@pytest.mark.parametrize("what", REPLACED)
def test_nothing_learnt_of_the_old_server_counts_for_the_new_one(what: str, how: it.ListKind) -> None:
    drive = worn()
    drive.now += 10.0
    old = drive.agent.servers[1]
    assert old.ok < 0.7 and old.series and old.open and old.load == 50.0 and old.sent
    drive.list(REPLACED[what], kind=how)
    fresh = drive.agent.servers[1]
    assert fresh is not old and (fresh.ok, fresh.slow, fresh.load, fresh.errors) == (1.0, 1.0, 0.0, 0)
    assert not (fresh.open or fresh.sent or fresh.series or fresh.bin) and fresh.linked == -math.inf

    (send,) = (a for a in drive.all if isinstance(a, it.Send) and a.request == drive.ids)
    drive.give(it.Outcome(send.request, 1, 0, it.Status.ERROR, 800.0, True, (60.0,)))
    drive.tick(500.0)
    assert not fresh.series and fresh.ok == 1.0 and fresh.load == 0.0, "the old one's end is the old one's"


def test_an_attempt_out_at_the_old_one_speaks_of_the_build_that_ran_it() -> None:
    drive = Drive(servers=1)
    drive.now += 10.0
    drive.news(2, 0, it.Phase.TRIAL, 1.0)
    (send,) = sends(drive.ask()[1])
    drive.list(entry(1, build=2))
    drive.end(send, it.Status.ERROR, over=True)
    assert drive.agent.fresh[:4] == [0.0, 0.0, 1.0, 1.0], "an error of the earlier build, none of the trial"


def test_a_complaint_on_an_answer_of_the_old_one_is_none_of_the_new_one() -> None:
    """It names a server by number only: its age tells which one gave the answer."""
    drive = Drive(servers=2)
    drive.news(2, 0, it.Phase.TRIAL, 1.0)
    drive.list(entry(1, build=2, started=drive.now))
    drive.now += 1000.0
    drive.give(it.Complaint(0, 1, 1500.0))
    assert drive.agent.fresh == drive.agent.none and not drive.agent.servers[1].bin
    drive.give(it.Complaint(0, 1, 900.0))
    assert drive.agent.fresh[:2] == [0.0, 1.0]


def test_a_start_that_is_not_told_makes_no_cold_server_warm_and_is_no_restart() -> None:
    drive = Drive(servers=3)
    drive.list(entry(4, started=drive.now))
    cold = drive.agent.servers[4]
    drive.list(entry(4, started=0.0))
    assert drive.agent.servers[4] is cold and drive.agent._age(cold) == 0.0
    drive.list(entry(4, started=drive.now + 1.0))
    assert drive.agent.servers[4] is not cold


def test_a_server_that_leaves_and_comes_back_within_its_window_has_its_cold_budget_spent() -> None:
    drive = Drive(servers=1)
    cold = entry(9, started=drive.now)
    drive.list(cold)
    while not drive.agent.servers[9].sent:
        for send in sends(drive.ask()[1]):
            drive.end(send)
    drive.list(entry(9, started=cold.started_ms, state=it.ServerState.GONE))
    drive.tick(500.0)
    drive.list(cold)
    assert drive.agent.servers[9].sent, "forgetting must not free it"


# --- the book of the list ---
def told(book: FleetBook, version: int, now: float, *entries: news.Entry, base: int | None = -1) -> list[float]:
    event = book.heard(f"l:{version}", news.FleetNews(version, list(entries), version - 1 if base == -1 else base),
                       now)
    assert event is not None
    return [e.started_ms for e in event.entries]


def server(life: int, age: float | None = None, state: str = "ready", build: int = 1, port: int = 1) -> news.Entry:
    return news.Entry(1, "a", state, build, f"127.0.0.1:{port}", life, age_ms=age)  # type: ignore[arg-type]


# --- the running agent ---
