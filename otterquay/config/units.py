"""Units of the settings files: durations, shares and sizes are written with their unit, so none is ambiguous."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from otterquay.addresses import parse_address

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
_MS_PER_UNIT = {"ms": 1.0, "s": 1e3, "m": 60e3, "h": 3600e3}
_SHARE = re.compile(r"(\d+(?:\.\d+)?)%")
_SIZE = re.compile(r"(\d+)(B|KiB|MiB)")
_BYTES_PER_UNIT = {"B": 1, "KiB": 1024, "MiB": 1024**2}


def parse_duration(value: Any) -> float:
    """Milliseconds from text such as "800ms", "1.5s", "2m", "1h"; ValueError for anything else."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if not match:
        raise ValueError(f'{value!r} is not a duration: write a number with ms, s, m or h, such as "1.5s"')
    return float(match[1]) * _MS_PER_UNIT[match[2]]


def parse_share(value: Any) -> float:
    """A fraction, 0 to 1, from text such as "25%"; ValueError for anything else."""
    match = _SHARE.fullmatch(value) if isinstance(value, str) else None
    if not match or float(match[1]) > 100:
        raise ValueError(f'{value!r} is not a share: write "0%" to "100%", such as "25%"')
    return float(match[1]) / 100


def parse_size(value: Any) -> int:
    """Bytes from text such as "512B", "64KiB", "1MiB"; ValueError for anything else."""
    match = _SIZE.fullmatch(value) if isinstance(value, str) else None
    if not match:
        raise ValueError(f'{value!r} is not a size: write a number with B, KiB or MiB, such as "64KiB"')
    return int(match[1]) * _BYTES_PER_UNIT[match[2]]


Duration = Annotated[float, BeforeValidator(parse_duration)]
Share = Annotated[float, BeforeValidator(parse_share)]
Size = Annotated[int, BeforeValidator(parse_size)]
Address = Annotated[str, BeforeValidator(parse_address)]
Count = Annotated[int, Field(strict=True, ge=0)]
Positive = Annotated[int, Field(strict=True, ge=1)]
