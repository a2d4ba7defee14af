"""Whether a member that has started may take part: an empty disk, or an old one, has forgotten what it promised.

Each member keeps of each other one which disk it has and the newest of its starts. A start counts once enough
have written it down for a majority with the member itself, and it is told to the rest until all have. The
first start of a disk counts once *all* have it, so that no vote is cast before every other member knows the
voter's disk: from then on a new disk under the member's number is refused by each of them.

An older copy of a disk is refused by each that wrote down a later start, or the same start under another
nonce, or that has heard the member further on; one refusal is enough, also late. Assumed, and not noticed
where it is false: a disk does not come back as an older copy while all that knew a later start are away, nor
as a copy taken during the newest start where all that heard the member since have forgotten it. Asking for
more welcomes than a majority has would notice more, and stop the group with one member down and another
restarted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.group.messages import Hello, Welcome

KNOWN, IDENTITY = "raft-known", b"identity"
META = "raft"
AGAIN_S = 0.5


class Identity(msgspec.Struct, array_like=True, frozen=True):
    """Which disk this is, how many starts it has seen, and whether all members have met."""

    disk: int
    boot: int
    founded: bool


class Known(msgspec.Struct, array_like=True, frozen=True):
    """Another member's disk and the newest of its starts."""

    disk: int
    boot: int
    nonce: int


@dataclass(slots=True)
class Joining:
    """One start of one member."""

    me: int
    members: Sequence[int]
    identity: Identity
    nonce: int
    known: dict[int, Known]
    welcomed: set[int] = field(default_factory=set)
    refused: str = ""
    reached: dict[int, tuple[int, int]] = field(default_factory=dict)  # furthest term and index heard of a member
    asked_at: float = -1e9

    @classmethod
    def begin(
        cls,
        me: int,
        members: Sequence[int],
        kept: bytes | None,
        known: dict[int, bytes],
        disk: int,
        nonce: int,
        out: Effects,
    ) -> Joining:
        """A start with what the disk holds; `disk` names it where it is new."""
        was = msgspec.msgpack.decode(kept, type=Identity) if kept is not None else Identity(disk, 0, False)
        identity = Identity(was.disk, was.boot + 1, was.founded)
        out.write(META, IDENTITY, msgspec.msgpack.encode(identity))
        return cls(
            me, members, identity, nonce, {m: msgspec.msgpack.decode(k, type=Known) for m, k in known.items()}
        )

    @property
    def ready(self) -> bool:
        """Whether this member takes part: votes, acknowledges, leads."""
        if self.refused:
            return False
        others = len(self.members) - 1
        return len(self.welcomed) >= (len(self.members) // 2 if self.identity.founded else others)

    def ask(self, now: float, term: int, last: int, out: Effects) -> None:
        """Say hello to those that have not answered."""
        if self.refused or now - self.asked_at < AGAIN_S:
            return
        self.asked_at = now
        for member in self.members:
            if member != self.me and member not in self.welcomed:
                out.send(member, Hello(self.identity.disk, self.identity.boot, self.nonce, term, last))

    def hello(self, sender: int, hello: Hello, out: Effects) -> None:
        """Another member has started."""
        reason = self._refusal_reason(sender, hello)
        if not reason:
            known = Known(hello.disk, hello.boot, hello.nonce)
            if self.known.get(sender) != known:
                self.known[sender] = known
                out.write(KNOWN, sender.to_bytes(2), msgspec.msgpack.encode(known))
        else:
            out.log("member_refused", member=sender, reason=reason)
        out.send(sender, Welcome(hello.nonce, reason))

    def _refusal_reason(self, sender: int, hello: Hello) -> str:
        known = self.known.get(sender)
        if known is None:
            return ""
        if hello.disk != known.disk:
            return "another disk was here under this number, and may have voted"
        if hello.boot < known.boot or (hello.boot == known.boot and hello.nonce != known.nonce):
            return f"an older copy of the disk: start {hello.boot} after start {known.boot}"
        term, last = self.reached.get(sender, (0, 0))
        if (hello.term, hello.last) < (term, last):
            return f"an older copy of the disk: term {hello.term} entry {hello.last} after {term}, {last}"
        return ""

    def welcome(self, sender: int, welcome: Welcome, out: Effects) -> None:
        """An answer to our hello."""
        if welcome.nonce != self.nonce or sender not in self.members or self.refused:
            return
        if welcome.reason:
            self.refused = welcome.reason
            out.log("member_sits_out", by=sender, reason=welcome.reason)
            return
        self.welcomed.add(sender)
        if not self.identity.founded and self.ready:
            self.identity = Identity(self.identity.disk, self.identity.boot, True)
            out.write(META, IDENTITY, msgspec.msgpack.encode(self.identity))

    def heard(self, sender: int, term: int, last: int) -> None:
        """A member has voted in, or acknowledged up to, this."""
        self.reached[sender] = max(self.reached.get(sender, (0, 0)), (term, last))
