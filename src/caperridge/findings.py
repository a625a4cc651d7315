"""Findings: what is wrong in an input, each with its place, reported together."""

import difflib
from typing import Any

import voluptuous as vol

from caperridge.records import Record


class Finding(Record):
    """One thing wrong in an input.

    Attributes:
        source: the file, request or object it was found in.
        key: the dotted path, line number or column inside ``source``.
        message: what is wrong, in a sentence for a person.
    """

    __slots__ = ("key", "message", "source")

    def __init__(self, source: str, key: str, message: str) -> None:
        self.source = source
        self.key = key
        self.message = message

    def __str__(self) -> str:
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


def invalid_findings(
    source: str, error: vol.MultipleInvalid, schema: vol.Schema
) -> list[Finding]:
    """Return the findings of a failed check, each with its dotted key.

    Args:
        source: the file or request that was checked.
        error: what voluptuous raised.
        schema: that it was checked with, to say which key was probably meant.

    >>> schema = vol.Schema({"listen": {"callers": str}})
    >>> try:
    ...     schema({"listen": {"calers": "x"}})
    ... except vol.MultipleInvalid as error:
    ...     print(*invalid_findings("a.toml", error, schema))
    a.toml: listen.calers: is not a known key; did you mean 'callers'?
    """
    findings: list[Finding] = []
    for invalid in error.errors:
        key = ".".join(str(part) for part in invalid.path) or "-"
        findings.append(Finding(source, key, _sentence(invalid, schema)))
    return findings


def _sentence(invalid: vol.Invalid, schema: vol.Schema) -> str:
    if invalid.error_message == "required key not provided":
        return "is missing"
    if invalid.error_message != "extra keys not allowed":
        return invalid.error_message
    wrong = str(invalid.path[-1])
    near = difflib.get_close_matches(wrong, _known_keys(schema.schema, invalid.path))
    if not near:
        return "is not a known key"
    return f"is not a known key; did you mean {near[0]!r}?"


def _known_keys(schema: Any, path: list[Any]) -> list[str]:
    """Return the keys that ``schema`` allows where ``path`` ends."""
    for part in path[:-1]:
        if not isinstance(schema, dict):
            return []
        by_name = {str(key): below for key, below in schema.items()}
        # A table whose keys are names of the user's has one validator as its key.
        schema = by_name.get(str(part), next(iter(schema.values()), None))
    return [str(key) for key in schema] if isinstance(schema, dict) else []
