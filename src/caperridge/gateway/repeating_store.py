"""Hedged calls of the store: a call whose answer is overdue is sent again.

An answer may be lost though the call was done, without an error on its connection.
Waiting for the call's time-out then costs a job's caller its objective, and finished
results arrive late. Sending the same call again is safe: a transaction has conditions,
so at most one of both takes effect, and writing an object twice is idempotent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Result

from caperridge.gateway.rows import (
    ChangesError,
    Done,
    Refused,
    Rejected,
    RowsRead,
    RowStore,
    StoreError,
    StoreLimits,
    Transaction,
    TransactionError,
)
from caperridge.log import logger
from caperridge.store.interface import NotDone, Unknown

log = logger(__name__)

T = TypeVar("T")
E = TypeVar("E")

# An answer is overdue after this many times the recent mean. The store handles the
# calls of one partition in sequence, so that some wait for a few others.
HEDGE_DELAY_RATIO = 4.0
# Lower bound for a fast store, so that a pause of this process does not look overdue.
MIN_HEDGE_DELAY_S = 0.08
# A slow store answers in the end; more calls would make it slower.
MAX_CALLS = 3
SMOOTHING_RATIO = 0.3


class HedgingStore(RowStore):
    """Sends transactions and writes of objects again when they are overdue.

    Only for callers that treat the first and a later call alike: a call whose effect is
    there already is refused, with the rows as they are.

    Args:
        store: that is called.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._mean_s_by_call: dict[str, float] = {}

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
        return await self._store.read(table, part, first, end, limit)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        """See :meth:`RowStore.transact`."""
        return await self._hedged("transact", lambda: self._store.transact(transaction))

    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        """See :meth:`RowStore.changes`."""
        return await self._store.changes(table, since, wait_s)

    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        """See :meth:`RowStore.put_object`."""
        return await self._hedged(
            "put_object", lambda: self._store.put_object(name, data)
        )

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """See :meth:`RowStore.get_object`."""
        return await self._store.get_object(name)

    async def drop_object(self, name: str) -> Result[None, StoreError]:
        """See :meth:`RowStore.drop_object`."""
        return await self._store.drop_object(name)

    def hedge_delay_s(self, name: str) -> float:
        """Return the time after which an answer to a call is overdue."""
        mean_s = self._mean_s_by_call.get(name, 0.0)
        return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_RATIO * mean_s)

    async def _hedged(
        self, name: str, call: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E]:
        calls: set[asyncio.Task[Result[T, E]]] = set()
        try:
            while len(calls) < MAX_CALLS:
                calls.add(asyncio.ensure_future(self._timed(name, call)))
                answer = await _first_conclusive(calls, self.hedge_delay_s(name))
                if answer is not None:
                    return answer
                log.info("store call overdue", call=name, calls=len(calls))
            answer = await _first_conclusive(calls, None)
            assert answer is not None
            return answer
        finally:
            for one in calls:
                one.cancel()

    async def _timed(
        self, name: str, call: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E]:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await call()
        if not isinstance(answer, Err) or isinstance(answer.err_value, Refused):
            duration_s = loop.time() - started_at
            mean_s = self._mean_s_by_call.get(name, duration_s)
            self._mean_s_by_call[name] = mean_s + SMOOTHING_RATIO * (
                duration_s - mean_s
            )
        return answer


async def _first_conclusive(
    calls: set[asyncio.Task[Result[T, E]]], within_s: float | None
) -> Result[T, E] | None:
    """Return the first answer that determines the outcome of all calls.

    Args:
        calls: that were made.
        within_s: how long to wait; None for until all have finished.

    Returns:
        an unknown outcome if all have finished without a conclusive answer; None if
        there is no conclusive answer within that time and calls are pending.
    """
    loop = asyncio.get_running_loop()
    until = None if within_s is None else loop.time() + within_s
    while True:
        for one in calls:
            if one.done() and _is_conclusive(one.result()):
                return one.result()
        open_calls = {one for one in calls if not one.done()}
        if not open_calls:
            return _inconclusive([one.result() for one in calls])
        remaining_s = None if until is None else until - loop.time()
        if remaining_s is not None and remaining_s <= 0:
            return None
        await asyncio.wait(
            open_calls, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )


def _is_conclusive(answer: Result[T, E]) -> bool:
    """Whether an answer determines the outcome of earlier calls too.

    One that was not done leaves the outcome of other unanswered calls open.
    """
    return answer.is_ok() or isinstance(answer.err_value, Refused | Rejected)


def _inconclusive(answers: list[Result[T, E]]) -> Result[T, E]:
    if len(answers) == 1:
        return answers[0]
    if all(isinstance(one.err_value, NotDone) for one in answers):
        return answers[0]
    return Err(Unknown("none of several calls was answered"))
