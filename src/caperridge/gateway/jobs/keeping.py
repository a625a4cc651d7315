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
from caperridge.gateway.jobs.model import JobHead
from caperridge.gateway.rows import (
    Refused,
    RowKey,
    RowStore,
    Transaction,
    TransactionBuilder,
)
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Output since the last write of progress is generated again after a loss of the
# instance; each write costs a call and the bytes of all unfinished texts.
PROGRESS_INTERVAL_S = 1.5
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5


class HeldElsewhere(Record):
    """Another instance holds the job or its caller cancelled it, see ``head``."""

    __slots__ = ("head",)

    def __init__(self, head: JobHead | None) -> None:
        self.head = head


class JobBatch(Record):
    """One write of a job.

    Attributes:
        transaction: conditions, writes and removals.
        head: of the job after it.
        results: that it lists, in order of their positions.
        progress: items whose progress it stores, each with its event and failures.
    """

    __slots__ = ("head", "progress", "results", "transaction")

    def __init__(
        self,
        transaction: Transaction,
        head: JobHead,
        results: list[ItemState],
        progress: list[tuple[ItemState, int, int]],
    ) -> None:
        self.transaction = transaction
        self.head = head
        self.results = results
        self.progress = progress


class JobWriter:
    """Writes jobs for their holder.

    Args:
        store: of jobs.
        incarnation: of this process.
    """

    def __init__(self, store: RowStore, incarnation: str) -> None:
        self._store = store
        self._incarnation = incarnation

    async def write(self, job: HeldJob, holder: str) -> bool:
        """Write results and progress; False if the job is held elsewhere or cancelled.

        What does not fit in one transaction is left for the next write. Retries until
        the outcome is certain.

        Args:
            job: whose unlisted results and progress are written.
            holder: incarnation that holds it from then on; empty to release it.
        """
        batch = await self._batch(job, holder)
        answer = await self._transact_until_certain(job, batch.transaction, batch.head)
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
        job.head = batch.head
        for state in batch.results:
            state.status = LISTED
        job.unlisted = job.unlisted[len(batch.results) :]
        for state, event, failures in batch.progress:
            state.stored_event = event
            state.stored_failures = failures
        return True

    async def _batch(self, job: HeldJob, holder: str) -> JobBatch:
        """Return the next write: results first, then progress, as far as they fit."""
        head = job.head.replace(holder=holder, turn=job.head.turn + 1)
        key = head_key(job.entry.id)
        builder = TransactionBuilder(self._store.limits)
        # With all items listed the encoded head is as long as it can get.
        reserved = to_bytes(head.replace(listed=head.total))
        builder.add(Transaction({key: job.version}, {key: reserved}))
        results = await self._add_results(job, builder)
        progress = _add_progress(job, builder)
        head = head.replace(listed=head.listed + len(results))
        builder.transaction.writes[key] = to_bytes(head)
        return JobBatch(builder.transaction, head, results, progress)

    async def _add_results(
        self, job: HeldJob, builder: TransactionBuilder
    ) -> list[ItemState]:
        """Add unlisted results; the text of one too large for a row is an object."""
        id = job.entry.id
        added: list[ItemState] = []
        for number, (state, result) in enumerate(job.unlisted):
            value = to_bytes(result)
            if not self._store.limits.fits_in_row(value):
                name = text_object(id, state.number, self._incarnation)
                await self._put_object(name, result.text)
                result = result.replace(text=b"", object=name)
                job.unlisted[number] = (state, result)
                value = to_bytes(result)
            removes: list[RowKey] = []
            if state.stored_event or state.stored_failures:
                removes.append(progress_key(id, state.number))
            position = job.head.listed + number
            if not builder.add(
                Transaction({}, {result_key(id, position): value}, removes)
            ):
                break
            added.append(state)
        return added

    async def _put_object(self, name: str, data: bytes) -> None:
        pause_s = MIN_RETRY_DELAY_S
        while isinstance(answer := await self._store.put_object(name, data), Err):
            log.info("text not stored yet", object=name, reason=answer.err_value.reason)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)

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


def _add_progress(
    job: HeldJob, builder: TransactionBuilder
) -> list[tuple[ItemState, int, int]]:
    """Add the progress of unfinished items, those with the most unstored output first.

    Progress too large for a row is not stored; it is generated again after a loss.
    """
    states = [
        state
        for state in job.states
        if state.status not in (DONE, LISTED) and state.has_unstored_progress
    ]
    states.sort(key=lambda one: one.stored_event - one.progress.event)
    added: list[tuple[ItemState, int, int]] = []
    for state in states:
        if builder.is_full:
            break
        key = progress_key(job.entry.id, state.number)
        progress = state.progress
        if not builder.add(Transaction({}, {key: to_bytes(progress)})):
            continue
        added.append((state, progress.event, progress.failures))
    return added
