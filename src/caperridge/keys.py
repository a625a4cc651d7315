"""Names of rows and objects, in one place.

Names from outside (callers, idempotency keys) enter only as digests, so that they
cannot reach a path.
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
    """Return a digest of a name from outside, fit for keys.

    >>> len(digest_of("../../etc"))
    32
    """
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def token_digest(token: str) -> str:
    """Return what is kept of a bearer token: its SHA-256 in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def configuration_version(version: int) -> str:
    """Return the row of one version in the log; sorts by version."""
    return f"configuration/version/{version:010d}"


def configuration_snapshot(version: int, digest: str) -> str:
    """Return the object with the whole of one version."""
    return f"configuration/{version:010d}-{digest}"


def configuration_delta(version: int, digest: str) -> str:
    """Return the object with a delta that is too large for its row."""
    return f"configuration/delta/{version:010d}-{digest}"


def order(target_id: str) -> str:
    """Return the row that says who orders a target, and under which number."""
    return f"order/{target_id}"


def loading(store: str) -> str:
    """Return the row with the loads that share one weight store."""
    return f"loading/{store}"


def session(session_id: str) -> str:
    """Return the row of an instance's session."""
    return SESSIONS + session_id


def file(file_id: str) -> str:
    """Return the row of an uploaded file."""
    return f"file/{file_id}"


def file_part(file_id: str, part: int) -> str:
    """Return the object with one part of an uploaded file."""
    return f"file/{file_id}/{part:06d}"


def jobs_of_file(file_id: str) -> str:
    """Return the prefix of the rows that name the jobs of an uploaded file."""
    return f"file-job/{file_id}/"


def job_of_file(file_id: str, job_id: str) -> str:
    """Return the row that keeps a file for one job; it goes with the job."""
    return jobs_of_file(file_id) + job_id


def job(job_id: str) -> str:
    """Return the row of a job."""
    return JOBS + job_id


def open_job(job_id: str) -> str:
    """Return the row that lists a job as open; it goes when the job ends."""
    return OPEN_JOBS + job_id


def request_key(caller: str, key: str) -> str:
    """Return the row that makes a caller's idempotency key name one job."""
    return f"key/{digest_of(caller)}/{digest_of(key)}"


def chunks(job_id: str) -> str:
    """Return the prefix of a job's chunk rows."""
    return f"chunk/{job_id}/"


def chunk(job_id: str, start: int) -> str:
    """Return the row of a chunk by its first item; it appears with the first claim."""
    return f"{chunks(job_id)}{start:06d}"


def results(job_id: str) -> str:
    """Return the prefix of a job's result objects."""
    return f"result/{job_id}/"


def chunk_result(job_id: str, start: int, attempt: str) -> str:
    """Return the object with one attempt's results of a chunk."""
    return f"{results(job_id)}{start:06d}-{attempt}"


def checkpoints(session_id: str) -> str:
    """Return the prefix of a session's results that are not committed yet."""
    return f"{CHECKPOINTS}{session_id}/"


def checkpoint(session_id: str, slot: int) -> str:
    """Return one object of those results; slots are written again and again."""
    return f"{checkpoints(session_id)}{slot:02d}"


def started_items(job_id: str) -> str:
    """Return the prefix of the rows of a job's calls that may not be repeated."""
    return f"started/{job_id}/"


def started_lane(job_id: str, lane: int) -> str:
    """Return the prefix of those rows for one lane, named by its first item."""
    return f"{started_items(job_id)}{lane:06d}/"


def started_row(job_id: str, lane: int, name: str) -> str:
    """Return one row, which precedes the calls of the items that it lists."""
    return started_lane(job_id, lane) + name


def call(caller: str, service: str, key: str) -> str:
    """Return the row that claims a keyed call to a plain service."""
    return f"{CALLS}{digest_of(caller)}/{digest_of(service)}/{digest_of(key)}"
