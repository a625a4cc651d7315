"""Reads of jobs, their progress, chunks, files and results."""

from collections.abc import AsyncIterator

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.accept_file import STORED, StoredFile
from caperridge.commands.sessions import LAPSED
from caperridge.decisions.claims import ChunkRow, JobView
from caperridge.decisions.jobs import CLAIMED, COMPLETED, DONE, ChunkState, Job
from caperridge.queries.rows import read_record, scan_all
from caperridge.records import Record
from caperridge.store.interface import NotDone, Platform, ReadError


class Progress(Record):
    """The progress of a job: numbers of items by result, and of chunks by state."""

    __slots__ = ("chunks_claimed", "chunks_done", "completed", "failed")

    def __init__(
        self,
        chunks_done: int = 0,
        chunks_claimed: int = 0,
        completed: int = 0,
        failed: int = 0,
    ) -> None:
        self.chunks_done = chunks_done
        self.chunks_claimed = chunks_claimed
        self.completed = completed
        self.failed = failed


async def read_job(platform: Platform, job_id: str) -> Result[Job | None, ReadError]:
    """Return the job, or None if there is no job with that id."""
    return await read_record(platform, keys.job(job_id), Job)


async def read_open_jobs(platform: Platform) -> Result[list[Job], ReadError]:
    """Return every open job."""
    rows = await scan_all(platform, keys.OPEN_JOBS)
    return rows.map(lambda found: [Job.from_map(row.value) for row in found])


async def read_changes(
    platform: Platform, after: int | None
) -> Result[tuple[int, list[list[str]] | None], ReadError]:
    """Return the sequence number of the newest job change, and the changes since.

    Args:
        platform: where they are stored.
        after: sequence number of the last known change; None for none.

    Returns:
        The number, and the changes as pairs of id and state; None instead of the
        changes if some are no longer stored.
    """
    found = await platform.read([keys.JOB_CHANGES])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(keys.JOB_CHANGES)
    number = row.value["number"] if row else 0
    changes = row.value["changes"] if row else []
    if after is None or number - after > len(changes):
        return Ok((number, None))
    return Ok((number, changes[len(changes) - (number - after) :]))


async def read_view(platform: Platform, job: Job) -> Result[JobView, ReadError]:
    """Return the chunks of ``job`` that have been claimed at least once."""
    rows = await scan_all(platform, keys.chunks(job.id))
    if isinstance(rows, Err):
        return rows
    rows_by_start: dict[int, ChunkRow] = {}
    for row in rows.ok_value:
        start = int(row.key.rpartition("/")[2])
        rows_by_start[start] = ChunkRow(ChunkState.from_map(row.value), row.version)
    return Ok(JobView(job, rows_by_start))


async def read_progress(platform: Platform, job: Job) -> Result[Progress, ReadError]:
    """Return the progress of ``job``; a completed job needs no read."""
    if job.state == COMPLETED:
        return Ok(Progress(completed=job.completed, failed=job.failed))
    view = await read_view(platform, job)
    if isinstance(view, Err):
        return view
    progress = Progress()
    progress.completed, progress.failed = view.ok_value.counts()
    for row in view.ok_value.rows_by_start.values():
        if row.state.state == DONE:
            progress.chunks_done += 1
        elif row.state.state == CLAIMED:
            progress.chunks_claimed += 1
    return Ok(progress)


async def read_file(
    platform: Platform, file_id: str
) -> Result[StoredFile | None, ReadError]:
    """Return a stored file, or None if there is none or it is incomplete."""
    key = keys.file(file_id)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    file = StoredFile.from_map(row.value) if row else None
    return Ok(file if file is not None and file.state == STORED else None)


async def stream_results(
    platform: Platform, job: Job, failed: bool
) -> AsyncIterator[Result[bytes, ReadError]]:
    """Yield the results of committed chunks, in order of the items, as JSON lines.

    Args:
        platform: where they are stored.
        job: the job.
        failed: yield the failed items rather than the completed ones.
    """
    view = await read_view(platform, job)
    if isinstance(view, Err):
        yield view
        return
    for start, row in sorted(view.ok_value.rows_by_start.items()):
        state = row.state
        if state.state != DONE or not (state.failed if failed else state.completed):
            continue
        data = await platform.get_object(state.result)
        if isinstance(data, Err):
            yield data
            return
        if data.ok_value is None:
            yield Err(NotDone(f"the results from item {start} are missing"))
            return
        lines = data.ok_value.splitlines(keepends=True)
        # The first member of a line shows whether the item failed.
        selected = [
            line for line in lines if line.startswith(b'{"error":null') != failed
        ]
        yield Ok(b"".join(selected))


async def read_session_states(
    platform: Platform, session_ids: set[str]
) -> Result[dict[str, str], ReadError]:
    """Return the state of each session by id; one without a row counts as lapsed."""
    ordered = sorted(session_ids)
    found = await platform.read([keys.session(session_id) for session_id in ordered])
    if isinstance(found, Err):
        return found
    states_by_id: dict[str, str] = {}
    for session_id in ordered:
        row = found.ok_value.get(keys.session(session_id))
        states_by_id[session_id] = row.value["state"] if row else LAPSED
    return Ok(states_by_id)
