"""Keys of all rows and objects in the store.

External names (callers, services, idempotency keys) are included only as digests, so
that they cannot inject path components.
"""

import hashlib

CONFIGURATION_HEAD = "configuration/head"
JOBS = "job/"
OPEN_JOBS = "open/"
JOB_CHANGES = "jobs/changes"
FILES = "file/"
SESSIONS = "session/"
CALLS = "call/"
CHECKPOINTS = "checkpoint/"


def digest_of(text: str) -> str:
    """Return a digest of an external name that is safe in keys.

    >>> len(digest_of("../../etc"))
    32
    """
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def token_digest(token: str) -> str:
    """Return the stored form of a bearer token: its SHA-256 in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def configuration_version(version: int) -> str:
    """Return the key of a version's row in the log; keys sort by version."""
    return f"configuration/version/{version:010d}"


def configuration_snapshot(version: int, digest: str) -> str:
    """Return the key of the object with the snapshot of a version."""
    return f"configuration/{version:010d}-{digest}"


def configuration_delta(version: int, digest: str) -> str:
    """Return the key of the object with a delta that is too large for its row."""
    return f"configuration/delta/{version:010d}-{digest}"


def order(target_id: str) -> str:
    """Return the key of the row with a target's orderer and its fencing token."""
    return f"order/{target_id}"


def loading(store: str) -> str:
    """Return the key of the row with the running loads from a weight store."""
    return f"loading/{store}"


def session(session_id: str) -> str:
    """Return the key of the row of an instance's session."""
    return SESSIONS + session_id


def file(file_id: str) -> str:
    """Return the key of the row of an uploaded file."""
    return f"file/{file_id}"


def file_part(file_id: str, part: int) -> str:
    """Return the key of the object with one part of an uploaded file."""
    return f"file/{file_id}/{part:06d}"


def jobs_of_file(file_id: str) -> str:
    """Return the key prefix of the rows that list the jobs of an uploaded file."""
    return f"file-job/{file_id}/"


def job_of_file(file_id: str, job_id: str) -> str:
    """Return the key of the row that retains a file for a job, until its deletion."""
    return jobs_of_file(file_id) + job_id


def job(job_id: str) -> str:
    """Return the key of the row of a job."""
    return JOBS + job_id


def open_job(job_id: str) -> str:
    """Return the key of the row that lists a job as open, until the job finishes."""
    return OPEN_JOBS + job_id


def request_key(caller: str, key: str) -> str:
    """Return the key of the row that binds an idempotency key of a caller to a job."""
    return f"key/{digest_of(caller)}/{digest_of(key)}"


def chunks(job_id: str) -> str:
    """Return the key prefix of the chunk rows of a job."""
    return f"chunk/{job_id}/"


def chunk(job_id: str, start: int) -> str:
    """Return the key of a chunk's row by its first item; the first claim adds it."""
    return f"{chunks(job_id)}{start:06d}"


def results(job_id: str) -> str:
    """Return the key prefix of the result objects of a job."""
    return f"result/{job_id}/"


def chunk_result(job_id: str, start: int, attempt: str) -> str:
    """Return the key of the object with the results of one attempt at a chunk."""
    return f"{results(job_id)}{start:06d}-{attempt}"


def checkpoints(session_id: str) -> str:
    """Return the key prefix of the uncommitted results of a session."""
    return f"{CHECKPOINTS}{session_id}/"


def checkpoint(session_id: str, slot: int) -> str:
    """Return the key of one object with such results; slots are overwritten."""
    return f"{checkpoints(session_id)}{slot:02d}"


def started_items(job_id: str) -> str:
    """Return the key prefix of the rows of a job's calls that must not be repeated."""
    return f"started/{job_id}/"


def started_lane(job_id: str, lane: int) -> str:
    """Return the key prefix of those rows of one lane, named by its first item."""
    return f"{started_items(job_id)}{lane:06d}/"


def started_row(job_id: str, lane: int, name: str) -> str:
    """Return the key of one such row; it is written before the calls of its items."""
    return started_lane(job_id, lane) + name


def call(caller: str, service: str, key: str) -> str:
    """Return the key of the row that claims a keyed call to a plain service."""
    return f"{CALLS}{digest_of(caller)}/{digest_of(service)}/{digest_of(key)}"
