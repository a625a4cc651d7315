"""Work partitioning: ranges of a job's items that are claimed and committed as one.

A job is divided into lanes of fixed size. Within a lane, chunks are claimed from its
start onwards, each as long as its claimer chooses, and a chunk's row is keyed by its
first item. The next chunk of a lane can therefore only start where the last one
ended, and two claimers can never hold overlapping ranges.
"""

from caperridge.records import Record

LANE_ITEMS = 500
CHUNK_DURATION_S = 10.0
MIN_CHUNK_S = 0.5
FIRST_CHUNK_ITEMS_PER_SLOT = 2


class Chunk(Record):
    """The items of a job from ``start`` up to, but not including, ``end``."""

    __slots__ = ("end", "job", "start")

    def __init__(self, job: str, start: int, end: int) -> None:
        self.job = job
        self.start = start
        self.end = end

    @property
    def items(self) -> int:
        """The number of items."""
        return self.end - self.start


def chunk_items(items_per_s: float, slots: int, remaining: int, instances: int) -> int:
    """Return how many items the next chunk should have.

    About :data:`CHUNK_DURATION_S` of work; less towards the end of a job, so that its
    last chunks finish at the same time on all instances.

    Args:
        items_per_s: throughput of the service on this instance; 0 if not known yet.
        slots: items that run concurrently on this instance.
        remaining: unclaimed items of the job.
        instances: number of instances that may share the remaining items.

    >>> chunk_items(items_per_s=20.0, slots=8, remaining=100_000, instances=3)
    200
    >>> chunk_items(items_per_s=20.0, slots=8, remaining=300, instances=3)
    50
    >>> chunk_items(items_per_s=0.0, slots=8, remaining=100_000, instances=3)
    16
    """
    if items_per_s <= 0:
        return max(1, min(LANE_ITEMS, FIRST_CHUNK_ITEMS_PER_SLOT * slots))
    share = remaining // (2 * max(1, instances))
    min_items = int(items_per_s * MIN_CHUNK_S)
    items = min(int(items_per_s * CHUNK_DURATION_S), max(share, min_items))
    return max(1, min(LANE_ITEMS, items))


def split_chunk(chunk: Chunk, max_parts: int) -> list[Chunk]:
    """Split ``chunk`` into at most ``max_parts`` parts of nearly equal size.

    >>> [(c.start, c.end) for c in split_chunk(Chunk("j", 0, 5), 2)]
    [(0, 3), (3, 5)]
    """
    size = -(-chunk.items // max_parts)
    parts: list[Chunk] = []
    for start in range(chunk.start, chunk.end, size):
        parts.append(Chunk(chunk.job, start, min(chunk.end, start + size)))
    return parts
