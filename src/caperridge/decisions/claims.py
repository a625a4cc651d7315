"""Work claiming: plans which chunks of a job to claim, take over or split.

Planners on several instances may choose the same chunk; the conditional write of its
row lets only one of them claim it. Collisions are rare, since each instance visits
lanes and chunks in an order that is derived from a hash of its own name.
"""

from collections.abc import Callable

import xxhash

from caperridge.decisions.chunks import Chunk, split_chunk
from caperridge.decisions.jobs import CLAIMED, DONE, FREE, ChunkState, Job
from caperridge.records import Record

SPLIT_DEATHS_THRESHOLD = 2
FATAL_DEATHS_THRESHOLD = 3
MAX_SPLIT_PARTS = 32
MAX_ACTIONS = 16


class ChunkRow(Record):
    """A chunk's row as read, with its version."""

    __slots__ = ("state", "version")

    def __init__(self, state: ChunkState, version: int) -> None:
        self.state = state
        self.version = version


class ClaimNew(Record):
    """Claim a range that has no row yet."""

    __slots__ = ("chunk",)

    def __init__(self, chunk: Chunk) -> None:
        self.chunk = chunk


class TakeOver(Record):
    """Claim a chunk whose holder is gone, or one that a split left free."""

    __slots__ = ("chunk", "holder_died", "row")

    def __init__(self, chunk: Chunk, row: ChunkRow, holder_died: bool) -> None:
        self.chunk = chunk
        self.row = row
        self.holder_died = holder_died


class Split(Record):
    """Split a chunk whose holders died into free parts."""

    __slots__ = ("chunk", "parts", "row")

    def __init__(self, chunk: Chunk, row: ChunkRow, parts: list[Chunk]) -> None:
        self.chunk = chunk
        self.row = row
        self.parts = parts


Action = ClaimNew | TakeOver | Split


class JobView:
    """The chunk rows of one job as this instance last read them."""

    __slots__ = ("job", "rows_by_start")

    def __init__(self, job: Job, rows_by_start: dict[int, ChunkRow]) -> None:
        self.job = job
        self.rows_by_start = rows_by_start

    def unclaimed_ranges(self) -> list[Chunk]:
        """Return the unclaimed remainder of each lane."""
        ranges: list[Chunk] = []
        for lane in range(0, self.job.items, self.job.lane_items):
            lane_end = min(self.job.items, lane + self.job.lane_items)
            start = lane
            while start < lane_end and start in self.rows_by_start:
                start = self.rows_by_start[start].state.end
            if start < lane_end:
                ranges.append(Chunk(self.job.id, start, lane_end))
        return ranges

    def done_items(self) -> int:
        """Return how many items are committed."""
        return sum(
            row.state.end - start
            for start, row in self.rows_by_start.items()
            if row.state.state == DONE
        )

    def complete(self) -> bool:
        """Return whether every item is committed."""
        return self.done_items() == self.job.items

    def counts(self) -> tuple[int, int]:
        """Return the numbers of completed and failed items of committed chunks."""
        completed = failed = 0
        for row in self.rows_by_start.values():
            completed += row.state.completed
            failed += row.state.failed
        return completed, failed

    def holders(self) -> set[str]:
        """Return the sessions that hold a chunk."""
        return {
            row.state.session
            for row in self.rows_by_start.values()
            if row.state.state == CLAIMED
        }


def count_deaths(row: ChunkRow, holder_died: bool) -> int:
    """Return how many holders of a chunk died, including the current one."""
    return row.state.deaths + (1 if holder_died else 0)


def must_fail(chunk: Chunk, deaths: int) -> bool:
    """Return whether a chunk of one item has lost enough holders to be failed."""
    return chunk.items == 1 and deaths >= FATAL_DEATHS_THRESHOLD


def plan_claims(
    view: JobView,
    instance: str,
    capacity: int,
    size: int,
    abandoned: Callable[[ChunkRow, int], bool | None],
) -> list[Action]:
    """Return the actions for ``view``, at most :data:`MAX_ACTIONS`.

    Args:
        view: the job's rows.
        instance: name that the order of chunks is derived from.
        capacity: number of items that there is room for.
        size: items of a new chunk.
        abandoned: for a claimed chunk and its start: None if its holder is alive, else
            whether the holder died (False if it released the chunk).
    """
    actions: list[Action] = []
    for start, row in _shuffled(list(view.rows_by_start.items()), instance):
        if capacity <= 0 or len(actions) >= MAX_ACTIONS:
            return actions
        if row.state.state == DONE:
            continue
        holder_died: bool | None = False
        if row.state.state != FREE:
            holder_died = abandoned(row, start)
        if holder_died is None:
            continue
        chunk = Chunk(view.job.id, start, row.state.end)
        if count_deaths(row, holder_died) >= SPLIT_DEATHS_THRESHOLD and chunk.items > 1:
            actions.append(Split(chunk, row, split_chunk(chunk, MAX_SPLIT_PARTS)))
            return actions
        actions.append(TakeOver(chunk, row, holder_died))
        capacity -= chunk.items
    unclaimed = [(free.start, free) for free in view.unclaimed_ranges()]
    for start, free in _shuffled(unclaimed, instance):
        if capacity <= 0 or len(actions) >= MAX_ACTIONS:
            break
        chunk = Chunk(view.job.id, start, min(free.end, start + size))
        actions.append(ClaimNew(chunk))
        capacity -= chunk.items
    return actions


def _shuffled(
    pairs: list[tuple[int, object]], instance: str
) -> list[tuple[int, object]]:
    return sorted(pairs, key=lambda pair: stable_hash(instance, str(pair[0])))


def stable_hash(name: str, key: str) -> int:
    """Return a 64-bit hash of both texts; the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())
