"""The platform's lines, without I/O: what its state, signs of life and answers say, and the calls it takes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterquay import interface as it

MAX_LINE_BYTES = 8191  # bytes; at 8 KiB a line ends the connection
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
    b"ValidationError": it.Status.MOOT,  # no such call or field here: as good as a state that has passed
}
_NUMBER = re.compile(rb"\d{1,12}(\.\d{1,9})?(e[+-]?\d{1,2})?")
IGNORED_KINDS = {b"metrics", b"complaint"}  # told where the settings ask for them; their fields are not laid down


class MalformedLine(ValueError):
    """A line that cannot be read: the connection can no longer be used."""


@dataclass(frozen=True, slots=True)
class BuildState:
    """Where the newest build stands; the age in milliseconds."""

    build: int
    stage: int
    phase: it.Phase
    cap: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Notification:
    """A line that came unasked; None for a sign of life or news of a kind that is passed over."""

    state: BuildState | None


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """The answer to the oldest call that has none."""

    status: it.Status
    state: BuildState | None


def parse_state(arguments: list[bytes], stages: int) -> BuildState:
    """Five words; Noise for anything but a state that can be."""
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
    """What a line says, without its end; Noise if it says nothing."""
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
    """A vote's line."""
    return b"SAY %d %d %b\r\n" % (vote.build, vote.stage, VERDICTS[vote.verdict])
