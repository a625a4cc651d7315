"""Items beside online requests that come and go at a crowded target.

Seen on a deployment of 63 instances and 45 targets of 8 slots: while online requests
filled six to seven slots of each target, items were started 310 times and gave way 249
times within two seconds, though only some 50 of them ran at a time. Each start costs a
connection and its prompt, and is told to dozens of instances.

Every slot that an online request left was granted at once, so the next online request
met a full target and an item had to go. The log lines of the start and of giving way
told it: the same items, some ten milliseconds apart.
"""

import asyncio

from caperridge.gateway.occupancy import Count
from gateway.conftest import ROUTES, World, until
from gateway.test_jobs import listed

SLOTS = 8
# Online requests of others that come and go by ones.
TIDES = 8
TIDE_S = 0.05


async def test_an_item_does_not_start_and_stop_with_each_online_request(
    world: World,
) -> None:
    runner = await world.add_runner(slots=SLOTS)
    instance = await world.add_instance()
    await world.ready()
    _tell_online(instance, runner.id, SLOTS - 1)
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    for tide in range(TIDES):
        await asyncio.sleep(TIDE_S)
        _tell_online(instance, runner.id, SLOTS - tide % 2)
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
    """Have the instance hear of online requests that others have at ``target``."""
    instance.fleet.occupancy.update_peer_count("others", target, Count(online))
    instance.fleet.notify_changed()
