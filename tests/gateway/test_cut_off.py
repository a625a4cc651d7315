"""An instance that was cut off and reconnects with outdated knowledge."""

import asyncio

import pytest

from caperridge.gateway.jobs.holders import TAKEOVER_AFTER_S
from caperridge.gateway.jobs.keeper import ORPHAN_CHECK_INTERVAL_S
from gateway.conftest import World, until

NOWHERE = "http://127.0.0.1:1"


async def add_slow_runner(world: World) -> None:
    """Add a runner that takes 20 s for an item, with an event every 0.5 s."""
    runner = await world.add_runner()
    runner.pause_s = 0.5
    runner.events = 40


async def test_who_was_cut_off_takes_no_job_of_peers_it_does_not_hear_yet(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store is reached again some moments before the peers are."""
    await add_slow_runner(world)
    holder = await world.add_instance()
    cut = await world.add_instance()
    await world.ready()
    await world.submit(holder, "j1", ["x0"])
    await until(lambda: "j1" in holder.keeper.held_by_id)
    await until(lambda: cut.index.entries_by_job)
    monkeypatch.setattr(cut.mesh, "alive", lambda: [])
    monkeypatch.setattr(cut.mesh, "incarnation_alive", lambda incarnation: False)
    reached, world.store_of(cut)._base = world.store_of(cut)._base, NOWHERE
    await until(lambda: not cut.reachability.reached)
    await asyncio.sleep(TAKEOVER_AFTER_S + ORPHAN_CHECK_INTERVAL_S)
    world.store_of(cut)._base = reached
    await until(lambda: cut.reachability.reached)
    await asyncio.sleep(TAKEOVER_AFTER_S / 2)
    assert "j1" not in cut.keeper.held_by_id
    await until(lambda: "j1" in cut.keeper.held_by_id)


async def test_who_lost_a_job_to_a_peer_does_not_take_it_back_at_once(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It does not receive from the peer yet, as both were cut off from each other."""
    await add_slow_runner(world)
    first = await world.add_instance()
    second = await world.add_instance()
    await world.ready()
    await world.submit(first, "j1", ["x0"])
    await until(lambda: "j1" in first.keeper.held_by_id)
    for one in (first, second):
        monkeypatch.setattr(one.mesh, "alive", lambda: [])
        monkeypatch.setattr(one.mesh, "send_all", lambda message: None)
        monkeypatch.setattr(one.mesh, "incarnation_alive", lambda incarnation: False)
    await until(lambda: "j1" in second.keeper.held_by_id)
    await until(lambda: "j1" not in first.keeper.held_by_id)
    await asyncio.sleep(TAKEOVER_AFTER_S / 2)
    assert "j1" not in first.keeper.held_by_id
    assert "j1" in second.keeper.held_by_id
