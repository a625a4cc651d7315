"""Retention: removes finished jobs with all their rows and objects."""

import asyncio

from result import Err

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.jobs.codec import UnreadableError, from_bytes
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keys import JOBS, entry_key, is_result
from caperridge.gateway.jobs.model import ItemResult, JobEntry
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.rows import RowStore, StoredRow, Transaction
from caperridge.log import logger

log = logger(__name__)

SWEEP_INTERVAL_S = 20.0
# Jobs are kept longer than promised to allow for clock skew and late callers.
RETENTION_MARGIN_S = 60.0


class JobSweeper:
    """Removes old finished jobs; hashing assigns each to one live instance.

    Args:
        store: of jobs.
        index: of all jobs.
        clock: of the store.
        mesh: provides the live instances.
        kept_s: retention time of a job after its acceptance, in seconds.
    """

    def __init__(
        self,
        store: RowStore,
        index: JobIndex,
        clock: StoreClock,
        mesh: Mesh,
        kept_s: float,
    ) -> None:
        self._store = store
        self._index = index
        self._clock = clock
        self._mesh = mesh
        self._kept_s = kept_s

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for entry in self.expired_jobs():
                await self._sweep(entry)

    def expired_jobs(self) -> list[JobEntry]:
        """Return the jobs assigned to this instance whose retention is over."""
        if not self._clock.known:
            return []
        live = [self._mesh.instance, *(member.id for member in self._mesh.alive())]
        before = self._clock.now() - self._kept_s - RETENTION_MARGIN_S
        return [
            entry
            for entry in self._index.entries_by_job.values()
            if not entry.open
            and entry.sent_s < before
            and owner(entry.id, live) == self._mesh.instance
        ]

    async def _sweep(self, entry: JobEntry) -> None:
        """Remove a job's rows, then its objects, and last its entry.

        A failed step is retried at the next sweep, as the entry still exists.
        """
        max_removals = self._store.limits.entries
        while True:
            answer = await self._store.read(JOBS, entry.id, limit=max_removals)
            if isinstance(answer, Err):
                return
            rows = answer.ok_value.rows
            if not rows:
                break
            if not await self._remove(rows):
                return
        dropped = await self._store.drop_object(entry.object)
        if isinstance(dropped, Err):
            return
        key = entry_key(entry.id)
        versions = {key: self._index.version_of(entry.id)}
        removed = await self._store.transact(Transaction(versions, {}, [key]))
        if isinstance(removed, Err):
            return
        version = removed.ok_value.version
        self._index.apply_row(StoredRow(key, b"", version, removed=True))
        log.info("job swept", job=entry.id, sent_s=round(entry.sent_s, 1))

    async def _remove(self, rows: list[StoredRow]) -> bool:
        for row in rows:
            if not is_result(row.key):
                continue
            try:
                result = from_bytes(ItemResult, row.value)
            except UnreadableError as error:
                log.error("result skipped", key=row.key.key, reason=str(error))
                continue
            if result.object:
                dropped = await self._store.drop_object(result.object)
                if isinstance(dropped, Err):
                    return False
        keys = [row.key for row in rows]
        removed = await self._store.transact(Transaction({}, {}, keys))
        return not isinstance(removed, Err)
