"""Leases of jobs: claiming jobs, running their items, and handing jobs over.

The instance that accepted a job holds it. When that instance is lost, rendezvous
hashing over the live instances chooses one that takes the job over. The claim is
conditional on the head as it was read, so of two that both try only one holds the job.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.background import log_failure
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.jobs.claims import ClaimFailed, HeldBy, JobClaimer, JobFinished
from caperridge.gateway.jobs.entries import REJECTED_RETRY_DELAY_S, EntryWriter
from caperridge.gateway.jobs.granting import SlotGranting
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.holders import Holders
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keeping import PROGRESS_INTERVAL_S, JobWriter
from caperridge.gateway.jobs.model import JobEntry, JobHead, JobItem
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import JobNews, SlotGrant
from caperridge.gateway.rows import Rejected, RowStore
from caperridge.gateway.watcher import StoreReachability
from caperridge.log import logger

log = logger(__name__)

ORPHAN_CHECK_INTERVAL_S = 0.3
# Entries in the index are rewritten with fewer waiting tokens only while the route is
# filled to this ratio of its limit.
REWRITE_THRESHOLD_RATIO = 0.25
STORE_RETRY_DELAY_S = 0.3
# Changes within this time share one check; it delays the preemption of an item for an
# online request.
COALESCE_S = 0.001
# In a large fleet 200 counts a second are received, few of which let an item start, and
# an item runs for some 5 s.
MIN_CHECK_INTERVAL_S = 0.05


class JobKeeper:
    """Holds the jobs of one instance.

    Attributes:
        entries: writes the index.
    """

    def __init__(
        self,
        store: RowStore,
        index: JobIndex,
        configuration: ConfigurationInForce,
        mesh: Mesh,
        reach: StoreReachability,
        writer: JobWriter,
        claimer: JobClaimer,
        slots: ItemSlots,
        granting: SlotGranting,
    ) -> None:
        self._index = index
        self._configuration = configuration
        self._mesh = mesh
        self._reach = reach
        self._writer = writer
        self._claimer = claimer
        self._slots = slots
        self._granting = granting
        self.entries = EntryWriter(store, index)
        self.held_by_id: dict[str, HeldJob] = {}
        self.listed_by_id: dict[str, int] = {}
        self.leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._claiming_ids: set[str] = set()
        self._holders = Holders(mesh)
        self._retry_at_by_id: dict[str, float] = {}
        self._next_check_at = 0.0
        self._check_timer: asyncio.TimerHandle | None = None
        self._preempt_timer: asyncio.TimerHandle | None = None
        self._stopped = False
        self._result_event_by_id: dict[str, asyncio.Event] = {}
        index.on_removed(self._remove_job)
        index.on_change(self._stop_ended)
        mesh.register(JobNews, self._handle_update)
        mesh.register(SlotGrant, self._handle_grant)
        granting.on_update(self.schedule_check)

    # Calls of the edge.

    def job_accepted(self, entry: JobEntry, items: list[JobItem]) -> None:
        """Claim a job that this instance just accepted."""
        if entry.id not in self.held_by_id and entry.id not in self._claiming_ids:
            self._spawn(self._claim(entry, items))

    def job_cancelled(self, job: str) -> None:
        """Stop a job whose cancellation is in the store, and notify peers.

        They stop it sooner than by its entry, which says the same.
        """
        self._mesh.send_all(JobNews(job, "", 0, cancelled=True))
        self._stop_cancelled(job)

    def next_result_event(self, job: str) -> asyncio.Event:
        """Return an event that is set when the job's next result is listed."""
        return self._result_event_by_id.setdefault(job, asyncio.Event())

    def held_jobs(self) -> list[HeldJob]:
        """Return the jobs that this instance holds."""
        return list(self.held_by_id.values())

    def schedule_check(self) -> None:
        """Schedule one check for all changes until then, unless one is scheduled."""
        if self._check_timer is not None or self._stopped:
            return
        loop = asyncio.get_running_loop()
        at = max(self._next_check_at, loop.time() + COALESCE_S)
        self._check_timer = loop.call_at(at, self._check)

    def fleet_changed(self) -> None:
        """Schedule a check if counts or targets matter to held jobs or to grants."""
        if self._check_timer is not None:
            return
        if self.held_by_id or self._granting.has_requests:
            self.schedule_check()

    def check_slots(self, target: str) -> None:
        """Preempt own items at ``target`` at once if it has more runs than slots."""
        if self._preempt_timer is not None or self._stopped:
            return
        if self._slots.is_over_capacity(target):
            loop = asyncio.get_running_loop()
            self._preempt_timer = loop.call_later(COALESCE_S, self._preempt_excess)

    def _preempt_excess(self) -> None:
        self._preempt_timer = None
        self._slots.preempt_excess(self.held_jobs())

    def _check(self) -> None:
        """Preempt items for online requests, request slots, and grant free slots."""
        self._check_timer = None
        now = asyncio.get_running_loop().time()
        self._next_check_at = now + MIN_CHECK_INTERVAL_S
        jobs = self.held_jobs()
        self._slots.preempt_excess(jobs)
        if not self.leaving:
            self._granting.request_and_grant(jobs, now)

    # The tasks.

    async def run(self) -> None:
        """Claim orphaned jobs and check periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        self._stopped = False
        try:
            while True:
                self._claim_orphans(loop.time())
                self._slots.refresh_ranks(self.held_jobs())
                self.schedule_check()
                await asyncio.sleep(ORPHAN_CHECK_INTERVAL_S)
        finally:
            self._stop_timers()

    def _stop_timers(self) -> None:
        self._stopped = True
        for timer in (self._check_timer, self._preempt_timer):
            if timer is not None:
                timer.cancel()

    async def hand_over(self) -> None:
        """Stop all runs, store their progress, and release the jobs."""
        self.leaving = True
        jobs = self.held_jobs()
        for job in jobs:
            job.releasing = True
            job.cancel_runs()
            job.wake.set()
        tasks = [task for task in self._tasks if not task.done()]
        if tasks:
            await asyncio.wait(tasks, timeout=STORE_RETRY_DELAY_S * 10)

    # Claims.

    def _claim_orphans(self, now: float) -> None:
        """Claim open jobs whose holder was lost and whose owner is this instance."""
        if self.leaving or not self._index.copy.loaded:
            return
        if not self._store_reachable():
            # This instance is partitioned and would claim the jobs of all silent peers.
            # It receives from them again some moments after it reaches the store.
            self._holders.clear_all_silences()
            return
        live = [one.id for one in self._mesh.alive() if not one.leaving]
        live.append(self._mesh.instance)
        for id, entry in self._index.entries_by_job.items():
            if not entry.open or id in self.held_by_id:
                self._holders.clear_silence(id)
                continue
            if id in self._claiming_ids or not self._holders.may_claim(id, now):
                continue
            if not self._may_retry(id):
                continue
            # If it is our own, a claim took effect though its answer was lost.
            if self._holders.is_own(id) or owner(id, live) == self._mesh.instance:
                self._spawn(self._claim(entry, None))

    def _store_reachable(self) -> bool:
        """Whether calls of the store may succeed, directly or relayed by a peer."""
        peers = self._mesh.alive()
        return self._reach.reached or any(peer.store_reached for peer in peers)

    def _remove_job(self, id: str) -> None:
        """Remove the state of a job that was swept."""
        self._holders.remove(id)
        self.listed_by_id.pop(id, None)
        self._result_event_by_id.pop(id, None)
        self._retry_at_by_id.pop(id, None)
        self.entries.forget(id)

    async def _claim(self, entry: JobEntry, items: list[JobItem] | None) -> None:
        """Become the holder of a job, then hold it until it is finished or lost."""
        self._claiming_ids.add(entry.id)
        try:
            claim = await self._claimer.claim(entry, items, self._may_replace)
        finally:
            self._claiming_ids.discard(entry.id)
        if isinstance(claim, JobFinished):
            await self._close(entry, claim.head)
            return
        if isinstance(claim, HeldBy):
            self._holders.record_stored(entry.id, claim.holder)
            if self._mesh.incarnation_alive(claim.holder):
                # The holder may not know: the answer to its claim may have been lost.
                self._mesh.send_all(JobNews(entry.id, claim.holder, 0))
            return
        if isinstance(claim, ClaimFailed):
            if claim.may_be_ours:
                self._holders.record_reported(entry.id, self._mesh.incarnation)
            self._delay_retry(
                entry.id,
                REJECTED_RETRY_DELAY_S if claim.rejected else STORE_RETRY_DELAY_S,
            )
            return
        if self._is_ended(entry.id):
            log.info("job ended during its claim", job=entry.id)
            return
        self._announce(claim)
        self.held_by_id[entry.id] = claim
        self.schedule_check()
        try:
            await self._hold(claim)
        finally:
            self.held_by_id.pop(entry.id, None)
            claim.cancel_runs()

    def _delay_retry(self, id: str, delay_s: float) -> None:
        """Delay the next claim of a job."""
        self._retry_at_by_id[id] = asyncio.get_running_loop().time() + delay_s

    def _may_retry(self, id: str) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._retry_at_by_id.get(id, 0.0)

    def _may_replace(self, id: str, holder: str) -> bool:
        """Whether a job may be claimed from the holder that the store names."""
        self._holders.record_stored(id, holder)
        now = asyncio.get_running_loop().time()
        return self._holders.may_replace(id, holder, now)

    # Holding.

    async def _hold(self, job: HeldJob) -> None:
        """Write results as they come and progress periodically, until the job ends."""
        while not job.finished:
            try:
                async with asyncio.timeout(PROGRESS_INTERVAL_S):
                    await job.wake.wait()
            except TimeoutError:
                if not any(state.has_unstored_progress for state in job.states):
                    continue
            if job.lost:
                break
            job.wake.clear()
            await asyncio.sleep(0)  # lets cancelled runs end
            holder = "" if job.releasing else self._mesh.incarnation
            listed_before = job.head.listed
            if not await self._writer.write(job, holder):
                # Without this the job would look like a claim of ours whose answer was
                # lost.
                self._record_update(job.entry.id, job.head.holder, job.head.listed)
                break
            if job.head.listed > listed_before or job.releasing:
                self._announce(job)
            if job.releasing and job.head.holder == "":
                return
            if job.unlisted or job.releasing:
                job.wake.set()
            await self._lower_tokens(job)
        if job.head.finished:
            await self._close(job.entry, job.head)

    async def _lower_tokens(self, job: HeldJob) -> None:
        """Lower the waiting tokens in the index if others may need the capacity."""
        table = self._configuration.table
        route = table.batch_route(job.entry.route) if table is not None else None
        if route is None or route.batch is None or job.head.finished:
            return
        limit = route.batch.max_waiting_tokens
        waiting = self._index.waiting_tokens(route.name, job.entry.team)
        if limit <= 0 or waiting < limit * REWRITE_THRESHOLD_RATIO:
            return
        await self.entries.rewrite(job.entry.id, job.waiting_tokens, still_open=True)

    async def _close(self, entry: JobEntry, head: JobHead) -> None:
        """Mark a finished job as closed in the index; no instance claims it again."""
        log.info(
            "job finished",
            job=entry.id,
            listed=head.listed,
            total=head.total,
            cancelled=head.cancelled,
        )
        while isinstance(answer := await self.entries.close(entry.id), Err):
            if isinstance(answer.err_value, Rejected):
                self._delay_retry(entry.id, REJECTED_RETRY_DELAY_S)
                return
            await asyncio.sleep(STORE_RETRY_DELAY_S)

    # Messages of peers.

    def _announce(self, job: HeldJob) -> None:
        id = job.entry.id
        self._mesh.send_all(JobNews(id, job.head.holder, job.head.listed))
        self._record_update(id, job.head.holder, job.head.listed)

    def _handle_grant(self, peer: str, grant: SlotGrant) -> None:
        jobs = self.held_jobs()
        self._granting.use_grant(peer, grant, jobs)
        self.schedule_check()

    def _handle_update(self, peer: str, update: JobNews) -> None:
        if update.cancelled:
            self._stop_cancelled(update.job)
            return
        self._record_update(update.job, update.holder, update.listed)
        if update.holder == "":
            self.schedule_check()

    def _record_update(self, job: str, holder: str, listed: int) -> None:
        self._holders.record_reported(job, holder)
        if listed > self.listed_by_id.get(job, 0):
            self.listed_by_id[job] = listed
            event = self._result_event_by_id.pop(job, None)
            if event is not None:
                event.set()

    def _stop_ended(self) -> None:
        """Stop the jobs whose entries are closed, as their callers ended them."""
        for id, held in self.held_by_id.items():
            if not held.finished and self._is_ended(id):
                log.info("job ended by its entry", job=id)
                self._stop_cancelled(id)

    def _is_ended(self, job: str) -> bool:
        entry = self._index.entries_by_job.get(job)
        return entry is not None and not entry.open

    def _stop_cancelled(self, job: str) -> None:
        held = self.held_by_id.get(job)
        if held is not None:
            held.head = held.head.replace(cancelled=True)
            held.abandon()
            held.wake.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)
