"""The tape of an agent in service on RESP: what discovery, platform and clients wrote, what appliances got.

The auditor of `otterquay.lab` judges it: drains, cold servers and exposure. All stand-ins and the agent share a
loop, so that nothing between them is later than the longest time for which that loop stood still.
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
class WireTape:
    """Hung into a rig's stand-ins while its agent runs; `work_s` is booked for each request."""

    rig: Rig
    work_s: float = 0.01
    tape: tp.Tape = field(default_factory=tp.Tape)
    broke: dict[str, float] = field(default_factory=dict)  # since when the connection of "list" or "stage" is
    _listed: dict[str, Any] = field(default_factory=dict)
    _ticker: asyncio.Task[None] | None = None
    stalled_s: float = 0.0

    def __post_init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self._ticker = asyncio.ensure_future(self._tick())
        self.tape.add(tp.AgentUp(self.now(), 0))
        self.hook(self.rig)
        self.listed(list(self.rig.discovery.entries.values()), True)
        self.stands(self.rig.desk.state, True)

    def hook(self, rig: Rig) -> None:
        """What this rig's discovery and platform write goes to the same agent."""
        rig.discovery.on_sent, rig.desk.on_sent = self.listed, self.stands

    async def _tick(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(TICK_S)
            self.stalled_s = max(self.stalled_s, self.now() - before - TICK_S)

    # --- feeds ---
    def lost(self, *feeds: str) -> None:
        """Connections of these feeds break about now: what is written may be lost until a new one is begun."""
        for feed in feeds:
            self.broke.setdefault(feed, self.now())

    def _again(self, feed: str) -> None:
        if since := self.broke.pop(feed, None):
            self.tape.add(tp.Severed(self.now(), [0], since, False, 0.0))

    def listed(self, entries: list[dict[str, Any]], whole: bool) -> None:
        """Discovery writes a list or changes."""
        if whole:
            self._again("list")
            named = {entry["instanceId"] for entry in entries}
            entries = entries + [
                {**entry, "lifecycle": "terminated"} for id, entry in self._listed.items() if id not in named
            ]
            self._listed = {}
        for entry in entries:
            self._listed[entry["instanceId"]] = entry
            self.tape.add(
                tp.ToldServer(
                    self.now(),
                    0,
                    self.number(entry),
                    STATES[entry["lifecycle"]],
                    entry["version_no"],
                    self.life(entry),
                )
            )

    def stands(self, state: bytes, first: bool) -> None:
        """The platform writes where the newest build stands, `first` on a connection or later."""
        if first:
            self._again("stage")
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
        """A client writes the last byte of a request."""
        self.tape.add(tp.Asked(self.now(), id, id, 0, cls, "first", "", 1.0, self.now()))

    def came(self, one: Appliance, words: list[bytes]) -> None:
        """An appliance has got a request whole."""
        entry = self.entry(one)
        self.tape.add(
            tp.Arrived(
                self.now(),
                words[2].decode(),
                f"{self.now()}",
                self.number(entry),
                self.life(entry),
                entry["version_no"],
                "north",
                self.work_s,
            )
        )

    def started(self, one: Appliance, capacity: float) -> None:
        """An appliance has started cold, of so many core seconds a second once it is warm."""
        entry = self.entry(one)
        self.tape.add(
            tp.Started(self.now(), self.number(entry), self.life(entry), entry["version_no"], capacity, True)
        )

    def entry(self, one: Appliance) -> dict[str, Any]:
        """What discovery holds of an appliance."""
        return self.rig.discovery.entries[f"s-{self.rig.appliances.index(one)}"]

    @staticmethod
    def number(entry: dict[str, Any]) -> int:
        """A server's number on the tape."""
        return 1 + int(entry["instanceId"][2:])

    @staticmethod
    def life(entry: dict[str, Any]) -> int:
        """Another for each start and each build of a server."""
        return 1 + int(entry.get("startedAtMs", 0)) * 100 + int(entry["version_no"])

    # --- the verdict ---
    def judge(self, **rules: Any) -> Report:
        """The three rules, with these figures in place of those of the rig."""
        if self._ticker:
            self._ticker.cancel()
        for feed in list(self.broke):
            self._again(feed)
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
    """What was broken of the rules that the tape tells of."""
    return {rule: report.violations[rule] for rule in ("drains", "cold", "exposure") if report.violations[rule]}
