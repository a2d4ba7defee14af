"""State received from the fleet list and the release desk, without I/O: filters duplicates, replays and gaps.

A source numbers its events within an epoch. Events that are not newer than the last one are skipped; a delta that
is not based on the current list version is a gap, after which the whole list is requested.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from otterquay import interface as it
from otterquay.addresses import parse_address
from otterquay.logs import Logger
from otterquay.protocol import news

STATES = {"ready": it.ServerState.READY, "draining": it.ServerState.DRAINING, "gone": it.ServerState.GONE}
PHASES = {
    "trial": it.Phase.TRIAL,
    "going_back": it.Phase.GOING_BACK,
    "released": it.Phase.RELEASED,
    "withdrawn": it.Phase.WITHDRAWN,
}

MAX_LISTED_SERVERS = 16384  # further servers are refused
MAX_DEPARTED_SERVERS = 16384  # remembered so that a returning server is recognised
MAX_REFUSALS_LOGGED = 20  # per update


def counts_against_cap(build: int, newest: int, phase: it.Phase) -> bool:
    """Whether attempts on a build count against a cap, given the newest build and its phase."""
    return build > newest or (build == newest and phase is not it.Phase.RELEASED)


def share_allowed(build: int, newest: it.StageNews, first_cap: float) -> float:
    """The share of requests that may be sent to a build; `first_cap` if no stage has named it yet."""
    if build > newest.build:
        return first_cap
    if not counts_against_cap(build, newest.build, newest.phase):
        return 1.0
    return 0.0 if newest.phase is it.Phase.WITHDRAWN else newest.cap


def standing(build: int, stage: int, phase: it.Phase, cap: float) -> str:
    """Describe the stage of a build in words."""
    return f"build {build}: stage {stage + 1}, {phase.name.lower().replace('_', ' ')}, cap {cap:.0%}"


class Gap(Exception):
    """A delta that is not based on the current version of the list."""


class Cursor:
    """Tracks the newest event of a numbered source."""

    def __init__(self) -> None:
        self.epoch, self.number = "", -1

    def advance(self, id: str) -> bool:
        """Advance to an event; False if it is not newer than the last one. ValueError for a malformed id."""
        epoch, number = news.parse_event_id(id)
        if epoch == self.epoch and number <= self.number:
            return False
        self.epoch, self.number = epoch, number
        return True


class FleetRegistry:
    """The current server list.

    `refused` and `ended` describe the last update: entries that were left out, and addresses whose process has
    ended or was replaced.
    """

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._epoch, self._version = "", -1
        # incarnation and start time of each listed server, and of those that left most recently
        self._incarnations: dict[int, tuple[int, float]] = {}
        self._departed: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self.entries: dict[int, news.Entry] = {}
        self.refused: list[str] = []
        self.ended: list[str] = []

    def address(self, server: int) -> str | None:
        """Return the address of a listed server."""
        entry = self.entries.get(server)
        return entry.address if entry else None

    def cached(self, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        """Apply the list stored before a restart.

        Its ages are those of the time of writing, so no server counts as warmer than it is.
        """
        event = self.apply(it.ListKind.CACHED, fleet, now_ms)
        self._incarnations = {}
        return event

    def apply_event(self, id: str, fleet: news.FleetNews, now_ms: float) -> it.ServerList | None:
        """Apply an update and return the module's event, None for a repeated update.

        Raises Gap for a delta to another version.
        """
        epoch, version = news.parse_event_id(id)
        if version != fleet.version:
            raise ValueError(f"event {id} holds version {fleet.version}")
        if epoch == self._epoch and version <= self._version:
            return None
        if fleet.base is not None and (epoch, fleet.base) != (self._epoch, self._version):
            raise Gap(f"delta is based on version {fleet.base}, the list is at version {self._version}")
        self._epoch, self._version = epoch, version
        kind = it.ListKind.FULL if fleet.base is None else it.ListKind.DELTA
        return self.apply(kind, fleet, now_ms)

    def apply(self, kind: it.ListKind, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        """Apply an update whose source guarantees order and completeness, and return the module's event."""
        self.refused, named = [], dict.fromkeys(e.server for e in fleet.entries)
        # a delta visits only the servers that it names, so its cost does not grow with the list
        concerned = named if kind is it.ListKind.DELTA else {**named, **dict.fromkeys(self.entries)}
        before = {server: self.entries[server] for server in concerned if server in self.entries}
        for server in [server for server in before if server not in named]:
            self._remove(server)
        updated = []
        for entry in fleet.entries:
            if entry.state != "ready" and (held := self.entries.get(entry.server)):  # may carry only its number
                entry = msgspec.structs.replace(entry, zone=held.zone, address=held.address)
            if problem := self._problem(entry):
                self.refused.append(f"server {entry.server}: {problem}")
                continue
            start = self._start_time(entry, now_ms)
            if entry.state == "gone":
                self._remove(entry.server)
            else:
                self.entries[entry.server] = entry
            updated.append(
                it.ServerEntry(
                    entry.server,
                    self._zones[entry.zone],
                    entry.kind,
                    entry.cell,
                    STATES[entry.state],
                    entry.weight,
                    start,
                    entry.build,
                )
            )
        current = self.entries
        self.ended = [
            old.address
            for server, old in before.items()
            if server not in current
            or (current[server].address, current[server].incarnation) != (old.address, old.incarnation)
        ]
        return it.ServerList(kind, fleet.version, tuple(updated))

    def log_refused(self, unread: Sequence[str], log: Logger) -> None:
        """Log the entries of the last update that were left out, the unreadable ones first."""
        refused = [*unread, *self.refused]
        for reason in refused[:MAX_REFUSALS_LOGGED]:
            log.warning("list_entry_refused", reason=reason, of=len(refused))

    def _problem(self, entry: news.Entry) -> str:
        if entry.zone not in self._zones:
            return f"unknown zone {entry.zone!r}"
        if len(self.entries) >= MAX_LISTED_SERVERS and entry.server not in self.entries:
            return f"over {MAX_LISTED_SERVERS} servers are listed"
        try:
            parse_address(entry.address)
        except ValueError as error:
            return str(error)
        return ""

    def _remove(self, server: int) -> None:
        self.entries.pop(server, None)
        if known := self._incarnations.pop(server, None):
            self._departed[server] = known
            if len(self._departed) > MAX_DEPARTED_SERVERS:
                self._departed.popitem(last=False)

    def _start_time(self, entry: news.Entry, now_ms: float) -> float:
        """Return the start time of the server's current incarnation, 0 for long ago.

        One incarnation keeps its start time, however late or often it is announced.
        """
        known = self._incarnations.get(entry.server) or self._departed.pop(entry.server, None)
        if known and known[0] == entry.incarnation:
            start = known[1]
        elif entry.age_ms is not None:
            start = max(now_ms - max(entry.age_ms, 0.0), 1e-3)
        else:  # no age given: if it replaced an incarnation that we knew, it cannot have started long ago
            start = now_ms if known else 0.0
        self._incarnations[entry.server] = entry.incarnation, start
        return start


class DeskRecord:
    """The stage of the newest build, from events and from answers to votes, whichever is newer."""

    def __init__(self, classes: Sequence[str], stages: int) -> None:
        self._classes, self._stages = {name: i for i, name in enumerate(classes)}, stages
        self._cursor = Cursor()
        self._current: tuple[str, int, news.Stage, float] | None = None

    def apply_event(self, id: str, kind: str, data: bytes, now_ms: float) -> it.Event | None:
        """Apply an event and return the module's event, None for a repeated event or an unknown kind.

        Raises ValueError for a malformed event.
        """
        if not self._cursor.advance(id):
            return None
        if kind == "stage":
            stage: news.Stage = msgspec.json.decode(data, type=news.Stage)
            self.check(stage)
            self._update(id, stage, now_ms)
            return self._stage_event(stage, False, it.Status.OK, stage.age_ms)
        if kind == "tally":
            tally: news.TallyNews = msgspec.json.decode(data, type=news.TallyNews)
            if tally.failures > tally.attempts:
                raise ValueError(f"{tally.failures} failures of {tally.attempts} attempts")
            return it.Tally(
                tally.build, self._class(tally.cls), tally.attempts, tally.failures, tally.mean_ms, tally.age_ms
            )
        if kind == "complaint":
            complaint: news.ComplaintNews = msgspec.json.decode(data, type=news.ComplaintNews)
            return it.Complaint(self._class(complaint.cls), complaint.server, complaint.age_ms)
        return None

    def check(self, stage: news.Stage) -> None:
        """Raise ValueError for a trial in a stage that the settings do not have."""
        if stage.phase == "trial" and stage.stage >= self._stages:
            raise ValueError(f"stage {stage.stage} of {self._stages}, counted from 0")

    def voted(self, status: it.Status, answer: news.VoteAnswer | None, now_ms: float) -> it.StageNews:
        """Return the module's event for the result of a vote; an outdated stage in the answer is ignored."""
        if answer is not None:
            epoch, number = news.parse_event_id(answer.id)
            if self._current is None or epoch != self._current[0] or number >= self._current[1]:
                self._update(answer.id, answer.state, now_ms)
            status = it.Status.OK if answer.status == "ok" else it.Status.MOOT
        if self._current is None:
            return it.StageNews(0, 0, it.Phase.RELEASED, True, it.Status.ERROR, 1.0, 0.0)
        _, _, stage, at = self._current
        return self._stage_event(stage, True, status, stage.age_ms + now_ms - at)

    def capped(self, build: int) -> bool:
        """Whether attempts on this build count against a cap; True before any stage is known."""
        if self._current is None:
            return True
        stage = self._current[2]
        return counts_against_cap(build, stage.build, PHASES[stage.phase])

    def standing(self) -> str:
        """Describe the stage of the newest build in words."""
        if self._current is None:
            return "no news of any build"
        stage = self._current[2]
        return standing(stage.build, stage.stage, PHASES[stage.phase], stage.cap)

    def _update(self, id: str, stage: news.Stage, now_ms: float) -> None:
        epoch, number = news.parse_event_id(id)
        self._current = epoch, number, stage, now_ms

    @staticmethod
    def _stage_event(stage: news.Stage, vote: bool, status: it.Status, age: float) -> it.StageNews:
        return it.StageNews(stage.build, stage.stage, PHASES[stage.phase], vote, status, stage.cap, max(age, 0.0))

    def _class(self, name: str) -> int:
        if name not in self._classes:
            raise ValueError(f"unknown class {name!r}")
        return self._classes[name]
