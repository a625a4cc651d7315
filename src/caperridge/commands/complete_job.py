"""Ending a job whose chunks are all done."""

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
    """Mark the job completed; whoever sees its last chunk done may do it.

    Args:
        platform: where it is kept.
        job_id: which job.
        now: seconds since the epoch, kept as its end.
        completed: its items with an answer.
        failed: its items that failed for good.
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
