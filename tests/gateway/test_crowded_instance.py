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


def _is_idle(zone: World) -> bool:
    """Whether no target runs a request, as far as the crowded instance knows."""
    counts = zone.instances[0].fleet.occupancy
    return not any(counts.total_at(runner.id).online for runner in zone.runners)


async def wave(zone: World, path: str) -> list[int | bytes]:
    """Send as many requests as there are slots to one instance.

    Returns the status of each that was served, and what the others were told.
    """
    await until(lambda: _is_idle(zone))
    answers = await asyncio.gather(
        *(
            zone.ask(
                zone.instances[0],
                path,
                f"{number}-{asyncio.get_running_loop().time()}",
                **bearer("secret-key"),
            )
            for number in range(CROWD)
        )
    )
    served = [answer.status == 200 and answer.whole for answer in answers]
    return [200 if ok else one.body for ok, one in zip(served, answers, strict=True)]


async def _check_peers_know(zone: World) -> None:
    """Check that a crowded instance is ready, and that its peers know its counts."""
    crowding = asyncio.ensure_future(wave(zone, "/ask/slow"))
    await until(lambda: sum(runner.busy for runner in zone.runners) == CROWD)
    ready = f"http://{zone.instances[0].settings.ready}/readyz"
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


async def test_a_crowd_is_served_at_the_first_attempt(zone: World) -> None:
    for path in ["/ask/1", "/once/1"] * WAVES:
        assert await wave(zone, path) == [200] * CROWD
    assert max(runner.max_busy for runner in zone.runners) <= SLOTS
    await _check_peers_know(zone)
    for runner in zone.runners:
        runner.events = 40
    ids = [f"x{number}" for number in range(CROWD)]
    job = await zone.submit(zone.instances[1], "j1", ids, 1, "secret-key")
    assert job.status == 202
    await until(lambda: sum(runner.busy for runner in zone.runners) >= CROWD // 2)
    assert await wave(zone, "/once/1") == [200] * CROWD
