"""A coordinator's journal: each act is persisted before it takes effect and kept until its handover."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties.commands import MAX_ACTS, Act
from otterquay.duties.token import Token

JOURNAL = "site-journal"
MAX_JOURNAL_ACTS = 1024  # per coordinator; beyond this it neither orders nor lowers caps


def _key(token: Token, number: int) -> bytes:
    return token.group.to_bytes(8) + token.term.to_bytes(8) + number.to_bytes(4)


class Journal:
    """Acts by coordinator's token. Each token has an empty entry 0, so even an empty journal is handed over."""

    def __init__(self, rows: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self.acts: dict[Token, dict[int, Act | None]] = {}
        for key, value in rows:
            token = Token(int.from_bytes(key[:8]), int.from_bytes(key[8:16]))
            act: Act | None = msgspec.msgpack.decode(value, type=Act | None)
            self.acts.setdefault(token, {})[int.from_bytes(key[16:])] = act

    def open_term(self, token: Token, out: Effects) -> None:
        """Open the journal of a new coordinator."""
        self._put(token, 0, None, out)

    def _put(self, token: Token, number: int, act: Act | None, out: Effects) -> None:
        self.acts.setdefault(token, {})[number] = act
        out.write(JOURNAL, _key(token, number), msgspec.msgpack.encode(act))

    def is_full(self, token: Token) -> bool:
        """Whether no more acts are accepted."""
        return len(self.acts.get(token, ())) > MAX_JOURNAL_ACTS

    def add(self, token: Token, act: Act, out: Effects) -> int:
        """Append an act and return its number."""
        number = max(self.acts.get(token, {0: None})) + 1
        self._put(token, number, act, out)
        return number

    def update(self, token: Token, number: int, act: Act, out: Effects) -> None:
        """Replace an act by its newer state."""
        if number in self.acts.get(token, {}):
            self._put(token, number, act, out)

    def pieces(self, token: Token) -> list[list[Act]]:
        """Return the acts that may have taken effect, in pieces that fit a command; at least one, maybe empty."""
        known = [act for _, act in sorted(self.acts.get(token, {}).items()) if act]
        acts = [act for act in known if act.sent or act.what == "cap"]
        return [acts[i : i + MAX_ACTS] for i in range(0, len(acts), MAX_ACTS)] or [[]]

    def remove(self, token: Token, out: Effects) -> None:
        """Remove a journal after its handover."""
        for number in self.acts.pop(token, {}):
            out.write(JOURNAL, _key(token, number), None)
