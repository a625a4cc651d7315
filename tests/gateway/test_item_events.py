"""Events of items are read in batches.

Guards against one read per event, as for online streams, whose callers wait for each
event. Of an item only the whole output and periodic progress are used. With 63
instances and some 125 running items, each event, one every 33 ms per item, woke a task
for a few bytes, as often as the events of all online streams did, and the instances ran
out of CPU time.
"""

import asyncio

import pytest

from caperridge.gateway import answer
from caperridge.gateway.events import EventSplitter
from caperridge.gateway.jobs import item_runs
from gateway.conftest import World, until
from gateway.test_jobs import listed

EVENTS = 40
# Longer than any test waits.
NEVER_S = 60.0
# Iterations of the event loop within which data sent on loopback has arrived.
LOOP_ITERATIONS = 10


class Reads(list):
    """Sizes of the reads of an item's events, in bytes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        reads = self

        class Splitter(EventSplitter):
            """Records each read."""

            __slots__ = ()

            def feed(self, data: bytes) -> list:
                reads.append(len(data))
                return super().feed(data)

        monkeypatch.setattr(answer, "EventSplitter", Splitter)


async def test_events_of_an_item_are_read_many_at_a_time(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    reads = Reads(monkeypatch)
    runner = await world.add_runner()
    runner.events = EVENTS
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))
    assert len(reads) <= EVENTS / 4


async def test_an_item_ends_with_its_stream_however_long_events_are_gathered(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(item_runs, "EVENT_BATCH_S", NEVER_S, raising=False)
    runner = await world.add_runner()
    runner.events = EVENTS
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))


async def test_an_item_that_gives_way_keeps_the_events_that_had_come(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(item_runs, "EVENT_BATCH_S", NEVER_S, raising=False)
    monkeypatch.setattr(item_runs, "EVENT_TIMEOUT_S", NEVER_S)
    runner = await world.add_runner()
    runner.events = EVENTS
    runner.silent_after = EVENTS // 2
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: runner.runs and runner.runs[0].sent == EVENTS // 2)
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    (job,) = instance.keeper.held_jobs()
    job.states[0].cancel()
    await until(lambda: len(runner.runs) == 2)
    assert runner.runs[1].resumed_after == EVENTS // 2
