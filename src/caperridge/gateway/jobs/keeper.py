"""Holding jobs: taking them, running their items in free slots, and handing them on.

A job is held by the instance that accepted it. When that one is gone, the live
instances agree by hashing on who takes it over, and the claim is conditional on the
head as it was read: two that both try end with one holder.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.jobs.claims import Ended, HeldBy, JobClaimer, Unclaimed
from caperridge.gateway.jobs.codec import to_bytes
from caperridge.gateway.jobs.granting import SlotGranting
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.holders import Holders
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keeping import PROGRESS_S, JobWriter
from caperridge.gateway.jobs.keys import entry_key
from caperridge.gateway.jobs.model import JobEntry, JobHead, JobItem
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import JobNews, SlotGrant
from caperridge.gateway.rows import RowStore, StoredRow, Transaction
from caperridge.gateway.watcher import StoreReachability
from caperridge.log import logger

log = logger(__name__)

ORPHAN_CHECK_INTERVAL_S = 0.3
# The slack of an index entry's tokens: it is rewritten at once only when its route
# is this full.
CROWDED_SHARE = 0.25
STORE_PAUSE_S = 0.3
# Changes that come together are looked at together; an online request waits so long
# for an item to give way.
GATHER_S = 0.001
# Between looks at what may start. In a large fleet 200 counts a second are heard, few
# of which let an item start, and an item runs for some 5 s.
LOOK_S = 0.05


class JobKeeper:
    """Holds jobs for one instance."""

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
        self._store = store
        self._index = index
        self._configuration = configuration
        self._mesh = mesh
        self._reach = reach
        self._writer = writer
        self._claimer = claimer
        self._slots = slots
        self._granting = granting
        self.held_by_id: dict[str, HeldJob] = {}
        self.listed_by_id: dict[str, int] = {}
        self.leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._claiming: set[str] = set()
        self._holders = Holders(mesh)
        self._retry_at_by_id: dict[str, float] = {}
        self._look_at = 0.0
        self._look_timer: asyncio.TimerHandle | None = None
        self._give_way_timer: asyncio.TimerHandle | None = None
        self._stopped = False
        self._news: dict[str, asyncio.Event] = {}
        index.on_removed(self._forget)
        mesh.register(JobNews, self._told)
        mesh.register(SlotGrant, self._granted)
        granting.on_news(self.schedule_check)

    # What the edge asks.

    def accepted(self, entry: JobEntry, items: list[JobItem]) -> None:
        """Hold a job that this instance just accepted."""
        if entry.id not in self.held_by_id and entry.id not in self._claiming:
            self._spawn(self._claim(entry, items))

    def cancelled(self, job: str) -> None:
        """Stop a job whose cancellation is in the store."""
        self._mesh.send_all(JobNews(job, "", 0, cancelled=True))
        self._end_cancelled(job)

    def wait_for(self, job: str) -> asyncio.Event:
        """Return an event that is set when the job's next result is listed."""
        return self._news.setdefault(job, asyncio.Event())

    def held_jobs(self) -> list[HeldJob]:
        """Return the jobs that are held here."""
        return list(self.held_by_id.values())

    def schedule_check(self) -> None:
        """Look soon at what may start; once for all that happens until then."""
        if self._look_timer is not None or self._stopped:
            return
        loop = asyncio.get_running_loop()
        at = max(self._look_at, loop.time() + GATHER_S)
        self._look_timer = loop.call_at(at, self._look)

    def fleet_changed(self) -> None:
        """Look soon if counts or targets matter here: to own items or to grants."""
        if self._look_timer is not None:
            return
        if self.held_by_id or self._granting.has_requests:
            self.schedule_check()

    def check_slots(self, target: str) -> None:
        """Have own items at ``target`` give way at once if it has too many runs."""
        if self._give_way_timer is not None or self._stopped:
            return
        if self._slots.exceeded(target):
            loop = asyncio.get_running_loop()
            self._give_way_timer = loop.call_later(GATHER_S, self._give_way)

    def _give_way(self) -> None:
        self._give_way_timer = None
        self._slots.give_way(self.held_jobs())

    def _look(self) -> None:
        """Give way to online requests, ask for slots, and grant those that are free."""
        self._look_timer = None
        now = asyncio.get_running_loop().time()
        self._look_at = now + LOOK_S
        jobs = self.held_jobs()
        self._slots.give_way(jobs)
        if not self.leaving:
            self._granting.step(jobs, now)

    # The tasks.

    async def run(self) -> None:
        """Claim orphans, and look now and then without being poked."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._claim_orphans(loop.time())
                self._slots.refresh_dues(self.held_jobs())
                self.schedule_check()
                await asyncio.sleep(ORPHAN_CHECK_INTERVAL_S)
        finally:
            self._stop_looking()

    def _stop_looking(self) -> None:
        self._stopped = True
        for timer in (self._look_timer, self._give_way_timer):
            if timer is not None:
                timer.cancel()

    async def hand_over(self) -> None:
        """Stop all runs, keep their progress, and give the jobs up."""
        self.leaving = True
        jobs = self.held_jobs()
        for job in jobs:
            job.releasing = True
            job.stop_runs()
            job.wake.set()
        tasks = [task for task in self._tasks if not task.done()]
        if tasks:
            await asyncio.wait(tasks, timeout=STORE_PAUSE_S * 10)

    # Claims.

    def _claim_orphans(self, now: float) -> None:
        """Claim open jobs whose holder is gone and which fall to this instance."""
        if self.leaving or not self._index.copy.loaded:
            return
        if not self._reaches_the_store():
            # It is cut off, and would take the jobs of all whom it does not hear; it
            # hears them again some moments after the store.
            self._holders.count_anew()
            return
        live = [m.id for m in self._mesh.alive() if not m.leaving]
        live.append(self._mesh.instance)
        for id, entry in self._index.entries_by_job.items():
            if not entry.open or id in self.held_by_id:
                self._holders.needs_no_other(id)
                continue
            if id in self._claiming or not self._holders.may_claim(id, now):
                continue
            if now < self._retry_at_by_id.get(id, 0.0):
                continue
            # An own one: a claim of ours took effect though its answer was lost.
            if self._holders.is_own(id) or owner(id, live) == self._mesh.instance:
                self._spawn(self._claim(entry, None))

    def _reaches_the_store(self) -> bool:
        """Whether calls of the store may succeed, here or by way of a peer."""
        peers = self._mesh.alive()
        return self._reach.reached or any(peer.store_reached for peer in peers)

    def _forget(self, id: str) -> None:
        """Drop what is known of a job that was swept."""
        self._holders.forget(id)
        self.listed_by_id.pop(id, None)
        self._news.pop(id, None)
        self._retry_at_by_id.pop(id, None)

    async def _claim(self, entry: JobEntry, items: list[JobItem] | None) -> None:
        """Become the holder of a job, then keep it until it ends."""
        self._claiming.add(entry.id)
        try:
            job = await self._claimer.claim(entry, items, self._may_replace)
        finally:
            self._claiming.discard(entry.id)
        if isinstance(job, Ended):
            await self._close(entry, job.head)
            return
        if isinstance(job, HeldBy):
            self._holders.read(entry.id, job.holder)
            if self._mesh.incarnation_alive(job.holder):
                # It may not know, if the answer to its claim was lost.
                self._mesh.send_all(JobNews(entry.id, job.holder, 0))
            return
        if isinstance(job, Unclaimed):
            if job.maybe_ours:
                self._holders.note(entry.id, self._mesh.incarnation)
            now = asyncio.get_running_loop().time()
            self._retry_at_by_id[entry.id] = now + STORE_PAUSE_S
            return
        self._told_all(job)
        self.held_by_id[entry.id] = job
        self.schedule_check()
        try:
            await self._keep(job)
        finally:
            self.held_by_id.pop(entry.id, None)
            job.stop_runs()

    def _may_replace(self, id: str, holder: str) -> bool:
        """Whether a job may be taken from whom the store names as its holder."""
        self._holders.read(id, holder)
        now = asyncio.get_running_loop().time()
        return self._holders.may_replace(id, holder, now)

    # Keeping.

    async def _keep(self, job: HeldJob) -> None:
        """Write results as they come and progress now and then, until it ends."""
        while not job.finished:
            try:
                async with asyncio.timeout(PROGRESS_S):
                    await job.wake.wait()
            except TimeoutError:
                if not any(state.has_news for state in job.states):
                    continue
            job.wake.clear()
            await asyncio.sleep(0)  # let runs that were cancelled end
            holder = "" if job.releasing else self._mesh.incarnation
            listed_before = job.head.listed
            if not await self._writer.write(job, holder):
                # Else it would look as if a claim of ours had taken effect unnoticed.
                self._note(job.entry.id, job.head.holder, job.head.listed)
                break
            if job.head.listed > listed_before or job.releasing:
                self._told_all(job)
            if job.unlisted:
                job.wake.set()
            elif job.releasing:
                return
            await self._lower_tokens(job)
        if job.head.finished:
            await self._close(job.entry, job.head)

    async def _lower_tokens(self, job: HeldJob) -> None:
        """Rewrite what waits in the index if that makes room others may need."""
        table = self._configuration.table
        route = table.batch_route(job.entry.route) if table is not None else None
        if route is None or route.batch is None or job.head.finished:
            return
        limit = route.batch.max_waiting_tokens
        waiting = self._index.waiting_tokens(route.name)
        if limit <= 0 or waiting < limit * CROWDED_SHARE:
            return
        await self._rewrite(job.entry.id, job.waiting_tokens, still_open=True)

    async def _close(self, entry: JobEntry, head: JobHead) -> None:
        """Mark a finished job in the index, so that nobody looks at it again."""
        log.info(
            "job finished",
            job=entry.id,
            listed=head.listed,
            total=head.total,
            cancelled=head.cancelled,
        )
        closed = False
        while not closed:
            closed = await self._rewrite(entry.id, 0, still_open=False)
            if not closed:
                await asyncio.sleep(STORE_PAUSE_S)

    async def _rewrite(self, id: str, tokens: int, still_open: bool) -> bool:
        """Rewrite a job's entry; True if it says so now."""
        entry = self._index.entries_by_job.get(id)
        if entry is None or (not entry.open and not still_open):
            return True
        changed = entry.replace(waiting_tokens=tokens, open=still_open and entry.open)
        key = entry_key(id)
        version = self._index.version_of(id)
        value = to_bytes(changed)
        answer = await self._store.transact(Transaction({key: version}, {key: value}))
        if not isinstance(answer, Err):
            self._index.apply_row(StoredRow(key, value, answer.ok_value.version))
            return True
        row = getattr(answer.err_value, "row", lambda _: None)(key)
        if row is not None:
            self._index.apply_row(row)
        return False

    # News.

    def _told_all(self, job: HeldJob) -> None:
        id = job.entry.id
        self._mesh.send_all(JobNews(id, job.head.holder, job.head.listed))
        self._note(id, job.head.holder, job.head.listed)

    def _granted(self, peer: str, grant: SlotGrant) -> None:
        jobs = self.held_jobs()
        self._granting.take(peer, grant, jobs)
        self.schedule_check()

    def _told(self, peer: str, news: JobNews) -> None:
        if news.cancelled:
            self._end_cancelled(news.job)
            return
        self._note(news.job, news.holder, news.listed)
        if news.holder == "":
            self.schedule_check()

    def _note(self, job: str, holder: str, listed: int) -> None:
        self._holders.note(job, holder)
        if listed > self.listed_by_id.get(job, 0):
            self.listed_by_id[job] = listed
            event = self._news.pop(job, None)
            if event is not None:
                event.set()

    def _end_cancelled(self, job: str) -> None:
        held = self.held_by_id.get(job)
        if held is not None:
            held.lost = True
            held.head = held.head.replace(cancelled=True)
            held.stop_runs()
            held.wake.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            log.error("a job's task failed", exc_info=(type(error), error, None))
