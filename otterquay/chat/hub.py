"""Chat sessions and the command ledger of one agent, without I/O: takes events and the time, returns actions.

A session starts with a hello, is detached when its socket closes, can be resumed on another socket, and ends with a
bye or when it stays detached for too long. A command is accepted once by its id, submitted once to the decision
module, and gets one final answer, which is kept until the client acknowledges it. The decision module routes,
retries and refuses commands; the hub only authenticates clients, enforces limits and delivers answers.
All times are in milliseconds.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from otterquay.chat import messages
from otterquay.chat.grammar import CommandSyntaxError, parse
from otterquay.chat.tokens import ResumeToken, Role, decode_token, encode_token, verify_proof
from otterquay.config.schema import Chat


# --- records that outlast a restart ---
class StoredSession(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of a session."""

    tenant: str
    name: str
    role: Role
    secrets: list[int]


class StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of a command; `retired` means that its answer was acknowledged and has been dropped."""

    text: str
    answer: messages.Answer | None = None
    acked: bool = False
    retired: bool = False


@dataclass(frozen=True, slots=True)
class Persist:
    """Store the record of a session (empty `id`) or of one of its commands.

    None as the record deletes it; deleting a session deletes its commands, too.
    """

    session: int
    id: str
    record: StoredSession | StoredEntry | None


@dataclass(frozen=True, slots=True)
class StoredSessions:
    """The records of before a restart, and the incarnation that the resume tokens of that time name."""

    incarnation: int
    sessions: dict[int, tuple[StoredSession, dict[str, StoredEntry]]]


# --- events ---
@dataclass(frozen=True, slots=True)
class Opened:
    """A socket was opened by a client at this address."""

    conn_id: int
    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A complete text message was received."""

    conn_id: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """A socket was closed."""

    conn_id: int


@dataclass(frozen=True, slots=True)
class Finished:
    """A submitted command has its final answer."""

    ref: int
    kind: Literal["served", "refused", "failed"]
    text: str
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Attempted:
    """An attempt was sent for a submitted command."""

    ref: int
    count: int


@dataclass(frozen=True, slots=True)
class HomeUnreachable:
    """The agent that holds the session of this resuming socket cannot be reached."""

    conn_id: int


@dataclass(frozen=True, slots=True)
class News:
    """A line of news for the operators that sent /follow."""

    text: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event; checks timeouts."""


Event = Opened | Received | Closed | Finished | Attempted | HomeUnreachable | News | Tick


# --- actions ---
@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a message on a socket."""

    conn_id: int
    message: messages.Outgoing


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close a socket."""

    conn_id: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit a command to the decision module as a request of class `cls`."""

    ref: int
    cls: str
    tenant: str
    key: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Relay:
    """Proxy this socket to agent `home`, which holds its session; `first` is the first message to forward."""

    conn_id: int
    home: int
    first: bytes


@dataclass(frozen=True, slots=True)
class Query:
    """A query of an operator, to be answered by the agent."""

    conn_id: int
    id: str
    what: Literal["status", "votes"]


Action = Deliver | Disconnect | Submit | Relay | Query | Persist


# --- state ---
@dataclass(slots=True)
class TokenBucket:
    """A token bucket that refills at `rate` tokens per second up to `burst`."""

    rate: float
    burst: float
    level: float
    updated_at: float

    def is_full(self, now: float) -> bool:
        return self.level + (now - self.updated_at) / 1e3 * self.rate >= self.burst

    def try_take(self, now: float) -> bool:
        self.level = min(self.burst, self.level + (now - self.updated_at) / 1e3 * self.rate)
        self.updated_at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class Entry:
    """A command in the ledger of its session; `answer` is None while the command is open."""

    id: str
    text: str
    answer: messages.Answer | None = None
    acked: bool = False


@dataclass(slots=True)
class Session:
    """A session; `conn_id` is None while it is detached.

    `secrets` are the token secrets that may resume it: the last one that the client is known to have received, and
    those issued since. `retired` holds the ids of answers that were dropped. `restored` is set from a restart until
    the first resume: the newest records may have been lost in the restart.
    """

    id: int
    tenant: str
    name: str
    role: Role
    conn_id: int | None
    bucket: TokenBucket
    secrets: list[int] = field(default_factory=list)
    detached_at: float = 0.0
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    retired: OrderedDict[str, None] = field(default_factory=OrderedDict)
    following: bool = False
    restored: bool = False


@dataclass(slots=True)
class _Connection:
    """An open socket; `resuming` and `token` are set when its session is held by another agent."""

    address: str
    nonce: str
    opened_at: float
    session: Session | None = None
    resuming: messages.ResumeHello | None = None
    token: ResumeToken | None = None
    secret: int = 0


OPERATOR_COMMANDS = "status, votes, follow"
RESTARTED_TEXT = "the agent was restarted while this command was open"
MAX_VALID_TOKENS = 16  # per session
RETIRED_IDS_PER_KEPT_ANSWER = 16  # ids of dropped answers that a session remembers, per answer that it may keep


class Hub:
    """All sessions of one agent.

    `key` is shared by all agents of the group. `incarnation` is new at every start that does not restore stored
    sessions. With `persistent`, records that must outlast a restart are emitted as Persist actions.
    """

    def __init__(
        self,
        settings: Chat,
        tenants: tuple[str, ...],
        agent_number: int,
        incarnation: int,
        key: bytes,
        rng: random.Random,
        persistent: bool = False,
    ) -> None:
        self._settings, self._tenants, self._agent_number, self._incarnation, self._key, self._rng = (
            settings,
            tenants,
            agent_number,
            incarnation,
            key,
            rng,
        )
        self._connections: dict[int, _Connection] = {}
        self._sessions: dict[int, Session] = {}
        self._submitted: dict[int, tuple[Session, Entry]] = {}
        self._addresses: dict[str, int] = {}
        self._tenant_buckets: dict[str, TokenBucket] = {}
        self._actions: list[Action] = []
        self._now = 0.0
        self._last_ref = 0
        self._persistent = persistent
        self.counts = dict.fromkeys(("accepted", "answered", "unknown", "dropped", "resumed", "expired"), 0)

    def restore(self, now: float, stored: StoredSessions) -> None:
        """Restore the sessions of before a restart.

        Whether a command that was open then has run is not known: it is answered `unknown`, and never run again.
        """
        self._incarnation = stored.incarnation
        for id, (stored_session, entries) in stored.sessions.items():
            bucket = TokenBucket(
                self._settings.session_rate, self._settings.session_burst, self._settings.session_burst, now
            )
            session = self._sessions[id] = Session(
                id,
                stored_session.tenant,
                stored_session.name,
                stored_session.role,
                None,
                bucket,
                list(stored_session.secrets),
                now,
                restored=True,
            )
            for name, entry in entries.items():
                if entry.retired:
                    session.retired[name] = None
                else:
                    answer = entry.answer or messages.Answer(name, "unknown", RESTARTED_TEXT)
                    session.entries[name] = Entry(name, entry.text, answer, entry.acked)
                    self.counts["unknown"] += entry.answer is None

    def _save(self, session: Session, entry: Entry | None = None) -> None:
        if not self._persistent:
            return
        if entry is None:
            record = StoredSession(session.tenant, session.name, session.role, session.secrets[:])
            self._actions.append(Persist(session.id, "", record))
        else:
            self._actions.append(Persist(session.id, entry.id, StoredEntry(entry.text, entry.answer, entry.acked)))

    @property
    def sessions(self) -> int:
        """Number of sessions, detached ones included."""
        return len(self._sessions)

    @property
    def open_commands(self) -> int:
        """Number of commands submitted and not yet answered."""
        return len(self._submitted)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event; returns the actions to carry out, in order."""
        self._now, self._actions = now, []
        match event:
            case Opened(conn_id, address):
                self._opened(conn_id, address)
            case Received(conn_id, text):
                if connection := self._connections.get(conn_id):
                    self._received(conn_id, connection, text)
            case Closed(conn_id):
                self._closed(conn_id)
            case Finished():
                self._finished(event)
            case Attempted(ref, count):
                if (found := self._submitted.get(ref)) and found[0].conn_id is not None:
                    self._actions.append(Deliver(found[0].conn_id, messages.Progress(found[1].id, count)))
            case HomeUnreachable(conn_id):
                if (connection := self._connections.get(conn_id)) and connection.token and connection.resuming:
                    self._replace_lost_session(conn_id, connection, connection.token, connection.resuming)
            case News(text):
                for session in self._sessions.values():
                    if session.following and session.conn_id is not None:
                        self._actions.append(Deliver(session.conn_id, messages.Report(text)))
            case Tick():
                self._tick()
        return self._actions

    def _send(self, conn_id: int, message: messages.Outgoing) -> None:
        self._actions.append(Deliver(conn_id, message))

    def _disconnect(self, conn_id: int, code: int, reason: str) -> None:
        self._actions.append(Disconnect(conn_id, code, reason))
        self._closed(conn_id)

    # --- sockets ---
    def _opened(self, conn_id: int, address: str) -> None:
        open_connections = self._addresses.get(address, 0)
        if open_connections >= self._settings.per_address:
            return self._actions.append(
                Disconnect(conn_id, messages.LIMIT_REACHED, "too many connections from this address")
            )
        self._addresses[address] = open_connections + 1
        nonce = f"{self._rng.getrandbits(128):032x}"
        self._connections[conn_id] = _Connection(address, nonce, self._now)
        self._send(conn_id, messages.Challenge(nonce))

    def _closed(self, conn_id: int) -> None:
        connection = self._connections.pop(conn_id, None)
        if connection is None:
            return
        self._addresses[connection.address] -= 1
        if not self._addresses[connection.address]:
            del self._addresses[connection.address]
        if (session := connection.session) and session.conn_id == conn_id:
            session.conn_id, session.detached_at, session.following = None, self._now, False

    def _tick(self) -> None:
        for conn_id, connection in list(self._connections.items()):
            if connection.session is None and self._now - connection.opened_at >= self._settings.hello_within:
                self._disconnect(conn_id, messages.NO_HELLO, "no hello in time")
        # Drops full buckets, which equal new ones: where no tenants are configured, clients may send any name,
        # and the buckets would grow without bound.
        self._tenant_buckets = {
            name: bucket for name, bucket in self._tenant_buckets.items() if not bucket.is_full(self._now)
        }
        for session in list(self._sessions.values()):
            if session.conn_id is None and self._now - session.detached_at >= self._settings.resume_within:
                self.counts["expired"] += 1
                self._remove_session(session)

    def _remove_session(self, session: Session) -> None:
        """End a session; its open commands keep running, and their answers are dropped."""
        del self._sessions[session.id]
        if self._persistent:
            self._actions.append(Persist(session.id, "", None))

    # --- messages ---
    def _received(self, conn_id: int, connection: _Connection, text: bytes) -> None:
        try:
            message = messages.decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return self._send(conn_id, messages.Problem("bad_message", str(error)[:200]))
        session = connection.session
        if session is None:
            match message:
                case messages.Hello():
                    return self._hello(conn_id, connection, message)
                case messages.ResumeHello():
                    return self._resume(conn_id, connection, message)
            return self._send(conn_id, messages.Problem("no_session", "say hello first"))
        # Any message shows that the client has received this connection's welcome.
        if session.secrets != [connection.secret]:
            session.secrets = [connection.secret]
            self._save(session)
        match message:
            case messages.Command():
                self._command(conn_id, session, message)
            case messages.Ack(id):
                if (entry := session.entries.get(id)) and entry.answer:
                    entry.acked = True
                    self._save(session, entry)
            case messages.Bye():
                self._remove_session(session)
                self._disconnect(conn_id, 1000, "bye")
            case _:
                self._send(conn_id, messages.Problem("in_session", "this connection has its session"))

    def _hello(self, conn_id: int, connection: _Connection, hello: messages.Hello) -> None:
        proved = bool(hello.proof) and verify_proof(
            self._key, hello.proof, connection.nonce, hello.role, hello.tenant, hello.name
        )
        if not proved and (hello.role != "player" or not self._settings.anonymous or hello.proof):
            self._send(conn_id, messages.Problem("bad_proof", "the proof does not fit this connection"))
            return self._disconnect(conn_id, messages.BAD_HELLO, "bad proof")
        if hello.role == "player" and self._tenants and hello.tenant not in self._tenants:
            self._send(conn_id, messages.Problem("bad_tenant", "no such tenant"))
            return self._disconnect(conn_id, messages.BAD_HELLO, "no such tenant")
        self._create_session(conn_id, connection, hello.tenant, hello.name, hello.role)

    def _create_session(
        self, conn_id: int, connection: _Connection, tenant: str, name: str, role: Role
    ) -> Session | None:
        if len(self._sessions) >= self._settings.max_sessions:
            self._send(conn_id, messages.Problem("full", "no more sessions here"))
            self._disconnect(conn_id, messages.LIMIT_REACHED, "no more sessions here")
            return None
        bucket = TokenBucket(
            self._settings.session_rate, self._settings.session_burst, self._settings.session_burst, self._now
        )
        session = Session(self._rng.getrandbits(63), tenant, name, role, None, bucket)
        self._sessions[session.id] = session
        self._attach(conn_id, connection, session, resumed=False)
        return session

    def _attach(self, conn_id: int, connection: _Connection, session: Session, resumed: bool) -> None:
        connection.session, session.conn_id, connection.secret = session, conn_id, self._rng.getrandbits(63) + 1
        # A welcome may be lost, and two concurrent resumes may overlap. It is not known yet which token the client
        # has, so those issued since the last confirmed one stay valid.
        session.secrets = [*session.secrets[:1], *session.secrets[1:][2 - MAX_VALID_TOKENS :], connection.secret]
        self._save(session)
        token = encode_token(
            self._key,
            ResumeToken(
                self._agent_number,
                self._incarnation,
                session.id,
                connection.secret,
                session.tenant,
                session.name,
                session.role,
            ),
        )
        self._send(
            conn_id, messages.Welcome(token, resumed, int(self._settings.resume_within), self._settings.max_open)
        )

    # --- resuming ---
    def _resume(self, conn_id: int, connection: _Connection, message: messages.ResumeHello) -> None:
        token = decode_token(self._key, message.token)
        if token is None or connection.resuming:
            self._send(conn_id, messages.Problem("bad_token", "this is no token of ours"))
            return self._disconnect(conn_id, messages.BAD_TOKEN, "bad token")
        if token.home != self._agent_number:
            connection.resuming, connection.token = message, token
            return self._actions.append(Relay(conn_id, token.home, msgspec.json.encode(message)))
        session = self._sessions.get(token.session) if token.incarnation == self._incarnation else None
        if session is None:
            return self._replace_lost_session(conn_id, connection, token, message)
        if token.secret not in session.secrets:
            if session.restored:  # issued after the last durable record
                return self._replace_lost_session(conn_id, connection, token, message)
            self._send(conn_id, messages.Problem("stale_token", "a later token was given"))
            return self._disconnect(conn_id, messages.BAD_TOKEN, "stale token")
        if session.conn_id is not None:  # the newest socket takes over the session
            previous_conn_id, session.conn_id = session.conn_id, None
            self._connections[previous_conn_id].session = None
            self._disconnect(previous_conn_id, messages.TAKEN_OVER, "resumed elsewhere")
        self.counts["resumed"] += 1
        self._attach(conn_id, connection, session, resumed=True)
        for id in message.open if session.restored else ():
            if id not in session.entries and id not in session.retired:
                session.entries[id] = Entry(id, "", messages.Answer(id, "unknown", RESTARTED_TEXT))
                self.counts["unknown"] += 1
                self._save(session, session.entries[id])
        for entry in session.entries.values():
            # The client may have received an answer whose record was lost in the restart; it does not list that
            # command as open then, and must not get `unknown` after the answer.
            if entry.answer and not entry.acked and (entry.answer.kind != "unknown" or entry.id in message.open):
                self._send(conn_id, entry.answer)
        session.restored = False
        for id in message.open:  # never received: the socket closed before they arrived
            if id not in session.entries and id not in session.retired:
                self._send(
                    conn_id, messages.Problem("not_here", "this command never came; it may be sent again", id)
                )

    def _replace_lost_session(
        self, conn_id: int, connection: _Connection, token: ResumeToken, message: messages.ResumeHello
    ) -> None:
        """Start a new session in place of one that is lost.

        What became of its commands is not known: they are answered `unknown`, and their ids never run again.
        """
        session = self._create_session(conn_id, connection, token.tenant, token.name, token.role)
        for id in message.open if session else ():
            assert session is not None
            answer = messages.Answer(id, "unknown", "the agent that held this command is gone")
            session.entries[id] = Entry(id, "", answer)
            self._save(session, session.entries[id])
            self.counts["unknown"] += 1
            self._send(conn_id, answer)

    # --- commands ---
    def _command(self, conn_id: int, session: Session, message: messages.Command) -> None:
        id = message.id
        if entry := session.entries.get(id):  # a repeated id is the same command
            if entry.text and entry.text != message.text:
                return self._send(
                    conn_id, messages.Problem("other_command", "this id stands for another command", id)
                )
            return self._send(conn_id, entry.answer or messages.Accepted(id))
        if id in session.retired:
            return self._send(conn_id, messages.Problem("already_answered", "its answer was acknowledged", id))
        if not session.bucket.try_take(self._now):
            return self._send(conn_id, messages.Problem("rate_session", "too many commands a second", id))
        try:
            parsed = parse(message.text)
        except CommandSyntaxError as error:
            return self._send(conn_id, messages.Problem("bad_syntax", str(error), id))
        if session.role == "operator":
            return self._operator(conn_id, session, id, parsed.name)
        command = self._settings.command.get(parsed.name)
        if command is None:
            known = ", ".join(f"/{name}" for name in self._settings.command)
            return self._send(conn_id, messages.Problem("unknown_command", f"there are {known}", id))
        unknown_options = [name for name, _ in parsed.options if name not in command.options]
        if unknown_options or not command.least_words <= len(parsed.arguments) <= command.most_words:
            allowed = f"{command.least_words} to {command.most_words} words, options {command.options}"
            return self._send(conn_id, messages.Problem("bad_arguments", f"/{parsed.name} takes {allowed}", id))
        if (
            open_count := sum(entry.answer is None for entry in session.entries.values())
        ) >= self._settings.max_open:
            return self._send(conn_id, messages.Problem("too_many_open", f"{open_count} commands are open", id))
        if len(session.entries) >= self._settings.max_kept and not self._drop_acknowledged_entry(session):
            return self._send(conn_id, messages.Problem("unacknowledged", "acknowledge answers first", id))
        bucket = self._tenant_buckets.setdefault(
            session.tenant,
            TokenBucket(
                self._settings.tenant_rate, self._settings.tenant_burst, self._settings.tenant_burst, self._now
            ),
        )
        if not bucket.try_take(self._now):
            return self._send(conn_id, messages.Problem("rate_tenant", "too many commands of this tenant", id))
        self._last_ref += 1
        entry = session.entries[id] = Entry(id, message.text)
        self._submitted[self._last_ref] = session, entry
        self._save(session, entry)
        self.counts["accepted"] += 1
        self._send(conn_id, messages.Accepted(id))
        body = msgspec.json.encode(
            {
                "command": parsed.name,
                "words": parsed.arguments,
                "options": dict(parsed.options),
                "player": session.name,
            }
        )
        key = f"{self._incarnation:x}.{session.id:x}.{id}"
        self._actions.append(Submit(self._last_ref, command.class_, session.tenant, key, command.target, body))

    def _drop_acknowledged_entry(self, session: Session) -> bool:
        """Drop the oldest acknowledged answer, but keep its id, so that a repeat of the command is recognized."""
        for id, entry in session.entries.items():
            if entry.acked:
                del session.entries[id]
                session.retired[id] = None
                if self._persistent:
                    self._actions.append(Persist(session.id, id, StoredEntry("", None, True, True)))
                if len(session.retired) > RETIRED_IDS_PER_KEPT_ANSWER * self._settings.max_kept:
                    oldest, _ = session.retired.popitem(last=False)
                    if self._persistent:
                        self._actions.append(Persist(session.id, oldest, None))
                return True
        return False

    def _operator(self, conn_id: int, session: Session, id: str, name: str) -> None:
        if name == "status" or name == "votes":
            return self._actions.append(Query(conn_id, id, name))  # type: ignore[arg-type]
        if name == "follow":
            session.following = True
            return self._send(conn_id, messages.Report("following", id))
        self._send(conn_id, messages.Problem("unknown_command", f"operators have {OPERATOR_COMMANDS}", id))

    def _finished(self, event: Finished) -> None:
        found = self._submitted.pop(event.ref, None)
        if found is None:
            return
        session, entry = found
        entry.answer = messages.Answer(entry.id, event.kind, event.text, int(event.retry_after_ms))
        self.counts["answered"] += 1
        if session.id not in self._sessions:
            self.counts["dropped"] += 1
            return
        self._save(session, entry)
        if session.conn_id is None:
            return
        self._send(session.conn_id, entry.answer)
