"""Calls of the store stay within its limits, and none is repeated for good."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.events import Event
from caperridge.gateway.jobs.codec import from_bytes, to_bytes
from caperridge.gateway.jobs.held_job import PENDING, HeldJob, ItemState
from caperridge.gateway.jobs.keeping import JobWriter
from caperridge.gateway.jobs.keys import JOBS, head_key, is_result
from caperridge.gateway.jobs.model import ItemResult, JobEntry, JobHead, JobItem
from caperridge.gateway.rows import ABSENT, Transaction, read_all_rows
from caperridge.platform.store import HttpRowStore
from gateway.conftest import HOST, World

JOB = "j1"
HOLDER = "e-0.1"
MAX_ITEMS = 200
ORIGIN = StreamOrigin("model", "v1")
# A write that is never done would hang the test instead of failing it.
HANG_S = 20.0


@pytest_asyncio.fixture
async def store(world: World) -> AsyncIterator[HttpRowStore]:
    client = HttpRowStore(world.store_address)
    yield client
    await client.close()


async def held_job(store: HttpRowStore, ids: list[str]) -> HeldJob:
    """Return a job whose head is in the store."""
    head = JobHead(HOLDER, len(ids))
    written = await store.transact(
        Transaction({head_key(JOB): ABSENT}, {head_key(JOB): to_bytes(head)})
    )
    items = [JobItem(id, f"/work/{id}", [], b"", 1) for id in ids]
    entry = JobEntry(JOB, "work", HOST, len(ids), 0.0, 1, "items")
    return HeldJob(entry, head, written.ok_value.version, items)


def write_event(state: ItemState, data: bytes) -> None:
    """Have an item's run produce one more event."""
    number = state.progress.event + 1
    raw = b"id: %d\ndata: %s\n\n" % (number, data)
    assert state.append_events([Event(number, raw)], ORIGIN)


async def write_all(writer: JobWriter, job: HeldJob) -> None:
    """Write until all results are listed and all progress is stored."""
    async with asyncio.timeout(HANG_S):
        while job.unlisted or any(map(has_unstored_progress, job.states)):
            assert await writer.write(job, HOLDER)


def has_unstored_progress(state: ItemState) -> bool:
    """Whether a write has to store the progress of an unfinished item."""
    return state.status == PENDING and state.has_unstored_progress


async def stored_results(store: HttpRowStore) -> list[ItemResult]:
    """Return the results in the store in order of their positions."""
    rows = (await read_all_rows(store, JOBS, JOB)).ok_value.rows
    return [from_bytes(ItemResult, row.value) for row in rows if is_result(row.key)]


@pytest.mark.parametrize("event_bytes", [10, 15_000, 24_000])
async def test_results_and_progress_of_an_outage_are_written_within_the_limits(
    world: World, store: HttpRowStore, event_bytes: int
) -> None:
    """Guards against one transaction over the limits that is repeated for ever."""
    writer = JobWriter(store, HOLDER)
    job = await held_job(store, [f"x{number}" for number in range(MAX_ITEMS)])
    for state in job.states:
        write_event(state, b"a" * event_bytes)
    await write_all(writer, job)
    # The store is away meanwhile: half of the items end, the others go on.
    for state in job.states:
        write_event(state, b"b" * event_bytes)
        if state.number % 2:
            job.complete(state)
    await write_all(writer, job)
    assert world.store.over_limit == []
    results = await stored_results(store)
    assert [one.item for one in results] == [
        f"x{number}" for number in range(1, MAX_ITEMS, 2)
    ]
    texts = {one.text for one in results}
    assert texts == {b"a" * event_bytes + b"\n" + b"b" * event_bytes}
