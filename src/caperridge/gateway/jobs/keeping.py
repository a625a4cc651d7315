"""Fenced writes of a held job to the store: results at their positions, and progress.

Every write is one transaction on the job's own partition, conditional on the head as
this holder last wrote it. The next write of a holder that was replaced is refused, and
it has listed nothing since.
"""

import asyncio

from result import Err, Ok, Result

from caperridge.gateway.jobs.codec import UnreadableError, from_bytes, to_bytes
from caperridge.gateway.jobs.held_job import DONE, LISTED, HeldJob, ItemState
from caperridge.gateway.jobs.keys import (
    head_key,
    progress_key,
    result_key,
    text_object,
)
from caperridge.gateway.jobs.model import ItemResult, JobHead
from caperridge.gateway.rows import (
    Refused,
    RowKey,
    RowStore,
    Transaction,
)
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Output since the last write of progress is generated again after a loss of the
# instance; each write costs a call and the bytes of all unfinished texts.
PROGRESS_INTERVAL_S = 1.5
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# The store accepts 100 entries and 1 MB in one transaction; base64 adds a third.
MAX_TRANSACTION_ENTRIES = 90
MAX_TRANSACTION_BYTES = 600_000


class HeldElsewhere(Record):
    """Another instance holds the job or its caller cancelled it, see ``head``."""

    __slots__ = ("head",)

    def __init__(self, head: JobHead | None) -> None:
        self.head = head


class JobWriter:
    """Writes jobs for their holder.

    Args:
        store: of jobs.
        incarnation: of this process.
        row_bytes: maximum size of the encoded value of a row.
    """

    def __init__(self, store: RowStore, incarnation: str, row_bytes: int) -> None:
        self._store = store
        self._incarnation = incarnation
        # Values are encoded as base64; 1024 bytes are left for other fields.
        self._max_text_bytes = row_bytes * 3 // 4 - 1024

    async def write(self, job: HeldJob, holder: str) -> bool:
        """Write results and progress; False if the job is held elsewhere or cancelled.

        Retries until the outcome is certain.

        Args:
            job: whose unlisted results and progress are written.
            holder: incarnation that holds it from then on; empty to release it.
        """
        results = await self._results(job)
        progress = [] if holder == "" and not job.states else self._progress(job)
        transaction, head, stored = self._transaction(job, holder, results, progress)
        answer = await self._transact_until_certain(job, transaction, head)
        if isinstance(answer, Err):
            job.lost = True
            found = answer.err_value.head
            log.info(
                "job held elsewhere",
                job=job.entry.id,
                holder=found.holder if found else "",
                cancelled=found.cancelled if found else False,
            )
            if found is not None:
                job.head = found
            job.cancel_runs()
            return False
        job.version = answer.ok_value
        job.head = head
        for state, _ in results:
            state.status = LISTED
        job.unlisted = job.unlisted[len(results) :]
        for state, event, failures in stored:
            state.stored_event = event
            state.stored_failures = failures
        return True

    async def _results(self, job: HeldJob) -> list[tuple[ItemState, ItemResult]]:
        """Return the results for one transaction; large texts become objects."""
        taken: list[tuple[ItemState, ItemResult]] = []
        size = 0
        for state, result in job.unlisted:
            stored = result
            if len(result.text) > self._max_text_bytes:
                name = text_object(job.entry.id, state.number, self._incarnation)
                await self._put_object(name, result.text)
                stored = result.replace(text=b"", object=name)
            size += len(stored.text)
            if taken and (
                size > MAX_TRANSACTION_BYTES
                or len(taken) >= MAX_TRANSACTION_ENTRIES // 2
            ):
                break
            taken.append((state, stored))
        return taken

    async def _put_object(self, name: str, data: bytes) -> None:
        pause_s = MIN_RETRY_DELAY_S
        while isinstance(answer := await self._store.put_object(name, data), Err):
            log.info("text not stored yet", object=name, reason=answer.err_value.reason)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)

    def _progress(self, job: HeldJob) -> list[ItemState]:
        """Return unfinished items with new progress that fit in the transaction."""
        taken: list[ItemState] = []
        size = 0
        for state in job.states:
            if state.status in (DONE, LISTED) or not state.has_unstored_progress:
                continue
            if len(state.progress.text) > self._max_text_bytes:
                continue  # too large for a row; generated again after a loss
            size += len(state.progress.text)
            if (
                size > MAX_TRANSACTION_BYTES
                or len(taken) >= MAX_TRANSACTION_ENTRIES // 2
            ):
                break
            taken.append(state)
        return taken

    def _transaction(
        self,
        job: HeldJob,
        holder: str,
        results: list[tuple[ItemState, ItemResult]],
        progress: list[ItemState],
    ) -> tuple[Transaction, JobHead, list[tuple[ItemState, int, int]]]:
        id = job.entry.id
        head = job.head.replace(
            holder=holder,
            listed=job.head.listed + len(results),
            turn=job.head.turn + 1,
        )
        writes: dict[RowKey, bytes] = {head_key(id): to_bytes(head)}
        removes: list[RowKey] = []
        for offset, (state, result) in enumerate(results):
            writes[result_key(id, job.head.listed + offset)] = to_bytes(result)
            if state.stored_event or state.stored_failures:
                removes.append(progress_key(id, state.number))
        stored: list[tuple[ItemState, int, int]] = []
        for state in progress:
            writes[progress_key(id, state.number)] = to_bytes(state.progress)
            stored.append((state, state.progress.event, state.progress.failures))
        versions = {head_key(id): job.version}
        return Transaction(versions, writes, removes), head, stored

    async def _transact_until_certain(
        self, job: HeldJob, transaction: Transaction, head: JobHead
    ) -> Result[int, HeldElsewhere]:
        """Repeat ``transaction`` until its outcome is certain.

        It is conditional on the head's version, so at most one of the repeats takes
        effect, and none after another write.
        """
        key = head_key(job.entry.id)
        pause_s = MIN_RETRY_DELAY_S
        while True:
            answer = await self._store.transact(transaction)
            if not isinstance(answer, Err):
                return Ok(answer.ok_value.version)
            error = answer.err_value
            if isinstance(error, Refused):
                row = error.row(key)
                if row is None:
                    return Err(HeldElsewhere(None))
                try:
                    found = from_bytes(JobHead, row.value)
                except UnreadableError as unreadable:
                    log.error("head skipped", job=job.entry.id, reason=str(unreadable))
                    return Err(HeldElsewhere(None))
                if found == head:
                    return Ok(row.version)
                return Err(HeldElsewhere(found))
            log.info(
                "job not written yet",
                job=job.entry.id,
                reason=error.reason,
                conditions=len(transaction.versions),
                writes=len(transaction.writes),
                removes=len(transaction.removes),
                value_bytes=sum(map(len, transaction.writes.values())),
            )
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)
