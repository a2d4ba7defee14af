"""Audits the request rules on RESP by what appliances received and clients saw, independent of the agent's state.

`broken` lists the violations. An attempt counts once its last byte has been received; it ends when its answer has
been written completely, or when either side has closed the connection.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from otterquay.agent.sockets import peer_closed
from otterquay.standins.resp import Appliance, Behave

NOT_RUN_PREFIX = b"-BUSY"


@dataclass(slots=True)
class ReceivedAttempt:
    """One attempt as its appliance received it."""

    words: list[bytes]
    writer: asyncio.StreamWriter
    received_at: float = 0.0  # on the event loop's clock
    answer: bytes | None = None
    direct: bool = True  # without a relay, so that a close by the agent is seen at once

    @property
    def name(self) -> str:
        """The addresses of its connection, the agent's first."""
        ends = (self.writer.get_extra_info(end) for end in ("peername", "sockname"))
        return " to ".join(str(end[1]) if end else "?" for end in ends)

    def in_progress(self) -> bool:
        """Whether it is unanswered on an open connection; unknown, hence false, behind a relay."""
        return self.direct and self.answer is None and self._is_open()

    def _is_open(self) -> bool:
        return not self.writer.is_closing() and not peer_closed(self.writer.transport)


@dataclass(slots=True)
class Audit:
    """Wraps the behaviour of appliances to record their attempts; `effects` maps each class to its effect."""

    effects: dict[bytes, str]
    tries: dict[bytes, list[ReceivedAttempt]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def watch(self, one: Appliance, behave: Behave, direct: bool = True) -> None:
        """Make an appliance behave like this, and check each request that it receives.

        `direct` is whether agents reach it without a relay, which may hide that they closed a connection.
        """

        def watched(place: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
            if words[0] in (b"SVC.QUERY", b"SVC.SUBMIT"):
                self._record_attempt(words, writer, direct)
            behave(place, writer, words)

        one.behave = watched

    def answered(self, words: list[bytes], writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Record and write an appliance's answer to a command."""
        for attempt in self.tries.get(words[2], []):
            if attempt.writer is writer and attempt.answer is None:
                attempt.answer = answer
        if not writer.is_closing():
            writer.write(answer)

    def _record_attempt(self, words: list[bytes], writer: asyncio.StreamWriter, direct: bool) -> None:
        before = self.tries.setdefault(words[2], [])
        options = dict(item.split(b"=", 1) for item in words[3].split(b","))
        effect = self.effects[options[b"c"]]
        attempt = ReceivedAttempt(words, writer, asyncio.get_running_loop().time(), direct=direct)
        for earlier in before:
            if earlier.in_progress():
                after_s = attempt.received_at - earlier.received_at
                copies = f"{attempt.name}, {after_s:.4f} s after {earlier.name}"
                self.broken.append(f"a second copy of {words[2].decode()} while one was out: {copies}")
        ran = [earlier for earlier in before if not (earlier.answer or b"").startswith(NOT_RUN_PREFIX)]
        if effect == "at_most_once" and ran:
            self.broken.append(f"{words[2].decode()} may have run and was sent again")
        if before and (before[0].words[1], before[0].words[4:]) != (words[1], words[4:]):
            self.broken.append(f"{words[2].decode()} was changed on its way")
        if not 0 < int(options[b"d"]) < 10**9:
            self.broken.append(f"{words[2].decode()} tells {options[b'd'].decode()} ms")
        before.append(attempt)

    def check_answers(self, asked: list[bytes], got: list[bytes], owed: set[bytes]) -> None:
        """Check the answers on one connection against the ids that it asked for, in order.

        Every request in `owed` must have an answer. Others may have been sent while the agent closed the
        connection; clients send those again.
        """
        if len(got) > len(asked):
            self.broken.append(f"{len(got)} answers to {len(asked)} commands")
        if missing := [id.decode() for id in asked[len(got) :] if id in owed]:
            self.broken.append(f"no answer to {missing}")
        for id, answer in zip(asked, got, strict=False):
            if not answer.startswith(b"-") and answer != b"for " + id:
                self.broken.append(f"{id.decode()} was served {answer[:40]!r}")

    def counts(self) -> Counter[str]:
        """Count the requests by their number of attempts."""
        return Counter(f"{len(tries)} attempts" for tries in self.tries.values())
