"""The batch dispatcher: claims chunks and runs their items on the own runners.

Each runner has one dispatcher, chosen by rendezvous hash over the live instances of
its availability zone. Online requests of this instance and of its peers are told to
it; batch only takes what they leave free.
"""

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
from caperridge.config.model import Configuration
from caperridge.decisions.chunks import Chunk, chunk_at, chunk_count
from caperridge.decisions.jobs import DONE, ChunkState, ItemResult, Job
from caperridge.decisions.rendezvous import owner
from caperridge.decisions.routing import TargetBook
from caperridge.instance.actor import Actor
from caperridge.instance.messages import (
    ConfigurationApplied,
    JobsChanged,
    MembersListed,
    OnlineLoad,
)
from caperridge.instance.metrics import Metrics
from caperridge.instance.session import SessionKeeper
from caperridge.log import logger
from caperridge.platform.interface import Platform, Row
from caperridge.queries.jobs import chunk_rows, open_jobs, read_file, read_items
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.events import text_of
from caperridge.targets.outcomes import TargetRefused

log = logger(__name__)
HEADROOM = 2  # slots of a runner that batch leaves free
MOST_ITEM_ATTEMPTS = 5
RETRY_S = 0.5


class ChunkWork:
    """A chunk that this instance has claimed and works on."""

    __slots__ = ("attempts", "chunk", "job", "results", "session", "waiting")

    def __init__(
        self, job: Job, chunk: Chunk, session: str, attempts: int, lines: list[bytes]
    ) -> None:
        self.job = job
        self.chunk = chunk
        self.session = session
        self.attempts = attempts
        self.waiting = list(enumerate(lines, chunk.start))
        self.results: list[ItemResult] = []


class BatchDispatcher(Actor):
    """Runs batch items on the runners this instance dispatches for.

    Args:
        instance: id of this instance.
        availability_zone: whose runners.
        platform: where jobs and claims are.
        session: whose lease keeps the claims.
        engines: client of the engines.
        metrics: of the instance.
        clock: monotonic seconds.
    """

    idle_s = 0.2

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        platform: Platform,
        session: SessionKeeper,
        engines: EngineClient,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._instance = instance
        self._availability_zone = availability_zone
        self._platform = platform
        self._session = session
        self._engines = engines
        self._metrics = metrics
        self._clock = clock
        self._book = TargetBook(availability_zone)
        self._configuration = Configuration()
        self._instances: list[str] = [instance]
        self._online_by_target: dict[str, int] = {}
        self._batch_by_target: dict[str, int] = {}
        self._work_by_key: dict[str, ChunkWork] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._jobs_due = 0.0
        self.draining = False

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: ConfigurationApplied) -> None:
        self._configuration = message.configuration

    @handle.register
    async def _(self, message: MembersListed) -> None:
        self._book.apply_list(message.members)
        self._instances = [
            member.id
            for member in message.members
            if member.kind == "instance"
            and member.state == "live"
            and member.availability_zone == self._availability_zone
        ] or [self._instance]

    @handle.register
    async def _(self, message: OnlineLoad) -> None:
        self._online_by_target[message.target] = message.in_flight

    @handle.register
    async def _(self, message: JobsChanged) -> None:
        self._jobs_due = 0.0
        for key, work in list(self._work_by_key.items()):
            if work.job.id == message.cancelled:
                del self._work_by_key[key]

    async def idle(self) -> None:
        """Claim what is wanted, and start items where there is room."""
        if self._session.left_s() <= 0:
            self._work_by_key.clear()
            return
        if not self.draining and self._clock() >= self._jobs_due:
            self._jobs_due = self._clock() + 1.0
            await self._claim()
        self._start_items()

    def _own_targets(self, service: str) -> list[str]:
        own: list[str] = []
        for target_id, state in self._book.states_by_id.items():
            member = state.member
            if member.service != service or state.leaving:
                continue
            if member.availability_zone != self._availability_zone:
                continue
            if owner(target_id, self._instances) == self._instance:
                own.append(target_id)
        return own

    def _room(self, target: str, most: int) -> int:
        taken = self._online_by_target.get(target, 0)
        taken += self._batch_by_target.get(target, 0)
        return most - HEADROOM - taken

    async def _claim(self) -> None:
        jobs = await open_jobs(self._platform)
        if isinstance(jobs, Err):
            return
        for job in jobs.ok_value:
            service = self._configuration.services_by_name.get(job.service)
            if service is None:
                continue
            room = sum(
                max(0, self._room(target, service.most_running))
                for target in self._own_targets(service.name)
            )
            held = [
                w for w in self._work_by_key.values() if w.job.service == job.service
            ]
            waiting = sum(len(work.waiting) for work in held)
            if room > waiting:
                await self._claim_of(job, room - waiting)

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
        work = ChunkWork(job, chunk, session_id, attempts, lines.ok_value)
        self._work_by_key[keys.chunk(job.id, chunk.index)] = work
        return True

    def _start_items(self) -> None:
        for work in list(self._work_by_key.values()):
            service = self._configuration.services_by_name.get(work.job.service)
            if service is None or not work.waiting:
                continue
            for target in self._own_targets(service.name):
                while work.waiting and self._room(target, service.most_running) > 0:
                    index, line = work.waiting.pop(0)
                    self._spawn(work, index, line, target)

    def _spawn(self, work: ChunkWork, index: int, line: bytes, target: str) -> None:
        self._batch_by_target[target] = self._batch_by_target.get(target, 0) + 1
        task = asyncio.get_running_loop().create_task(
            self._run_item(work, index, line, target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_item(
        self, work: ChunkWork, index: int, line: bytes, target: str
    ) -> None:
        try:
            result = await self._attempt(work, index, line, target)
        except AttemptFailed:
            await asyncio.sleep(RETRY_S)
            work.waiting.append((index, line))
            return
        finally:
            self._batch_by_target[target] -= 1
        work.results.append(result)
        outcome = "failed" if result.error else "completed"
        self._metrics.batch_items.labels(work.job.service, outcome).inc()
        if len(work.results) == work.chunk.end - work.chunk.start:
            await self._commit(work)
        self._start_items()

    async def _attempt(
        self, work: ChunkWork, index: int, line: bytes, target: str
    ) -> ItemResult:
        item = orjson.loads(line)
        request = f"{work.job.id}.{index}"
        attempt = Attempt(
            request,
            f"{request}.{work.attempts}.{target}",
            self._book.states_by_id[target].member.address,
            work.job.endpoint,
            item["body"],
        )
        texts: list[str] = []
        try:
            async for events in self._engines.stream(attempt):
                texts.extend(text_of(event) for event in events)
        except AttemptFailed as failed:
            error = failed.error
            if isinstance(error, TargetRefused) and error.permanent:
                reason = {"code": "target_refused", "message": error.reason}
                return ItemResult(index, item["custom_id"], error.status, None, reason)
            raise
        return ItemResult(index, item["custom_id"], 200, _answer(item, request, texts))

    async def _commit(self, work: ChunkWork) -> None:
        work.results.sort(key=lambda result: result.index)
        data = b"".join(result_line(work.job, result) for result in work.results)
        name = keys.chunk_result(
            work.job.id, work.chunk.index, f"{work.session}-{work.attempts}"
        )
        while self._session.holds(work.session):
            stored = await self._platform.put_object(name, data)
            if isinstance(stored, Err):
                await asyncio.sleep(RETRY_S)
                continue
            failed = sum(1 for result in work.results if result.error)
            done = ChunkState(
                DONE,
                work.session,
                work.attempts,
                name,
                len(work.results) - failed,
                failed,
            )
            outcome = await commit_chunk(self._platform, work.chunk, work.session, done)
            log.info(
                "chunk committed",
                chunk=work.chunk.index,
                job=work.job.id,
                done=not isinstance(outcome, Err),
            )
            break
        self._work_by_key.pop(keys.chunk(work.job.id, work.chunk.index), None)
        self._jobs_due = 0.0

    def state(self) -> dict[str, Any]:
        """Return the dispatcher's state for the dump."""
        return {
            "online_by_target": self._online_by_target,
            "batch_by_target": self._batch_by_target,
            "chunks_by_key": {
                key: {"waiting": len(work.waiting), "results": len(work.results)}
                for key, work in self._work_by_key.items()
            },
        }


def _answer(item: dict[str, Any], request: str, texts: list[str]) -> dict[str, Any]:
    text = "".join(texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    chat = "messages" in item["body"]
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request,
        "object": "chat.completion" if chat else "text_completion",
        "model": item["body"].get("model", ""),
        "choices": [choice],
        "usage": {"completion_tokens": len(texts)},
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
