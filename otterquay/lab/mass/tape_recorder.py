"""The tape of a fleet's run, for the auditor: what each agent was asked and told, and what servers got from it."""

from __future__ import annotations

from collections.abc import Callable

from otterquay import interface as it
from otterquay.config.schema import Service
from otterquay.lab.auditor import Auditor, Report
from otterquay.standins import tape as tp

TOLERANCE_S = 0.001  # times on the tape are exact, but for rounding
STATES = {it.ServerState.READY: "ready", it.ServerState.DRAINING: "draining", it.ServerState.GONE: "gone"}


class Books:
    """Written while the fleet runs; `now` gives simulated ms."""

    def __init__(self, service: Service, now: Callable[[], float]) -> None:
        self.service, self._now, self.tape = service, now, tp.Tape()
        self._classes, self._tenants = list(service.class_), list(service.tenant) or [""]
        self._ran: set[tuple[int, str]] = set()  # requests and where their repeats are dropped

    @property
    def at(self) -> float:
        """Seconds, from 1 on: 0 stands for never on a tape."""
        return 1.0 + self._now() / 1e3

    def up(self, agent: int) -> None:
        """An agent starts."""
        self.tape.add(tp.AgentUp(self.at, agent))

    def killed(self, agent: int, held: list[int]) -> None:
        """An agent is killed, and its clients see their connections end."""
        self.tape.add(tp.AgentDown(self.at, agent, "killed"))
        for request in held:
            self.tape.add(tp.Lost(self.at, str(request), True))

    def told_servers(self, agent: int, entries: tuple[it.ServerEntry, ...], lives: dict[int, int]) -> None:
        """The list is told; `lives` by server."""
        for e in entries:
            self.tape.add(
                tp.ToldServer(
                    self.at,
                    agent,
                    e.server,
                    STATES[e.state],  # type: ignore[arg-type]
                    e.build,
                    lives[e.server],
                )
            )

    def told_stage(self, agent: int, news: it.StageNews) -> None:
        """The desk tells where the newest build stands."""
        self.tape.add(tp.ToldStage(self.at, agent, news.build, news.stage, news.phase.name.lower(), news.cap))  # type: ignore[arg-type]

    def asked(self, agent: int, request: it.Request) -> None:
        """A client's request is taken."""
        name, cls = str(request.request), self._classes[request.cls]
        self.tape.add(
            tp.Asked(
                self.at, name, name, agent, cls, self._tenants[request.tenant], "", request.budget_ms / 1e3, self.at
            )
        )

    def answered(self, request: int, kind: str) -> None:
        """It has its final answer."""
        self.tape.add(tp.Answered(self.at, str(request), kind, 200))  # type: ignore[arg-type]

    def left(self, request: int) -> None:
        """Its client gives up."""
        self.tape.add(tp.Left(self.at, str(request)))

    def came(
        self,
        request: int,
        attempt: int,
        cls: int,
        entry: it.ServerEntry,
        life: int,
        build: int,
        work_ms: float,
        full: bool,
    ) -> None:
        """A server gets an attempt; unless it is `full` that takes effect there, or is dropped as a repeat."""
        name, tag = str(request), f"{request}-{attempt}"
        zone = self.service.zones[entry.zone]
        self.tape.add(tp.Arrived(self.at, name, tag, entry.server, life, build, zone, work_ms / 1e3))
        if full:
            return self.replied(request, attempt, entry.server, "not_seen")
        scope = self.service.class_[self._classes[cls]].scope
        where = {"all": "", "zone": zone, "cell": f"{zone} {entry.cell}"}[scope]
        self.tape.add(tp.Ran(self.at, name, name, entry.server, (request, where) in self._ran))
        self._ran.add((request, where))

    def replied(self, request: int, attempt: int, server: int, kind: str) -> None:
        """A server answers."""
        self.tape.add(tp.Replied(self.at, str(request), f"{request}-{attempt}", server, kind))  # type: ignore[arg-type]

    def judge(self) -> Report:
        """Rules 1, 2, 3 and 5, over all agents; rule 4 needs each server's work at the time and is judged there."""
        return Auditor(self.tape, self.service, TOLERANCE_S).judge()
