"""Structured logging: one event per line on standard error, as JSON or as console text."""

from __future__ import annotations

import logging
import sys
from typing import Any

Logger = Any  # structlog's loggers accept any keyword argument


def configure_logging(level: str = "info", output_format: str = "json", **bound: Any) -> Logger:
    """Configure logging for this process and return its logger; `output_format` is "json" or "console".

    Lines carry no wall-clock time, which the log collector adds; callers that need the event loop's time bind it.
    """
    import structlog  # imported here: it imports rich, which needs too much memory for a small agent

    renderer: Any = structlog.processors.JSONRenderer()
    if output_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger().bind(**bound)  # binds once here rather than for each line


def silent() -> Logger:
    """Return a logger that drops every event, for tests and benchmarks."""
    import structlog

    filtering_logger = structlog.make_filtering_bound_logger(logging.CRITICAL)
    return structlog.wrap_logger(None, processors=[_drop_event], wrapper_class=filtering_logger).bind()


def _drop_event(_: Any, __: str, ___: Any) -> Any:
    import structlog

    raise structlog.DropEvent
