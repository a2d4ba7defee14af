"""Clients of the agent on loopback sockets: their connections, what they send and leave, and how an agent stops."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from rig import Rig, answer_at_once, answer_bytes, kind, never_answer, run, service

from otterquay import interface as it
from otterquay.protocol.http import write_request, write_response


def test_half_a_request_is_ended_and_was_never_taken() -> None:
    async def work() -> None:
        quick = service(front={"head_timeout": "100ms"})
        async with Rig(config=quick) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask()[:40])
            assert (await rig.answers(reader))[0].status == 408
            reader, writer = await rig.connect()
            await rig.until(lambda: len(rig.runtime.front.clients) == 1)
            for byte in rig.ask()[:30]:  # single bytes do not extend the timeout
                if not rig.runtime.front.clients:
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(0.02)
            assert (await rig.answers(reader))[0].status == 408
            assert not rig.seen(it.Request)

    run(work)


def test_idle_connections_end_and_idle_is_counted_from_the_last_answer() -> None:
    async def work() -> None:
        async with Rig(config=service(front={"idle_timeout": "150ms"})) as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            assert len(await rig.answers(reader)) == 1
            assert await reader.read() == b"" and not rig.runtime.front.clients

    run(work)


def test_a_thousand_requests_on_one_connection_are_answered_in_order() -> None:
    async def work() -> None:
        async with Rig(config=service(front={"max_pipelined": 8})) as rig:

            def echo(peer: Any, request: Any) -> None:
                peer.send(write_response(200, [], request.headers[b"x-request-id"]))

            for server in rig.servers:
                server.behave = echo
            reader, writer = await rig.connect()
            writer.write(b"".join(rig.ask(x_request_id=str(i)) for i in range(1000)))
            found = await rig.answers(reader, 1000)
            served = [int(a.body) for a in found if kind(a) == "served"]
            assert len(found) == 1000 and served == sorted(served) and len(served) > 900
            assert max(len(c.waiting) for c in rig.runtime.front.clients) == 0

    run(work)


def test_a_client_that_never_reads_is_cut_off_and_disturbs_nobody() -> None:
    async def work() -> None:
        bounds = service(front={"max_body": "64KiB", "write_timeout": "200ms"})
        async with Rig(config=bounds) as rig:
            for server in rig.servers:
                server.behave = answer_bytes(write_response(200, [], b"x" * 60000))
            reader, writer = await asyncio.open_connection(*rig.address, limit=1024)
            writer.transport.pause_reading()
            for _ in range(400):
                writer.write(rig.ask())
            await rig.until(lambda: rig.seen(it.Request))
            assert kind(await rig.get()) == "served"
            max_buffered = 0

            def ended() -> bool:
                nonlocal max_buffered
                buffered = [c.writer.transport.get_write_buffer_size() for c in rig.runtime.front.clients]
                max_buffered = max(max_buffered, *buffered, 0)
                return len(buffered) == 1  # only the client that read its answer remains

            await rig.until(ended)
            assert 0 < max_buffered < 65536 + 2 * 61000, "at most the bound plus one answer is buffered"
            writer.transport.abort()

    run(work)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (write_request(b"POST", b"/", [(b"otterquay-class", b"none")]), 400),
        (write_request(b"POST", b"/", [(b"otterquay-class", b"lobby-read")]), 400),
        (
            write_request(
                b"POST",
                b"/",
                [
                    (b"otterquay-class", b"lobby-read"),
                    (b"otterquay-tenant", b"first-studio"),
                    (b"otterquay-budget-ms", b"soon"),
                ],
            ),
            400,
        ),
        (b"POST / HTTP/1.1\r\ncontent-length: 2000000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nx: " + b"y" * 20000 + b"\r\n\r\n", 431),
    ],
)
def test_input_that_is_no_request_gets_a_plain_answer_and_is_never_taken(data: bytes, status: int) -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(data)
            answer = (await rig.answers(reader))[0]
            assert answer.status == status and answer.body.strip()
            assert not rig.seen(it.Request) and kind(await rig.get()) == "served"

    run(work)


def test_what_stands_before_garbage_on_a_connection_still_gets_its_answer() -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask() + rig.ask() + b"garbage\r\n\r\n")
            found = await rig.answers(reader, 3)
            assert [a.status for a in found] == [200, 200, 400] and await reader.read() == b""

    run(work)


def test_more_open_requests_than_allowed_are_refused_as_harmless() -> None:
    async def work() -> None:
        async with Rig(config=service(limits={"max_open": 3})) as rig:
            for server in rig.servers:
                server.behave = never_answer
            asks = [asyncio.ensure_future(rig.get(budget=500)) for _ in range(3)]
            await rig.until(lambda: len(rig.seen(it.Request)) == 3)
            answer = await rig.get()
            assert (answer.status, kind(answer)) == (503, "refused") and answer.headers[b"retry-after"] == b"1"
            assert {kind(a) for a in await asyncio.gather(*asks)} <= {"refused", "failed"}
            assert len(rig.seen(it.Request)) == 3

    run(work)


def test_a_stop_takes_nothing_new_and_answers_all_it_holds() -> None:
    async def work() -> None:
        async with Rig() as rig:
            peers: list[Any] = []
            for server in rig.servers:
                server.behave = lambda peer, request: peers.append((peer, request))
            lines = [await rig.connect() for _ in range(5)]
            idle_reader, _ = await rig.connect()
            for _, writer in lines:
                writer.write(rig.ask("race-entry"))
            await rig.until(lambda: len(peers) == 5)
            stopping = asyncio.ensure_future(rig.runtime.stop())
            assert await idle_reader.read() == b""
            assert kind(await rig.get()) == "refused"
            lines[0][1].write(rig.ask())  # queued behind an open request: too late to be accepted
            await asyncio.sleep(0.05)
            assert not stopping.done()
            for peer, request in peers:
                answer_at_once(peer, request)
            for reader, _ in lines:
                assert kind((await rig.answers(reader))[0]) == "served"
            await stopping
            with pytest.raises(OSError):
                await asyncio.open_connection(*rig.address)
            assert len(rig.seen(it.Request)) <= 6

    run(work)


def test_a_request_that_crosses_a_close_of_a_stop_is_refused_on_a_new_connection() -> None:
    """Guards against a listener that closes before the connections: what crosses a close finds nobody."""

    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(rig.ask())
            assert kind((await rig.answers(reader))[0]) == "served"
            stopping = asyncio.ensure_future(rig.runtime.stop())
            assert await reader.read() == b"", "closed while it was idle"
            again, writer = await rig.connect()
            writer.write(rig.ask())
            assert kind((await rig.answers(again))[0]) == "refused"
            assert await again.read() == b"" and not stopping.done()
            await stopping
            assert not rig.runtime.front.clients

    run(work)
