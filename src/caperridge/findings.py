"""Findings: what is wrong in an input, each with its place, reported together."""

from caperridge.records import Record

WHOLE = "-"


class Finding(Record):
    """One thing wrong in an input.

    Attributes:
        source: the file, request or object it was found in.
        key: the dotted path, line number or column inside ``source``; ``WHOLE`` if
            it is about all of it.
        message: what is wrong, in a sentence for a person.
    """

    __slots__ = ("key", "message", "source")

    def __init__(self, source: str, key: str, message: str) -> None:
        self.source = source
        self.key = key
        self.message = message

    def __str__(self) -> str:
        if self.key == WHOLE:
            return f"{self.source}: {self.message}"
        return f"{self.source}: {self.key}: {self.message}"


class FindingsError(Exception):
    """An input was refused; carries every finding, not only the first.

    >>> raise FindingsError([Finding("a.toml", "listen.port", "must be a number")])
    Traceback (most recent call last):
    caperridge.findings.FindingsError: a.toml: listen.port: must be a number
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
