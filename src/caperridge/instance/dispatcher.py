"""The batch dispatcher: claims chunks, hands their items out, commits the results."""

import asyncio
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import orjson
from result import Err

from caperridge import keys
from caperridge.commands.chunk_claims import claim_chunk, commit_chunk
from caperridge.commands.complete_job import complete_job
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.chunks import Chunk, chunk_at, chunk_count
from caperridge.decisions.jobs import DONE, ChunkState, ItemResult, Job
from caperridge.instance.actor import Actor
from caperridge.instance.batch_streams import BatchStreams, ItemWork
from caperridge.instance.messages import ItemEnded, JobsChanged
from caperridge.instance.metrics import Metrics
from caperridge.instance.session import SessionKeeper
from caperridge.log import logger
from caperridge.platform.interface import Platform, Row
from caperridge.queries.jobs import chunk_rows, open_jobs, read_file, read_items
from caperridge.targets.outcomes import TargetRefused

log = logger(__name__)
RETRY_S = 0.5
JOBS_EVERY_S = 1.0


class ChunkWork:
    """A chunk that this instance has claimed and works on."""

    __slots__ = ("attempts", "chunk", "job", "results_by_index", "session")

    def __init__(self, job: Job, chunk: Chunk, session: str, attempts: int) -> None:
        self.job = job
        self.chunk = chunk
        self.session = session
        self.attempts = attempts
        self.results_by_index: dict[int, ItemResult] = {}


class ItemPlace:
    """Where an item belongs: its chunk, its index in the job and its own id."""

    __slots__ = ("custom_id", "index", "work")

    def __init__(self, work: ChunkWork, index: int, custom_id: str) -> None:
        self.work = work
        self.index = index
        self.custom_id = custom_id


class BatchDispatcher(Actor):
    """Claims chunks while its batch streams have room, and commits them.

    Args:
        platform: where jobs and claims are.
        session: whose lease keeps the claims.
        metrics: of the instance.
        clock: monotonic seconds.
    """

    idle_s = 0.2

    def __init__(
        self,
        platform: Platform,
        session: SessionKeeper,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.streams: BatchStreams
        self.draining = False
        self._platform = platform
        self._session = session
        self._metrics = metrics
        self._clock = clock
        self._work_by_key: dict[str, ChunkWork] = {}
        self._jobs_due = 0.0

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: JobsChanged) -> None:
        self._jobs_due = 0.0
        if not message.cancelled:
            return
        self.streams.cancel_job(message.cancelled)
        for key, work in list(self._work_by_key.items()):
            if work.job.id == message.cancelled:
                del self._work_by_key[key]

    @handle.register
    async def _(self, message: ItemEnded) -> None:
        place: ItemPlace = message.work.context
        error = message.error
        if error is not None and not (
            isinstance(error, TargetRefused) and error.permanent
        ):
            self.streams.submit(message.work)
            return
        result = _result(message.work, place, error)
        place.work.results_by_index[place.index] = result
        outcome = "failed" if result.error else "completed"
        self._metrics.batch_items.labels(place.work.job.service, outcome).inc()
        chunk = place.work.chunk
        if len(place.work.results_by_index) == chunk.end - chunk.start:
            await self._commit(place.work)

    async def idle(self) -> None:
        """Claim what there is room for."""
        if self._session.left_s() <= 0:
            self._work_by_key.clear()
            self.streams.drop_all()
            return
        self.streams.fill()
        if not self.draining and self._clock() >= self._jobs_due:
            self._jobs_due = self._clock() + JOBS_EVERY_S
            await self._claim()

    async def _claim(self) -> None:
        jobs = await open_jobs(self._platform)
        if isinstance(jobs, Err):
            return
        for job in jobs.ok_value:
            room = self.streams.room(job.service)
            if room > 0:
                await self._claim_of(job, room)

    async def _claim_of(self, job: Job, wanted: int) -> None:
        rows = await chunk_rows(self._platform, job.id)
        if isinstance(rows, Err):
            return
        done = 0
        for index in range(chunk_count(job.items, job.chunk_items)):
            row = rows.ok_value.get(keys.chunk(job.id, index))
            if row is not None and row.value["state"] == DONE:
                done += 1
                continue
            if wanted <= 0 or not await self._claimable(row):
                continue
            chunk = chunk_at(job.id, index, job.items, job.chunk_items)
            if await self._claim_one(job, chunk, row):
                wanted -= chunk.end - chunk.start
        if done == chunk_count(job.items, job.chunk_items):
            await complete_job(self._platform, job.id, time.time())

    async def _claimable(self, row: Row | None) -> bool:
        if row is None:
            return True
        if row.value["session"] == self._session.session_id:
            return False
        key = keys.session(row.value["session"])
        found = await self._platform.read([key])
        if isinstance(found, Err):
            return False
        session = found.ok_value.get(key)
        return session is None or session.value["state"] != ALIVE

    async def _claim_one(self, job: Job, chunk: Chunk, row: Row | None) -> bool:
        session_id = self._session.session_id
        file = await read_file(self._platform, job.file)
        if isinstance(file, Err) or file.ok_value is None:
            return False
        lines = await read_items(self._platform, file.ok_value, chunk)
        if isinstance(lines, Err):
            return False
        claimed = await claim_chunk(self._platform, chunk, row, session_id)
        if isinstance(claimed, Err):
            return False
        attempts = 1 if row is None else row.value["attempts"] + 1
        work = ChunkWork(job, chunk, session_id, attempts)
        self._work_by_key[keys.chunk(job.id, chunk.index)] = work
        for index, line in enumerate(lines.ok_value, chunk.start):
            item = orjson.loads(line)
            self.streams.submit(
                ItemWork(
                    f"{job.id}.{index}",
                    job.id,
                    job.service,
                    job.endpoint,
                    item["body"],
                    ItemPlace(work, index, item["custom_id"]),
                )
            )
        return True

    async def _commit(self, work: ChunkWork) -> None:
        results = [result for _, result in sorted(work.results_by_index.items())]
        data = b"".join(result_line(work.job, result) for result in results)
        name = keys.chunk_result(
            work.job.id, work.chunk.index, f"{work.session}-{work.attempts}"
        )
        failed = sum(1 for result in results if result.error)
        done = ChunkState(
            DONE, work.session, work.attempts, name, len(results) - failed, failed
        )
        while self._session.holds(work.session):
            stored = await self._platform.put_object(name, data)
            if isinstance(stored, Err):
                await asyncio.sleep(RETRY_S)
                continue
            outcome = await commit_chunk(self._platform, work.chunk, work.session, done)
            log.info(
                "chunk committed" if not isinstance(outcome, Err) else "chunk refused",
                job=work.job.id,
                chunk=work.chunk.index,
            )
            break
        self._work_by_key.pop(keys.chunk(work.job.id, work.chunk.index), None)
        self._jobs_due = 0.0

    def state(self) -> dict[str, Any]:
        """Return the dispatcher's state for the dump."""
        results_by_chunk = {
            key: len(work.results_by_index) for key, work in self._work_by_key.items()
        }
        return {"results_by_chunk": results_by_chunk, "streams": self.streams.state()}


def _result(
    work: ItemWork, place: ItemPlace, error: TargetRefused | None
) -> ItemResult:
    if error is None:
        return ItemResult(place.index, place.custom_id, 200, _answer(work))
    reason = {"code": "target_refused", "message": error.reason}
    return ItemResult(place.index, place.custom_id, error.status, None, reason)


def _answer(work: ItemWork) -> dict[str, Any]:
    text = "".join(work.texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    chat = "messages" in work.body
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": work.request,
        "object": "chat.completion" if chat else "text_completion",
        "model": work.body.get("model", ""),
        "choices": [choice],
        "usage": {"completion_tokens": len(work.texts)},
    }


def result_line(job: Job, result: ItemResult) -> bytes:
    """Return one line of a result object; ``error`` comes first for filtering."""
    response = None
    if result.error is None:
        response = {
            "status_code": result.status,
            "request_id": f"{job.id}.{result.index}",
            "body": result.body,
        }
    line = {
        "error": result.error,
        "id": f"{job.id}.{result.index}",
        "custom_id": result.custom_id,
        "response": response,
    }
    return orjson.dumps(line) + b"\n"
