"""When an agent calls discovery, derived from the settings. All times are seconds.

A silent discovery and a slow one look alike until something comes. So a call stays out for as long as the protocol
page lets a slow discovery take, while younger calls beside it notice the end of an outage within the drain grace.
"""

from __future__ import annotations

from dataclasses import dataclass

from otterquay import interface as it

TOLD_LATEST_S = 6.0  # protocol page: a change counts as told at the latest this long after discovery had it
LISTING_BINDS_S = 0.3  # protocol page: a listed build counts this long after its listing was written
MAX_WAIT_S = 3.0  # of a watch: only its answer distinguishes a discovery without changes from a dead one
MAX_OVERDUE_S = 1.0
MIN_WAIT_S = 0.1
MIN_INTERVAL_S = 0.02
MAX_RETRY_DELAY_S = 0.5  # after a call that failed, where discovery is shared by all agents
SHARED_RETRY_S = 2.0  # between calls to a silent discovery that all agents share
SHARED_JITTER = 0.25  # share by which the times of one agent differ from those of the others


@dataclass(frozen=True, slots=True)
class PollTimes:
    """The times of the calls to discovery."""

    wait_s: float  # how long a watch lets discovery wait for a change
    overdue_s: float  # silence beyond that wait, after which another call is made beside
    retry_s: float  # from one unanswered call to the next
    hold_s: float  # silence beyond the wait, after which a call is given up
    max_retry_delay_s: float  # after a call that failed
    jitter: float  # share by which `overdue_s` and `retry_s` are varied

    @staticmethod
    def of(settings: it.Settings) -> PollTimes:
        """The times for these settings.

        Where lists are pushed, discovery is an agent on this machine that answers at once and at no cost, and what
        it has counts as told. The end of an outage has to be noticed within the drain grace, whether the outage was
        shorter or longer than a watch. Where lists are asked for, all agents share one service of fixed capacity.
        """
        if settings.discovery is it.Discovery.ASK:
            return PollTimes(
                MAX_WAIT_S, MAX_OVERDUE_S, SHARED_RETRY_S, TOLD_LATEST_S / 2, MAX_RETRY_DELAY_S, SHARED_JITTER
            )
        grace_s = settings.rules.drain_grace_ms / 1e3
        retry_s = max(min(grace_s, LISTING_BINDS_S) / 2, MIN_INTERVAL_S)
        return PollTimes(
            wait_s=min(max(grace_s / 2, MIN_WAIT_S), MAX_WAIT_S),
            overdue_s=min(max(grace_s / 4, MIN_INTERVAL_S), MAX_OVERDUE_S),
            retry_s=retry_s,
            hold_s=TOLD_LATEST_S / 2,
            max_retry_delay_s=retry_s,
            jitter=0.0,
        )
