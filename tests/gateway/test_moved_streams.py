"""Streams whose target is lost while the slots of all others are taken."""

import asyncio

import pytest

from gateway.conftest import World, until

STREAMS = 8


@pytest.mark.parametrize("path", ["/ask/1"])
async def test_a_stream_that_has_begun_waits_for_a_slot_elsewhere(
    world: World, path: str
) -> None:
    """Guards against streams that are cut seconds before their deadline.

    A caller that has a part of its answer cannot be told to come back later.
    """
    lost, other = [await world.add_runner(slots=STREAMS) for _ in range(2)]
    instance = await world.add_instance()
    await world.ready()
    for runner in (lost, other):
        runner.events = 30
        runner.pause_s = 0.03
    instance.fleet.run_lengths("model").online_s = 0.9
    asking = [
        asyncio.create_task(world.ask(instance, path, f"r{number}"))
        for number in range(2 * STREAMS)
    ]
    await until(lambda: lost.busy == other.busy == STREAMS)
    await until(lambda: all(run.sent > 2 for run in lost.runs + other.runs))
    await lost.crash()
    world.store.remove("servers", lost.id)
    answers = await asyncio.gather(*asking)
    assert [answer.whole for answer in answers] == [True] * len(answers)
