"""Durable quarantine: suspect requests in the store, and claims of their trials.

Rows outlive all instances and change only by compare-and-set on their version, so each
trial of a request is claimed by one instance and none is lost.
"""

import asyncio

from result import Err

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import Crash, Hold, Suspect
from caperridge.elapsed import elapsed_s
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.jobs.codec import UnreadableError, from_bytes, to_bytes
from caperridge.gateway.rows import (
    ABSENT,
    Refused,
    Rejected,
    RowKey,
    RowStore,
    StoredRow,
    Transaction,
    TransactionError,
)
from caperridge.gateway.table_copy import TableCopy
from caperridge.gateway.trial_claims import TrialClaims
from caperridge.gateway.watcher import StoreReachability
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

TABLE = "held-requests"
# Crashes from which a request is stored: one more quarantines it, and all instances may
# be lost before that one.
MIN_STORED_CRASHES = 2
# While the store is unreachable.
RETRY_DELAY_S = 1.0
# Between two writes; a crash changes a few rows, and they are not urgent.
WRITE_INTERVAL_S = 0.02


class HeldRow(Record):
    """Row of a suspect request; times are of the store's clock, in seconds.

    Attributes:
        ends: crashes: target, caller, age of the run in seconds, its events, when, and
            who reported each.
        callers: for whom it is held; empty for all.
        since: when it was put in quarantine; 0 if it is not.
        trials: how often it was tried again, a trial given back counting twice.
        trial_at: when it may be tried again.
        given_back: how many trials were given back.
    """

    __slots__ = ("callers", "ends", "given_back", "since", "trial_at", "trials")

    def __init__(
        self,
        ends: list[list],
        callers: list[str],
        since: float,
        trials: int,
        trial_at: float,
        given_back: int = 0,
    ) -> None:
        self.ends = ends
        self.callers = callers
        self.since = since
        self.trials = trials
        self.trial_at = trial_at
        self.given_back = given_back


class QuarantineTable:
    """Stores suspect requests and applies the rows of other instances.

    Args:
        store: that holds the rows.
        clock: of the store.
        reach: whether the store answers here.
        quarantine: updated from rows and written to them.
    """

    def __init__(
        self,
        store: RowStore,
        clock: StoreClock,
        reach: StoreReachability,
        quarantine: Quarantine,
    ) -> None:
        self.copy = TableCopy(TABLE)
        self._store = store
        self._clock = clock
        self._reach = reach
        self._quarantine = quarantine
        # Contents in the order in which they are written.
        self._pending: dict[str, None] = {}
        self._wake = asyncio.Event()
        self._claims = TrialClaims(self._claim_while_due)

    def schedule_write(self, content: str) -> None:
        """Write, or remove, the row of a content soon."""
        self._pending[content] = None
        self._wake.set()

    def schedule_missing_write(self, content: str) -> None:
        """Write the row of a content soon if no quarantine of it is stored yet."""
        row = self.copy.rows_by_key.get(_key(content))
        if row is None or not self._is_held(row):
            self.schedule_write(content)

    def _is_held(self, row: StoredRow) -> bool:
        try:
            return bool(from_bytes(HeldRow, row.value).since)
        except (UnreadableError, ValueError, TypeError):
            return False

    async def run(self) -> None:
        """Write changed rows until cancelled."""
        while True:
            if not self._pending or not self._clock.known:
                self._wake.clear()
                await self._wait()
                continue
            content = next(iter(self._pending))
            del self._pending[content]
            done = False
            try:
                done = await self._write(content)
            finally:
                if not done:
                    self._pending.setdefault(content)
            await asyncio.sleep(WRITE_INTERVAL_S if done else RETRY_DELAY_S)

    async def _wait(self) -> None:
        """Wait for a change, or a while for the store's clock."""
        if not self._pending:
            await self._wake.wait()
            return
        await asyncio.sleep(RETRY_DELAY_S)

    async def _write(self, content: str) -> bool:
        """Write the row of a content; False if it has to be repeated."""
        key = _key(content)
        row = self.copy.rows_by_key.get(key)
        version = row.version if row is not None else ABSENT
        suspect = self._quarantine.by_content.get(content)
        if suspect is not None and is_stored(suspect, elapsed_s()):
            if row is not None and self._is_current(row, suspect):
                return True
            value = self._encode(suspect)
            transaction = Transaction({key: version}, {key: value})
        elif row is None:
            return True
        else:
            transaction = Transaction({key: version}, {}, [key])
        error = await self._apply_transaction(transaction, key)
        if isinstance(error, Rejected):
            log.error("hold not stored", content=content, reason=error.reason)
            return True
        return error is None

    def _is_current(self, row: StoredRow, suspect: Suspect) -> bool:
        """Whether a row has the crashes and the hold of a suspect.

        Instances that write the same row at once would else do so one after the other,
        as their times differ by some milliseconds.
        """
        try:
            crashes, hold = self._decode(from_bytes(HeldRow, row.value))
        except (UnreadableError, ValueError, TypeError):
            return False
        stored = {crash.target for crash in crashes}
        if stored != {crash.target for crash in suspect.crashes}:
            return False
        if hold is None or suspect.hold is None:
            return hold is suspect.hold
        return (hold.trials, hold.callers) == (
            suspect.hold.trials,
            suspect.hold.callers,
        )

    async def claim_trial(self, suspect: Suspect) -> bool:
        """Claim the next trial of a request; only one instance gets each."""
        if not self._clock.known or not self._reach.reached:
            return False
        return await self._claims.use(suspect)

    def has_open_claim(self, suspect: Suspect) -> bool:
        """Whether a trial claimed here is still to be granted or used."""
        return self._claims.is_open(suspect)

    async def _claim_while_due(self, suspect: Suspect) -> Hold | None:
        """Claim a trial, again after each conflict with a write that claimed none.

        All instances write the row when they put the request in quarantine, so the
        copy here may be older than the row for a moment.

        Returns:
            The hold that applies once it is granted; None if it is not.
        """
        key = _key(suspect.content)
        while True:
            hold = suspect.hold
            now = elapsed_s()
            if hold is None or not hold.is_due(now):
                return None
            claimed = hold.after_trial(now)
            value = self._encode(suspect, claimed)
            row = self.copy.rows_by_key.get(key)
            version = row.version if row is not None else ABSENT
            transaction = Transaction({key: version}, {key: value})
            if await self._apply_transaction(transaction, key) is None:
                if suspect.hold is None:
                    return None  # cleared meanwhile
                suspect.hold = claimed
                return claimed
            current = self.copy.rows_by_key.get(key)
            if current is None or current.version == version:
                return None

    async def _apply_transaction(
        self, transaction: Transaction, key: RowKey
    ) -> TransactionError | None:
        """Write the row ``key``; return None if that is done, else the error."""
        answer = await self._store.transact(transaction)
        if not isinstance(answer, Err):
            value = transaction.writes.get(key)
            row = StoredRow(key, value or b"", answer.ok_value.version, value is None)
            self.copy.apply_row(row)
            return None
        if isinstance(answer.err_value, Refused):
            current = answer.err_value.row(key)
            # A row that is absent was removed; the copy may not know yet.
            if current is None:
                self.copy.rows_by_key.pop(key, None)
            elif self.copy.apply_row(current):
                self.apply_rows([current], "store")
        return answer.err_value

    def apply_rows(self, rows: list[StoredRow], source: str) -> list[str]:
        """Apply changed rows; return the contents whose holds changed."""
        changed: list[str] = []
        for row in rows:
            content = row.key.key
            if row.removed:
                if self._quarantine.clear(content, elapsed_s()):
                    changed.append(content)
                    log.info("hold removed", content=content, source=source)
                continue
            try:
                stored = from_bytes(HeldRow, row.value)
                crashes, hold = self._decode(stored)
            except (UnreadableError, ValueError, TypeError) as error:
                log.error("invalid held row", content=content, reason=str(error))
                continue
            if self._quarantine.merge(content, crashes, hold):
                changed.append(content)
                log.info(
                    "hold applied",
                    content=content,
                    ends=len(crashes),
                    held=hold is not None,
                    trials=stored.trials,
                    source=source,
                    version=row.version,
                )
        return changed

    def remove_expired(self) -> None:
        """Schedule the removal of rows whose requests are no longer suspect."""
        self._claims.discard_done()
        for key in self.copy.rows_by_key:
            if key.key not in self._quarantine.by_content:
                self.schedule_write(key.key)

    # Conversion between the store's clock and that of this machine.

    def _encode(self, suspect: Suspect, hold: Hold | None = None) -> bytes:
        ahead_s = self._clock.now() - elapsed_s()
        hold = hold or suspect.hold
        crashes = [
            [e.target, e.caller, e.age_s, e.events, e.at + ahead_s, e.reported_by]
            for e in suspect.crashes
        ]
        if hold is None:
            return to_bytes(HeldRow(crashes, [], 0.0, 0, 0.0))
        return to_bytes(
            HeldRow(
                crashes,
                sorted(hold.callers),
                hold.since + ahead_s,
                hold.trials,
                hold.trial_at + ahead_s,
                hold.given_back,
            )
        )

    def _decode(self, row: HeldRow) -> tuple[list[Crash], Hold | None]:
        """Return a row's crashes and hold, by the clock of this machine.

        Raises:
            ValueError: the row is of an incompatible release.
            TypeError: the same.
        """
        # A peer's row that comes before the store has answered counts as new.
        newest_s = max([row.since, *(at for _, _, _, _, at, _ in row.ends)])
        store_s = self._clock.now() if self._clock.known else newest_s
        ahead_s = store_s - elapsed_s()
        crashes: list[Crash] = []
        for target, caller, age_s, events, at, reported_by in row.ends:
            crash = Crash(
                str(target),
                str(caller),
                float(age_s),
                int(events),
                at - ahead_s,
                str(reported_by),
            )
            crashes.append(crash)
        if not row.since:
            return crashes, None
        return crashes, Hold(
            frozenset(row.callers),
            row.since - ahead_s,
            row.trials,
            row.trial_at - ahead_s,
            row.given_back,
        )


def _key(content: str) -> RowKey:
    return RowKey(TABLE, "", content)


def is_stored(suspect: Suspect, now: float) -> bool:
    """Whether a suspect is kept in the store.

    Parts of prompts are stored only while no good run of them is known, as popular
    ones are running at most crashes.
    """
    if suspect.hold is not None:
        return True
    if suspect.is_part and not suspect.is_near_threshold(now):
        return False
    return len(suspect.crashes) >= MIN_STORED_CRASHES
