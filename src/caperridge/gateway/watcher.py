"""Replication of a table: a local copy updated by long polls and from peers."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

from result import Err, Result

from caperridge.gateway.rows import (
    ChangesError,
    HistoryGone,
    RowsRead,
    RowStore,
    StoredRow,
    read_all_rows,
)
from caperridge.gateway.table_copy import TableCopy
from caperridge.log import logger

log = logger(__name__)

# Longest time the store may delay an answer. A longer one saves calls, but a dead
# connection is only noticed after it.
LONG_POLL_S = 2.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.6
# Time the store has to return a version that a peer already has, before it is requested
# from the peer.
PEER_COPY_DELAY_S = 0.04
# Interval of polls of a table that other instances read. With four tables an instance
# finds out every 3 s whether it reaches the store.
NON_READER_POLL_INTERVAL_S = 12.0
# Share of that interval by which polls are spread.
POLL_JITTER_RATIO = 0.5

# When the store returns, instances notice within a retry of each other.
MAX_RECOVERY_SPREAD_S = MAX_RETRY_DELAY_S + 0.1

Changed = Callable[[list[StoredRow], str], None]
Publish = Callable[[list[StoredRow], int, int], None]


class StoreReachability:
    """Whether the store answers this instance, from the results of its polls.

    Attributes:
        reached: whether it does.
        reached_since: since when, on the event loop's clock; infinity while it doesn't.
        unreachable_since: when its first answer stayed out; None while it answers.
    """

    def __init__(self) -> None:
        self.reached = False
        self.reached_since = math.inf
        self.unreachable_since: float | None = None
        self._served_others_at: float | None = None
        self._recovered_callbacks: list[Callable[[float], None]] = []
        self._recheck_callbacks: list[Callable[[], None]] = []

    def on_recovered(self, call: Callable[[float], None]) -> None:
        """Call ``call`` with the time when the store answers again after an outage.

        It is not called if only the way to the store was lost here.
        """
        self._recovered_callbacks.append(call)

    def on_recheck(self, call: Callable[[], None]) -> None:
        """Call ``call`` when the store should be polled again."""
        self._recheck_callbacks.append(call)

    def recheck(self) -> None:
        """Have the watchers poll the store now."""
        for call in self._recheck_callbacks:
            call()

    def record_change_from_peer(self) -> None:
        """Record that a peer has read changes that this instance lacked."""
        if self.unreachable_since is not None and self._served_others_at is None:
            self._served_others_at = asyncio.get_running_loop().time()

    def record_success(self) -> None:
        """Record that the store answered."""
        if self.reached:
            return
        now = asyncio.get_running_loop().time()
        away_s = (
            round(now - self.unreachable_since, 2) if self.unreachable_since else 0.0
        )
        self.reached = True
        self.reached_since = now
        served_others_at = self._served_others_at
        served_others = (
            served_others_at is not None
            and now - served_others_at > MAX_RECOVERY_SPREAD_S
        )
        log.info("store reachable", away_s=away_s, served_others=served_others)
        if self.unreachable_since is not None and not served_others:
            for call in self._recovered_callbacks:
                call(now)
        self.unreachable_since = None

    def record_failure(self, reason: str) -> None:
        """Record that the store did not answer."""
        if self.unreachable_since is None:
            self.unreachable_since = asyncio.get_running_loop().time()
            self._served_others_at = None
        was_reached = self.reached
        self.reached = False
        self.reached_since = math.inf
        if was_reached:
            log.warning("store unreachable", reason=reason)
            self.recheck()


class TableWatcher:
    """Keeps one table's copy up to date in one task.

    Attributes:
        publish: called with all rows that changed after one version up to another.
        confirmed_at: the copy held all that the store had then, on the event loop's
            clock: when the newest call that was answered began.
        complete_since: every version of every row has been seen since then, on the
            event loop's clock.

    Args:
        store: called directly.
        copy: kept up to date.
        reach: gets the outcome of each call.
        changed: called with rows that changed and their source.
        min_interval_s: between two polls, to collect changes that are not urgent.
        reads: whether this instance polls a table continuously.
        chance: spreads polls of tables that others read.
    """

    def __init__(
        self,
        store: RowStore,
        copy: TableCopy,
        reach: StoreReachability,
        changed: Changed,
        min_interval_s: float = 0.0,
        reads: Callable[[str], bool] = lambda table: True,
        chance: random.Random | None = None,
    ) -> None:
        self.copy = copy
        self.min_interval_s = min_interval_s
        self.publish: Publish = lambda rows, since, version: None
        self.confirmed_at = -math.inf
        self.complete_since = math.inf
        self._is_reader = reads
        self._chance = chance or random.Random()
        self._wake = asyncio.Event()
        reach.on_recheck(self.poll_now)
        self._store = store
        self._reach = reach
        self._changed = changed

    async def run(self) -> None:
        """Poll until cancelled."""
        pause_s = MIN_RETRY_DELAY_S
        read_all = True
        failed = False
        while True:
            # After a failure, ask for an answer at once instead of at the next change.
            wait_s = 0.0 if failed or not self.is_reader else LONG_POLL_S
            answer = await (self._read_all() if read_all else self._poll(wait_s))
            if isinstance(answer, Err):
                error = answer.err_value
                if isinstance(error, HistoryGone):
                    log.info("change history expired", table=self.copy.table)
                    read_all = True
                    continue
                failed = True
                self._reach.record_failure(error.reason)
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)
                continue
            pause_s = MIN_RETRY_DELAY_S
            read_all = failed = False
            if self.min_interval_s:
                await asyncio.sleep(self.min_interval_s)
            await self._wait_for_poll()

    @property
    def is_reader(self) -> bool:
        """Whether this instance polls the table continuously."""
        return self._is_reader(self.copy.table)

    def poll_now(self) -> None:
        """Poll the table now if others read it."""
        self._wake.set()

    def readers_changed(self) -> None:
        """Poll the table now if this instance has become its reader."""
        if self.is_reader:
            self._wake.set()

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll of a table that others read."""
        if self.is_reader:
            return
        pause_s = NON_READER_POLL_INTERVAL_S * (
            1 - POLL_JITTER_RATIO * self._chance.random()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        self._wake.clear()

    def apply_changes_from_peer(
        self, rows: list[StoredRow], since: int, version: int, peer: str
    ) -> None:
        """Apply changes that a peer read; poll now if earlier ones are missing."""
        if not self.copy.loaded:
            return  # the first snapshot will include them
        if since > self.copy.read_version:
            self.poll_now()
        changed_rows = self.copy.apply_changes(rows, since, version)
        if changed_rows:
            self._reach.record_change_from_peer()
            self._changed(changed_rows, peer)

    def apply_snapshot_from_peer(
        self, rows: list[StoredRow], version: int, peer: str
    ) -> None:
        """Apply a peer's whole copy."""
        known = self.copy.loaded
        changed_rows = self.copy.apply_snapshot(rows, version)
        if changed_rows:
            if known:
                self._reach.record_change_from_peer()
            self._changed(changed_rows, peer)

    async def _read_all(self) -> Err | None:
        began_at = asyncio.get_running_loop().time()
        answer = await read_all_rows(self._store, self.copy.table)
        if isinstance(answer, Err):
            return answer
        page: RowsRead = answer.ok_value
        self._reach.record_success()
        self.confirmed_at = max(self.confirmed_at, began_at)
        self.note_gap()
        known = self.copy.loaded
        changed_rows = self.copy.apply_snapshot(page.rows, page.version)
        if changed_rows or not known:
            self._changed(changed_rows, "store")
        return None

    async def _poll(self, wait_s: float) -> Err | None:
        answer = await self.read_changes(self.copy.read_version, wait_s)
        return answer if isinstance(answer, Err) else None

    async def read_changes(
        self, since: int, wait_s: float = 0.0
    ) -> Result[RowsRead, ChangesError]:
        """Read all changes after a version from the store, and apply them.

        Args:
            since: the version; at most that up to which the copy was read.
            wait_s: how long the store may wait for a change.
        """
        began_at = asyncio.get_running_loop().time()
        answer = await self._store.changes(self.copy.table, since, wait_s)
        if isinstance(answer, Err):
            return answer
        self._reach.record_success()
        self.confirmed_at = max(self.confirmed_at, began_at)
        page: RowsRead = answer.ok_value
        if self._has_missed_rows(page.rows):
            self.note_gap()
        settled = self.copy.settled_version
        changed_rows = self.copy.apply_changes(page.rows, since, page.version)
        if self.copy.settled_version > settled:
            # All rows read, also those already known here: peers may lack them.
            self.publish(page.rows, settled, self.copy.settled_version)
        if changed_rows:
            self._changed(changed_rows, "store")
        return answer

    def note_gap(self) -> None:
        """Record that rows may have come and gone unseen until now."""
        self.complete_since = asyncio.get_running_loop().time()

    def _has_missed_rows(self, rows: list[StoredRow]) -> bool:
        """Whether a row was removed that the copy never had."""
        return any(
            row.removed
            and row.version > self.copy.read_version
            and row.key not in self.copy.rows_by_key
            for row in rows
        )
