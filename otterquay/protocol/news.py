"""Words of the fleet list and the release desk: JSON bodies of server-sent events and of votes, checked by msgspec.

Times are milliseconds, as ages at the moment of writing: the ends share no clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server; `incarnation` changes with every start of its process, `age_ms` is absent when long ago."""

    server: int
    zone: str
    state: Literal["ready", "draining", "gone"]
    build: int
    address: str
    incarnation: int
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    age_ms: float | None = None


class FleetNews(msgspec.Struct, frozen=True):
    """A whole list, or with `base` the changes from that version on."""

    version: int
    entries: list[Entry]
    base: int | None = None


class Stage(msgspec.Struct, frozen=True):
    """Where the newest build stands."""

    build: int
    stage: int
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: float
    age_ms: float


class TallyNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """What the platform counted for one build and class over a period."""

    build: int
    cls: str
    attempts: int
    failures: int
    mean_ms: float
    age_ms: float


class ComplaintNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A client found an answer wrong."""

    cls: str
    server: int
    age_ms: float


class Vote(msgspec.Struct, frozen=True):
    """A vote; `stage` does not matter for back and none."""

    agent: int
    build: int
    stage: int
    verdict: Literal["none", "on", "hold", "back"]


class VoteAnswer(msgspec.Struct, frozen=True):
    """The desk's answer to a vote, with where the build stands and that state's event id."""

    status: Literal["ok", "moot"]
    state: Stage
    id: str


def event_id(epoch: str, number: int) -> str:
    """An event's id: the epoch changes when the source forgets its numbers."""
    return f"{epoch}:{number}"


def parse_id(text: str) -> tuple[str, int]:
    """Epoch and number of an event id; ValueError for anything else."""
    epoch, colon, number = text.rpartition(":")
    if not colon or not number.isdigit():
        raise ValueError(f"{text!r} is no event id")
    return epoch, int(number)
