"""The requests of the soak's clients, each with what its client saw of it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from otterquay.lab.soak.process import ProcessRun
from otterquay.protocol import resp

MAX_DRAWN_DEADLINE_S = 3.0  # of most requests, so that a day ends soon after its events
LONG_SHARE = 0.1  # of the requests tell the whole deadline of their class, however long
SHORT_SHARE = 0.05  # of the requests have nearly no time left
SHORT_MS = (1, 30)


@dataclass(slots=True, eq=False)
class Request:
    """One request. Times are on the event loop's clock; `sent_at` is that of its last byte."""

    id: bytes
    cls: str
    tenant: str
    words: list[bytes]
    deadline_s: float
    run: ProcessRun  # the run of the agent that it was sent to
    sent_at: float = 0.0
    due_from: float = 0.0  # when the answer before it on its connection came, or `sent_at`
    answer: resp.Answer | None = None
    answered_at: float | None = None
    closed_at: float | None = None  # when its connection ended with no answer to it
    left_at: float | None = None  # when its client went away
    owed: bool = True  # whether its client kept to the protocol, so that it has to get an answer
    resent: bool = False  # whether it crossed the close of its connection and was to be sent again on a new one
    crossed_at: float | None = None  # when the connection that it was first sent on ended
    reopened_at: float | None = None  # when the connection for sending it again was up
    turned_away: resp.Answer | None = None  # the error that a connection began with, so that nothing was sent on it
    refused_at: float | None = None  # when the connection for sending it again was refused

    @property
    def encoded(self) -> bytes:
        """Its bytes on the wire."""
        return resp.encode_command(self.words)


class RequestMaker:
    """Draws requests of a customer's classes and tenants, with ids that never repeat."""

    def __init__(self, rng: random.Random, settings: dict[str, Any], body_bytes: int = 0) -> None:
        self._rng, self._body_bytes = rng, body_bytes
        self._classes: list[dict[str, Any]] = settings["requestClasses"]
        self._tenants = [str(tenant["name"]) for tenant in settings["tenants"]]
        self._made = 0

    def make(self, run: ProcessRun) -> Request:
        """Draw one request to this run of an agent."""
        self._made += 1
        cls = self._rng.choice(self._classes)
        tenant = self._rng.choice(self._tenants or [""])
        id = b"%016x" % (self._made << 24 | self._rng.getrandbits(24))
        deadline_ms = self._deadline_ms(cls["deadlineMs"])
        options = [f"c={cls['name']}", f"d={deadline_ms}"]
        if tenant:
            options.insert(1, f"t={tenant}")
        if cls["effect"] == "deduplicated":
            options.append(f"k={self._rng.getrandbits(64):016x}")
        key = b"%016x" % self._rng.getrandbits(64)
        words = [key, id, ",".join(options).encode()]
        if cls["effect"] == "idempotent":
            words = [b"SVC.QUERY", *words]
        else:
            words = [b"SVC.SUBMIT", *words, (b"body of " + id).ljust(self._body_bytes, b".")]
        return Request(id, cls["name"], tenant, words, deadline_ms / 1e3, run)

    def _deadline_ms(self, longest_ms: float) -> int:
        drawn = self._rng.random()
        if drawn < SHORT_SHARE:
            return self._rng.randint(*SHORT_MS)
        if drawn < SHORT_SHARE + LONG_SHARE:
            return int(longest_ms)
        return max(1, int(min(longest_ms, MAX_DRAWN_DEADLINE_S * 1e3) * self._rng.uniform(0.3, 1.0)))
