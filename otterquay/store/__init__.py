"""An embedded single-writer key-value store: a segmented log, an in-memory index, compaction and crash recovery."""

from otterquay.store.boot import read_boot_id
from otterquay.store.definitions import Change, Delete, Options, Put, StoreCorrupted, StoreFailed
from otterquay.store.engine import Store
from otterquay.store.recovery import open_store
from otterquay.store.view import View

__all__ = [
    "Change",
    "Delete",
    "Options",
    "Put",
    "Store",
    "StoreCorrupted",
    "StoreFailed",
    "View",
    "open_store",
    "read_boot_id",
]
