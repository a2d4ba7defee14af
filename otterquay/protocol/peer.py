"""Messages between agents as authenticated datagrams, without I/O.

Each datagram ends with a keyed BLAKE3 tag over the bytes before it. A data datagram is accepted only with a ticket
that the receiver drew at random for this sender since its own start, and only once for each sequence number under
that ticket (a sliding window as in RFC 4303 section 3.4.3). This rejects duplicates and datagrams recorded before a
restart. A sender without a ticket sends HELLO, queues a few messages and sends them once it has received a TICKET.
A receiver that does not know the ticket of a DATA datagram, as after its restart, answers RESET.
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
WINDOW = 64  # width of the replay window in sequence numbers; one that is further behind is rejected
MAX_PENDING_MESSAGES = 8  # per receiver; the oldest is dropped


class PeerRefused(Exception):
    """A datagram that is rejected; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass on a message from another agent."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Transmit:
    """Send a datagram to an agent."""

    to: int
    datagram: bytes


@dataclass(slots=True)
class _Inbound:
    """Receive state for one sender: the ticket in use, one offered but not used yet, and the replay window."""

    ticket: int = 0
    offered: int = 0
    highest: int = 0
    seen_bits: int = 0

    def accept_number(self, number: int) -> bool:
        if number > self.highest:
            ahead = min(number - self.highest, WINDOW)  # bounds the shift: a sender may jump ahead by up to 2**64
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
    """Send state for one receiver."""

    ticket: int = 0
    nonce: int = 0
    number: int = 0
    pending: list[bytes] = field(default_factory=list)


class PeerLink:
    """All links of one agent. `key` is the 32 bytes shared by the group; tickets and nonces come from `rng`."""

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
        """Datagrams that carry `data` to one agent, or to all others if None; without a ticket, data is queued."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message has {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
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
        """Actions for a received datagram; PeerRefused if it is forged, truncated, stale or a duplicate."""
        if not HEADER.size + TAG_BYTES <= len(datagram) <= MAX_DATAGRAM_BYTES:
            raise PeerRefused(f"{len(datagram)} bytes is not a valid datagram size")
        body, tag = datagram[:-TAG_BYTES], datagram[-TAG_BYTES:]
        if blake3(body, key=self._key).digest(length=TAG_BYTES) != tag:
            raise PeerRefused("authentication tag does not match: forged, or another key")
        magic, kind, sender, to, first, second = HEADER.unpack_from(body)
        if magic != MAGIC or to != self._me or sender == self._me or sender >= self._peers:
            raise PeerRefused(f"from {sender} to {to}: not addressed to this agent")
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
        raise PeerRefused(f"unknown datagram kind {kind}")

    def _handle_reset(self, sender: int, ticket: int) -> list[Transmit]:
        out = self._out.get(sender)
        if out is None or not out.ticket or ticket != out.ticket:
            raise PeerRefused(f"from {sender}: RESET of a ticket that is not in use")
        out.ticket, out.nonce = 0, self._random_id()
        return [self._seal(HELLO, sender, out.nonce, 0)]

    def _handle_ticket(self, sender: int, ticket: int, nonce: int) -> list[Transmit]:
        out = self._out.get(sender)
        if out is None or not out.nonce or nonce != out.nonce:
            raise PeerRefused(f"from {sender}: TICKET that was not requested")
        out.ticket, out.nonce, out.number = ticket, 0, 0
        pending, out.pending = out.pending, []
        return [transmit for data in pending for transmit in self.tell(sender, data)]

    def _handle_data(self, sender: int, ticket: int, number: int, data: bytes) -> list[Deliver | Transmit]:
        link = self._in.setdefault(sender, _Inbound())
        if link.offered and ticket == link.offered:
            self._in[sender] = link = _Inbound(ticket=ticket)
        if not link.ticket or ticket != link.ticket:
            return [self._seal(RESET, sender, ticket, 0)]  # the sender must send HELLO again; this message is lost
        if not link.accept_number(number):
            raise PeerRefused(f"from {sender}: message {number} is a duplicate or too old")
        return [Deliver(sender, data)]
