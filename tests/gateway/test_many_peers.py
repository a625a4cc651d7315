"""Many instances: not every change is told to each, yet items start at once."""

import asyncio

import pytest

from caperridge.gateway.mesh import mesh
from gateway.conftest import World, until
from gateway.test_jobs import ITEMS, listed


@pytest.fixture
def many_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have instances act as if they had too many peers to tell each everything."""
    monkeypatch.setattr(mesh, "MOST_CLOSE_PEERS", 0)


async def test_granters_elsewhere_forget_wants_that_were_met(
    world: World, many_peers: None
) -> None:
    await world.add_runner(zone="a")
    await world.add_runner(zone="b")
    holder = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    assert (await world.submit(holder, "j1", ITEMS)).status == 202
    await listed(world, far, "j1", len(ITEMS))
    await until(lambda: not far.granting.wanted, within_s=1.0)


async def test_a_job_starts_at_once_while_others_elsewhere_were_done(
    world: World, many_peers: None
) -> None:
    """The runners are all in another zone than the instances that hold the jobs."""
    runner = await world.add_runner(zone="b", slots=3)
    holders = [await world.add_instance(zone="a") for _ in range(2)]
    await world.add_instance(zone="b")
    await world.ready()
    for number in range(2):
        for holder in holders:
            id = f"j{number}-{holder.settings.instance}"
            items = [f"{id}-{item}" for item in ITEMS]
            assert (await world.submit(holder, id, items)).status == 202
            await until(lambda of=items: _ended(runner, of), within_s=1.5)


async def test_an_item_of_a_third_zone_gives_way_to_an_online_request(
    world: World, many_peers: None
) -> None:
    """Who asks does not know who has the item; who grants the slots does."""
    runner = await world.add_runner(zone="b", slots=1)
    asking = await world.add_instance(zone="a")
    await world.add_instance(zone="b")
    holder = await world.add_instance(zone="c")
    await world.ready()
    runner.pause_s = 1.0
    assert (await world.submit(holder, "j1", ["x1"])).status == 202
    await until(lambda: runner.busy == 1)
    answering = asyncio.ensure_future(world.ask(asking, "/ask/1", "r1"))
    await until(lambda: any(run.id == "x1" and run.cut for run in runner.runs), 0.5)
    answering.cancel()


def _ended(runner, items: list[str]) -> bool:
    return set(items) <= {run.id for run in runner.runs if run.ended}
