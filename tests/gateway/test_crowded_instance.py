"""Most new connections of a zone at one of its instances, for some seconds.

The others still have their slots at the targets, and none needs them: what is free
belongs to whoever is asked.
"""

import asyncio

import aiohttp
import pytest

from gateway.conftest import ROUTES, World, bearer, tenant, until

INSTANCES = 4
SLOTS = 8
# All slots of the targets; with a few more requests, some would be refused.
CROWD = 3 * SLOTS
WAVES = 3
# Far above what is sent.
TEAM = tenant("north", "secret-key", ratePerS=200.0, burst=400)


@pytest.fixture
async def zone(world: World) -> World:
    """Instances of one zone before targets of three."""
    world.configure(2, ROUTES, [TEAM])
    for availability_zone in ("a", "b", "c"):
        await world.add_runner(zone=availability_zone, slots=SLOTS)
    for _ in range(INSTANCES):
        await world.add_instance()
    await world.ready()
    for instance in world.instances:
        instance.quotas.ledger._changed_at = -1000.0  # known to each other for long
    return world


async def wave(zone: World, spread: int, path: str) -> list[int | bytes]:
    """Send as many requests as there are slots to some instances.

    Returns the status of each that was served, and what the others were told.
    """
    answers = await asyncio.gather(
        *(
            zone.ask(
                zone.instances[number % spread],
                path,
                f"{spread}-{number}-{asyncio.get_running_loop().time()}",
                **bearer("secret-key"),
            )
            for number in range(CROWD)
        )
    )
    served = [answer.status == 200 and answer.whole for answer in answers]
    return [200 if ok else one.body for ok, one in zip(served, answers, strict=True)]


@pytest.mark.parametrize("path", ["/ask/1", "/once/1"])
async def test_a_crowd_is_served_at_the_first_attempt(zone: World, path: str) -> None:
    for _ in range(WAVES):
        assert await wave(zone, INSTANCES, path) == [200] * CROWD
    for runner in zone.runners:
        runner.max_busy = 0
    for _ in range(WAVES):
        assert await wave(zone, 1, path) == [200] * CROWD
    assert max(runner.max_busy for runner in zone.runners) <= SLOTS


async def test_a_crowd_leaves_the_instance_ready_and_known_to_its_peers(
    zone: World,
) -> None:
    hot = zone.instances[0]
    for runner in zone.runners:
        runner.pause_s = 0.1
    crowding = asyncio.ensure_future(wave(zone, 1, "/ask/1"))
    await until(lambda: sum(runner.busy for runner in zone.runners) == CROWD)
    ready = f"http://{hot.settings.ready}/readyz"
    async with aiohttp.ClientSession() as session, session.get(ready) as answer:
        assert answer.status == 200
    for peer in zone.instances[1:]:
        counts = peer.fleet.occupancy
        await until(
            lambda one=counts: all(
                one.total_at(runner.id).online == SLOTS for runner in zone.runners
            )
        )
    assert await crowding == [200] * CROWD


async def test_items_give_their_slots_to_a_crowd(zone: World) -> None:
    for runner in zone.runners:
        runner.events = 40
    ids = [f"x{number}" for number in range(CROWD)]
    job = await zone.submit(zone.instances[1], "j1", ids, 1, "secret-key")
    assert job.status == 202
    await until(lambda: sum(runner.busy for runner in zone.runners) >= CROWD // 2)
    assert await wave(zone, 1, "/once/1") == [200] * CROWD
