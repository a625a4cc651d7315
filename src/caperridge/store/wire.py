"""Encoding of conditions, writes and rows in HTTP bodies and relay messages."""

from typing import Any

from caperridge.store.interface import (
    Condition,
    DeleteRow,
    FieldEquals,
    PutRow,
    Row,
    RowAbsent,
    RowVersion,
    SetFields,
    Write,
)

_CONDITIONS_BY_NAME = {
    "absent": RowAbsent,
    "version": RowVersion,
    "field": FieldEquals,
}
_WRITES_BY_NAME = {"put": PutRow, "set": SetFields, "delete": DeleteRow}
_NAMES_BY_CLASS = {
    cls: name for name, cls in (_CONDITIONS_BY_NAME | _WRITES_BY_NAME).items()
}


def encode(part: Condition | Write) -> dict[str, Any]:
    """Return a condition or write as a map, with its kind in the field ``is``."""
    return {"is": _NAMES_BY_CLASS[type(part)], **part.to_map()}


def decode_condition(fields: dict[str, Any]) -> Condition:
    """Return the condition that :func:`encode` encoded.

    Raises:
        KeyError: the kind is unknown.
    """
    return _CONDITIONS_BY_NAME[fields["is"]].from_map(fields)


def decode_write(fields: dict[str, Any]) -> Write:
    """Return the write that :func:`encode` encoded.

    Raises:
        KeyError: the kind is unknown.
    """
    return _WRITES_BY_NAME[fields["is"]].from_map(fields)


def decode_row(fields: dict[str, Any]) -> Row:
    """Return the row encoded as a map of its fields."""
    return Row.from_map(fields)
