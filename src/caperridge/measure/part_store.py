"""A modelled network between availability zones, and the store that it leads to."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok

from caperridge.gateway.rows import (
    ABSENT,
    Done,
    Refused,
    RowKey,
    StoredRow,
    Transaction,
)
from caperridge.store.interface import NotDone

ZONES = 3
NEAR_S = 0.001
FAR_S = (0.005, 0.04)
# Until the reader of a zone has read a changed row.
MAX_READ_S = 0.5
IN_TOUCH_S = 3.0


class Network:
    """Delays between availability zones, and the one that is cut off.

    Attributes:
        cut_zone: the zone that is cut off; None for none.
        chance: draws the delays.
    """

    def __init__(self, chance: random.Random) -> None:
        self.cut_zone: int | None = None
        self._last_cut_zone: int | None = None
        self._mended_at = -math.inf
        self.chance = chance

    def cut(self, zone: int) -> None:
        """Cut a zone off from the others and from the store."""
        self.cut_zone = self._last_cut_zone = zone
        self._mended_at = math.inf

    def mend(self) -> None:
        """End the cut."""
        self.cut_zone = None
        self._mended_at = asyncio.get_running_loop().time()

    def is_in_touch(self, zone: int, at: float) -> bool:
        """Whether a zone was not cut off for some seconds before ``at``."""
        return zone != self._last_cut_zone or at >= self._mended_at + IN_TOUCH_S

    def delay_s(self, one: int, other: int) -> float:
        """Return the one-way delay between two zones."""
        return NEAR_S if one == other else self.chance.uniform(*FAR_S)

    def is_reachable(self, one: int, other: int) -> bool:
        """Whether messages pass between two zones."""
        return one == other or self.cut_zone not in (one, other)


class ModelStore:
    """Rows of suspects, with conditional writes.

    Attributes:
        attempts: conditional writes that reached it.
        refusals: those that it refused.

    Args:
        network: between instances and the store, which is in zone 0.
        tell: called with a zone and the changed rows that its reader has read.
    """

    def __init__(
        self, network: Network, tell: Callable[[int, list[StoredRow]], None]
    ) -> None:
        self.attempts = 0
        self.refusals = 0
        self._network = network
        self._tell_readers = tell
        self._version = 0
        self.rows_by_key: dict[RowKey, StoredRow] = {}

    async def transact(self, transaction: Transaction, zone: int) -> Any:
        """Apply a transaction of an instance in ``zone``, or refuse it."""
        await asyncio.sleep(self._network.delay_s(zone, 0))
        if not self._network.is_reachable(zone, 0):
            return Err(NotDone("cut off"))
        self.attempts += 1
        found = [self.rows_by_key.get(key) for key in transaction.versions]
        wanted = transaction.versions.values()
        if any(
            (row.version if row else ABSENT) != version
            for row, version in zip(found, wanted, strict=True)
        ):
            self.refusals += 1
            await asyncio.sleep(self._network.delay_s(zone, 0))
            return Err(Refused([row for row in found if row is not None]))
        self._version += 1
        version = self._version
        changed = [
            StoredRow(key, value, version) for key, value in transaction.writes.items()
        ]
        changed += [StoredRow(key, b"", version, True) for key in transaction.removes]
        for row in changed:
            self.rows_by_key[row.key] = row
            if row.removed:
                del self.rows_by_key[row.key]
        for reader in range(ZONES):
            wait_s = self._network.chance.uniform(0.0, MAX_READ_S)
            asyncio.get_running_loop().call_later(wait_s, self._tell, reader, changed)
        await asyncio.sleep(self._network.delay_s(zone, 0))
        return Ok(Done(version, asyncio.get_running_loop().time()))

    def _tell(self, zone: int, rows: list[StoredRow]) -> None:
        """Have the instances of a zone apply changed rows, once it can be reached."""
        if not self._network.is_reachable(zone, 0):
            loop = asyncio.get_running_loop()
            loop.call_later(MAX_READ_S, self._tell, zone, rows)
            return
        self._tell_readers(zone, rows)
