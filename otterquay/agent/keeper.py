"""What an agent keeps over a restart, and what of it may be told to the decision module again.

Each item must leave the agent no worse under the rules than one that begins with nothing:

- The server list goes to the module as a cached one, a kind of news that the first list to come replaces.
- Of the stage only what no later news can take back: builds before the newest one named are not on trial. How
  far that one was, and whether it was released or withdrawn, may have changed; it counts as not named yet, as
  it does without a store.
- Attempts on builds under a cap within the exposure window: they only forbid. The requests they were measured by
  are not kept, nor is what each server was sent.
- Where there is no way back, the build that answered a key: it only forbids. Over `KEYS_MOST` of them, once the
  build is released, one record stands for every key.
- Votes are written down for the operators and not restored: evidence that they rested on is gone.

Times in the store are its own; an attempt is put at the end of the quarter second that it fell in.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Mapping

import msgspec

from otterquay import interface as it
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.store import Change, Delete, Put, Store

BIN_MS = 250
LIST, STAGE, TRIED, ANSWERED, VOTES = "list", "stage", "tried", "answered", "votes"
_TRIED = struct.Struct(">QIH")  # end of the bin in store time, build, class
VOTES_KEPT_S = 7 * 86400.0
KEYS_MOST = 2**18
EVERY_KEY = (0).to_bytes(8)


class Keeper:
    """Writes an agent's state down; `window_ms` is the exposure window. Nothing here waits for the disk."""

    def __init__(self, store: Store, window_ms: float, log: Logger) -> None:
        self._store, self._window_ms, self._log = store, window_ms, log
        self._bin: dict[bytes, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._build = 0
        self._votes = self._keys = 0
        self._listed: dict[int, news.Entry] = {}

    # --- what is restored ---
    def recall(self, now_ms: float) -> tuple[news.FleetNews | None, list[it.Event]]:
        """The list held last, and events that tell the module the rest; what cannot be read is left out, logged."""
        fleet: news.FleetNews | None = None
        events: list[it.Event] = []
        try:
            for key, data in self._store.scan(LIST):
                self._listed[int.from_bytes(key)] = msgspec.json.decode(data, type=news.Entry)
            if self._listed:
                fleet = news.FleetNews(0, list(self._listed.values()))
            if stage := self._store.get(STAGE, b""):
                self._build = int(stage)
                if self._build > 0:
                    events.append(it.StageNews(self._build - 1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0,
                                               float("inf")))
            shift = now_ms - self._store.now()
            attempts = list[tuple[int, int, float]]()
            for key, value in self._store.scan(TRIED):
                until, build, cls = _TRIED.unpack(key)
                attempts += [(build, cls, min(until + shift, now_ms))] * int(value)
            answered = [(int.from_bytes(k), int(v)) for k, v in self._store.scan(ANSWERED)]
            self._keys = len(answered)
            if attempts or answered:
                events.append(it.Restored(tuple(attempts), tuple(answered)))
        except Exception as error:  # a damaged record costs what it held, never the start
            self._log.warning("recall_failed", reason=f"{type(error).__name__}: {error}")
        return fleet, events

    # --- what is written down ---
    def list(self, held: Mapping[int, news.Entry]) -> None:
        """The list as it is held now; what has changed since it was last told is written."""
        changes: list[Change] = [Delete(LIST, server.to_bytes(8)) for server in self._listed if server not in held]
        changes += [Put(LIST, server.to_bytes(8), msgspec.json.encode(entry)) for server, entry in held.items()
                    if self._listed.get(server) != entry]
        self._listed = dict(held)
        if changes:
            self._store.submit(changes)

    def stage(self, stage: it.StageNews) -> None:
        """The newest build named; one that goes back frees the keys that it answered."""
        cleared = stage.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN) or stage.build > self._build
        changes: list[Change] = []
        if cleared:
            changes += [Delete(ANSWERED, key) for key, _ in self._store.scan(ANSWERED)]
            self._keys = 0
        if stage.build > self._build:
            self._build = stage.build
            changes.append(Put(STAGE, b"", b"%d" % stage.build))
        if changes:
            self._store.submit(changes)

    def tried(self, build: int, cls: int) -> None:
        """An attempt on a build under a cap is sent."""
        until = (self._store.now() // BIN_MS + 1) * BIN_MS
        key = _TRIED.pack(until, build, cls)
        self._bin[key] = self._bin.get(key, 0) + 1
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(BIN_MS / 1e3, self.flush)

    def flush(self) -> None:
        """Hand the attempts of this bin to the store."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._bin:
            life = (self._window_ms + 4 * BIN_MS) / 1e3
            self._store.submit([Put(TRIED, key, b"%d" % count, life) for key, count in self._bin.items()])
            self._bin = {}

    def answered(self, key: int, build: int, capped: bool) -> None:
        """A keyed request was answered by this build, where there is no way back; `capped` while it is on trial."""
        at = key.to_bytes(8)
        known = [int(self._store.get(ANSWERED, one) or b"0") for one in (at, EVERY_KEY)]
        if build < self._build or max(known) >= build:
            return
        changes: list[Change] = []
        if not capped and self._keys >= KEYS_MOST:
            changes = [Delete(ANSWERED, one) for one, _ in self._store.scan(ANSWERED)]
            at, self._keys = EVERY_KEY, 0
        self._keys += not known[0]
        self._store.submit([*changes, Put(ANSWERED, at, b"%d" % build)])

    def voted(self, vote: it.CastVote) -> None:
        """A vote is cast."""
        self._votes += 1
        key = self._store.now().to_bytes(8) + self._votes.to_bytes(4)
        self._store.submit([Put(VOTES, key, msgspec.json.encode(
            {"build": vote.build, "stage": vote.stage, "verdict": vote.verdict.name.lower()}), VOTES_KEPT_S)])
