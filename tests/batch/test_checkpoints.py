"""Checkpoints of a chunk reach its next holder, with results and faults of items."""

import time

import orjson
import pytest

from caperridge import keys
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.item_failures import MAX_FAULTS, FailItem, after_failure
from caperridge.decisions.jobs import CLAIMED, ChunkState, ItemFaults, Job
from caperridge.instance.checkpoints import FAULTS_S, SLOTS, Checkpoints
from caperridge.instance.chunk_work import ChunkWork, failed_result
from caperridge.instance.job_items import JobItems
from caperridge.standins.platform import MemoryPlatform
from caperridge.targets.outcomes import Lost

CHUNK = Chunk("job-1", 0, 4)
JOB = Job("job-1", "heat", "chat", "/v1/completions", "file-1", 4, 10)
LINES = [orjson.dumps({"custom_id": str(n), "body": {}}) for n in range(4)]
BREAKER = 2


async def held(platform: MemoryPlatform, session: str, previous: str) -> ChunkWork:
    """Return the chunk as ``session`` takes it over from ``previous``."""
    saved = (await JobItems(platform).saved(previous, CHUNK)).unwrap()
    work = ChunkWork(JOB, CHUNK, ChunkState(4, CLAIMED, session), session)
    work.add_items(LINES, saved)
    return work


async def save(platform: MemoryPlatform, checkpoints: Checkpoints, work) -> None:
    wanted = checkpoints.take(work.session, [work])
    name = keys.checkpoint(wanted.session, wanted.slot)
    (await platform.put_object(name, wanted.data)).unwrap()


@pytest.mark.parametrize("slots_before", [0, 1, SLOTS])
async def test_faults_are_counted_on_by_the_next_holder(slots_before: int) -> None:
    platform = MemoryPlatform(time.monotonic)
    tries = 0
    previous = ""
    for holder in range(MAX_FAULTS + 1):
        session = f"session-{holder}"
        work = await held(platform, session, previous)
        checkpoints = Checkpoints()
        for faults in work.faults():
            checkpoints.failed(JOB.id, faults, 1.0)
        for _ in range(slots_before):
            await save(platform, checkpoints, work)
        place = work.items_by_index[BREAKER].context
        tries += 1
        verdict = after_failure(Lost("it broke"), "r", place.faults, place.failures)
        if isinstance(verdict, FailItem):
            break
        place.faults = verdict.faults
        checkpoints.failed(JOB.id, ItemFaults(BREAKER, place.faults), 1.0)
        assert not checkpoints.due(1.0)
        assert checkpoints.due(1.0 + FAULTS_S)
        await save(platform, checkpoints, work)
        previous = session
    assert (tries, verdict.code) == (MAX_FAULTS, "targets_failed")


async def test_a_saved_result_ends_an_item_that_had_faults() -> None:
    platform = MemoryPlatform(time.monotonic)
    work = await held(platform, "one", "")
    checkpoints = Checkpoints()
    place = work.items_by_index[BREAKER].context
    place.faults = 1
    checkpoints.failed(JOB.id, ItemFaults(BREAKER, 1), 0.0)
    await save(platform, checkpoints, work)
    result = failed_result(place, "targets_failed", "it broke", 502)
    work.ended(result)
    checkpoints.ended(JOB.id, result.to_map(), 1.0)
    await save(platform, checkpoints, work)
    later = await held(platform, "two", "one")
    assert later.results_by_index == {BREAKER: result}
    assert not later.faults()
