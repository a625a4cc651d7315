"""Change feed of jobs: announces changes to all instances through one small row.

The row holds the newest changes, so that an instance finds out about a change with one
read instead of a scan of the jobs. The feed is best effort: a change that could not be
announced is found by the next scan of the open jobs.
"""

import secrets
from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.store.interface import (
    Condition,
    Conflict,
    Platform,
    PutRow,
    ReadError,
    RowAbsent,
    RowVersion,
)

MAX_CHANGES = 64
MAX_ATTEMPTS = 4


async def announce_job(
    platform: Platform, job_id: str, state: str
) -> Result[None, ReadError]:
    """Append a change to the row; conflicts with other announcements are retried.

    Args:
        platform: where the row is stored.
        job_id: id of the job or of the lapsed session.
        state: the new state of the job, or ``lapsed``.
    """
    key = keys.JOB_CHANGES
    for _ in range(MAX_ATTEMPTS):
        found = await platform.read([key])
        if isinstance(found, Err):
            return found
        row = found.ok_value.get(key)
        condition: Condition = RowAbsent(key)
        changes: list[Any] = []
        number = 1
        if row is not None:
            condition = RowVersion(key, row.version)
            changes = row.value["changes"]
            number = row.value["number"] + 1
        value = {
            "number": number,
            "changes": [*changes[1 - MAX_CHANGES :], [job_id, state]],
        }
        outcome = await platform.transact(
            [condition], [PutRow(key, value)], secrets.token_hex(8)
        )
        if isinstance(outcome, Ok):
            break
        if not isinstance(outcome.err_value, Conflict):
            return outcome
    return Ok(None)
