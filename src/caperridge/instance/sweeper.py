"""The task that removes what is past its retention, a little at a time."""

from collections.abc import Callable

from result import Err

from caperridge import keys
from caperridge.commands.accept_file import DELETING, UPLOADING, StoredFile
from caperridge.commands.sessions import ALIVE
from caperridge.commands.sweep_job import (
    mark_file_deleting,
    sweep_file,
    sweep_job,
    sweep_objects,
    sweep_session,
)
from caperridge.decisions.jobs import COMPLETED, OPEN, Job
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.log import logger
from caperridge.queries.jobs import read_view
from caperridge.store.interface import Platform, Row

log = logger(__name__)
SWEEP = "sweep"
TICK_S = 5.0
PAGE_ROWS = 100
MOST_DELETES = 20
SESSION_KEPT_S = 3600.0
UPLOAD_KEPT_S = 86_400.0
MOST_CLEANED = 10_000


class Sweeper(Actor):
    """Goes round the jobs, sessions and uploaded files, one page of each a tick.

    One instance of each availability zone sweeps; that two do it at once is harmless.
    A tick deletes at most about 20 objects of jobs and as many of files: 8 a second
    and zone.

    Args:
        platform: what is swept.
        membership: says who sweeps.
        retention_s: how long ended jobs stay readable, and files that no job uses.
        clock: monotonic seconds.
        wall: seconds since the epoch.
    """

    idle_s = TICK_S

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        retention_s: float,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        super().__init__()
        self._platform = platform
        self._membership = membership
        self._retention_s = retention_s
        self._clock = clock
        self._wall = wall
        self._jobs_after = ""
        self._sessions_after = ""
        self._files_after = ""
        self._ended_since_by_session: dict[str, float] = {}
        self._cleaned: set[str] = set()

    async def idle(self) -> None:
        """Look at the next page of jobs, of sessions and of files."""
        zone = self._membership.availability_zone
        if self._membership.owner(SWEEP, zone) != self._membership.instance:
            return
        await self._sweep_files()
        jobs = await self._platform.scan(keys.JOBS, self._jobs_after, PAGE_ROWS)
        if isinstance(jobs, Err):
            return
        left = MOST_DELETES
        for row in jobs.ok_value:
            if left <= 0:
                # The rest of the page is for the next tick.
                return
            left -= await self._sweep_job(Job.from_map(row.value), left)
            self._jobs_after = row.key
        if len(jobs.ok_value) < PAGE_ROWS:
            self._jobs_after = ""
        await self._sweep_sessions()

    async def _sweep_job(self, job: Job, most: int) -> int:
        if job.state == OPEN:
            return 0
        if job.ended + self._retention_s < self._wall():
            outcome = await sweep_job(self._platform, job.id, job.file, most)
            return 1 if isinstance(outcome, Err) else max(1, outcome.ok_value)
        if job.state != COMPLETED or job.id in self._cleaned:
            return 0
        return await self._sweep_orphans(job, most)

    async def _sweep_orphans(self, job: Job, most: int) -> int:
        """Remove results of attempts that were not the ones committed."""
        view = await read_view(self._platform, job)
        if isinstance(view, Err) or not view.ok_value.complete():
            return 1
        kept = {seen.state.result for seen in view.ok_value.rows_by_start.values()}
        prefix = keys.results(job.id)
        outcome = await sweep_objects(self._platform, prefix, kept, most)
        if isinstance(outcome, Err):
            return 1
        if outcome.ok_value < most:
            if len(self._cleaned) >= MOST_CLEANED:
                self._cleaned.clear()
            self._cleaned.add(job.id)
        return max(1, outcome.ok_value)

    async def _sweep_files(self) -> None:
        rows = await self._platform.scan(keys.FILES, self._files_after, PAGE_ROWS)
        if isinstance(rows, Err):
            return
        left = MOST_DELETES
        for row in rows.ok_value:
            if left <= 0:
                # The rest of the page is for the next tick.
                return
            left -= await self._sweep_file(row, left)
            self._files_after = row.key
        if len(rows.ok_value) < PAGE_ROWS:
            self._files_after = ""

    async def _sweep_file(self, row: Row, most: int) -> int:
        file = StoredFile.from_map(row.value)
        if file.state != DELETING:
            kept_s = UPLOAD_KEPT_S if file.state == UPLOADING else self._retention_s
            if file.created + kept_s >= self._wall():
                return 0
            given_up = await mark_file_deleting(self._platform, file.id, row.version)
            if isinstance(given_up, Err) or not given_up.ok_value:
                return 1
        outcome = await sweep_file(self._platform, file.id, most)
        return 1 if isinstance(outcome, Err) else max(1, outcome.ok_value)

    async def _sweep_sessions(self) -> None:
        rows = await self._platform.scan(keys.SESSIONS, self._sessions_after, PAGE_ROWS)
        if isinstance(rows, Err):
            return
        for row in rows.ok_value:
            await self._sweep_session(row)
        whole = len(rows.ok_value) < PAGE_ROWS
        self._sessions_after = "" if whole else rows.ok_value[-1].key

    async def _sweep_session(self, row: Row) -> None:
        session_id = row.key.removeprefix(keys.SESSIONS)
        if row.value["state"] == ALIVE:
            return
        now = self._clock()
        since = self._ended_since_by_session.setdefault(session_id, now)
        if now - since < SESSION_KEPT_S:
            return
        outcome = await sweep_session(self._platform, session_id)
        if not isinstance(outcome, Err):
            del self._ended_since_by_session[session_id]
