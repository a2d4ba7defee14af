"""What the agent has heard from fleet list and desk, without I/O: duplicates, replays and gaps end here.

A source numbers its events within an epoch; what is not later than what was heard is passed over, and changes
that do not rest on the list held are a gap, after which the whole list is asked for.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from otterquay import interface as it
from otterquay.protocol import news

STATES = {"ready": it.ServerState.READY, "draining": it.ServerState.DRAINING, "gone": it.ServerState.GONE}
PHASES = {
    "trial": it.Phase.TRIAL, "going_back": it.Phase.GOING_BACK, "released": it.Phase.RELEASED,
    "withdrawn": it.Phase.WITHDRAWN,
}


class Gap(Exception):
    """News that does not follow on what is held."""


class Cursor:
    """Which events of a numbered source are new."""

    def __init__(self) -> None:
        self.epoch, self.number = "", -1

    def later(self, id: str) -> bool:
        """True, once, for an event later than all before; ValueError for an id that is none."""
        epoch, number = news.parse_id(id)
        if epoch == self.epoch and number <= self.number:
            return False
        self.epoch, self.number = epoch, number
        return True


class FleetBook:
    """The list held, and how servers are reached."""

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._epoch, self._version = "", -1
        self._started: dict[tuple[int, int], float] = {}
        self.entries: dict[int, news.Entry] = {}
        self.address: dict[int, str] = {}
        self.refused: list[str] = []

    def cached(self, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        """The list of before a restart: ages as they were written, which takes no server for warmer than it is."""
        event = self._take(it.ListKind.CACHED, fleet, now_ms)
        self._started = {}
        return event

    def heard(self, id: str, fleet: news.FleetNews, now_ms: float) -> it.ServerList | None:
        """The module's event for news, None for what was heard before; Gap for changes to another list."""
        epoch, version = news.parse_id(id)
        if version != fleet.version:
            raise ValueError(f"event {id} holds version {fleet.version}")
        if epoch == self._epoch and version <= self._version:
            return None
        if fleet.base is not None and (epoch, fleet.base) != (self._epoch, self._version):
            raise Gap(f"changes from version {fleet.base}, held is {self._version}")
        self._epoch, self._version = epoch, version
        kind = it.ListKind.FULL if fleet.base is None else it.ListKind.DELTA
        return self._take(kind, fleet, now_ms)

    def _take(self, kind: it.ListKind, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        self.refused = [f"server {e.server}: unknown zone {e.zone!r}" for e in fleet.entries
                        if e.zone not in self._zones]
        if kind is not it.ListKind.DELTA:
            self.entries = {}
        told = []
        for entry in fleet.entries:
            if entry.zone not in self._zones:
                continue
            if entry.state == "gone":
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
            self.address[entry.server] = entry.address
            # the same start must be told as the same time, however late this news came
            start = -math.inf if entry.age_ms is None else max(now_ms - entry.age_ms, 1e-3)
            key = entry.server, entry.incarnation
            start = self._started.setdefault(key, start)
            told.append(it.ServerEntry(
                entry.server, self._zones[entry.zone], entry.kind, entry.cell, STATES[entry.state],
                entry.weight, max(start, 0.0), entry.build,
            ))
        if kind is not it.ListKind.DELTA:
            held = {(e.server, e.incarnation) for e in fleet.entries}
            self._started = {key: at for key, at in self._started.items() if key in held}
        return it.ServerList(kind, fleet.version, tuple(told))


class DeskBook:
    """Where the newest build stands, by events and by answers to votes, whichever is later."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = {name: i for i, name in enumerate(classes)}
        self._cursor = Cursor()
        self._held: tuple[str, int, news.Stage, float] | None = None

    def heard(self, id: str, kind: str, data: bytes, now_ms: float) -> it.Event | None:
        """The module's event, None for what was heard before or is of no known kind; ValueError when malformed."""
        if not self._cursor.later(id):
            return None
        if kind == "stage":
            stage: news.Stage = msgspec.json.decode(data, type=news.Stage)
            self._hold(id, stage, now_ms)
            return self._told(stage, False, it.Status.OK, stage.age_ms)
        if kind == "tally":
            tally: news.TallyNews = msgspec.json.decode(data, type=news.TallyNews)
            return it.Tally(
                tally.build, self._class(tally.cls), tally.attempts, tally.failures, tally.mean_ms, tally.age_ms
            )
        if kind == "complaint":
            complaint: news.ComplaintNews = msgspec.json.decode(data, type=news.ComplaintNews)
            return it.Complaint(self._class(complaint.cls), complaint.server, complaint.age_ms)
        return None

    def voted(self, status: it.Status, answer: news.VoteAnswer | None, now_ms: float) -> it.StageNews:
        """The module's event for the end of a vote; a state that is behind what is held gives way to that."""
        if answer is not None:
            epoch, number = news.parse_id(answer.id)
            if self._held is None or epoch != self._held[0] or number >= self._held[1]:
                self._hold(answer.id, answer.state, now_ms)
            status = it.Status.OK if answer.status == "ok" else it.Status.MOOT
        if self._held is None:
            return it.StageNews(0, 0, it.Phase.RELEASED, True, it.Status.ERROR, 1.0, 0.0)
        _, _, stage, at = self._held
        return self._told(stage, True, status, stage.age_ms + now_ms - at)

    def capped(self, build: int) -> bool:
        """Whether attempts on this build count against a cap, as far as is known."""
        if self._held is None:
            return True
        stage = self._held[2]
        return build > stage.build or (build == stage.build and stage.phase != "released")

    def standing(self) -> str:
        """Where the newest build stands, in words."""
        if self._held is None:
            return "no news of any build"
        stage = self._held[2]
        where = stage.phase.replace("_", " ")
        return f"build {stage.build}: stage {stage.stage + 1}, {where}, cap {stage.cap:.0%}"

    def _hold(self, id: str, stage: news.Stage, now_ms: float) -> None:
        epoch, number = news.parse_id(id)
        self._held = epoch, number, stage, now_ms

    @staticmethod
    def _told(stage: news.Stage, vote: bool, status: it.Status, age: float) -> it.StageNews:
        return it.StageNews(stage.build, stage.stage, PHASES[stage.phase], vote, status, stage.cap, age)

    def _class(self, name: str) -> int:
        if name not in self._classes:
            raise ValueError(f"unknown class {name!r}")
        return self._classes[name]
