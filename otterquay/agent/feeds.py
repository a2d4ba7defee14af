"""What the agent has heard from fleet list and desk, without I/O: duplicates, replays and gaps end here.

A source numbers its events within an epoch; what is not later than what was heard is passed over, and changes
that do not rest on the list held are a gap, after which the whole list is asked for.
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


MAX_LISTED_SERVERS = 16384  # servers in the list; further ones are refused
MAX_DEPARTED_SERVERS = (
    16384  # servers that left whose last start is kept, so that one that comes back is known again
)
REFUSED_LOGGED = 20  # lines about refused entries of one list


def counts_against_cap(build: int, newest: int, phase: it.Phase) -> bool:
    """Whether attempts on a build count against a cap, where the newest one stands so."""
    return build > newest or (build == newest and phase is not it.Phase.RELEASED)


def share_allowed(build: int, newest: it.StageNews, first: float) -> float:
    """The share of requests that may be tried at a build, `first` where no news has named it yet."""
    if build > newest.build:
        return first
    if not counts_against_cap(build, newest.build, newest.phase):
        return 1.0
    return 0.0 if newest.phase is it.Phase.WITHDRAWN else newest.cap


def standing(build: int, stage: int, phase: it.Phase, cap: float) -> str:
    """Where a build stands, in words."""
    return f"build {build}: stage {stage + 1}, {phase.name.lower().replace('_', ' ')}, cap {cap:.0%}"


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


class FleetRegistry:
    """The list held, and how servers are reached. `refused` and `ended` tell of the news taken last: entries that
    were not taken, and addresses whose process has ended or was replaced."""

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = {name: i for i, name in enumerate(zones)}
        self._epoch, self._version = "", -1
        # incarnation of a server and the start told for it: the listed, and the latest of those that left
        self._incarnations: dict[int, tuple[int, float]] = {}
        self._departed: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self.entries: dict[int, news.Entry] = {}
        self.refused: list[str] = []
        self.ended: list[str] = []

    def address(self, server: int) -> str | None:
        """Where a server that is listed is reached."""
        entry = self.entries.get(server)
        return entry.address if entry else None

    def cached(self, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        """The list of before a restart: ages as they were written, which takes no server for warmer than it is."""
        event = self.apply(it.ListKind.CACHED, fleet, now_ms)
        self._incarnations = {}
        return event

    def apply_event(self, id: str, fleet: news.FleetNews, now_ms: float) -> it.ServerList | None:
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
        return self.apply(kind, fleet, now_ms)

    def apply(self, kind: it.ListKind, fleet: news.FleetNews, now_ms: float) -> it.ServerList:
        """The module's event for news whose source itself sees to order and gaps."""
        self.refused, named = [], dict.fromkeys(e.server for e in fleet.entries)
        # changes touch what they name alone: their cost does not grow with the list
        concerned = named if kind is it.ListKind.DELTA else {**named, **dict.fromkeys(self.entries)}
        before = {server: self.entries[server] for server in concerned if server in self.entries}
        for server in [server for server in before if server not in named]:
            self._left(server)
        told = []
        for entry in fleet.entries:
            if entry.state != "ready" and (held := self.entries.get(entry.server)):  # known by its number alone
                entry = msgspec.structs.replace(entry, zone=held.zone, address=held.address)
            if problem := self._problem(entry):
                self.refused.append(f"server {entry.server}: {problem}")
                continue
            start = self._start(entry, now_ms)
            if entry.state == "gone":
                self._left(entry.server)
            else:
                self.entries[entry.server] = entry
            told.append(
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
        now = self.entries
        self.ended = [
            old.address
            for server, old in before.items()
            if server not in now or (now[server].address, now[server].incarnation) != (old.address, old.incarnation)
        ]
        return it.ServerList(kind, fleet.version, tuple(told))

    def log_refused(self, unread: Sequence[str], log: Logger) -> None:
        """Write down which entries of the news taken last were left out, those that could not be read first."""
        refused = [*unread, *self.refused]
        for reason in refused[:REFUSED_LOGGED]:
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

    def _left(self, server: int) -> None:
        self.entries.pop(server, None)
        if life := self._incarnations.pop(server, None):
            self._departed[server] = life
            if len(self._departed) > MAX_DEPARTED_SERVERS:
                self._departed.popitem(last=False)

    def _start(self, entry: news.Entry, now_ms: float) -> float:
        """When this life of the server began, 0 for long ago: the same for one life, however late the news."""
        life = self._incarnations.get(entry.server) or self._departed.pop(entry.server, None)
        if life and life[0] == entry.incarnation:
            start = life[1]
        elif entry.age_ms is not None:
            start = max(now_ms - max(entry.age_ms, 0.0), 1e-3)
        else:  # not told: of one that took the place of another since we knew that, it cannot be long ago
            start = now_ms if life else 0.0
        self._incarnations[entry.server] = entry.incarnation, start
        return start


class DeskRecord:
    """Where the newest build stands, by events and by answers to votes, whichever is later."""

    def __init__(self, classes: Sequence[str], stages: int) -> None:
        self._classes, self._stages = {name: i for i, name in enumerate(classes)}, stages
        self._cursor = Cursor()
        self._held: tuple[str, int, news.Stage, float] | None = None

    def apply_event(self, id: str, kind: str, data: bytes, now_ms: float) -> it.Event | None:
        """The module's event, None for what was heard before or is of no known kind; ValueError when malformed."""
        if not self._cursor.later(id):
            return None
        if kind == "stage":
            stage: news.Stage = msgspec.json.decode(data, type=news.Stage)
            self.check(stage)
            self._hold(id, stage, now_ms)
            return self._told(stage, False, it.Status.OK, stage.age_ms)
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
        """ValueError for a trial's stage that the settings do not know."""
        if stage.phase == "trial" and stage.stage >= self._stages:
            raise ValueError(f"stage {stage.stage} of {self._stages}, counted from 0")

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
        return counts_against_cap(build, stage.build, PHASES[stage.phase])

    def standing(self) -> str:
        """Where the newest build stands, in words."""
        if self._held is None:
            return "no news of any build"
        stage = self._held[2]
        return standing(stage.build, stage.stage, PHASES[stage.phase], stage.cap)

    def _hold(self, id: str, stage: news.Stage, now_ms: float) -> None:
        epoch, number = news.parse_id(id)
        self._held = epoch, number, stage, now_ms

    @staticmethod
    def _told(stage: news.Stage, vote: bool, status: it.Status, age: float) -> it.StageNews:
        return it.StageNews(stage.build, stage.stage, PHASES[stage.phase], vote, status, stage.cap, max(age, 0.0))

    def _class(self, name: str) -> int:
        if name not in self._classes:
            raise ValueError(f"unknown class {name!r}")
        return self._classes[name]
