"""What the runtime needs of the world: small protocols, filled by HTTP's parts (`web.py`) or by `otterquay.node`.

Nothing here decides or knows a wire. Times are milliseconds where a name says so, else seconds of the loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from otterquay import interface as it
from otterquay.agent.outcomes import End
from otterquay.protocol import news
from otterquay.protocol.http import ProtocolError


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request, checked: what the module is told of it, and the message that goes on to the appliance."""

    message: Any
    cls: int
    tenant: int
    key: bytes
    budget_ms: float
    work_ms: float | None
    retry: bool


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a request. Status, headers and content are the appliance's where it was served."""

    kind: str  # "served", "refused" or "failed"
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    retry_after_ms: float = 0.0
    overdue: bool = False  # failed, and its last attempt had run out of time


class Requester(Protocol):
    """Who asked: gets the one final answer, word of each attempt, and is told when the books are done with it."""

    number: int | None

    def final(self, answer: FinalAnswer) -> None: ...

    def attempt(self, count: int) -> None: ...

    def settled(self) -> None: ...

    def has_left(self) -> bool:
        """Whether its close lies unread at the socket."""


class RequestHandler(Protocol):
    """Who takes requests: sets the client's number, by which it may be abandoned; False when it takes none."""

    def take(self, client_request: ClientRequest, client: Requester) -> bool: ...

    def abandon(self, number: int) -> None: ...


class Answer(Protocol):
    """A whole answer of an appliance; `keep_alive` tells whether its connection may be used again."""

    @property
    def keep_alive(self) -> bool: ...


class Parser(Protocol):
    """Bytes of one appliance connection in, whole answers out; `failed` is set for what is no answer."""

    @property
    def started(self) -> bool: ...

    @property
    def failed(self) -> ProtocolError | None: ...

    def feed(self, data: bytes) -> Sequence[Any]: ...

    def eof(self) -> Any | None: ...


class ApplianceProtocol(Protocol):
    """The words spoken to appliances. `runs_when_whole`: what was not written to its last byte has never run."""

    runs_when_whole: bool

    def parser(self) -> Parser: ...

    def tag(self, request: int, attempt: int) -> bytes:
        """By which an attempt is known."""

    def attempt(self, client_request: ClientRequest, tag: bytes, address: str, left_ms: float) -> bytes:
        """What is written for an attempt that is waited for `left_ms` more."""

    def probe(self, server: int, address: str) -> tuple[bytes, bytes]: ...

    def end(self, tag: bytes, answer: Any) -> End:
        """Which row of the table a whole answer to the call of that tag belongs to."""

    def load(self, answer: Any) -> tuple[float, ...]:
        """Its load report, empty for none."""

    def final(self, answer: Any) -> FinalAnswer:
        """What the client gets of an answer that serves."""


class FrontPort(Protocol):
    """The side towards clients; it hands requests to the runtime's `take`."""

    async def start(self) -> tuple[str, int]: ...

    def drain(self) -> None:
        """A planned end has begun: idle connections close, the others after their answers."""

    def drained(self) -> bool:
        """Whether no client is left to wait for."""

    def close(self) -> None: ...


class ListPort(Protocol):
    """The server list; it hands news to the runtime's `listed`."""

    @property
    def entries(self) -> Mapping[int, news.Entry]: ...

    def follow(self, on: bool) -> None: ...


class DeskPort(Protocol):
    """Where builds stand; it hands news to the runtime's `told`, and the end of a vote to who cast it."""

    def start(self) -> None: ...

    def vote(self, vote: it.CastVote, done: Callable[[it.StageNews], None]) -> None: ...

    def capped(self, build: int) -> bool: ...

    def standing(self) -> str: ...

    def close(self) -> None: ...


class PeersPort(Protocol):
    """Messages between agents; what comes goes to the runtime's `post`."""

    async def start(self) -> None: ...

    def tell(self, to: int | None, data: bytes) -> None: ...

    def close(self) -> None: ...


class StateStorePort(Protocol):
    """What outlasts a restart."""

    def list(self, held: Mapping[int, news.Entry]) -> None: ...

    def stage(self, stage: it.StageNews) -> None: ...

    def tried(self, build: int, cls: int) -> None: ...

    def answered(self, key: int, build: int, capped: bool) -> None: ...

    def voted(self, vote: it.CastVote) -> None: ...

    def flush(self) -> None: ...


class FleetPort(Protocol):
    """The fleet's own work beside this agent's: it may tighten what the desk says, and hears verdicts."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def restrict_stage(self, news: it.StageNews) -> it.StageNews: ...

    def voted(self, vote: it.CastVote) -> None: ...

    def attempt_sent(self, server: int) -> None: ...

    def attempt_ended(
        self, entry: news.Entry, cls: int, end: it.Status, latency_ms: float, trial: bool
    ) -> None: ...


@dataclass(slots=True)
class Ports:
    """One agent's set of ports. `begin` gives what is known before any feed has spoken, at the time in ms."""

    front: FrontPort
    list: ListPort
    desk: DeskPort
    appliance_protocol: ApplianceProtocol
    begin: Callable[[float], Iterable[it.Event]]
    peers: PeersPort | None = None
    state_store: StateStorePort | None = None
    fleet: FleetPort | None = None
    words: Callable[[str], None] = lambda _: None
