"""Records a fleet simulation on a tape for the auditor: requests, updates to agents and attempts at servers."""

from __future__ import annotations

from collections.abc import Callable

from otterquay import interface as it
from otterquay.config.schema import Service
from otterquay.lab.auditor import Auditor, Report
from otterquay.standins import tape as tp

TOLERANCE_S = 0.001  # times on the tape are exact except for rounding
STATE_NAMES = {it.ServerState.READY: "ready", it.ServerState.DRAINING: "draining", it.ServerState.GONE: "gone"}


class TapeRecorder:
    """Records events during the run; `now` returns simulated ms."""

    def __init__(self, service: Service, now: Callable[[], float]) -> None:
        self._service, self._now, self.tape = service, now, tp.Tape()
        self._classes, self._tenants = list(service.class_), list(service.tenant) or [""]
        self._effects: set[tuple[int, str]] = set()  # requests that took effect, by scope of deduplication

    @property
    def time_s(self) -> float:
        """Tape time in seconds, starting at 1 because 0 means never on a tape."""
        return 1.0 + self._now() / 1e3

    def agent_up(self, agent: int) -> None:
        """Record the start of an agent."""
        self.tape.add(tp.AgentUp(self.time_s, agent))

    def agent_killed(self, agent: int, requests: list[int]) -> None:
        """Record that an agent is killed and the connections of its clients close."""
        self.tape.add(tp.AgentDown(self.time_s, agent, "killed"))
        for request in requests:
            self.tape.add(tp.Lost(self.time_s, str(request), True))

    def list_update(self, agent: int, entries: tuple[it.ServerEntry, ...], incarnations: dict[int, int]) -> None:
        """Record a list update sent to an agent; `incarnations` is by server."""
        for entry in entries:
            self.tape.add(
                tp.ToldServer(
                    self.time_s,
                    agent,
                    entry.server,
                    STATE_NAMES[entry.state],  # type: ignore[arg-type]
                    entry.build,
                    incarnations[entry.server],
                )
            )

    def stage_update(self, agent: int, news: it.StageNews) -> None:
        """Record a stage update sent to an agent."""
        self.tape.add(tp.ToldStage(self.time_s, agent, news.build, news.stage, news.phase.name.lower(), news.cap))  # type: ignore[arg-type]

    def asked(self, agent: int, request: it.Request) -> None:
        """Record a request of a client."""
        id, cls = str(request.request), self._classes[request.cls]
        self.tape.add(
            tp.Asked(
                self.time_s,
                id,
                id,
                agent,
                cls,
                self._tenants[request.tenant],
                "",
                request.budget_ms / 1e3,
                self.time_s,
            )
        )

    def answered(self, request: int, kind: str) -> None:
        """Record the final answer to a request."""
        self.tape.add(tp.Answered(self.time_s, str(request), kind, 200))  # type: ignore[arg-type]

    def left(self, request: int) -> None:
        """Record that a client abandons its request."""
        self.tape.add(tp.Left(self.time_s, str(request)))

    def arrived(
        self,
        request: int,
        attempt: int,
        cls: int,
        entry: it.ServerEntry,
        incarnation: int,
        build: int,
        work_ms: float,
        queue_full: bool,
    ) -> None:
        """Record an attempt at a server: not seen if `queue_full`, else it takes effect or is dropped as repeat."""
        id, tag = str(request), f"{request}-{attempt}"
        zone = self._service.zones[entry.zone]
        self.tape.add(tp.Arrived(self.time_s, id, tag, entry.server, incarnation, build, zone, work_ms / 1e3))
        if queue_full:
            return self.replied(request, attempt, entry.server, "not_seen")
        scope = self._service.class_[self._classes[cls]].scope
        dedup_scope = {"all": "", "zone": zone, "cell": f"{zone} {entry.cell}"}[scope]
        self.tape.add(tp.Ran(self.time_s, id, id, entry.server, (request, dedup_scope) in self._effects))
        self._effects.add((request, dedup_scope))

    def replied(self, request: int, attempt: int, server: int, kind: str) -> None:
        """Record the answer of a server."""
        self.tape.add(tp.Replied(self.time_s, str(request), f"{request}-{attempt}", server, kind))  # type: ignore[arg-type]

    def judge(self) -> Report:
        """Audit rules 1, 2, 3 and 5. The simulation checks rule 4, which needs each server's load at the time."""
        return Auditor(self.tape, self._service, TOLERANCE_S).judge()
