"""Attempts whose connection is established late: the decision is checked again before the first byte is sent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest

from otterquay import interface as it
from otterquay.agent.sockets import peer_closed
from otterquay.standins.resp import served
from tests.crossings.forcing import BlockingAppliance, ConnectGate, PoolCalls, run, until, wait_until_arrived
from tests.noderig import SETTINGS, Rig, answer

LATE = {**SETTINGS["limits"], "connectTimeoutMs": 30000.0}
Change = Callable[[Rig, str], Any]


async def attempt_connecting(rig: Rig, gate: ConnectGate) -> tuple[asyncio.StreamReader, str, str]:
    """Send a request and wait until its attempt connects; returns its reader, that server and the other one."""
    reader, writer = await rig.connect()
    writer.write(rig.encode_request(id="one", d=6000))
    await rig.until(lambda: gate.waiting)
    at = next(i for i, one in enumerate(rig.appliances) if one.address == gate.waiting[0])
    return reader, f"s-{at}", f"s-{1 - at}"


CHANGES: dict[str, Change] = {
    "drains": lambda rig, name: rig.discovery.set(name, lifecycle="terminating"),
    "is gone": lambda rig, name: rig.discovery.set(name, lifecycle="terminated"),
    "has restarted": lambda rig, name: rig.discovery.set(name, startedAtMs=5e11),
    "runs another build": lambda rig, name: rig.discovery.set(name, version_no=2),
    "is elsewhere": lambda rig, name: rig.discovery.set(
        name, hostPort=next(one.address for one in rig.appliances if one is not rig.appliances[int(name[2:])])
    ),
}


@pytest.mark.parametrize("what", CHANGES)
def test_an_attempt_whose_server_changes_while_it_connects_is_decided_anew(what: str) -> None:
    async def work() -> None:
        async with Rig(count=2, limits=LATE) as rig:
            with ConnectGate(rig) as gate:
                reader, name, _ = await attempt_connecting(rig, gate)
                lists = len(rig.seen(it.ServerList))
                CHANGES[what](rig, name)
                await rig.until(lambda: len(rig.seen(it.ServerList)) > lists)
                gate.open.set()
                assert await answer(reader) == b"for one"
            first, second = rig.seen(it.Outcome)
            assert (first.status, first.over, second.status) == (it.Status.MOOT, False, it.Status.OK)
            assert len(rig.appliances[0].got) + len(rig.appliances[1].got) == 1
            if what in ("drains", "is gone", "is elsewhere"):
                assert not rig.appliances[int(name[2:])].got, "not sent to the server first chosen"
            assert len(rig.node.pool.open) == 1, "the connection for the first attempt was closed"

    run(work)


@pytest.mark.parametrize(
    ("state", "begins", "decided"),
    [
        (b"2 0 recalling 0 5", 0, 1),
        (b"2 0 recalled 1 5", 0, 1),  # no further attempt is allowed
        (b"2 0 testing 0.25 5", 1, 2),  # the free attempts may allow one: the module decides
        (b"2 0 testing 1 5", 1, 1),
        (b"2 0 live 1 5", 1, 1),
        (b"2 1 testing 1 5", 1, 1),  # the cap is not lower than before
    ],
)
def test_an_attempt_whose_cap_falls_while_it_connects_is_decided_anew(
    state: bytes,
    begins: int,
    decided: int,
) -> None:
    async def work() -> None:
        async with Rig(count=1, limits=LATE) as rig:
            rig.desk.publish(b"2 0 testing 1 5")
            rig.discovery.set("s-0", version_no=2, startedAtMs=1.0)  # started long ago, so it is warm
            await rig.until(lambda: rig.seen(it.StageNews)[-1].build == 2 and len(rig.seen(it.ServerList)) > 2)
            with ConnectGate(rig) as gate:
                reader, _, _ = await attempt_connecting(rig, gate)
                stages = len(rig.seen(it.StageNews))
                rig.desk.publish(state)
                await rig.until(lambda: len(rig.seen(it.StageNews)) > stages)
                gate.open.set()
                reply = await answer(reader)
            assert len(rig.appliances[0].got) == begins and (reply == b"for one") is bool(begins)
            assert len(rig.seen(it.Outcome)) == decided and not rig.node.open_requests

    run(work)


def test_an_attempt_whose_clients_close_lies_unread_when_it_could_begin_does_not() -> None:
    async def work() -> None:
        async with Rig(count=1, limits=LATE) as rig:
            with ConnectGate(rig) as gate:
                plain = socket.create_connection(rig.address)
                plain.sendall(rig.encode_request(id="left", d=6000))
                await rig.until(lambda: gate.waiting)
                (client,) = rig.node.front.clients
                (call,) = rig.node.pool.connecting
                plain.close()
                wait_until_arrived(lambda: peer_closed(client.transport))
                assert call.build_payload() is None, "called in the loop iteration before the close is read"
                gate.open.set()
                await rig.until(lambda: not rig.node.open_requests and not rig.node.pool.connecting)
            assert not rig.appliances[0].got and len(rig.seen(it.Abandoned)) == 1

    run(work)


def test_an_attempt_tells_the_time_that_is_left_when_it_begins() -> None:
    async def work() -> None:
        async with Rig(count=1, limits=LATE) as rig:
            with ConnectGate(rig) as gate:
                reader, _, _ = await attempt_connecting(rig, gate)
                (open_request,) = rig.node.open_requests.values()
                loop = asyncio.get_running_loop()
                until_s, waited = open_request.deadline_s, loop.time() + 0.2
                await rig.until(lambda: loop.time() > waited)
                gate.open.set()
                assert await answer(reader) == b"for one"
            (words,) = rig.appliances[0].got
            (left_ms,) = (int(item[2:]) for item in words[3].split(b",") if item.startswith(b"d="))
            assert 0 < left_ms <= (until_s - waited) * 1e3 + 1

    run(work)


def test_a_connection_that_came_up_for_a_process_that_has_ended_carries_its_call_and_no_other() -> None:
    async def work() -> None:
        calls, plain = PoolCalls(), BlockingAppliance()
        calls.call(plain.address)  # like a probe, it may be sent whatever became of the process
        calls.pool.retire([plain.address])
        conn = await plain.accept()
        await asyncio.get_running_loop().sock_recv(conn, 100)
        conn.sendall(served(b"first"))
        await until(lambda: calls.ends)
        await until(lambda: not calls.pool.open)
        assert not calls.pool.idle.get(plain.address)
        for one in (plain, conn):
            one.close()

    run(work)
