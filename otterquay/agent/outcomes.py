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

    ANSWER = "an answer with a status below 500"
    SERVER_ERROR = "an answer with a status of 500 or above"
    TURNED_AWAY = "a 503 marked as not seen by the appliance"
    GARBAGE = "a malformed answer, or one over the size bound"
    MISMATCH = "an answer with the tag of another attempt"
    NO_CONNECTION = "the connect timed out, was refused, or found no free descriptor"
    CLOSED = "the connection was closed or reset after the request was written"
    CLOSED_UNSENT = "the connection was closed before the last byte of a request that runs only once complete"
    OVERDUE = "no answer within the time limit"
    OVERDUE_CONNECTING = "no connection within the time limit"
    CALLED_OFF = "cancelled after the request was written"
    CALLED_OFF_CONNECTING = "cancelled while connecting, or before all of the request had left the process"
    NOT_STARTED = "already ended, unknown or past its time limit before anything was sent"


@dataclass(frozen=True, slots=True)
class EndMeaning:
    """The status for the module, whether it proves that the request never ran, and the reason."""

    status: Status
    never_ran: bool
    reason: str


END_MEANINGS: dict[End, EndMeaning] = {
    End.ANSWER: EndMeaning(
        Status.OK, False, "the appliance answered; an answer below 500 is for the client to judge"
    ),
    End.SERVER_ERROR: EndMeaning(Status.ERROR, False, "the appliance failed, possibly after running the request"),
    End.TURNED_AWAY: EndMeaning(Status.FULL, True, "the appliance states that it did not start the request"),
    End.GARBAGE: EndMeaning(Status.ERROR, False, "something read the request; whether it ran is unknown"),
    End.MISMATCH: EndMeaning(
        Status.RESET, False, "answers on the connection are out of order, and the request was written to it"
    ),
    End.NO_CONNECTION: EndMeaning(Status.CONNECT_FAILED, True, "no byte of the request was sent"),
    End.CLOSED: EndMeaning(
        Status.RESET,
        False,
        "a stale keep-alive connection looks the same as one whose "
        "appliance read the request and crashed, so nothing is proved",
    ),
    End.CLOSED_UNSENT: EndMeaning(Status.CONNECT_FAILED, True, "an appliance runs only complete requests"),
    End.OVERDUE: EndMeaning(Status.TIMEOUT, False, "it may have run or may still run"),
    End.OVERDUE_CONNECTING: EndMeaning(Status.CONNECT_FAILED, True, "the request was not sent completely"),
    End.CALLED_OFF: EndMeaning(Status.CANCELLED, False, "closing the connection may not have stopped it"),
    End.CALLED_OFF_CONNECTING: EndMeaning(Status.MOOT, True, "the request was not sent completely"),
    End.NOT_STARTED: EndMeaning(Status.MOOT, True, "nothing was sent"),
}


def end_of_answer(status: int, headers: dict[bytes, bytes]) -> End:
    """Classify a complete answer by its status and headers."""
    if status < 500:
        return End.ANSWER
    if status == 503 and headers.get(NOT_SEEN_HEADER[0], b"").strip().lower() == NOT_SEEN_HEADER[1]:
        return End.TURNED_AWAY
    return End.SERVER_ERROR
