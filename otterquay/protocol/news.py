"""JSON messages of the fleet list and the release desk: bodies of server-sent events and of votes.

Times are ages in milliseconds at the moment of sending, as sender and receiver share no clock.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Uint32 = Annotated[int, Meta(ge=0, lt=2**32)]  # server numbers and counts
Uint16 = Annotated[int, Meta(ge=0, lt=2**16)]  # builds, kinds, cells, stages
Uint63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
DurationMs = Annotated[float, Meta(ge=0, le=1e12)]  # up to about thirty years
AgeMs = Annotated[float, Meta(ge=-1e12, le=1e12)]  # negative if the source's clock was set back; counts as 0
Fraction = Annotated[float, Meta(ge=0, le=1)]


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """One server; `incarnation` changes with every start of its process, `age_ms` is absent if that is long ago."""

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
    """The whole list, or the changes since version `base`."""

    version: Uint63
    entries: list[Entry]
    base: Uint63 | None = None


class _RawFleetNews(msgspec.Struct, frozen=True):
    version: Uint63
    entries: list[msgspec.Raw]
    base: Uint63 | None = None


def decode_fleet(data: str) -> tuple[FleetNews, list[str]]:
    """Decode a list entry by entry, so that a malformed entry hides no other.

    Returns the list without the malformed entries, and the reason for each of those. ValueError if the list itself
    is malformed.
    """
    raw_news: _RawFleetNews = msgspec.json.decode(data, type=_RawFleetNews)
    entries, refused = list[Entry](), list[str]()
    for raw in raw_news.entries:
        try:
            entries.append(msgspec.json.decode(raw, type=Entry))
        except msgspec.MsgspecError as error:
            refused.append(f"{bytes(raw)[:80].decode('utf-8', 'replace')}: {error}")
    return FleetNews(raw_news.version, entries, raw_news.base), refused


class Stage(msgspec.Struct, frozen=True):
    """Stage of the newest build."""

    build: Uint16
    stage: Uint16
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: Fraction
    age_ms: AgeMs


class TallyNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """The platform's counts for one build and class over a period."""

    build: Uint16
    cls: str
    attempts: Uint32
    failures: Uint32
    mean_ms: DurationMs
    age_ms: DurationMs


class ComplaintNews(msgspec.Struct, frozen=True, rename={"cls": "class"}):
    """A client's report that an answer was wrong."""

    cls: str
    server: Uint32
    age_ms: DurationMs


class Vote(msgspec.Struct, frozen=True):
    """A vote; `stage` is ignored for the verdicts back and none."""

    agent: int
    build: int
    stage: int
    verdict: Literal["none", "on", "hold", "back"]


class VoteAnswer(msgspec.Struct, frozen=True):
    """The desk's answer to a vote, with the build's stage and the event id of that state."""

    status: Literal["ok", "moot"]
    state: Stage
    id: str


def event_id(epoch: str, number: int) -> str:
    """Build an event id; the epoch changes when the source loses its numbering."""
    return f"{epoch}:{number}"


def parse_event_id(text: str) -> tuple[str, int]:
    """Split an event id into epoch and number; ValueError if it is malformed."""
    epoch, colon, number = text.rpartition(":")
    if not colon or not number.isdigit():
        raise ValueError(f"{text!r} is not an event id")
    return epoch, int(number)
