"""Reads the items of jobs for callers, a few objects at a time, and caches some."""

import asyncio
from collections import OrderedDict

from result import Err

from caperridge.gateway.jobs.codec import UnreadableError, job_from_bytes
from caperridge.gateway.jobs.model import JobEntry, JobRequest
from caperridge.gateway.rows import RowStore
from caperridge.log import logger

log = logger(__name__)

MAX_CACHED_JOBS = 8
# Of the objects as stored; the newest one is cached at any size.
MAX_CACHED_BYTES = 8 * 2**20
# An object has up to 8 MiB, and is held twice while it is decoded.
MAX_READS = 2
# Longest wait for the reads of other callers.
MAX_WAIT_S = 2.0


class ItemReads:
    """Reads and caches the items of jobs.

    Args:
        store: of jobs.
    """

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._reads = asyncio.Semaphore(MAX_READS)
        self._jobs_by_object: OrderedDict[str, JobRequest] = OrderedDict()
        self._sizes_by_object: dict[str, int] = {}

    async def read(self, entry: JobEntry) -> JobRequest | None:
        """Return the items of a job; None if they can't be read now.

        Args:
            entry: of the job.
        """
        job = self._jobs_by_object.get(entry.object)
        if job is not None:
            return job
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._reads.acquire()
        except TimeoutError:
            return None
        try:
            # Others may have read it meanwhile.
            job = self._jobs_by_object.get(entry.object)
            return job if job is not None else await self._read(entry)
        finally:
            self._reads.release()

    async def _read(self, entry: JobEntry) -> JobRequest | None:
        answer = await self._store.get_object(entry.object)
        if isinstance(answer, Err) or answer.ok_value is None:
            return None
        try:
            job = job_from_bytes(answer.ok_value)
        except UnreadableError as error:
            log.error("items skipped", job=entry.id, reason=str(error))
            return None
        self._jobs_by_object[entry.object] = job
        self._sizes_by_object[entry.object] = len(answer.ok_value)
        while self._has_too_many():
            oldest, _ = self._jobs_by_object.popitem(last=False)
            del self._sizes_by_object[oldest]
        return job

    def _has_too_many(self) -> bool:
        if len(self._jobs_by_object) <= 1:
            return False
        size = sum(self._sizes_by_object.values())
        return len(self._jobs_by_object) > MAX_CACHED_JOBS or size > MAX_CACHED_BYTES
