"""Ports for processes that bind them later: claimed, so that days played side by side never draw the same one.

A claim is a locked file, one for each port, in a directory that all processes of this user share. The system lets
go of the lock when its process ends, however it ends.
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

FIRST_PORT, PORTS = 20000, 12000  # below those that systems hand out by themselves
HOST = "127.0.0.1"
Kind = socket.SocketKind
TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM


@dataclass(slots=True)
class PortClaim:
    """Ports that no other claim holds until it is released."""

    ports: list[int] = field(default_factory=list)
    _locks: list[int] = field(default_factory=list)

    def release(self) -> None:
        """Let others have the ports."""
        for lock in self._locks:
            os.close(lock)
        self._locks.clear()

    def take(self, port: int, kind: Kind, directory: Path) -> None:
        """Add a port, unless it is claimed or in use."""
        lock = os.open(directory / f"{port}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        if _locked(lock) and _bindable(port, kind):
            self.ports.append(port)
            self._locks.append(lock)
        else:
            os.close(lock)


def claim_ports(count: int, kind: Kind = UDP) -> PortClaim:
    """So many ports of 127.0.0.1, or of the simulated loop. OSError when there are not so many."""
    if isinstance(loop := asyncio.get_running_loop(), SimLoop):
        return PortClaim([loop.port() for _ in range(count)])
    claim, directory, begin = PortClaim(), _directory(), secrets.randbelow(PORTS)
    for offset in range(PORTS):
        if len(claim.ports) == count:
            break
        claim.take(FIRST_PORT + (begin + offset) % PORTS, kind, directory)
    if len(claim.ports) < count:
        claim.release()
        raise OSError(f"no {count} ports are free from {FIRST_PORT} to {FIRST_PORT + PORTS - 1}")
    return claim


def _directory() -> Path:
    place = Path(tempfile.gettempdir()) / f"otterquay-ports-{os.getuid()}"
    place.mkdir(mode=0o700, exist_ok=True)
    return place


def _locked(lock: int) -> bool:
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _bindable(port: int, kind: Kind) -> bool:
    with socket.socket(socket.AF_INET, kind) as one:
        try:
            one.bind((HOST, port))
        except OSError:
            return False
    return True
