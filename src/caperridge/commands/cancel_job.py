"""Cancellation of a job: its row changes, so that later commits are refused."""

import secrets

from result import Err, Ok, Result

from caperridge import keys
from caperridge.decisions.jobs import CANCELLED, OPEN
from caperridge.store.interface import (
    Committed,
    Conflict,
    DeleteRow,
    FieldEquals,
    Platform,
    SetFields,
    WriteError,
)
from caperridge.store.settle import transact_settled


async def cancel_job(
    platform: Platform, job_id: str, now: float
) -> Result[Committed, WriteError]:
    """Cancel an open job; for a cancelled job this has no effect.

    A completed job is a conflict.

    Args:
        platform: where it is stored.
        job_id: id of the job.
        now: seconds since the epoch, stored as its end.
    """
    key = keys.job(job_id)
    outcome = await transact_settled(
        platform,
        [FieldEquals(key, "state", OPEN)],
        [
            SetFields(key, {"state": CANCELLED, "ended": now}),
            DeleteRow(keys.open_job(job_id)),
        ],
        secrets.token_hex(8),
    )
    if isinstance(outcome, Err) and isinstance(outcome.err_value, Conflict):
        row = outcome.err_value.rows_by_key.get(key)
        if row is not None and row.value["state"] == CANCELLED:
            return Ok(Committed({key: row.version}))
    return outcome
