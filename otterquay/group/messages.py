"""Messages between members of the group. Terms only increase."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Blob, Number


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry; empty data is the no-op that a new leader appends."""

    term: Number
    data: Blob


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """Announces a started member: its disk, the number and nonce of this start, its term and last log index."""

    disk: Number
    boot: Number
    nonce: Number
    term: Number
    last: Number


class Welcome(msgspec.Struct, tag="welcome", array_like=True, frozen=True):
    """Accepts the start with that nonce if `reason` is empty; otherwise refuses it."""

    nonce: Number
    reason: str


class PreVote(msgspec.Struct, tag="prevote", array_like=True, frozen=True):
    """Asks whether the receiver would vote for the sender in this term; the receiver stores nothing."""

    term: Number
    last: Number
    last_term: Number


class PreVoted(msgspec.Struct, tag="prevoted", array_like=True, frozen=True):
    """The answer to PreVote: `term` is the term asked about, `own` the voter's own term."""

    term: Number
    granted: bool
    own: Number


class Vote(msgspec.Struct, tag="vote", array_like=True, frozen=True):
    """Requests a vote in this term; `transfer` marks an election that a leadership transfer started."""

    term: Number
    last: Number
    last_term: Number
    transfer: bool = False


class Voted(msgspec.Struct, tag="voted", array_like=True, frozen=True):
    """The answer to Vote."""

    term: Number
    granted: bool


class Append(msgspec.Struct, tag="append", array_like=True, frozen=True):
    """Log entries that follow index `before`; without entries it is a heartbeat. The answer repeats `round`."""

    term: Number
    before: Number
    before_term: Number
    entries: Annotated[list[Entry], Meta(max_length=4096)]
    commit: Number
    round: Number


class Appended(msgspec.Struct, tag="appended", array_like=True, frozen=True):
    """The answer to Append or Install: the log matches up to `match` if `ok`; otherwise retry after `match`."""

    term: Number
    ok: bool
    match: Number
    round: Number


class Install(msgspec.Struct, tag="install", array_like=True, frozen=True):
    """A snapshot of the state up to `index`, for a follower whose next entry is no longer in the leader's log."""

    term: Number
    index: Number
    index_term: Number
    state: Blob
    round: Number


class Hand(msgspec.Struct, tag="hand", array_like=True, frozen=True):
    """Leadership transfer: the leader of this term has stepped down, so the receiver starts an election at once."""

    term: Number


Message = Hello | Welcome | PreVote | PreVoted | Vote | Voted | Append | Appended | Install | Hand
KINDS = (Hello, Welcome, PreVote, PreVoted, Vote, Voted, Append, Appended, Install, Hand)
