"""Keeping a copy of a table up to date, by the store and by peers."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from result import Err

from caperridge.gateway.rows import (
    HistoryGone,
    RowsRead,
    RowStore,
    StoredRow,
    read_all_rows,
)
from caperridge.gateway.table_copy import TableCopy
from caperridge.log import logger

log = logger(__name__)

# How long the store may hold the answer to a watch. Longer saves calls; a dead
# connection is noticed only after it.
LONG_POLL_S = 2.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.6
# A version that a peer has is asked for when the store has not told it by then.
PEER_COPY_DELAY_S = 0.04
# How seldom a table is looked at that others read. With four tables an instance finds
# every 3 s whether the store answers it.
NON_READER_POLL_S = 12.0
# Share of that pause by which looks are spread.
POLL_JITTER = 0.5

Changed = Callable[[list[StoredRow], str], None]
Publish = Callable[[list[StoredRow], int, int], None]


class StoreReachability:
    """Whether the store answers this instance, as its watches find."""

    def __init__(self) -> None:
        self.reached = False
        self.unreachable_since: float | None = None
        self._recovered_callbacks: list[Callable[[float], None]] = []
        self._recheck_callbacks: list[Callable[[], None]] = []

    def on_recovered(self, call: Callable[[float], None]) -> None:
        """Have ``call`` called with the time when the store answers again."""
        self._recovered_callbacks.append(call)

    def on_recheck(self, call: Callable[[], None]) -> None:
        """Have ``call`` called when the store should be looked at again."""
        self._recheck_callbacks.append(call)

    def recheck(self) -> None:
        """Have the watches find out whether the store answers."""
        for call in self._recheck_callbacks:
            call()

    def record_success(self) -> None:
        """Note that the store answered."""
        if self.reached:
            return
        now = asyncio.get_running_loop().time()
        away_s = (
            round(now - self.unreachable_since, 2) if self.unreachable_since else 0.0
        )
        self.reached = True
        log.info("store reached", away_s=away_s)
        if self.unreachable_since is not None:
            for call in self._recovered_callbacks:
                call(now)
        self.unreachable_since = None

    def record_failure(self, reason: str) -> None:
        """Note that the store did not answer."""
        if self.unreachable_since is None:
            self.unreachable_since = asyncio.get_running_loop().time()
        was_reached = self.reached
        self.reached = False
        if was_reached:
            log.warning("store lost", reason=reason)
            self.recheck()


class TableWatcher:
    """One task that keeps one table's copy.

    Attributes:
        publish: called with all rows that changed after one version up to another.

    Args:
        store: asked directly.
        copy: kept up to date.
        reach: told how the store does.
        changed: called with rows that were news and who told of them.
        min_interval_s: between two watches, to collect changes that are not urgent.
        reads: whether this instance watches a table all the time.
        chance: spreads looks at tables that others read.
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
        self._is_reader = reads
        self._chance = chance or random.Random()
        self._wake = asyncio.Event()
        reach.on_recheck(self.poll_now)
        self._store = store
        self._reach = reach
        self._changed = changed

    async def run(self) -> None:
        """Watch until cancelled."""
        pause_s = MIN_RETRY_DELAY_S
        whole = True
        failed = False
        while True:
            # The first answer after a failure is not waited for until there is news.
            wait_s = 0.0 if failed or not self.is_reader else LONG_POLL_S
            answer = await (self._read() if whole else self._watch(wait_s))
            if isinstance(answer, Err):
                error = answer.err_value
                if isinstance(error, HistoryGone):
                    log.info("history gone", table=self.copy.table)
                    whole = True
                    continue
                failed = True
                self._reach.record_failure(error.reason)
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)
                continue
            pause_s = MIN_RETRY_DELAY_S
            whole = failed = False
            if self.min_interval_s:
                await asyncio.sleep(self.min_interval_s)
            await self._wait_for_poll()

    @property
    def is_reader(self) -> bool:
        """Whether this instance watches the table all the time."""
        return self._is_reader(self.copy.table)

    def poll_now(self) -> None:
        """Look at the table now if others read it."""
        self._wake.set()

    def readers_changed(self) -> None:
        """Look at the table now if nobody else reads it any more."""
        if self.is_reader:
            self._wake.set()

    async def _wait_for_poll(self) -> None:
        """Wait while others read the table."""
        if self.is_reader:
            return
        pause_s = NON_READER_POLL_S * (1 - POLL_JITTER * self._chance.random())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        self._wake.clear()

    def apply_changes_from_peer(
        self, rows: list[StoredRow], since: int, version: int, peer: str
    ) -> None:
        """Take changes that a peer read; look for what came before them if need be."""
        if not self.copy.loaded:
            return  # what is not known yet is read whole
        if since > self.copy.read_version:
            self.poll_now()
        news = self.copy.apply_changes(rows, since, version)
        if news:
            self._changed(news, peer)

    def apply_snapshot_from_peer(
        self, rows: list[StoredRow], version: int, peer: str
    ) -> None:
        """Take a whole copy that a peer has."""
        news = self.copy.apply_snapshot(rows, version)
        if news:
            self._changed(news, peer)

    async def _read(self) -> Err | None:
        answer = await read_all_rows(self._store, self.copy.table)
        if isinstance(answer, Err):
            return answer
        page: RowsRead = answer.ok_value
        self._reach.record_success()
        known = self.copy.loaded
        news = self.copy.apply_snapshot(page.rows, page.version)
        if news or not known:
            self._changed(news, "store")
        return None

    async def _watch(self, wait_s: float) -> Err | None:
        since = self.copy.read_version
        answer = await self._store.changes(self.copy.table, since, wait_s)
        if isinstance(answer, Err):
            return answer
        self._reach.record_success()
        page: RowsRead = answer.ok_value
        settled = self.copy.settled_version
        news = self.copy.apply_changes(page.rows, since, page.version)
        if self.copy.settled_version > settled:
            # All that was read, also what is no news here: it may be elsewhere.
            self.publish(page.rows, settled, self.copy.settled_version)
        if news:
            self._changed(news, "store")
        return None
