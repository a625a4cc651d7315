"""Completion of a job whose chunks are all done."""

import secrets

from result import Result

from caperridge import keys
from caperridge.decisions.jobs import COMPLETED, OPEN
from caperridge.store.interface import (
    Committed,
    DeleteRow,
    FieldEquals,
    Platform,
    SetFields,
    WriteError,
)
from caperridge.store.settle import transact_settled


async def complete_job(
    platform: Platform, job_id: str, now: float, completed: int, failed: int
) -> Result[Committed, WriteError]:
    """Mark the job completed; any instance that finds its last chunk done may do so.

    Args:
        platform: where it is stored.
        job_id: id of the job.
        now: seconds since the epoch, stored as its end.
        completed: number of its items with an answer.
        failed: number of its items that failed for good.
    """
    key = keys.job(job_id)
    fields = {
        "state": COMPLETED,
        "ended": now,
        "completed": completed,
        "failed": failed,
    }
    return await transact_settled(
        platform,
        [FieldEquals(key, "state", OPEN)],
        [SetFields(key, fields), DeleteRow(keys.open_job(job_id))],
        secrets.token_hex(8),
    )
