"""Interfaces of the runtime, implemented for HTTP by `http_agent.py` and for RESP by `otterquay.node`.

They hold no decision logic and no wire format. Times are in milliseconds where a name says so, otherwise in seconds
of the event loop's clock.
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
    """A validated client request: what the module needs, and the message that is forwarded to the appliance.

    `size` is the memory in bytes that the request takes until it has ended.
    """

    message: Any
    cls: int
    tenant: int
    key: bytes
    budget_ms: float
    work_ms: float | None
    retry: bool
    size: int = 0


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer to a request; if it was served, status, headers and body are the appliance's."""

    kind: str  # "served", "refused" or "failed"
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    retry_after_ms: float = 0.0
    overdue: bool = False  # it failed because its last attempt timed out


class Requester(Protocol):
    """The sender of a request, on whose behalf the runtime works."""

    number: int | None

    def final(self, answer: FinalAnswer) -> None:
        """Receive the final answer; called exactly once."""
        ...

    def attempt(self, count: int) -> None:
        """An attempt is about to be sent; `count` includes it."""
        ...

    def settled(self) -> None:
        """The runtime has finished with the request, so the next one may be sent."""
        ...

    def ended(self, may_have_run: bool) -> None:
        """The request and all its attempts have ended, also if the client has disconnected before."""
        ...

    def has_left(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not read that yet."""


class RequestHandler(Protocol):
    """Accepts client requests."""

    def take(self, client_request: ClientRequest, client: Requester) -> bool:
        """Accept a request and set `client.number`; False if it is not accepted."""
        ...

    def abandon(self, number: int) -> None:
        """The client of the request with this number has disconnected."""
        ...


class Answer(Protocol):
    """A complete answer of an appliance; `keep_alive`: whether its connection may be reused."""

    @property
    def keep_alive(self) -> bool: ...


class Parser(Protocol):
    """Parses the bytes of an appliance connection into answers; `failed` is set when the bytes are malformed."""

    @property
    def started(self) -> bool: ...

    @property
    def failed(self) -> ProtocolError | None: ...

    def feed(self, data: bytes) -> Sequence[Any]: ...

    def eof(self) -> Any | None: ...


class ApplianceProtocol(Protocol):
    """The wire protocol towards appliances.

    `runs_when_whole`: an appliance runs a request only once it has received all of it, so a request that was not
    written to its last byte has not run.
    """

    runs_when_whole: bool

    def parser(self) -> Parser: ...

    def tag(self, request: int, attempt: int) -> bytes:
        """Return the tag that identifies an attempt."""

    def attempt(self, client_request: ClientRequest, tag: bytes, address: str, left_ms: float) -> bytes:
        """Encode an attempt that has `left_ms` left until its time limit."""

    def probe(self, server: int, address: str) -> tuple[bytes, bytes]:
        """Return the tag and the encoded request of a probe."""
        ...

    def end(self, tag: bytes, answer: Any) -> End:
        """Classify a complete answer to the call with this tag."""

    def load(self, answer: Any) -> tuple[float, ...]:
        """Return the load report of an answer, empty if it has none."""

    def final(self, answer: Any) -> FinalAnswer:
        """Convert a successful answer to the client's final answer."""


class FrontPort(Protocol):
    """The listener for clients; passes their requests to `Runtime.take`."""

    async def start(self) -> tuple[str, int]: ...

    def drain(self) -> None:
        """Start a graceful shutdown: close idle connections now, the others after their answers."""

    def finish(self, listener_until: float) -> None:
        """Take no further request: close all connections before this time, at which the listener closes."""

    def drained(self, quiet_s: float) -> bool:
        """Whether the drain need not wait for any client: none has come or gone for this long."""

    def close(self) -> None: ...


class ListPort(Protocol):
    """The server list; passes updates to `Runtime.on_server_list`."""

    @property
    def entries(self) -> Mapping[int, news.Entry]: ...

    def follow(self, on: bool) -> None:
        """Start or stop following the list."""
        ...


class DeskPort(Protocol):
    """The release desk; passes events to `Runtime.on_news`, and the result of a vote to `done`."""

    def start(self) -> None: ...

    def vote(self, vote: it.CastVote, done: Callable[[it.StageNews], None]) -> None: ...

    def capped(self, build: int) -> bool:
        """Whether attempts on a build count against a cap."""
        ...

    def standing(self) -> str:
        """Describe the stage of the newest build in words."""
        ...

    def close(self) -> None: ...


class PeersPort(Protocol):
    """Messages between agents; received ones go to `Runtime.post`."""

    async def start(self) -> None: ...

    def tell(self, to: int | None, data: bytes) -> None:
        """Send a message to one agent, or to all others if `to` is None."""
        ...

    def close(self) -> None: ...


class StateStorePort(Protocol):
    """Stores the state that must survive a restart."""

    def list(self, held: Mapping[int, news.Entry]) -> None:
        """Store the server list."""
        ...

    def stage(self, stage: it.StageNews) -> None:
        """Store the newest build."""
        ...

    def tried(self, build: int, cls: int) -> None:
        """Store an attempt on a build under a cap."""
        ...

    def answered(self, key: int, build: int, capped: bool) -> None:
        """Store which build answered an idempotency key."""
        ...

    def voted(self, vote: it.CastVote) -> None:
        """Store a vote."""
        ...

    def flush(self) -> None:
        """Pass pending writes to the store."""
        ...


class FleetPort(Protocol):
    """Fleet work in the agent's process; may restrict what the release desk allows, and is notified of votes."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def restrict_stage(self, news: it.StageNews) -> it.StageNews:
        """Return the stage with the fleet's restrictions applied."""
        ...

    def voted(self, vote: it.CastVote) -> None:
        """This agent has cast a vote."""
        ...

    def attempt_sent(self, server: int) -> None:
        """An attempt is being sent to a server."""
        ...

    def attempt_ended(self, entry: news.Entry, cls: int, end: it.Status, latency_ms: float, trial: bool) -> None:
        """An attempt has ended; `trial`: its build counts against a cap."""
        ...


@dataclass(slots=True)
class Ports:
    """The ports of an agent. `initial_events` gives the events known before any feed delivers, for a time in ms."""

    front: FrontPort
    list: ListPort
    desk: DeskPort
    appliance_protocol: ApplianceProtocol
    initial_events: Callable[[float], Iterable[it.Event]]
    peers: PeersPort | None = None
    state_store: StateStorePort | None = None
    fleet: FleetPort | None = None
    announce: Callable[[str], None] = lambda _: None
