"""Validation errors of an input, each with its location, reported together."""

from caperridge.records import Record

WHOLE_SOURCE = "-"


class Finding(Record):
    """One validation error.

    Attributes:
        source: the file, request or object that contains the error.
        key: the dotted path, line number or column inside ``source``; ``WHOLE_SOURCE``
            if it concerns all of it.
        message: human-readable description.
    """

    __slots__ = ("key", "message", "source")

    def __init__(self, source: str, key: str, message: str) -> None:
        self.source = source
        self.key = key
        self.message = message

    def __str__(self) -> str:
        if self.key == WHOLE_SOURCE:
            return f"{self.source}: {self.message}"
        return f"{self.source}: {self.key}: {self.message}"


class FindingsError(Exception):
    """An input was refused; contains every finding, not only the first.

    >>> raise FindingsError([Finding("a.toml", "listen.port", "must be a number")])
    Traceback (most recent call last):
    caperridge.findings.FindingsError: a.toml: listen.port: must be a number
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
