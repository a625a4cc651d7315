"""Cancelling a job: a change of its row that every later commit is refused by."""

import secrets

from result import Err, Result

from caperridge import keys
from caperridge.decisions.jobs import CANCELLED, OPEN
from caperridge.platform.interface import (
    Committed,
    FieldEquals,
    Platform,
    SetFields,
    Unknown,
    WriteError,
)


async def cancel_job(
    platform: Platform, job_id: str, now: float
) -> Result[Committed, WriteError]:
    """Cancel an open job; a job that has ended is a conflict.

    Args:
        platform: where it is kept.
        job_id: which job.
        now: seconds since the epoch, kept as its end.
    """
    conditions = [FieldEquals(keys.job(job_id), "state", OPEN)]
    writes = [SetFields(keys.job(job_id), {"state": CANCELLED, "ended": now})]
    token = secrets.token_hex(8)
    outcome = await platform.transact(conditions, writes, token)
    if isinstance(outcome, Err) and isinstance(outcome.err_value, Unknown):
        # Asking again is harmless: a second cancel finds the job cancelled.
        outcome = await platform.transact(conditions, writes, token)
    return outcome
