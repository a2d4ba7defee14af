"""What crossed the sockets, as the stand-ins saw it: the only thing that the auditor reads. Times are seconds."""

from __future__ import annotations

from typing import Literal

import msgspec


class Crossing(msgspec.Struct, frozen=True, tag=True):
    """Something that crossed a socket at `at`."""

    at: float


class AgentUp(Crossing, frozen=True):
    """An agent's process was started."""

    agent: int


class AgentDown(Crossing, frozen=True):
    """An agent's process was killed or has ended; `kind` "stopped" promises that it answered all it held."""

    agent: int
    kind: Literal["killed", "stopped"]


class Asked(Crossing, frozen=True):
    """A client wrote a whole request: one try of the operation `op`."""

    id: str
    op: str
    agent: int
    cls: str
    tenant: str
    key: str
    budget_s: float
    first_s: float


class Answered(Crossing, frozen=True):
    """A client read a whole answer; `right` is told by the content where it was served."""

    id: str
    kind: Literal["served", "refused", "failed"]
    status: int
    right: bool = True


class Surplus(Crossing, frozen=True):
    """A client read bytes on a connection on which nothing was owed to it."""

    id: str


class Left(Crossing, frozen=True):
    """A client closed before its answer: it gave up (or was scripted to leave)."""

    id: str


class Lost(Crossing, frozen=True):
    """A client's connection ended without an answer; `taken` when the whole request had been written."""

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
    """An appliance wrote an answer; "not_seen" vouches that nothing ran."""

    id: str
    tag: str
    server: int
    kind: Literal["ok", "error", "not_seen"]


class Ran(Crossing, frozen=True):
    """A request took effect at an appliance, or was dropped as a repeat of one that had."""

    id: str
    op: str
    server: int
    repeat: bool


class Started(Crossing, frozen=True):
    """An appliance started; its whole capacity is `capacity` core seconds a second, `cold` when it rises to it."""

    server: int
    incarnation: int
    build: int
    capacity: float
    cold: bool


class ToldServer(Crossing, frozen=True):
    """The list wrote an agent what it knows of a server."""

    agent: int
    server: int
    state: Literal["ready", "draining", "gone"]
    build: int
    incarnation: int


class ToldStage(Crossing, frozen=True):
    """The desk wrote an agent where the newest build stands."""

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
    """The desk's newest build came to stand here."""

    build: int
    stage: int
    phase: str
    cap: float


class Stalled(Crossing, frozen=True):
    """The stand-ins' own loop woke this late: what they saw then may be as much off."""

    seconds: float


class Stood(Crossing, frozen=True):
    """An agent was made to stand still from `since` until now."""

    agent: int
    since: float


class Severed(Crossing, frozen=True):
    """From `since` until now news on the way to these agents was lost, or came by now; all came `late_s` late."""

    agents: list[int]
    since: float
    lost: bool
    late_s: float


class Typed(Crossing, frozen=True):
    """A chat client wrote a command; `op` is the word by which a matchmaker books it."""

    op: str
    client: int
    command: str


class Told(Crossing, frozen=True):
    """A chat client read a word on its command; `again` when it had that very answer already."""

    op: str
    client: int
    word: Literal["accepted", "served", "refused", "failed", "unknown", "not_taken"]
    agent: int
    again: bool


class Resumed(Crossing, frozen=True):
    """A chat client came back; `held` when its session was still there."""

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
    """The crossings of one run, in the order they were seen."""

    def __init__(self) -> None:
        self.crossings: list[Kinds] = []

    def add(self, crossing: Kinds) -> None:
        """Note a crossing."""
        self.crossings.append(crossing)

    def dump(self) -> bytes:
        """One JSON object a line."""
        return b"".join(msgspec.json.encode(c) + b"\n" for c in self.crossings)

    @staticmethod
    def read(data: bytes) -> Tape:
        """A tape from its lines; msgspec.MsgspecError for what is none."""
        tape = Tape()
        tape.crossings = [msgspec.json.decode(line, type=Kinds) for line in data.splitlines()]
        return tape
