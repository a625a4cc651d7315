"""Validation of JSON objects from outside, reporting all findings together."""

import ipaddress
from typing import Any

import orjson

from caperridge.findings import WHOLE_SOURCE, Finding
from caperridge.gateway.dialect import DecodeError

MAX_PORT = 65535
BROADCAST = ipaddress.IPv4Address("255.255.255.255")
# Of a name or a version. They are logged, and sent to peers with each stream.
MAX_TEXT_BYTES = 200
# Separates the name of a target from the start of its incarnation in an id.
RESERVED_IN_KEYS = "@"


class Fields:
    """The fields of one JSON object.

    An invalid field is recorded as a finding and read as a placeholder of the
    requested type; :meth:`check` reports all findings at once.

    Args:
        source: name of the object in findings.
        value: the JSON text.

    Raises:
        DecodeError: the bytes are not a JSON object.
    """

    __slots__ = ("_by_name", "_findings", "_source")

    def __init__(self, source: str, value: bytes) -> None:
        self._source = source
        self._findings: list[Finding] = []
        try:
            fields = orjson.loads(value)
        except ValueError as error:
            raise DecodeError(f"{source}: no JSON: {error}") from error
        if not isinstance(fields, dict):
            raise DecodeError(str(Finding(source, WHOLE_SOURCE, "is no map")))
        self._by_name: dict[str, Any] = fields

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def check_key(self, key: str) -> None:
        """Check the key under which the object is stored.

        It is sent as the value of a header.
        """
        if not is_key(key):
            message = f"its key must be visible ASCII without {RESERVED_IN_KEYS}"
            self._findings.append(Finding(self._source, WHOLE_SOURCE, message))

    def text(self, name: str) -> str:
        """Return a printable string of 1 to 200 bytes."""
        value = self._by_name.get(name)
        if isinstance(value, str) and _is_text(value):
            return value
        self._add_finding(
            name, f"must be a printable text of 1 to {MAX_TEXT_BYTES} bytes"
        )
        return ""

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Return one of ``choices``."""
        value = self._by_name.get(name)
        if isinstance(value, str) and value in choices:
            return value
        self._add_finding(name, f"must be one of {', '.join(choices)}")
        return choices[0]

    def integer(self, name: str, minimum: int, maximum: int) -> int:
        """Return an integer from ``minimum`` to ``maximum``."""
        value = self._by_name.get(name)
        if type(value) is int and minimum <= value <= maximum:
            return value
        self._add_finding(name, f"must be a whole number from {minimum} to {maximum}")
        return minimum

    def number(self, name: str) -> float:
        """Return a number."""
        value = self._by_name.get(name)
        if type(value) in (int, float):
            return float(value)
        self._add_finding(name, "must be a number")
        return 0.0

    def address(self, name: str) -> str:
        """Return an ``IP:PORT``."""
        value = self._by_name.get(name)
        if isinstance(value, str) and is_address(value):
            return value
        self._add_finding(name, "must be IP:PORT")
        return ""

    def check(self) -> None:
        """Report the findings in the fields that were read.

        Raises:
            DecodeError: there are findings.
        """
        if self._findings:
            raise DecodeError("; ".join(str(finding) for finding in self._findings))

    def _add_finding(self, name: str, message: str) -> None:
        message = message if name in self._by_name else f"{message}, but is missing"
        self._findings.append(Finding(self._source, name, message))


def is_address(value: str) -> bool:
    """Whether ``value`` is ``IP:PORT``, written without leading zeros, of one host.

    >>> [is_address(one) for one in ("10.0.0.1:80", "10.0.0.1", "a:80", "10.0.0.1:0")]
    [True, False, False, False]
    >>> [is_address(one) for one in ("10.0.0.1:0655350", "10.0.0.1:080", "0.0.0.0:80")]
    [False, False, False]
    """
    host, _, port = value.rpartition(":")
    # The conversion of a number takes time that grows with its square.
    if not (port.isascii() and port.isdigit()) or len(port) > len(str(MAX_PORT)):
        return False
    if str(int(port)) != port or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast or address == BROADCAST)


def is_key(value: str) -> bool:
    """Whether ``value`` can be the key of a target.

    >>> [is_key(one) for one in ("i-7f3a", "", "i 7", "i-7@5", "é")]
    [True, False, False, False, False]
    """
    visible = value.isascii() and value.isprintable() and " " not in value
    return bool(value) and visible and RESERVED_IN_KEYS not in value


def _is_text(value: str) -> bool:
    if not (value and value.isprintable()):
        return False
    return len(value.encode()) <= MAX_TEXT_BYTES
