"""How a graceful shutdown divides the time between SIGTERM and SIGKILL. All times are seconds.

The protocol page sends SIGKILL no sooner than the longest deadline (at most MAX_DEADLINE_S) and KILL_EXTRA_S after
SIGTERM. Until then, in this order:

1. New connections come and nothing is closed, for NEW_CONNECTIONS_S.
2. Idle connections close, others with their answers, until the last answers are due.
3. What is still held is failed and all connections close; the listener stays for what crossed their closes.
4. The listener closes, and the process ends within END_RESERVE_S.
"""

from __future__ import annotations

from dataclasses import dataclass

from otterquay import interface as it

MAX_DEADLINE_S = 3.0  # a longer deadline counts as this
KILL_EXTRA_S = 0.7
NEW_CONNECTIONS_S = 0.4
LINGER_S = 0.2  # requests that come this soon after SIGTERM keep their whole deadline
FLUSH_S = 0.3  # the longest time for which the listener outlasts the last answers
MIN_FLUSH_S = 0.1  # that time for a process that was stopped for most of its shutdown
END_RESERVE_S = 0.2  # for the process to end, on a busy machine too


def longest_deadline_s(settings: it.Settings) -> float:
    """The longest deadline that a shutdown waits for."""
    return min(max(cls.deadline_ms for cls in settings.classes) / 1e3, MAX_DEADLINE_S)


def shutdown_time_s(settings: it.Settings) -> float:
    """Seconds from SIGTERM to the last answer of a graceful shutdown."""
    return max(LINGER_S + longest_deadline_s(settings), NEW_CONNECTIONS_S)


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The steps of one shutdown, in seconds from its begin."""

    drain_after_s: float  # until connections are closed
    answers_within_s: float  # until the last answers
    listener_outlasts_s: float  # from the last answers to the close of the listener

    @staticmethod
    def of(settings: it.Settings, waited_s: float) -> ShutdownSchedule:
        """The schedule of a shutdown whose SIGTERM came up to `waited_s` ago, while the process could not run."""
        answers_within_s = max(shutdown_time_s(settings) - waited_s, LINGER_S)
        kill_within_s = longest_deadline_s(settings) + KILL_EXTRA_S - waited_s
        left_s = kill_within_s - END_RESERVE_S - answers_within_s
        # SIGTERM may also have come just now, with new connections to follow it
        least_s = max(MIN_FLUSH_S, NEW_CONNECTIONS_S - answers_within_s)
        return ShutdownSchedule(
            drain_after_s=min(max(NEW_CONNECTIONS_S - waited_s, 0.0), answers_within_s),
            answers_within_s=answers_within_s,
            listener_outlasts_s=min(max(left_s, least_s), FLUSH_S),
        )
