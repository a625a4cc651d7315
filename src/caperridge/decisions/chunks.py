"""Chunks: ranges of a job's items that are claimed and committed as one.

A job is cut into lanes of fixed size. Within a lane chunks are claimed from its start
onwards, each as long as its claimer wants, and a chunk's row is named by its first
item. The next chunk of a lane can thus only start where the last one ended, and two
claimers can never hold overlapping ranges.
"""

from caperridge.records import Record

LANE_ITEMS = 500
CHUNK_DURATION_S = 10.0
MIN_CHUNK_S = 0.5
FIRST_CHUNK_ITEMS_PER_SLOT = 2


class Chunk(Record):
    """The items ``start`` up to, not with, ``end`` of a job."""

    __slots__ = ("end", "job", "start")

    def __init__(self, job: str, start: int, end: int) -> None:
        self.job = job
        self.start = start
        self.end = end

    @property
    def items(self) -> int:
        """How many items it has."""
        return self.end - self.start


def chunk_items(items_per_s: float, slots: int, remaining: int, instances: int) -> int:
    """Return how many items the next chunk should have.

    About :data:`CHUNK_DURATION_S` of work; less towards the end of a job, so that its
    last chunks end together on all instances.

    Args:
        items_per_s: of the service on this instance; 0 if not known yet.
        slots: items that run side by side here.
        remaining: items of the job that nobody has claimed.
        instances: that may share the rest.

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
    least = int(items_per_s * MIN_CHUNK_S)
    wanted = min(int(items_per_s * CHUNK_DURATION_S), max(share, least))
    return max(1, min(LANE_ITEMS, wanted))


def split_chunk(chunk: Chunk, pieces: int) -> list[Chunk]:
    """Return ``chunk`` in at most ``pieces`` parts of nearly equal size.

    >>> [(c.start, c.end) for c in split_chunk(Chunk("j", 0, 5), 2)]
    [(0, 3), (3, 5)]
    """
    size = -(-chunk.items // pieces)
    parts: list[Chunk] = []
    for start in range(chunk.start, chunk.end, size):
        parts.append(Chunk(chunk.job, start, min(chunk.end, start + size)))
    return parts
