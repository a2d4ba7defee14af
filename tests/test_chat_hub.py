"""Tests of the hub, the command grammar and the tokens, without sockets or a clock."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule
from rig import EXAMPLE

from otterquay.chat import hub as chat_hub
from otterquay.chat import messages
from otterquay.chat.grammar import CommandSyntaxError, ParsedCommand, parse
from otterquay.chat.handshake_pacer import HandshakePacer
from otterquay.chat.tokens import ResumeToken, decode_token, encode_token, proof, verify_proof
from otterquay.config import load_service

CHAT = load_service(EXAMPLE.parent / "chat-agent.hcl").chat
assert CHAT
KEY = bytes(range(32))


class HubHarness:
    """Drives a hub with a manual clock and records its actions, messages by socket."""

    def __init__(self, agent_number: int = 0, incarnation: int = 7, **changes: Any) -> None:
        self.hub = chat_hub.Hub(
            CHAT.model_copy(update=changes),
            ("a", "b"),
            agent_number,
            incarnation,
            KEY,
            random.Random(agent_number),
            persistent=True,
        )
        self.now = 0.0
        self.received: dict[int, list[Any]] = {}
        self.close_codes: dict[int, int] = {}
        self.submitted: list[chat_hub.Submit] = []
        self.other: list[chat_hub.Action] = []
        self.persisted: list[chat_hub.Persist] = []
        self.last_conn = 0
        self.restarts = 0
        self.args = agent_number, changes

    def handle(self, event: chat_hub.Event) -> list[chat_hub.Action]:
        actions = self.hub.handle(self.now, event)
        for action in actions:
            match action:
                case chat_hub.Deliver(conn, message):
                    self.received.setdefault(conn, []).append(message)
                case chat_hub.Disconnect(conn, code, _):
                    self.close_codes[conn] = code
                case chat_hub.Submit():
                    self.submitted.append(action)
                case chat_hub.Persist():
                    self.persisted.append(action)
                case _:
                    self.other.append(action)
        return actions

    def restart(self, lost: int = 0) -> None:
        """Restart the agent from its stored records, without the newest `lost` ones."""
        del self.persisted[len(self.persisted) - lost :]
        sessions: dict[int, tuple[chat_hub.StoredSession, dict[str, chat_hub.StoredEntry]]] = {}
        for persist in self.persisted:
            match persist.record:
                case chat_hub.StoredSession():
                    sessions[persist.session] = persist.record, sessions.get(persist.session, (None, {}))[1]
                case chat_hub.StoredEntry() if persist.session in sessions:
                    sessions[persist.session][1][persist.id] = persist.record
                case None if persist.id and persist.session in sessions:
                    sessions[persist.session][1].pop(persist.id, None)
                case None if not persist.id:
                    sessions.pop(persist.session, None)
        agent_number, changes = self.args
        fresh = HubHarness(agent_number, incarnation=99, **changes)
        self.restarts += 1
        fresh.hub._rng = random.Random(f"agent {agent_number}, restart {self.restarts}")
        self.hub = fresh.hub
        self.hub.restore(self.now, chat_hub.StoredSessions(7, sessions))

    def open(self, address: str = "10.0.0.1") -> int:
        self.last_conn += 1
        self.handle(chat_hub.Opened(self.last_conn, address))
        return self.last_conn

    def send(self, conn: int, **message: Any) -> list[Any]:
        """Send a message; returns what this socket receives in response."""
        before = len(self.received.get(conn, []))
        self.handle(chat_hub.Received(conn, msgspec.json.encode(message)))
        return self.received.get(conn, [])[before:]

    def open_session(self, tenant: str = "a", **more: Any) -> int:
        conn = self.open()
        assert isinstance(self.send(conn, type="hello", name="p", tenant=tenant, **more)[-1], messages.Welcome)
        return conn

    def token(self, conn: int) -> str:
        return next(m.token for m in reversed(self.received[conn]) if isinstance(m, messages.Welcome))

    def command(self, conn: int, id: str = "c1", text: str = "/entry cup") -> list[Any]:
        return self.send(conn, type="command", id=id, text=text)

    def finish(self, kind: str = "served", ref: int | None = None) -> None:
        self.handle(chat_hub.Finished(ref or self.submitted[-1].ref, kind, "ok", 0.0))  # type: ignore[arg-type]

    def resume(self, token: str, *open: str) -> tuple[int, list[Any]]:
        conn = self.open()
        return conn, self.send(conn, type="resume", token=token, open=list(open))


def error_code(received: list[Any]) -> str:
    return received[-1].code if received and isinstance(received[-1], messages.Problem) else ""


def test_a_command_is_accepted_submitted_and_answered() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    assert harness.command(conn, "c1", "/join cup --car=9") == [messages.Accepted("c1")]
    sent = harness.submitted[0]
    assert (sent.cls, sent.tenant, sent.target) == ("queue-join", "a", "/queue")
    assert msgspec.json.decode(sent.body) == {
        "command": "join",
        "words": ["cup"],
        "options": {"car": "9"},
        "player": "p",
    }
    harness.handle(chat_hub.Attempted(sent.ref, 1))
    harness.finish()
    assert harness.received[conn][-2:] == [messages.Progress("c1", 1), messages.Answer("c1", "served", "ok")]
    assert harness.hub.open_commands == 0


def test_an_id_sent_again_is_the_same_command_before_and_after_its_answer() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    assert harness.command(conn) == [messages.Accepted("c1")]
    harness.finish()
    assert harness.command(conn) == [messages.Answer("c1", "served", "ok")]
    assert error_code(harness.command(conn, text="/entry other")) == "other_command"
    harness.send(conn, type="ack", id="c1")
    for i in range(200):  # far more than the number of answers kept
        harness.now += 1000
        harness.command(conn, f"d{i}")
        harness.finish()
        harness.send(conn, type="ack", id=f"d{i}")
    assert error_code(harness.command(conn)) == "already_answered"
    assert len(harness.submitted) == 201


def test_an_answer_given_while_detached_is_sent_at_each_resume_until_acknowledged() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    harness.handle(chat_hub.Closed(conn))
    harness.finish()
    again, received = harness.resume(harness.token(conn), "c1")
    assert received[0].resumed and received[1:] == [messages.Answer("c1", "served", "ok")]
    harness.handle(chat_hub.Closed(again))
    once_more, received = harness.resume(harness.token(again), "c1")
    assert received[1:] == [messages.Answer("c1", "served", "ok")]
    harness.send(once_more, type="ack", id="c1")
    harness.handle(chat_hub.Closed(once_more))
    assert harness.resume(harness.token(once_more))[1][1:] == []


def test_a_command_never_received_may_be_sent_again_and_a_received_one_does_not_run_twice() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn, "c1")
    harness.handle(chat_hub.Closed(conn))
    again, received = harness.resume(harness.token(conn), "c1", "c2")
    assert [type(m) for m in received] == [messages.Welcome, messages.Problem] and (
        received[1].code,
        received[1].id,
    ) == (
        "not_here",
        "c2",
    )
    harness.handle(
        chat_hub.Received(conn, b'{"type":"command","id":"c2","text":"/entry x"}')
    )  # the old socket is closed
    harness.command(again, "c2")
    harness.command(again, "c1")
    assert [s.key.rsplit(".", 1)[1] for s in harness.submitted] == ["c1", "c2"]


def test_the_newest_resume_holds_the_session_and_a_confirmed_token_ends_older_ones() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    token = harness.token(conn)
    one, _ = harness.resume(token, "c1")
    assert harness.close_codes[conn] == messages.TAKEN_OVER
    two, received = harness.resume(
        token, "c1"
    )  # the welcome of the first resume may have been lost: the token is still valid
    assert received[0].resumed and harness.close_codes[one] == messages.TAKEN_OVER
    for _ in range(3):  # any number of consecutive welcomes may be lost
        two, received = harness.resume(token, "c1")
        assert received[0].resumed
    newer_token = harness.token(two)
    two, _ = harness.resume(token, "c1")  # a second resume with the old token takes over from the first
    two, received = harness.resume(newer_token, "c1")
    assert received[0].resumed, "the client that has the newer token must be able to resume"
    harness.finish()
    assert [isinstance(m, messages.Answer) for m in harness.received[two]].count(True) == 1
    assert not any(isinstance(m, messages.Answer) for m in harness.received[one])
    harness.send(two, type="ack", id="c1")  # any message confirms that the client has the new token
    three, received = harness.resume(token)
    assert error_code(received) == "stale_token" and harness.close_codes[three] == messages.BAD_TOKEN


@pytest.mark.parametrize("lost", ["other incarnation", "expired", "home unreachable"])
def test_a_command_of_a_lost_session_is_answered_unknown_and_never_runs(lost: str) -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    token = harness.token(conn)
    if lost == "other incarnation":
        harness = HubHarness(incarnation=8)
        again, received = harness.resume(token, "c1")
    elif lost == "expired":
        harness.handle(chat_hub.Closed(conn))
        harness.now += CHAT.resume_within
        harness.handle(chat_hub.Tick())
        assert harness.hub.sessions == 0
        harness.submitted.clear()
        again, received = harness.resume(token, "c1")
    else:
        harness = HubHarness(agent_number=1)
        again, received = harness.resume(token, "c1")
        assert received == [] and isinstance(harness.other[0], chat_hub.Relay) and harness.other[0].home == 0
        harness.handle(chat_hub.HomeUnreachable(again))
        received = harness.received[again][1:]
    assert not received[0].resumed and received[1].kind == "unknown"
    assert harness.command(again) == [received[1]] and not harness.submitted
    harness.command(again, "c2")
    assert len(harness.submitted) == 1


def test_a_session_outlives_a_restart_with_its_answers_and_no_command_runs_again() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn, "done")
    harness.finish()
    harness.command(conn, "old")
    harness.finish()
    harness.send(conn, type="ack", id="old")
    harness.command(conn, "open")
    token, ran = harness.token(conn), len(harness.submitted)
    harness.restart()
    again, received = harness.resume(token, "open", "done", "unsent")
    assert received[0].resumed
    answers = {m.id: m.kind for m in received if isinstance(m, messages.Answer)}
    assert answers == {"done": "served", "open": "unknown", "unsent": "unknown"}
    for id in ("done", "open", "unsent", "old"):
        assert isinstance(harness.command(again, id)[-1], messages.Answer)
    assert len(harness.submitted) == ran
    harness.command(again, "next")
    assert len(harness.submitted) == ran + 1 and harness.submitted[-1].key.startswith("7.")
    harness.handle(chat_hub.Closed(again))
    _, received = harness.resume(harness.token(again), "later")
    assert error_code(received) == "not_here", (
        "after the first resume, an id that was never received is known to be unsent"
    )


def test_an_answer_received_whose_record_was_lost_is_not_followed_by_another() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    harness.finish()
    token = harness.token(conn)
    harness.restart(lost=1)
    _, received = harness.resume(token)
    assert received[0].resumed and not [m for m in received if isinstance(m, messages.Answer)]


def test_a_token_issued_after_the_last_durable_record_starts_a_new_session() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    token = harness.token(conn)
    again, _ = harness.resume(token)
    newer = harness.token(again)
    harness.restart(lost=1)
    _, received = harness.resume(newer, "c1")
    assert not received[0].resumed and received[1].kind == "unknown" and len(harness.submitted) == 1


def test_an_answer_after_the_session_has_ended_is_dropped() -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.command(conn)
    harness.send(conn, type="bye")
    assert harness.close_codes[conn] == 1000
    harness.finish()
    harness.finish(ref=1)
    harness.finish(ref=99)
    assert harness.hub.counts["dropped"] == 1 and harness.hub.open_commands == 0


def test_each_exceeded_limit_has_its_own_code_and_the_command_does_not_run() -> None:
    harness = HubHarness(max_open=2, session_burst=100.0, tenant_burst=4.0, tenant_rate=1.0, max_kept=3)
    conn, other = harness.open_session(), harness.open_session("b")
    assert [error_code(harness.command(conn, f"c{i}")) for i in range(3)] == ["", "", "too_many_open"]
    harness.finish(ref=1)
    harness.finish(ref=2)
    assert error_code(harness.command(conn, "c3")) == ""
    harness.finish()
    assert error_code(harness.command(conn, "c4")) == "unacknowledged"
    harness.send(conn, type="ack", id="c0")
    assert error_code(harness.command(conn, "c4")) == ""
    harness.finish()
    harness.send(conn, type="ack", id="c1")
    assert error_code(harness.command(conn, "c5")) == "rate_tenant"
    assert error_code(harness.command(other, "c1")) == "", "another tenant is not limited"
    assert len(harness.submitted) == 5
    slow = HubHarness(session_rate=1.0, session_burst=2.0)
    conn = slow.open_session()
    assert [error_code(slow.command(conn, f"c{i}", "/lobby")) for i in range(3)] == ["", "", "rate_session"]
    slow.now += 1000
    assert error_code(slow.command(conn, "c9", "/lobby")) == ""


def test_bounds_on_connections_sessions_and_time_to_hello() -> None:
    harness = HubHarness(per_address=2, max_sessions=2)
    one, two = harness.open(), harness.open()
    assert harness.close_codes == {} and harness.open() and harness.close_codes == {3: messages.LIMIT_REACHED}
    harness.handle(chat_hub.Closed(one))
    assert harness.open() and 4 not in harness.close_codes
    harness.now += CHAT.hello_within
    harness.handle(chat_hub.Tick())
    assert harness.close_codes[two] == harness.close_codes[4] == messages.NO_HELLO
    harness.open_session()
    harness.open_session()
    conn = harness.open("10.0.0.2")
    assert (
        error_code(harness.send(conn, type="hello", name="x", tenant="a")) == "full"
        and harness.close_codes[conn] == messages.LIMIT_REACHED
    )


@pytest.mark.parametrize(
    ("message", "expected_code"),
    [
        ("{", "bad_message"),
        ("[]", "bad_message"),
        ('{"type":"none"}', "bad_message"),
        ('{"type":"command","id":"","text":"x"}', "bad_message"),
        ('{"type":"command","id":"' + "x" * 65 + '","text":"x"}', "bad_message"),
        ('{"type":"command","id":"a b","text":"x"}', "bad_message"),
        ('{"type":"command","id":"a","text":"' + "x" * 4001 + '"}', "bad_message"),
        ('{"type":"command","id":"a","text":"/entry","more":1}', "bad_message"),
        ('{"type":"command","id":"a","text":"entry"}', "bad_syntax"),
        ('{"type":"command","id":"a","text":"/entry \\"cup"}', "bad_syntax"),
        ('{"type":"command","id":"a","text":"/dance"}', "unknown_command"),
        ('{"type":"command","id":"a","text":"/entry"}', "bad_arguments"),
        ('{"type":"command","id":"a","text":"/entry a b c"}', "bad_arguments"),
        ('{"type":"command","id":"a","text":"/entry a --fast"}', "bad_arguments"),
        ('{"type":"hello","name":"x"}', "in_session"),
        ("[" * 5000, "bad_message"),
    ],
)
def test_an_invalid_message_or_command_gets_its_error_code_and_nothing_runs(
    message: str, expected_code: str
) -> None:
    harness = HubHarness()
    conn = harness.open_session()
    harness.handle(chat_hub.Received(conn, message.encode()))
    assert error_code(harness.received[conn]) == expected_code and not harness.submitted
    assert harness.command(conn) == [messages.Accepted("c1")]


def test_before_hello_other_messages_are_rejected() -> None:
    harness = HubHarness()
    conn = harness.open()
    assert error_code(harness.command(conn)) == "no_session" and not harness.submitted
    assert (
        error_code(harness.send(conn, type="resume", token="x")) == "bad_token"
        and harness.close_codes[conn] == messages.BAD_TOKEN
    )
    conn = harness.open()
    assert error_code(harness.send(conn, type="hello", name="x", tenant="none")) == "bad_tenant"


def test_the_proof_of_an_operator_is_valid_for_its_connection_only() -> None:
    harness = HubHarness()
    conn, other = harness.open(), harness.open()
    nonces = {c: harness.received[c][0].nonce for c in (conn, other)}
    presented = proof(KEY, nonces[conn], "operator", "", "ann")
    for wrong in (presented[:-1] + "x", proof(KEY, nonces[conn], "player", "", "ann"), "", "é"):
        bad = harness.open()
        assert error_code(harness.send(bad, type="hello", name="ann", role="operator", proof=wrong)) == "bad_proof"
        assert harness.close_codes[bad] == messages.BAD_HELLO
    assert (
        error_code(harness.send(other, type="hello", name="ann", role="operator", proof=presented)) == "bad_proof"
    ), "a proof was replayed on another connection"
    assert isinstance(
        harness.send(conn, type="hello", name="ann", role="operator", proof=presented)[-1], messages.Welcome
    )
    harness.command(conn, "q", "/status")
    assert harness.other == [chat_hub.Query(conn, "q", "status")]
    assert error_code(harness.command(conn, "e", "/entry cup")) == "unknown_command" and not harness.submitted
    harness.command(conn, "f", "/follow")
    harness.handle(chat_hub.News("build 2 was offered"))
    assert harness.received[conn][-1] == messages.Report("build 2 was offered")
    harness.handle(chat_hub.Closed(conn))
    harness.handle(chat_hub.News("no connected follower"))
    closed = HubHarness(anonymous=False)
    conn = closed.open()
    assert error_code(closed.send(conn, type="hello", name="x", tenant="a")) == "bad_proof"


def test_handshakes_are_paced_and_unused_slots_are_not_kept() -> None:
    pacer = HandshakePacer(100.0, 5.0)
    waits = [pacer.reserve_slot(0.0) for _ in range(105)]
    assert waits[:5] == pytest.approx([0.0] * 5, abs=1e-9) and waits[-1] == pytest.approx(1.0)
    assert [pacer.reserve_slot(1.0) for _ in range(2)] == pytest.approx([0.01, 0.02])
    assert [pacer.reserve_slot(100.0) for _ in range(6)] == pytest.approx([0, 0, 0, 0, 0, 0.01], abs=1e-9)


# --- tokens and grammar ---
def test_tokens_are_accepted_unaltered_and_under_their_key_only() -> None:
    resume_token = ResumeToken(1, 2, 3, 4, "a", "p", "player")
    token = encode_token(KEY, resume_token)
    assert decode_token(KEY, token) == resume_token and decode_token(bytes(32), token) is None
    for i in range(len(token)):
        assert decode_token(KEY, token[:i]) is None
        changed = token[:i] + ("A" if token[i] != "A" else "B") + token[i + 1 :]
        assert decode_token(KEY, changed) in (None, resume_token), "unused bits of the last character may differ"
    assert decode_token(KEY, "x" * 2000) is None and decode_token(KEY, "ü") is None
    assert verify_proof(KEY, proof(KEY, "n", "player", "a", "p"), "n", "player", "a", "p")


@pytest.mark.parametrize(
    ("text", "parsed"),
    [
        ("/lobby", ParsedCommand("lobby", (), ())),
        ("/join cup-7  --car=12 --with \t", ParsedCommand("join", ("cup-7",), (("car", "12"), ("with", "")))),
        ('/entry "night cup" "a \\"b\\" \\\\"', ParsedCommand("entry", ("night cup", 'a "b" \\'), ())),
        ("/entry ein-größer 夜", ParsedCommand("entry", ("ein-größer", "夜"), ())),
        ('/x --note="two words" -1 a=b', ParsedCommand("x", ("-1", "a=b"), (("note", "two words"),))),
    ],
)
def test_parsing_of_commands(text: str, parsed: ParsedCommand) -> None:
    assert parse(text) == parsed


@pytest.mark.parametrize(
    ("text", "column"),
    [
        ("", 1),
        ("lobby", 1),
        ("/", 2),
        ("/Join", 2),
        ('/entry "cup', 8),
        ("/entry a\x00b", 9),
        ("/entry --", 10),
        ('/entry a"b"', 9),
        ("/entry " + "x" * 2000, 2001),
    ],
)
def test_a_syntax_error_names_its_column(text: str, column: int) -> None:
    with pytest.raises(CommandSyntaxError) as error:
        parse(text)
    assert error.value.column == column


@given(st.text(max_size=60) | st.text('/ab "\\-= ', max_size=30))
def test_any_text_parses_or_raises_a_syntax_error(text: str) -> None:
    try:
        parsed = parse(text)
    except CommandSyntaxError:
        return
    assert text.startswith(f"/{parsed.name}")
    assert len(parsed.arguments) + len(parsed.options) <= len(text.split()) + text.count('"')


@given(st.lists(st.text(st.characters(blacklist_categories=("Cc", "Cs")), max_size=12), max_size=5))
def test_quoted_arguments_may_hold_any_text(words: list[str]) -> None:
    quoted = " ".join('"' + w.replace("\\", "\\\\").replace('"', '\\"') + '"' for w in words)
    assert parse(f"/say {quoted}".rstrip()).arguments == tuple(words)


OBJECTS = st.dictionaries(st.text(max_size=8), st.text(max_size=20)).map(msgspec.json.encode)


@given(st.binary(max_size=200) | OBJECTS)
def test_any_bytes_as_a_message_leave_other_sessions_working(data: bytes) -> None:
    harness = HubHarness()
    conn, other = harness.open_session(), harness.open_session("b")
    harness.handle(chat_hub.Received(conn, data))
    assert harness.command(other) == [messages.Accepted("c1")]


# --- state machine test of the hub ---
class Sessions(RuleBasedStateMachine):
    """Clients that connect, send commands, lose sockets and resume, with answers at any time."""

    sockets = Bundle("sockets")
    tokens = Bundle("tokens")

    def __init__(self) -> None:
        super().__init__()
        self.harness = HubHarness(session_rate=1e6, session_burst=1e6, max_open=3, max_kept=6)
        self.ran: dict[str, int] = {}
        self.lost_records = False

    def _count_submissions(self) -> None:
        for submit in self.harness.submitted:
            self.ran[submit.key] = self.ran.get(submit.key, 0) + 1
        self.harness.submitted.clear()

    @rule(target=sockets)
    def enter(self) -> int:
        return self.harness.open_session()

    @rule(target=tokens, conn=sockets)
    def save_token(self, conn: int) -> str:
        return self.harness.token(conn)

    @rule(conn=sockets, number=st.integers(0, 9))
    def type(self, conn: int, number: int) -> None:
        self.harness.command(conn, f"c{number}", f"/entry w{number}")
        self._count_submissions()

    @rule(conn=sockets, number=st.integers(0, 9))
    def ack(self, conn: int, number: int) -> None:
        self.harness.send(conn, type="ack", id=f"c{number}")

    @rule(conn=sockets)
    def lose(self, conn: int) -> None:
        self.harness.handle(chat_hub.Closed(conn))

    @rule(conn=consumes(sockets))
    def bye(self, conn: int) -> None:
        self.harness.send(conn, type="bye")

    @rule(target=sockets, token=tokens, numbers=st.lists(st.integers(0, 9), max_size=4))
    def resume(self, token: str, numbers: list[int]) -> int:
        # after a restart that lost records a client must list all of its open commands
        conn, received = self.harness.resume(
            token, *(f"c{n}" for n in (range(10) if self.lost_records else numbers))
        )
        self._count_submissions()
        if error_code(received) in ("stale_token", "bad_token"):
            return self.harness.open_session()
        return conn

    @rule(lost=st.integers(0, 6))
    def restart(self, lost: int) -> None:
        self.lost_records = self.lost_records or lost > 0
        self.harness.restart(lost)

    @rule(kind=st.sampled_from(["served", "refused", "failed"]), data=st.data())
    def finish(self, kind: str, data: Any) -> None:
        refs = list(self.harness.hub._submitted)
        if refs:
            self.harness.finish(kind, data.draw(st.sampled_from(refs)))

    @rule(elapsed_ms=st.sampled_from([10.0, 5000.0, 30000.0]))
    def wait(self, elapsed_ms: float) -> None:
        self.harness.now += elapsed_ms
        self.harness.handle(chat_hub.Tick())

    @invariant()
    def nothing_runs_twice(self) -> None:
        assert all(count == 1 for count in self.ran.values())

    @invariant()
    def one_answer_a_socket_and_command_between_resends(self) -> None:
        for received in self.harness.received.values():
            kinds: dict[str, set[str]] = {}
            for message in received:
                if isinstance(message, messages.Answer):
                    kinds.setdefault(message.id, set()).add(message.kind)
            assert all(len(found) == 1 for found in kinds.values())

    @invariant()
    def hub_state_is_consistent(self) -> None:
        hub = self.harness.hub
        for session in hub._sessions.values():
            open = [e for e in session.entries.values() if e.answer is None]
            assert len(open) <= 3 and len(session.entries) <= 6 + 4
            if session.conn_id is not None:
                assert hub._connections[session.conn_id].session is session
        assert sum(hub._addresses.values()) == len(hub._connections)


Sessions.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestSessions = Sessions.TestCase


def test_a_restarted_hub_does_not_draw_the_ids_of_sessions_that_a_restart_lost() -> None:
    steps = Sessions()
    steps.restart(0)
    steps.type(steps.enter(), 4)
    steps.restart(2)  # loses the session and its command
    steps.type(steps.enter(), 4)
    assert len(steps.ran) == 2
    steps.nothing_runs_twice()
