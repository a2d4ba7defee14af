"""RESP towards appliances: what an attempt looks like, and which row of the table an answer belongs to."""

from __future__ import annotations

import math
from collections.abc import Sequence

from otterquay.agent.outcomes import End
from otterquay.agent.ports import ClientRequest, FinalAnswer
from otterquay.protocol import resp


class RespSpeech:
    """The platform's words; `names` are the load report's fields with their spellings."""

    runs_when_whole = True  # an appliance begins a command once its last byte has come

    def __init__(self, names: Sequence[Sequence[bytes]]) -> None:
        self._names = names

    def parser(self) -> resp.AnswerParser:
        """For one connection."""
        return resp.AnswerParser()

    def tag(self, request: int, attempt: int) -> bytes:
        """By which an attempt is known here; appliances are not told it."""
        return b"%d-%d" % (request, attempt)

    def attempt(self, ask: ClientRequest, tag: bytes, address: str, left_ms: float) -> bytes:
        """The client's own command; only `d` tells how long we will wait."""
        words: list[bytes] = ask.message
        left = b"d=%d" % max(1, math.ceil(left_ms))
        options = b",".join([left if item.startswith(b"d=") else item for item in words[3].split(b",")])
        return resp.command([*words[:3], options, *words[4:]])

    def probe(self, server: int, address: str) -> tuple[bytes, bytes]:
        """Asks for the load report."""
        return b"probe-%d" % server, resp.command([b"INFO", b"load"])

    def end(self, tag: bytes, answer: resp.Answer) -> End:
        """Which row an answer belongs to."""
        if answer.kind == b"*" or (answer.kind == b"$" and tag.startswith(b"probe-")):
            return End.ANSWER
        if answer.kind == b"-":
            words = answer.value.split(b" ")
            return End.TURNED_AWAY if words[0] == b"BUSY" and len(words) <= 2 else End.SERVER_ERROR
        return End.GARBAGE  # an answer to something else than a request

    def load(self, answer: resp.Answer) -> tuple[float, ...]:
        """Its load report."""
        report = answer.value if answer.kind == b"$" else answer.load
        if answer.kind == b"-":
            report = answer.value.rpartition(b" ")[2]
        return resp.load_report(report, self._names)

    def final(self, answer: resp.Answer) -> FinalAnswer:
        """The value, which is what the client gets."""
        return FinalAnswer("served", body=answer.value)
