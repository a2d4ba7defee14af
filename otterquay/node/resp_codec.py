"""RESP towards appliances: encodes attempts and probes, and classifies answers."""

from __future__ import annotations

import math
from collections.abc import Sequence

from otterquay.agent.outcomes import End
from otterquay.agent.ports import ClientRequest, FinalAnswer
from otterquay.protocol import resp


class RespCodec:
    """Encodes and decodes the platform's RESP; `names` lists the accepted spellings of each load report field."""

    runs_when_whole = True  # an appliance executes a command only after receiving its last byte

    def __init__(self, names: Sequence[Sequence[bytes]]) -> None:
        self._names = names

    def parser(self) -> resp.AnswerParser:
        """A parser for one connection."""
        return resp.AnswerParser()

    def tag(self, request: int, attempt: int) -> bytes:
        """Identify an attempt in this process; the tag is not sent to appliances."""
        return b"%d-%d" % (request, attempt)

    def attempt(self, client_request: ClientRequest, tag: bytes, address: str, left_ms: float) -> bytes:
        """Encode the client's own command, with `d` set to the time left for this attempt."""
        arguments: list[bytes] = client_request.message
        left = b"d=%d" % max(1, math.ceil(left_ms))
        options = b",".join([left if item.startswith(b"d=") else item for item in arguments[3].split(b",")])
        return resp.encode_command([*arguments[:3], options, *arguments[4:]])

    def probe(self, server: int, address: str) -> tuple[bytes, bytes]:
        """Tag and command of a request for the load report."""
        return b"probe-%d" % server, resp.encode_command([b"INFO", b"load"])

    def end(self, tag: bytes, answer: resp.Answer) -> End:
        """Classify an answer as a row of the outcome table."""
        if answer.kind == b"*" or (answer.kind == b"$" and tag.startswith(b"probe-")):
            return End.ANSWER
        if answer.kind == b"-":
            arguments = answer.value.split(b" ")
            return End.TURNED_AWAY if arguments[0] == b"BUSY" and len(arguments) <= 2 else End.SERVER_ERROR
        return End.GARBAGE  # of a type that neither a request nor a probe is answered with

    def load(self, answer: resp.Answer) -> tuple[float, ...]:
        """The load report in an answer, empty if there is none."""
        report = answer.value if answer.kind == b"$" else answer.load
        if answer.kind == b"-":
            report = answer.value.rpartition(b" ")[2]
        return resp.parse_load_report(report, self._names)

    def final(self, answer: resp.Answer) -> FinalAnswer:
        """The answer for the client: the value that the appliance returned."""
        return FinalAnswer("served", body=answer.value)
