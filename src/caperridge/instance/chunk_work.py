"""The chunks an instance works on, and what their results look like."""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

import orjson

from caperridge import keys
from caperridge.commands.started_items import HeldChunk
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.jobs import (
    CheckpointedItems,
    ChunkState,
    ItemFaults,
    ItemResult,
    Job,
)
from caperridge.instance.item_work import ItemWork, PlainItemWork
from caperridge.instance.plain_item_calls import METHODS, PREFIX


class ItemPlace:
    """Where an item belongs, and what went wrong with it so far.

    Attributes:
        work: its chunk.
        index: in the job.
        custom_id: the caller's own id of it.
        failures: failed attempts.
        faults: those of them that may be its own fault.
    """

    __slots__ = ("custom_id", "failures", "faults", "index", "work")

    def __init__(self, work: "ChunkWork", index: int, custom_id: str) -> None:
        self.work = work
        self.index = index
        self.custom_id = custom_id
        self.failures = 0
        self.faults = 0


class ChunkWork:
    """A chunk that this instance has claimed and works on.

    Attributes:
        job: its job.
        chunk: its range.
        state: its row, with us as its holder.
        session: that claims it.
        results_by_index: of the items that have ended.
        items_by_index: of the items that have not.
    """

    __slots__ = (
        "chunk",
        "items_by_index",
        "job",
        "results_by_index",
        "session",
        "state",
    )

    def __init__(self, job: Job, chunk: Chunk, state: ChunkState, session: str) -> None:
        self.job = job
        self.chunk = chunk
        self.state = state
        self.session = session
        self.results_by_index: dict[int, ItemResult] = {}
        self.items_by_index: dict[int, ItemWork] = {}

    @property
    def key(self) -> str:
        """The key of its row."""
        return chunk_key(self.chunk)

    def add_items(self, lines: list[bytes], saved: CheckpointedItems) -> None:
        """Take the items; those with a saved result need not run again."""
        for index, line in enumerate(lines, self.chunk.start):
            result = saved.results_by_index.get(index)
            if result is not None:
                self.results_by_index[index] = ItemResult.from_map(result)
                continue
            item = orjson.loads(line)
            place = ItemPlace(self, index, item["custom_id"])
            place.faults = saved.faults_by_index.get(index, 0)
            self.items_by_index[index] = self._work(item, place)

    def _work(self, item: dict[str, Any], place: ItemPlace) -> ItemWork:
        job = self.job
        # Two holders of a chunk must not share ids of attempts at a target.
        request = f"{job.id}.{place.index}-{self.state.attempts}"
        if not job.endpoint.startswith(PREFIX):
            return ItemWork(
                request, job.id, job.service, job.endpoint, item["body"], place
            )
        lane = self.chunk.start - self.chunk.start % job.lane_items
        return PlainItemWork(
            request,
            job.id,
            job.service,
            item["url"],
            str(item.get("method", METHODS[0])),
            job.caller,
            item["body"],
            place.index,
            HeldChunk(
                job.id, lane, self.chunk.start, self.state.attempts, self.session
            ),
            place,
        )

    def faults(self) -> list[ItemFaults]:
        """Return the faults of the items that have had some and no result."""
        found: list[ItemFaults] = []
        for index, item in self.items_by_index.items():
            place: ItemPlace = item.context
            if place.faults:
                found.append(ItemFaults(index, place.faults))
        return found

    def ended(self, result: ItemResult) -> None:
        """Note the result of an item."""
        self.items_by_index.pop(result.index, None)
        self.results_by_index[result.index] = result

    def result_data(self) -> bytes:
        """Return the result object: a JSON line for each item, in order."""
        lines: list[bytes] = []
        for _, result in sorted(self.results_by_index.items()):
            lines.append(result_line(self.job, result))
        return b"".join(lines)

    def failed(self) -> int:
        """Return how many items failed for good."""
        return sum(1 for result in self.results_by_index.values() if result.error)


def chunk_key(chunk: Chunk) -> str:
    """Return the key of a chunk's row."""
    return keys.chunk(chunk.job, chunk.start)


@singledispatch
def ended_result(work: ItemWork) -> ItemResult:
    """Return the result of an item that came to its end at a target."""
    text = "".join(work.texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    chat = "messages" in work.body
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = {
        "id": work.request,
        "object": "chat.completion" if chat else "text_completion",
        "model": work.body.get("model", ""),
        "choices": [choice],
        "usage": {"completion_tokens": len(work.texts)},
    }
    place: ItemPlace = work.context
    return ItemResult(place.index, place.custom_id, 200, body)


@ended_result.register
def _(work: PlainItemWork) -> ItemResult:
    place: ItemPlace = work.context
    final = work.final
    assert final is not None
    error = None
    if final.code:
        error = {"code": final.code, "message": final.reason, "run": final.run}
    return ItemResult(place.index, place.custom_id, final.status, work.answer, error)


def failed_result(place: ItemPlace, code: str, reason: str, status: int) -> ItemResult:
    """Return the result of an item that failed for good."""
    error = {"code": code, "message": reason}
    return ItemResult(place.index, place.custom_id, status, None, error)


def result_line(job: Job, result: ItemResult) -> bytes:
    """Return one line of a result object; ``error`` comes first for filtering."""
    response = None
    if result.error is None or result.body is not None:
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


def items_in_hand(works: Iterable[ChunkWork], service: str) -> dict[str, int]:
    """Return how many items of ``service`` have not ended, by job."""
    items_by_job: dict[str, int] = {}
    for work in works:
        if work.job.service != service:
            continue
        count = items_by_job.get(work.job.id, 0)
        items_by_job[work.job.id] = count + len(work.items_by_index)
    return items_by_job
