"""What the end of an attempt on a socket means to the decision module: one table, each row with its reason.

What proves that an attempt never ran lets the module send again what must not run twice; so a row may say
`FULL`, `CONNECT_FAILED` or `MOOT` only where not one byte of the request can have reached working code.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from otterquay.interface import Status

NOT_SEEN_HEADER = (b"otterquay-seen", b"no")


class End(Enum):
    """How an attempt ended, as the sockets show it."""

    ANSWER = "an answer below 500"
    SERVER_ERROR = "an answer of 500 or more"
    TURNED_AWAY = "503 that says not seen"
    GARBAGE = "bytes that are no answer, or one over the bound"
    MISMATCH = "an answer to another attempt"
    NO_CONNECTION = "no connection in time, refused, or no descriptor left"
    CLOSED = "the connection closed or reset under a written request"
    CLOSED_UNSENT = "the connection closed before the last byte of a request was written that runs only when whole"
    OVERDUE = "no answer by the time given"
    OVERDUE_CONNECTING = "no connection by the time given"
    CALLED_OFF = "cancelled after it was written"
    CALLED_OFF_CONNECTING = "cancelled while connecting"
    NOT_STARTED = "over, unknown or past its time before anything was done"


@dataclass(frozen=True, slots=True)
class Meaning:
    """The status told, whether that proves that nothing ran, and why."""

    status: Status
    never_ran: bool
    reason: str


END_MEANINGS: dict[End, Meaning] = {
    End.ANSWER: Meaning(Status.OK, False, "the appliance answered; below 500 the answer is the client's affair"),
    End.SERVER_ERROR: Meaning(Status.ERROR, False, "it failed while or after working on it"),
    End.TURNED_AWAY: Meaning(Status.FULL, True, "the appliance vouches that it did not look at it"),
    End.GARBAGE: Meaning(Status.ERROR, False, "the request was read by something; what it did is unknown"),
    End.MISMATCH: Meaning(Status.RESET, False, "the connection is out of step; our request was written on it"),
    End.NO_CONNECTION: Meaning(Status.CONNECT_FAILED, True, "no byte of the request left"),
    End.CLOSED: Meaning(
        Status.RESET,
        False,
        "a stale keep-alive connection looks the same as one whose "
        "appliance read the request and died: nothing is proved",
    ),
    End.CLOSED_UNSENT: Meaning(Status.CONNECT_FAILED, True, "an appliance begins only what it has whole"),
    End.OVERDUE: Meaning(Status.TIMEOUT, False, "it may have run or may still run"),
    End.OVERDUE_CONNECTING: Meaning(Status.CONNECT_FAILED, True, "the request did not leave whole"),
    End.CALLED_OFF: Meaning(Status.CANCELLED, False, "closing the connection may or may not have stopped it"),
    End.CALLED_OFF_CONNECTING: Meaning(Status.MOOT, True, "the request did not leave whole"),
    End.NOT_STARTED: Meaning(Status.MOOT, True, "nothing was sent"),
}


def end_of_answer(status: int, headers: dict[bytes, bytes]) -> End:
    """Which row a whole answer belongs to."""
    if status < 500:
        return End.ANSWER
    if status == 503 and headers.get(NOT_SEEN_HEADER[0], b"").strip().lower() == NOT_SEEN_HEADER[1]:
        return End.TURNED_AWAY
    return End.SERVER_ERROR
