"""Accepting a job: once, whole, within the limit of its route, and for good.

The items go into an object; then one transaction writes the job's entry into the
index. It is conditional on the entry being absent and on the route's gate, which every
acceptance writes: whoever sees the gate's version has seen all jobs accepted before,
so the sum of what waits is never too small.
"""

import asyncio
import random
import secrets

from result import Err

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.jobs.codec import job_to_bytes, to_bytes
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keys import INDEX, entry_key, gate_key, items_object
from caperridge.gateway.jobs.model import JobEntry, JobRequest
from caperridge.gateway.routes import Route
from caperridge.gateway.rows import (
    Refused,
    RowsRead,
    RowStore,
    StoredRow,
    Transaction,
    TransactionError,
    read_all_rows,
)
from caperridge.log import logger
from caperridge.records import Record
from caperridge.store.interface import NotDone

log = logger(__name__)

PAUSE_S = 0.03
LONGEST_PAUSE_S = 0.3
# Time that is left for an answer to reach the caller before it gives up.
SPARE_S = 0.3
BUSY_RETRY_AFTER_S = 0.5
FULL_RETRY_AFTER_S = 1.0


class Accepted(Record):
    """The job is kept; ``entry`` is its own, ``again`` if it had been sent before."""

    __slots__ = ("again", "entry")

    def __init__(self, entry: JobEntry, again: bool = False) -> None:
        self.entry = entry
        self.again = again


class NotAccepted(Record):
    """The job is not kept; ``full`` if only its route's limit is in the way."""

    __slots__ = ("full", "reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float, full: bool = False) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.full = full


class AcceptanceUnknown(Record):
    """The job may be kept, now or later: the store's answers were lost."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Outcome = Accepted | NotAccepted | AcceptanceUnknown


class JobAcceptance:
    """Accepts jobs.

    Args:
        store: keeps them.
        index: of all jobs, as known here.
        clock: of the store.
        chance: spreads repeats.
    """

    def __init__(
        self, store: RowStore, index: JobIndex, clock: StoreClock, chance: random.Random
    ) -> None:
        self._store = store
        self._index = index
        self._clock = clock
        self._chance = chance

    async def accept(
        self, route: Route, host: str, id: str, job: JobRequest, deadline: float
    ) -> Outcome:
        """Keep ``job`` under ``id``.

        Args:
            route: that took it.
            host: that it was sent to.
            id: given by the caller; the same job again has the same.
            job: its items.
            deadline: on the loop's clock.
        """
        if id in self._index.entries_by_job:
            return Accepted(self._index.entries_by_job[id], again=True)
        if not self._clock.known:
            # Without the store's time the job's age would be wrong for good.
            await self._refresh()
            if not self._clock.known:
                return NotAccepted("the store was never reached", BUSY_RETRY_AFTER_S)
        if not self._fits(route, job):
            return _full(route, self._index)
        nonce = secrets.token_hex(4)
        name = items_object(id, nonce)
        stored = await self._keep_items(id, name, job, deadline)
        if stored is not None:
            return stored
        entry = JobEntry(
            id=id,
            route=route.name,
            host=host,
            total=len(job.items),
            sent_s=self._clock.now(),
            waiting_tokens=job.tokens,
            object=name,
        )
        return await self._enter(route, entry, job, deadline)

    def _fits(self, route: Route, job: JobRequest) -> bool:
        assert route.batch is not None
        limit = route.batch.max_waiting_tokens
        if limit <= 0:
            return True
        return self._index.waiting_tokens(route.name) + job.tokens <= limit

    async def _keep_items(
        self, id: str, name: str, job: JobRequest, deadline: float
    ) -> NotAccepted | None:
        """Keep the items; nothing refers to them yet, so repeating does no harm."""
        data = job_to_bytes(job)
        pause_s = PAUSE_S
        while True:
            answer = await self._store.put_object(name, data)
            if not isinstance(answer, Err):
                return None
            _log_another_try(id, answer.err_value)
            if not await self._pause(pause_s, deadline):
                reason = f"the items cannot be kept: {answer.err_value.reason}"
                return NotAccepted(reason, BUSY_RETRY_AFTER_S)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _enter(
        self, route: Route, entry: JobEntry, job: JobRequest, deadline: float
    ) -> Outcome:
        """Write the entry; once an answer was lost, only the store can say no."""
        maybe_done = False
        pause_s = PAUSE_S
        own = to_bytes(entry)
        key = entry_key(entry.id)
        gate = gate_key(route.name)
        transaction = Transaction({}, {})
        while True:
            if not maybe_done:
                if not self._fits(route, job):
                    return _full(route, self._index)
                # An unanswered one is repeated as it was: at a later state of the gate
                # the job might not fit.
                transaction = Transaction(
                    {key: 0, gate: self._index.gate_version(route.name)},
                    {key: own, gate: entry.id.encode()},
                )
            answer = await self._store.transact(transaction)
            if not isinstance(answer, Err):
                version = answer.ok_value.version
                self._index.apply_row(StoredRow(key, own, version))
                self._index.apply_row(StoredRow(gate, entry.id.encode(), version))
                return Accepted(entry)
            error = answer.err_value
            there = error.row(key) if isinstance(error, Refused) else None
            if there is not None:
                self._index.apply_row(there)
                return Accepted(entry, again=there.value != own)
            _log_another_try(entry.id, error)
            if isinstance(error, Refused):
                # The gate has moved on, so no earlier try can take effect any more.
                maybe_done = False
                await self._refresh()
                if asyncio.get_running_loop().time() < deadline - SPARE_S:
                    continue
            elif not isinstance(error, NotDone):
                maybe_done = True
            if await self._pause(pause_s, deadline):
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
                continue
            if maybe_done:
                return AcceptanceUnknown("the store's answer was lost")
            return NotAccepted("the store does not take it", BUSY_RETRY_AFTER_S)

    async def _refresh(self) -> None:
        """Read the index: another instance accepted a job meanwhile.

        The gate comes with the first page, so the pages after it have all jobs that
        were accepted before the gate became what it is there.
        """
        answer = await read_all_rows(self._store, INDEX)
        if isinstance(answer, Err):
            return
        page: RowsRead = answer.ok_value
        news = self._index.copy.apply_snapshot(page.rows, page.version)
        self._index.apply_rows(news)

    async def _pause(self, pause_s: float, deadline: float) -> bool:
        """Wait a little; False if the caller's time does not allow another try."""
        pause_s *= 0.5 + self._chance.random()
        if asyncio.get_running_loop().time() + pause_s > deadline - SPARE_S:
            return False
        await asyncio.sleep(pause_s)
        return True


def _log_another_try(job: str, error: TransactionError) -> None:
    """Say why a try did not do: each costs a late answer some of its time."""
    refused = isinstance(error, Refused)
    reason = "another job was accepted" if refused else error.reason
    log.info("job not accepted yet", job=job, reason=reason)


def _full(route: Route, index: JobIndex) -> NotAccepted:
    waiting = index.waiting_tokens(route.name)
    reason = f"{waiting} tokens wait on the route"
    return NotAccepted(reason, FULL_RETRY_AFTER_S, full=True)
