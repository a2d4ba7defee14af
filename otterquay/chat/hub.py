"""Sessions and the command ledger of one agent, without I/O: events and `now` in, actions out.

A session is connected, greeted (authenticated), detached when its socket ends, resumed on another one, and closed
when it says bye or stays away too long. A command is accepted once by its id, submitted once to the decision
module, and gets one final answer, which is kept until the client has acknowledged it. The module decides how a
command is routed, retried and refused; this one decides only who may ask, how much, and who gets which answer.
Times are milliseconds.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from otterquay.chat import messages as ms
from otterquay.chat.grammar import Mistyped, parse
from otterquay.chat.tokens import Resume, Role, proves, seal, unseal
from otterquay.config.schema import Chat


# --- what is kept over a restart ---
class KeptSession(msgspec.Struct, array_like=True, frozen=True):
    """A session as it is written down."""

    tenant: str
    name: str
    role: Role
    secrets: list[int]


class KeptEntry(msgspec.Struct, array_like=True, frozen=True):
    """A command as it is written down; `retired` tells that its answer was acknowledged and dropped."""

    text: str
    answer: ms.Answer | None = None
    acked: bool = False
    retired: bool = False


@dataclass(frozen=True, slots=True)
class Keep:
    """Write down a session (no id) or one of its commands; with no record remove it, a session with all it has."""

    session: int
    id: str
    record: KeptSession | KeptEntry | None


@dataclass(frozen=True, slots=True)
class Recalled:
    """What was written down before a restart, under the life that tokens of then name."""

    life: int
    sessions: dict[int, tuple[KeptSession, dict[str, KeptEntry]]]


# --- events ---
@dataclass(frozen=True, slots=True)
class Opened:
    """A socket has opened, from this address."""

    conn: int
    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A whole text message came."""

    conn: int
    text: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """A socket has ended."""

    conn: int


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
class HomeLost:
    """The agent that holds the session of this resuming socket cannot be reached."""

    conn: int


@dataclass(frozen=True, slots=True)
class News:
    """Something that following operators want to hear."""

    text: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Opened | Received | Closed | Finished | Attempted | HomeLost | News | Tick


# --- actions ---
@dataclass(frozen=True, slots=True)
class Deliver:
    """Write a message."""

    conn: int
    message: ms.Outgoing


@dataclass(frozen=True, slots=True)
class Shut:
    """Close a socket."""

    conn: int
    code: int
    reason: str


@dataclass(frozen=True, slots=True)
class Submit:
    """Hand a command to the decision module, as a request of class `cls`."""

    ref: int
    cls: str
    tenant: str
    key: str
    target: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Relay:
    """Carry this socket's messages to and from the agent that holds its session, `first` first."""

    conn: int
    home: int
    first: bytes


@dataclass(frozen=True, slots=True)
class Query:
    """An operator's question for the agent."""

    conn: int
    id: str
    what: Literal["status", "votes"]


Action = Deliver | Shut | Submit | Relay | Query | Keep


# --- state ---
@dataclass(slots=True)
class Bucket:
    """A token bucket: `rate` a second, `burst` at most."""

    rate: float
    burst: float
    level: float
    at: float

    def full(self, now: float) -> bool:
        return self.level + (now - self.at) / 1e3 * self.rate >= self.burst

    def take(self, now: float) -> bool:
        self.level = min(self.burst, self.level + (now - self.at) / 1e3 * self.rate)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclass(slots=True)
class Entry:
    """One command of the ledger; `answer` is None while it is open."""

    id: str
    text: str
    answer: ms.Answer | None = None
    acked: bool = False


@dataclass(slots=True)
class Session:
    """One session; `conn` is None while it is detached."""

    id: int
    tenant: str
    name: str
    role: Role
    conn: int | None
    bucket: Bucket
    secrets: list[int] = field(default_factory=list)  # the last one shown to be in use, and those given since
    detached: float = 0.0
    entries: OrderedDict[str, Entry] = field(default_factory=OrderedDict)
    retired: OrderedDict[str, None] = field(default_factory=OrderedDict)  # ids of answers no longer kept
    following: bool = False
    restored: bool = False  # its newest records may be missing: none of its client has come back since a restart


@dataclass(slots=True)
class _Line:
    """One socket."""

    address: str
    nonce: str
    since: float
    session: Session | None = None
    resuming: ms.ResumeHello | None = None
    token: Resume | None = None
    secret: int = 0


HELP = "status, votes, follow"
RESTARTED = "the agent was restarted while this command was open"
UNSHOWN = 16  # tokens of a session that are good at once
RETIRED = 16  # ids of dropped answers that a session remembers, for each answer that it may keep


class Hub:
    """All sessions of one agent. `key` is shared by the group; `life` differs at every start that recalls nothing.

    With `keeps` what must outlast a restart comes as Keep actions.
    """

    def __init__(
        self,
        settings: Chat,
        tenants: tuple[str, ...],
        me: int,
        life: int,
        key: bytes,
        rng: random.Random,
        keeps: bool = False,
    ) -> None:
        self._s, self._tenants, self._me, self._life, self._key, self._rng = (settings, tenants, me, life, key, rng)
        self._lines: dict[int, _Line] = {}
        self._sessions: dict[int, Session] = {}
        self._refs: dict[int, tuple[Session, Entry]] = {}
        self._addresses: dict[str, int] = {}
        self._buckets: dict[str, Bucket] = {}
        self._out: list[Action] = []
        self._now = 0.0
        self._last_ref = 0
        self._keeps = keeps
        self.counts = dict.fromkeys(("accepted", "answered", "unknown", "dropped", "resumed", "expired"), 0)

    def recall(self, now: float, recalled: Recalled) -> None:
        """Take up sessions of before a restart; nobody knows what became of an open command: its id is spent."""
        self._life = recalled.life
        for id, (kept, entries) in recalled.sessions.items():
            bucket = Bucket(self._s.session_rate, self._s.session_burst, self._s.session_burst, now)
            session = self._sessions[id] = Session(
                id, kept.tenant, kept.name, kept.role, None, bucket, list(kept.secrets), now, restored=True
            )
            for name, entry in entries.items():
                if entry.retired:
                    session.retired[name] = None
                else:
                    answer = entry.answer or ms.Answer(name, "unknown", RESTARTED)
                    session.entries[name] = Entry(name, entry.text, answer, entry.acked)
                    self.counts["unknown"] += entry.answer is None

    def _save(self, session: Session, entry: Entry | None = None) -> None:
        if not self._keeps:
            return
        if entry is None:
            record = KeptSession(session.tenant, session.name, session.role, session.secrets[:])
            self._out.append(Keep(session.id, "", record))
        else:
            self._out.append(Keep(session.id, entry.id, KeptEntry(entry.text, entry.answer, entry.acked)))

    @property
    def sessions(self) -> int:
        """Sessions held, attached or not."""
        return len(self._sessions)

    @property
    def open_commands(self) -> int:
        """Commands submitted and not yet answered."""
        return len(self._refs)

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about an event, in order."""
        self._now, self._out = now, []
        match event:
            case Opened(conn, address):
                self._opened(conn, address)
            case Received(conn, text):
                if line := self._lines.get(conn):
                    self._received(conn, line, text)
            case Closed(conn):
                self._closed(conn)
            case Finished():
                self._finished(event)
            case Attempted(ref, count):
                if (found := self._refs.get(ref)) and found[0].conn is not None:
                    self._out.append(Deliver(found[0].conn, ms.Progress(found[1].id, count)))
            case HomeLost(conn):
                if (line := self._lines.get(conn)) and line.token and line.resuming:
                    self._orphan(conn, line, line.token, line.resuming)
            case News(text):
                for session in self._sessions.values():
                    if session.following and session.conn is not None:
                        self._out.append(Deliver(session.conn, ms.Report(text)))
            case Tick():
                self._tick()
        return self._out

    def _say(self, conn: int, message: ms.Outgoing) -> None:
        self._out.append(Deliver(conn, message))

    def _shut(self, conn: int, code: int, reason: str) -> None:
        self._out.append(Shut(conn, code, reason))
        self._closed(conn)

    # --- sockets ---
    def _opened(self, conn: int, address: str) -> None:
        held = self._addresses.get(address, 0)
        if held >= self._s.per_address:
            return self._out.append(Shut(conn, ms.CROWDED, "too many connections from this address"))
        self._addresses[address] = held + 1
        nonce = f"{self._rng.getrandbits(128):032x}"
        self._lines[conn] = _Line(address, nonce, self._now)
        self._say(conn, ms.Challenge(nonce))

    def _closed(self, conn: int) -> None:
        line = self._lines.pop(conn, None)
        if line is None:
            return
        self._addresses[line.address] -= 1
        if not self._addresses[line.address]:
            del self._addresses[line.address]
        if (session := line.session) and session.conn == conn:
            session.conn, session.detached, session.following = None, self._now, False

    def _tick(self) -> None:
        for conn, line in list(self._lines.items()):
            if line.session is None and self._now - line.since >= self._s.hello_within:
                self._shut(conn, ms.NO_HELLO, "no hello in time")
        # one that has filled up again is as good as a new one, and tenants may be any name
        self._buckets = {name: one for name, one in self._buckets.items() if not one.full(self._now)}
        for session in list(self._sessions.values()):
            if session.conn is None and self._now - session.detached >= self._s.resume_within:
                self.counts["expired"] += 1
                self._forget(session)

    def _forget(self, session: Session) -> None:
        """The session is closed; commands that are out run on, their answers reach nobody."""
        del self._sessions[session.id]
        if self._keeps:
            self._out.append(Keep(session.id, "", None))

    # --- messages ---
    def _received(self, conn: int, line: _Line, text: bytes) -> None:
        try:
            message = ms.decode(text)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return self._say(conn, ms.Problem("bad_message", str(error)[:200]))
        session = line.session
        if session is None:
            match message:
                case ms.Hello():
                    return self._hello(conn, line, message)
                case ms.ResumeHello():
                    return self._resume(conn, line, message)
            return self._say(conn, ms.Problem("no_session", "say hello first"))
        if session.secrets != [line.secret]:  # the client has this connection's welcome
            session.secrets = [line.secret]
            self._save(session)
        match message:
            case ms.Command():
                self._command(conn, session, message)
            case ms.Ack(id):
                if (entry := session.entries.get(id)) and entry.answer:
                    entry.acked = True
                    self._save(session, entry)
            case ms.Bye():
                self._forget(session)
                self._shut(conn, 1000, "bye")
            case _:
                self._say(conn, ms.Problem("in_session", "this connection has its session"))

    def _hello(self, conn: int, line: _Line, hello: ms.Hello) -> None:
        proved = bool(hello.proof) and proves(
            self._key, hello.proof, line.nonce, hello.role, hello.tenant, hello.name
        )
        if not proved and (hello.role != "player" or not self._s.anonymous or hello.proof):
            self._say(conn, ms.Problem("bad_proof", "the proof does not fit this connection"))
            return self._shut(conn, ms.BAD_HELLO, "bad proof")
        if hello.role == "player" and self._tenants and hello.tenant not in self._tenants:
            self._say(conn, ms.Problem("bad_tenant", "no such tenant"))
            return self._shut(conn, ms.BAD_HELLO, "no such tenant")
        self._begin(conn, line, hello.tenant, hello.name, hello.role)

    def _begin(self, conn: int, line: _Line, tenant: str, name: str, role: Role) -> Session | None:
        if len(self._sessions) >= self._s.max_sessions:
            self._say(conn, ms.Problem("full", "no more sessions here"))
            self._shut(conn, ms.CROWDED, "no more sessions here")
            return None
        bucket = Bucket(self._s.session_rate, self._s.session_burst, self._s.session_burst, self._now)
        session = Session(self._rng.getrandbits(63), tenant, name, role, None, bucket)
        self._sessions[session.id] = session
        self._attach(conn, line, session, resumed=False)
        return session

    def _attach(self, conn: int, line: _Line, session: Session, resumed: bool) -> None:
        line.session, session.conn, line.secret = session, conn, self._rng.getrandbits(63) + 1
        # welcomes may be lost, and two returns at once may cross: which one the client has is not yet known
        session.secrets = [*session.secrets[:1], *session.secrets[1:][2 - UNSHOWN :], line.secret]
        self._save(session)
        token = seal(
            self._key,
            Resume(self._me, self._life, session.id, line.secret, session.tenant, session.name, session.role),
        )
        self._say(conn, ms.Welcome(token, resumed, int(self._s.resume_within), self._s.max_open))

    # --- coming back ---
    def _resume(self, conn: int, line: _Line, message: ms.ResumeHello) -> None:
        token = unseal(self._key, message.token)
        if token is None or line.resuming:
            self._say(conn, ms.Problem("bad_token", "this is no token of ours"))
            return self._shut(conn, ms.BAD_TOKEN, "bad token")
        if token.home != self._me:
            line.resuming, line.token = message, token
            return self._out.append(Relay(conn, token.home, msgspec.json.encode(message)))
        session = self._sessions.get(token.session) if token.life == self._life else None
        if session is None:
            return self._orphan(conn, line, token, message)
        if token.secret not in session.secrets:
            if session.restored:  # given after the last record that lasted
                return self._orphan(conn, line, token, message)
            self._say(conn, ms.Problem("stale_token", "a later token was given"))
            return self._shut(conn, ms.BAD_TOKEN, "stale token")
        if session.conn is not None:  # the newest socket holds the session
            old, session.conn = session.conn, None
            self._lines[old].session = None
            self._shut(old, ms.TAKEN_OVER, "resumed elsewhere")
        self.counts["resumed"] += 1
        self._attach(conn, line, session, resumed=True)
        for id in message.open if session.restored else ():
            if id not in session.entries and id not in session.retired:
                session.entries[id] = Entry(id, "", ms.Answer(id, "unknown", RESTARTED))
                self.counts["unknown"] += 1
                self._save(session, session.entries[id])
        for entry in session.entries.values():
            # an answer may have been shown whose record did not last: then the client does not ask for it
            if entry.answer and not entry.acked and (entry.answer.kind != "unknown" or entry.id in message.open):
                self._say(conn, entry.answer)
        session.restored = False
        for id in message.open:  # sent on a socket that ended before they came: they never ran
            if id not in session.entries and id not in session.retired:
                self._say(conn, ms.Problem("not_here", "this command never came; it may be sent again", id))

    def _orphan(self, conn: int, line: _Line, token: Resume, message: ms.ResumeHello) -> None:
        """Nobody knows what became of the session's commands: say so, and never run them under their ids."""
        session = self._begin(conn, line, token.tenant, token.name, token.role)
        for id in message.open if session else ():
            assert session is not None
            answer = ms.Answer(id, "unknown", "the agent that held this command is gone")
            session.entries[id] = Entry(id, "", answer)
            self._save(session, session.entries[id])
            self.counts["unknown"] += 1
            self._say(conn, answer)

    # --- commands ---
    def _command(self, conn: int, session: Session, message: ms.Command) -> None:
        id = message.id
        if entry := session.entries.get(id):  # the same id is the same command
            if entry.text and entry.text != message.text:
                return self._say(conn, ms.Problem("other_command", "this id stands for another command", id))
            return self._say(conn, entry.answer or ms.Accepted(id))
        if id in session.retired:
            return self._say(conn, ms.Problem("already_answered", "its answer was acknowledged", id))
        if not session.bucket.take(self._now):
            return self._say(conn, ms.Problem("rate_session", "too many commands a second", id))
        try:
            typed = parse(message.text)
        except Mistyped as error:
            return self._say(conn, ms.Problem("bad_syntax", str(error), id))
        if session.role == "operator":
            return self._operator(conn, session, id, typed.name)
        command = self._s.command.get(typed.name)
        if command is None:
            known = ", ".join(f"/{name}" for name in self._s.command)
            return self._say(conn, ms.Problem("unknown_command", f"there are {known}", id))
        odd = [name for name, _ in typed.options if name not in command.options]
        if odd or not command.least_words <= len(typed.words) <= command.most_words:
            allowed = f"{command.least_words} to {command.most_words} words, options {command.options}"
            return self._say(conn, ms.Problem("bad_arguments", f"/{typed.name} takes {allowed}", id))
        if (open := sum(entry.answer is None for entry in session.entries.values())) >= self._s.max_open:
            return self._say(conn, ms.Problem("too_many_open", f"{open} commands are open", id))
        if len(session.entries) >= self._s.max_kept and not self._make_room(session):
            return self._say(conn, ms.Problem("unacknowledged", "acknowledge answers first", id))
        bucket = self._buckets.setdefault(
            session.tenant, Bucket(self._s.tenant_rate, self._s.tenant_burst, self._s.tenant_burst, self._now)
        )
        if not bucket.take(self._now):
            return self._say(conn, ms.Problem("rate_tenant", "too many commands of this tenant", id))
        self._last_ref += 1
        entry = session.entries[id] = Entry(id, message.text)
        self._refs[self._last_ref] = session, entry
        self._save(session, entry)
        self.counts["accepted"] += 1
        self._say(conn, ms.Accepted(id))
        body = msgspec.json.encode(
            {"command": typed.name, "words": typed.words, "options": dict(typed.options), "player": session.name}
        )
        key = f"{self._life:x}.{session.id:x}.{id}"
        self._out.append(Submit(self._last_ref, command.class_, session.tenant, key, command.target, body))

    def _make_room(self, session: Session) -> bool:
        """Drop the oldest acknowledged answer; its id stays known as answered for long."""
        for id, entry in session.entries.items():
            if entry.acked:
                del session.entries[id]
                session.retired[id] = None
                if self._keeps:
                    self._out.append(Keep(session.id, id, KeptEntry("", None, True, True)))
                if len(session.retired) > RETIRED * self._s.max_kept:
                    oldest, _ = session.retired.popitem(last=False)
                    if self._keeps:
                        self._out.append(Keep(session.id, oldest, None))
                return True
        return False

    def _operator(self, conn: int, session: Session, id: str, name: str) -> None:
        if name == "status" or name == "votes":
            return self._out.append(Query(conn, id, name))  # type: ignore[arg-type]
        if name == "follow":
            session.following = True
            return self._say(conn, ms.Report("following", id))
        self._say(conn, ms.Problem("unknown_command", f"operators have {HELP}", id))

    def _finished(self, event: Finished) -> None:
        found = self._refs.pop(event.ref, None)
        if found is None:
            return
        session, entry = found
        entry.answer = ms.Answer(entry.id, event.kind, event.text, int(event.retry_after_ms))
        self.counts["answered"] += 1
        if session.id not in self._sessions:
            self.counts["dropped"] += 1
            return
        self._save(session, entry)
        if session.conn is None:
            return
        self._say(session.conn, entry.answer)
