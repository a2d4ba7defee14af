"""Opens small stores on a given disk and clock, and reads them whole."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from otterquay.lab import torture as tt
from otterquay.logs import silent
from otterquay.store import Options, Store, open_store


async def open_test_store(
    files: Any,
    options: Options = tt.SMALL_OPTIONS,
    clock: Callable[[], float] = lambda: 0.0,
    boot_id: str | None = "boot 1",
) -> Store:
    return await open_store(files, silent(), clock, options, boot_id=boot_id)


def values(store: Store) -> dict[tuple[str, bytes], bytes]:
    return {table_key: value for table_key, (value, _) in tt.read_all(store).items()}
