"""The datagram side of messages between agents; all checks are in `protocol.peer`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterquay.addresses import split_address
from otterquay.logs import Logger
from otterquay.protocol.peer import Deliver, PeerLink, PeerRefused, Transmit


class PeerSocket(asyncio.DatagramProtocol):
    """One agent's socket to all others; `heard` gets sender and words."""

    def __init__(
        self, me: int, link: PeerLink, addresses: dict[int, str], heard: Callable[[int, bytes], None], log: Logger
    ) -> None:
        self._link, self._heard, self._log = link, heard, log
        self._addresses = {number: split_address(address) for number, address in addresses.items()}
        self._transport: asyncio.DatagramTransport | None = None
        self._me = me

    async def start(self) -> None:
        """Bind our own address. OSError when it cannot be had."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._addresses[self._me])

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def tell(self, to: int | None, data: bytes) -> None:
        """Send words to one agent or to all others."""
        self._transmit(self._link.tell(to, data))

    def _transmit(self, datagrams: list[Transmit]) -> None:
        for one in datagrams:
            if self._transport and one.to in self._addresses:
                self._transport.sendto(one.datagram, self._addresses[one.to])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a datagram, or log why not."""
        try:
            for found in self._link.receive(data):
                if isinstance(found, Deliver):
                    self._heard(found.sender, found.data)
                else:
                    self._transmit([found])
        except PeerRefused as error:
            self._log.warning("peer_refused", source=f"{addr[0]}:{addr[1]}", reason=str(error))

    def error_received(self, exc: Exception) -> None:
        """An ICMP error for something we sent: a peer is down, its messages are lost."""
        self._log.debug("peer_unreachable", reason=str(exc))
