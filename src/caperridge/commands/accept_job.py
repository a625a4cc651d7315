"""Acceptance of a job, idempotent by the caller's key."""

import secrets
from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.accept_file import STORED
from caperridge.decisions.jobs import Job
from caperridge.records import Record
from caperridge.store.interface import (
    Condition,
    Conflict,
    FieldEquals,
    Platform,
    PutRow,
    RowAbsent,
    SetFields,
    Unknown,
    Write,
    WriteError,
)
from caperridge.store.settle import transact_settled


class OtherBody(Record):
    """The job was rejected: its idempotency key names a job with another body."""

    __slots__ = ("job",)

    def __init__(self, job: str) -> None:
        self.job = job


def new_job_id() -> str:
    """Return a new, random job id."""
    return "batch_" + secrets.token_hex(12)


async def accept_job(
    platform: Platform, job: Job, idempotency_key: str = ""
) -> Result[Job, WriteError | OtherBody]:
    """Insert ``job``, or return the one that an earlier, equal request inserted.

    Refused if its file is no longer stored. A row protects the file as long as the job
    exists, and the file's own row changes, so that a sweep that has just read it
    conflicts.

    Args:
        platform: where it is stored.
        job: with a new id.
        idempotency_key: the caller's; empty for none.
    """
    file = keys.file(job.file)
    conditions: list[Condition] = [
        RowAbsent(keys.job(job.id)),
        FieldEquals(file, "state", STORED),
    ]
    writes: list[Write] = [
        PutRow(keys.job(job.id), job.to_map()),
        PutRow(keys.open_job(job.id), job.to_map()),
        PutRow(keys.job_of_file(job.file, job.id), {}),
        SetFields(file, {"used": job.created}),
    ]
    key_row = keys.request_key(job.caller, idempotency_key)
    if idempotency_key:
        conditions.append(RowAbsent(key_row))
        writes.append(PutRow(key_row, {"job": job.id, "digest": job.body_digest}))
    outcome = await transact_settled(
        platform, conditions, writes, token=secrets.token_hex(8)
    )
    if isinstance(outcome, Ok):
        return Ok(job)
    if not isinstance(outcome.err_value, Conflict):
        return outcome
    if idempotency_key:
        return await _accepted_earlier(platform, job, key_row)
    return await _resolve_conflict(platform, job, outcome)


async def _resolve_conflict(
    platform: Platform, job: Job, conflict: Result[Any, WriteError]
) -> Result[Job, WriteError | OtherBody]:
    """Find out whether the conflict is with the first attempt of this call.

    Its write token may no longer be in the rows, since other instances may already
    have changed the job. The id is unique to this call, so the existence of the row
    decides.
    """
    found = await platform.read([keys.job(job.id)])
    if isinstance(found, Err):
        return Err(Unknown("the platform's answer was lost and cannot be read back"))
    if keys.job(job.id) in found.ok_value:
        return Ok(job)
    return conflict


async def _accepted_earlier(
    platform: Platform, job: Job, key_row: str
) -> Result[Job, WriteError | OtherBody]:
    found = await platform.read([key_row])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key_row)
    if row is None:
        return Err(Conflict([key_row]))
    if row.value["digest"] != job.body_digest:
        return Err(OtherBody(row.value["job"]))
    first_key = keys.job(row.value["job"])
    found = await platform.read([first_key])
    if isinstance(found, Err):
        return found
    first = found.ok_value.get(first_key)
    if first is None:
        return Err(Conflict([first_key]))
    return Ok(Job.from_map(first.value))
