"""Types of a Raft member: timing and size limits, role, per-peer replication state and persistent state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import msgspec

from otterquay.cores.effects import Effects

TERM = b"term"


class StateMachine(Protocol):
    """The replicated state machine: the same commands in the same order must give the same state everywhere."""

    def apply(self, index: int, data: bytes) -> object: ...

    def dump(self) -> bytes: ...

    def load(self, state: bytes) -> None: ...


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds. A leader sends heartbeats every `heartbeat`.

    A follower that hears none starts an election after a random time between `election` and twice `election`.
    """

    heartbeat: float = 0.1
    election: float = 1.0
    resend: float = 0.3  # entries or a snapshot not acknowledged for this long are sent again
    slow: float = 0.25  # a write on the leader's own disk that takes longer is a sign of a slow disk


@dataclass(frozen=True, slots=True)
class Sizes:
    """Limits: entries and bytes in one message, log entries before a snapshot replaces them."""

    entries: int = 512
    bytes: int = 512 * 1024
    snapshot_after: int = 1024
    uncommitted: int = 4096  # proposals that wait to be committed; further ones are rejected


class Role(Enum):
    """The current role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # pre-vote
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Peer:
    """A leader's replication state for one other member."""

    next: int
    match: int = 0
    waiting: bool = False  # for the answer to an Append with entries or to an Install
    sent_at: float = -1e9
    heard_at: float = -1e9
    round: int = 0
    took: float = 0.0  # seconds until it acknowledged the sampled entry (see leadership.py); 0 until then


@dataclass(slots=True)
class PendingRead:
    """A linearizable read that waits until a majority confirms this member as the leader (read index)."""

    round: int
    index: int
    done: Callable[[float, Effects], None]


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """Term and vote as stored on disk."""

    term: int
    vote: int | None
