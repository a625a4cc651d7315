"""Reads of the order lease of a target, and of the running loads of a weight store."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.decisions.load_pacing import Load, parse_loads
from caperridge.decisions.order_leases import OrderRow, SessionRow
from caperridge.records import Record
from caperridge.store.interface import Platform, ReadError, Row


class OrderSeen(Record):
    """The row of a target as read, and the session of its holder."""

    __slots__ = ("holder", "order", "row")

    def __init__(
        self, row: Row | None, order: OrderRow | None, holder: SessionRow
    ) -> None:
        self.row = row
        self.order = order
        self.holder = holder


async def read_order(platform: Platform, target: str) -> Result[OrderSeen, ReadError]:
    """Return the order lease of ``target`` and its holder's session."""
    key = keys.order(target)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    if row is None:
        return Ok(OrderSeen(None, None, SessionRow()))
    order = OrderRow.from_map(row.value)
    if not order.holder:
        return Ok(OrderSeen(row, order, SessionRow()))
    session_key = keys.session(order.holder)
    sessions = await platform.read([session_key])
    if isinstance(sessions, Err):
        return sessions
    session = sessions.ok_value.get(session_key)
    holder = SessionRow()
    if session is not None:
        holder = SessionRow(session.value["state"], session.version)
    return Ok(OrderSeen(row, order, holder))


async def read_loads(
    platform: Platform, store: str
) -> Result[tuple[Row | None, list[Load]], ReadError]:
    """Return the running loads of a weight store, with their row."""
    key = keys.loading(store)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    return Ok((row, parse_loads(row.value if row else None)))
