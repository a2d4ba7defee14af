"""Parses a client's SVC.QUERY or SVC.SUBMIT command into a request, by the names in the settings."""

from __future__ import annotations

import re
from dataclasses import dataclass

from otterquay import interface as it
from otterquay.agent.input_budget import request_size
from otterquay.agent.ports import ClientRequest
from otterquay.protocol.http import ProtocolError

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
TOKEN = re.compile(rb"[!-+\--~]{1,128}")  # printable ASCII without comma or space
DEADLINE = re.compile(rb"\d{1,9}(\.\d{1,6})?")


@dataclass(slots=True)
class RequestReader:
    """Parses commands; `classes` and `tenants` map the names in the settings to their indices."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    settings: it.Settings

    @staticmethod
    def from_settings(settings: it.Settings) -> RequestReader:
        return RequestReader(
            {c.name.encode(): i for i, c in enumerate(settings.classes)},
            {t.name.encode(): i for i, t in enumerate(settings.tenants)},
            settings,
        )

    def read(self, arguments: list[bytes]) -> ClientRequest:
        """Parse a command; ProtocolError names the invalid field and the values that it allows."""
        is_query = arguments[0] == QUERY
        if len(arguments) != (4 if is_query else 5):
            raise ProtocolError(400, "wrong number of arguments")
        for option, argument in (("key", arguments[1]), ("id", arguments[2])):
            if not TOKEN.fullmatch(argument):
                raise ProtocolError(400, f"{option}: 1 to 128 printable characters")
        options: dict[bytes, bytes] = {}
        for item in arguments[3].split(b","):
            name, equals, value = item.partition(b"=")
            if not equals or not TOKEN.fullmatch(name) or not TOKEN.fullmatch(value) or name in options:
                raise ProtocolError(400, "options: names with values, each once")
            options[name] = value
        cls = self.classes.get(options.get(b"c", b""))
        if cls is None:
            raise ProtocolError(400, f"c: one of {b', '.join(self.classes).decode()}")
        effect = self.settings.classes[cls].effect
        if is_query is not (effect is it.Effect.SAFE):
            raise ProtocolError(400, "c: not a class of this command")
        tenant = self.tenants.get(options.get(b"t", b""), None if self.tenants else 0)
        if tenant is None:
            raise ProtocolError(400, f"t: one of {b', '.join(self.tenants).decode()}")
        if not DEADLINE.fullmatch(options.get(b"d", b"")) or float(options[b"d"]) <= 0:
            raise ProtocolError(400, "d: a number of milliseconds")
        if effect is it.Effect.KEYED and b"k" not in options:
            raise ProtocolError(400, "k: wanted in this class")
        budget = min(float(options[b"d"]), self.settings.classes[cls].deadline_ms)
        size = request_size(sum(map(len, arguments)))
        return ClientRequest(arguments, cls, tenant, arguments[1], budget, None, options.get(b"r") == b"1", size)
