"""Asks the kernel for the current state of a socket or pipe, without reading from it.

The event loop reports bytes and closes once per iteration. A decision between two polls, or in the first iteration
after the process was stalled, would rest on an outdated state; these functions poll the descriptor itself.
"""

from __future__ import annotations

import asyncio
import select

_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


def _poll(fd: int, mask: int) -> int:
    poll = select.poll()
    poll.register(fd, mask)
    return sum(events for _, events in poll.poll(0))


def _events(transport: asyncio.BaseTransport, mask: int) -> int:
    socket = transport.get_extra_info("socket")
    if socket is None:  # simulated network: nothing arrives between two loop iterations
        return 0
    if (fd := socket.fileno()) < 0:
        return _CLOSED_EVENTS
    return _poll(fd, mask)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, a FIN or an error are waiting at the socket."""
    return _events(transport, select.POLLIN) != 0


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed its side, even if that is not read yet."""
    return _events(transport, select.POLLRDHUP) & (_CLOSED_EVENTS | select.POLLRDHUP) != 0


def is_writable(fd: int) -> bool:
    """Whether a write of up to one page (4 KiB) to a pipe, file or terminal would not block."""
    return _poll(fd, select.POLLOUT) & select.POLLOUT != 0
