"""Cancelling a job: a change of its row that every later commit is refused by."""

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
    """Cancel an open job; one that is cancelled already stays so.

    A job that has completed is a conflict.

    Args:
        platform: where it is kept.
        job_id: which job.
        now: seconds since the epoch, kept as its end.
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
