"""Structured logging through logbook: one JSON object per line on standard error."""

import json
import sys
from typing import Any, Protocol

import logbook
import orjson
from logbook.compat import redirect_logging

__all__ = ["JsonLinesHandler", "logger", "setup"]

_OPTIONS = orjson.OPT_NON_STR_KEYS


class JsonLinesHandler(logbook.StreamHandler):
    r"""Writes each record as one JSON line; keyword arguments become its members.

    JSON escapes the values, so untrusted input cannot inject a log line.

    >>> with JsonLinesHandler(sys.stdout).applicationbound():
    ...     logger("a").info("sent", request="r\nx")  # doctest: +ELLIPSIS
    {"time":"...","level":"info","logger":"a","message":"sent","request":"r\nx"}
    """

    def format(self, record: logbook.LogRecord) -> str:
        """Return ``record`` as one JSON line without its newline."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        for name, value in (*record.kwargs.items(), *record.extra.items()):
            line.setdefault(name, value)
        return _json(line)


def _json(line: dict[str, Any]) -> str:
    try:
        return orjson.dumps(line, option=_OPTIONS, default=str).decode()
    except TypeError:
        # An integer over 64 bits, or text that is not UTF-8: logging must not fail.
        return json.dumps(line, default=str)


def logger(name: str) -> logbook.Logger:
    """Return the logger of the module with the dotted name ``name``."""
    return logbook.Logger(name.removeprefix("caperridge."))


class LineStream(Protocol):
    """Stream that accepts whole lines of text."""

    def write(self, text: str, /) -> int:
        """Write ``text``."""

    def flush(self) -> None:
        """Flush what was written."""


def setup(level: str = "INFO", stream: LineStream | None = None) -> None:
    """Write every record of at least ``level`` to ``stream`` (default: standard error).

    Records that libraries send to the standard library's ``logging`` are included.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper(), bubble=False)
    logbook.NullHandler().push_application()
    handler.push_application()
    redirect_logging(set_root_logger_level=False)
