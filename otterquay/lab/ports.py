"""Reserves ports for processes that bind them later, so that days played in parallel never choose the same port.

Each claimed port is a locked file in a directory that all processes of this user share. The operating system
releases the locks when the process ends, however it ends.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import secrets
import socket
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from otterquay.lab.simloop import SimLoop

FIRST_PORT = 20000
PORT_COUNT = 12000  # the range ends below the usual ephemeral ports
HOST = "127.0.0.1"
Kind = socket.SocketKind
TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM


@dataclass(slots=True)
class PortClaim:
    """Ports that no other claim contains until this one is released."""

    ports: list[int] = field(default_factory=list)
    _locks: list[int] = field(default_factory=list)

    def release(self) -> None:
        """Release the ports."""
        for lock in self._locks:
            os.close(lock)
        self._locks.clear()

    def try_claim(self, port: int, kind: Kind, directory: Path) -> None:
        """Add a port unless it is claimed or in use."""
        lock = os.open(directory / f"{port}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        if _try_lock(lock) and _bindable(port, kind):
            self.ports.append(port)
            self._locks.append(lock)
        else:
            os.close(lock)


def claim_ports(count: int, kind: Kind = UDP) -> PortClaim:
    """Claim `count` ports of 127.0.0.1, or of the simulated loop; raises OSError if too few are free."""
    if isinstance(loop := asyncio.get_running_loop(), SimLoop):
        return PortClaim([loop.allocate_port() for _ in range(count)])
    claim, directory, start = PortClaim(), _lock_directory(), secrets.randbelow(PORT_COUNT)
    for offset in range(PORT_COUNT):
        if len(claim.ports) == count:
            break
        claim.try_claim(FIRST_PORT + (start + offset) % PORT_COUNT, kind, directory)
    if len(claim.ports) < count:
        claim.release()
        raise OSError(f"no {count} ports are free from {FIRST_PORT} to {FIRST_PORT + PORT_COUNT - 1}")
    return claim


def _lock_directory() -> Path:
    directory = Path(tempfile.gettempdir()) / f"otterquay-ports-{os.getuid()}"
    directory.mkdir(mode=0o700, exist_ok=True)
    return directory


def _try_lock(lock: int) -> bool:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _bindable(port: int, kind: Kind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
