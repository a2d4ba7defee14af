"""A leader that gives its place away: before it ends, and when its disk is slower than another member's.

Leadership transfer is section 3.10 of Ongaro's thesis: the leader names the member whose log is furthest and steps
down, that one stands at once, and voters let it through although they have just heard a leader. Votes are given as
ever, so nothing but time hangs on it; where the word is lost an ordinary election follows.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from otterquay.group.parts import Peer

IN_A_ROW = 3  # samples in which the leader was slow
QUICKER = 4.0  # times as quick another has to be: where all disks are slow alike, moving would help nobody
SAMPLE_S = 2.0  # how long answers to a sample are waited for


@dataclass(slots=True)
class SlowDiskDetector:
    """How long the leader's own writes take to last, against those of the others. Seconds.

    A step's messages leave once its writes last, so an answer counts from there: what a member needs for the same
    entries, its way there and back included. One entry at a time is followed.
    """

    slow: float
    strikes: int = 0
    index: int = 0  # of the entry that is followed
    at: float = -1e9  # when it lasted here
    took: float = 0.0

    def lasted(self, now: float, index: int, took: float, peers: Mapping[int, Peer]) -> bool:
        """An entry has come to last; True where the leadership should move for it."""
        answered = [peer for peer in peers.values() if peer.match >= self.index]
        if self.index and now - self.at < SAMPLE_S and len(answered) < len(peers):
            return False
        move = bool(self.index) and self._judge([peer.took for peer in answered])
        self.index, self.at, self.took = index, now, took
        for peer in peers.values():
            peer.took = 0.0
        return move

    def answered(self, now: float, peer: Peer) -> None:
        """A member has the entry."""
        if self.index and peer.match >= self.index and not peer.took:
            peer.took = max(now - self.at, 1e-6)

    def _judge(self, others: list[float]) -> bool:
        behind = self.took > self.slow and any(0 < took < self.took / QUICKER for took in others)
        self.strikes = self.strikes + 1 if behind else 0
        if self.strikes < IN_A_ROW:
            return False
        self.strikes = 0
        return True


def successor(now: float, peers: Mapping[int, Peer], within: float, last: int, quick: bool = False) -> int | None:
    """Who should lead: of those heard lately the one whose log is furthest, and of equals the quickest.

    None where nobody is heard, or where all lag so far that none could be voted for before it is fed (`last` is the
    newest committed entry).
    """
    heard = [
        (peer.match, -(peer.took or within), member)
        for member, peer in peers.items()
        if now - peer.heard_at <= within and peer.match >= last
    ]
    if not heard:
        return None
    return max(heard, key=lambda one: (one[1], one[0], one[2]) if quick else one)[2]
