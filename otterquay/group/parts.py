"""What a member is made of: its pace and bounds, what it is at the moment, what it knows of the others."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from otterquay.cores.effects import Effects

TERM = b"term"


class StateMachine(Protocol):
    """What the log's commands act on: the same commands in the same order give the same state everywhere."""

    def apply(self, index: int, data: bytes) -> object: ...

    def dump(self) -> bytes: ...

    def load(self, state: bytes) -> None: ...


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds. A leader beats every `beat`; elections begin after `election` to twice that without one."""

    heartbeat: float = 0.1
    election: float = 1.0
    resend: float = 0.3
    slow: float = 0.25  # a leader's own write that takes longer counts against its disk


@dataclass(frozen=True, slots=True)
class Sizes:
    """Entries and bytes in one message; entries after which the state is written in their place."""

    entries: int = 512
    bytes: int = 512 * 1024
    snapshot_after: int = 1024
    uncommitted: int = 4096  # proposals that wait for a majority; one further is refused


class Role(Enum):
    """What a member is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # pre-vote
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Peer:
    """What a leader knows of another member."""

    next: int
    match: int = 0
    waiting: bool = False  # for the answer to entries
    sent_at: float = -1e9
    heard_at: float = -1e9
    round: int = 0
    took: float = 0.0  # for the entry that is followed (handover.py), 0 while it has not answered


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a majority to say that this is still the leader."""

    round: int
    index: int
    done: Callable[[float, Effects], None]


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """Term and vote as the disk has them."""

    term: int
    vote: int | None
