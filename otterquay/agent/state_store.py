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
from itertools import islice

import msgspec

from otterquay import interface as it
from otterquay.logs import Logger
from otterquay.protocol import news
from otterquay.store import Change, Delete, Put, Store

BIN_MS = 250
LIST, STAGE, TRIED, ANSWERED, VOTES = "list", "stage", "tried", "answered", "votes"
_TRIED = struct.Struct(">QIH")  # end of the bin in store time, build, class
VOTES_KEPT_S = 7 * 86400.0
MAX_ANSWERED_KEYS = 2**18
CLEARED_AT_ONCE = 1024
EVERY_KEY = (0).to_bytes(8)


class AgentStateStore:
    """Writes an agent's state down; `window_ms` is the exposure window. Nothing here waits for the disk."""

    def __init__(self, store: Store, window_ms: float, log: Logger) -> None:
        self._store, self._window_ms, self._log = store, window_ms, log
        self._bin: dict[bytes, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._build = 0
        self._votes = self._every = 0  # votes cast; the build that stands for every key
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
                    events.append(
                        it.StageNews(self._build - 1, 0, it.Phase.RELEASED, False, it.Status.OK, 1.0, float("inf"))
                    )
            shift = now_ms - self._store.now()
            attempts = list[tuple[int, int, float]]()
            for key, value in self._store.scan(TRIED):
                until, build, cls = _TRIED.unpack(key)
                attempts += [(build, cls, min(until + shift, now_ms))] * int(value)
            answered = [(int.from_bytes(k), int(v)) for k, v in self._store.scan(ANSWERED)]
            self._every = dict(answered).get(0, 0)
            if attempts or answered:
                events.append(it.Restored(tuple(attempts), tuple(answered)))
        except Exception as error:  # a damaged record costs what it held, never the start
            self._log.warning("recall_failed", reason=f"{type(error).__name__}: {error}")
        return fleet, events

    # --- what is written down ---
    def list(self, held: Mapping[int, news.Entry]) -> None:
        """The list as it is held now; what has changed since it was last told is written."""
        changes: list[Change] = [Delete(LIST, server.to_bytes(8)) for server in self._listed if server not in held]
        changes += [
            Put(LIST, server.to_bytes(8), msgspec.json.encode(entry))
            for server, entry in held.items()
            if self._listed.get(server) != entry
        ]
        self._listed = dict(held)
        if changes:
            self._store.submit(changes)

    def stage(self, stage: it.StageNews) -> None:
        """The newest build named; one that goes back frees the keys that it answered."""
        back = stage.phase in (it.Phase.GOING_BACK, it.Phase.WITHDRAWN)
        if back or stage.build > self._build:
            self._every = 0
            self._clear(stage.build if back else stage.build - 1)
        if stage.build > self._build:
            self._build = stage.build
            self._store.submit([Put(STAGE, b"", b"%d" % stage.build)])

    def _clear(self, build: int, first: bytes = b"") -> None:
        """Remove keys that builds up to this one answered, some in each turn: all may be over a batch."""
        if self._store.failed:
            return
        some = list(islice(self._store.scan(ANSWERED, first), CLEARED_AT_ONCE))
        if gone := [Delete(ANSWERED, key) for key, value in some if int(value) <= build]:
            self._store.submit(gone)
        if len(some) == CLEARED_AT_ONCE:
            asyncio.get_running_loop().call_soon(self._clear, build, some[-1][0] + b"\0")

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
        if build < self._build or build <= self._every or int(self._store.get(ANSWERED, at) or b"0") >= build:
            return
        if not capped and self._store.tables().get(ANSWERED, 0) >= MAX_ANSWERED_KEYS:
            at, self._every = EVERY_KEY, build
        self._store.submit([Put(ANSWERED, at, b"%d" % build)])
        if at == EVERY_KEY:  # after it, so that no key is free for a moment
            self._clear(build, EVERY_KEY + b"\0")

    def voted(self, vote: it.CastVote) -> None:
        """A vote is cast."""
        self._votes += 1
        key = self._store.now().to_bytes(8) + self._votes.to_bytes(4)
        self._store.submit(
            [
                Put(
                    VOTES,
                    key,
                    msgspec.json.encode(
                        {"build": vote.build, "stage": vote.stage, "verdict": vote.verdict.name.lower()}
                    ),
                    VOTES_KEPT_S,
                )
            ]
        )
