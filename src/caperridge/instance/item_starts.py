"""Says durably that items are started, and sorts out those that may not be."""

from result import Err

from caperridge.commands.started_items import (
    HeldChunk,
    StartedRow,
    record_started_items,
)
from caperridge.instance.item_work import PlainItemWork
from caperridge.queries.started_items import read_started_indexes
from caperridge.store.interface import Conflict, Platform, WriteError

MOST_CHUNKS = 64


class StartOutcome:
    """What became of items that were to be started.

    Attributes:
        started: they may be sent, once.
        started_before: by an earlier holder; they must not be sent.
        not_ours: their chunk has another holder, or their job has ended.
        left: the platform did not say; to be tried again.
    """

    __slots__ = ("left", "not_ours", "started", "started_before")

    def __init__(self) -> None:
        self.started: list[PlainItemWork] = []
        self.started_before: list[PlainItemWork] = []
        self.not_ours: list[PlainItemWork] = []
        self.left: list[PlainItemWork] = []


class ItemStarts:
    """Starts items of the chunks that this instance holds.

    Args:
        platform: where the rows are kept.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._before_by_chunk: dict[HeldChunk, set[int]] = {}

    async def start(self, works: list[PlainItemWork]) -> StartOutcome:
        """Make it durable that ``works`` are started, all of them with one write."""
        outcome = StartOutcome()
        fresh_by_chunk: dict[HeldChunk, list[PlainItemWork]] = {}
        for work in works:
            before = await self._started_before(work.chunk)
            if before is None:
                outcome.left.append(work)
            elif work.index in before:
                outcome.started_before.append(work)
            else:
                fresh_by_chunk.setdefault(work.chunk, []).append(work)
        rows_by_chunk: dict[HeldChunk, StartedRow] = {}
        for chunk, fresh in fresh_by_chunk.items():
            indexes = sorted(work.index for work in fresh)
            rows_by_chunk[chunk] = StartedRow(chunk, indexes)
        if not rows_by_chunk:
            return outcome
        written = await record_started_items(
            self._platform, list(rows_by_chunk.values())
        )
        for chunk, fresh in fresh_by_chunk.items():
            if isinstance(written, Err):
                ours = _still_ours(chunk, written.err_value)
                (outcome.left if ours else outcome.not_ours).extend(fresh)
                continue
            for work in fresh:
                work.row = rows_by_chunk[chunk]
            outcome.started.extend(fresh)
        return outcome

    async def _started_before(self, chunk: HeldChunk) -> set[int] | None:
        """Return what earlier holders started; None if the platform does not say."""
        if chunk.attempts == 1:
            return set()  # Nobody else ever held it.
        if chunk in self._before_by_chunk:
            return self._before_by_chunk[chunk]
        found = await read_started_indexes(self._platform, chunk.job, chunk.lane)
        if isinstance(found, Err):
            return None
        while len(self._before_by_chunk) >= MOST_CHUNKS:
            del self._before_by_chunk[next(iter(self._before_by_chunk))]
        self._before_by_chunk[chunk] = found.ok_value
        return found.ok_value


def _still_ours(chunk: HeldChunk, error: WriteError) -> bool:
    if not isinstance(error, Conflict):
        return True
    failed = set(error.failed_keys)
    return failed.isdisjoint(condition.key for condition in chunk.conditions())
