"""Streams whose target is lost while the slots of all others are taken."""

import asyncio

import pytest

from caperridge.gateway import answer_relay, forwarding
from gateway.conftest import World, until

STREAMS = 8
# Longer than any wait of these tests.
LONG_S = 60.0


async def test_a_stream_that_has_begun_waits_for_a_slot_elsewhere(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that are cut seconds before their deadline.

    A caller that has a part of its answer cannot be told to come back later.
    """
    lost, other = [await world.add_runner(slots=STREAMS) for _ in range(2)]
    instance = await world.add_instance()
    await world.ready()
    # All begin together, however long it takes to send the requests.
    monkeypatch.setattr(forwarding, "FIRST_EVENT_SILENCE_S", LONG_S)
    monkeypatch.setattr(answer_relay, "FIRST_EVENT_SILENCE_S", LONG_S)
    for runner in (lost, other):
        runner.events = 30
        runner.pause_s = 0.03
        runner.going.clear()
    instance.fleet.run_lengths("model").online_s = 0.9
    asking = [
        asyncio.create_task(world.ask(instance, "/ask/1", f"r{number}"))
        for number in range(2 * STREAMS)
    ]
    await until(lambda: lost.busy == other.busy == STREAMS)
    for runner in (lost, other):
        runner.going.set()
    await until(lambda: all(run.sent > 2 for run in lost.runs + other.runs))
    await lost.crash()
    world.store.remove("servers", lost.id)
    answers = await asyncio.gather(*asking)
    assert [answer.whole for answer in answers] == [True] * len(answers)
