"""The API of jobs for callers, at any instance: submit, read results, cancel."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

from result import Err

from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.jobs.acceptance import (
    AcceptanceUnknown,
    Accepted,
    JobAcceptance,
    NotStorable,
)
from caperridge.gateway.jobs.codec import (
    UnreadableError,
    from_bytes,
    to_bytes,
)
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.item_reads import ItemReads
from caperridge.gateway.jobs.keeper import JobKeeper
from caperridge.gateway.jobs.keys import (
    INDEX,
    JOBS,
    RESULTS_END,
    entry_key,
    head_key,
    result_key,
)
from caperridge.gateway.jobs.model import (
    ItemResult,
    JobEntry,
    JobHead,
    JobRequest,
    ResultsPage,
)
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.routes import Route
from caperridge.gateway.rows import (
    ABSENT,
    Refused,
    Rejected,
    RowStore,
    StoredRow,
    Transaction,
)
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# Callers time out an acceptance; a later answer would not reach them.
ACCEPT_TIMEOUT_S = 3.5
CANCEL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 0.3
CANCEL_RETRY_DELAY_S = 0.1
# Bounds the texts that are read for one page; the dialect bounds the answer as sent.
MAX_PAGE_TEXT_BYTES = 1_000_000
# A waiting read polls the store at this interval in case no peer reports a result.
POLL_INTERVAL_S = 1.0


class JobAnswer(Record):
    """An answer to a caller: a status and, if it is 200, the content."""

    __slots__ = ("body", "page", "reason", "retry_after_s", "status")

    def __init__(
        self,
        status: int,
        reason: str = "",
        retry_after_s: float = 0.0,
        page: ResultsPage | None = None,
        body: bytes | None = None,
    ) -> None:
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.page = page
        self.body = body


NO_SUCH_JOB = JobAnswer(404, "no such job")
STORE_UNAVAILABLE = JobAnswer(503, "the store does not answer", RETRY_AFTER_S)
NO_MEMORY = JobAnswer(503, "no memory is left for the answer", RETRY_AFTER_S)

Reading = Callable[[], AbstractAsyncContextManager[bool]]


@contextlib.asynccontextmanager
async def _reading_always() -> AsyncIterator[bool]:
    """Admit a read."""
    yield True


class JobsEdge:
    """Handles calls about jobs.

    Args:
        store: of jobs.
        index: of all jobs.
        acceptance: of new jobs.
        keeper: of the jobs held by this instance.
        metrics: of the instance.
        limits: of the time of answers.
    """

    def __init__(
        self,
        store: RowStore,
        index: JobIndex,
        acceptance: JobAcceptance,
        keeper: JobKeeper,
        metrics: GatewayMetrics,
        limits: AnswerLimits,
    ) -> None:
        self._store = store
        self._index = index
        self._acceptance = acceptance
        self._keeper = keeper
        self._metrics = metrics
        self._limits = limits
        self._items = ItemReads(store)

    async def accept(
        self,
        route: Route,
        host: str,
        id: str,
        job: JobRequest,
        arrived: float,
        team: str = "",
    ) -> JobAnswer:
        """Store a job of ``team`` and start to work on it."""
        deadline = min(arrived + ACCEPT_TIMEOUT_S, self._limits.deadline)
        try:
            async with self._limits.within():
                outcome = await self._acceptance.accept(
                    route, host, id, job, deadline, team
                )
        except TimeoutError:
            outcome = AcceptanceUnknown("the instance stops")
        loop = asyncio.get_running_loop()
        log.info(
            "job sent",
            job=id,
            route=route.name,
            items=len(job.items),
            tokens=job.tokens,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            took_s=round(loop.time() - arrived, 3),
        )
        self._metrics.jobs.labels(type(outcome).__name__).inc()
        if isinstance(outcome, Accepted):
            if not outcome.duplicate and not self._keeper.leaving:
                self._keeper.job_accepted(outcome.entry, job.items)
            return JobAnswer(202, "accepted")
        if isinstance(outcome, AcceptanceUnknown):
            return JobAnswer(504, outcome.reason)
        if isinstance(outcome, NotStorable):
            return JobAnswer(413, outcome.reason)
        status = 429 if outcome.full else 503
        return JobAnswer(status, outcome.reason, outcome.retry_after_s)

    async def results(
        self, id: str, first: int, wait_s: float, reading: Reading = _reading_always
    ) -> JobAnswer:
        """Return the results from position ``first`` on, waiting if there are none.

        Args:
            id: of the job.
            first: position of the first result.
            wait_s: longest wait for a result, in seconds.
            reading: entered for each read; yields whether there is memory for it.
        """
        try:
            async with self._limits.within():
                return await self._results(id, first, wait_s, reading)
        except TimeoutError:
            return STORE_UNAVAILABLE

    async def _results(
        self, id: str, first: int, wait_s: float, reading: Reading
    ) -> JobAnswer:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            entry = await self._find_entry(id)
            if isinstance(entry, JobAnswer):
                return entry
            event = self._keeper.next_result_event(id)
            async with reading() as admitted:
                if not admitted:
                    return NO_MEMORY
                results = await self._read_results(entry, first)
            if results is None:
                return STORE_UNAVAILABLE
            # Before a stop, the wait ends one poll before the last time for the answer.
            remaining_s = (
                min(until, self._limits.deadline - POLL_INTERVAL_S) - loop.time()
            )
            if results or remaining_s <= 0 or not entry.open:
                page = ResultsPage(entry.total, first, results)
                return JobAnswer(200, page=page)
            try:
                async with asyncio.timeout(min(remaining_s, POLL_INTERVAL_S)):
                    await event.wait()
            except TimeoutError:
                if until - loop.time() <= 0:
                    return JobAnswer(200, page=ResultsPage(entry.total, first, []))

    async def body(self, id: str, item: str) -> JobAnswer:
        """Return the body of an item."""
        try:
            async with self._limits.within():
                return await self._body(id, item)
        except TimeoutError:
            return STORE_UNAVAILABLE

    async def _body(self, id: str, item: str) -> JobAnswer:
        entry = await self._find_entry(id)
        if isinstance(entry, JobAnswer):
            return entry
        job = await self._items.read(entry)
        if job is None:
            return STORE_UNAVAILABLE
        for job_item in job.items:
            if job_item.id == item:
                return JobAnswer(200, body=job_item.body)
        return JobAnswer(404, "no such item")

    async def cancel(self, id: str) -> JobAnswer:
        """Cancel a job; results that are listed stay."""
        try:
            async with self._limits.within():
                return await self._cancel(id)
        except TimeoutError:
            return JobAnswer(504, "the instance stops")

    async def _cancel(self, id: str) -> JobAnswer:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CANCEL_TIMEOUT_S
        entry = await self._find_entry(id)
        if isinstance(entry, JobAnswer):
            return entry
        while loop.time() < deadline:
            ended = await self._end(entry)
            if isinstance(ended, Rejected):
                return JobAnswer(503, ended.reason)
            if ended:
                log.info("job cancelled", job=id)
                self._keeper.job_cancelled(id)
                return JobAnswer(200, "ended")
            await asyncio.sleep(CANCEL_RETRY_DELAY_S)
        return JobAnswer(504, "the store does not answer")

    async def _end(self, entry: JobEntry) -> bool | Rejected:
        """End a job in the store; False to retry.

        The entry comes first: every instance follows the index, so the holder heeds the
        end even if nothing after this write reaches anyone.
        """
        closed = await self._keeper.entries.close(entry.id)
        if not isinstance(closed, Err):
            return await self._write_cancellation(entry)
        error = closed.err_value
        return error if isinstance(error, Rejected) else False

    async def _write_cancellation(self, entry: JobEntry) -> bool | Rejected:
        """Write the cancellation into the job's head; False to retry."""
        key = head_key(entry.id)
        answer = await self._store.read(
            JOBS, entry.id, first=key.key, end=key.key + "\x00"
        )
        if isinstance(answer, Err):
            return False
        rows = answer.ok_value.rows
        head = JobHead("", entry.total)
        version = ABSENT
        if rows:
            try:
                head = from_bytes(JobHead, rows[0].value)
            except UnreadableError as error:
                log.error("head skipped", job=entry.id, reason=str(error))
                return False
            version = rows[0].version
        if head.finished:
            return True
        value = to_bytes(head.replace(cancelled=True, turn=head.turn + 1))
        written = await self._store.transact(Transaction({key: version}, {key: value}))
        if not isinstance(written, Err):
            return True
        error = written.err_value
        if isinstance(error, Rejected):
            return error
        if not isinstance(error, Refused):
            return False
        row = error.row(key)
        return row is not None and row.value == value

    async def _find_entry(self, id: str) -> JobEntry | JobAnswer:
        """Return a job's entry, or the answer if there is none."""
        entry = self._index.entries_by_job.get(id)
        if entry is not None:
            return entry
        key = entry_key(id)
        answer = await self._store.read(INDEX, first=key.key, end=key.key + "\x00")
        if isinstance(answer, Err):
            return STORE_UNAVAILABLE
        for row in answer.ok_value.rows:
            self._index.apply_row(row)
        return self._index.entries_by_job.get(id, NO_SUCH_JOB)

    async def _read_results(
        self, entry: JobEntry, first: int
    ) -> list[ItemResult] | None:
        """Return the results from ``first`` on, up to the size of a page.

        None if the store does not answer.
        """
        listed = self._keeper.listed_by_id.get(entry.id)
        held = self._keeper.held_by_id.get(entry.id)
        if (
            held is not None
            and not held.lost
            and listed is not None
            and first >= listed
        ):
            return []
        answer = await self._store.read(
            JOBS,
            entry.id,
            first=result_key(entry.id, first).key,
            end=RESULTS_END,
        )
        if isinstance(answer, Err):
            return None
        return await self._decode_results(entry, first, answer.ok_value.rows)

    async def _decode_results(
        self, entry: JobEntry, first: int, rows: list[StoredRow]
    ) -> list[ItemResult] | None:
        results: list[ItemResult] = []
        size = 0
        for offset, row in enumerate(rows):
            if row.key != result_key(entry.id, first + offset):
                break
            try:
                result = from_bytes(ItemResult, row.value)
            except UnreadableError as error:
                log.error("result skipped", job=entry.id, reason=str(error))
                break
            if result.object:
                answer = await self._store.get_object(result.object)
                if isinstance(answer, Err) or answer.ok_value is None:
                    return results or None
                result = result.replace(text=answer.ok_value, object="")
            size += len(result.text)
            if results and size > MAX_PAGE_TEXT_BYTES:
                break
            results.append(result)
        return results
