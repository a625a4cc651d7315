"""Serialization of store calls and answers that are relayed through a peer."""

from functools import singledispatch
from typing import Any

from result import Err, Ok, Result

from caperridge.gateway.rows import (
    Done,
    Refused,
    Rejected,
    RowKey,
    RowsRead,
    StoredRow,
    Transaction,
)
from caperridge.store.interface import NotDone, Unknown

NOTHING = type(None).__name__
# Besides the errors that any call may have.
OUTCOMES_BY_CALL = {
    "read": (RowsRead.__name__,),
    "transact": (Done.__name__, Refused.__name__),
    "put_object": (NOTHING,),
    "get_object": (bytes.__name__, NOTHING),
    "drop_object": (NOTHING,),
}


def transaction_to_plain(transaction: Transaction) -> list[Any]:
    """Return ``transaction`` as lists."""
    return [
        [[*_key(key), version] for key, version in transaction.versions.items()],
        [[*_key(key), value] for key, value in transaction.writes.items()],
        [_key(key) for key in transaction.removes],
    ]


def transaction_from_plain(plain: list[Any]) -> Transaction:
    """Return the transaction from the result of :func:`transaction_to_plain`."""
    versions, writes, removes = plain
    return Transaction(
        {RowKey(*key): version for *key, version in versions},
        {RowKey(*key): value for *key, value in writes},
        [RowKey(*key) for key in removes],
    )


def answer_to_plain(answer: Result[Any, Any]) -> tuple[str, Any]:
    """Return the type name of an answer and its values.

    A rejection is sent as a call that was not done, as earlier releases know only that.
    """
    value = answer.err_value if isinstance(answer, Err) else answer.ok_value
    kind = NotDone if isinstance(value, NotDone) else type(value)
    return kind.__name__, _plain(value)


def answer_from_plain(
    call: str, outcome: str, fields: Any, rejected: bool = False
) -> Result[Any, Any]:
    """Return the answer to a call from the result of :func:`answer_to_plain`.

    Args:
        call: name of the method of the store.
        outcome: type name of the answer.
        fields: its values.
        rejected: whether the store refuses the call for good.

    Raises:
        ValueError: the call has no such answer, or not of this form.
    """
    errors = (NotDone.__name__, Unknown.__name__)
    if not rejected and outcome not in (*errors, *OUTCOMES_BY_CALL.get(call, ())):
        raise ValueError(f"call {call!r} was answered with {outcome!r}")
    try:
        return _decode(Rejected.__name__ if rejected else outcome, fields)
    except (TypeError, ValueError) as error:
        text = f"call {call!r} was answered with {outcome!r} of another form: {error}"
        raise ValueError(text) from error


def _decode(outcome: str, fields: Any) -> Result[Any, Any]:
    if outcome == Rejected.__name__:
        return Err(Rejected(*fields))
    if outcome == NotDone.__name__:
        return Err(NotDone(*fields))
    if outcome == Unknown.__name__:
        return Err(Unknown(*fields))
    if outcome == RowsRead.__name__:
        rows, truncated, version, now_s = fields
        return Ok(RowsRead([_row(row) for row in rows], truncated, version, now_s))
    if outcome == Done.__name__:
        return Ok(Done(*fields))
    if outcome == Refused.__name__:
        return Err(Refused([_row(row) for row in fields]))
    return Ok(fields)


@singledispatch
def _plain(value: Any) -> Any:
    return value


@_plain.register
def _(value: RowsRead) -> Any:
    rows = [_row_fields(row) for row in value.rows]
    return [rows, value.truncated, value.version, value.now_s]


@_plain.register
def _(value: Done) -> Any:
    return [value.version, value.now_s]


@_plain.register
def _(value: Refused) -> Any:
    return [_row_fields(row) for row in value.rows]


@_plain.register
def _(value: NotDone) -> Any:
    return [value.reason, value.retry_after_s, value.reached]


@_plain.register
def _(value: Unknown) -> Any:
    return [value.reason, value.reached]


def _key(key: RowKey) -> list[str]:
    return [key.table, key.part, key.key]


def _row_fields(row: StoredRow) -> list[Any]:
    return [*_key(row.key), row.value, row.version, row.removed]


def _row(fields: list[Any]) -> StoredRow:
    table, part, key, value, version, removed = fields
    return StoredRow(RowKey(table, part, key), value, version, removed)
