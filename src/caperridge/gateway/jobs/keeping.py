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
from caperridge.gateway.jobs.model import DEAD, ItemResult, JobHead
from caperridge.gateway.rows import (
    Refused,
    Rejected,
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

    @property
    def item_count(self) -> int:
        """Number of results and of items with progress."""
        return len(self.results) + len(self.progress)

    def apply(self, job: HeldJob, version: int) -> None:
        """Record in ``job`` that the head was written with ``version``."""
        job.version = version
        job.head = self.head
        for state in self.results:
            state.status = LISTED
        job.unlisted = job.unlisted[len(self.results) :]
        for state, event, failures in self.progress:
            state.stored_event = event
            state.stored_failures = failures


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
            holder: incarnation that holds it from then on; empty to release it. It is
                released with the last write, which leaves nothing for another one.
        """
        max_items = self._store.limits.entries
        refused: JobBatch | None = None
        while True:
            batch = await self._batch(job, holder, max_items)
            answer = await self._transact_until_certain(job, batch)
            if not isinstance(answer, Err):
                batch.apply(job, answer.ok_value)
                if refused is not None and batch.item_count == 0:
                    _give_up_item(job, refused)
                return True
            error = answer.err_value
            if isinstance(error, HeldElsewhere):
                _lose(job, error.head)
                return False
            log.error(
                "job write refused",
                job=job.entry.id,
                reason=error.reason,
                results=len(batch.results),
                progress=len(batch.progress),
            )
            if batch.item_count == 0:
                job.abandon()
                return False
            # Halved until the head is alone, to tell the refused item from the head.
            max_items = batch.item_count // 2
            refused = batch if batch.item_count == 1 else None

    async def _batch(self, job: HeldJob, holder: str, max_items: int) -> JobBatch:
        """Return the next write: results first, then progress, as far as they fit."""
        head = job.head.replace(holder=holder, turn=job.head.turn + 1)
        key = head_key(job.entry.id)
        builder = TransactionBuilder(self._store.limits)
        # With all items listed the encoded head is as long as it can get.
        reserved = to_bytes(head.replace(listed=head.total))
        builder.add(Transaction({key: job.version}, {key: reserved}))
        results = await self._add_results(job, builder, max_items)
        progress = _add_progress(job, builder, max_items - len(results))
        head = head.replace(listed=head.listed + len(results))
        if holder == "" and not self._is_complete(job, results, progress):
            head = head.replace(holder=self._incarnation)
        builder.transaction.writes[key] = to_bytes(head)
        return JobBatch(builder.transaction, head, results, progress)

    def _is_complete(
        self,
        job: HeldJob,
        results: list[ItemState],
        progress: list[tuple[ItemState, int, int]],
    ) -> bool:
        """Whether a write leaves neither results nor progress for another one."""
        if len(results) < len(job.unlisted):
            return False
        added = {state.number for state, _, _ in progress}
        return all(
            state.number in added
            or not self._store.limits.fits_in_row(to_bytes(state.progress))
            for state in _with_unstored_progress(job)
        )

    async def _add_results(
        self, job: HeldJob, builder: TransactionBuilder, max_items: int
    ) -> list[ItemState]:
        """Add unlisted results; the text of one too large for a row is an object."""
        id = job.entry.id
        added: list[ItemState] = []
        for number, (state, result) in enumerate(job.unlisted[:max_items]):
            value = to_bytes(result)
            if not self._store.limits.fits_in_row(value):
                result = await self._with_text_object(job, state, result)
                job.unlisted[number] = (state, result)
                value = to_bytes(result)
            removes: list[RowKey] = []
            if state.stored_event or state.stored_failures:
                removes.append(progress_key(id, state.number))
            position = job.head.listed + number
            key = result_key(id, position)
            if not builder.add(Transaction({}, {key: value}, removes)):
                break
            added.append(state)
        return added

    async def _with_text_object(
        self, job: HeldJob, state: ItemState, result: ItemResult
    ) -> ItemResult:
        """Return a result whose text is in an object; a dead one if it is too large."""
        name = text_object(job.entry.id, state.number, self._incarnation)
        pause_s = MIN_RETRY_DELAY_S
        while isinstance(
            answer := await self._store.put_object(name, result.text), Err
        ):
            error = answer.err_value
            if isinstance(error, Rejected):
                log.error(
                    "result given up",
                    job=job.entry.id,
                    item=state.item.id,
                    reason=error.reason,
                )
                return ItemResult(state.item.id, DEAD)
            log.info("text not stored yet", object=name, reason=error.reason)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)
        return result.replace(text=b"", object=name)

    async def _transact_until_certain(
        self, job: HeldJob, batch: JobBatch
    ) -> Result[int, HeldElsewhere | Rejected]:
        """Repeat a write until its outcome is certain.

        It is conditional on the head's version, so at most one of the repeats takes
        effect, and none after another write.
        """
        transaction = batch.transaction
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
                if found == batch.head:
                    return Ok(row.version)
                return Err(HeldElsewhere(found))
            if isinstance(error, Rejected):
                return Err(error)
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


def _lose(job: HeldJob, head: JobHead | None) -> None:
    """Stop to work on a job; ``head`` is as another instance wrote it, if known."""
    log.info(
        "job held elsewhere",
        job=job.entry.id,
        holder=head.holder if head else "",
        cancelled=head.cancelled if head else False,
    )
    if head is not None:
        job.head = head
    job.abandon()


def _give_up_item(job: HeldJob, batch: JobBatch) -> None:
    """Handle the only item of a refused write: its result is listed as dead."""
    for state in batch.results:
        log.error("result given up", job=job.entry.id, item=state.item.id)
        job.give_up_result(state)
    for state, _, _ in batch.progress:
        log.error("progress not stored", job=job.entry.id, item=state.item.id)
        state.storable = False


def _with_unstored_progress(job: HeldJob) -> list[ItemState]:
    return [
        state
        for state in job.states
        if state.status not in (DONE, LISTED) and state.has_unstored_progress
    ]


def _add_progress(
    job: HeldJob, builder: TransactionBuilder, max_items: int
) -> list[tuple[ItemState, int, int]]:
    """Add the progress of unfinished items, those with the most unstored output first.

    Progress too large for a row is not stored; it is generated again after a loss.
    """
    states = _with_unstored_progress(job)
    states.sort(key=lambda one: one.stored_event - one.progress.event)
    added: list[tuple[ItemState, int, int]] = []
    for state in states:
        if builder.is_full or len(added) >= max_items:
            break
        key = progress_key(job.entry.id, state.number)
        progress = state.progress
        if not builder.add(Transaction({}, {key: to_bytes(progress)})):
            continue
        added.append((state, progress.event, progress.failures))
    return added
