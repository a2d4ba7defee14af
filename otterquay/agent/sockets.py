"""What lies at a socket or may be written to a pipe right now, asked of the kernel.

The loop tells of bytes and closes once a turn. What is decided between two turns, or in the first turn after the
process stood still, would go by what was so before; these look at the socket itself. No byte is taken.
"""

from __future__ import annotations

import asyncio
import select

_ENDED = select.POLLHUP | select.POLLERR | select.POLLNVAL


def _poll(fd: int, mask: int) -> int:
    poll = select.poll()
    poll.register(fd, mask)
    return sum(events for _, events in poll.poll(0))


def _events(transport: asyncio.BaseTransport, mask: int) -> int:
    socket = transport.get_extra_info("socket")
    if socket is None:  # no socket of the kernel's: in simulated time nothing comes between two turns
        return 0
    if (fd := socket.fileno()) < 0:
        return _ENDED
    return _poll(fd, mask)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, a FIN or a fault lie at the socket that nobody has read."""
    return _events(transport, select.POLLIN) != 0


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed its side, read or not."""
    return _events(transport, select.POLLRDHUP) & (_ENDED | select.POLLRDHUP) != 0


def is_writable(fd: int) -> bool:
    """Whether a write of up to a page (4 KiB) to a pipe, a file or a terminal would not wait for its reader."""
    return _poll(fd, select.POLLOUT) & select.POLLOUT != 0
