"""Makes the log of a failed store fit for writing again, without reading it anew.

What the index shows was synced; of what came after, nothing is known. A sync that failed may have left pages that
the kernel takes for clean (fsync(2)), so all that may be affected is removed or written again and then synced:

- The active segment is cut back to its last synced record, and the page that the cut falls in is rewritten.
- A next segment that was begun is removed once that cut is durable.
- Compaction begins again at the oldest segment that the log needs: moves of the failed record were lost.
- A page is written and cut off again, then a record is written: a disk that is still full is noticed here.

A crash at any step leaves a state that opening repairs (`recovery.py`). The batches that had failed are not
written: those who submitted them do that.
"""

from __future__ import annotations

from typing import Protocol

from otterquay.store import format as fm
from otterquay.store.definitions import Segment, segment_name
from otterquay.store.files import Files, numbered
from otterquay.store.reserve import Reserve

PAGE_BYTES = 4096


class RepairableStore(Protocol):
    """What a repair needs of a store; the fields are those of `engine.Store`."""

    files: Files
    segments: dict[int, Segment]
    active_segment: int
    trimmed_to: int
    reserve: Reserve

    def restart_compaction(self) -> None: ...

    async def append(self, kind: int, content: bytes) -> None: ...

    async def remove_segment(self, number: int) -> None: ...


async def repair_log(store: RepairableStore) -> None:
    """Repair the log of a store that writes nothing meanwhile. OSError: it is as unfit as before."""
    files = store.files
    await store.reserve.sync()
    store.restart_compaction()
    await _rewrite_end(files, segment_name(store.active_segment), store.segments[store.active_segment].size)
    for number in numbered(files.names(), ".seg"):
        if number > store.active_segment:
            files.remove(segment_name(number))
    await files.sync_folder()
    for number in numbered(files.names(), ".seg"):
        if number < store.trimmed_to:
            await store.remove_segment(number)
    await store.append(fm.TRIM, fm.write_trim(store.trimmed_to))


async def _rewrite_end(files: Files, name: str, size: int) -> None:
    files.truncate(name, size)  # also if it seems done: a sync that failed after it may have lost that
    files.write_at(name, size, bytes(PAGE_BYTES))  # fails where the next records would
    files.truncate(name, size)
    page_start = size - size % PAGE_BYTES
    files.write_at(name, page_start, files.read(name, page_start, size - page_start))
    await files.sync(name)
