"""What a client's command asks for, by the names that the settings give."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterquay import interface as it
from otterquay.agent.ports import ClientRequest
from otterquay.protocol.http import ProtocolError

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
_NAME = re.compile(rb"[!-+\--~]{1,128}")  # printable, no comma or blank
_DEADLINE = re.compile(rb"\d{1,9}(\.\d{1,6})?")


@dataclass(slots=True)
class AskReader:
    """Turns commands into asks by the names that the settings give."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    settings: it.Settings

    @staticmethod
    def of(settings: it.Settings) -> AskReader:
        return AskReader(
            {c.name.encode(): i for i, c in enumerate(settings.classes)},
            {t.name.encode(): i for i, t in enumerate(settings.tenants)},
            settings,
        )

    def read(self, words: list[bytes]) -> ClientRequest:
        """The ask in a command; ProtocolError names what is at fault and what it may be."""
        safe = words[0] == QUERY
        if len(words) != (4 if safe else 5):
            raise ProtocolError(400, "wrong number of arguments")
        for what, word in (("key", words[1]), ("id", words[2])):
            if not _NAME.fullmatch(word):
                raise ProtocolError(400, f"{what}: 1 to 128 printable characters")
        options: dict[bytes, bytes] = {}
        for item in words[3].split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or not _NAME.fullmatch(name) or not _NAME.fullmatch(value) or name in options:
                raise ProtocolError(400, "options: names with values, each once")
            options[name] = value
        cls = self.classes.get(options.get(b"c", b""))
        if cls is None:
            raise ProtocolError(400, f"c: one of {b', '.join(self.classes).decode()}")
        effect = self.settings.classes[cls].effect
        if safe is not (effect is it.Effect.SAFE):
            raise ProtocolError(400, "c: not a class of this command")
        tenant = self.tenants.get(options.get(b"t", b""), None if self.tenants else 0)
        if tenant is None:
            raise ProtocolError(400, f"t: one of {b', '.join(self.tenants).decode()}")
        if not _DEADLINE.fullmatch(options.get(b"d", b"")) or float(options[b"d"]) <= 0:
            raise ProtocolError(400, "d: a number of milliseconds")
        if effect is it.Effect.KEYED and b"k" not in options:
            raise ProtocolError(400, "k: wanted in this class")
        budget = min(float(options[b"d"]), self.settings.classes[cls].deadline_ms)
        return ClientRequest(words, cls, tenant, words[1], budget, None, options.get(b"r") == b"1")
