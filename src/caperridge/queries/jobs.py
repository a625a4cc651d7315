"""Reading jobs: one, its progress, its items and its results."""

from collections.abc import AsyncIterator

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.accept_file import StoredFile
from caperridge.decisions.chunks import Chunk, chunk_count
from caperridge.decisions.jobs import DONE, OPEN, ChunkState, Job
from caperridge.platform.interface import NotDone, Platform, ReadError, Row
from caperridge.records import Record

PAGE = 1000


class Progress(Record):
    """How far a job is: items by what became of them, and chunks by state."""

    __slots__ = ("chunks", "chunks_claimed", "chunks_done", "completed", "failed")

    def __init__(
        self,
        chunks: int,
        chunks_done: int = 0,
        chunks_claimed: int = 0,
        completed: int = 0,
        failed: int = 0,
    ) -> None:
        self.chunks = chunks
        self.chunks_done = chunks_done
        self.chunks_claimed = chunks_claimed
        self.completed = completed
        self.failed = failed


async def read_job(platform: Platform, job_id: str) -> Result[Job | None, ReadError]:
    """Return the job, or None if there is none of that id."""
    key = keys.job(job_id)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    return Ok(Job.from_map(row.value) if row else None)


async def open_jobs(platform: Platform) -> Result[list[Job], ReadError]:
    """Return every open job."""
    rows = await scan_all(platform, keys.JOBS)
    if isinstance(rows, Err):
        return rows
    jobs: list[Job] = []
    for row in rows.ok_value:
        if row.value["state"] == OPEN:
            jobs.append(Job.from_map(row.value))
    return Ok(jobs)


async def chunk_rows(
    platform: Platform, job_id: str
) -> Result[dict[str, Row], ReadError]:
    """Return the rows of the job's chunks that were ever claimed, by key."""
    rows = await scan_all(platform, keys.chunks(job_id))
    return rows.map(lambda found: {row.key: row for row in found})


async def read_progress(platform: Platform, job: Job) -> Result[Progress, ReadError]:
    """Return how far ``job`` is."""
    rows = await chunk_rows(platform, job.id)
    if isinstance(rows, Err):
        return rows
    progress = Progress(chunk_count(job.items, job.chunk_items))
    for row in rows.ok_value.values():
        state = ChunkState.from_map(row.value)
        if state.state != DONE:
            progress.chunks_claimed += 1
            continue
        progress.chunks_done += 1
        progress.completed += state.completed
        progress.failed += state.failed
    return Ok(progress)


async def read_file(
    platform: Platform, file_id: str
) -> Result[StoredFile | None, ReadError]:
    """Return what is stored of a file, or None."""
    key = keys.file(file_id)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    return Ok(StoredFile.from_map(row.value) if row else None)


async def read_items(
    platform: Platform, file: StoredFile, chunk: Chunk
) -> Result[list[bytes], ReadError]:
    """Return the lines of the chunk's items, in order."""
    lines: list[bytes] = []
    for part, first in enumerate(file.parts):
        last = file.parts[part + 1] if part + 1 < len(file.parts) else file.items
        if last <= chunk.start or first >= chunk.end:
            continue
        data = await platform.get_object(keys.file_part(file.id, part))
        if isinstance(data, Err):
            return data
        if data.ok_value is None:
            return Err(NotDone(f"part {part} of {file.id} is missing"))
        found = data.ok_value.splitlines()
        lines.extend(found[max(0, chunk.start - first) : chunk.end - first])
    return Ok(lines)


async def stream_results(
    platform: Platform, job: Job, failed: bool
) -> AsyncIterator[Result[bytes, ReadError]]:
    """Yield the results so far, in order of the items, as JSON lines.

    Args:
        platform: where they are.
        job: whose.
        failed: yield the failed items rather than the completed ones.
    """
    rows = await chunk_rows(platform, job.id)
    if isinstance(rows, Err):
        yield rows
        return
    for _key, row in sorted(rows.ok_value.items()):
        state = ChunkState.from_map(row.value)
        if state.state != DONE or not (state.failed if failed else state.completed):
            continue
        data = await platform.get_object(state.result)
        if isinstance(data, Err):
            yield data
            return
        lines = (data.ok_value or b"").splitlines(keepends=True)
        # A failed item's line says so in its first member.
        wanted = [line for line in lines if line.startswith(b'{"error":null') != failed]
        yield Ok(b"".join(wanted))


async def scan_all(platform: Platform, prefix: str) -> Result[list[Row], ReadError]:
    """Return every row with ``prefix``, page by page."""
    rows: list[Row] = []
    after = ""
    while True:
        page = await platform.scan(prefix, after, PAGE)
        if isinstance(page, Err):
            return page
        rows.extend(page.ok_value)
        if len(page.ok_value) < PAGE:
            return Ok(rows)
        after = page.ok_value[-1].key
