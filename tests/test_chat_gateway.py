"""Tests of the gateway on real sockets: conformance, hostile input, slow readers, resuming at any agent."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import struct
import zlib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import Rig, answer_at_once, never_answer, run

from otterquay import interface as it
from otterquay.chat import messages
from otterquay.chat.gateway import WebSocket, dial
from otterquay.chat.tokens import proof
from otterquay.config import load_service
from otterquay.lab.ports import claim_ports

KEY = bytes(range(32))
SERVICE = load_service(Path(__file__).parent.parent / "examples" / "chat-agent.hcl")


class ChatRig(Rig):
    """A rig whose agent has a chat gateway."""

    def __init__(self, servers: int = 2, **chat: Any) -> None:
        assert SERVICE.chat
        port = f"127.0.0.1:{claim_ports(1, socket.SOCK_STREAM).ports[0]}"
        self.changes = {"listen": port, **chat}
        super().__init__(servers, SERVICE.model_copy(update={"chat": SERVICE.chat.model_copy(update=self.changes)}))

    async def start_agent(self, fleet: str, desk: str) -> None:
        from otterquay.agent.http_agent import HttpAgent

        made = HttpAgent.__init__

        def with_key(self: HttpAgent, *args: Any, **kwargs: Any) -> None:
            made(self, *args, **{**kwargs, "chat_key": KEY})

        HttpAgent.__init__ = with_key  # type: ignore[method-assign]
        try:
            await super().start_agent(fleet, desk)
        finally:
            HttpAgent.__init__ = made  # type: ignore[method-assign]

    @property
    def chat_at(self) -> str:
        return "{}:{}".format(*self.runtime.chat_bound)

    async def open_session(self, **hello: Any) -> ChatConnection:
        """Connect a client and start its session."""
        client = ChatConnection(await dial(self.chat_at))
        assert (await client.next())["type"] == "challenge"
        client.send(type="hello", **{"name": "p", "tenant": "first-studio", **hello})
        client.welcome = await client.next()
        return client

    async def resume(self, client: ChatConnection, *open: str) -> ChatConnection:
        """Connect again and resume the session of a client."""
        again = ChatConnection(await dial(self.chat_at))
        await again.next()
        again.send(type="resume", token=client.welcome["token"], open=list(open))
        again.welcome = await again.next()
        return again


class ChatConnection:
    """The client side of one socket."""

    def __init__(self, websocket: WebSocket) -> None:
        self.websocket, self.got, self.welcome = websocket, list[dict[str, Any]](), dict[str, Any]()

    def send(self, **message: Any) -> None:
        self.websocket.send(json.dumps(message).encode())

    async def next(self, kind: str = "") -> dict[str, Any]:
        """The next message, or the next of a kind."""
        async with asyncio.timeout(20):
            while True:
                self.got += [json.loads(m) for m in self.websocket.messages()]
                while self.got:
                    message = self.got.pop(0)
                    if not kind or message["type"] == kind:
                        return message
                if not await self.websocket.receive():
                    raise ConnectionError(f"closed with {self.websocket.protocol.close_code}")
                self.websocket.flush()

    async def code(self) -> int | None:
        """Read until the connection is closed; returns the close code."""
        try:
            while True:
                await self.next()
        except ConnectionError:
            return self.websocket.protocol.close_code


def test_a_command_reaches_a_server_and_its_answer_the_player() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            client = await rig.open_session()
            client.send(type="command", id="c1", text="/join cup --car=9")
            found = [await client.next() for _ in range(3)]
            assert [m["type"] for m in found] == ["accepted", "progress", "answer"]
            assert found[2] == {"type": "answer", "id": "c1", "kind": "served", "text": "right"}
            got = next(r for s in rig.servers for r in s.got)
            assert got.target == b"/queue" and json.loads(got.body)["words"] == ["cup"]
            assert got.headers[b"idempotency-key"] == got.headers[b"x-request-id"]
            assert rig.seen(it.Request)[0].cls == 1

    run(work)


def test_a_command_runs_once_and_its_answer_arrives_when_the_socket_is_lost_meanwhile() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            held: list[Any] = []
            for server in rig.servers:
                server.behave = lambda peer, request: held.append((peer, request))
            client = await rig.open_session()
            client.send(type="command", id="e1", text="/entry cup")
            await rig.until(lambda: held)
            client.websocket.writer.transport.abort()
            again = await rig.resume(client, "e1")
            again.send(type="command", id="e1", text="/entry cup")
            assert (await again.next())["type"] == "accepted"
            answer_at_once(*held[0])
            assert (await again.next("answer"))["kind"] == "served"
            assert len(held) == 1 and len(rig.seen(it.Request)) == 1
            assert not rig.seen(it.Abandoned), "a lost socket must not abandon a command"

    run(work)


def test_after_an_agent_was_killed_its_open_commands_are_answered_unknown() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            for server in rig.servers:
                server.behave = never_answer
            client = await rig.open_session()
            client.send(type="command", id="e1", text="/entry cup")
            await rig.until(lambda: any(s.got for s in rig.servers))
            rig.runtime.gateway.abort()  # type: ignore[union-attr]
            rig.runtime.close()
            for server in rig.servers:
                server.behave = answer_at_once
            await rig.start_agent(rig.list.listener.address, rig.desk.listener.address)
            again = await rig.resume(client, "e1")
            assert "resumed" not in again.welcome or not again.welcome["resumed"]
            assert (await again.next())["kind"] == "unknown"
            again.send(type="command", id="e1", text="/entry cup")
            assert (await again.next())["kind"] == "unknown" and not rig.seen(it.Request)

    run(work)


def test_resume_at_another_agent_reaches_the_session_where_it_is_held() -> None:
    async def work() -> None:
        home, other = ChatRig(), ChatRig()
        agents = {"0": home.changes["listen"], "1": other.changes["listen"]}
        for number, rig in enumerate((home, other)):
            chat = rig.config.chat.model_copy(update={"agents": agents})  # type: ignore[union-attr]
            agent = rig.config.agent.model_copy(update={"number": number})
            rig.config = rig.config.model_copy(update={"chat": chat, "agent": agent})
        async with home, other:
            held: list[Any] = []
            for server in home.servers:
                server.behave = lambda peer, request: held.append((peer, request))
            client = await home.open_session()
            client.send(type="command", id="e1", text="/entry cup")
            await home.until(lambda: held)
            again = await other.resume(client, "e1")  # while the first socket is still open
            assert again.welcome["resumed"] and await client.code() == messages.TAKEN_OVER
            answer_at_once(*held[0])
            assert (await again.next("answer"))["kind"] == "served"
            again.send(type="command", id="l1", text="/lobby")
            assert (await again.next())["type"] == "accepted"
            await home.until(lambda: len(held) == 2)
            home.runtime.gateway.abort()  # type: ignore[union-attr]
            assert await again.code() == 1012
            home.runtime.close()
            last = await other.resume(again, "l1")
            assert (await last.next())["kind"] == "unknown"

    run(work)


def test_a_client_that_stops_reading_is_disconnected_and_delays_no_other() -> None:
    async def work() -> None:
        async with ChatRig(max_unsent=20000, session_rate=1e6, session_burst=1e6, max_open=1000) as rig:
            client, other = await rig.open_session(), await rig.open_session(name="q")
            client.websocket.writer.transport.pause_reading()
            client_socket = client.websocket.writer.get_extra_info("socket")
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            for websocket in rig.runtime.gateway._websockets.values():  # type: ignore[union-attr]
                websocket.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            lost = False
            for i in range(20000):
                client.send(type="command", id=f"x{i}", text="/dance " + "x" * 50)
                if i % 200 == 0:
                    await asyncio.sleep(0)
                if len(rig.runtime.gateway._websockets) == 1:  # type: ignore[union-attr]
                    lost = True
                    break
            await rig.until(lambda: lost or len(rig.runtime.gateway._websockets) == 1)  # type: ignore[union-attr]
            other.send(type="command", id="l1", text="/lobby")
            assert (await other.next("answer"))["kind"] == "served"
            again = await rig.resume(client)
            assert again.welcome["resumed"]

    run(work)


def test_silent_sockets_are_pinged_and_dead_ones_dropped() -> None:
    async def work() -> None:
        async with ChatRig(ping_every=100.0) as rig:
            live, dead = await rig.open_session(), await rig.open_session(name="q")
            live.send(type="command", id="l1", text="/lobby")
            assert (await live.next("answer"))["kind"] == "served"
            waiting = asyncio.ensure_future(live.next())  # reading lets the library answer pings
            await rig.until(lambda: len(rig.runtime.gateway._websockets) == 1)  # type: ignore[union-attr]
            await asyncio.sleep(0.4)
            assert not waiting.done() and len(rig.runtime.gateway._websockets) == 1  # type: ignore[union-attr]
            waiting.cancel()
            assert dead.websocket

    run(work)


def test_operators_query_and_follow() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            client = ChatConnection(await dial(rig.chat_at))
            nonce = (await client.next())["nonce"]
            client.send(type="hello", name="ann", role="operator", proof=proof(KEY, nonce, "operator", "", "ann"))
            await client.next()
            client.send(type="command", id="s", text="/status")
            report = await client.next()
            assert report["id"] == "s" and "build 1: stage 1, released" in report["text"]
            client.send(type="command", id="f", text="/follow")
            assert (await client.next())["text"] == "following"
            rig.stage(2, "trial", 0.28)
            assert "build 2: stage 1, trial, cap 28%" in (await client.next())["text"]
            client.send(type="command", id="v", text="/votes")
            assert (await client.next())["id"] == "v"

    run(work)


def test_a_stop_answers_open_commands_before_the_sockets_close() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            held: list[Any] = []
            for server in rig.servers:
                server.behave = lambda peer, request: held.append((peer, request))
            client = await rig.open_session()
            client.send(type="command", id="e1", text="/entry cup")
            await rig.until(lambda: held)
            stopping = asyncio.ensure_future(rig.runtime.stop())
            await asyncio.sleep(0.02)
            with pytest.raises(OSError):
                await dial(rig.chat_at)
            answer_at_once(*held[0])
            assert (await client.next("answer"))["kind"] == "served"
            await stopping
            assert await client.code() == 1012

    run(work)


# --- conformance: cases of RFC 6455, numbered as in public test suites ---
def frame(opcode: int, data: bytes, fin: bool = True, rsv: int = 0, masked: bool = True, length: int = -1) -> bytes:
    size = len(data) if length < 0 else length
    head = bytes([fin << 7 | rsv << 4 | opcode])
    bit = masked << 7
    if size < 126:
        head += bytes([bit | size])
    elif size < 1 << 16:
        head += struct.pack(">BH", bit | 126, size)
    else:
        head += struct.pack(">BQ", bit | 127, size)
    if not masked:
        return head + data
    key = b"\x01\x02\x03\x04"
    return head + key + bytes(b ^ key[i % 4] for i, b in enumerate(data))


HELLO = json.dumps({"type": "hello", "name": "p", "tenant": "first-studio"}).encode()
TEXT, CONT, BINARY, CLOSE, PING, PONG = 1, 0, 2, 8, 9, 10
WELCOME = "welcome"
CASES: dict[str, tuple[bytes, Any]] = {
    "1.1 text message": (frame(TEXT, HELLO), WELCOME),
    "1.2 binary message": (frame(BINARY, HELLO), 1003),
    "2.1 ping without payload": (frame(PING, b"") + frame(TEXT, HELLO), WELCOME),
    "2.4 ping of 125 bytes": (frame(PING, b"x" * 125) + frame(TEXT, HELLO), WELCOME),
    "2.5 ping of 126 bytes": (frame(PING, b"x" * 126), 1002),
    "2.7 unsolicited pong": (frame(PONG, b"x") + frame(TEXT, HELLO), WELCOME),
    "3.2 reserved bit 1 without extension": (frame(TEXT, HELLO, rsv=4), 1002),
    "3.5 reserved bit 3": (frame(TEXT, HELLO, rsv=1), 1002),
    "4.1 reserved data opcode 3": (frame(3, b""), 1002),
    "4.2 reserved control opcode 11": (frame(11, b""), 1002),
    "5.1 fragmented ping": (frame(PING, b"x", fin=False), 1002),
    "5.3 message in two fragments": (frame(TEXT, HELLO[:5], fin=False) + frame(CONT, HELLO[5:]), WELCOME),
    "5.6 ping between fragments": (
        frame(TEXT, HELLO[:5], fin=False) + frame(PING, b"") + frame(CONT, HELLO[5:]),
        WELCOME,
    ),
    "5.9 continuation without a first fragment": (frame(CONT, HELLO), 1002),
    "5.18 text within a fragmented message": (frame(TEXT, b"{", fin=False) + frame(TEXT, HELLO), 1002),
    "5.x empty fragments": (
        frame(TEXT, b"", fin=False) + frame(CONT, HELLO, fin=False) + frame(CONT, b""),
        WELCOME,
    ),
    "6.3 invalid UTF-8": (frame(TEXT, b'{"type":"\xce\xba\xed\xa0\x80"}'), 1007),
    "6.4 UTF-8 cut at the message's end": (frame(TEXT, b"\xf0\x9f"), 1007),
    "6.x UTF-8 split between fragments": (
        frame(TEXT, '{"type":"hello","name":"ü'.encode()[:-1], fin=False)
        + frame(CONT, b'\xbc","tenant":"first-studio"}'),
        WELCOME,
    ),
    "7.1 close without code": (frame(CLOSE, b""), 1005),
    "7.3.2 close of one byte": (frame(CLOSE, b"\x03"), 1002),
    "7.7 close 1000": (frame(CLOSE, struct.pack(">H", 1000) + b"bye"), 1000),
    "7.9 close 1005 is reserved": (frame(CLOSE, struct.pack(">H", 1005)), 1002),
    "7.5 close reason not UTF-8": (frame(CLOSE, struct.pack(">H", 1000) + b"\xff"), 1007),
    "9.x message over the bound": (frame(TEXT, b"x" * 5000), 1009),
    "9.x fragments over the bound together": (frame(TEXT, b"x" * 3000, fin=False) + frame(CONT, b"x" * 3000), 1009),
    "9.x length of 2^62 announced": (frame(TEXT, b"", length=1 << 62), 1009),
    "mask missing": (frame(TEXT, HELLO, masked=False), 1002),
}


async def upgrade(at: str, *extra: str, subprotocol: str | None = messages.SUBPROTOCOL) -> tuple[Any, Any, bytes]:
    reader, writer = await asyncio.open_connection(*at.split(":"))
    lines = [
        "GET / HTTP/1.1",
        f"host: {at}",
        "upgrade: websocket",
        "connection: upgrade",
        "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==",
        "sec-websocket-version: 13",
        *extra,
    ]
    if subprotocol:
        lines.append(f"sec-websocket-protocol: {subprotocol}")
    writer.write("\r\n".join([*lines, "", ""]).encode())
    async with asyncio.timeout(20):
        head = await reader.readuntil(b"\r\n\r\n")
    return reader, writer, head


async def outcome(reader: Any) -> tuple[str | int, bytes]:
    """The type of the first message after the challenge, or the close code; and all bytes read."""
    seen = b""
    async with asyncio.timeout(20):
        while data := await reader.read(65536):
            seen += data
            if b'"welcome"' in seen:
                return WELCOME, seen
            at = seen.find(b"\x88")
            while at >= 0:
                if len(seen) >= at + 2 and seen[at + 1] <= 125 and len(seen) >= at + 2 + seen[at + 1]:
                    return (struct.unpack_from(">H", seen, at + 2)[0] if seen[at + 1] else 1005), seen
                break
    return "ended", seen


def test_conformance_cases() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            found = {}
            for name, (data, _) in CASES.items():
                reader, writer, head = await upgrade(rig.chat_at)
                assert b" 101 " in head
                writer.write(data)
                found[name] = (await outcome(reader))[0]
                writer.close()
            assert found == {name: expected for name, (_, expected) in CASES.items()}
            client = await rig.open_session()
            client.send(type="command", id="l1", text="/lobby")
            assert (await client.next("answer"))["kind"] == "served"

    run(work)


def test_invalid_handshakes_are_refused() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            for subprotocol in (None, "otterquay.chat.v9", "soap"):
                _, writer, head = await upgrade(rig.chat_at, subprotocol=subprotocol)
                assert b" 400 " in head
                writer.close()
            for data in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"POST / HTTP/1.1\r\n\r\n",
                b"\x00" * 50 + b"\r\n\r\n",
                b"GET / HTTP/1.1\r\nx: " + b"y" * 100000 + b"\r\n\r\n",
            ):
                reader, writer = await asyncio.open_connection(*rig.chat_at.split(":"))
                writer.write(data)
                async with asyncio.timeout(20):
                    with contextlib.suppress(ConnectionResetError):
                        assert b" 101 " not in await reader.read()
                writer.close()
            assert (await rig.open_session()).welcome["type"] == WELCOME

    run(work)


def deflated(data: bytes) -> bytes:
    packer = zlib.compressobj(wbits=-12)
    return (packer.compress(data) + packer.flush(zlib.Z_SYNC_FLUSH))[:-4]


def test_compressed_messages_and_decompression_bombs() -> None:
    async def work() -> None:
        async with ChatRig() as rig:
            offer = "sec-websocket-extensions: permessage-deflate; client_max_window_bits"
            reader, writer, head = await upgrade(rig.chat_at, offer)
            assert b"permessage-deflate" in head
            writer.write(frame(TEXT, deflated(HELLO), rsv=4))
            compressed = await reader.read(65536)
            assert compressed
            await rig.until(lambda: rig.runtime.gateway.hub.sessions == 1)  # type: ignore[union-attr]
            bomb = deflated(b"\0" * 50_000_000)
            assert len(bomb) < 60_000
            reader, writer, _ = await upgrade(rig.chat_at, offer)
            writer.write(frame(TEXT, bomb[:4000], rsv=4, fin=False) + frame(CONT, bomb[4000:]))
            assert (await outcome(reader))[0] == 1009
            reader, writer, _ = await upgrade(rig.chat_at, offer)
            writer.write(frame(TEXT, b"\xff" * 40, rsv=4))
            assert (await outcome(reader))[0] in (1002, 1007)
            assert (await rig.open_session()).welcome["type"] == WELCOME

    run(work)


@given(
    st.lists(
        st.tuples(
            st.sampled_from([0, 1, 2, 3, 8, 9, 10]),
            st.binary(max_size=40) | st.just(HELLO),
            st.booleans(),
            st.sampled_from([0, 0, 0, 4]),
        ),
        max_size=6,
    ),
    st.integers(0, 300),
    st.randoms(use_true_random=False),
)
@settings(max_examples=150, deadline=None)
def test_any_frames_are_handled_without_an_error(frames: list[Any], cut: int, rng: random.Random) -> None:
    """Frames of any kind, split anywhere, without sockets: the protocol continues or closes, and never raises."""
    from websockets.server import ServerProtocol

    from otterquay.chat import gateway as gw

    class NullWriter:
        def write(self, data: bytes) -> None: ...

        def is_closing(self) -> bool:
            return False

        def can_write_eof(self) -> bool:
            return False

    protocol = ServerProtocol(max_size=4096, state=gw.State.OPEN)
    websocket = WebSocket(None, NullWriter(), protocol)  # type: ignore[arg-type]
    data = b"".join(frame(op, body, fin, rsv) for op, body, fin, rsv in frames)
    data = data[:cut] if rng.random() < 0.5 else data
    while data:
        step = rng.randint(1, len(data))
        protocol.receive_data(data[:step])
        data = data[step:]
        for text in websocket.messages():
            assert len(text) <= 4096
            text.decode()
        websocket.flush()


CORPUS = Path(__file__).parent / "corpus" / "chat"


@pytest.mark.parametrize("path", sorted(CORPUS.glob("*")), ids=lambda p: p.name)
def test_the_corpus_of_hostile_messages(path: Path) -> None:
    from test_chat_hub import HubHarness, error_code

    from otterquay.chat import hub as chat_hub

    harness = HubHarness()
    conn = harness.open_session()
    harness.handle(chat_hub.Received(conn, path.read_bytes()))
    assert error_code(harness.received[conn]) or isinstance(
        harness.received[conn][-1], messages.Accepted | messages.Welcome
    )


def test_the_corpus_is_there() -> None:
    assert len(list(CORPUS.glob("*"))) >= 8 and os.path.getsize(next(CORPUS.glob("*")))
