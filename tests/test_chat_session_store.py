"""Tests of the chat tables of an agent's store on simulated time and an in-memory disk."""

from __future__ import annotations

import asyncio
import errno

from otterquay.chat.hub import Persist, StoredEntry, StoredSession
from otterquay.chat.session_store import SessionStore
from otterquay.lab.disk import FaultDisk
from otterquay.lab.simloop import simulate
from otterquay.logs import silent
from otterquay.store import Put, Store, open_store

SESSION = 5
REMOVAL = Persist(SESSION, "", None)


async def store_with_a_session(disk: FaultDisk) -> tuple[Store, SessionStore]:
    store = await open_store(disk, silent(), asyncio.get_running_loop().time)
    sessions = SessionStore(store, silent())
    sessions.save(Persist(SESSION, "", StoredSession("tenant", "name", "player", [1])))
    for number in (SESSION, SESSION + 1):
        sessions.save(Persist(number, "written", StoredEntry("text")))
    await store.commit([Put("x", b"", b"")])
    return store, sessions


def test_a_session_is_removed_though_its_records_cannot_be_read() -> None:
    """Guards against a read error of the store that reached the hub's actions and left out the later ones."""

    async def work() -> None:
        disk = FaultDisk()
        store, sessions = await store_with_a_session(disk)

        def unreadable(operation: str, name: str) -> None:
            if operation == "read":
                raise OSError(errno.EIO, "Input/output error")

        disk.fail = unreadable
        sessions.save(REMOVAL)
        await store.commit([Put("x", b"", b"")])
        assert store.tables() == {"chat.entry": 1, "x": 1}

    simulate(work(), 1)


def test_a_session_that_ends_leaves_no_entry_that_waited_for_the_disk() -> None:
    """Guards against an entry that became durable after the entries to remove were listed, and stayed for ever."""

    async def work() -> None:
        store, sessions = await store_with_a_session(FaultDisk())
        sessions.save(Persist(SESSION, "waiting", StoredEntry("text")))
        sessions.save(REMOVAL)
        await store.commit([Put("x", b"", b"")])
        await asyncio.sleep(0.1)
        assert store.tables() == {"chat.entry": 1, "x": 1}

    simulate(work(), 1)


def test_nothing_is_stored_after_a_record_that_the_store_did_not_take() -> None:
    """Guards against entries of a session whose own record is missing, which would stay for ever."""

    async def work() -> None:
        disk = FaultDisk()
        store, sessions = await store_with_a_session(disk)
        disk.capacity = 0
        sessions.save(Persist(SESSION + 2, "", StoredSession("tenant", "name", "player", [1])))
        await asyncio.sleep(0.1)
        assert store.failed
        disk.capacity = None
        store.start_repair()
        await asyncio.sleep(0.1)
        sessions.save(Persist(SESSION + 2, "written", StoredEntry("text")))
        await store.commit([Put("x", b"", b"")])
        assert store.tables() == {"chat.entry": 2, "chat.session": 1, "x": 1}

    simulate(work(), 1)
