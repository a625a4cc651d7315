"""Garbage collection of jobs, files and sessions past their retention.

A sweep may stop after any step. The row of a job is deleted last: as long as it exists,
the next sweep finds what remains.
"""

import secrets

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.accept_file import DELETING
from caperridge.store.interface import (
    DeleteRow,
    FieldEquals,
    Platform,
    RowVersion,
    SetFields,
    WriteError,
)

MAX_ROWS = 50


async def sweep_objects(
    platform: Platform, prefix: str, retained: set[str], limit: int
) -> Result[int, WriteError]:
    """Delete up to ``limit`` objects with ``prefix`` except those in ``retained``."""
    listed = await platform.list_objects(prefix)
    if isinstance(listed, Err):
        return listed
    deleted = 0
    for name in listed.ok_value:
        if name in retained:
            continue
        if deleted >= limit:
            break
        outcome = await platform.delete_object(name)
        if isinstance(outcome, Err):
            return outcome
        deleted += 1
    return Ok(deleted)


async def sweep_rows(platform: Platform, prefix: str) -> Result[int, WriteError]:
    """Delete up to :data:`MAX_ROWS` rows with ``prefix``; return how many."""
    rows = await platform.scan(prefix, "", MAX_ROWS)
    if isinstance(rows, Err):
        return rows
    if not rows.ok_value:
        return Ok(0)
    # If the answer of a delete is lost, the next sweep finds the rows gone.
    outcome = await platform.transact(
        [], [DeleteRow(row.key) for row in rows.ok_value], secrets.token_hex(8)
    )
    return outcome.map(lambda _: len(rows.ok_value))


async def sweep_job(
    platform: Platform, job_id: str, file_id: str, limit: int
) -> Result[int, WriteError]:
    """Delete a part of a job past its retention; return 0 once all of it is deleted."""
    outcome = await sweep_objects(platform, keys.results(job_id), set(), limit)
    if isinstance(outcome, Err) or outcome.ok_value:
        return outcome
    for prefix in (keys.chunks(job_id), keys.started_items(job_id)):
        outcome = await sweep_rows(platform, prefix)
        if isinstance(outcome, Err) or outcome.ok_value:
            return outcome
    rows = [keys.job_of_file(file_id, job_id), keys.job(job_id)]
    removed = await platform.transact(
        [], [DeleteRow(key) for key in rows], secrets.token_hex(8)
    )
    return removed.map(lambda _: 0)


async def mark_file_deleting(
    platform: Platform, file_id: str, seen_version: int
) -> Result[bool, WriteError]:
    """Mark a file as being deleted; return False if a job refers to it.

    Refused if its row changed since ``seen_version``, because a job was accepted or
    the upload was completed.
    """
    jobs = await platform.scan(keys.jobs_of_file(file_id), "", 1)
    if isinstance(jobs, Err):
        return jobs
    if jobs.ok_value:
        return Ok(False)
    key = keys.file(file_id)
    marked = await platform.transact(
        [RowVersion(key, seen_version)],
        [SetFields(key, {"state": DELETING})],
        secrets.token_hex(8),
    )
    return marked.map(lambda _: True)


async def sweep_file(
    platform: Platform, file_id: str, limit: int
) -> Result[int, WriteError]:
    """Delete parts of a file in state deleting, its row last; return how many."""
    outcome = await sweep_objects(platform, keys.file(file_id) + "/", set(), limit)
    if isinstance(outcome, Err) or outcome.ok_value >= limit:
        return outcome
    removed = await platform.transact(
        [FieldEquals(keys.file(file_id), "state", DELETING)],
        [DeleteRow(keys.file(file_id))],
        secrets.token_hex(8),
    )
    return removed.map(lambda _: outcome.ok_value)


async def sweep_session(platform: Platform, session_id: str) -> Result[int, WriteError]:
    """Delete a session that ended long ago, its checkpoints first."""
    outcome = await sweep_objects(
        platform, keys.checkpoints(session_id), set(), MAX_ROWS
    )
    if isinstance(outcome, Err):
        return outcome
    removed = await platform.transact(
        [], [DeleteRow(keys.session(session_id))], secrets.token_hex(8)
    )
    return removed.map(lambda _: 1)
