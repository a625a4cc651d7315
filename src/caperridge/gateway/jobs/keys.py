"""Keys of the tables, rows and objects of jobs.

The index lists all jobs in one partition, so that the acceptance of a job can be
conditional on the waiting tokens of its route. The rows of each job are in a partition
of their own.
"""

import hashlib

from caperridge.gateway.rows import RowKey

INDEX = "job-index"
JOBS = "jobs"
_ENTRY = "job:"
_GATE = "gate:"
_HEAD = "head"
_PROGRESS = "p:"
_RESULT = "r:"
_RESULTS_END = "r;"
_DIGEST_BYTES = 8
# Longer names are replaced by their digest: the store bounds the length of a key.
MAX_ROUTE_BYTES = 178


def entry_key(job: str) -> RowKey:
    """Return the key of a job's entry in the index."""
    return RowKey(INDEX, "", _ENTRY + job)


def job_of_entry(key: RowKey) -> str | None:
    """Return the job whose entry has ``key``; None if it is not an entry.

    >>> job_of_entry(entry_key("a1"))
    'a1'
    """
    return key.key[len(_ENTRY) :] if key.key.startswith(_ENTRY) else None


def job_of_team(id: str, team: str) -> str:
    """Return the id of a job among those of all teams.

    Two teams may use the same id. Ids given by callers contain no ``@``.

    >>> job_of_team("a1", ""), job_of_team("a1", "x") == job_of_team("a1", "y")
    ('a1', False)
    """
    return f"{id}@{_digest(team)}" if team else id


def gate_key(route: str, team: str = "") -> RowKey:
    """Return the key of the gate row that each acceptance of a team's job writes.

    >>> len(gate_key("r" * 300).key)
    21
    """
    if len(route.encode()) > MAX_ROUTE_BYTES:
        route = _digest(route)
    name = f"{route}@{_digest(team)}" if team else route
    return RowKey(INDEX, "", _GATE + name)


def _digest(name: str) -> str:
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def head_key(job: str) -> RowKey:
    """Return the key of a job's head."""
    return RowKey(JOBS, job, _HEAD)


def progress_key(job: str, item: int) -> RowKey:
    """Return the key of the progress of an unfinished item."""
    return RowKey(JOBS, job, f"{_PROGRESS}{item:06d}")


def result_key(job: str, position: int) -> RowKey:
    """Return the key of the result at ``position``."""
    return RowKey(JOBS, job, f"{_RESULT}{position:06d}")


RESULTS_END = _RESULTS_END


def number_of(key: RowKey) -> int:
    """Return the number of the item or the position in ``key``.

    >>> number_of(result_key("a1", 12))
    12
    """
    return int(key.key.partition(":")[2])


def is_head(key: RowKey) -> bool:
    """Whether ``key`` is the key of a head."""
    return key.key == _HEAD


def is_progress(key: RowKey) -> bool:
    """Whether ``key`` is the key of an item's progress."""
    return key.key.startswith(_PROGRESS)


def is_result(key: RowKey) -> bool:
    """Whether ``key`` is the key of a result."""
    return key.key.startswith(_RESULT)


def items_object(job: str, nonce: str) -> str:
    """Return the name of the object that holds a job's items."""
    return f"items-{job}-{nonce}"


def text_object(job: str, item: int, incarnation: str) -> str:
    """Return the name of the object that holds a result's text."""
    return f"text-{job}-{item}-{incarnation}"
