"""Reservation of ports for days that are played in parallel.

Regression: two cluster days in CI chose the same port, and an agent of the second failed with "address already in
use". A free port was probed, released, and bound by an agent some tenths of a second later; nothing kept another
day from choosing it in between. Ports are now claimed until the end of the day.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import subprocess
import sys

import pytest

from otterquay.lab import ports
from otterquay.lab.ports import PortClaim, claim_ports

CLAIM_AND_WAIT = """
import asyncio, sys
from otterquay.lab import ports
ports.FIRST_PORT, ports.PORT_COUNT = int(sys.argv[1]), 6
async def main():
    print(*ports.claim_ports(3).ports, flush=True)
    sys.stdin.read()
asyncio.run(main())
"""


def claimed(count: int) -> PortClaim:
    async def work() -> PortClaim:
        return claim_ports(count, socket.SOCK_STREAM)

    return asyncio.run(work())


@pytest.fixture
def six_ports(monkeypatch: pytest.MonkeyPatch) -> set[int]:
    """Restricts claims to six free ports, outside the range that other tests use."""
    while True:
        first = random.randrange(12000, 19000)
        monkeypatch.setattr(ports, "FIRST_PORT", first)
        monkeypatch.setattr(ports, "PORT_COUNT", 6)
        with contextlib.suppress(OSError):  # one of them is in use
            claimed(6).release()
            return set(range(first, first + 6))


def test_claims_of_one_process_never_overlap_until_they_are_released(six_ports: set[int]) -> None:
    one, other = claimed(3), claimed(3)
    assert set(one.ports) | set(other.ports) == six_ports
    with pytest.raises(OSError, match="no 1 ports are free"):
        claimed(1)
    one.release()
    assert set(claimed(3).ports) == set(one.ports)


def test_claims_of_two_processes_never_overlap_and_end_with_their_process(six_ports: set[int]) -> None:
    other = subprocess.Popen(
        [sys.executable, "-c", CLAIM_AND_WAIT, str(min(six_ports))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert other.stdout
    theirs = {int(port) for port in other.stdout.readline().split()}
    mine = claimed(3)
    assert theirs | set(mine.ports) == six_ports
    other.kill()
    other.communicate()
    assert set(claimed(3).ports) == theirs
    mine.release()


def test_a_port_in_use_is_not_claimed(six_ports: set[int]) -> None:
    with socket.socket() as busy:
        busy.bind((ports.HOST, max(six_ports)))
        assert set(claimed(5).ports) == six_ports - {max(six_ports)}
