"""Instrumentation of the store: counts and times its calls and updates its clock."""

import time
from collections.abc import Awaitable
from typing import TypeVar

from result import Err, Result

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.rows import (
    ChangesError,
    Done,
    RowsRead,
    RowStore,
    StoreError,
    StoreLimits,
    Transaction,
    TransactionError,
)

T = TypeVar("T")
E = TypeVar("E")


class ObservedStore(RowStore):
    """Forwards calls and records their outcomes.

    Args:
        store: that is called.
        clock: updated from answers.
        metrics: record calls and their times.
    """

    def __init__(
        self, store: RowStore, clock: StoreClock, metrics: GatewayMetrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics

    @property
    def limits(self) -> StoreLimits:
        """See :attr:`RowStore.limits`."""
        return self._store.limits

    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Result[RowsRead, StoreError]:
        """See :meth:`RowStore.read`."""
        call = self._store.read(table, part, first, end, limit)
        return self._with_clock_update(await self._observed("read", call))

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        """See :meth:`RowStore.transact`."""
        call = self._store.transact(transaction)
        return self._with_clock_update(await self._observed("transact", call))

    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        """See :meth:`RowStore.changes`."""
        call = self._store.changes(table, since, wait_s)
        return self._with_clock_update(await self._observed("changes", call))

    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        """See :meth:`RowStore.put_object`."""
        return await self._observed("put_object", self._store.put_object(name, data))

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """See :meth:`RowStore.get_object`."""
        return await self._observed("get_object", self._store.get_object(name))

    async def drop_object(self, name: str) -> Result[None, StoreError]:
        """See :meth:`RowStore.drop_object`."""
        return await self._observed("drop_object", self._store.drop_object(name))

    async def _observed(self, name: str, call: Awaitable[Result[T, E]]) -> Result[T, E]:
        started_at = time.monotonic()
        answer = await call
        if name != "changes":
            duration_s = time.monotonic() - started_at
            self._metrics.store_seconds.labels(name).observe(duration_s)
        failed = isinstance(answer, Err)
        outcome = type(answer.err_value).__name__ if failed else "done"
        self._metrics.store_calls.labels(name, outcome).inc()
        return answer

    def _with_clock_update(self, answer: Result[T, E]) -> Result[T, E]:
        now_s = getattr(answer.ok_value, "now_s", 0.0) if answer.is_ok() else 0.0
        if now_s:
            self._clock.update(now_s)
        return answer
