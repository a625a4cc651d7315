"""Reading which items of a job were started."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.queries.rows import scan_all
from caperridge.store.interface import Platform, ReadError


async def read_started_indexes(
    platform: Platform, job: str, lane: int
) -> Result[set[int], ReadError]:
    """Return the items of a lane that some holder may have sent.

    Complete only for chunks that the reader holds: their claim is what keeps all
    earlier holders from starting more.

    Args:
        platform: where the rows are.
        job: id of the job.
        lane: its first item; a chunk that was split has rows from before.
    """
    rows = await scan_all(platform, keys.started_lane(job, lane))
    if isinstance(rows, Err):
        return rows
    found: set[int] = set()
    for row in rows.ok_value:
        found.update(row.value["indexes"])
    return Ok(found)
