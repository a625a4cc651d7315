"""Idempotent acceptance of jobs under optimistic concurrency control.

The items are written to an object; then one transaction writes the job's entry into the
index. It is conditional on the entry being absent and on the gate row of the route and
the team, which every such acceptance writes: a reader of the gate's version has also
read all jobs accepted before, so its sum of waiting tokens is never too small.
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
    Rejected,
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

MIN_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.3
# Time reserved for the answer to reach the caller before its deadline.
ANSWER_MARGIN_S = 0.3
BUSY_RETRY_AFTER_S = 0.5
FULL_RETRY_AFTER_S = 1.0


class Accepted(Record):
    """The job is stored as ``entry``; ``duplicate`` if it had been sent before."""

    __slots__ = ("duplicate", "entry")

    def __init__(self, entry: JobEntry, duplicate: bool = False) -> None:
        self.entry = entry
        self.duplicate = duplicate


class NotAccepted(Record):
    """The job is not stored; ``full`` if its route has reached its limit."""

    __slots__ = ("full", "reason", "retry_after_s")

    def __init__(self, reason: str, retry_after_s: float, full: bool = False) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.full = full


class NotStorable(Record):
    """The job is not stored and never will be: the store refuses it for good."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class AcceptanceUnknown(Record):
    """The job may be stored, now or later: the store's answers were lost."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


Outcome = Accepted | NotAccepted | NotStorable | AcceptanceUnknown


class JobAcceptance:
    """Accepts jobs.

    Args:
        store: that jobs are written to.
        index: local copy of the index of all jobs.
        clock: of the store.
        chance: adds jitter to retries.
    """

    def __init__(
        self, store: RowStore, index: JobIndex, clock: StoreClock, chance: random.Random
    ) -> None:
        self._store = store
        self._index = index
        self._clock = clock
        self._chance = chance

    async def accept(
        self,
        route: Route,
        host: str,
        id: str,
        job: JobRequest,
        deadline: float,
        team: str = "",
    ) -> Outcome:
        """Store ``job`` under ``id``.

        Args:
            route: that matches the job.
            host: that it was sent to.
            id: unique among the jobs of all teams; a repeated job has the same id.
            job: its items.
            deadline: in seconds of the loop's clock.
            team: that sends it; empty if its route needs no key.
        """
        if id in self._index.entries_by_job:
            return Accepted(self._index.entries_by_job[id], duplicate=True)
        if not self._clock.known:
            # Without the store's time the stored time of acceptance would be wrong.
            await self._refresh()
            if not self._clock.known:
                return NotAccepted("the store was never reached", BUSY_RETRY_AFTER_S)
        if not self._fits(route, job, team):
            return _full(route, self._index, team)
        nonce = secrets.token_hex(4)
        name = items_object(id, nonce)
        stored = await self._store_items(id, name, job, deadline)
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
            team=team,
        )
        return await self._write_entry(route, entry, job, deadline)

    def _fits(self, route: Route, job: JobRequest, team: str) -> bool:
        assert route.batch is not None
        limit = route.batch.max_waiting_tokens
        if limit <= 0:
            return True
        return self._index.waiting_tokens(route.name, team) + job.tokens <= limit

    async def _store_items(
        self, id: str, name: str, job: JobRequest, deadline: float
    ) -> NotAccepted | NotStorable | None:
        """Store the items; retries are safe, as nothing refers to them yet."""
        data = job_to_bytes(job)
        pause_s = MIN_RETRY_DELAY_S
        while True:
            answer = await self._store.put_object(name, data)
            if not isinstance(answer, Err):
                return None
            if isinstance(answer.err_value, Rejected):
                return NotStorable(answer.err_value.reason)
            _log_retry(id, answer.err_value)
            if not await self._pause(pause_s, deadline):
                reason = f"the items cannot be kept: {answer.err_value.reason}"
                return NotAccepted(reason, BUSY_RETRY_AFTER_S)
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)

    async def _write_entry(
        self, route: Route, entry: JobEntry, job: JobRequest, deadline: float
    ) -> Outcome:
        """Write the entry; after a lost answer only the store can refuse it."""
        may_be_done = False
        pause_s = MIN_RETRY_DELAY_S
        own = to_bytes(entry)
        key = entry_key(entry.id)
        gate = gate_key(route.name, entry.team)
        transaction = Transaction({}, {})
        while True:
            if not may_be_done:
                if not self._fits(route, job, entry.team):
                    return _full(route, self._index, entry.team)
                # An unanswered transaction is repeated unchanged: with a later version
                # of the gate the job might exceed the limit.
                transaction = Transaction(
                    {key: 0, gate: self._index.gate_version(route.name, entry.team)},
                    {key: own, gate: entry.id.encode()},
                )
            answer = await self._store.transact(transaction)
            if not isinstance(answer, Err):
                version = answer.ok_value.version
                self._index.apply_row(StoredRow(key, own, version))
                self._index.apply_row(StoredRow(gate, entry.id.encode(), version))
                return Accepted(entry)
            error = answer.err_value
            existing = error.row(key) if isinstance(error, Refused) else None
            if existing is not None:
                self._index.apply_row(existing)
                return Accepted(entry, duplicate=existing.value != own)
            if isinstance(error, Rejected):
                if may_be_done:
                    return AcceptanceUnknown("the store's answer was lost")
                return NotStorable(error.reason)
            _log_retry(entry.id, error)
            if isinstance(error, Refused):
                # The gate has changed, so no earlier attempt can take effect any more.
                may_be_done = False
                await self._refresh()
                if asyncio.get_running_loop().time() < deadline - ANSWER_MARGIN_S:
                    continue
            elif not isinstance(error, NotDone):
                may_be_done = True
            if await self._pause(pause_s, deadline):
                pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)
                continue
            if may_be_done:
                return AcceptanceUnknown("the store's answer was lost")
            return NotAccepted("the store does not take it", BUSY_RETRY_AFTER_S)

    async def _refresh(self) -> None:
        """Read the index again, as another instance has accepted a job.

        The gate is in the first page, so the pages after it contain all jobs accepted
        before the version of the gate that was read.
        """
        answer = await read_all_rows(self._store, INDEX)
        if isinstance(answer, Err):
            return
        page: RowsRead = answer.ok_value
        changed = self._index.copy.apply_snapshot(page.rows, page.version)
        self._index.apply_rows(changed)

    async def _pause(self, pause_s: float, deadline: float) -> bool:
        """Wait with jitter; False if the deadline allows no further attempt."""
        pause_s *= 0.5 + self._chance.random()
        if asyncio.get_running_loop().time() + pause_s > deadline - ANSWER_MARGIN_S:
            return False
        await asyncio.sleep(pause_s)
        return True


def _log_retry(job: str, error: TransactionError) -> None:
    """Log why an attempt failed, which explains a late answer."""
    refused = isinstance(error, Refused)
    reason = "another job was accepted" if refused else error.reason
    log.info("job not accepted yet", job=job, reason=reason)


def _full(route: Route, index: JobIndex, team: str) -> NotAccepted:
    waiting = index.waiting_tokens(route.name, team)
    reason = f"{waiting} tokens wait on the route"
    return NotAccepted(reason, FULL_RETRY_AFTER_S, full=True)
