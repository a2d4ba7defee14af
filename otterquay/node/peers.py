"""Datagrams between agents: each is the module's own words; who sent it is told by its source address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from otterquay.addresses import split_address
from otterquay.logs import Logger

MAX_DATAGRAM_BYTES = 256


class PeerSocket(asyncio.DatagramProtocol):
    """One agent's socket to its tier; `heard` gets sender and words."""

    def __init__(
        self,
        listen: str,
        me: int,
        peers: Sequence[str],
        broadcast_address: str | None,
        on_message: Callable[[int, bytes], None],
        log: Logger,
    ) -> None:
        self._listen, self._me, self._on_message, self._log = split_address(listen), me, on_message, log
        self._peers = [split_address(address) for address in peers]
        self._broadcast_address = split_address(broadcast_address) if broadcast_address else None
        self._number_by_address = {address: number for number, address in enumerate(self._peers)}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind. OSError when the address cannot be had."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def tell(self, to: int | None, data: bytes) -> None:
        """Send words to one agent or to all others."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.warning("peer_words_too_long", size=len(data), most=MAX_DATAGRAM_BYTES)
            return
        if to is None and self._broadcast_address:
            return self._send(data, self._broadcast_address)
        for number in range(len(self._peers)) if to is None else [to]:
            if number != self._me and 0 <= number < len(self._peers):
                self._send(data, self._peers[number])

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand on what a peer said; drop what anybody else did."""
        sender = self._number_by_address.get((addr[0], addr[1]))
        if sender is None or sender == self._me or len(data) > MAX_DATAGRAM_BYTES:
            self._log.warning("peer_refused", source=f"{addr[0]}:{addr[1]}", size=len(data))
            return
        self._on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        """An ICMP error for something we sent: a peer is down, its messages are lost."""
        self._log.debug("peer_unreachable", reason=str(exc))
