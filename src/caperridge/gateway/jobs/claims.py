"""Claims of jobs: acquiring a lease by a conditional write (compare-and-set).

A claim is one write of the job's head, conditional on the head as it was read, so of
two instances that try at once one succeeds. Results and progress that earlier holders
stored are restored.
"""

from collections.abc import Callable

from result import Err

from caperridge.gateway.jobs.codec import (
    UnreadableError,
    from_bytes,
    job_from_bytes,
    to_bytes,
)
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.keys import (
    JOBS,
    head_key,
    is_head,
    is_progress,
    is_result,
    number_of,
)
from caperridge.gateway.jobs.model import (
    ItemProgress,
    ItemResult,
    JobEntry,
    JobHead,
    JobItem,
)
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.rows import (
    ABSENT,
    Rejected,
    RowStore,
    StoredRow,
    Transaction,
    read_all_rows,
)
from caperridge.log import logger
from caperridge.records import Record
from caperridge.store.interface import Unknown

log = logger(__name__)


class JobFinished(Record):
    """The job is complete or cancelled, as ``head`` shows."""

    __slots__ = ("head",)

    def __init__(self, head: JobHead) -> None:
        self.head = head


class HeldBy(Record):
    """The incarnation ``holder`` has the job and may not be replaced yet."""

    __slots__ = ("holder",)

    def __init__(self, holder: str) -> None:
        self.holder = holder


class ClaimFailed(Record):
    """The store did not answer, or another claim came first; retry later.

    Attributes:
        reason: short description.
        may_be_ours: the claim may have taken effect, or may still do so.
        rejected: the store refuses the call for good.
    """

    __slots__ = ("may_be_ours", "reason", "rejected")

    def __init__(
        self, reason: str, may_be_ours: bool = False, rejected: bool = False
    ) -> None:
        self.reason = reason
        self.may_be_ours = may_be_ours
        self.rejected = rejected


Claim = HeldJob | JobFinished | HeldBy | ClaimFailed
# Takes the id of a job and the incarnation of its holder.
MayReplace = Callable[[str, str], bool]


class JobClaimer:
    """Claims jobs for one instance.

    Args:
        store: of jobs.
        mesh: provides this instance's incarnation.
    """

    def __init__(self, store: RowStore, mesh: Mesh) -> None:
        self._store = store
        self._mesh = mesh

    async def claim(
        self,
        entry: JobEntry,
        items: list[JobItem] | None,
        may_replace: MayReplace,
    ) -> Claim:
        """Become the holder of a job.

        Args:
            entry: of the job.
            items: given if this instance just accepted the job; nothing is read then.
            may_replace: decides whether another holder may be replaced.
        """
        rows: list[StoredRow] = []
        if items is None:
            answer = await read_all_rows(self._store, JOBS, entry.id)
            if isinstance(answer, Err):
                return ClaimFailed("its rows cannot be read")
            rows = answer.ok_value.rows
        head_row = next((row for row in rows if is_head(row.key)), None)
        head = JobHead("", entry.total)
        if head_row is not None:
            try:
                head = from_bytes(JobHead, head_row.value)
            except UnreadableError as error:
                log.error("head skipped", job=entry.id, reason=str(error))
                return ClaimFailed("its head cannot be read")
        if head.finished:
            return JobFinished(head)
        held_elsewhere = head.holder not in ("", self._mesh.incarnation)
        if held_elsewhere and not may_replace(entry.id, head.holder):
            return HeldBy(head.holder)
        if items is None:
            items = await self._read_items(entry)
            if items is None:
                return ClaimFailed("its items cannot be read")
        version = head_row.version if head_row is not None else ABSENT
        job = HeldJob(entry, head, version, items)
        _restore(job, rows)
        return await self._write_claim(job)

    async def _write_claim(self, job: HeldJob) -> Claim:
        id = job.entry.id
        previous = job.head
        head = previous.replace(holder=self._mesh.incarnation, turn=previous.turn + 1)
        key = head_key(id)
        claim = Transaction({key: job.version}, {key: to_bytes(head)})
        answer = await self._store.transact(claim)
        if isinstance(answer, Err):
            error = answer.err_value
            name = type(error).__name__
            log.info("claim failed", job=id, error=name, version=job.version)
            return ClaimFailed(
                name, isinstance(error, Unknown), isinstance(error, Rejected)
            )
        job.head = head
        job.version = answer.ok_value.version
        log.info(
            "job held",
            job=id,
            before=previous.holder,
            listed=head.listed,
            total=head.total,
            version=job.version,
        )
        return job

    async def _read_items(self, entry: JobEntry) -> list[JobItem] | None:
        answer = await self._store.get_object(entry.object)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        try:
            return job_from_bytes(answer.ok_value).items
        except UnreadableError as error:
            log.error("items skipped", job=entry.id, reason=str(error))
            return None


def _restore(job: HeldJob, rows: list[StoredRow]) -> None:
    """Restore results and progress of earlier holders; skip unreadable rows."""
    results: list[ItemResult] = []
    for row in rows:
        try:
            if is_progress(row.key):
                progress = from_bytes(ItemProgress, row.value)
                job.restore_progress(number_of(row.key), progress)
            elif is_result(row.key):
                results.append(from_bytes(ItemResult, row.value))
        except UnreadableError as error:
            log.error("row skipped", job=job.entry.id, reason=str(error))
    job.restore_results(results)
