"""Discovery of the other instances through a table of the store."""

import asyncio
import contextlib

from result import Err

from caperridge.gateway.fields import is_address
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.rows import (
    Rejected,
    RowKey,
    RowStore,
    Transaction,
    read_all_rows,
)
from caperridge.log import logger
from caperridge.records import pack, unpack

log = logger(__name__)

TABLE = "instances"
POLL_INTERVAL_S = 3.0
# Members learn of each other from peers; the list serves those that know no peer. Up to
# this many members, each polls every ``POLL_INTERVAL_S``; with more, the total rate of
# polls is constant.
FULL_RATE_MEMBERS = 16
FIRST_POLL_DELAY_S = 0.5
DEREGISTER_TIMEOUT_S = 0.3


class InstanceRegistry:
    """Registers this instance in the store and reads the other entries.

    Args:
        store: with the table.
        mesh: learns the other instances.
    """

    def __init__(self, store: RowStore, mesh: Mesh) -> None:
        self._store = store
        self._mesh = mesh
        # Done, or refused for good: the entry is not sent again.
        self._settled = False

    async def run(self) -> None:
        """Register and poll until cancelled."""
        pause_s = FIRST_POLL_DELAY_S
        while True:
            if not self._settled:
                await self._register()
            if await self._read_members() and self._settled:
                size_ratio = len(self._mesh.members_by_id) / FULL_RATE_MEMBERS
                pause_s = POLL_INTERVAL_S * max(1.0, size_ratio)
            await asyncio.sleep(pause_s)

    async def deregister(self) -> None:
        """Remove the own entry, if the store answers in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                await self._store.transact(Transaction({}, {}, [self._key()]))

    def _key(self) -> RowKey:
        return RowKey(TABLE, "", self._mesh.instance)

    async def _register(self) -> None:
        value = pack([self._mesh.address, self._mesh.zone, self._mesh.incarnation])
        answer = await self._store.transact(Transaction({}, {self._key(): value}))
        rejected = isinstance(answer, Err) and isinstance(answer.err_value, Rejected)
        if rejected:
            log.error("instance not registered", reason=answer.err_value.reason)
        self._settled = rejected or not isinstance(answer, Err)

    async def _read_members(self) -> bool:
        answer = await read_all_rows(self._store, TABLE)
        if isinstance(answer, Err):
            return False
        for row in answer.ok_value.rows:
            try:
                address, zone = _decode_location(row.value)
            except (ValueError, TypeError) as error:
                log.error("invalid instance entry", key=row.key.key, reason=str(error))
                continue
            self._mesh.learn(row.key.key, address, zone)
        return True


def _decode_location(value: bytes) -> tuple[str, str]:
    """Return the address and availability zone of an entry.

    Raises:
        ValueError: the entry is not readable, or of an incompatible release.
        TypeError: the same.
    """
    fields = unpack(value)
    if not isinstance(fields, list):
        raise TypeError("the entry is not a list")
    address, zone, *_ = fields
    if not isinstance(address, str) or not isinstance(zone, str):
        raise TypeError("address and zone must be strings")
    if not is_address(address):
        raise ValueError("the address must be IP:PORT")
    return address, zone
