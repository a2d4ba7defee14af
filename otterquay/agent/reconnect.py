"""Keeping one conversation up: it is begun anew after each break, later after each failure in a row."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from otterquay.logs import Logger
from otterquay.protocol.http import ProtocolError

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    ProtocolError,
    ValueError,
)  # of what others do; all else is a fault of ours


@dataclass(frozen=True, slots=True)
class Reconnect:
    """`converse` returns why it ended, `came` tells whether it brought anything, `broken` gets each break's reason
    and how many in a row brought nothing, and returns whether to stop. Times are seconds."""

    converse: Callable[[], Awaitable[str]]
    came: Callable[[], bool]
    broken: Callable[[str, int], bool]
    log: Logger
    fault: str  # the log's word for a fault of ours
    rng: random.Random
    least_s: float
    most_s: float
    breaks: tuple[type[Exception], ...] = CONNECTION_ERRORS

    async def run(self) -> None:
        """Until cancelled or stopped; waits at random below a bound that doubles with each failure in a row."""
        failures = 0
        while True:
            try:
                reason = await self.converse()
            except self.breaks as error:
                reason = str(error) or type(error).__name__
            except Exception as error:  # it costs this connection, never the feed
                self.log.exception(self.fault)
                reason = type(error).__name__
            failures = 0 if self.came() else failures + 1
            if self.broken(reason, failures):
                return
            most = min(self.most_s, self.least_s * 2 ** min(failures, 16))
            await asyncio.sleep(self.rng.uniform(self.least_s, max(most, self.least_s)))
