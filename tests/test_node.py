"""The production agent on loopback: checks what crossed the sockets, not how long it took."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from otterquay import interface as it
from otterquay.agent.outcomes import End
from otterquay.node.client import MAX_UNSENT_BYTES
from otterquay.node.config import ConfigError, read_config
from otterquay.node.request_reader import RequestReader
from otterquay.protocol import resp
from otterquay.protocol.targets import server_number
from otterquay.standins.resp import answer_bytes, never_answer, served
from tests.noderig import Rig, answer
from tests.rig import run


def values(rig: Rig) -> list[tuple[it.Status, tuple[float, ...]]]:
    return [(e.status, e.load) for e in rig.seen(it.Outcome)]


def test_requests_of_each_class_are_forwarded_and_answered() -> None:
    async def work() -> None:
        async with Rig() as rig:
            assert await rig.exchange(b"*1\r\n$4\r\nPING\r\n") == b"+PONG"
            first = [type(e) for e in rig.events[:3]]
            assert first == [it.Started, it.StageNews, it.ServerList], "events before the first PONG"
            for cls in ("lobby-read", "queue-join", "race-entry"):
                assert await rig.exchange(rig.encode_request(cls, id=f"id-{cls}")) == b"for id-" + cls.encode()
            got = {arguments[2]: arguments for one in rig.appliances for arguments in one.got}
            assert got[b"id-queue-join"][1::3] == [b"id-queue-join" * 2, b"the body\r\n\0"]
            options = got[b"id-race-entry"][3].split(b",")
            assert options[:2] == [b"c=race-entry", b"t=first"] and 0 < int(options[2][2:]) <= 2000
            assert (
                values(rig) == [(it.Status.OK, (1.0,))] * 3
                and not rig.node.open_requests
                and not rig.node.front.ids
            )

    run(work)


def test_answers_on_one_connection_come_in_the_order_of_its_commands() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held: list[tuple[asyncio.StreamWriter, bytes]] = []
            rig.appliances[0].behave = lambda one, writer, arguments: held.append((writer, arguments[2]))
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="a") + rig.encode_request(id="b") + b"*1\r\n$4\r\nPING\r\n")
            await rig.until(lambda: len(held) == 2)
            for appliance, id in reversed(sorted(held, key=lambda h: h[1])):
                appliance.write(served(b"for " + id))
            assert [await answer(reader) for _ in range(3)] == [b"for a", b"for b", b"+PONG"]

    run(work)


MALFORMED_INPUT = {
    "noise": b"\x00\xffnoise\r\n",
    "an endless line": b"*" + b"1" * 5000,
    "a negative length": b"*1\r\n$-7\r\n",
    "a huge value": b"*5\r\n$10\r\nSVC.SUBMIT\r\n$60000000\r\n" + b"x" * 200_000,
    "unknown": b"*1\r\n$4\r\nKEYS\r\n",
    "HELLO": b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n",
    "half a command": b"*4\r\n$9\r\nSVC.QUERY\r\n$3\r\nab",
}


@pytest.mark.parametrize("malformed", MALFORMED_INPUT)
def test_malformed_input_gets_an_error_or_a_close_and_affects_no_other_client(malformed: str) -> None:
    async def work() -> None:
        async with Rig() as rig:
            received = await rig.exchange(MALFORMED_INPUT[malformed])
            assert received == b"" or received.startswith(b"-ERR ")
            assert (
                await rig.exchange(rig.encode_request(id="x")) == b"for x"
                and sum(len(a.got) for a in rig.appliances) == 1
            )

    run(work)


@pytest.mark.parametrize(
    "options",
    [
        {"cls": "no-such"},
        {"d": "soon"},
        {"d": -5},
        {"d": 0},
        {"d": "1e9"},
        {"t": "nobody"},
        {"id": " "},
        {"d": "nan"},
        {"c": "race-entry"},
        {"c": "lobby-read,c=lobby-read"},
    ],
)
def test_an_invalid_request_is_an_error_and_is_never_sent(options: dict[str, Any]) -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(**options) + rig.encode_request(id="y"))
            assert (await answer(reader)).startswith(b"-ERR ") and await answer(reader) == b"for y"
            assert len(rig.seen(it.Request)) == 1

    run(work)


def test_the_id_of_an_open_request_is_refused_until_that_has_its_answer() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="same"))
            await rig.until(lambda: rig.appliances[0].got)
            assert (await rig.exchange(rig.encode_request(id="same"))).startswith(b"-ERR id")
            writer.close()
            await rig.until(lambda: rig.seen(it.Abandoned))
            rig.appliances[0].behave = lambda one, w, arguments: w.write(served(b"again"))
            # accepted again, whatever the decision module answers
            await rig.exchange(rig.encode_request(id="same"))
            assert len(rig.seen(it.Request)) == 2

    run(work)


def test_a_flood_on_one_connection_is_rejected_and_its_open_requests_fail() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.encode_request())
            await rig.until(lambda: rig.appliances[0].got)
            writer.write(b"".join(rig.encode_request() for _ in range(300)))
            assert [await answer(reader) for _ in range(3)] == [
                b"-ERR failed",
                b"-ERR over 32 commands without an answer",
                b"",
            ]
            assert len(rig.appliances[0].got) == 1 and not rig.node.front.clients

    run(work)


def test_a_crowd_of_silent_clients_leaves_room_and_is_closed() -> None:
    async def work() -> None:
        async with Rig(sockets=100) as rig:
            working, writer = await rig.connect()
            for one in rig.appliances:
                one.behave = never_answer
            writer.write(rig.encode_request(id="at-work", d=6000))
            await rig.until(lambda: any(one.got for one in rig.appliances))
            crowd = [await rig.connect() for _ in range(60)]
            await rig.until(lambda: rig.node.front.max_clients >= len(rig.node.front.clients) > 1)
            await rig.until(lambda: len(rig.node.front.clients) == 1)
            assert [await answer(reader) for reader, _ in crowd] == [b""] * 60
            assert rig.node.open_requests and not rig.seen(it.Abandoned)
            del working

    run(work)


def test_a_client_that_writes_slowly_keeps_its_place_while_idle_ones_go() -> None:
    async def work() -> None:
        async with Rig(sockets=100) as rig:
            slow, writer = await rig.connect()
            command = rig.encode_request(id="slow")
            writer.write(command[:30])
            await rig.until(lambda: any(c.half_since for c in rig.node.front.clients))
            crowd = [await rig.connect() for _ in range(40)]
            await rig.until(lambda: len(rig.node.front.clients) <= rig.node.front.max_clients)
            writer.write(command[30:])
            assert await answer(slow) == b"for slow" and len(crowd) == 40

    run(work)


def test_a_client_that_takes_no_answers_is_not_read_on_and_ends() -> None:
    async def work() -> None:
        async with Rig() as rig:
            reader, writer = await rig.connect()
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            for one in rig.appliances:
                one.behave = answer_bytes(served(b"x" * 60_000))
            writer.write(rig.encode_request())
            await rig.until(lambda: rig.node.front.clients)
            max_unsent = 0
            client = next(iter(rig.node.front.clients))
            for _ in range(20000):
                if client not in rig.node.front.clients:
                    break
                if not writer.transport.is_closing() and client.transport.is_reading():
                    writer.write(rig.encode_request())
                max_unsent = max(max_unsent, client.transport.get_write_buffer_size())
                await asyncio.sleep(0.002)
            assert client not in rig.node.front.clients and MAX_UNSENT_BYTES < max_unsent < 8 * MAX_UNSENT_BYTES
            assert await rig.exchange(rig.encode_request()) == b"x" * 60_000, "other clients are unaffected"

    run(work)


@pytest.mark.parametrize(
    "malformed",
    [
        b"noise\r\n",
        b"*3\r\n$3000000000\r\nxxxx",
        b"*3\r\n$2\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"-ERR \xfe\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"+OK\r\n",
        b"-" + b"E" * 5000,
    ],
)
def test_a_malformed_answer_may_have_run_and_closes_its_connection(malformed: bytes) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = answer_bytes(malformed)
            assert await rig.exchange(rig.encode_request("race-entry")) == b"-ERR failed", (
                "neither sent twice nor refused"
            )
            assert values(rig) == [(it.Status.ERROR, ())] and len(rig.appliances[0].got) == 1
            if malformed != b"+OK\r\n":
                await rig.until(lambda: not rig.appliances[0].writers)

    run(work)


@pytest.mark.parametrize(
    ("behave", "status", "expected"),
    [
        (answer_bytes(b"-BUSY\r\n"), it.Status.FULL, b"-BUSY"),
        (answer_bytes(b"-ERR failed pending=4\r\n"), it.Status.ERROR, b"-ERR failed"),
        (answer_bytes(b"", close=True), it.Status.RESET, b"-ERR failed"),
        (never_answer, it.Status.TIMEOUT, b"-ERR failed"),
    ],
)
def test_how_an_attempt_that_is_not_served_ends(behave: Any, status: it.Status, expected: bytes) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = behave
            assert await rig.exchange(rig.encode_request("race-entry", d=400)) == expected
            assert {s for s, _ in values(rig)} == {status}
            assert len(rig.appliances[0].got) == 1 or status is it.Status.FULL, (
                "only an attempt that never ran is repeated"
            )

    run(work)


@pytest.mark.parametrize("surplus", [served(b"another"), b"noise", b"-ERR failed\r\n"])
def test_bytes_after_a_good_answer_never_reach_the_next_request(surplus: bytes) -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:

            def behave(one: Any, writer: asyncio.StreamWriter, arguments: list[bytes]) -> None:
                writer.write(served(b"for " + arguments[2]))
                if arguments[2] == b"first":
                    asyncio.get_running_loop().call_soon(writer.write, surplus)

            rig.appliances[0].behave = behave
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="first"))
            assert await answer(reader) == b"for first"
            writer.write(rig.encode_request(id="second"))  # immediately: the surplus may not have been read yet
            assert await answer(reader) == b"for second"

    run(work)


def test_an_unreadable_report_costs_only_the_report() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            rig.appliances[0].behave = lambda one, w, arguments: w.write(served(b"v", b"$4\r\n\xff=?1\r\n"))
            assert await rig.exchange(rig.encode_request()) == b"v" and values(rig) == [(it.Status.OK, ())]

    run(work)


def test_a_value_that_was_not_written_whole_never_ran() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            ended: list[Any] = []
            one = rig.appliances[0]
            one.server.close()  # no more connections here; the listener below never reads
            listener = await asyncio.start_server(lambda r, w: held.append(w), "127.0.0.1", 0, limit=1)
            held: list[asyncio.StreamWriter] = []
            address = "{}:{}".format(*listener.sockets[0].getsockname())
            until = asyncio.get_running_loop().time() + 0.5
            rig.node.pool.call(
                address, b"t", lambda: b"x" * 50_000_000, until, lambda call, end, _: ended.append(end)
            )
            await rig.until(lambda: held)
            held[0].transport.pause_reading()  # type: ignore[attr-defined]
            await rig.until(lambda: ended)
            assert ended == [End.OVERDUE_CONNECTING]
            listener.close()

    run(work)


def test_a_drain_and_a_server_that_returns_under_another_build() -> None:
    async def work() -> None:
        async with Rig(count=2) as rig:
            rig.discovery.set("s-1", lifecycle="terminating")
            await rig.until(lambda: not rig.node._agent.servers[server_number("s-1")].ready)
            for _ in range(6):
                assert (await rig.exchange(rig.encode_request())).startswith(b"for ")
            assert not rig.appliances[1].got
            idle = len(rig.appliances[0].writers)
            assert idle
            rig.discovery.set("s-0", version_no=2, startedAtMs=rig.wall() * 1e3 - 100)
            await rig.until(lambda: not rig.appliances[0].writers)  # connections to the previous process are closed
            server = rig.node._agent.servers[server_number("s-0")]
            assert server.entry.build == 2 and 0 < server.started_at <= asyncio.get_running_loop().time() * 1e3
            assert rig.node.list.entries[server_number("s-0")].build == 2

    run(work)


def test_stage_news_limits_the_next_send_and_so_does_the_answer_to_a_vote() -> None:
    async def work() -> None:
        async with Rig(count=2) as rig:
            rig.discovery.set("s-1", version_no=2)
            rig.desk.publish(b"2 0 testing 0.25 5")
            await rig.until(lambda: rig.node.platform.capped(2) and rig.node._agent.stage_news.build == 2)
            for _ in range(40):
                await rig.exchange(rig.encode_request())
            assert 0 < len(rig.appliances[1].got) <= 2 + 0.25 * 40
            before = len(rig.appliances[1].got)
            rig.desk.answer = lambda _: b"OK 2 0 recalling 0 1\r\n"
            rig.node._execute(it.CastVote(2, 0, it.Verdict.BACK))
            await rig.until(lambda: rig.node._agent.stage_news.phase is it.Phase.GOING_BACK)
            assert rig.desk.votes == [b"SAY 2 0 ROLLBACK"]
            for _ in range(10):
                await rig.exchange(rig.encode_request())
            assert len(rig.appliances[1].got) == before

    run(work)


@pytest.mark.parametrize(
    ("answer_line", "status"),
    [
        (b"ERR Throttling\r\n", it.Status.FULL),
        (b"ERR ConditionFailed\r\n", it.Status.MOOT),
        (None, it.Status.TIMEOUT),
        (b"\xff\x00\r\n", it.Status.TIMEOUT),
        (b"OK\r\n", it.Status.TIMEOUT),
        (b"OK 2 0 tes", it.Status.TIMEOUT),
    ],
)
def test_a_vote_without_a_readable_answer_may_count_and_its_connection_is_done(
    answer_line: bytes | None, status: it.Status
) -> None:
    async def work() -> None:
        async with Rig() as rig:
            opened = rig.desk.opened
            rig.desk.answer = lambda _: answer_line
            rig.node._execute(it.CastVote(1, 0, it.Verdict.BACK))
            await rig.until(lambda: [n for n in rig.seen(it.StageNews) if n.answers_vote])
            assert [n.status for n in rig.seen(it.StageNews) if n.answers_vote] == [status]
            if status is it.Status.TIMEOUT:
                await rig.until(lambda: rig.desk.opened > opened)
            assert not rig.node._vote_in_flight

    run(work)


def test_malformed_feeds_are_reconnected_and_the_last_state_is_kept() -> None:
    async def work() -> None:
        async with Rig() as rig:
            desks, lists = rig.desk.opened, rig.discovery.opened
            rig.desk.broadcast(b"* progress 9 9 asleep\r\n")
            rig.discovery.corrupt_answers = [b'{"generation":', b"\xff\xfe"]
            rig.discovery.set("s-0")
            await rig.until(lambda: rig.desk.opened > desks and rig.discovery.opened > lists + 1)
            assert await rig.exchange(rig.encode_request(id="z")) == b"for z" and len(rig.node.list.entries) == 2
            await rig.until(lambda: rig.discovery.asked[-2:][0] == "/api/targets")  # requests the whole list again

    run(work)


def test_a_reload_moves_to_the_new_addresses_and_a_bad_file_is_refused() -> None:
    async def work() -> None:
        async with Rig() as rig, Rig(count=1) as other:
            rig.node.reload(other.config())
            await rig.until(lambda: set(rig.node.list.entries) == {server_number("s-0")})
            await rig.until(lambda: not rig.desk.writers and other.discovery.asked.count("/api/targets") == 2)
            assert await rig.exchange(rig.encode_request(id="m")) == b"for m" and other.appliances[0].got
            for invalid in (
                {"pipeline": {"address": "nowhere"}},
                {"settings": {}},
                {"limits": {"sockets": 1}},
                {"seed": "zz"},
                {"discovery": None},
                {"known": None},
            ):
                with pytest.raises(ConfigError):
                    rig.config(**{**invalid, **({"listen": "x"} if invalid == {"known": None} else {})})
        with pytest.raises(ConfigError):
            read_config(b"{")

    run(work)


def test_a_graceful_shutdown_answers_open_requests_and_those_that_arrive_shortly_after() -> None:
    async def work() -> None:
        async with Rig(count=1) as rig:
            held: list[Any] = []
            rig.appliances[0].behave = lambda one, writer, arguments: held.append((writer, arguments[2]))
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="before"))
            await rig.until(lambda: held)
            leaving = asyncio.ensure_future(rig.node.shut_down())
            late, late_writer = await rig.connect()
            late_writer.write(rig.encode_request(id="after"))
            await rig.until(lambda: len(held) == 2)
            await rig.until(lambda: rig.node.front.draining)
            for appliance, id in held:
                appliance.write(served(b"for " + id))
            assert (await answer(reader), await answer(late)) == (b"for before", b"for after")
            assert (await answer(reader), await answer(late)) == (b"", b"")
            await leaving
            with pytest.raises(OSError):
                await rig.connect()

    run(work)


def test_the_peer_socket_drops_unknown_senders_and_oversized_messages() -> None:
    async def work() -> None:
        from otterquay.lab.ports import claim_ports
        from otterquay.logs import silent
        from otterquay.node.peers import PeerSocket

        received: list[tuple[int, bytes]] = []
        addresses = [f"127.0.0.1:{port}" for port in claim_ports(3).ports]
        sockets = [
            PeerSocket(addresses[i], i, addresses[:2], None, lambda n, d: received.append((n, d)), silent())
            for i in range(2)
        ]
        # the third socket is not a peer of the others
        sockets.append(PeerSocket(addresses[2], 5, addresses, None, lambda n, d: None, silent()))
        for one in sockets:
            await one.start()
        sockets[2].tell(1, b"forged")
        sockets[0].tell(1, b"x" * 257)
        sockets[0].tell(None, b"x" * 256)
        while not received:
            await asyncio.sleep(0.005)
        assert received == [(0, b"x" * 256)]
        for one in sockets:
            one.close()

    run(work)


def test_the_production_agent_imports_no_heavy_packages() -> None:
    import subprocess
    import sys

    code = (
        "import sys, otterquay.node.agent\n"
        "heavy = ('pydantic', 'hcl2', 'rich', 'structlog', 'click', 'otterquay.chat', 'otterquay.store',\n"
        "         'otterquay.lab', 'websockets')\n"
        "sys.exit(any(name in sys.modules for name in heavy))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_names_and_limits_of_the_front_come_from_the_settings() -> None:
    async def work() -> None:
        limits = {"sendCap": 1, "maxOpen": 1, "keepaliveMs": 9000.0}
        async with Rig(count=1, limits=limits) as rig:
            rig.appliances[0].behave = never_answer
            reader, writer = await rig.connect()
            writer.write(rig.encode_request(id="one"))
            await rig.until(lambda: rig.node.open_requests)
            assert await rig.exchange(rig.encode_request(id="two")) == b"-BUSY" and len(rig.seen(it.Request)) == 1
            names = RequestReader.from_settings(rig.node.settings).classes
            assert list(names) == [b"lobby-read", b"queue-join", b"race-entry"]
            assert resp.encode_error("a\r\nb") == b"-a  b\r\n"

    run(work)
