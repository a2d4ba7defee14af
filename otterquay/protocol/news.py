"""Words of the fleet list and the release desk: JSON bodies of server-sent events and of votes, checked by msgspec.

Times are milliseconds, as ages at the moment of writing: the ends share no clock.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Number = Annotated[int, Meta(ge=0, lt=2**32)]  # of a server, or how many
Small = Annotated[int, Meta(ge=0, lt=2**16)]  # builds, kinds, cells, stages
Life = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Span = Annotated[float, Meta(ge=0, le=1e12)]  # milliseconds; some thirty years
Age = Annotated[float, Meta(ge=-1e12, le=1e12)]  # below 0 where the source's clock was set back; it counts as 0
Part = Annotated[float, Meta(ge=0, le=1)]


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server; `incarnation` changes with every start of its process, `age_ms` is absent when long ago."""

    server: Number
    zone: str
    state: Literal["ready", "draining", "gone"]
    build: Small
    address: str
    incarnation: Life
    kind: Small = 0
    cell: Small = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    age_ms: Age | None = None


class FleetNews(msgspec.Struct, frozen=True):
    """A whole list, or with `base` the changes from that version on."""

    version: Life
    entries: list[Entry]
    base: Life | None = None


class _Unread(msgspec.Struct, frozen=True):
    version: Life
    entries: list[msgspec.Raw]
    base: Life | None = None


def decode_fleet(data: str) -> tuple[FleetNews, list[str]]:
    """A list, and why entries were left out: one that is malformed hides no other. ValueError for all else."""
    unread: _Unread = msgspec.json.decode(data, type=_Unread)
    entries, refused = list[Entry](), list[str]()
    for raw in unread.entries:
        try:
            entries.append(msgspec.json.decode(raw, type=Entry))
        except msgspec.MsgspecError as error:
            refused.append(f"{bytes(raw)[:80].decode('utf-8', 'replace')}: {error}")
    return FleetNews(unread.version, entries, unread.base), refused


class Stage(msgspec.Struct, frozen=True):
    """Where the newest build stands."""

    build: Small
    stage: Small
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: Part
    age_ms: Age


class TallyNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """What the platform counted for one build and class over a period."""

    build: Small
    cls: str
    attempts: Number
    failures: Number
    mean_ms: Span
    age_ms: Span


class ComplaintNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A client found an answer wrong."""

    cls: str
    server: Number
    age_ms: Span


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


def parse_event_id(text: str) -> tuple[str, int]:
    """Epoch and number of an event id; ValueError for anything else."""
    epoch, colon, number = text.rpartition(":")
    if not colon or not number.isdigit():
        raise ValueError(f"{text!r} is no event id")
    return epoch, int(number)
