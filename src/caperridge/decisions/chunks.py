"""Chunks: the parts of a job that are claimed and committed as one."""

from caperridge.records import Record

MOST_CHUNK_ITEMS = 500
WANTED_CHUNK_S = 20.0


class Chunk(Record):
    """The items ``start`` up to, not with, ``end`` of a job."""

    __slots__ = ("end", "index", "job", "start")

    def __init__(self, job: str, index: int, start: int, end: int) -> None:
        self.job = job
        self.index = index
        self.start = start
        self.end = end


def chunk_size(item_s: float, at_once: int) -> int:
    """Return how many items make about :data:`WANTED_CHUNK_S` of work.

    Args:
        item_s: seconds that one item takes.
        at_once: items of a chunk that run side by side.

    >>> chunk_size(item_s=2.0, at_once=8)
    80
    """
    wanted = int(WANTED_CHUNK_S * at_once / max(item_s, 0.001))
    return max(1, min(MOST_CHUNK_ITEMS, wanted))


def chunk_count(items: int, size: int) -> int:
    """Return how many chunks of ``size`` cover ``items``."""
    return -(-items // size)


def chunk_at(job: str, index: int, items: int, size: int) -> Chunk:
    """Return chunk ``index`` of a job.

    >>> chunk_at("j", 1, items=15, size=10)
    Chunk(end=15, index=1, job='j', start=10)
    """
    start = index * size
    return Chunk(job, index, start, min(items, start + size))
