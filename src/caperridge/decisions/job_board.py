"""Work claiming: the open jobs of one instance, and how many items to claim."""

from caperridge.decisions.job_order import JobLoad, order_jobs
from caperridge.decisions.jobs import Job
from caperridge.decisions.rates import RateMeter
from caperridge.records import Record

CLAIM_AHEAD_S = 3.0
MAX_IN_HAND_ITEMS = 4000
NO_ROOM = "no target of this instance has room"


class ClaimQuota(Record):
    """How many items of a service to claim, and the order of its jobs.

    Attributes:
        items: number of items to claim.
        slots: items that run concurrently on this instance.
        items_per_s: throughput of the service on this instance; 0 if not known.
        loads: its open jobs, the first to claim first.
    """

    __slots__ = ("items", "items_per_s", "loads", "slots")

    def __init__(
        self, items: int, slots: int, items_per_s: float, loads: list[JobLoad]
    ) -> None:
        self.items = items
        self.slots = slots
        self.items_per_s = items_per_s
        self.loads = loads


class OpenJobs:
    """The open jobs: remaining items, wait reasons and throughput by service.

    Args:
        instance: id of the instance; ties in the order of jobs are broken by its hash.

    Attributes:
        jobs_by_id: the open jobs.
    """

    def __init__(self, instance: str) -> None:
        self.jobs_by_id: dict[str, Job] = {}
        self._instance = instance
        self._remaining_by_job: dict[str, int] = {}
        self._reasons_by_job: dict[str, str] = {}
        self._meters_by_service: dict[str, RateMeter] = {}

    def services(self) -> set[str]:
        """Return the services that have an open job."""
        return {job.service for job in self.jobs_by_id.values()}

    def meter(self, service: str) -> RateMeter:
        """Return the throughput meter of a service."""
        return self._meters_by_service.setdefault(service, RateMeter())

    def add(self, job: Job) -> None:
        """Add an open job."""
        self.jobs_by_id[job.id] = job

    def replace(self, jobs: list[Job]) -> list[str]:
        """Replace all open jobs; return the ids of those that are no longer open."""
        open_by_id = {job.id: job for job in jobs}
        finished = [job_id for job_id in self.jobs_by_id if job_id not in open_by_id]
        self.jobs_by_id = open_by_id
        return finished

    def remove(self, job_id: str) -> None:
        """Remove a job that is no longer open."""
        self.jobs_by_id.pop(job_id, None)
        self._remaining_by_job.pop(job_id, None)
        self._reasons_by_job.pop(job_id, None)

    def record_claim_round(
        self,
        service: str,
        reasons_by_job: dict[str, str],
        remaining_by_job: dict[str, int],
    ) -> None:
        """Record the result of a round of claims.

        Args:
            service: whose jobs were claimed from.
            reasons_by_job: why nothing was claimed of a job.
            remaining_by_job: items of a job that are not committed.
        """
        self._remaining_by_job.update(remaining_by_job)
        for job_id, job in self.jobs_by_id.items():
            if job.service == service:
                self._reasons_by_job[job_id] = reasons_by_job.get(job_id, "")

    def wait_reason(self, job_id: str) -> str:
        """Return why the last round claimed nothing of a job; empty if it did."""
        return self._reasons_by_job.get(job_id, "")

    def claim_quota(
        self,
        service: str,
        room: int | None,
        in_hand_by_job: dict[str, int],
        now: float,
        wall: float,
    ) -> ClaimQuota | None:
        """Return what to claim of a service; None for nothing.

        Args:
            service: name of the service.
            room: items that could start at once; None if there is no target. In that
                case nothing is claimed ahead: claimed items are about to be returned.
            in_hand_by_job: items claimed by this instance that have not finished.
            now: monotonic seconds.
            wall: seconds since the epoch.
        """
        in_hand = sum(in_hand_by_job.values())
        if room is None or (in_hand == 0 and room == 0):
            self._set_wait_reason(service, NO_ROOM)
            return None
        rate = self.meter(service).per_s(now)
        max_in_hand = min(MAX_IN_HAND_ITEMS, room + int(rate * CLAIM_AHEAD_S))
        if room == 0 and in_hand >= max_in_hand:
            self._set_wait_reason(service, "")
            return None
        loads: list[JobLoad] = []
        for job in self.jobs_by_id.values():
            if job.service != service:
                continue
            remaining = self._remaining_by_job.get(job.id, job.items)
            loads.append(JobLoad(job, in_hand_by_job.get(job.id, 0), remaining))
        ordered = order_jobs(loads, self._instance, rate, wall)
        slots = max(1, min(in_hand, MAX_IN_HAND_ITEMS) + room)
        return ClaimQuota(max(room, max_in_hand - in_hand), slots, rate, ordered)

    def _set_wait_reason(self, service: str, reason: str) -> None:
        for job_id, job in self.jobs_by_id.items():
            if job.service == service:
                self._reasons_by_job[job_id] = reason
