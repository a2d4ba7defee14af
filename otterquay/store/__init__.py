"""An embedded store for one writer: a log in segments, an index in memory, compaction of the oldest, recovery."""

from otterquay.store.definitions import Change, Delete, Options, Put, StoreCorrupted, StoreFailed
from otterquay.store.engine import Store
from otterquay.store.recovery import open_store
from otterquay.store.view import View

__all__ = ["Change", "Delete", "Options", "Put", "Store", "StoreCorrupted", "StoreFailed", "View", "open_store"]
