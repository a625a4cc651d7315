"""The items of jobs are read a few at a time, and cached up to a bound."""

import asyncio

import pytest
from result import Err, Ok, Result

from caperridge.gateway.jobs import item_reads
from caperridge.gateway.jobs.codec import job_to_bytes
from caperridge.gateway.jobs.item_reads import (
    MAX_CACHED_BYTES,
    MAX_READS,
    MAX_WAIT_S,
    ItemReads,
)
from caperridge.gateway.jobs.model import JobEntry, JobItem, JobRequest
from caperridge.gateway.rows import StoreError
from caperridge.store.interface import NotDone
from loop_clock import LoopClock


class SlowObjects:
    """Objects of a store that answers when it is told to."""

    def __init__(self) -> None:
        self.data = job_to_bytes(JobRequest([JobItem("i", "/", [], b"body", 1)]))
        self.read: list[str] = []
        self.reading = 0
        self.most_reading = 0
        self.answers = asyncio.Event()
        self.answers.set()

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        self.read.append(name)
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        await asyncio.sleep(0)
        await self.answers.wait()
        self.reading -= 1
        return Ok(self.data) if name != "missing" else Err(NotDone("away"))


def entry(name: str) -> JobEntry:
    return JobEntry(name, "work", "here", 1, 0.0, 1, name)


@pytest.fixture
async def objects() -> SlowObjects:
    return SlowObjects()


async def test_callers_that_ask_at_once_share_the_reads(objects: SlowObjects) -> None:
    """Guards against reading a job once for each caller of a crowd."""
    reads = ItemReads(objects)
    found = await asyncio.gather(*(reads.read(entry("one")) for _ in range(50)))
    assert all(job is not None and job.items[0].body == b"body" for job in found)
    assert len(objects.read) <= MAX_READS


async def test_few_objects_are_read_at_once(objects: SlowObjects) -> None:
    reads = ItemReads(objects)
    names = [f"job-{number}" for number in range(20)]
    assert all(await asyncio.gather(*(reads.read(entry(name)) for name in names)))
    assert objects.most_reading == MAX_READS


async def test_who_waits_too_long_for_others_is_told(objects: SlowObjects) -> None:
    """Guards against callers that wait behind a store that doesn't answer."""
    reads = ItemReads(objects)
    objects.answers.clear()
    loop = asyncio.get_running_loop()
    first = [loop.create_task(reads.read(entry(f"{n}"))) for n in range(MAX_READS)]
    late = loop.create_task(reads.read(entry("late")))
    await asyncio.sleep(0.01)
    await LoopClock().ahead(MAX_WAIT_S + 0.1)
    assert await late is None
    objects.answers.set()
    assert all(await asyncio.gather(*first))


async def test_a_job_that_can_not_be_read_is_asked_for_again(
    objects: SlowObjects,
) -> None:
    reads = ItemReads(objects)
    assert await reads.read(entry("missing")) is None
    assert await reads.read(entry("missing")) is None
    assert objects.read == ["missing", "missing"]


async def test_large_jobs_leave_the_cache_but_for_the_newest(
    objects: SlowObjects, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cache that is bounded by the number of jobs only."""
    assert MAX_CACHED_BYTES < 2**24
    monkeypatch.setattr(item_reads, "MAX_CACHED_BYTES", len(objects.data) * 3 // 2)
    reads = ItemReads(objects)
    for name in ("one", "two", "two", "one"):
        assert await reads.read(entry(name)) is not None
    assert objects.read == ["one", "two", "one"]
