"""An embedded store for one writer: a log in segments, an index in memory, compaction of the oldest, recovery."""

from otterquay.store.engine import Change, Damaged, Delete, Options, Put, Store, StoreFailed, View
from otterquay.store.recovery import open_store

__all__ = ["Change", "Damaged", "Delete", "Options", "Put", "Store", "StoreFailed", "View", "open_store"]
