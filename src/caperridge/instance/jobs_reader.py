"""The task that knows which jobs are open."""

import random
from collections.abc import Callable

from result import Err

from caperridge.commands.sessions import LAPSED
from caperridge.decisions.jobs import OPEN
from caperridge.instance.actor import Actor
from caperridge.instance.batch_messages import JobEnded, JobsListed, SessionsLapsed
from caperridge.platform.interface import Platform
from caperridge.queries.jobs import open_jobs, read_changes, read_job
from caperridge.records import Record

POLL_S = 1.0
SCAN_S = 30.0


class JobsReader(Actor):
    """Polls the row of changes, and now and then scans the open jobs.

    At 390 instances a poll of one row each second is 390 reads a second; scans of
    1,900 jobs every 30 s are 260.

    Args:
        platform: where the jobs are.
        instance: seeds the jitter.
        clock: monotonic seconds.
        tell: takes what was found.
    """

    idle_s = 0.2

    def __init__(
        self,
        platform: Platform,
        instance: str,
        clock: Callable[[], float],
        tell: Callable[[Record], bool],
    ) -> None:
        super().__init__()
        self.known = False
        self._platform = platform
        self._clock = clock
        self._tell = tell
        self._random = random.Random(instance)
        self._number: int | None = None
        self._poll_at = 0.0
        self._scan_at = 0.0

    def poll_soon(self) -> None:
        """Poll at the next tick: somebody says that there is news."""
        self._poll_at = 0.0

    async def idle(self) -> None:
        """Poll or scan if it is time."""
        now = self._clock()
        if now < self._poll_at:
            return
        self._poll_at = now + POLL_S * (0.75 + self._random.random() / 2)
        changes = await read_changes(self._platform, self._number)
        if isinstance(changes, Err):
            self.known = False
            return
        self.known = True
        number, news = changes.ok_value
        if news is None or now >= self._scan_at:
            await self._scan(number)
            return
        for subject, state in news:
            await self._take(subject, state)
        self._number = number

    async def _scan(self, number: int) -> None:
        jobs = await open_jobs(self._platform)
        if isinstance(jobs, Err):
            return
        # The number was read before the scan: what came between is seen twice.
        self._number = number
        self._scan_at = self._clock() + SCAN_S * (0.75 + self._random.random() / 2)
        self._tell(JobsListed(jobs.ok_value))
        self._tell(SessionsLapsed())

    async def _take(self, subject: str, state: str) -> None:
        if state == LAPSED:
            self._tell(SessionsLapsed())
            return
        if state != OPEN:
            self._tell(JobEnded(subject))
            return
        job = await read_job(self._platform, subject)
        if isinstance(job, Err):
            self._scan_at = 0.0
            return
        if job.ok_value is not None and job.ok_value.state == OPEN:
            self._tell(job.ok_value)
