"""The task that knows which jobs are open, by itself or from its zone's reader."""

import random
from collections.abc import Callable
from typing import Any

from result import Err

from caperridge.commands.sessions import LAPSED
from caperridge.decisions.job_reads import (
    NO_DIGEST,
    Changes,
    JobReadSchedule,
    UpdateKind,
    digest_of_jobs,
)
from caperridge.decisions.jobs import COMPLETED, OPEN, Job
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.instance.batch_messages import JobEnded, JobsListed, SessionsLapsed
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.peers.messages import JobsRead
from caperridge.queries.jobs import read_changes, read_job, read_open_jobs
from caperridge.records import Record, pack
from caperridge.store.interface import Platform

log = logger(__name__)
READ_JOBS = "read-jobs"
MOST_SHARED_BYTES = 64_000


class JobsReader(Actor):
    """Polls the row of changes and scans the open jobs, for its zone if it is its turn.

    Args:
        platform: where the jobs are.
        membership: says who reads for the zone; the instance's id seeds the jitter.
        clock: monotonic seconds.
        tell: takes what was found.
        peers: with whom the reading is shared.
    """

    idle_s = 0.2

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        clock: Callable[[], float],
        tell: Callable[[Record], bool],
        peers: Peers | None = None,
    ) -> None:
        super().__init__()
        self.known = False
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._tell = tell
        self._peers = peers or NoPeers()
        self._reads = JobReadSchedule(random.Random(membership.instance))
        self._peers.register(JobsRead, lambda _, news: self.tell(news))

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads for its zone."""
        zone = self._membership.availability_zone
        return self._membership.owner(READ_JOBS, zone) == self._membership.instance

    def poll_soon(self) -> None:
        """Note that somebody says that there is news."""
        self._reads.record_hint(self._clock(), self.is_reader)

    async def handle(self, message: Any) -> None:
        """Take what a reader of the zone found."""
        now = self._clock()
        # Read whole before anything counts as taken: a later release may differ.
        jobs_by_id: dict[str, Job] = {}
        for fields in message.jobs:
            job = Job.from_map(fields)
            jobs_by_id[job.id] = job
        told = Changes(message.base, message.number, message.changes)
        heard, changes = self._reads.receive(now, told)
        if heard is UpdateKind.STALE:
            return
        self.known = True
        for subject, state in changes:
            if state == OPEN and subject not in jobs_by_id:
                self._reads.schedule_scan(now)
                continue
            self._take(subject, state, jobs_by_id.get(subject))
        self._reads.compare_digest(now, message.number, message.digest)
        if message.digest != NO_DIGEST:
            # A lapse that could not be announced is found as often as by a scan.
            self._tell(SessionsLapsed())

    async def idle(self) -> None:
        """Poll or scan if it is time."""
        now, reader = self._clock(), self.is_reader
        if not self._reads.poll_due(now, reader):
            return
        self._reads.record_poll_sent(now)
        before = self._reads.number
        read = await read_changes(self._platform, before)
        if isinstance(read, Err):
            self.known = False
            self._reads.record_read_failed(self._clock())
            return
        self.known = True
        number, changes = read.ok_value
        went_back = before is not None and number < before
        if changes is None or went_back or self._reads.scan_due(now, reader):
            await self._scan(number, reader)
            return
        await self._take_all(Changes(before or 0, number, changes), reader)

    async def _scan(self, number: int, reader: bool) -> None:
        jobs = await read_open_jobs(self._platform)
        if isinstance(jobs, Err):
            self._reads.schedule_scan(self._clock())
            return
        # The number was read before the scan: what came between is seen twice.
        open_ids = {job.id for job in jobs.ok_value}
        self._reads.record_scan(self._clock(), number, open_ids)
        self._tell(JobsListed(jobs.ok_value))
        self._tell(SessionsLapsed())
        if not reader:
            return
        after = await read_changes(self._platform, number)
        if isinstance(after, Err) or after.ok_value[0] != number:
            # A digest of jobs that change just now would make the zone scan.
            return
        self._reads.share_due(self._clock(), has_updates=True)
        digest = digest_of_jobs(open_ids)
        self._peers.send_zone(JobsRead(number, number, digest=digest))

    async def _take_all(self, found: Changes, reader: bool) -> None:
        shared: list[list[str]] = []
        jobs: list[Job] = []
        for subject, state in found.changes:
            job: Job | None = None
            if state == OPEN:
                read = await read_job(self._platform, subject)
                if isinstance(read, Err):
                    # The next poll sees these changes again.
                    return
                job = read.ok_value
                state = job.state if job is not None else COMPLETED
            self._take(subject, state, job)
            shared.append([subject, state])
            if job is not None and state == OPEN:
                jobs.append(job)
        self._reads.record_poll(found.number)
        if reader and self._reads.share_due(self._clock(), has_updates=bool(shared)):
            news = JobsRead(found.number, found.base, shared, _bounded(jobs))
            self._peers.send_zone(news)

    def _take(self, subject: str, state: str, job: Job | None) -> None:
        if state == LAPSED:
            self._tell(SessionsLapsed())
            return
        if state != OPEN or job is None:
            self._reads.open_ids.discard(subject)
            self._tell(JobEnded(subject))
            return
        self._reads.open_ids.add(subject)
        self._tell(job)

    def state(self) -> dict[str, Any]:
        """Return what operators want to see of it."""
        return {
            "reader": self.is_reader,
            "known": self.known,
            "number": self._reads.number,
            "open": len(self._reads.open_ids),
        }


def _bounded(jobs: list[Job]) -> list[dict[str, Any]]:
    """Return the jobs that fit into a message; who lacks one scans."""
    left = MOST_SHARED_BYTES
    fitting: list[dict[str, Any]] = []
    for job in jobs:
        left -= len(pack(job))
        if left < 0:
            break
        fitting.append(job.to_map())
    return fitting
