"""What the head of an HTTP answer must be; the one check for all that read answers.

The HTTP library accepts more than that, such as any three digits as a status, and what
it accepts depends on its version, its parser and the mode of the interpreter. Bytes
that are no answer say nothing about the request, not even that it was not run.
"""

import errno
import re
from collections.abc import Iterable
from typing import Self

import aiohttp
from aiohttp.connector import Connection

from caperridge.no_repeat import LostOnTheWayError

MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# RFC 9110, sections 5.1 and 5.5.
_FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_CHUNKED_SINCE = (1, 1)
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] ([0-9]{3})")
# Of a line; more than a status line has before its reason.
_KEPT_BYTES = 16
_SWITCHING_PROTOCOLS = b"101"


class InvalidHeadError(aiohttp.ClientError):
    """The bytes that were received are not the head of a final answer."""


def fault_in_head(
    version: tuple[int, int],
    status: int,
    reason: str,
    fields: Iterable[tuple[bytes, bytes]],
) -> str:
    """Return why a head is not that of a final answer; empty if it is.

    Args:
        version: of HTTP.
        status: of the answer.
        reason: that follows the status.
        fields: names and values, as received.

    >>> fault_in_head((1, 1), 204, "", [(b"X-A", b"")])
    ''
    >>> fault_in_head((1, 1), 0, "", [])
    'a status of 000'
    >>> fault_in_head((1, 1), 200, "OK", [(b"X-A ", b"a")])
    "a field with the name 'X-A '"
    """
    if version[0] != 1:
        return f"a version of {version[0]}.{version[1]}"
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        return f"a status of {status:03}"
    if _CONTROL_CHARACTER.search(reason):
        return "a control byte in its reason"
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in fields:
        if not _FIELD_NAME.fullmatch(name):
            return f"a field with the name {_quote(name)}"
        if _CONTROL_BYTE.search(value):
            return f"a control byte in the field {_quote(name)}"
        lower = name.lower()
        if lower == b"content-length":
            lengths.append(value)
        elif lower == b"transfer-encoding":
            codings.append(value)
    return _fault_in_framing(version, lengths, codings)


def _fault_in_framing(
    version: tuple[int, int], lengths: list[bytes], codings: list[bytes]
) -> str:
    """Return why the end or the coding of a body is uncertain; empty if neither is."""
    if len(lengths) + len(codings) > 1:
        return "more than one length or transfer coding"
    for length in lengths:
        if not length.isdigit():
            return f"a length of {_quote(length)}"
    for coding in codings:
        if coding.lower() != b"chunked":
            return f"a transfer coding {_quote(coding)}"
        if version < _CHUNKED_SINCE:
            return "chunks in a version without them"
    return ""


def _quote(data: bytes) -> str:
    return repr(data.decode("ascii", "backslashreplace"))


class HeadLines:
    """Finds what the HTTP library does not show of the lines of a head.

    Its parser joins a line that begins with a blank to the field before it (the line
    folding that RFC 9112, section 5.2, has withdrawn), or drops the blank if there is
    no field before. It also takes the names of related protocols for that of HTTP.

    Attributes:
        complete: whether the head of the final answer has ended.
    """

    __slots__ = ("_interim", "_line", "_within_fields", "complete")

    def __init__(self) -> None:
        self.complete = False
        self._interim = False
        self._within_fields = False
        self._line = b""

    def feed(self, data: bytes) -> str:
        """Return the fault of the lines that end in ``data``; empty if there is none.

        Args:
            data: the next bytes of the connection.
        """
        start = 0
        while not self.complete:
            end = data.find(b"\n", start)
            stop = end if end >= 0 else len(data)
            missing = _KEPT_BYTES - len(self._line)
            self._line += data[start : min(stop, start + missing)]
            if end < 0:
                return ""
            fault = self._end_line()
            if fault:
                return fault
            start = end + 1
        return ""

    def _end_line(self) -> str:
        line, self._line = self._line.removesuffix(b"\r"), b""
        if self._within_fields:
            return self._end_field(line)
        if not line:  # before a head
            return ""
        found = _STATUS_LINE.match(line)
        if found is None:
            return f"a line {_quote(line)} where HTTP and a status are due"
        status = found[1]
        self._interim = status[:1] == b"1" and status != _SWITCHING_PROTOCOLS
        self._within_fields = True
        return ""

    def _end_field(self, line: bytes) -> str:
        if line[:1] in (b" ", b"\t"):
            return "a line that begins with a blank"
        if not line:
            self._within_fields = False
            self.complete = not self._interim
        return ""


def invalid_line(fault: str) -> OSError:
    """Return the error of a socket that has received a line with a fault."""
    return OSError(errno.EBADMSG, fault)


def fault_of(error: BaseException | None) -> str:
    """Return why a head is invalid if that is what ended a call; else an empty text."""
    while error is not None:
        if isinstance(error, InvalidHeadError):
            return str(error)
        if isinstance(error, OSError) and error.errno == errno.EBADMSG:
            return error.strerror or ""
        error = error.__cause__
    return ""


def reason_of(error: BaseException) -> str:
    """Return why a call got no answer: a fault in its head, or the kind of error."""
    fault = fault_of(error)
    if fault:
        return fault
    if isinstance(error, LostOnTheWayError):
        return str(error)
    return type(error).__name__


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose head is that of an answer; used by all sessions."""

    async def start(self, connection: Connection) -> Self:
        """Read and check the head; close the connection if it is invalid.

        Raises:
            InvalidHeadError: it is not that of a final answer.
        """
        # The connection is released, and may be reused, with the end of the body.
        transport = connection.transport
        await super().start(connection)
        assert self.version is not None
        fault = fault_in_head(
            self.version, self.status, self.reason or "", self.raw_headers
        )
        if not fault:
            return self
        if transport is not None:
            transport.close()
        raise InvalidHeadError(fault)
