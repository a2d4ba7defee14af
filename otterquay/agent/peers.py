"""The UDP transport of messages between agents; validation is in `protocol.peer`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from otterquay.addresses import split_address
from otterquay.logs import Logger
from otterquay.protocol.peer import Deliver, PeerLink, PeerRefused, Transmit


class PeerSocket(asyncio.DatagramProtocol):
    """One agent's socket to all others; `on_message` gets the sender and the message."""

    def __init__(
        self,
        me: int,
        link: PeerLink,
        addresses: dict[int, str],
        on_message: Callable[[int, bytes], None],
        log: Logger,
    ) -> None:
        self._link, self._on_message, self._log = link, on_message, log
        self._addresses = {number: split_address(address) for number, address in addresses.items()}
        self._transport: asyncio.DatagramTransport | None = None
        self._me = me

    async def start(self) -> None:
        """Bind the agent's own address. Raises OSError if it is not available."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._addresses[self._me])

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def tell(self, to: int | None, data: bytes) -> None:
        """Send a message to one agent, or to all others if `to` is None."""
        self._transmit(self._link.tell(to, data))

    def _transmit(self, datagrams: list[Transmit]) -> None:
        for transmit in datagrams:
            if self._transport and transmit.to in self._addresses:
                self._transport.sendto(transmit.datagram, self._addresses[transmit.to])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram, or log why it was refused."""
        try:
            for result in self._link.receive(data):
                if isinstance(result, Deliver):
                    self._on_message(result.sender, result.data)
                else:
                    self._transmit([result])
        except PeerRefused as error:
            self._log.warning("peer_refused", source=f"{addr[0]}:{addr[1]}", reason=str(error))

    def error_received(self, exc: Exception) -> None:
        """Log an ICMP error for a datagram sent earlier: a peer is down and its messages are lost."""
        self._log.debug("peer_unreachable", reason=str(exc))
