"""Which chunks of a job to claim, take over or split: pure planning.

Planners on several instances may choose the same chunk; the row's condition lets one
of them have it. They rarely do: each goes through lanes and chunks in an order that
is drawn from its own name.
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
    """Claim a chunk whose holder is gone, or that a split left free."""

    __slots__ = ("chunk", "holder_died", "row")

    def __init__(self, chunk: Chunk, row: ChunkRow, holder_died: bool) -> None:
        self.chunk = chunk
        self.row = row
        self.holder_died = holder_died


class Split(Record):
    """Cut a chunk whose holders died into free parts."""

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
        """Return the unclaimed rest of each lane."""
        found: list[Chunk] = []
        for lane in range(0, self.job.items, self.job.lane_items):
            lane_end = min(self.job.items, lane + self.job.lane_items)
            start = lane
            while start < lane_end and start in self.rows_by_start:
                start = self.rows_by_start[start].state.end
            if start < lane_end:
                found.append(Chunk(self.job.id, start, lane_end))
        return found

    def done_items(self) -> int:
        """Return how many items are committed."""
        return sum(
            seen.state.end - start
            for start, seen in self.rows_by_start.items()
            if seen.state.state == DONE
        )

    def complete(self) -> bool:
        """Return whether every item is committed."""
        return self.done_items() == self.job.items

    def counts(self) -> tuple[int, int]:
        """Return the completed and the failed items of committed chunks."""
        completed = failed = 0
        for seen in self.rows_by_start.values():
            completed += seen.state.completed
            failed += seen.state.failed
        return completed, failed

    def holders(self) -> set[str]:
        """Return the sessions that hold a chunk."""
        return {
            seen.state.session
            for seen in self.rows_by_start.values()
            if seen.state.state == CLAIMED
        }


def count_deaths(seen: ChunkRow, died: bool) -> int:
    """Return the deaths of a chunk, that of its present holder included."""
    return seen.state.deaths + (1 if died else 0)


def must_fail(chunk: Chunk, deaths: int) -> bool:
    """Return whether a lone item has lost enough holders to be failed."""
    return chunk.items == 1 and deaths >= FATAL_DEATHS_THRESHOLD


def plan_claims(
    view: JobView,
    own: str,
    wanted: int,
    size: int,
    abandoned: Callable[[ChunkRow, int], bool | None],
) -> list[Action]:
    """Return what to do about ``view``, at most :data:`MAX_ACTIONS` together.

    Args:
        view: the job's rows.
        own: name that the order is drawn from.
        wanted: items that there is room for.
        size: items of a new chunk.
        abandoned: for a claimed chunk and its start: None if its holder lives, else
            whether the holder died (rather than let go of it).
    """
    actions: list[Action] = []
    for start, seen in _ordered(list(view.rows_by_start.items()), own):
        if wanted <= 0 or len(actions) >= MAX_ACTIONS:
            return actions
        if seen.state.state == DONE:
            continue
        died: bool | None = False
        if seen.state.state != FREE:
            died = abandoned(seen, start)
        if died is None:
            continue
        chunk = Chunk(view.job.id, start, seen.state.end)
        if count_deaths(seen, died) >= SPLIT_DEATHS_THRESHOLD and chunk.items > 1:
            actions.append(Split(chunk, seen, split_chunk(chunk, MAX_SPLIT_PARTS)))
            return actions
        actions.append(TakeOver(chunk, seen, died))
        wanted -= chunk.items
    gaps = [(gap.start, gap) for gap in view.unclaimed_ranges()]
    for start, gap in _ordered(gaps, own):
        if wanted <= 0 or len(actions) >= MAX_ACTIONS:
            break
        chunk = Chunk(view.job.id, start, min(gap.end, start + size))
        actions.append(ClaimNew(chunk))
        wanted -= chunk.items
    return actions


def _ordered(pairs: list[tuple[int, object]], own: str) -> list[tuple[int, object]]:
    return sorted(pairs, key=lambda pair: stable_hash(own, str(pair[0])))


def stable_hash(own: str, key: str) -> int:
    """Return a number that differs from name to name and is always the same."""
    return xxhash.xxh3_64_intdigest(f"{own}\x00{key}".encode())
