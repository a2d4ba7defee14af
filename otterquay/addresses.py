"""Addresses as HOST:PORT."""

from __future__ import annotations

from typing import Any


def parse_address(value: Any) -> str:
    """HOST:PORT with a numeric port, as text; ValueError for anything else."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f'{value!r} is no address: write "HOST:PORT", such as "127.0.0.1:8080"')
    return str(value)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of a checked address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
