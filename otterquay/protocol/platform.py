"""Codec of the platform's line protocol, without I/O: state notifications, heartbeats, answers and votes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterquay import interface as it

MAX_LINE_BYTES = 8191  # lines of 8 KiB and more end the connection
PHASES = {
    b"testing": it.Phase.TRIAL,
    b"recalling": it.Phase.GOING_BACK,
    b"live": it.Phase.RELEASED,
    b"recalled": it.Phase.WITHDRAWN,
}
VERDICTS = {
    it.Verdict.NONE: b"WITHDRAW",
    it.Verdict.ON: b"PROCEED",
    it.Verdict.HOLD: b"HOLD",
    it.Verdict.BACK: b"ROLLBACK",
}
ERRORS = {
    b"Throttling": it.Status.FULL,
    b"ConditionFailed": it.Status.MOOT,
    b"InternalFailure": it.Status.ERROR,
    b"ValidationError": it.Status.MOOT,  # unknown call or field: handled like a vote on an outdated state
}
_NUMBER = re.compile(rb"\d{1,12}(\.\d{1,9})?(e[+-]?\d{1,2})?")
IGNORED_KINDS = {b"metrics", b"complaint"}  # sent if the settings ask for them; their fields are not specified


class MalformedLine(ValueError):
    """A line that cannot be parsed; the connection can no longer be used."""


@dataclass(frozen=True, slots=True)
class BuildState:
    """Stage of the newest build; `age_ms` is the age of this state."""

    build: int
    stage: int
    phase: it.Phase
    cap: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Notification:
    """An unsolicited line; `state` is None for a heartbeat or a notification of an ignored kind."""

    state: BuildState | None


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to the oldest unanswered call."""

    status: it.Status
    state: BuildState | None


def parse_state(arguments: list[bytes], stages: int) -> BuildState:
    """Parse the five arguments of a state; MalformedLine if they are malformed or out of range."""
    if (
        len(arguments) != 5
        or arguments[2] not in PHASES
        or not all(_NUMBER.fullmatch(arguments[i]) for i in (0, 1, 3, 4))
    ):
        raise MalformedLine(b" ".join(arguments)[:80].decode("latin-1"))
    if not (arguments[0].isdigit() and arguments[1].isdigit()):
        raise MalformedLine(f"build {arguments[0]!r}, stage {arguments[1]!r}")
    build, stage, cap = int(arguments[0]), int(arguments[1]), float(arguments[3])
    if build > 0xFFFF or cap > 1 or (arguments[2] == b"testing" and stage >= stages) or stage > 0xFF:
        raise MalformedLine(f"build {build}, stage {stage} of {stages}, cap {cap}")
    return BuildState(build, stage, PHASES[arguments[2]], cap, float(arguments[4]))


def parse_line(line: bytes, stages: int) -> Notification | CallAnswer:
    """Parse a line without its line ending; MalformedLine if that fails."""
    arguments = line.split(b" ")
    if arguments[0] == b"*":
        if len(arguments) == 1 or arguments[1] in IGNORED_KINDS:
            return Notification(None)
        if arguments[1] == b"progress":
            return Notification(parse_state(arguments[2:], stages))
    elif arguments[0] == b"OK":
        return CallAnswer(it.Status.OK, parse_state(arguments[1:], stages) if len(arguments) > 1 else None)
    elif arguments[0] == b"ERR" and len(arguments) >= 2 and arguments[1] in ERRORS:
        return CallAnswer(ERRORS[arguments[1]], None)
    raise MalformedLine(line[:80].decode("latin-1"))


def encode_vote(vote: it.CastVote) -> bytes:
    """Encode a vote as a line."""
    return b"SAY %d %d %b\r\n" % (vote.build, vote.stage, VERDICTS[vote.verdict])
