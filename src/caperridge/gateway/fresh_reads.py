"""Reads of a table that begin after the question that they answer.

A copy of a table may miss changes for seconds before anything shows that it does: a
long poll is not overdue yet, or this process stood still. What is not in the copy can
be taken for absent only after a read that began after the question came up.
"""

import asyncio

from result import Err

from caperridge.gateway.background import log_failure
from caperridge.gateway.rows import HistoryGone, StoredRow
from caperridge.gateway.watcher import TableWatcher
from caperridge.log import logger

log = logger(__name__)

# The store answers within some milliseconds. A caller that waits for longer is better
# off at another instance.
READ_TIMEOUT_S = 0.25


class PendingRead:
    """A read that has not begun, for all that have asked since the last one began.

    Attributes:
        since: the changes after this version are needed.
        changes: those changes; None if they can't be told.
    """

    __slots__ = ("changes", "since")

    def __init__(self, since: int) -> None:
        self.since = since
        self.changes: asyncio.Future[list[StoredRow] | None] = (
            asyncio.get_running_loop().create_future()
        )


class FreshReads:
    """Reads one table on demand; questions that wait at the same time share a read.

    Args:
        watcher: of the table, whose copy is brought up to date.
    """

    def __init__(self, watcher: TableWatcher) -> None:
        self._watcher = watcher
        self._pending: PendingRead | None = None
        self._reading: asyncio.Task[None] | None = None

    @property
    def read_version(self) -> int:
        """The version up to which the copy holds all changes."""
        return self._watcher.copy.read_version

    @property
    def changed_version(self) -> int:
        """The version of the newest change in the copy."""
        return self._watcher.copy.version

    async def changes_since(self, version: int) -> list[StoredRow] | None:
        """Bring the copy up to date; return what changed after ``version``.

        Returns:
            The changes up to a moment after this call began; None if they can't be
            told: the store did not answer in time, or has no history so far back.
        """
        if not self._watcher.copy.loaded:
            return None
        if self._pending is None:
            self._pending = PendingRead(version)
        pending = self._pending
        pending.since = min(pending.since, version)
        if self._reading is None:
            self._reading = asyncio.get_running_loop().create_task(self._read())
            self._reading.add_done_callback(log_failure)
        changes = await asyncio.shield(pending.changes)
        if changes is None:
            return None
        return [row for row in changes if row.version > version]

    async def _read(self) -> None:
        """Read until nobody waits for a read that has not begun."""
        try:
            while (pending := self._pending) is not None:
                self._pending = None
                changes = None
                try:
                    changes = await self._read_once(pending.since)
                except Exception:
                    # Others may wait for the next read.
                    log.exception("read failed", table=self._table)
                pending.changes.set_result(changes)
        finally:
            self._reading = None

    async def _read_once(self, since: int) -> list[StoredRow] | None:
        since = min(since, self.read_version)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                answer = await self._watcher.read_changes(since)
        except TimeoutError:
            log.info("store did not answer a read in time", table=self._table)
            return None
        if isinstance(answer, Err):
            error = answer.err_value
            reason = "history gone" if isinstance(error, HistoryGone) else error.reason
            log.info("store did not serve a read", table=self._table, reason=reason)
            return None
        return answer.ok_value.rows

    @property
    def _table(self) -> str:
        return self._watcher.copy.table
