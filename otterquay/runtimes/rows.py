"""Evidence of run times as rows that merge: the same rows in any order, any number of times, give the same state.

A row is one agent's, of one of its lives and one epoch, for a class, kind, server and build: counts by bin of the
log of the time. It only grows, under a version of its own; of two with the same key the later version stands. What
was cut off by a time-out is counted apart (it ran at least so long), and so is what had to wait behind other work
(it ran at most so long): neither is left out, neither passes for a run time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay.cores.bounds import Agent, Number

BINS, STEP, LEAST_MS = 96, 0.125, 1.0  # from 1 ms on, each bin 13% longer: up to 160 s
EPOCHS = 8  # kept; older ones count for nothing
MAX_ROWS = 20_000
Bin = Annotated[int, Meta(ge=0, lt=BINS)]
Count = Annotated[int, Meta(ge=0, le=2**32)]
Word = Annotated[str, Meta(min_length=1, max_length=32)]


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What a row is about."""

    agent: Agent
    life: Number
    epoch: Number
    cls: Word
    kind: Word
    server: Number
    build: Number


class Row(msgspec.Struct, array_like=True):
    """Counts by bin: run alone, at most (it waited as well), at least (it was given up)."""

    version: Number = 0
    exact: dict[Bin, Count] = {}
    at_most: dict[Bin, Count] = {}
    at_least: dict[Bin, Count] = {}


def bin_of(ms: float) -> int:
    """The bin of a time; the ends take what is beyond."""
    return min(max(int(math.log(max(ms, LEAST_MS) / LEAST_MS) / STEP), 0), BINS - 1)


def middle(at: int) -> float:
    """The log of a bin's middle, in ms."""
    return math.log(LEAST_MS) + (at + 0.5) * STEP


class Rows:
    """All rows that an agent holds."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}
        self.newest = 0  # epoch
        self.changes = 0  # how often anything was noted, taken or dropped

    def record(self, key: Key, ms: float, alone: bool, timed_out: bool) -> None:
        """One more attempt of our own."""
        if key not in self.rows and len(self.rows) >= MAX_ROWS:
            return
        row = self.rows.setdefault(key, Row())
        bins = row.at_least if timed_out else row.exact if alone else row.at_most
        at = bin_of(ms)
        bins[at] = bins.get(at, 0) + 1
        row.version += 1
        self.changes += 1

    def merge(self, told: Iterable[tuple[Key, Row]], sender: int | None = None) -> int:
        """Take rows that are newer than what is held; how many were. A sender speaks for itself alone."""
        taken = 0
        for key, row in told:
            if sender is not None and key.agent != sender:
                continue
            held = self.rows.get(key)
            if (
                (held is None or row.version > held.version)
                and key.epoch > self.newest - EPOCHS
                and (held is not None or len(self.rows) < MAX_ROWS)
            ):
                self.rows[key] = row
                taken += 1
        self.changes += taken
        return taken

    def age(self, epoch: int) -> None:
        """Another epoch: what is too old goes."""
        self.newest = max(self.newest, epoch)
        self.changes += 1
        for key in [k for k in self.rows if k.epoch <= self.newest - EPOCHS]:
            del self.rows[key]

    def of(self, agent: int) -> list[tuple[Key, Row]]:
        """One agent's rows."""
        return sorted(((k, r) for k, r in self.rows.items() if k.agent == agent), key=lambda item: item[0])


Told = list[tuple[Key, Row]]
_DECODER: msgspec.msgpack.Decoder[Told] = msgspec.msgpack.Decoder(Told)


def encode(rows: Told) -> bytes:
    """As bytes."""
    return msgspec.msgpack.encode(rows)


def decode(data: bytes) -> Told:
    """From bytes; ValueError for what is none, or out of range."""
    return _DECODER.decode(data)
