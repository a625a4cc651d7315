"""Accepting a job: one row, once, however often it is sent."""

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
    """Not accepted: the idempotency key already names a job with another body."""

    __slots__ = ("job",)

    def __init__(self, job: str) -> None:
        self.job = job


def new_job_id() -> str:
    """Return a job id that no other job has."""
    return "batch_" + secrets.token_hex(12)


async def accept_job(
    platform: Platform, job: Job, idempotency_key: str = ""
) -> Result[Job, WriteError | OtherBody]:
    """Insert ``job``, or return the one that the same request made before.

    Refused if its file is not stored any more. A row keeps the file for the job, and
    the file's own row changes, so that a sweep that has just looked is refused.

    Args:
        platform: where it is kept.
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
        return await _resent(platform, job, key_row)
    return await _settled_late(platform, job, outcome)


async def _settled_late(
    platform: Platform, job: Job, conflict: Result[Any, WriteError]
) -> Result[Job, WriteError | OtherBody]:
    """Tell whether the conflict is with our own first try.

    Its write token may be gone from the rows by now: others may have worked on the
    job already. The id is ours alone, so the row's being there tells.
    """
    found = await platform.read([keys.job(job.id)])
    if isinstance(found, Err):
        return Err(Unknown("the platform's answer was lost and cannot be read back"))
    if keys.job(job.id) in found.ok_value:
        return Ok(job)
    return conflict


async def _resent(
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
