"""The platform's lines, without I/O: what its state, signs of life and answers say, and the calls it takes."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterquay import interface as it

LINE_MOST = 8191  # bytes; at 8 KiB a line ends the connection
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
_OTHER = {b"metrics", b"complaint"}  # told where the settings ask for them; their fields are not laid down


class Noise(ValueError):
    """A line that cannot be read: the connection can no longer be used."""


@dataclass(frozen=True, slots=True)
class State:
    """Where the newest build stands; the age in milliseconds."""

    build: int
    stage: int
    phase: it.Phase
    cap: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class Told:
    """A line that came unasked; None for a sign of life or news of a kind that is passed over."""

    state: State | None


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer to the oldest call that has none."""

    status: it.Status
    state: State | None


def parse_state(words: list[bytes], stages: int) -> State:
    """Five words; Noise for anything but a state that can be."""
    if len(words) != 5 or words[2] not in PHASES or not all(_NUMBER.fullmatch(words[i]) for i in (0, 1, 3, 4)):
        raise Noise(b" ".join(words)[:80].decode("latin-1"))
    if not (words[0].isdigit() and words[1].isdigit()):
        raise Noise(f"build {words[0]!r}, stage {words[1]!r}")
    build, stage, cap = int(words[0]), int(words[1]), float(words[3])
    if build > 0xFFFF or cap > 1 or (words[2] == b"testing" and stage >= stages) or stage > 0xFF:
        raise Noise(f"build {build}, stage {stage} of {stages}, cap {cap}")
    return State(build, stage, PHASES[words[2]], cap, float(words[4]))


def read_line(line: bytes, stages: int) -> Told | Answered:
    """What a line says, without its end; Noise if it says nothing."""
    words = line.split(b" ")
    if words[0] == b"*":
        if len(words) == 1 or words[1] in _OTHER:
            return Told(None)
        if words[1] == b"progress":
            return Told(parse_state(words[2:], stages))
    elif words[0] == b"OK":
        return Answered(it.Status.OK, parse_state(words[1:], stages) if len(words) > 1 else None)
    elif words[0] == b"ERR" and len(words) >= 2 and words[1] in ERRORS:
        return Answered(ERRORS[words[1]], None)
    raise Noise(line[:80].decode("latin-1"))


def say(vote: it.CastVote) -> bytes:
    """A vote's line."""
    return b"SAY %d %d %b\r\n" % (vote.build, vote.stage, VERDICTS[vote.verdict])
