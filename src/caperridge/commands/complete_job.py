"""Ending a job whose chunks are all done."""

import secrets

from result import Result

from caperridge import keys
from caperridge.decisions.jobs import COMPLETED, OPEN
from caperridge.platform.interface import (
    Committed,
    FieldEquals,
    Platform,
    SetFields,
    WriteError,
)
from caperridge.platform.settle import transact_settled


async def complete_job(
    platform: Platform, job_id: str, now: float
) -> Result[Committed, WriteError]:
    """Mark the job completed; whoever sees its last chunk done may do it."""
    key = keys.job(job_id)
    return await transact_settled(
        platform,
        [FieldEquals(key, "state", OPEN)],
        [SetFields(key, {"state": COMPLETED, "ended": now})],
        secrets.token_hex(8),
    )
