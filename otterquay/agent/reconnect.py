"""Reconnecting: runs a connection again after each break, with a randomised exponential delay."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from otterquay.logs import Logger
from otterquay.protocol.http import ProtocolError

# caused by the other side; any other exception is a bug
CONNECTION_ERRORS = (OSError, TimeoutError, ProtocolError, ValueError)


def retry_delay_s(rng: random.Random, failures: int, min_delay_s: float, max_delay_s: float) -> float:
    """A random delay in seconds, below a bound that doubles with each consecutive failure."""
    bound_s = min(max_delay_s, min_delay_s * 2 ** min(failures, 16))
    return rng.uniform(min_delay_s, max(bound_s, min_delay_s))


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Keeps a connection up.

    `connect` runs one connection and returns why it ended; `received_any` tells whether it delivered anything;
    `on_break` gets the reason of each break and the number of consecutive connections that delivered nothing, and
    returns whether to stop. Times are seconds.
    """

    connect: Callable[[], Awaitable[str]]
    received_any: Callable[[], bool]
    on_break: Callable[[str, int], bool]
    log: Logger
    bug_event: str  # log event for an exception that the other side cannot have caused
    rng: random.Random
    min_delay_s: float
    max_delay_s: float
    connection_errors: tuple[type[Exception], ...] = CONNECTION_ERRORS

    async def run(self) -> None:
        """Run until cancelled or stopped; each delay is random, below a bound that doubles with each failure."""
        failures = 0
        while True:
            try:
                reason = await self.connect()
            except self.connection_errors as error:
                reason = str(error) or type(error).__name__
            except Exception as error:  # a bug ends this connection, but not the feed
                self.log.exception(self.bug_event)
                reason = type(error).__name__
            failures = 0 if self.received_any() else failures + 1
            if self.on_break(reason, failures):
                return
            await asyncio.sleep(retry_delay_s(self.rng, failures, self.min_delay_s, self.max_delay_s))
