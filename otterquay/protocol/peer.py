"""Messages between agents as authenticated datagrams, without I/O.

Each datagram carries a keyed BLAKE3 tag over all before it. Data counts only under a ticket that the receiver
itself drew for this sender since its own start, and only once for each number under it (a sliding window as in
RFC 4303 section 3.4.3), so that neither a recording from before a restart nor a copy is taken twice. A sender
without a ticket says hello, keeps a few messages back and sends them once the ticket has come.
"""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass, field

from blake3 import blake3

MAGIC = b"oq1"
TAG_BYTES = 16
MAX_MESSAGE_BYTES = 256
HEADER = struct.Struct("<3sBHHQQ")  # magic, kind, from, to, ticket or nonce, number or nonce
HELLO, TICKET, DATA, RESET = 1, 2, 3, 4
MAX_DATAGRAM_BYTES = HEADER.size + MAX_MESSAGE_BYTES + TAG_BYTES
WINDOW = 64
MAX_PENDING_MESSAGES = 8


class PeerRefused(Exception):
    """A datagram that is not taken; the text says why."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Hand these words of another agent on."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send this datagram to that agent."""

    to: int
    datagram: bytes


@dataclass(slots=True)
class _Inbound:
    """What was drawn for one sender: the ticket in force and one offered but not yet used."""

    ticket: int = 0
    offered: int = 0
    highest: int = 0
    seen_bits: int = 0

    def accept_number(self, number: int) -> bool:
        if number > self.highest:
            ahead = min(number - self.highest, WINDOW)  # a shift by all that a datagram can name has no end
            self.seen_bits = (self.seen_bits << ahead | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        behind = self.highest - number
        if behind >= WINDOW or self.seen_bits >> behind & 1:
            return False
        self.seen_bits |= 1 << behind
        return True


@dataclass(slots=True)
class _Outbound:
    """What we hold towards one receiver."""

    ticket: int = 0
    nonce: int = 0
    number: int = 0
    pending: list[bytes] = field(default_factory=list)


class PeerLink:
    """All links of one agent. `key` is 32 bytes shared by the group; chance comes from `rng`."""

    def __init__(self, me: int, peers: int, key: bytes, rng: random.Random) -> None:
        if len(key) != 32:
            raise ValueError("the peer key must be 32 bytes")
        self._me, self._peers, self._key, self._rng = me, peers, key, rng
        self._in: dict[int, _Inbound] = {}
        self._out: dict[int, _Outbound] = {}
        self.dropped = 0

    def _random_id(self) -> int:
        return self._rng.getrandbits(63) + 1

    def _seal(self, kind: int, to: int, first: int, second: int, data: bytes = b"") -> Transmit:
        body = HEADER.pack(MAGIC, kind, self._me, to, first, second) + data
        return Transmit(to, body + blake3(body, key=self._key).digest(length=TAG_BYTES))

    def tell(self, to: int | None, data: bytes) -> list[Transmit]:
        """Datagrams that carry `data` to one agent or to all others; held ones leave later."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"a message of {len(data)} bytes, at most {MAX_MESSAGE_BYTES} may be sent")
        sent = []
        for peer in range(self._peers) if to is None else [to]:
            if peer == self._me:
                continue
            out = self._out.setdefault(peer, _Outbound())
            if out.ticket:
                out.number += 1
                sent.append(self._seal(DATA, peer, out.ticket, out.number, data))
                continue
            out.pending.append(data)
            if len(out.pending) > MAX_PENDING_MESSAGES:
                del out.pending[0]
                self.dropped += 1
            out.nonce = out.nonce or self._random_id()
            sent.append(self._seal(HELLO, peer, out.nonce, 0))
        return sent

    def receive(self, datagram: bytes) -> list[Deliver | Transmit]:
        """What to do about a datagram; PeerRefused for one that is forged, cut short, stale or a repeat."""
        if not HEADER.size + TAG_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerRefused(f"{len(datagram)} bytes are no datagram of ours")
        body, tag = datagram[:-TAG_BYTES], datagram[-TAG_BYTES:]
        if blake3(body, key=self._key).digest(length=TAG_BYTES) != tag:
            raise PeerRefused("forged, or another key")
        magic, kind, sender, to, first, second = HEADER.unpack_from(body)
        if magic != MAGIC or to != self._me or sender == self._me or sender >= self._peers:
            raise PeerRefused(f"from {sender} to {to}: not for us")
        if kind == HELLO:
            link = self._in.setdefault(sender, _Inbound())
            link.offered = link.offered or self._random_id()
            return [self._seal(TICKET, sender, link.offered, first)]
        if kind == TICKET:
            return list(self._handle_ticket(sender, first, second))
        if kind == DATA:
            return self._handle_data(sender, first, second, body[HEADER.size :])
        if kind == RESET:
            return list(self._handle_reset(sender, first))
        raise PeerRefused(f"unknown kind {kind}")

    def _handle_reset(self, sender: int, ticket: int) -> list[Transmit]:
        out = self._out.get(sender)
        if out is None or not out.ticket or ticket != out.ticket:
            raise PeerRefused(f"from {sender}: a reset of a ticket that we do not use")
        out.ticket, out.nonce = 0, self._random_id()
        return [self._seal(HELLO, sender, out.nonce, 0)]

    def _handle_ticket(self, sender: int, ticket: int, nonce: int) -> list[Transmit]:
        out = self._out.get(sender)
        if out is None or not out.nonce or nonce != out.nonce:
            raise PeerRefused(f"from {sender}: a ticket that we did not ask for")
        out.ticket, out.nonce, out.number = ticket, 0, 0
        pending, out.pending = out.pending, []
        return [transmit for data in pending for transmit in self.tell(sender, data)]

    def _handle_data(self, sender: int, ticket: int, number: int, data: bytes) -> list[Deliver | Transmit]:
        link = self._in.setdefault(sender, _Inbound())
        if link.offered and ticket == link.offered:
            self._in[sender] = link = _Inbound(ticket=ticket)
        if not link.ticket or ticket != link.ticket:
            return [self._seal(RESET, sender, ticket, 0)]  # it must say hello again; this message is lost
        if not link.accept_number(number):
            raise PeerRefused(f"from {sender}: message {number} came before")
        return [Deliver(sender, data)]
