"""Races of clients that disconnect, break the protocol or wait while something else happens to them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from otterquay import interface as it
from otterquay.agent.sockets import peer_closed
from otterquay.node import client as clients
from otterquay.standins.resp import answer_bytes, never_answer, served
from tests.crossings.forcing import front_clock_at, hold_requests, open_idle_connections, run, wait_until_arrived
from tests.noderig import SETTINGS, Rig, answer


def test_an_attempt_whose_client_left_while_it_connected_never_begins() -> None:
    async def work() -> None:
        async with Rig(count=1, limits={**SETTINGS["limits"], "connectTimeoutMs": 30000.0}) as rig:
            full = socket.socket()  # its backlog holds one connection, so a second is not established
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = "{}:{}".format(*full.getsockname())
            filler = socket.create_connection(full.getsockname())
            rig.discovery.set("s-0", hostPort=address)
            await rig.until(lambda: address in {e.address for e in rig.node.list.entries.values()})
            _, writer = await rig.connect()
            writer.write(rig.encode_request(id="left", d=6000))
            await rig.until(lambda: rig.node.pool.connecting)
            writer.close()
            # the connect ends one loop iteration after the outcome
            await rig.until(lambda: rig.seen(it.Outcome) and not rig.node.pool.connecting)
            assert [e.status for e in rig.seen(it.Outcome)] == [it.Status.MOOT] and len(rig.seen(it.Abandoned)) == 1
            assert not rig.node.open_requests and not rig.node.pool.open
            filler.close()
            full.close()

    run(work)


def test_a_retry_whose_client_has_just_left_does_not_begin() -> None:
    async def work() -> None:
        async with Rig(count=3) as rig:
            before = await open_idle_connections(rig)
            held = hold_requests(rig)
            plain = socket.create_connection(rig.address)
            plain.sendall(rig.encode_request(id="left"))
            await rig.until(lambda: held)
            (client,) = rig.node.front.clients
            (attempt,) = (c for c in rig.node.pool.open if c.call)
            plain.close()
            wait_until_arrived(lambda: peer_closed(client.transport))
            attempt.reader.feed_data(b"-BUSY\r\n")  # read in the loop iteration before the close is
            await rig.until(lambda: rig.seen(it.Abandoned))
            assert [e.status for e in rig.seen(it.Outcome)][before:] == [it.Status.FULL, it.Status.MOOT]
            await asyncio.sleep(0.05)
            assert sum(len(one.got) for one in rig.appliances) == before + 1 and not rig.node.open_requests

    run(work)


def test_the_close_of_a_client_that_broke_the_protocol_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "ENDING_TIMEOUT_S", 1e9)

    async def work() -> None:
        async with Rig(count=1) as rig:
            held = hold_requests(rig)
            _, writer = await rig.connect()
            writer.write(rig.encode_request(id="one") + b"noise\r\n")
            await rig.until(lambda: held)
            writer.write(b"more noise")
            writer.close()
            await rig.until(lambda: rig.seen(it.Abandoned))
            await rig.until(lambda: not rig.node.front.clients)

    run(work)


def test_a_client_that_floods_after_it_broke_the_protocol_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "ENDING_TIMEOUT_S", 1e9)

    async def work() -> None:
        async with Rig(count=1) as rig:
            held = hold_requests(rig)
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="one") + b"noise\r\n")
            await rig.until(lambda: held)
            writer.write(b"x" * 2 * clients.MAX_DISCARDED_BYTES)
            assert await answer(reader) in (b"-ERR failed", b"")
            await rig.until(lambda: rig.seen(it.Abandoned) and not rig.node.front.clients)

    run(work)


def test_the_close_of_a_client_that_takes_no_answers_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "WRITE_STALL_TIMEOUT_S", 1e9)

    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = answer_bytes(served(b"x" * 60_000))
            plain = socket.socket()
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            plain.connect(rig.address)
            await rig.until(lambda: rig.node.front.clients)
            client = next(iter(rig.node.front.clients))
            while client.transport.get_write_buffer_size() < clients.MAX_UNSENT_BYTES:
                plain.sendall(rig.encode_request())
                await asyncio.sleep(0.01)
            assert not client.transport.is_reading()
            plain.close()
            await rig.until(lambda: not rig.node.front.clients)

    run(work, "asyncio")


def test_a_client_keeps_its_patience_while_the_agent_stands_still() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            front = rig.node.front
            idle, half, doomed = [await rig.connect() for _ in range(3)]
            whole = rig.encode_request(id="half")
            half[1].write(whole[:30])
            rig.appliances[0].behave = never_answer
            doomed[1].write(rig.encode_request(id="owed") + b"noise\r\n")
            await rig.until(
                lambda: len(front.clients) == 3
                and rig.node.open_requests
                and any(c.parser.started for c in front.clients)
            )
            with front_clock_at(front, front.now() + 60.0):
                front._sweep()  # the first timer after the stall, before any socket is read
            assert len(front.clients) == 3 and rig.node.open_requests, "no client has timed out"
            rig.appliances[0].behave = lambda _, w, words: w.write(served(b"for " + words[2]))
            half[1].write(whole[30:])
            idle[1].write(rig.encode_request(id="idle"))
            assert (await answer(half[0]), await answer(idle[0])) == (b"for half", b"for idle")

    run(work)


def test_a_request_that_trickles_in_is_taken_while_bytes_come() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            front = rig.node.front
            reader, writer = await rig.connect()
            whole = rig.encode_request(id="slow")
            writer.write(whole[:10])
            await rig.until(lambda: any(c.parser.started for c in front.clients))
            client = next(iter(front.clients))
            client.read_at -= clients.INCOMPLETE_COMMAND_IDLE_S  # idle for as long as allowed
            client.half_since = client.half_since - clients.INCOMPLETE_COMMAND_IDLE_S if client.half_since else None
            writer.write(whole[10:20])
            await rig.until(lambda: client.read_at > front.active_time() - 1)
            client.check_timeouts(front.active_time())
            assert client.state is clients.State.OPEN
            writer.write(whole[20:])
            assert await answer(reader) == b"for slow"
            writer.write(whole[:10])
            await rig.until(lambda: client.parser.started)
            client.half_since = (client.half_since or 0.0) - clients.MAX_INCOMPLETE_COMMAND_S
            client.check_timeouts(front.active_time())
            assert client.state is not clients.State.OPEN, (
                "a steady trickle of bytes must not extend the wait for ever"
            )
            assert await answer(reader) == b"-ERR half a command" and await answer(reader) == b""

    run(work)
