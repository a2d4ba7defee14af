"""The tape: events at the stand-ins' sockets. It is the auditor's only input. Times are in seconds."""

from __future__ import annotations

from typing import Literal

import msgspec


class Crossing(msgspec.Struct, frozen=True, tag=True):
    """An event at a socket, at the time `at`."""

    at: float


class AgentUp(Crossing, frozen=True):
    """An agent's process was started."""

    agent: int


class AgentDown(Crossing, frozen=True):
    """An agent's process was killed or ended; "stopped" implies that it answered all requests it held."""

    agent: int
    kind: Literal["killed", "stopped"]


class Asked(Crossing, frozen=True):
    """A client wrote a whole request: one attempt of the operation `op`."""

    id: str
    op: str
    agent: int
    cls: str
    tenant: str
    key: str
    budget_s: float
    first_s: float


class Answered(Crossing, frozen=True):
    """A client read a whole answer; `right` is whether the content of a served one was correct."""

    id: str
    kind: Literal["served", "refused", "failed"]
    status: int
    right: bool = True


class Surplus(Crossing, frozen=True):
    """A client read bytes on a connection without an open request."""

    id: str


class Left(Crossing, frozen=True):
    """A client closed its connection before the answer: it timed out, or was scripted to."""

    id: str


class Lost(Crossing, frozen=True):
    """A client's connection ended without an answer; `taken` if the whole request had been written."""

    id: str
    taken: bool


class Arrived(Crossing, frozen=True):
    """An appliance read a whole request."""

    id: str
    tag: str
    server: int
    incarnation: int
    build: int
    zone: str
    work_s: float


class Replied(Crossing, frozen=True):
    """An appliance wrote an answer; "not_seen" guarantees that the request did not run."""

    id: str
    tag: str
    server: int
    kind: Literal["ok", "error", "not_seen"]


class Ran(Crossing, frozen=True):
    """A request took effect at an appliance, or was dropped as a repeat of one that had taken effect."""

    id: str
    op: str
    server: int
    repeat: bool


class Started(Crossing, frozen=True):
    """An appliance started; `capacity` is in core seconds per second, reached only after a while if `cold`."""

    server: int
    incarnation: int
    build: int
    capacity: float
    cold: bool


class ToldServer(Crossing, frozen=True):
    """The list sent an agent the state of a server."""

    agent: int
    server: int
    state: Literal["ready", "draining", "gone"]
    build: int
    incarnation: int


class ToldStage(Crossing, frozen=True):
    """The desk sent an agent the state of the newest build."""

    agent: int
    build: int
    stage: int
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: float


class Voted(Crossing, frozen=True):
    """The desk read a vote."""

    agent: int
    build: int
    stage: int
    verdict: str


class Moved(Crossing, frozen=True):
    """The desk changed the state of the newest build."""

    build: int
    stage: int
    phase: str
    cap: float


class Stalled(Crossing, frozen=True):
    """The stand-ins' own event loop woke `seconds` late; times recorded then may be off by as much."""

    seconds: float


class Stood(Crossing, frozen=True):
    """An agent was suspended from `since` until now."""

    agent: int
    since: float


class Severed(Crossing, frozen=True):
    """From `since` until now, news to these agents was lost or held back; all of it was `late_s` late."""

    agents: list[int]
    since: float
    lost: bool
    late_s: float


class Typed(Crossing, frozen=True):
    """A chat client wrote a command; `op` is the word that identifies the operation to the matchmaker."""

    op: str
    client: int
    command: str


class Told(Crossing, frozen=True):
    """A chat client read a reply to its command; `again` if it had read the same reply before."""

    op: str
    client: int
    word: Literal["accepted", "served", "refused", "failed", "unknown", "not_taken"]
    agent: int
    again: bool


class Resumed(Crossing, frozen=True):
    """A chat client reconnected; `held` if its session still existed."""

    client: int
    agent: int
    held: bool


Kinds = (
    AgentUp
    | AgentDown
    | Asked
    | Answered
    | Surplus
    | Left
    | Lost
    | Arrived
    | Replied
    | Ran
    | Started
    | ToldServer
    | ToldStage
    | Voted
    | Moved
    | Stalled
    | Stood
    | Severed
    | Typed
    | Told
    | Resumed
)


class Tape:
    """The crossings (events at sockets) of one run, in the order of their recording."""

    def __init__(self) -> None:
        self.crossings: list[Kinds] = []

    def add(self, crossing: Kinds) -> None:
        """Record a crossing."""
        self.crossings.append(crossing)

    def dump(self) -> bytes:
        """The tape as JSON lines."""
        return b"".join(msgspec.json.encode(c) + b"\n" for c in self.crossings)

    @staticmethod
    def read(data: bytes) -> Tape:
        """Read a tape from JSON lines; raises msgspec.MsgspecError for anything else."""
        tape = Tape()
        tape.crossings = [msgspec.json.decode(line, type=Kinds) for line in data.splitlines()]
        return tape
