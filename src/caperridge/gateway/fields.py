"""Validation of JSON objects from outside, reporting all findings together."""

import ipaddress
from typing import Any

import orjson

from caperridge.findings import WHOLE_SOURCE, Finding
from caperridge.gateway.dialect import DecodeError

MAX_PORT = 65535


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

    def text(self, name: str) -> str:
        """Return a non-empty string."""
        value = self._by_name.get(name)
        if isinstance(value, str) and value:
            return value
        self._add_finding(name, "must be a text")
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
    """Whether ``value`` is ``IP:PORT``.

    >>> [is_address(one) for one in ("10.0.0.1:80", "10.0.0.1", "a:80", "10.0.0.1:0")]
    [True, False, False, False]
    """
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
