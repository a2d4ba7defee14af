"""Load reports in response headers, in ORCA's native HTTP formats `TEXT` and `JSON` (xds.data.orca.v3)."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence

from otterquay.interface import LoadField

HEADER = b"endpoint-load-metrics"
METRIC_NAMES = {
    LoadField.UTIL: "cpu_utilization",
    LoadField.QPS: "rps_fractional",
    LoadField.EPS: "eps",
    LoadField.INFLIGHT: "named_metrics.inflight",
    LoadField.QUEUE: "named_metrics.queue",
    LoadField.LATENCY_MS: "named_metrics.latency_ms",
}


def _flatten(data: dict[str, object]) -> dict[str, float]:
    found: dict[str, float] = {}
    for name, value in data.items():
        if isinstance(value, dict):
            found.update({f"{name}.{inner}": x for inner, x in _flatten(value).items()})
        elif isinstance(value, int | float) and not isinstance(value, bool):
            found[name] = float(value)
    return found


def parse(header: bytes, fields: Sequence[LoadField]) -> tuple[float, ...]:
    """The values of `fields` in their order; empty if the report is missing, malformed or incomplete."""
    try:
        format, _, text = header.decode("ascii").partition(" ")
        if format == "JSON":
            loaded = json.loads(text)
            values = _flatten(loaded) if isinstance(loaded, dict) else {}
        elif format == "TEXT":
            pairs = (part.partition("=") for part in text.split(","))
            values = {name.strip(): float(value) for name, _, value in pairs}
        else:
            return ()
        found = tuple(values[METRIC_NAMES[field]] for field in fields)
    except (ValueError, KeyError, RecursionError, OverflowError):
        return ()
    return found if all(math.isfinite(x) and x >= 0 for x in found) else ()


def encode(values: dict[LoadField, float]) -> bytes:
    """Encode a report in the `TEXT` format."""
    return b"TEXT " + ",".join(f"{METRIC_NAMES[f]}={v:g}" for f, v in values.items()).encode()
