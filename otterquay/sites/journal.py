"""A coordinator's journal: each act is on its disk before it takes effect, until the group has taken it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from otterquay.cores.effects import Effects
from otterquay.duties.commands import MAX_ACTS, Act
from otterquay.duties.token import Token

JOURNAL = "site-journal"
ACTS_KEPT = 1024  # acts of one coordinator; at the bound it orders and lowers no further


def _key(token: Token, number: int) -> bytes:
    return token.group.to_bytes(8) + token.term.to_bytes(8) + number.to_bytes(4)


class Journal:
    """Acts by coordinator's token; a token with no act yet has a mark, so that its journal is handed over as
    well.
    """

    def __init__(self, rows: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self.acts: dict[Token, dict[int, Act | None]] = {}
        for key, value in rows:
            token = Token(int.from_bytes(key[:8]), int.from_bytes(key[8:16]))
            act: Act | None = msgspec.msgpack.decode(value, type=Act | None)
            self.acts.setdefault(token, {})[int.from_bytes(key[16:])] = act

    def begin(self, token: Token, out: Effects) -> None:
        """A coordinator's first word."""
        self._put(token, 0, None, out)

    def _put(self, token: Token, number: int, act: Act | None, out: Effects) -> None:
        self.acts.setdefault(token, {})[number] = act
        out.write(JOURNAL, _key(token, number), msgspec.msgpack.encode(act))

    def full(self, token: Token) -> bool:
        """Whether it takes no more."""
        return len(self.acts.get(token, ())) > ACTS_KEPT

    def add(self, token: Token, act: Act, out: Effects) -> int:
        """One more act; its number."""
        number = max(self.acts.get(token, {0: None})) + 1
        self._put(token, number, act, out)
        return number

    def update(self, token: Token, number: int, act: Act, out: Effects) -> None:
        """What became of an act."""
        if number in self.acts.get(token, {}):
            self._put(token, number, act, out)

    def pieces(self, token: Token) -> list[list[Act]]:
        """The acts that may have taken effect, in pieces that fit a command; one empty piece for none."""
        known = [act for _, act in sorted(self.acts.get(token, {}).items()) if act]
        acts = [act for act in known if act.sent or act.what == "cap"]
        return [acts[i : i + MAX_ACTS] for i in range(0, len(acts), MAX_ACTS)] or [[]]

    def drop(self, token: Token, out: Effects) -> None:
        """The group has taken it."""
        for number in self.acts.pop(token, {}):
            out.write(JOURNAL, _key(token, number), None)
