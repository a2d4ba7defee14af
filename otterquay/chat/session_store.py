"""Persistence of chat sessions over a restart: writes the hub's records to tables of the store and loads them.

Writes are asynchronous, and nothing waits for the disk: a session or command whose record was not yet durable is
lost in a restart, as all are without a store. After the first record that the store did not take, none is written:
later ones would not fit those on the disk. To keep a command from running twice, a restored session answers
`unknown` to a command of before the restart that its records do not answer, and never runs it again.
"""

from __future__ import annotations

import asyncio

import msgspec

from otterquay.chat.hub import Persist, StoredEntry, StoredSession, StoredSessions
from otterquay.logs import Logger
from otterquay.store import Change, Delete, Put, Store

INCARNATION_TABLE, SESSION_TABLE, ENTRY_TABLE = "chat", "chat.session", "chat.entry"


class SessionStore:
    """The chat tables in the store of one agent."""

    def __init__(self, store: Store, log: Logger) -> None:
        self._store, self._log = store, log
        self._lacks_records = False  # a record was lost

    def load(self, new_incarnation: int) -> StoredSessions:
        """Load all records, and the incarnation that their tokens name.

        `new_incarnation` is stored and used where none is stored yet; it is used, too, when loading fails.
        """
        try:
            incarnation = self._store.get(INCARNATION_TABLE, b"life")
            if incarnation is None:
                self._submit([Put(INCARNATION_TABLE, b"life", new_incarnation.to_bytes(8))])
                return StoredSessions(new_incarnation, {})
            sessions: dict[int, tuple[StoredSession, dict[str, StoredEntry]]] = {}
            for key, value in self._store.scan(SESSION_TABLE):
                sessions[int.from_bytes(key)] = msgspec.msgpack.decode(value, type=StoredSession), {}
            for key, value in self._store.scan(ENTRY_TABLE):
                if found := sessions.get(int.from_bytes(key[:8])):
                    found[1][key[8:].decode()] = msgspec.msgpack.decode(value, type=StoredEntry)
            return StoredSessions(int.from_bytes(incarnation), sessions)
        except Exception as error:  # every session is lost then, as without a store
            self._log.warning("chat_recall_failed", reason=f"{type(error).__name__}: {error}")
            return StoredSessions(new_incarnation, {})

    def save(self, action: Persist) -> None:
        """Write or delete a record."""
        session_key = action.session.to_bytes(8)
        changes: list[Change]
        match action.record:
            case StoredSession():
                changes = [Put(SESSION_TABLE, session_key, msgspec.msgpack.encode(action.record))]
            case StoredEntry():
                changes = [
                    Put(ENTRY_TABLE, session_key + action.id.encode(), msgspec.msgpack.encode(action.record))
                ]
            case None if action.id:
                changes = [Delete(ENTRY_TABLE, session_key + action.id.encode())]
            case None:
                return self._remove(action.session)
        self._submit(changes)

    def _submit(self, changes: list[Change]) -> asyncio.Future[None] | None:
        written = None if self._lacks_records else self._store.submit(changes)
        if written:
            written.add_done_callback(self._written)
        else:
            self._stop_writing()
        return written

    def _written(self, written: asyncio.Future[None]) -> None:
        if written.exception():
            self._stop_writing()

    def _stop_writing(self) -> None:
        if not self._lacks_records:
            self._lacks_records = True
            self._log.warning("chat_no_longer_stored")

    def _remove(self, session: int) -> None:
        """Remove a session and its entries, also those that wait for the disk and are not listed yet."""

        def remove_late_entries(_: asyncio.Future[None]) -> None:
            if removals := self._entry_removals(session):
                self._submit(removals)

        changes = [Delete(SESSION_TABLE, session.to_bytes(8)), *self._entry_removals(session)]
        if removed := self._submit(changes):
            removed.add_done_callback(remove_late_entries)

    def _entry_removals(self, session: int) -> list[Change]:
        """The removals of a session's entries; the entries are not read."""
        with self._store.view() as view:
            keys = view.keys(ENTRY_TABLE, session.to_bytes(8), (session + 1).to_bytes(8))
            return [Delete(ENTRY_TABLE, key) for key in keys]
