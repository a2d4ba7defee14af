"""Requests to the yard, and one order carried there until it is done: asked again under one id, never under two."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Name, Number
from otterquay.duties.token import Token


class Request(msgspec.Struct, frozen=True):
    """One HTTP request: `key` goes as Idempotency-Key, `match` as If-Match; the token always goes along."""

    method: Literal["GET", "POST", "PUT", "DELETE"]
    path: str
    token: Token
    key: str = ""
    match: str = ""
    body: bytes = b""


class Answer(msgspec.Struct, frozen=True):
    """Its answer; status 0 for none: it may have taken effect or not."""

    status: int
    etag: str = ""
    body: bytes = b""


class YardOrder(msgspec.Struct, frozen=True):
    """An order as the yard has it."""

    id: Name
    kind: Name
    count: int
    started: int
    token: str
    cancelled: bool = False


class SiteListing(msgspec.Struct, frozen=True):
    """A site as the yard has it: orders, servers that ended by themselves, the newest token seen."""

    orders: Annotated[list[YardOrder], Meta(max_length=4096)]
    alive: dict[str, int]
    ended: dict[str, Number]
    fence: str


class OrderBody(msgspec.Struct, frozen=True):
    """The body of an order."""

    kind: Name
    count: int


STATUS_STALE_TOKEN, STATUS_CHANGED = 409, 412
RETRY_DELAY_S, ANSWER_TIMEOUT_S = 0.4, 3.0
MAX_ATTEMPTS = 6  # with the yard answering and starting only a part: then the rest is cancelled


@dataclass(slots=True)
class PendingOrder:
    """One order on its way. `step` gives the next request, `answer` what came of it."""

    site: str
    id: str
    kind: str
    count: int
    token: Token
    tries: int = 0
    next_at: float = 0.0
    out: bool = False
    started: int = 0
    final: bool = False
    stale: bool = False
    cancel: bool = False
    etag: str = ""

    def step(self, now: float) -> Request | None:
        """A request to be sent now."""
        if self.final or self.stale or self.out or now < self.next_at:
            return None
        self.out, self.next_at = True, now + ANSWER_TIMEOUT_S
        path = f"/sites/{self.site}/orders"
        if self.cancel:
            return Request("DELETE", f"{path}/{self.id}", self.token, self.id, self.etag)
        return Request(
            "POST", path, self.token, self.id, body=msgspec.json.encode(OrderBody(self.kind, self.count))
        )

    def overdue(self, now: float) -> None:
        """No answer came: it may have been done, so it is asked again under the same id."""
        if self.out and now >= self.next_at:
            self.out = False

    def answer(self, now: float, answer: Answer) -> None:
        """The yard's answer."""
        self.out, self.next_at = False, now + RETRY_DELAY_S
        if answer.status == STATUS_STALE_TOKEN:
            self.stale = True
        elif answer.status == STATUS_CHANGED:
            self.cancel, self.tries = False, MAX_ATTEMPTS - 1  # it has gone on meanwhile: look again
        elif answer.status in (200, 201, 202):
            try:
                found: YardOrder = msgspec.json.decode(answer.body, type=YardOrder)
            except msgspec.MsgspecError:
                return  # spoilt: asked again
            if found.id != self.id:
                return
            self.started, self.etag = found.started, answer.etag
            self.final = found.cancelled or abs(found.started) >= abs(self.count)
            self.tries += 1
            if not self.final and self.tries >= MAX_ATTEMPTS:
                self.cancel = True
