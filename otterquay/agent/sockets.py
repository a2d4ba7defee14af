"""Acts on a socket or pipe at once, past the event loop: asks for its state, ends its sending or resets it.

The event loop reports bytes and closes once per iteration. A decision between two polls, or in the first iteration
after the process was stalled, would rest on an outdated state; these functions use the descriptor itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import fcntl
import select
import struct
import sys
import termios
from typing import Any

_SHUT_WR = 1  # of shutdown(2)
_SOL_SOCKET, _SO_LINGER = 1, 13  # of setsockopt(2)
_DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
_SEND_ON_CLOSE = struct.pack("ii", 0, 0)  # struct linger: off
_UNSPECIFIED_ADDRESS = bytes(16)  # struct sockaddr of AF_UNSPEC, which dissolves a connection (connect(2))
_LIBC = ctypes.CDLL(None)
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


def _open_socket(transport: asyncio.BaseTransport) -> Any | None:
    """The socket of a transport; None on a simulated network, or if it is closed already."""
    transport_socket = transport.get_extra_info("socket")
    return transport_socket if transport_socket is not None and transport_socket.fileno() >= 0 else None


def end_sending(transport: asyncio.BaseTransport) -> None:
    """End the sending on a TCP connection at once; bytes that the transport still buffers are never sent.

    A transport closes its socket one turn of the event loop later, after whatever is written in this turn.
    """
    if (transport_socket := _open_socket(transport)) is None:
        return
    with contextlib.suppress(OSError):  # the peer has reset the connection, or no descriptor is free
        duplicate = transport_socket.dup()
        try:
            duplicate.shutdown(_SHUT_WR)
        finally:
            duplicate.close()


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Bytes that the kernel holds for sending and that the peer's host has not acknowledged (`SIOCOUTQ`).

    The largest number where the kernel does not tell.
    """
    if (transport_socket := _open_socket(transport)) is None:
        return 0
    try:
        queued = fcntl.ioctl(transport_socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return sys.maxsize
    return int.from_bytes(queued, sys.byteorder)


def is_delivered(transport: asyncio.WriteTransport) -> bool:
    """Whether the peer's host has acknowledged all that was written; false where that is not known."""
    return transport.get_write_buffer_size() == 0 and unacknowledged_bytes(transport) == 0


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a TCP connection at once; bytes that the transport or the kernel still holds are never sent.

    An orderly close sends the rest in the background, however long the peer takes to receive it.
    """
    transport_socket = _open_socket(transport)
    if transport_socket is not None and not _dissolve(transport_socket.fileno()):
        discard_on_close(transport)  # the next best: the rest is discarded as the transport closes
        end_sending(transport)
    transport.abort()


def discard_on_close(transport: asyncio.BaseTransport, discard: bool = True) -> None:
    """Let the kernel discard what it holds when the socket is closed, also by the death of the process.

    With `discard` false it sends the rest, as sockets do at first. Nothing changes where the system refuses this.
    """
    if (transport_socket := _open_socket(transport)) is None:
        return
    with contextlib.suppress(OSError):
        linger = _DISCARD_ON_CLOSE if discard else _SEND_ON_CLOSE
        transport_socket.setsockopt(_SOL_SOCKET, _SO_LINGER, linger)


def _dissolve(fd: int) -> bool:
    """End the connection of a TCP socket with a reset; false where the system refuses this."""
    status: int = _LIBC.connect(fd, _UNSPECIFIED_ADDRESS, len(_UNSPECIFIED_ADDRESS))
    return status == 0


def is_writable(fd: int) -> bool:
    """Whether a write of up to one page (4 KiB) to a pipe, file or terminal would not block."""
    return _poll(fd, select.POLLOUT) & select.POLLOUT != 0
