"""Store time: the time by which entries expire. It advances with a clock and never goes back.

A clock such as CLOCK_MONOTONIC counts from the boot of a machine, so two of its readings tell the time between them
only if both are of one boot. Each record therefore has a tag of the boot that its clock reading counts from. When a
store is opened after a reboot or on another machine, the time since its newest record is unknown. It is taken as
none: entries may live longer than they should, never shorter.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from otterquay.store.format import MAX_BOOT_TAG, UNKNOWN_BOOT, Timestamp


def boot_tag(boot_id: str | None) -> int:
    """Return the tag that records have for a boot, `UNKNOWN_BOOT` for None.

    Two boots have the same tag by chance once in `MAX_BOOT_TAG` pairs.
    """
    if boot_id is None:
        return UNKNOWN_BOOT
    return 1 + xxhash.xxh3_64_intdigest(boot_id.encode()) % MAX_BOOT_TAG


class StoreClock:
    """Store time in ms, kept by a clock that returns seconds since the boot `boot_id`; None if that is unknown."""

    def __init__(self, read: Callable[[], float], boot_id: str | None) -> None:
        self._read = read
        self._boot = boot_tag(boot_id)
        self.time = 0  # store time at the last call of `now` or, before `resume`, in the newest record
        self._last_reading = 0  # of the clock, in ms, at that moment
        self._last_boot = UNKNOWN_BOOT  # that the last reading counts from
        self._has_records = False

    @property
    def is_boot_known(self) -> bool:
        """Whether a later process can find out if its clock counts from the same boot."""
        return self._boot != UNKNOWN_BOOT

    def now(self) -> int:
        """Store time: advances by as much as the clock went forward since the last call."""
        reading = self._reading()
        self.time += max(reading - self._last_reading, 0)
        self._last_reading = reading
        return self.time

    def timestamp(self) -> Timestamp:
        """The timestamp for a record that is written now."""
        return Timestamp(self.time, max(self._last_reading, 0), self._last_boot)

    def replay(self, timestamp: Timestamp) -> None:
        """Take over the timestamp of a record; called in the order of the records, before `resume`.

        A hint is written beside later records, so its timestamp may be newer than theirs.
        """
        self._has_records = True
        if timestamp.time >= self.time:
            self.time = timestamp.time
            self._last_reading = timestamp.clock
            self._last_boot = timestamp.boot

    def resume(self) -> bool:
        """Go on after the replay of all records; returns whether the time since the newest one is known."""
        is_same_boot = self.is_boot_known and self._last_boot == self._boot
        is_known = is_same_boot or not self._has_records
        if not is_known:
            self._last_reading = self._reading()
        self._last_boot = self._boot
        self.now()
        return is_known

    def _reading(self) -> int:
        return int(self._read() * 1e3)
