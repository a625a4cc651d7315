"""Encoding of platform calls and their outcomes in relay messages."""

from functools import singledispatch
from typing import Any

from result import Err, Ok, Result

from caperridge.records import Record
from caperridge.store.interface import (
    Committed,
    Conflict,
    ListedMember,
    NotDone,
    Platform,
    Unknown,
)
from caperridge.store.wire import decode_condition, decode_row, decode_write

OK = "ok"
METHODS = (
    "transact",
    "read",
    "scan",
    "put_object",
    "get_object",
    "list_objects",
    "delete_object",
    "members",
)


class RelayError(Exception):
    """A relayed call or its outcome is invalid."""


async def perform(
    platform: Platform, method: str, arguments: dict[str, Any]
) -> Result[Any, Any]:
    """Execute a call on behalf of a peer.

    Raises:
        RelayError: the method is unknown, or its arguments are invalid.
    """
    if method not in METHODS:
        raise RelayError(f"there is no call {method!r}")
    try:
        if method == "transact":
            arguments = {
                "conditions": [decode_condition(c) for c in arguments["conditions"]],
                "writes": [decode_write(w) for w in arguments["writes"]],
                "token": arguments["token"],
            }
        call = getattr(platform, method)(**arguments)
    except (TypeError, KeyError) as error:
        raise RelayError(f"{method}: {error}") from error
    return await call


def encode_outcome(outcome: Result[Any, Any]) -> tuple[str, Any]:
    """Return the name of the outcome's class and its value, ready for msgpack."""
    if isinstance(outcome, Ok):
        return OK, outcome.ok_value
    error: Record = outcome.err_value
    return type(error).__name__, error


def decode_outcome(method: str, outcome: str, value: Any) -> Result[Any, Any]:
    """Return the outcome that :func:`encode_outcome` encoded.

    Raises:
        RelayError: the class is unknown or the value is invalid.
    """
    try:
        if outcome == OK:
            return Ok(_value(method, value))
        if outcome == Conflict.__name__:
            rows_by_key = {
                key: decode_row(row) if row else None
                for key, row in value["rows_by_key"].items()
            }
            return Err(Conflict(value["failed_keys"], rows_by_key))
        if outcome == NotDone.__name__:
            return Err(NotDone.from_map(value))
        if outcome == Unknown.__name__:
            return Err(Unknown.from_map(value))
    except (TypeError, KeyError, AttributeError) as error:
        raise RelayError(f"{method}: {error}") from error
    raise RelayError(f"{method}: unknown outcome {outcome!r}")


def _value(method: str, value: Any) -> Any:
    if method == "transact":
        return Committed.from_map(value)
    if method == "read":
        return {key: decode_row(row) for key, row in value.items()}
    if method == "scan":
        return [decode_row(row) for row in value]
    if method == "members":
        return [ListedMember.from_map(member) for member in value]
    return value


@singledispatch
def estimated_size(value: Any) -> int:
    """Return the approximate size of ``value`` in a message, in bytes."""
    return 9


@estimated_size.register
def _(value: bytes) -> int:
    return len(value) + 5


@estimated_size.register
def _(value: str) -> int:
    return len(value) + 5


@estimated_size.register
def _(value: list) -> int:
    return 5 + sum(estimated_size(item) for item in value)


@estimated_size.register
def _(value: dict) -> int:
    return 5 + sum(
        estimated_size(key) + estimated_size(item) for key, item in value.items()
    )


@estimated_size.register
def _(value: Record) -> int:
    return estimated_size(value.to_map())
