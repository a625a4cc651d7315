"""Structured logs: one JSON object a line on standard error, through logbook."""

import json
import sys
from typing import Any, Protocol

import logbook
import orjson
from logbook.compat import redirect_logging

__all__ = ["JsonLinesHandler", "logger", "setup"]

_OPTIONS = orjson.OPT_NON_STR_KEYS


class JsonLinesHandler(logbook.StreamHandler):
    r"""Writes each record as one JSON line; named arguments become its members.

    Values from outside are escaped as JSON, so that none can begin a line.

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
        # A huge number, or a text that is no UTF-8: rare, and no reason to fail.
        return json.dumps(line, default=str)


def logger(name: str) -> logbook.Logger:
    """Return the logger of one module; ``name`` is its dotted name."""
    return logbook.Logger(name.removeprefix("caperridge."))


class LineStream(Protocol):
    """Takes whole lines of text."""

    def write(self, text: str, /) -> int:
        """Write ``text``."""

    def flush(self) -> None:
        """Hand on what was written."""


def setup(level: str = "INFO", stream: LineStream | None = None) -> None:
    """Send every record of at least ``level`` to ``stream`` (standard error).

    Records of libraries, which use the standard library's loggers, go the same way.
    """
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper(), bubble=False)
    logbook.NullHandler().push_application()
    handler.push_application()
    redirect_logging(set_root_logger_level=False)
