"""The state of one exchange with an appliance and of the connection that carries it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from otterquay.agent.outcomes import End
from otterquay.agent.ports import Parser
from otterquay.agent.stream_reader import PendingInputReader

PayloadBuilder = Callable[[], bytes | None]  # called when the connection is ready; None if the request is withheld


class ConnectionUse(Enum):
    """What a connection may still carry; it never goes back to an earlier state."""

    REUSABLE = 0  # any number of further exchanges
    LAST_EXCHANGE = 1  # only the exchange in progress, as the process behind the connection was replaced
    CLOSED = 2


class DeliveryLimit(Enum):
    """What a request has to be delivered before."""

    REPEAT_WINDOW = "repeat_window"  # the end of the window in which a keyed request may be repeated
    CLIENT_LEFT = "client_left"
    CAP_FELL = "cap_fell"  # the cap of the server's build, since the attempt was decided


@dataclass(slots=True, eq=False)
class Call:
    """One exchange with an appliance; `done` is called exactly once, with the end and the answer, if any."""

    address: str
    tag: bytes
    build_payload: PayloadBuilder
    done: Callable[[Call, End, Any | None], None]
    started: float
    connection: Connection | None = None
    timer: asyncio.TimerHandle | None = None
    deliver_by: float = math.inf
    limit: DeliveryLimit = DeliveryLimit.REPEAT_WINDOW  # the reason of `deliver_by`
    delivery_timer: asyncio.TimerHandle | None = None  # set if `deliver_by` comes before the end of the call
    task: asyncio.Task[None] | None = None  # the pending connect
    use: ConnectionUse = ConnectionUse.REUSABLE  # of the connection that is being established for it
    ended: bool = False
    written_at: float = 0.0
    idle_s: float | None = None  # how long the connection had been idle before; None for a new one


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to an appliance, which carries one call at a time."""

    address: str
    reader: PendingInputReader
    writer: asyncio.StreamWriter
    parser: Parser
    idle_since: float
    call: Call | None = None
    task: asyncio.Task[None] | None = None
    use: ConnectionUse = ConnectionUse.REUSABLE

    @property
    def closed(self) -> bool:
        """Whether the connection has been closed."""
        return self.use is ConnectionUse.CLOSED
