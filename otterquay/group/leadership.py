"""Leadership transfer: before a leader shuts down, and when its disk is slower than another member's.

As in section 3.10 of Ongaro's thesis, the leader picks the member with the most up-to-date log and steps down; that
member starts an election at once, and voters accept it although they have heard from a leader recently. All other
voting rules hold, so the transfer affects only timing; if its message is lost, a normal election follows.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from otterquay.group.types import Peer

SLOW_SAMPLES = 3  # consecutive samples with a slow leader before a transfer
MIN_SPEEDUP = 4.0  # another member must be this many times faster; if all disks are slow, a transfer is no help
SAMPLE_TIMEOUT_S = 2.0  # how long to wait for the answers to a sample


@dataclass(slots=True)
class SlowDiskDetector:
    """Compares how long the leader's own writes take with those of the other members. Times are seconds.

    A step's messages leave once its writes are durable, so a member's answer is timed from then: it includes the
    round trip and the member's own write of the same entries. One entry at a time is sampled.
    """

    slow: float  # a write of the leader that takes longer is slow
    slow_samples: int = 0
    index: int = 0  # of the sampled entry
    durable_at: float = -1e9  # when the sampled entry was durable on this disk
    took: float = 0.0  # how long the leader's own write of the sampled entry took

    def entry_durable(self, now: float, index: int, took: float, peers: Mapping[int, Peer]) -> bool:
        """Handles an entry that is durable on the leader's disk; True if leadership should be transferred."""
        answered = [peer for peer in peers.values() if peer.match >= self.index]
        if self.index and now - self.durable_at < SAMPLE_TIMEOUT_S and len(answered) < len(peers):
            return False
        move = bool(self.index) and self._should_transfer([peer.took for peer in answered])
        self.index, self.durable_at, self.took = index, now, took
        for peer in peers.values():
            peer.took = 0.0
        return move

    def answered(self, now: float, peer: Peer) -> None:
        """Records that a member has acknowledged the sampled entry."""
        if self.index and peer.match >= self.index and not peer.took:
            peer.took = max(now - self.durable_at, 1e-6)

    def _should_transfer(self, others: list[float]) -> bool:
        slower = self.took > self.slow and any(0 < took < self.took / MIN_SPEEDUP for took in others)
        self.slow_samples = self.slow_samples + 1 if slower else 0
        if self.slow_samples < SLOW_SAMPLES:
            return False
        self.slow_samples = 0
        return True


def choose_successor(
    now: float, peers: Mapping[int, Peer], within: float, commit_index: int, prefer_fast: bool = False
) -> int | None:
    """Picks the next leader among members heard from in the last `within` seconds.

    The member with the most up-to-date log wins, then the fastest; with `prefer_fast` in the opposite order. None
    if no member qualifies: a member that lacks committed entries (up to `commit_index`) could not win an election
    before the missing entries reach it.
    """
    candidates = [
        (peer.match, -(peer.took or within), member)
        for member, peer in peers.items()
        if now - peer.heard_at <= within and peer.match >= commit_index
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda entry: (entry[1], entry[0], entry[2]) if prefer_fast else entry)[2]
