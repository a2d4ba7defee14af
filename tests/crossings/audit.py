"""An auditor of the rules on RESP: it judges by what appliances got and clients saw, whatever the agent believes.

`broken` lists what was broken, in words. An attempt counts once its last byte has come; it is over when its answer
has been written whole, or when either side has closed its connection.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from otterquay.agent.sockets import peer_closed
from tests.noderig import Appliance, Behave

UNRUN = b"-BUSY"


@dataclass(slots=True)
class Try:
    """One attempt as its appliance saw it."""

    words: list[bytes]
    writer: asyncio.StreamWriter
    answer: bytes | None = None

    def out(self) -> bool:
        """Whether it is out on an open connection."""
        return self.answer is None and not self.writer.is_closing() and not peer_closed(self.writer.transport)


@dataclass(slots=True)
class Audit:
    """Stands between an appliance and what it is told to do; `effects` names each class's effect."""

    effects: dict[bytes, str]
    tries: dict[bytes, list[Try]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def watch(self, one: Appliance, behave: Behave) -> None:
        """Let an appliance behave so, and judge what it gets."""

        def watched(place: Appliance, writer: asyncio.StreamWriter, words: list[bytes]) -> None:
            if words[0] in (b"SVC.QUERY", b"SVC.SUBMIT"):
                self._came(words, writer)
            behave(place, writer, words)

        one.behave = watched

    def answered(self, words: list[bytes], writer: asyncio.StreamWriter, answer: bytes) -> None:
        """An appliance writes its answer to a command."""
        for attempt in self.tries.get(words[2], []):
            if attempt.writer is writer and attempt.answer is None:
                attempt.answer = answer
        if not writer.is_closing():
            writer.write(answer)

    def _came(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        before = self.tries.setdefault(words[2], [])
        options = dict(item.split(b"=", 1) for item in words[3].split(b","))
        effect = self.effects[options[b"c"]]
        if any(attempt.out() for attempt in before):
            self.broken.append(f"a second copy of {words[2].decode()} while one was out")
        ran = [attempt for attempt in before if not (attempt.answer or b"").startswith(UNRUN)]
        if effect == "at_most_once" and ran:
            self.broken.append(f"{words[2].decode()} may have run and was sent again")
        if before and (before[0].words[1], before[0].words[4:]) != (words[1], words[4:]):
            self.broken.append(f"{words[2].decode()} was changed on its way")
        if not 0 < int(options[b"d"]) < 10**9:
            self.broken.append(f"{words[2].decode()} tells {options[b'd'].decode()} ms")
        before.append(Try(words, writer))

    def finals(self, asked: list[bytes], got: list[bytes], owed: set[bytes]) -> None:
        """What one connection asked for, by id, its final answers in order, and those that were taken: all that are
        `owed` an answer must have it. Others may have crossed a close: clients send them again."""
        if len(got) > len(asked):
            self.broken.append(f"{len(got)} answers to {len(asked)} commands")
        if missing := [id.decode() for id in asked[len(got) :] if id in owed]:
            self.broken.append(f"no answer to {missing}")
        for id, answer in zip(asked, got, strict=False):
            if not answer.startswith(b"-") and answer != b"for " + id:
                self.broken.append(f"{id.decode()} was served {answer[:40]!r}")

    def counts(self) -> Counter[str]:
        """How many requests had how many attempts."""
        return Counter(f"{len(tries)} attempts" for tries in self.tries.values())
