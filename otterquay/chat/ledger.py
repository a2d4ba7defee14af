"""What of the chat sessions is kept over a restart: records of the hub to and from the store's tables.

Nothing waits for the disk: a session or command whose record had not lasted is, after a restart, one that nobody
knows of, as all are without a store. So that this is no worse under the rules, a restored session gives `unknown`
and never another run for a command that its records do not answer.
"""

from __future__ import annotations

import msgspec

from otterquay.chat.hub import Keep, KeptEntry, KeptSession, Recalled
from otterquay.logs import Logger
from otterquay.store import Change, Delete, Put, Store

LIFE, SESSIONS, ENTRIES = "chat", "chat.session", "chat.entry"


class Ledger:
    """The tables of one agent's chat."""

    def __init__(self, store: Store, log: Logger) -> None:
        self._store, self._log = store, log

    def recall(self, fresh: int) -> Recalled:
        """What was kept, with the life that its tokens name; `fresh` is that of a hub that begins with nothing."""
        try:
            life = self._store.get(LIFE, b"life")
            if life is None:
                self._store.submit([Put(LIFE, b"life", fresh.to_bytes(8))])
                return Recalled(fresh, {})
            sessions: dict[int, tuple[KeptSession, dict[str, KeptEntry]]] = {}
            for key, value in self._store.scan(SESSIONS):
                sessions[int.from_bytes(key)] = msgspec.msgpack.decode(value, type=KeptSession), {}
            for key, value in self._store.scan(ENTRIES):
                if found := sessions.get(int.from_bytes(key[:8])):
                    found[1][key[8:].decode()] = msgspec.msgpack.decode(value, type=KeptEntry)
            return Recalled(int.from_bytes(life), sessions)
        except Exception as error:  # without it all tokens are orphans, as without a store
            self._log.warning("chat_recall_failed", reason=f"{type(error).__name__}: {error}")
            return Recalled(fresh, {})

    def keep(self, action: Keep) -> None:
        """Write a record, or remove one."""
        at = action.session.to_bytes(8)
        changes: list[Change]
        match action.record:
            case KeptSession():
                changes = [Put(SESSIONS, at, msgspec.msgpack.encode(action.record))]
            case KeptEntry():
                changes = [Put(ENTRIES, at + action.id.encode(), msgspec.msgpack.encode(action.record))]
            case None if action.id:
                changes = [Delete(ENTRIES, at + action.id.encode())]
            case None:
                changes = [
                    Delete(SESSIONS, at),
                    *(
                        Delete(ENTRIES, key)
                        for key, _ in self._store.scan(ENTRIES, at, (action.session + 1).to_bytes(8))
                    ),
                ]
        self._store.submit(changes)
