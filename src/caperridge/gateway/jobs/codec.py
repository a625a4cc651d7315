"""Serialization of jobs, heads, progress and results for the store."""

import functools
import typing
from typing import Any, TypeVar

from caperridge.gateway.jobs.model import JobItem, JobRequest
from caperridge.records import Record, pack, unpack

R = TypeVar("R", bound=Record)


class UnreadableError(Exception):
    """A row or object of the store could not be decoded."""


def to_bytes(record: Record) -> bytes:
    """Return ``record`` as stored."""
    return pack(record)


def from_bytes(kind: type[R], value: bytes) -> R:
    """Return the record in ``value``; fields of another release are dropped.

    Raises:
        UnreadableError: ``value`` is not such a record.
    """
    try:
        return _typed(kind, unpack(value))
    except (ValueError, TypeError, AttributeError) as error:
        raise UnreadableError(f"not a valid {kind.__name__}: {error}") from error


def job_to_bytes(job: JobRequest) -> bytes:
    """Return the items of ``job`` as stored in an object."""
    return pack([item.to_map() for item in job.items])


def job_from_bytes(data: bytes) -> JobRequest:
    """Return the job in an object.

    Raises:
        UnreadableError: ``data`` is not a list of items.
    """
    try:
        return JobRequest([_typed(JobItem, fields) for fields in unpack(data)])
    except (ValueError, TypeError, AttributeError) as error:
        raise UnreadableError(f"not a valid list of items: {error}") from error


def _typed(kind: type[R], fields: Any) -> R:
    """Return the record with ``fields``, whose types are checked.

    Raises:
        TypeError: a field is missing, or of another type than in this release.
    """
    record = kind.from_map(fields)
    for name, type_ in _types_by_field(kind).items():
        value = getattr(record, name)
        if not _fits(value, type_):
            raise TypeError(f"{name} is a {type(value).__name__}")
    return record


@functools.cache
def _types_by_field(kind: type[Record]) -> dict[str, Any]:
    hints = typing.get_type_hints(kind.__init__)
    return {name: hints[name] for name in kind.__slots__}


def _fits(value: Any, type_: Any) -> bool:
    """Whether ``value`` has the type, which is a plain one or a list.

    >>> _fits(1, float), _fits(True, int), _fits([["a"]], list[list[str]])
    (True, False, True)
    """
    if typing.get_origin(type_) is list:
        (inner,) = typing.get_args(type_)
        return isinstance(value, list) and all(_fits(one, inner) for one in value)
    if isinstance(value, bool):
        return type_ is bool
    if type_ is float:
        return isinstance(value, int | float)
    return isinstance(value, type_)
