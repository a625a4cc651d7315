"""In-memory rows with lost answers and delayed writes."""

import asyncio
from collections.abc import Iterable

from result import Err, Ok, Result

from caperridge.gateway.rows import (
    ABSENT,
    ChangesError,
    Done,
    Refused,
    Rejected,
    RowKey,
    RowsRead,
    RowStore,
    StoredRow,
    StoreError,
    Transaction,
    TransactionError,
)
from caperridge.platform.store_limits import PlatformStoreLimits
from caperridge.store.interface import NotDone, Unknown

# Outcomes of a write.
DONE, NOT_DONE, LOST_DONE, LOST_LATE, LOST_NEVER = range(5)


class MemoryRows(RowStore):
    """Gives writes the outcomes in ``fates``, in order; then all are done.

    Attributes:
        rows_by_key: current rows.
        history: each state of the rows, oldest first, for the checks of a test.
        objects: by name.
        late: writes whose answers were lost and that may still be done.
        rejects: refuse all transactions for good.
        transactions: number of transactions so far.
    """

    def __init__(self, fates: Iterable[int], pauses: Iterable[int]) -> None:
        self.rows_by_key: dict[RowKey, StoredRow] = {}
        self.history: list[dict[RowKey, StoredRow]] = []
        self.late: list[Transaction] = []
        self.objects: dict[str, bytes] = {}
        self.rejects = False
        self.transactions = 0
        self._fates = iter(fates)
        self._pauses = iter(pauses)
        self._version = 1
        self._limits = PlatformStoreLimits()

    @property
    def limits(self) -> PlatformStoreLimits:
        return self._limits

    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Result[RowsRead, StoreError]:
        await self._pause()
        keys = [
            key
            for key in self.rows_by_key
            if (key.table, key.part) == (table, part) and key.key >= first
        ]
        keys.sort(key=lambda key: key.key)
        rows = [self.rows_by_key[key] for key in keys[:limit]]
        return Ok(RowsRead(rows, len(keys) > limit, self._version, 1.0))

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        self.transactions += 1
        if self.rejects:
            return Err(Rejected("refused"))
        fate = next(self._fates, DONE)
        await self._pause()
        if fate == NOT_DONE:
            return Err(NotDone("busy"))
        if fate == LOST_NEVER:
            return Err(Unknown("lost"))
        if fate == LOST_LATE:
            self.late.append(transaction)
            return Err(Unknown("lost"))
        answer = self._apply(transaction)
        await self._pause()
        return Err(Unknown("lost")) if fate == LOST_DONE else answer

    def heal(self) -> None:
        """Do all later writes at once."""
        self._fates = iter(())

    def do_late(self) -> None:
        """Do the delayed writes whose conditions still hold."""
        late, self.late = self.late, []
        for transaction in late:
            self._apply(transaction)

    def _apply(self, transaction: Transaction) -> Result[Done, TransactionError]:
        there = [
            self.rows_by_key[key]
            for key in transaction.versions
            if key in self.rows_by_key
        ]
        versions = {row.key: row.version for row in there}
        for key, version in transaction.versions.items():
            if versions.get(key, ABSENT) != version:
                return Err(Refused(there))
        self._version += 1
        for key, value in transaction.writes.items():
            self.rows_by_key[key] = StoredRow(key, value, self._version)
        for key in transaction.removes:
            self.rows_by_key.pop(key, None)
        self.history.append(dict(self.rows_by_key))
        return Ok(Done(self._version, 1.0))

    async def _pause(self) -> None:
        """Yield to other tasks; a delayed write may be done meanwhile."""
        for _ in range(next(self._pauses, 0)):
            await asyncio.sleep(0)
            if self.late:
                self._apply(self.late.pop(0))

    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        return Err(NotDone("not in memory"))

    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        await self._pause()
        self.objects[name] = data
        return Ok(None)

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        return Ok(self.objects.get(name))

    async def drop_object(self, name: str) -> Result[None, StoreError]:
        self.objects.pop(name, None)
        return Ok(None)
