"""Identifies the clock that processes on this machine read: the boot of the machine and the time namespace.

Linux counts CLOCK_MONOTONIC from the boot (clock_gettime(2)), and shifts it for the processes of a time namespace
(time_namespaces(7)).
"""

from __future__ import annotations

from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # random(4)
TIME_NAMESPACE_OFFSETS = Path("/proc/self/timens_offsets")  # missing in kernels without time namespaces
MAX_BYTES = 4096


def read_boot_id(boot_id: Path = BOOT_ID, offsets: Path = TIME_NAMESPACE_OFFSETS) -> str | None:
    """Return what processes have in common whose monotonic clocks agree, or None if the system does not tell."""
    try:
        boot = _read(boot_id)
        namespace = _read(offsets) if offsets.exists() else ""
    except OSError:
        return None
    return f"{boot} {namespace}" if boot else None


def _read(path: Path) -> str:
    with path.open("rb") as file:
        return " ".join(file.read(MAX_BYTES).decode("ascii", "replace").split())
