"""Acts on a socket or pipe at once, past the event loop: asks for its state, or ends its sending.

The event loop reports bytes and closes once per iteration. A decision between two polls, or in the first iteration
after the process was stalled, would rest on an outdated state; these functions use the descriptor itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import select

_SHUT_WR = 1  # of shutdown(2)
_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


def _poll(fd: int, mask: int) -> int:
    poll = select.poll()
    poll.register(fd, mask)
    return sum(events for _, events in poll.poll(0))


def _events(transport: asyncio.BaseTransport, mask: int) -> int:
    transport_socket = transport.get_extra_info("socket")
    if transport_socket is None:  # simulated network: nothing arrives between two loop iterations
        return 0
    if (fd := transport_socket.fileno()) < 0:
        return _CLOSED_EVENTS
    return _poll(fd, mask)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, a FIN or an error are waiting at the socket."""
    return _events(transport, select.POLLIN) != 0


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed its side, even if that is not read yet."""
    return _events(transport, select.POLLRDHUP) & (_CLOSED_EVENTS | select.POLLRDHUP) != 0


def end_sending(transport: asyncio.BaseTransport) -> None:
    """End the sending on a TCP connection at once; bytes that the transport still buffers are never sent.

    A transport closes its socket one turn of the event loop later, after whatever is written in this turn.
    """
    transport_socket = transport.get_extra_info("socket")
    if transport_socket is None or transport_socket.fileno() < 0:  # simulated network, or closed already
        return
    with contextlib.suppress(OSError):  # the peer has reset the connection, or no descriptor is free
        duplicate = transport_socket.dup()
        try:
            duplicate.shutdown(_SHUT_WR)
        finally:
            duplicate.close()


def is_writable(fd: int) -> bool:
    """Whether a write of up to one page (4 KiB) to a pipe, file or terminal would not block."""
    return _poll(fd, select.POLLOUT) & select.POLLOUT != 0
