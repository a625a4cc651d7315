"""Conditional writes of entries in the job index."""

import asyncio

from result import Err, Ok, Result

from caperridge.gateway.jobs.codec import to_bytes
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keys import entry_key
from caperridge.gateway.rows import (
    Refused,
    Rejected,
    RowStore,
    StoredRow,
    Transaction,
    TransactionError,
)
from caperridge.log import logger

log = logger(__name__)

# After a refusal for good; another release or setting may be in force later.
REJECTED_RETRY_DELAY_S = 60.0


class EntryWriter:
    """Rewrites entries of jobs.

    Args:
        store: of jobs.
        index: provides the entries as last read.
    """

    def __init__(self, store: RowStore, index: JobIndex) -> None:
        self._store = store
        self._index = index
        self._rejected_until_by_id: dict[str, float] = {}

    def forget(self, id: str) -> None:
        """Remove the state of a job that was swept."""
        self._rejected_until_by_id.pop(id, None)

    async def close(self, id: str) -> Result[None, TransactionError]:
        """Close a job's entry: it is finished, or its caller ended it.

        No instance claims it from then on, and its holder stops to work on it.

        Args:
            id: of the job.

        Returns:
            An error other than :class:`Rejected` if the call is to be repeated.
        """
        return await self.rewrite(id, 0, still_open=False)

    async def rewrite(
        self, id: str, tokens: int, still_open: bool
    ) -> Result[None, TransactionError]:
        """Rewrite a job's entry, unless it is closed; see :meth:`close`.

        Args:
            id: of the job.
            tokens: of its items that are not done.
            still_open: whether items may still run.
        """
        entry = self._index.entries_by_job.get(id)
        if entry is None or not entry.open:
            return Ok(None)
        now = asyncio.get_running_loop().time()
        if now < self._rejected_until_by_id.get(id, now):
            return Err(Rejected("the store refused the entry before"))
        changed = entry.replace(waiting_tokens=tokens, open=still_open)
        key = entry_key(id)
        version = self._index.version_of(id)
        value = to_bytes(changed)
        answer = await self._store.transact(Transaction({key: version}, {key: value}))
        if not isinstance(answer, Err):
            self._index.apply_row(StoredRow(key, value, answer.ok_value.version))
            return Ok(None)
        error = answer.err_value
        if isinstance(error, Rejected):
            log.error("entry of a job refused", job=id, reason=error.reason)
            self._rejected_until_by_id[id] = now + REJECTED_RETRY_DELAY_S
        row = error.row(key) if isinstance(error, Refused) else None
        if row is not None:
            self._index.apply_row(row)
        return Err(error)
