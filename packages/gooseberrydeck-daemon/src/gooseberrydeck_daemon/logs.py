"""Configuration of structlog.

The daemon logs changes of state only, never single requests.
"""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(as_json: bool, level: str, member: str) -> None:
    """Configure logging to standard error, as JSON or as text for a console."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            lambda _logger, _name, event: {**event, "member": member},
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.getLogger("waitress").setLevel(logging.ERROR)
    logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)
