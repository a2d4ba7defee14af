"""One exchange with an appliance and the connection that carries it: what both hold, and the states they pass."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from otterquay.agent.outcomes import End
from otterquay.agent.ports import Parser

Begin = Callable[[], bytes | None]  # asked when it can be written: what to write, None if it may no longer begin


class Use(Enum):
    """What a connection may still carry; it only goes on."""

    KEPT = 0  # one exchange after another
    LAST = 1  # the process behind it was replaced: the exchange that it carries, and no other
    CLOSED = 2


@dataclass(slots=True, eq=False)
class Call:
    """One exchange with an appliance; `done` is called exactly once, with how it ended and the answer, if any."""

    address: str
    tag: bytes
    begin: Begin
    done: Callable[[Call, End, Any | None], None]
    started: float
    connection: Connection | None = None
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None  # while it connects
    use: Use = Use.KEPT  # of the connection that comes up for it
    over: bool = False
    written: float = 0.0  # when, and how long its connection had been idle by then; None for a new one
    rested: float | None = None


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to an appliance, which carries one call at a time."""

    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: Parser
    idle_since: float
    call: Call | None = None
    task: asyncio.Task[None] | None = None
    use: Use = Use.KEPT

    @property
    def closed(self) -> bool:
        """Whether it is over."""
        return self.use is Use.CLOSED
