"""Bounded field types for messages. A message with a value out of range is rejected at decoding, without effect."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

NUMBER_LIMIT = 2**62  # leaves headroom below 64-bit integers for arithmetic and for other languages
Number = Annotated[int, Meta(ge=0, lt=NUMBER_LIMIT)]
Agent = Annotated[int, Meta(ge=0, lt=2**16)]
Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Text = Annotated[str, Meta(max_length=200)]
Blob = Annotated[bytes, Meta(max_length=4 * 1024 * 1024)]
SmallBlob = Annotated[bytes, Meta(max_length=64 * 1024)]
