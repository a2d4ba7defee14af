"""The yard as an HTTP server, with late and lost answers and lost requests. It checks nothing itself."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from otterquay.duties.token import Token
from otterquay.duties.yard_orders import Answer, Request
from otterquay.protocol.http import HttpRequest, write_response
from otterquay.standins.http import Listener, Peer
from otterquay.standins.yard_ledger import YardLedger


def read_request(http: HttpRequest) -> tuple[int, Request] | None:
    """Parse agent and request; None without a valid agent, token or method."""
    try:
        agent = int(http.headers.get(b"otterquay-agent", b""))
        token = Token.parse(http.headers.get(b"otterquay-token", b"").decode("latin-1"))
    except ValueError:
        return None
    key = http.headers.get(b"idempotency-key", b"").decode("latin-1").strip('"')
    match = http.headers.get(b"if-match", b"").decode("latin-1")
    method = http.method.decode("latin-1")
    if method not in ("GET", "POST", "PUT", "DELETE"):
        return None
    return agent, Request(method, http.target.decode("latin-1"), token, key, match, http.body)  # type: ignore[arg-type]


def write_answer(answer: Answer) -> bytes:
    """The bytes of an answer. A stale token is answered with the newest one, all else with the resource's ETag."""
    name = b"otterquay-fence" if answer.status == 409 else b"etag"
    headers = [(b"content-type", b"application/json")] + ([(name, answer.etag.encode())] if answer.etag else [])
    return write_response(answer.status, headers, answer.body)


@dataclass(slots=True, eq=False)
class Yard:
    """Drops the shares `lose` of answers and `lose_asked` of requests; delays answers by up to `late_s`."""

    ledger: YardLedger
    rng: random.Random
    lose: float = 0.0
    lose_asked: float = 0.0
    late_s: float = 0.0
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        self.listener = Listener(self._request)

    async def start(self) -> str:
        """Listen; returns HOST:PORT."""
        return await self.listener.start()

    def close(self) -> None:
        """Stop."""
        self.listener.close()

    def _request(self, peer: Peer, http: HttpRequest) -> None:
        loop = asyncio.get_running_loop()
        if self.rng.random() < self.lose_asked:
            return
        asked = read_request(http)
        answer = Answer(400) if asked is None else self.ledger.answer(loop.time(), *asked)
        if self.rng.random() < self.lose:
            return
        if self.late_s:
            loop.call_later(self.rng.random() * self.late_s, peer.send, write_answer(answer))
        else:
            peer.send(write_answer(answer))
