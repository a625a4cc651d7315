"""Calls of the store stay within its limits, and none is repeated for good."""

import asyncio
import random
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import pytest
import pytest_asyncio

from caperridge.gateway import held_rows, registry
from caperridge.gateway.events import Event
from caperridge.gateway.jobs.codec import from_bytes, to_bytes
from caperridge.gateway.jobs.held_job import PENDING, HeldJob, ItemState
from caperridge.gateway.jobs.keeping import JobWriter
from caperridge.gateway.jobs.keys import JOBS, head_key, is_result
from caperridge.gateway.jobs.model import (
    COMPLETED,
    DEAD,
    ItemResult,
    JobEntry,
    JobHead,
    JobItem,
)
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.registry import InstanceRegistry
from caperridge.gateway.rows import (
    ABSENT,
    RowKey,
    StoredRow,
    Transaction,
    read_all_rows,
)
from caperridge.gateway.targets import Target
from caperridge.platform.store import HttpRowStore
from caperridge.platform.store_limits import PlatformStoreLimits
from caperridge.records import pack
from gateway.conftest import HOST, ROUTES, World, until
from gateway.memory_rows import MemoryRows
from gateway.test_trial_claims import CONTENT as HELD_CONTENT
from gateway.test_trial_claims import _table as held_table

JOB = "j1"
HOLDER = "e-0.1"
MAX_ITEMS = 200
TARGET = Target("t", "model", "10.0.0.1:1", "a", 4, software_version="v1")
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
    assert state.append_events([Event(number, raw)], TARGET)


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


async def test_a_job_is_released_once_all_of_its_progress_is_stored(
    world: World, store: HttpRowStore
) -> None:
    """Guards against a handover that loses what exceeds one transaction."""
    writer = JobWriter(store, HOLDER)
    job = await held_job(store, [f"x{number}" for number in range(MAX_ITEMS)])
    for state in job.states:
        write_event(state, b"a")
        if state.number % 2:
            job.complete(state)
    async with asyncio.timeout(HANG_S):
        while job.head.holder:
            assert await writer.write(job, "")
    assert len(await stored_results(store)) == MAX_ITEMS // 2
    assert not any(map(has_unstored_progress, job.states))
    assert world.store.over_limit == []


@pytest_asyncio.fixture
async def job(store: HttpRowStore) -> HeldJob:
    """A job of a few items, each with an event."""
    held = await held_job(store, [f"x{number}" for number in range(9)])
    for state in held.states:
        write_event(state, state.item.id.encode())
    return held


async def test_a_result_that_the_store_refuses_for_good_holds_up_no_other(
    world: World, store: HttpRowStore, job: HeldJob
) -> None:
    """Guards against a refusal that is taken for a lost answer and repeated."""
    write_event(job.states[4], b"refused")
    for state in job.states:
        job.complete(state)
    world.store.refused_value = b"refused"
    await write_all(JobWriter(store, HOLDER), job)
    states = {one.item: one.state for one in await stored_results(store)}
    assert states == {
        state.item.id: DEAD if state.number == 4 else COMPLETED for state in job.states
    }


async def test_progress_that_the_store_refuses_for_good_is_not_sent_again(
    world: World, store: HttpRowStore, job: HeldJob
) -> None:
    """Guards against progress that keeps the results of its job from being listed."""
    world.store.refused_value = b"x4"
    job.complete(job.states[1])
    await write_all(JobWriter(store, HOLDER), job)
    assert [one.item for one in await stored_results(store)] == ["x1"]
    calls = len(world.store.calls)
    write_event(job.states[4], b"more")
    assert await JobWriter(store, HOLDER).write(job, HOLDER)
    assert len(world.store.calls) == calls + 1


async def test_a_job_whose_dead_result_is_refused_is_left(
    world: World, store: HttpRowStore, job: HeldJob
) -> None:
    """Guards against a result that is given up again and again."""
    for state in job.states:
        job.complete(state)
    world.store.refused_value = b"x4"
    writer = JobWriter(store, HOLDER)
    async with asyncio.timeout(HANG_S):
        while not job.finished:
            await writer.write(job, HOLDER)
    listed = {one.item for one in await stored_results(store)}
    assert listed <= {"x0", "x1", "x2", "x3"}


async def test_a_job_whose_head_the_store_refuses_for_good_is_left(
    world: World, store: HttpRowStore, job: HeldJob
) -> None:
    """Guards against a holder that writes a refused head again and again."""
    world.store.refuse = 400
    async with asyncio.timeout(HANG_S):
        assert not await JobWriter(store, HOLDER).write(job, HOLDER)
    assert job.finished and job.states[0].status == PENDING


@pytest.mark.parametrize("whole", [True, False])
async def test_a_text_larger_than_an_object_is_listed_as_dead(
    world: World, whole: bool
) -> None:
    """Guards against an object over the limit that is sent again and again."""
    world.store.row_bytes = 4096
    world.store.object_bytes = 10_000
    limits = PlatformStoreLimits(4096, 10_000 if whole else 2**20)
    store = HttpRowStore(world.store_address, limits)
    job = await held_job(store, ["small", "large", "in an object"])
    for state, size in zip(job.states, (10, 10_001, 9_999), strict=True):
        write_event(state, b"a" * size)
        job.complete(state)
    await write_all(JobWriter(store, HOLDER), job)
    states = {one.item: one.state for one in await stored_results(store)}
    await store.close()
    assert states == {"small": COMPLETED, "large": DEAD, "in an object": COMPLETED}
    assert len(world.store.over_limit) == (0 if whole else 1)


async def test_a_job_that_the_store_cannot_hold_is_refused_at_once(
    world: World,
) -> None:
    """Guards against a caller that sends a job again and again in vain."""
    world.store.object_bytes = 10_000
    instance = await world.add_instance()
    world.store_of(instance).limits.object_bytes = 10_000
    await world.ready()
    answer = await world.submit(instance, "large", [f"x{n}" for n in range(300)], 1)
    assert (answer.status, answer.headers.get("Retry-After")) == (413, None)
    assert b"10000" in answer.body
    assert world.store.over_limit == []
    assert (await world.results(instance, "large")).status == 404


async def test_a_job_whose_items_the_store_refuses_is_sent_to_it_once(
    world: World,
) -> None:
    """Guards against retries until the caller's deadline."""
    world.store.object_bytes = 10_000
    instance = await world.add_instance()
    await world.ready()
    answer = await world.submit(instance, "large", [f"x{n}" for n in range(300)], 1)
    assert (answer.status, len(world.store.over_limit)) == (413, 1)


async def test_a_job_whose_entry_the_store_refuses_is_sent_to_it_once(
    world: World,
) -> None:
    """Guards against retries until the caller's deadline."""
    instance = await world.add_instance()
    await world.ready()
    world.store.refused_value = b"refused"
    answer = await world.submit(instance, "refused", ["x1"])
    assert answer.status == 413


async def test_a_cancellation_that_the_store_refuses_for_good_is_answered_at_once(
    world: World,
) -> None:
    """Guards against attempts until the caller's deadline."""
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, JOB, ["x1"])
    await until(lambda: instance.keeper.held_by_id)
    world.store.refused_value = to_bytes(JobHead("", 1, cancelled=True))[:12]
    answer = await world.call(instance, "DELETE", f"/lots/{JOB}")
    assert (answer.status, answer.headers.get("Retry-After")) == (503, None)


@pytest.fixture
def rejecting() -> MemoryRows:
    rows = MemoryRows([], [])
    rows.rejects = True
    return rows


async def test_a_hold_that_the_store_refuses_for_good_is_written_once(
    rejecting: MemoryRows, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a row of the quarantine that is written for ever."""
    monkeypatch.setattr(held_rows, "RETRY_DELAY_S", 0.0)
    table = held_table(rejecting)
    table.schedule_write(HELD_CONTENT)
    await run_for(table.run(), 200)
    assert rejecting.transactions == 1


async def test_an_instance_that_the_store_refuses_to_list_still_finds_its_peers(
    rejecting: MemoryRows, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a registration that is sent for ever."""
    monkeypatch.setattr(registry, "FIRST_POLL_DELAY_S", 0.0)
    monkeypatch.setattr(registry, "POLL_INTERVAL_S", 0.0)
    key = RowKey(registry.TABLE, "", "e-1")
    rejecting.rows_by_key[key] = StoredRow(key, pack(["127.0.0.1:9", "a", "e-1.1"]), 1)
    mesh = Mesh("e-0", HOLDER, "a", "", [], random.Random(1))
    await run_for(InstanceRegistry(rejecting, mesh).run(), 200)
    assert rejecting.transactions == 1
    assert "e-1" in mesh.members_by_id


async def run_for(loop_forever: Coroutine[Any, Any, None], turns: int) -> None:
    """Run a task for so many turns of the event loop."""
    task = asyncio.ensure_future(loop_forever)
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_a_job_on_a_route_with_a_long_name_is_accepted(world: World) -> None:
    """Guards against a key that is too long for the store and a job refused for it."""
    name = "long" * 60
    batch = next(one for one in ROUTES if one["name"] == "work")
    world.configure(2, [batch | {"name": name}])
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, JOB, ["x1"])).status == 202
    assert (instance.index.waiting_tokens(name), world.store.over_limit) == (10, [])
