"""The configuration file of the production agent: JSON, validated completely before any of it is used."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from otterquay import interface as it
from otterquay.benchlink.settings import decode_settings
from otterquay.benchlink.wire import WireError
from otterquay.protocol.platform import PHASES, BuildState, parse_state

MAX_FILE_BYTES = 16 * 1024 * 1024
MIN_SOCKETS = 64
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class ConfigError(Exception):
    """The file is invalid or unreadable; the message gives the reason."""


class _Limits(msgspec.Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=MIN_SOCKETS)] = 1024
    cores: float = 1.0
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0


class _News(msgspec.Struct, frozen=True):
    release: int
    tranche: int
    mode: str
    exposure: float
    old_ms: float = 0.0


class _Pipeline(msgspec.Struct, frozen=True):
    address: Address
    news: _News | None = None


class _File(msgspec.Struct, frozen=True):
    name: str
    listen: Address
    discovery: Address
    pipeline: _Pipeline
    settings: msgspec.Raw
    seed: str | int = 0
    limits: _Limits = _Limits()
    peer_listen: Address | None = None
    peers: list[Address] = []
    peers_all: Address | None = None
    known: msgspec.Raw = msgspec.Raw(b"")


class _RawLimits(msgspec.Struct, frozen=True, rename="camel"):
    connect_timeout_ms: Annotated[float, Meta(gt=0, le=60_000)] = 250.0


class _RawReport(msgspec.Struct, frozen=True):
    names: list[str] = []


class _RawSettings(msgspec.Struct, frozen=True, rename="camel"):
    localities: list[str] = []
    kinds: list[str] = []
    limits: _RawLimits = _RawLimits()
    load_report: _RawReport = _RawReport()


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of one agent. Addresses are HOST:PORT; `known` is a list in discovery's JSON, or empty."""

    name: str
    listen: str
    discovery: str
    platform: str
    news: BuildState | None
    known: bytes
    peer_listen: str | None
    peers: tuple[str, ...]
    peers_all: str | None
    seed: int
    sockets: int
    memory_bytes: int
    settings: it.Settings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_ms: float
    report_names: tuple[tuple[bytes, ...], ...]


def _parse_seed(seed: str | int) -> int:
    if isinstance(seed, int):
        return seed
    if not re.fullmatch(r"[0-9a-fA-F]{1,64}", seed):
        raise ConfigError(f"seed: {seed[:80]!r} is not a hexadecimal number of up to 64 digits")
    return int(seed, 16)


def read_config(data: bytes) -> NodeConfig:
    """Parse and validate a configuration; ConfigError gives the reason if it is invalid."""
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"file exceeds {MAX_FILE_BYTES} bytes")
    try:
        file: _File = msgspec.json.decode(data, type=_File)
        raw: _RawSettings = msgspec.json.decode(file.settings, type=_RawSettings)
        settings = decode_settings(bytes(file.settings))
    except (msgspec.MsgspecError, ValueError, WireError) as error:
        raise ConfigError(str(error)) from None
    if len(settings.report_fields) != len(raw.load_report.names):
        raise ConfigError("loadReport: names must be a list of strings")
    state, pipeline_news = None, file.pipeline.news
    if pipeline_news:
        arguments = [
            b"%d" % pipeline_news.release,
            b"%d" % pipeline_news.tranche,
            pipeline_news.mode.encode(),
            b"%.9f" % pipeline_news.exposure,
            b"%.3f" % max(pipeline_news.old_ms, 0.0),
        ]
        try:
            state = parse_state(arguments, len(settings.rollout.stage_cap))
        except ValueError as error:
            raise ConfigError(
                f"pipeline.news: invalid state {error}; mode is one of {b', '.join(PHASES).decode()}"
            ) from None
    return NodeConfig(
        file.name,
        file.listen,
        file.discovery,
        file.pipeline.address,
        state,
        bytes(file.known),
        file.peer_listen,
        tuple(file.peers),
        file.peers_all,
        _parse_seed(file.seed),
        file.limits.sockets,
        int(file.limits.memory_mb * 1e6),
        settings,
        tuple(raw.localities) or ("",),
        tuple(raw.kinds),
        raw.limits.connect_timeout_ms,
        tuple(
            (name.encode(), field.value.encode())
            for name, field in zip(raw.load_report.names, settings.report_fields, strict=True)
        ),
    )


def load_config(path: str) -> NodeConfig:
    """Read a configuration file; ConfigError if it is missing, unreadable or invalid."""
    try:
        with Path(path).open("rb") as file:
            return read_config(file.read(MAX_FILE_BYTES + 1))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
