"""Records on the tape what the RESP stand-ins for discovery and platform send to one agent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Literal

from otterquay.protocol.platform import PHASES, parse_state
from otterquay.standins import tape as tp
from otterquay.standins.resp import Desk, Discovery

STATES: dict[str, Literal["ready", "draining", "gone"]] = {
    "in_service": "ready",
    "terminating": "draining",
    "terminated": "gone",
}
_PHASE_NAMES: dict[bytes, Literal["trial", "going_back", "released", "withdrawn"]] = {
    b"testing": "trial",
    b"recalling": "going_back",
    b"live": "released",
    b"recalled": "withdrawn",
}


def server_number(entry: dict[str, Any]) -> int:
    """Return the number on the tape of a server whose id ends in `-NUMBER`."""
    return 1 + int(entry["instanceId"].rpartition("-")[2])


def incarnation(entry: dict[str, Any]) -> int:
    """Return a number that differs for each start and each build of a server."""
    return 1 + int(entry.get("startedAtMs", 0)) * 100 + int(entry["version_no"])


@dataclass
class FeedTape:
    """What agent `agent` is told; `stages` is the number of stages of a rollout, `now` the clock in seconds."""

    tape: tp.Tape
    agent: int
    stages: int
    now: Callable[[], float]
    broken_since: dict[str, float] = field(default_factory=dict)  # by feed, "list" or "stage"
    _last_entries: dict[str, Any] = field(default_factory=dict)

    def hook(self, discovery: Discovery, desk: Desk) -> None:
        """Record what these stand-ins send."""
        discovery.on_sent, desk.on_sent = self.list_sent, self.stage_sent

    def feeds_broken(self, *feeds: str) -> None:
        """Note that the connections of these feeds break now: updates may be lost until they reconnect."""
        for feed in feeds:
            self.broken_since.setdefault(feed, self.now())

    def record_break(self, feed: str) -> None:
        """Record the end of an interruption of a feed, if there is one."""
        if since := self.broken_since.pop(feed, None):
            self.tape.add(tp.Severed(self.now(), [self.agent], since, False, 0.0))

    def list_sent(self, entries: list[dict[str, Any]], whole: bool) -> None:
        """Record a list or a delta that discovery sends."""
        if whole:
            self.record_break("list")
            named = {entry["instanceId"] for entry in entries}
            entries = entries + [
                {**entry, "lifecycle": "terminated"} for id, entry in self._last_entries.items() if id not in named
            ]
            self._last_entries = {}
        for entry in entries:
            self._last_entries[entry["instanceId"]] = entry
            state, build = STATES[entry["lifecycle"]], entry["version_no"]
            self.tape.add(
                tp.ToldServer(self.now(), self.agent, server_number(entry), state, build, incarnation(entry))
            )

    def stage_sent(self, state: bytes, first: bool) -> None:
        """Record a stage that the platform sends, as the first message of a connection or later."""
        if first:
            self.record_break("stage")
        told = parse_state(state.split(b" "), self.stages)
        phase = _PHASE_NAMES[next(word for word, one in PHASES.items() if one is told.phase)]
        self.tape.add(tp.ToldStage(self.now(), self.agent, told.build, told.stage, phase, told.cap))
