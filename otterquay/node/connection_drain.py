"""Closes the client connections of a listener that shuts down, while the listener still stands.

A client may write to a connection just as it is closed. It then sends its request once more on a new connection, so
each connection has to close long enough before the listener. A connection closes

- with its answer, if that is a served one, or any answer once the last answers are due (`ClientConnection.flush`);
- once it has been idle for QUIET_PERIOD_S. Those that are idle as the drain begins are spread over SPREAD_S, which
  the last answers end; later ones close as soon as they are due, however many they are;
- LAST_CLOSE_S before the listener, if it came during the drain and has brought nothing yet, as its client may have
  a request that crossed a close; and with an error if its command is not complete by then.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from otterquay.agent.sockets import has_unread_data
from otterquay.node.client import ClientConnection, State

# A connection that was idle for less may be about to send a request; once none was opened for this long, no client
# is still retrying a request that crossed a close.
QUIET_PERIOD_S = 0.1
CLOSE_INTERVAL_S = 0.005  # between two rounds of closes
SPREAD_S = 0.3
LAST_CLOSE_S = 0.1


def idle_connections(candidates: Iterable[ClientConnection]) -> Iterator[ClientConnection]:
    """Yield the idle ones of these connections, the longest idle first; each socket is polled just before."""
    without_request = [client for client in candidates if not client.slots]
    for client in sorted(without_request, key=lambda client: client.idle_since):
        if client.is_idle():
            yield client


@dataclass(slots=True)
class ConnectionDrain:
    """One drain. Times are seconds on the event loop's clock."""

    began_at: float
    listener_until: float = math.inf  # when the listener closes; known once the last answers are due

    @property
    def finishing(self) -> bool:
        """Whether the last answers are due, and the listener will close soon."""
        return self.listener_until < math.inf

    def close_due(self, clients: Iterable[ClientConnection], now: float, active_time: float) -> None:
        """Close the connections that are due; to be called every CLOSE_INTERVAL_S."""
        is_last_round = now >= self.listener_until - LAST_CLOSE_S
        idle_before = active_time - QUIET_PERIOD_S
        quiet = [
            client
            for client in clients
            if client.idle_since <= idle_before and (is_last_round or not client.awaits_first_request)
        ]
        for client in islice(idle_connections(quiet), self._most_closes(len(quiet), now)):
            client.close()
        if is_last_round:
            self._end_incomplete_commands(list(clients))

    def _most_closes(self, due: int, now: float) -> int | None:
        """The number of closes in this round, None for any; fewer closes at a time are crossed less often."""
        spread_left_s = self.began_at + SPREAD_S - now
        if self.finishing or spread_left_s <= 0:
            return None
        return max(1, math.ceil(due * CLOSE_INTERVAL_S / spread_left_s))

    @staticmethod
    def _end_incomplete_commands(clients: list[ClientConnection]) -> None:
        for client in clients:
            if client.state is State.OPEN and client.parser.started and not has_unread_data(client.transport):
                client.end_with_error("half a command")
