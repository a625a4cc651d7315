"""Items at targets that are nearly full of online requests.

Guards against items that are started and preempted in quick succession. Every slot that
an online request left was granted at once, so the next online request met a full target
and an item was preempted, some ten milliseconds after its start. With 63 instances and
45 targets of 8 slots, six to seven of them filled by online requests, items started 310
times and were preempted 249 times in 2 s, though only some 50 ran at a time. Each start
costs a connection, a read of the prompt and messages to dozens of instances.
"""

import asyncio

from caperridge.gateway.occupancy import Count
from gateway.conftest import ROUTES, World, until
from gateway.test_jobs import listed

SLOTS = 8
# Changes of the number of online requests of other instances, by one each.
CHANGES = 8
CHANGE_INTERVAL_S = 0.05


async def test_an_item_does_not_start_and_stop_with_each_online_request(
    world: World,
) -> None:
    runner = await world.add_runner(slots=SLOTS)
    instance = await world.add_instance()
    await world.ready()
    _tell_online(instance, runner.id, SLOTS - 1)
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    for change in range(CHANGES):
        await asyncio.sleep(CHANGE_INTERVAL_S)
        _tell_online(instance, runner.id, SLOTS - change % 2)
    assert len(runner.runs) <= 1
    _tell_online(instance, runner.id, SLOTS // 2)
    (result,) = await listed(world, instance, "j1", 1)
    assert result["state"] == "completed"


async def test_an_item_that_is_due_soon_takes_the_last_slot(world: World) -> None:
    soon = [
        one | {"runTargetMs": 3000} if one["name"] == "work" else one for one in ROUTES
    ]
    world.configure(2, soon)
    runner = await world.add_runner(slots=SLOTS)
    instance = await world.add_instance()
    await world.ready()
    _tell_online(instance, runner.id, SLOTS - 1)
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: any(run.finished for run in runner.runs), within_s=2.0)


def _tell_online(instance, target: str, online: int) -> None:
    """Apply a count of online requests of other instances at ``target``."""
    instance.fleet.occupancy.update_peer_count("others", target, Count(online))
    instance.fleet.notify_changed()
