"""Taking over and releasing targets, and beginning and ending loads."""

import secrets

from result import Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.load_pacing import Load
from caperridge.decisions.order_leases import OrderRow
from caperridge.store.interface import (
    Committed,
    Condition,
    FieldEquals,
    Platform,
    PutRow,
    Row,
    RowAbsent,
    RowVersion,
    SetFields,
    WriteError,
)
from caperridge.store.settle import transact_settled


async def acquire_target(
    platform: Platform, target: str, seen: Row | None, row: OrderRow
) -> Result[Committed, WriteError]:
    """Become the one who orders ``target``.

    Args:
        platform: where the row is.
        target: which one.
        seen: its row as read, whose holder has ended; None if there is none.
        row: with the own session and the raised fencing number.
    """
    key = keys.order(target)
    conditions = [
        _as_seen(key, seen),
        FieldEquals(keys.session(row.holder), "state", ALIVE),
    ]
    return await transact_settled(
        platform, conditions, [PutRow(key, row.to_map())], secrets.token_hex(8)
    )


async def release_target(
    platform: Platform, target: str, session: str
) -> Result[Committed, WriteError]:
    """Let another instance order ``target``; the last order has been answered."""
    key = keys.order(target)
    return await transact_settled(
        platform,
        [FieldEquals(key, "holder", session)],
        [SetFields(key, {"holder": ""})],
        secrets.token_hex(8),
    )


async def put_loads(
    platform: Platform, store: str, seen: Row | None, loads: list[Load]
) -> Result[Committed, WriteError]:
    """Replace the list of loads under way at a weight store, if it is as seen."""
    key = keys.loading(store)
    value = {"loads": [load.to_map() for load in loads]}
    return await transact_settled(
        platform, [_as_seen(key, seen)], [PutRow(key, value)], secrets.token_hex(8)
    )


def _as_seen(key: str, seen: Row | None) -> Condition:
    return RowAbsent(key) if seen is None else RowVersion(key, seen.version)
