"""Jobs, heads, progress and results as bytes in the store."""

from typing import TypeVar

from caperridge.gateway.jobs.model import JobItem, JobRequest
from caperridge.records import Record, pack, unpack

R = TypeVar("R", bound=Record)


class UnreadableError(Exception):
    """A row or object of the store that holds something else."""


def to_bytes(record: Record) -> bytes:
    """Return ``record`` as kept in the store."""
    return pack(record)


def from_bytes(kind: type[R], value: bytes) -> R:
    """Return the record in ``value``; fields of another release are dropped.

    Raises:
        UnreadableError: it holds none.
    """
    try:
        return kind.from_map(unpack(value))
    except (ValueError, TypeError, AttributeError) as error:
        raise UnreadableError(f"no {kind.__name__}: {error}") from error


def job_to_bytes(job: JobRequest) -> bytes:
    """Return the items of ``job`` as kept in an object."""
    return pack([item.to_map() for item in job.items])


def job_from_bytes(data: bytes) -> JobRequest:
    """Return the job in an object.

    Raises:
        UnreadableError: it holds none.
    """
    try:
        return JobRequest([JobItem.from_map(fields) for fields in unpack(data)])
    except (ValueError, TypeError, AttributeError) as error:
        raise UnreadableError(f"no job: {error}") from error
