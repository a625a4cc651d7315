"""Structured logs: one JSON object a line on standard error, through logbook."""

import sys
from typing import Any, TextIO

import logbook
import orjson
from logbook.compat import redirect_logging

__all__ = ["JsonLinesHandler", "logger", "setup"]


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON line; ``extra`` fields become members."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return ``record`` as one JSON line without its newline."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
        # The fields that a call of the logger names are its keyword arguments.
        line.update(record.kwargs)
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str).decode()


def logger(name: str) -> logbook.Logger:
    """Return the logger of one module; ``name`` is its dotted name."""
    return logbook.Logger(name.removeprefix("caperridge."))


def setup(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send every record of at least ``level`` to ``stream`` (standard error).

    Records of libraries, which use the standard library's loggers, go the same way.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper(), bubble=False)
    logbook.NullHandler().push_application()
    handler.push_application()
    redirect_logging(set_root_logger_level=False)
