"""Structured logs: one event a line on standard error, as JSON or for the console."""

from __future__ import annotations

import logging
import sys
from typing import Any

Logger = Any  # structlog's loggers take any keyword


def configure(level: str = "info", form: str = "json", **bound: Any) -> Logger:
    """Set up logging for this process and return its logger; `form` is "json" or "console".

    Lines carry the loop's clock where the caller binds it; the wall clock is left to what collects the lines.
    """
    import structlog  # here, as it brings rich with it, for which a small agent has no room

    renderer: Any = structlog.processors.JSONRenderer()
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger().bind(**bound)  # bound now, not anew at every line


def silent() -> Logger:
    """A logger that drops everything, for tests and measurements."""
    import structlog

    silence = structlog.make_filtering_bound_logger(logging.CRITICAL)
    return structlog.wrap_logger(None, processors=[_drop], wrapper_class=silence).bind()


def _drop(_: Any, __: str, ___: Any) -> Any:
    import structlog

    raise structlog.DropEvent
