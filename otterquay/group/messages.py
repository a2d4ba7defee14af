"""Words between members of the group. Each names the sender's term; terms only rise."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Blob, Number


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One place of the log; empty data is a fresh leader's no-op."""

    term: Number
    data: Blob


class Hello(msgspec.Struct, tag="hello", array_like=True, frozen=True):
    """A member that has started names its disk, which of the disk's starts this is, and how far its log goes."""

    disk: Number
    boot: Number
    nonce: Number
    term: Number
    last: Number


class Welcome(msgspec.Struct, tag="welcome", array_like=True, frozen=True):
    """The start of that nonce may take part, or not: `reason` is empty when it may."""

    nonce: Number
    reason: str


class PreVote(msgspec.Struct, tag="prevote", array_like=True, frozen=True):
    """Would you vote for me in this term? Nothing is kept of it."""

    term: Number
    last: Number
    last_term: Number


class PreVoted(msgspec.Struct, tag="prevoted", array_like=True, frozen=True):
    """The answer, for the term that was asked about; `own` is the voter's own term."""

    term: Number
    granted: bool
    own: Number


class Vote(msgspec.Struct, tag="vote", array_like=True, frozen=True):
    """Vote for me in this term; `handed` where the leader gave its place to this member."""

    term: Number
    last: Number
    last_term: Number
    transfer: bool = False


class Voted(msgspec.Struct, tag="voted", array_like=True, frozen=True):
    """The answer."""

    term: Number
    granted: bool


class Append(msgspec.Struct, tag="append", array_like=True, frozen=True):
    """Entries after `before`; with none it is a heartbeat. `round` comes back in the answer."""

    term: Number
    before: Number
    before_term: Number
    entries: Annotated[list[Entry], Meta(max_length=4096)]
    commit: Number
    round: Number


class Appended(msgspec.Struct, tag="appended", array_like=True, frozen=True):
    """The log agrees up to `match` (ok), or try after `match` (not ok)."""

    term: Number
    ok: bool
    match: Number
    round: Number


class Install(msgspec.Struct, tag="install", array_like=True, frozen=True):
    """The whole state up to `index`, for one whose next entry is no longer in the log."""

    term: Number
    index: Number
    index_term: Number
    state: Blob
    round: Number


class Hand(msgspec.Struct, tag="hand", array_like=True, frozen=True):
    """The leader of this term has stepped down: stand at once."""

    term: Number


Message = Hello | Welcome | PreVote | PreVoted | Vote | Voted | Append | Appended | Install | Hand
KINDS = (Hello, Welcome, PreVote, PreVoted, Vote, Voted, Append, Appended, Install, Hand)
