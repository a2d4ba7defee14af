"""Network addresses written as HOST:PORT."""

from __future__ import annotations

from typing import Any


def parse_address(value: Any) -> str:
    """Return `value` if it is text of the form HOST:PORT with a numeric port; raises ValueError otherwise."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f'{value!r} is not an address: write "HOST:PORT", such as "127.0.0.1:8080"')
    return str(value)


def split_address(address: str) -> tuple[str, int]:
    """Split a validated address into host and port; strips the brackets of an IPv6 host."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
