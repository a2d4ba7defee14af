"""Admission of a started member: an empty or outdated disk has lost votes and entries that it had acknowledged.

Each member stores, for each other member, the identity of its disk and its newest start. A start is admitted once
enough members have stored it to form a majority with the started member itself; it keeps announcing the start until
all have stored it. The first start of a disk is admitted only once *all* members have stored it, so no vote is cast
before every other member knows the voter's disk. From then on each of them refuses a new disk under that number.

A member refuses an older copy of a disk if it has stored a later start, or the same start with another nonce, or
has heard from the started member with a later term or index. One refusal is enough, even a late one. Two cases
are assumed not to occur and are not detected: a disk restored from an older copy while all members that know a
later start are away; and one restored from a copy taken during the newest start, if all members that have heard
from it since have forgotten that. Requiring more than a majority of welcomes would detect more, but would stop
the group when one member is down and another restarts.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from otterquay.cores.effects import Effects
from otterquay.group.messages import Hello, Welcome

KNOWN, IDENTITY = "raft-known", b"identity"
META = "raft"
HELLO_INTERVAL_S = 0.5


class Identity(msgspec.Struct, array_like=True, frozen=True):
    """Identity of this member's disk, its number of starts, and whether all other members have stored the disk."""

    disk: int
    boot: int
    known_to_all: bool


class Known(msgspec.Struct, array_like=True, frozen=True):
    """Another member's disk and its newest start."""

    disk: int
    boot: int
    nonce: int


@dataclass(slots=True)
class Joining:
    """Admission state of one start of this member, and what it knows of the others' starts."""

    me: int
    members: Sequence[int]
    identity: Identity
    nonce: int
    known: dict[int, Known]
    welcomed: set[int] = field(default_factory=set)
    refused: str = ""  # the reason, once another member has refused this start
    reached: dict[int, tuple[int, int]] = field(default_factory=dict)  # highest (term, index) heard from a member
    hellos_sent_at: float = -1e9

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
        """Starts with the disk's stored identity `kept`, or with the new identity `disk` if there is none."""
        previous = msgspec.msgpack.decode(kept, type=Identity) if kept is not None else Identity(disk, 0, False)
        identity = Identity(previous.disk, previous.boot + 1, previous.known_to_all)
        out.write(META, IDENTITY, msgspec.msgpack.encode(identity))
        return cls(
            me, members, identity, nonce, {m: msgspec.msgpack.decode(k, type=Known) for m, k in known.items()}
        )

    @property
    def ready(self) -> bool:
        """Whether this member may vote, acknowledge entries and lead."""
        if self.refused:
            return False
        others = len(self.members) - 1
        return len(self.welcomed) >= (len(self.members) // 2 if self.identity.known_to_all else others)

    def send_hellos(self, now: float, term: int, last: int, out: Effects) -> None:
        """Sends Hello to the members that have not welcomed this start."""
        if self.refused or now - self.hellos_sent_at < HELLO_INTERVAL_S:
            return
        self.hellos_sent_at = now
        for member in self.members:
            if member != self.me and member not in self.welcomed:
                out.send(member, Hello(self.identity.disk, self.identity.boot, self.nonce, term, last))

    def handle_hello(self, sender: int, hello: Hello, out: Effects) -> None:
        """Handles the Hello of another member that has started."""
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

    def handle_welcome(self, sender: int, welcome: Welcome, out: Effects) -> None:
        """Handles an answer to this member's Hello."""
        if welcome.nonce != self.nonce or sender not in self.members or self.refused:
            return
        if welcome.reason:
            self.refused = welcome.reason
            out.log("member_sits_out", by=sender, reason=welcome.reason)
            return
        self.welcomed.add(sender)
        if not self.identity.known_to_all and self.ready:
            self.identity = Identity(self.identity.disk, self.identity.boot, True)
            out.write(META, IDENTITY, msgspec.msgpack.encode(self.identity))

    def record_heard(self, sender: int, term: int, last: int) -> None:
        """Records that a member has voted in `term`, or acknowledged entries up to `last`."""
        self.reached[sender] = max(self.reached.get(sender, (0, 0)), (term, last))
