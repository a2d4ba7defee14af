"""Run-time evidence as mergeable rows (a CRDT): merging is commutative, associative and idempotent.

A row belongs to one agent, incarnation and epoch, and to a class, kind, server and build. It holds histogram counts
over the log of the time. A row only grows, under its own version; of two rows with the same key the higher version
wins. Timed-out attempts (a lower bound of the run time) and attempts that queued behind others (an upper bound) are
counted separately: neither is dropped nor taken for a run time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Number

BIN_COUNT = 96
BIN_WIDTH = 0.125  # in log time: each bin is 13% longer than the one before, up to 160 s
MIN_MS = 1.0
MAX_EPOCHS = 8  # kept; older ones are dropped
MAX_ROWS = 20_000
Bin = Annotated[int, Meta(ge=0, lt=BIN_COUNT)]
Count = Annotated[int, Meta(ge=0, le=2**32)]
ShortText = Annotated[str, Meta(min_length=1, max_length=32)]


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Identifies a row."""

    agent: Agent
    incarnation: Number
    epoch: Number
    cls: ShortText
    kind: ShortText
    server: Number
    build: Number


class Row(msgspec.Struct, array_like=True):
    """Counts by bin: `exact` ran alone; `at_most` includes queueing; `at_least` was cut off by a timeout."""

    version: Number = 0
    exact: dict[Bin, Count] = {}
    at_most: dict[Bin, Count] = {}
    at_least: dict[Bin, Count] = {}


def bin_index(ms: float) -> int:
    """Return the bin of a time; times out of range fall into the first or last bin."""
    return min(max(int(math.log(max(ms, MIN_MS) / MIN_MS) / BIN_WIDTH), 0), BIN_COUNT - 1)


def bin_center(index: int) -> float:
    """Return the log of a bin's center, in ms."""
    return math.log(MIN_MS) + (index + 0.5) * BIN_WIDTH


class Rows:
    """All rows that an agent holds, its own and those received."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}
        self.newest = 0  # newest epoch
        self.changes = 0  # count of rows recorded, accepted or dropped

    def record(self, key: Key, ms: float, alone: bool, timed_out: bool) -> None:
        """Record one of this agent's attempts."""
        if key not in self.rows and len(self.rows) >= MAX_ROWS:
            return
        row = self.rows.setdefault(key, Row())
        bins = row.at_least if timed_out else row.exact if alone else row.at_most
        index = bin_index(ms)
        bins[index] = bins.get(index, 0) + 1
        row.version += 1
        self.changes += 1

    def merge(self, received: Iterable[tuple[Key, Row]], sender: int | None = None) -> int:
        """Accept rows newer than the known ones and return how many; a sender may only send its own rows."""
        accepted = 0
        for key, row in received:
            if sender is not None and key.agent != sender:
                continue
            known = self.rows.get(key)
            if (
                (known is None or row.version > known.version)
                and key.epoch > self.newest - MAX_EPOCHS
                and (known is not None or len(self.rows) < MAX_ROWS)
            ):
                self.rows[key] = row
                accepted += 1
        self.changes += accepted
        return accepted

    def set_epoch(self, epoch: int) -> None:
        """Enter an epoch and drop rows that are too old."""
        self.newest = max(self.newest, epoch)
        self.changes += 1
        for key in [k for k in self.rows if k.epoch <= self.newest - MAX_EPOCHS]:
            del self.rows[key]

    def rows_of(self, agent: int) -> list[tuple[Key, Row]]:
        """Return one agent's rows in the order of their keys."""
        return sorted(((k, r) for k, r in self.rows.items() if k.agent == agent), key=lambda item: item[0])


KeyedRows = list[tuple[Key, Row]]
_DECODER: msgspec.msgpack.Decoder[KeyedRows] = msgspec.msgpack.Decoder(KeyedRows)


def encode(rows: KeyedRows) -> bytes:
    """Encode rows."""
    return msgspec.msgpack.encode(rows)


def decode(data: bytes) -> KeyedRows:
    """Decode rows. Raises ValueError if they are malformed or out of range."""
    return _DECODER.decode(data)
