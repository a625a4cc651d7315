"""Targets replaced by another incarnation before the list of targets shows it.

Guards against requests that are sent to such targets again and again. Of 45 targets
eight crashed during a store outage and restarted, each as another incarnation at the
same address. Their old entries stayed listed for 5 s and looked idle: 1,260 online
requests were sent to them 3,182 times in all, and items 397 times, and each attempt was
refused because another target was addressed.
"""

import asyncio

from caperridge.gateway.unowned import ORPHANED
from gateway.conftest import World, until
from gateway.test_jobs import ITEMS, listed

REQUESTS = 12


async def test_a_target_that_was_replaced_is_asked_once(world: World) -> None:
    runner = await world.add_runner()
    other = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    runner.reports_to_all = True  # only requests detect the replacement
    runner.id = "i-0-again"
    for number in range(REQUESTS):
        answer = await world.ask(instance, f"/once/{number}", f"r{number}")
        assert answer.data == other.text(f"r{number}")
    assert runner.misdirected == 1


async def test_items_leave_a_target_that_was_replaced(world: World) -> None:
    runner = await world.add_runner(slots=8)
    await world.add_runner(slots=1)
    instance = await world.add_instance()
    await world.ready()
    runner.id = "i-0-again"
    world.runners[1].pause_s = 0.1  # long enough for other items to be sent again
    await world.submit(instance, "j1", ITEMS)
    results = await listed(world, instance, "j1", len(ITEMS))
    assert sorted(one["id"] for one in results) == ITEMS
    assert runner.misdirected <= len(ITEMS)


async def test_what_replaced_a_target_gets_requests_once_it_is_listed(
    world: World,
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    runner.id = "i-0-again"
    answers = [await world.ask(instance, "/once/1", "r1") for _ in range(2)]
    assert {answer.status for answer in answers} == {503}
    world.store.remove("servers", "i-0")
    world._addresses_by_runner[runner.id] = world._addresses_by_runner["i-0"]
    world.list_runner(runner)
    await until(lambda: runner.id in instance.fleet.targets.by_id)
    answer = await world.ask(instance, "/once/2", "r2")
    assert answer.data == runner.text("r2")


async def test_what_another_target_does_is_not_counted_for_an_old_entry(
    world: World,
) -> None:
    """Instances poll the load of targets; the old entry has no runs any more."""
    runner = await world.add_runner()
    runner.orphaned = 2
    instance = await world.add_instance()
    await world.ready()
    count_of = instance.fleet.occupancy.count_of
    await until(lambda: count_of(ORPHANED, "i-0").total == 2)
    runner.id = "i-0-again"
    usable = instance.fleet.is_usable
    now = asyncio.get_running_loop().time
    await until(lambda: not usable("i-0", now()))
    await until(lambda: count_of(ORPHANED, "i-0").total == 0)
    assert runner.runs == []
