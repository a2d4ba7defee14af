"""Discovery and platform of one agent: two of each, so that a reload can move it from one pair to the other."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from otterquay.standins.feed_tape import FeedTape
from otterquay.standins.resp import Desk, Discovery

SECOND_GENERATION = 10**6  # versions of the second discovery are higher than those of the first


@dataclass
class Feeds:
    """All that one agent is told, with the record of it."""

    tape: FeedTape
    discoveries: tuple[Discovery, Discovery] = field(default_factory=lambda: (Discovery(), Discovery()))
    desks: tuple[Desk, Desk] = field(default_factory=lambda: (Desk(), Desk()))
    pair: int = 0  # the one that the configuration names

    async def start(self) -> None:
        """Listen."""
        self.discoveries[1].generation += SECOND_GENERATION
        for discovery, desk in zip(self.discoveries, self.desks, strict=True):
            self.tape.hook(discovery, desk)
            await discovery.start()
            await desk.start()

    def close(self) -> None:
        """Close all listeners and connections."""
        for stand_in in (*self.discoveries, *self.desks):
            stand_in.close()

    def set(self, server: str, **entry: Any) -> None:
        """Change an entry of the list."""
        for discovery in self.discoveries:
            discovery.set(server, **entry)

    def set_all(self, entries: dict[str, dict[str, Any]]) -> None:
        """Change many entries at one version."""
        for discovery in self.discoveries:
            discovery.generation += 1
            discovery.entries |= {id: {**entry, "of": discovery.generation} for id, entry in entries.items()}
            discovery.changed.set()

    def publish(self, state: bytes) -> None:
        """Tell a state of the newest build."""
        for desk in self.desks:
            desk.publish(state)

    def set_trouble(self, silent: bool = False, delay_s: float = 0.0) -> None:
        """Make discovery silent or slow, or let it recover: what it has at its return counts as told."""
        returns = self.discoveries[self.pair].silent and not silent
        for discovery in self.discoveries:
            discovery.silent, discovery.delay_s = silent, delay_s
        if returns:
            self.tape.list_sent(self.discoveries[self.pair].later(None), True)

    def break_connections(self) -> None:
        """Break all connections to discovery and platform."""
        self.tape.feeds_broken("list", "stage")
        for stand_in in (*self.discoveries, *self.desks):
            for writer in stand_in.writers:
                writer.transport.abort()

    def tell_at_start(self) -> None:
        """Record that an agent starts with the list and the stage of its configuration."""
        self.tape.list_sent(self.discoveries[self.pair].later(None), True)
        self.tape.stage_sent(self.desks[self.pair].state, True)

    def known(self) -> dict[str, Any]:
        """The whole list, as a configuration holds it; it is read at a start only."""
        known: dict[str, Any] = json.loads(self.discoveries[self.pair].listing(None))
        return known
