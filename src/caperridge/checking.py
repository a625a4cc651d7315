"""Converts validation errors of a schema to findings with their location."""

import difflib
from collections.abc import Callable, Iterable
from typing import Any

import voluptuous as vol

from caperridge.findings import Finding


def did_you_mean(word: str, known: Iterable[str]) -> str:
    """Return a hint to append to a message, or an empty text.

    >>> did_you_mean("modle", ["model", "kind"])
    "; did you mean 'model'?"
    >>> did_you_mean("x", ["model", "kind"])
    ''
    """
    close = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def invalid_findings(
    locate: Callable[[list[str]], str], error: vol.MultipleInvalid, schema: vol.Schema
) -> list[Finding]:
    """Return the findings of a failed validation, each with its dotted key.

    Args:
        locate: returns where the last key of a path stands, e.g. file and line.
        error: the error that voluptuous raised.
        schema: the schema of the validation, for hints about misspelled keys.

    >>> schema = vol.Schema({"listen": {"callers": str}})
    >>> try:
    ...     schema({"listen": {"calers": "x"}})
    ... except vol.MultipleInvalid as error:
    ...     print(*invalid_findings(lambda _: "a.toml", error, schema))
    a.toml: listen.calers: is not a known key; did you mean 'callers'?
    """
    findings: list[Finding] = []
    for invalid in error.errors:
        path = [str(part) for part in invalid.path]
        key = ".".join(path) or "-"
        findings.append(Finding(locate(path), key, _sentence(invalid, schema)))
    return findings


def _sentence(invalid: vol.Invalid, schema: vol.Schema) -> str:
    if invalid.error_message == "required key not provided":
        return "is missing"
    if invalid.error_message != "extra keys not allowed":
        return invalid.error_message
    wrong = str(invalid.path[-1])
    known = _known_keys(schema.schema, invalid.path)
    return "is not a known key" + did_you_mean(wrong, known)


def _known_keys(schema: Any, path: list[Any]) -> list[str]:
    """Return the keys that ``schema`` allows where ``path`` ends."""
    for part in path[:-1]:
        if not isinstance(schema, dict):
            return []
        by_name = {str(key): nested for key, nested in schema.items()}
        # The schema of a table with user-defined keys has one validator as its key.
        schema = by_name.get(str(part), next(iter(schema.values()), None))
    if not isinstance(schema, dict):
        return []
    return [str(key) for key in schema if isinstance(key, str | vol.Marker)]
