"""Records what an agent on RESP was sent by discovery, platform and clients, and what its appliances received.

The auditor of `otterquay.lab` judges the recording: drains, cold servers and exposure. All stand-ins and the agent
share one event loop, so no delay between them exceeds that loop's longest stall.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from otterquay.lab.auditor import Auditor, Report
from otterquay.standins import tape as tp
from otterquay.standins.feed_tape import FeedTape, incarnation, server_number
from otterquay.standins.resp import Appliance
from tests.noderig import SETTINGS, Rig
from tests.rig import service

TOLERANCE_S, TICK_S = 0.05, 0.005


@dataclass
class RespTape:
    """Hooks into a rig's stand-ins while its agent runs; each request counts as `work_s` of work."""

    rig: Rig
    work_s: float = 0.01
    tape: tp.Tape = field(default_factory=tp.Tape)
    _ticker: asyncio.Task[None] | None = None
    stalled_s: float = 0.0

    def __post_init__(self) -> None:
        self.now = asyncio.get_running_loop().time
        self.feeds = FeedTape(self.tape, 0, len(SETTINGS["familyInfo"]["caps"]), self.now)
        self._ticker = asyncio.ensure_future(self._tick())
        self.tape.add(tp.AgentUp(self.now(), 0))
        self.hook(self.rig)
        self.feeds.list_sent(list(self.rig.discovery.entries.values()), True)
        self.feeds.stage_sent(self.rig.desk.state, True)

    def hook(self, rig: Rig) -> None:
        """Record what the discovery and platform of this rig send."""
        self.feeds.hook(rig.discovery, rig.desk)

    async def _tick(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(TICK_S)
            self.stalled_s = max(self.stalled_s, self.now() - before - TICK_S)

    def feeds_broken(self, *feeds: str) -> None:
        """Note that the connections of these feeds break now: updates may be lost until they reconnect."""
        self.feeds.feeds_broken(*feeds)

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
                server_number(entry),
                incarnation(entry),
                entry["version_no"],
                "north",
                self.work_s,
            )
        )

    def started(self, one: Appliance, capacity: float) -> None:
        """Record that an appliance has started cold; `capacity` in core seconds per second, once it is warm."""
        entry = self.entry(one)
        self.tape.add(
            tp.Started(self.now(), server_number(entry), incarnation(entry), entry["version_no"], capacity, True)
        )

    def entry(self, one: Appliance) -> dict[str, Any]:
        """Return the discovery entry of an appliance."""
        return self.rig.discovery.entries[f"s-{self.rig.appliances.index(one)}"]

    # --- the verdict ---
    def judge(self, **rules: Any) -> Report:
        """Judge the tape by the three rules, with these figures instead of the rig's."""
        if self._ticker:
            self._ticker.cancel()
        for feed in list(self.feeds.broken_since):
            self.feeds.record_break(feed)
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
