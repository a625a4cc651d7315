"""Take-over and release of targets, and the list of loads at a weight store."""

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
    """Acquire the order lease of ``target``.

    Args:
        platform: where the row is stored.
        target: id of the target.
        seen: its row as read, whose holder's session has ended; None if there is none.
        row: the new row, with the own session and the incremented fencing number.
    """
    key = keys.order(target)
    conditions = [
        _unchanged(key, seen),
        FieldEquals(keys.session(row.holder), "state", ALIVE),
    ]
    return await transact_settled(
        platform, conditions, [PutRow(key, row.to_map())], secrets.token_hex(8)
    )


async def release_target(
    platform: Platform, target: str, session: str
) -> Result[Committed, WriteError]:
    """Release the order lease of ``target``, after its last order was answered."""
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
    """Replace the list of running loads of a weight store, if it is unchanged.

    Args:
        platform: where the list is stored.
        store: name of the weight store.
        seen: the row of the list as read; None if there is none.
        loads: the new list.
    """
    key = keys.loading(store)
    value = {"loads": [load.to_map() for load in loads]}
    return await transact_settled(
        platform, [_unchanged(key, seen)], [PutRow(key, value)], secrets.token_hex(8)
    )


def _unchanged(key: str, seen: Row | None) -> Condition:
    return RowAbsent(key) if seen is None else RowVersion(key, seen.version)
