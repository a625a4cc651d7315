"""Removal of a keyed call whose retention is over."""

import secrets

from result import Err, Result

from caperridge.decisions.plain_calls import CallClaim
from caperridge.store.interface import (
    Committed,
    Condition,
    DeleteRow,
    FieldEquals,
    Platform,
    Row,
    RowVersion,
    WriteError,
)


async def delete_call(platform: Platform, row: Row) -> Result[Committed, WriteError]:
    """Delete the call's object and its row, unless the row changed since it was read.

    The object is deleted first: a resend can detect a row without its object, while an
    object without its row would never be deleted.
    """
    claim = CallClaim.from_map(row.value)
    if claim.stored:
        removed = await platform.delete_object(claim.stored)
        if isinstance(removed, Err):
            return removed
    conditions: list[Condition] = [
        RowVersion(row.key, row.version),
        # A row that was deleted and inserted again may have the same version.
        FieldEquals(row.key, "request", claim.request),
    ]
    return await platform.transact(
        conditions, [DeleteRow(row.key)], secrets.token_hex(8)
    )
