"""A store as it was at one moment, while others go on writing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from otterquay.store.index import Undo

if TYPE_CHECKING:
    from otterquay.store.engine import Store


class View:
    """The store as it was when this was taken. Close it, or use it in a `with`: it keeps segments on the disk."""

    def __init__(self, store: Store, undo: Undo) -> None:
        self._store, self._undo, self._closed = store, undo, False

    def __enter__(self) -> View:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def get(self, table: str, key: bytes) -> bytes | None:
        """The value that a key had, None when there was none. OSError, Damaged: it cannot be read."""
        if self._closed:
            raise ValueError("the view is closed")
        at = self._store.index.find(table, key, 0, self._undo)
        return None if at is None else self._store.read_value(at)

    def scan(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `first` to under `before` in order, with their values."""
        for key in self._store.index.keys(table, first, before, self._undo):
            value = self.get(table, key)
            if value is not None:
                yield key, value

    def close(self) -> None:
        """Let go of what was kept for this view."""
        if not self._closed:
            self._closed = True
            self._store.close_view(self._undo)
