"""Requests to the yard, and the state of one order until it is complete: retries always use the order's one id."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Name, Number
from otterquay.duties.token import Token


class Request(msgspec.Struct, frozen=True):
    """One HTTP request. `key` is sent as Idempotency-Key, `match` as If-Match; the token is always sent."""

    method: Literal["GET", "POST", "PUT", "DELETE"]
    path: str
    token: Token
    key: str = ""
    match: str = ""
    body: bytes = b""


class Answer(msgspec.Struct, frozen=True):
    """The answer to a request; status 0 means that none came, so the request may have taken effect or not."""

    status: int
    etag: str = ""
    body: bytes = b""


class YardOrder(msgspec.Struct, frozen=True):
    """An order as the yard reports it."""

    id: Name
    kind: Name
    count: int
    started: int
    token: str
    cancelled: bool = False


class SiteListing(msgspec.Struct, frozen=True):
    """A site as the yard reports it: orders, servers alive, servers ended by themselves, the newest token seen."""

    orders: Annotated[list[YardOrder], Meta(max_length=4096)]
    alive: dict[str, int]
    ended: dict[str, Number]
    fence: str


class OrderBody(msgspec.Struct, frozen=True):
    """The request body that places an order."""

    kind: Name
    count: int


STATUS_STALE_TOKEN, STATUS_CHANGED = 409, 412
RETRY_DELAY_S, ANSWER_TIMEOUT_S = 0.4, 3.0
MAX_ATTEMPTS = 6  # answered attempts that start only a part of an order before the rest is cancelled


@dataclass(slots=True)
class PendingOrder:
    """One order that is not yet complete. `step` returns the next request, `answer` handles its answer."""

    site: str
    id: str
    kind: str
    count: int
    token: Token
    attempts: int = 0
    next_at: float = 0.0
    in_flight: bool = False
    started: int = 0
    final: bool = False
    stale: bool = False
    cancel: bool = False
    etag: str = ""

    def step(self, now: float) -> Request | None:
        """Returns the request to send now, if any."""
        if self.final or self.stale or self.in_flight or now < self.next_at:
            return None
        self.in_flight, self.next_at = True, now + ANSWER_TIMEOUT_S
        path = f"/sites/{self.site}/orders"
        if self.cancel:
            return Request("DELETE", f"{path}/{self.id}", self.token, self.id, self.etag)
        return Request(
            "POST", path, self.token, self.id, body=msgspec.json.encode(OrderBody(self.kind, self.count))
        )

    def overdue(self, now: float) -> None:
        """Lets a request be retried whose answer is overdue; it may have taken effect, so the id stays the same."""
        if self.in_flight and now >= self.next_at:
            self.in_flight = False

    def answer(self, now: float, answer: Answer) -> None:
        """Handles the yard's answer."""
        self.in_flight, self.next_at = False, now + RETRY_DELAY_S
        if answer.status == STATUS_STALE_TOKEN:
            self.stale = True
        elif answer.status == STATUS_CHANGED:
            self.cancel, self.attempts = False, MAX_ATTEMPTS - 1  # the order has changed: read it again
        elif answer.status in (200, 201, 202):
            try:
                found: YardOrder = msgspec.json.decode(answer.body, type=YardOrder)
            except msgspec.MsgspecError:
                return  # malformed: retried
            if found.id != self.id:
                return
            self.started, self.etag = found.started, answer.etag
            self.final = found.cancelled or abs(found.started) >= abs(self.count)
            self.attempts += 1
            if not self.final and self.attempts >= MAX_ATTEMPTS:
                self.cancel = True
