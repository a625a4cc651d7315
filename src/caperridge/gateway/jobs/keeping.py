"""Keeping a held job in the store: results at their positions, and progress.

Every write is one transaction on the job's own part, conditional on the head as this
holder left it. A holder that was replaced finds out with its next write, and has
listed nothing meanwhile.
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

# Between writes of progress. What came since is generated again after a loss; each
# write costs a call and the bytes of all running texts.
PROGRESS_S = 1.5
PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
# The store takes 100 entries and 1 MB in one transaction; base64 adds a third.
MOST_ENTRIES = 90
MOST_BYTES = 600_000


class HeldElsewhere(Record):
    """Another instance holds the job, or its caller cancelled it: ``head`` says."""

    __slots__ = ("head",)

    def __init__(self, head: JobHead | None) -> None:
        self.head = head


class JobWriter:
    """Writes the job's part for its holder.

    Args:
        store: that keeps it.
        incarnation: of this life of the process.
        row_bytes: largest encoded value of a row.
    """

    def __init__(self, store: RowStore, incarnation: str, row_bytes: int) -> None:
        self._store = store
        self._incarnation = incarnation
        # A value is encoded as base64, and a few bytes go to its other fields.
        self._most_text_bytes = row_bytes * 3 // 4 - 1024

    async def write(self, job: HeldJob, holder: str) -> bool:
        """Write what is new; False if the job is held elsewhere or cancelled.

        Repeats until the store's answer is certain.

        Args:
            job: whose unlisted results and progress are written.
            holder: incarnation that holds it from then on; empty to give it up.
        """
        results = await self._results(job)
        progress = [] if holder == "" and not job.states else self._progress(job)
        transaction, head, kept = self._transaction(job, holder, results, progress)
        answer = await self._settled(job, transaction, head)
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
            job.stop_runs()
            return False
        job.version = answer.ok_value
        job.head = head
        for state, _ in results:
            state.status = LISTED
        job.unlisted = job.unlisted[len(results) :]
        for state, event, failures in kept:
            state.kept_event = event
            state.kept_failures = failures
        return True

    async def _results(self, job: HeldJob) -> list[tuple[ItemState, ItemResult]]:
        """Return the results that one transaction takes, large texts put apart."""
        taken: list[tuple[ItemState, ItemResult]] = []
        size = 0
        for state, result in job.unlisted:
            kept = result
            if len(result.text) > self._most_text_bytes:
                name = text_object(job.entry.id, state.number, self._incarnation)
                await self._put_object(name, result.text)
                kept = result.replace(text=b"", object=name)
            size += len(kept.text)
            if taken and (size > MOST_BYTES or len(taken) >= MOST_ENTRIES // 2):
                break
            taken.append((state, kept))
        return taken

    async def _put_object(self, name: str, data: bytes) -> None:
        pause_s = PAUSE_S
        while isinstance(answer := await self._store.put_object(name, data), Err):
            log.info("text not kept yet", object=name, reason=answer.err_value.reason)
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    def _progress(self, job: HeldJob) -> list[ItemState]:
        """Return the unfinished items whose progress is written, within bounds."""
        taken: list[ItemState] = []
        size = 0
        for state in job.states:
            if state.status in (DONE, LISTED) or not state.has_news:
                continue
            if len(state.progress.text) > self._most_text_bytes:
                continue  # too large for a row; it is generated again after a loss
            size += len(state.progress.text)
            if size > MOST_BYTES or len(taken) >= MOST_ENTRIES // 2:
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
            if state.kept_event or state.kept_failures:
                removes.append(progress_key(id, state.number))
        kept: list[tuple[ItemState, int, int]] = []
        for state in progress:
            writes[progress_key(id, state.number)] = to_bytes(state.progress)
            kept.append((state, state.progress.event, state.progress.failures))
        versions = {head_key(id): job.version}
        return Transaction(versions, writes, removes), head, kept

    async def _settled(
        self, job: HeldJob, transaction: Transaction, head: JobHead
    ) -> Result[int, HeldElsewhere]:
        """Repeat ``transaction`` until it is certain what became of it.

        Its condition names the head's version, so of all repeats one takes effect at
        most, and a late one none.
        """
        key = head_key(job.entry.id)
        pause_s = PAUSE_S
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
            log.info("job not kept yet", job=job.entry.id, reason=error.reason)
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
