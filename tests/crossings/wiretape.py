"""Records what an agent on RESP was sent by discovery, platform and clients, and what its appliances received.

The auditor of `otterquay.lab` judges the recording: drains, cold servers and exposure. All stand-ins and the agent
share one event loop, so no delay between them exceeds that loop's longest stall.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from otterquay.lab.auditor import Auditor, Report
from otterquay.protocol.platform import PHASES, parse_state
from otterquay.standins import tape as tp
from tests.noderig import SETTINGS, Appliance, Rig
from tests.rig import service

STATES: dict[str, Any] = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
TOLERANCE_S, TICK_S = 0.05, 0.005


@dataclass
class RespTape:
    """Hooks into a rig's stand-ins while its agent runs; each request counts as `work_s` of work."""

    rig: Rig
    work_s: float = 0.01
    tape: tp.Tape = field(default_factory=tp.Tape)
    broken_since: dict[str, float] = field(default_factory=dict)  # by feed, "list" or "stage"
    _last_entries: dict[str, Any] = field(default_factory=dict)
    _ticker: asyncio.Task[None] | None = None
    stalled_s: float = 0.0

    def __post_init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self._ticker = asyncio.ensure_future(self._tick())
        self.tape.add(tp.AgentUp(self.now(), 0))
        self.hook(self.rig)
        self.list_sent(list(self.rig.discovery.entries.values()), True)
        self.stage_sent(self.rig.desk.state, True)

    def hook(self, rig: Rig) -> None:
        """Record what the discovery and platform of this rig send."""
        rig.discovery.on_sent, rig.desk.on_sent = self.list_sent, self.stage_sent

    async def _tick(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(TICK_S)
            self.stalled_s = max(self.stalled_s, self.now() - before - TICK_S)

    # --- feeds ---
    def feeds_broken(self, *feeds: str) -> None:
        """Note that the connections of these feeds break now: updates may be lost until they reconnect."""
        for feed in feeds:
            self.broken_since.setdefault(feed, self.now())

    def _record_break(self, feed: str) -> None:
        if since := self.broken_since.pop(feed, None):
            self.tape.add(tp.Severed(self.now(), [0], since, False, 0.0))

    def list_sent(self, entries: list[dict[str, Any]], whole: bool) -> None:
        """Record a list or a delta that discovery sends."""
        if whole:
            self._record_break("list")
            named = {entry["instanceId"] for entry in entries}
            entries = entries + [
                {**entry, "lifecycle": "terminated"} for id, entry in self._last_entries.items() if id not in named
            ]
            self._last_entries = {}
        for entry in entries:
            self._last_entries[entry["instanceId"]] = entry
            self.tape.add(
                tp.ToldServer(
                    self.now(),
                    0,
                    self.number(entry),
                    STATES[entry["lifecycle"]],
                    entry["version_no"],
                    self.incarnation(entry),
                )
            )

    def stage_sent(self, state: bytes, first: bool) -> None:
        """Record a stage that the platform sends, as the first message of a connection or later."""
        if first:
            self._record_break("stage")
        told = parse_state(state.split(b" "), len(SETTINGS["familyInfo"]["caps"]))
        phase: Any = {
            b"testing": "trial",
            b"recalling": "going_back",
            b"live": "released",
            b"recalled": "withdrawn",
        }[next(word for word, one in PHASES.items() if one is told.phase)]
        self.tape.add(tp.ToldStage(self.now(), 0, told.build, told.stage, phase, told.cap))

    # --- requests ---
    def asked(self, id: str, cls: str) -> None:
        """Record that a client sends the last byte of a request."""
        self.tape.add(tp.Asked(self.now(), id, id, 0, cls, "first", "", 1.0, self.now()))

    def request_arrived(self, one: Appliance, words: list[bytes]) -> None:
        """Record that an appliance has received a complete request."""
        entry = self.entry(one)
        self.tape.add(
            tp.Arrived(
                self.now(),
                words[2].decode(),
                f"{self.now()}",
                self.number(entry),
                self.incarnation(entry),
                entry["version_no"],
                "north",
                self.work_s,
            )
        )

    def started(self, one: Appliance, capacity: float) -> None:
        """Record that an appliance has started cold; `capacity` in core seconds per second, once it is warm."""
        entry = self.entry(one)
        self.tape.add(
            tp.Started(self.now(), self.number(entry), self.incarnation(entry), entry["version_no"], capacity, True)
        )

    def entry(self, one: Appliance) -> dict[str, Any]:
        """Return the discovery entry of an appliance."""
        return self.rig.discovery.entries[f"s-{self.rig.appliances.index(one)}"]

    @staticmethod
    def number(entry: dict[str, Any]) -> int:
        """Return a server's number on the tape."""
        return 1 + int(entry["instanceId"][2:])

    @staticmethod
    def incarnation(entry: dict[str, Any]) -> int:
        """Return a number that differs for each start and each build of a server."""
        return 1 + int(entry.get("startedAtMs", 0)) * 100 + int(entry["version_no"])

    # --- the verdict ---
    def judge(self, **rules: Any) -> Report:
        """Judge the tape by the three rules, with these figures instead of the rig's."""
        if self._ticker:
            self._ticker.cancel()
        for feed in list(self.broken_since):
            self._record_break(feed)
        self.tape.add(tp.Stalled(self.now(), self.stalled_s))
        info = SETTINGS["familyInfo"]
        stages = [
            {"share": f"{share:.0%}", "cap": f"{cap:.0%}"}
            for share, cap in zip(info["stageShare"], info["caps"], strict=True)
        ]
        return Auditor(
            self.tape,
            service(
                rollout={"window": f"{info['windowMs']}ms", "free": info["allowance"], "stage": stages},
                rules={"drain_grace": "0ms", **rules},
            ),
            TOLERANCE_S,
        ).judge()


def broken(report: Report) -> dict[str, list[str]]:
    """Return the violations of the rules that the tape covers."""
    return {rule: report.violations[rule] for rule in ("drains", "cold", "exposure") if report.violations[rule]}
