"""An embedded store for one writer: a log in segments, an index in memory, compaction into bases, recovery."""

from otterquay.store.engine import Damaged, Store, StoreFailed

__all__ = ["Damaged", "Store", "StoreFailed"]
