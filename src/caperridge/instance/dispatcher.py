"""The batch dispatcher: keeps the batch streams filled and collects what they end.

It owns the chunks in hand. Reading jobs, claiming and committing are tasks of their
own, so that a slow platform never holds up what is running.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from caperridge.decisions.claims import must_fail
from caperridge.decisions.item_failures import ISOLATION_FAULTS, FailItem, after_failure
from caperridge.decisions.job_board import OpenJobs
from caperridge.decisions.jobs import ItemFaults, ItemResult, Job
from caperridge.decisions.membership import Membership
from caperridge.decisions.unserved import UnservedServices
from caperridge.instance.actor import Actor
from caperridge.instance.batch_messages import (
    CheckpointWanted,
    ChunkClaimed,
    ChunkSettled,
    ClaimEnded,
    ClaimWanted,
    CommitWanted,
    JobEnded,
    JobsListed,
    ReturnWanted,
    SessionsLapsed,
)
from caperridge.instance.checkpoints import Checkpoints
from caperridge.instance.chunk_work import (
    ChunkWork,
    ItemPlace,
    chunk_key,
    ended_result,
    failed_result,
    items_in_hand,
)
from caperridge.instance.claimer import ChunkClaimer
from caperridge.instance.committer import ChunkCommitter
from caperridge.instance.item_retries import ItemRetries
from caperridge.instance.item_runners import ItemRunners
from caperridge.instance.item_work import ItemWork
from caperridge.instance.jobs_reader import JobsReader
from caperridge.instance.messages import ItemEnded, JobsChanged
from caperridge.instance.metrics import Metrics
from caperridge.instance.session import SessionKeeper
from caperridge.instance.session_watcher import SessionWatcher
from caperridge.log import logger
from caperridge.peers.interface import Peers
from caperridge.store.interface import Platform
from caperridge.targets.outcomes import AttemptError

log = logger(__name__)
KILLS_ITS_HOLDER = "the instances that worked on it alone were lost, each time"


class BatchDispatcher(Actor):
    """Claims chunks ahead of its batch streams and has them committed.

    Args:
        platform: where jobs and claims are.
        session: whose lease keeps the claims.
        membership: of this instance.
        metrics: of the instance.
        lease_s: of all sessions.
        clock: monotonic seconds.
        peers: with whom the reading of jobs is shared.
    """

    idle_s = 0.1

    def __init__(
        self,
        platform: Platform,
        session: SessionKeeper,
        membership: Membership,
        metrics: Metrics,
        lease_s: float,
        clock: Callable[[], float],
        peers: Peers | None = None,
    ) -> None:
        super().__init__()
        self.streams: ItemRunners
        self.draining = False
        self._session = session
        self._metrics = metrics
        self._clock = clock
        self._works_by_key: dict[str, ChunkWork] = {}
        self._board = OpenJobs(membership.instance)
        self._claiming: set[str] = set()
        self._finishing_by_key: dict[str, ChunkWork] = {}
        self._retries = ItemRetries()
        self._unserved = UnservedServices()
        self._parked = False
        self._session_id = ""
        self._quiet = asyncio.Event()
        self._checkpoints = Checkpoints()
        self._reader = JobsReader(platform, membership, clock, self.tell, peers)
        self._claimer = ChunkClaimer(platform, membership.instance, clock, self.tell)
        self._committer = ChunkCommitter(
            platform, session, membership.instance, clock, self.tell
        )
        watcher = SessionWatcher(platform, membership, lease_s, clock, peers)
        self._parts: list[Actor] = [
            self._reader,
            self._claimer,
            self._committer,
            watcher,
        ]

    def start(self) -> None:
        """Start this task and its parts."""
        for part in self._parts:
            part.start()
        super().start()

    async def stop(self) -> None:
        """Stop this task and its parts."""
        await super().stop()
        for part in self._parts:
            await part.stop()
        self.streams.drop_all()

    def may_start(self) -> bool:
        """Return whether an item may start at a target now."""
        return self._session.left_s() > 0 and not self.draining

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: JobsChanged) -> None:
        self._reader.poll_soon()
        if message.cancelled:
            self._end_job(message.cancelled)

    @handle.register
    async def _(self, message: JobEnded) -> None:
        self._end_job(message.job)

    @handle.register
    async def _(self, message: JobsListed) -> None:
        for job_id in self._board.replace(message.jobs):
            self._end_job(job_id)

    @handle.register
    async def _(self, message: Job) -> None:
        self._board.add(message)

    @handle.register
    async def _(self, message: SessionsLapsed) -> None:
        self._claimer.tell(message)

    @handle.register
    async def _(self, message: ChunkClaimed) -> None:
        if message.session != self._session.session_id:
            return
        work = ChunkWork(message.job, message.chunk, message.state, message.session)
        work.add_items(message.lines, message.saved)
        self._works_by_key[work.key] = work
        # Saved again under our session, for whoever comes after us.
        now = self._clock()
        for saved in message.saved.results_by_index.values():
            self._checkpoints.ended(work.job.id, saved, now)
        for faults in work.faults():
            self._checkpoints.failed(work.job.id, faults, now)
        if must_fail(message.chunk, message.state.deaths):
            for item in list(work.items_by_index.values()):
                place: ItemPlace = item.context
                self._end_item(
                    work,
                    failed_result(place, "lost_holders", KILLS_ITS_HOLDER, 500),
                )
            return
        if not work.items_by_index:
            self._finish(work)
            return
        self._board.meter(work.job.service).start(now)
        if not self._parked:
            self._submit_all(work)

    @handle.register
    async def _(self, message: ClaimEnded) -> None:
        self._claiming.discard(message.service)
        self._board.record_claim_round(
            message.service, message.reasons_by_job, message.remaining_by_job
        )

    @handle.register
    async def _(self, message: ChunkSettled) -> None:
        self._finishing_by_key.pop(chunk_key(message.chunk), None)
        self._claimer.tell(message)

    @handle.register
    async def _(self, message: ItemEnded) -> None:
        if self.draining and not self.streams.running:
            self._quiet.set()
        place: ItemPlace = message.work.context
        work = place.work
        if self._works_by_key.get(work.key) is not work:
            return
        self._retries.ended(message.work)
        if message.error is None:
            result = ended_result(message.work)
            self._end_item(work, result, message.work.irreplaceable)
            return
        self._failed(message.work, message.error)

    def _failed(self, item: ItemWork, error: AttemptError) -> None:
        place: ItemPlace = item.context
        self._metrics.attempts.labels(item.service, type(error).__name__).inc()
        if not self.may_start():
            # It was not tried. It waits here in case the lease is renewed before the
            # dispatcher parks; parking, or the next holder, takes care of the rest.
            self._retries.add(item, self._clock(), alone=False)
            return
        verdict = after_failure(error, item.request, place.faults, place.failures)
        if isinstance(verdict, FailItem):
            result = failed_result(place, verdict.code, verdict.reason, verdict.status)
            self._end_item(place.work, result)
            return
        place.failures += 1
        if verdict.faults > place.faults:
            place.faults = verdict.faults
            faults = ItemFaults(place.index, place.faults)
            self._checkpoints.failed(place.work.job.id, faults, self._clock())
        self._retries.add(item, self._clock() + verdict.delay_s, verdict.alone)

    def _end_item(
        self, work: ChunkWork, result: ItemResult, irreplaceable: bool = False
    ) -> None:
        work.ended(result)
        service = work.job.service
        now = self._clock()
        self._checkpoints.ended(work.job.id, result.to_map(), now, irreplaceable)
        self._board.meter(service).record(1, now)
        outcome = "failed" if result.error else "completed"
        self._metrics.batch_items.labels(service, outcome).inc()
        if self._checkpoints.due(now):
            self._committer.tell(self._checkpoint())
        if not work.items_by_index:
            self._finish(work)

    def _finish(self, work: ChunkWork) -> None:
        del self._works_by_key[work.key]
        # In hand until the claimer knows the outcome, or it would be claimed again.
        self._finishing_by_key[work.key] = work
        failed = work.failed()
        self._committer.tell(
            CommitWanted(
                work.chunk,
                work.state,
                work.session,
                work.result_data(),
                len(work.results_by_index) - failed,
                failed,
            )
        )

    def _end_job(self, job_id: str) -> None:
        self._board.remove(job_id)
        self.streams.cancel_job(job_id)
        self._retries.cancel_job(job_id)
        for key, work in list(self._works_by_key.items()):
            if work.job.id == job_id:
                del self._works_by_key[key]

    async def idle(self) -> None:
        """Follow the lease, and claim what there is room for."""
        self._follow_lease()
        now = self._clock()
        # While draining too: what ends then may be the last that is heard of it.
        if self._session.left_s() > 0 and self._checkpoints.due(now):
            self._committer.tell(self._checkpoint())
        if not self.may_start():
            return
        for item in self._retries.due(now):
            self.streams.submit(item)
        self.streams.fill()
        held = {work.job.service for work in self._works_by_key.values()}
        served = {service: self.streams.serves(service) for service in held}
        for service in self._unserved.due(served, now):
            self._give_back(service)
        if self._reader.known:
            for service in self._board.services():
                self._want(service)

    def _give_back(self, service: str) -> None:
        works = [w for w in self._works_by_key.values() if w.job.service == service]
        self._committer.tell(self._checkpoint())
        for work in works:
            self.streams.cancel_job(work.job.id)
            self._retries.cancel_job(work.job.id)
            del self._works_by_key[work.key]
            # In hand until the row is free, or it would be claimed again before.
            self._finishing_by_key[work.key] = work
            self._committer.tell(ReturnWanted(work.chunk, work.state, work.session))

    def _follow_lease(self) -> None:
        session = self._session.session_id
        if session and session != self._session_id:
            # A new one: what the old one claimed is free for others.
            self._session_id = session
            self._works_by_key.clear()
            self._retries.clear()
            self._checkpoints.reset()
            self.streams.drop_all()
        if not self._session.holds(session):
            if not self._parked:
                if self._session_id:  # at the start there was none yet
                    was = self._session_id
                    log.warning("the lease has ended; batch work stops", session=was)
                self.streams.drop_all()
            self._parked = True
            return
        if not self._parked:
            return
        self._parked = False
        self._retries.clear()
        self._committer.platform_is_back()
        # Nobody took our chunks: go on, with the tokens that were kept.
        for work in self._works_by_key.values():
            self._submit_all(work)

    def _submit_all(self, work: ChunkWork) -> None:
        """Let the items of ``work`` run; those that broke targets one by one."""
        for item in list(work.items_by_index.values()):
            place: ItemPlace = item.context
            if place.faults >= ISOLATION_FAULTS:
                self._retries.add(item, self._clock(), alone=True)
                continue
            self.streams.submit(item)

    def _want(self, service: str) -> None:
        if service in self._claiming:
            return
        want = self._board.claim_quota(
            service,
            self.streams.room(service),
            items_in_hand(self._works_by_key.values(), service),
            self._clock(),
            time.time(),
        )
        if want is None:
            return
        in_hand = {*self._works_by_key, *self._finishing_by_key}
        session = self._session.session_id
        self._claiming.add(service)
        self._claimer.tell(ClaimWanted(service, session, want, in_hand))

    def _checkpoint(self) -> CheckpointWanted:
        works = [*self._works_by_key.values(), *self._finishing_by_key.values()]
        return self._checkpoints.take(self._session.session_id, works)

    async def release(self, wait_s: float) -> None:
        """Stop as planned: let running items end, then save what is not committed.

        Args:
            wait_s: longest wait for items that run.
        """
        self.draining = True
        self._quiet.clear()
        if self.streams.running:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._quiet.wait(), wait_s)
        await asyncio.sleep(2 * self.idle_s)
        await self.streams.release()
        self._committer.tell(self._checkpoint())
        await asyncio.sleep(2 * self._committer.idle_s)
        await self._committer.flush()

    def why(self, job_id: str) -> str:
        """Return why nothing more of a job runs here; empty if something does."""
        if not self._reader.known:
            return "the platform is away"
        if self._session.left_s() <= 0:
            return "the lease of this instance has ended"
        return self._board.wait_reason(job_id)

    def state(self) -> dict[str, Any]:
        """Return the dispatcher's state for the dump."""
        open_by_chunk = {
            key: len(work.items_by_index) for key, work in self._works_by_key.items()
        }
        return {
            "items_open_by_chunk": open_by_chunk,
            "chunks_to_commit": len(self._committer.waiting_by_key),
            "jobs": self._reader.state(),
            "retries": self._retries.state(),
            "waits_because_by_job": {
                job_id: self.why(job_id) for job_id in self._board.jobs_by_id
            },
            "streams": self.streams.state(),
        }
