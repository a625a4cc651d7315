"""Forgetting a keyed call whose key need not be remembered any longer."""

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
    """Remove the call's object and its row, unless the row changed since it was read.

    The object goes first: a row without its object says so to a resend, while an
    object without its row would stay for ever.
    """
    claim = CallClaim.from_map(row.value)
    if claim.stored:
        removed = await platform.delete_object(claim.stored)
        if isinstance(removed, Err):
            return removed
    conditions: list[Condition] = [
        RowVersion(row.key, row.version),
        # A row that was removed and made anew may have the same version.
        FieldEquals(row.key, "request", claim.request),
    ]
    return await platform.transact(
        conditions, [DeleteRow(row.key)], secrets.token_hex(8)
    )
