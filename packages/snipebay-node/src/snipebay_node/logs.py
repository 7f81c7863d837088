"""Structured logs, written as lines of JSON."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(level, sink=sys.stderr, **bound):
    """Configure structlog to write JSON lines.

    Args:
        level: Name of the minimum level.
        sink: File to write to.
        **bound: Fields added to every line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sink),
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)
