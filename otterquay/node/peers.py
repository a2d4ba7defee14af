"""Datagrams between agents: the payload is the decision module's message, the source address names the sender."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from otterquay.addresses import split_address
from otterquay.logs import Logger

MAX_DATAGRAM_BYTES = 256


class PeerSocket(asyncio.DatagramProtocol):
    """One agent's socket to the other agents; `on_message` gets the sender's number and the message."""

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
        """Bind the listen address; OSError if that fails."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def tell(self, to: int | None, data: bytes) -> None:
        """Send a message to one agent, or to all others if `to` is None."""
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
        """Pass on a message from a peer; drop and log datagrams from any other address."""
        sender = self._number_by_address.get((addr[0], addr[1]))
        if sender is None or sender == self._me or len(data) > MAX_DATAGRAM_BYTES:
            self._log.warning("peer_refused", source=f"{addr[0]}:{addr[1]}", size=len(data))
            return
        self._on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        """An ICMP error for a datagram that was sent: the peer is down and the message is lost."""
        self._log.debug("peer_unreachable", reason=str(exc))
