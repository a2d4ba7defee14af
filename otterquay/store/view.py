"""Read-only snapshots of a store while writers go on."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from otterquay.store.index import Index, Undo


class ViewSource(Protocol):
    """What a view needs of its store."""

    index: Index

    def read_value(self, place: int) -> bytes:
        """The value of the entry at a place. OSError, StoreCorrupted: it cannot be read."""

    def close_view(self, undo: Undo) -> None:
        """Drop a view's undo log."""


class View:
    """A snapshot of a store. Close it or use it as a context manager: an open view keeps old segments on disk."""

    def __init__(self, store: ViewSource, undo: Undo) -> None:
        self._store, self._undo, self._closed = store, undo, False

    def __enter__(self) -> View:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def get(self, table: str, key: bytes) -> bytes | None:
        """The value that a key had, or None. OSError, StoreCorrupted: it cannot be read."""
        if self._closed:
            raise ValueError("the view is closed")
        place = self._store.index.find(table, key, 0, self._undo)
        return None if place is None else self._store.read_value(place)

    def keys(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[bytes]:
        """Keys from `first` up to but without `before` in order; their records are not read."""
        for key in self._store.index.keys(table, first, before, self._undo):
            if self._store.index.find(table, key, 0, self._undo) is not None:
                yield key

    def scan(self, table: str, first: bytes = b"", before: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from `first` up to but without `before` in order, with their values."""
        for key in self._store.index.keys(table, first, before, self._undo):
            value = self.get(table, key)
            if value is not None:
                yield key, value

    def close(self) -> None:
        """Release the segments and old entries that were kept for this view."""
        if not self._closed:
            self._closed = True
            self._store.close_view(self._undo)
