"""Read of the items of a job that were started."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.queries.rows import scan_all
from caperridge.store.interface import Platform, ReadError


async def read_started_indexes(
    platform: Platform, job: str, lane: int
) -> Result[set[int], ReadError]:
    """Return the items of a lane that any holder may have sent.

    Complete only for chunks that the caller holds: only its claim prevents earlier
    holders from starting more items.

    Args:
        platform: where the rows are stored.
        job: id of the job.
        lane: first item of the lane; all of it is read, because a chunk that was split
            has rows from before the split.
    """
    rows = await scan_all(platform, keys.started_lane(job, lane))
    if isinstance(rows, Err):
        return rows
    indexes: set[int] = set()
    for row in rows.ok_value:
        indexes.update(row.value["indexes"])
    return Ok(indexes)
