"""Words of the fleet list and the release desk: JSON bodies of server-sent events and of votes, checked by msgspec.

Times are milliseconds, as ages at the moment of writing: the ends share no clock.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Uint32 = Annotated[int, Meta(ge=0, lt=2**32)]  # of a server, or how many
Uint16 = Annotated[int, Meta(ge=0, lt=2**16)]  # builds, kinds, cells, stages
Uint63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
DurationMs = Annotated[float, Meta(ge=0, le=1e12)]  # milliseconds; some thirty years
AgeMs = Annotated[float, Meta(ge=-1e12, le=1e12)]  # below 0 where the source's clock was set back; it counts as 0
Fraction = Annotated[float, Meta(ge=0, le=1)]


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server; `incarnation` changes with every start of its process, `age_ms` is absent when long ago."""

    server: Uint32
    zone: str
    state: Literal["ready", "draining", "gone"]
    build: Uint16
    address: str
    incarnation: Uint63
    kind: Uint16 = 0
    cell: Uint16 = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    age_ms: AgeMs | None = None


class FleetNews(msgspec.Struct, frozen=True):
    """A whole list, or with `base` the changes from that version on."""

    version: Uint63
    entries: list[Entry]
    base: Uint63 | None = None


class _RawFleetNews(msgspec.Struct, frozen=True):
    version: Uint63
    entries: list[msgspec.Raw]
    base: Uint63 | None = None


def decode_fleet(data: str) -> tuple[FleetNews, list[str]]:
    """A list, and why entries were left out: one that is malformed hides no other. ValueError for all else."""
    raw_news: _RawFleetNews = msgspec.json.decode(data, type=_RawFleetNews)
    entries, refused = list[Entry](), list[str]()
    for raw in raw_news.entries:
        try:
            entries.append(msgspec.json.decode(raw, type=Entry))
        except msgspec.MsgspecError as error:
            refused.append(f"{bytes(raw)[:80].decode('utf-8', 'replace')}: {error}")
    return FleetNews(raw_news.version, entries, raw_news.base), refused


class Stage(msgspec.Struct, frozen=True):
    """Where the newest build stands."""

    build: Uint16
    stage: Uint16
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: Fraction
    age_ms: AgeMs


class TallyNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """What the platform counted for one build and class over a period."""

    build: Uint16
    cls: str
    attempts: Uint32
    failures: Uint32
    mean_ms: DurationMs
    age_ms: DurationMs


class ComplaintNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A client found an answer wrong."""

    cls: str
    server: Uint32
    age_ms: DurationMs


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
