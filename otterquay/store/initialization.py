"""Creates a store in an empty folder or upgrades one of version 1; both are resumed after a crash at any step."""

from __future__ import annotations

from otterquay.store import format as fm
from otterquay.store import format1
from otterquay.store.definitions import (
    IDENTITY_FILE,
    MAX_GROUP_BYTES,
    PART_SUFFIX,
    StoreCorrupted,
    new_segment,
    segment_name,
)
from otterquay.store.engine import Store
from otterquay.store.files import Files, numbered


async def initialize(store: Store) -> None:
    """Create or upgrade the store, and finish a creation or upgrade that a crash interrupted."""
    files = store.files
    names = files.names()
    for name in names:
        if name.endswith(PART_SUFFIX):
            files.remove(name)
    segments = numbered(names, ".seg")
    if IDENTITY_FILE in names:
        check_identity(files)
        if format1.has_files(names):  # an upgrade was complete, but not all old files were removed
            await _remove_old(files, names)
        return
    old = format1.has_files(names)
    if not old and segments and (segments != [1] or files.size(segment_name(1)) > fm.HEADER_SIZE):
        raise StoreCorrupted(IDENTITY_FILE, 0, "file is missing, though the folder has segments")
    for number in segments:
        files.remove(segment_name(number))
    if segments:
        await files.sync_folder()
    if old:
        await _upgrade(store, names)
    else:
        await new_segment(files, 1, 1)
    part = IDENTITY_FILE + PART_SUFFIX
    files.create(part)
    files.append(part, fm.write_header(fm.IDENTITY, 0, 0))
    await files.sync(part)
    files.rename(part, IDENTITY_FILE)
    await files.sync_folder()
    if old:
        await _remove_old(files, names)


def check_identity(files: Files) -> None:
    """Check that the folder is a store of a known version; StoreCorrupted if not."""
    try:
        fm.read_header(files.read(IDENTITY_FILE), fm.IDENTITY, 0)
    except fm.FormatError as error:
        raise StoreCorrupted(IDENTITY_FILE, error.offset, error.reason) from None


async def _upgrade(store: Store, names: list[str]) -> None:
    """Write all keys of a version 1 store into the first segment."""
    files, name = store.files, segment_name(1)
    try:
        values = format1.read_all(names, files.read)
    except format1.FormatError as error:
        where, _, reason = error.reason.partition(": ")
        raise StoreCorrupted(where, error.offset, f"version 1: {reason}") from None
    files.create(name)
    files.append(name, fm.write_header(fm.SEGMENT, 1, 1))
    content: list[bytes] = []
    size = sequence = 0
    items = list(values.items())
    for i, ((table, key), value) in enumerate(items):
        content.append(fm.write_entry(1, table.encode(), key, value))
        size += len(content[-1])
        if size >= MAX_GROUP_BYTES or i == len(items) - 1:
            sequence += 1
            files.append(name, fm.write_record(1, fm.GROUP, sequence, fm.Timestamp(0, 0), b"".join(content)))
            content, size = [], 0
    await files.sync(name)
    await files.sync_folder()
    store.log.warning("store_upgraded", version=fm.VERSION, keys=len(values))


async def _remove_old(files: Files, names: list[str]) -> None:
    for name in names:
        if name.endswith((".log", ".base")):
            files.remove(name)
    await files.sync_folder()
