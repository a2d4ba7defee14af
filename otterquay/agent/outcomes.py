"""Maps how an attempt ended on its socket to the status that the decision module gets, with a reason for each row.

A status that proves that an attempt never ran lets the module repeat a request that must not run twice. A row may
therefore use `FULL`, `CONNECT_FAILED` or `MOOT` only if no byte of the request can have reached working code.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from otterquay.interface import Status

NOT_SEEN_HEADER = (b"otterquay-seen", b"no")


class End(Enum):
    """How an attempt ended, as seen at its socket."""

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
class EndMeaning:
    """The status for the module, whether it proves that the request never ran, and the reason."""

    status: Status
    never_ran: bool
    reason: str


END_MEANINGS: dict[End, EndMeaning] = {
    End.ANSWER: EndMeaning(Status.OK, False, "the appliance answered; below 500 the answer is the client's affair"),
    End.SERVER_ERROR: EndMeaning(Status.ERROR, False, "it failed while or after working on it"),
    End.TURNED_AWAY: EndMeaning(Status.FULL, True, "the appliance vouches that it did not look at it"),
    End.GARBAGE: EndMeaning(Status.ERROR, False, "the request was read by something; what it did is unknown"),
    End.MISMATCH: EndMeaning(Status.RESET, False, "the connection is out of step; our request was written on it"),
    End.NO_CONNECTION: EndMeaning(Status.CONNECT_FAILED, True, "no byte of the request left"),
    End.CLOSED: EndMeaning(
        Status.RESET,
        False,
        "a stale keep-alive connection looks the same as one whose "
        "appliance read the request and died: nothing is proved",
    ),
    End.CLOSED_UNSENT: EndMeaning(Status.CONNECT_FAILED, True, "an appliance begins only what it has whole"),
    End.OVERDUE: EndMeaning(Status.TIMEOUT, False, "it may have run or may still run"),
    End.OVERDUE_CONNECTING: EndMeaning(Status.CONNECT_FAILED, True, "the request did not leave whole"),
    End.CALLED_OFF: EndMeaning(Status.CANCELLED, False, "closing the connection may or may not have stopped it"),
    End.CALLED_OFF_CONNECTING: EndMeaning(Status.MOOT, True, "the request did not leave whole"),
    End.NOT_STARTED: EndMeaning(Status.MOOT, True, "nothing was sent"),
}


def end_of_answer(status: int, headers: dict[bytes, bytes]) -> End:
    """Classify a complete answer by its status and headers."""
    if status < 500:
        return End.ANSWER
    if status == 503 and headers.get(NOT_SEEN_HEADER[0], b"").strip().lower() == NOT_SEEN_HEADER[1]:
        return End.TURNED_AWAY
    return End.SERVER_ERROR
