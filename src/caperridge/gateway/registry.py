"""Finding the other instances through the store."""

import asyncio
import contextlib

from result import Err

from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.rows import RowKey, RowStore, Transaction, read_whole
from caperridge.log import logger
from caperridge.records import pack, unpack

log = logger(__name__)

TABLE = "instances"
LOOK_S = 3.0
# Members learn of each other from peers; the list is for those who know nobody. Up to
# so many members each reads it every ``LOOK_S``; beyond, the rate of all is constant.
FULL_RATE_MEMBERS = 16
FIRST_LOOK_S = 0.5
LEAVE_S = 0.3


class InstanceRegistry:
    """Lists this instance in the store and reads who else is listed.

    Args:
        store: with the table.
        mesh: told of the others.
    """

    def __init__(self, store: RowStore, mesh: Mesh) -> None:
        self._store = store
        self._mesh = mesh
        self._listed = False

    async def run(self) -> None:
        """List and look until cancelled."""
        pause_s = FIRST_LOOK_S
        while True:
            if not self._listed:
                await self._enter()
            if await self._look() and self._listed:
                crowd = len(self._mesh.members_by_id) / FULL_RATE_MEMBERS
                pause_s = LOOK_S * max(1.0, crowd)
            await asyncio.sleep(pause_s)

    async def leave(self) -> None:
        """Take the own entry away, if the store answers soon."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S):
                await self._store.transact(Transaction({}, {}, [self._key()]))

    def _key(self) -> RowKey:
        return RowKey(TABLE, "", self._mesh.instance)

    async def _enter(self) -> None:
        value = pack([self._mesh.address, self._mesh.zone, self._mesh.incarnation])
        answer = await self._store.transact(Transaction({}, {self._key(): value}))
        self._listed = not isinstance(answer, Err)

    async def _look(self) -> bool:
        answer = await read_whole(self._store, TABLE)
        if isinstance(answer, Err):
            return False
        for row in answer.ok_value.rows:
            try:
                address, zone = _place(row.value)
            except (ValueError, TypeError) as error:
                log.error("instance skipped", key=row.key.key, reason=str(error))
                continue
            self._mesh.learn(row.key.key, address, zone)
        return True


def _place(value: bytes) -> tuple[str, str]:
    """Return where an instance is, address and availability zone.

    Raises:
        ValueError: another release wrote something else.
        TypeError: the same.
    """
    fields = unpack(value)
    if not isinstance(fields, list):
        raise TypeError("is no list")
    address, zone, *_ = fields
    if not isinstance(address, str) or not isinstance(zone, str):
        raise TypeError("address and zone must be texts")
    _, _, port = address.rpartition(":")
    if not port.isdigit():
        raise ValueError("its address has no port")
    return address, zone
