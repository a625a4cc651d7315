"""The output of an item is continued only at the software version that began it."""

import asyncio

import pytest

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.jobs.codec import from_bytes, to_bytes
from caperridge.gateway.jobs.model import ItemProgress
from caperridge.records import pack
from gateway.conftest import World, until
from gateway.runner_standin import Run, RunnerStandin
from gateway.test_jobs import listed

NEW_VERSION = "v2"
ITEMS = [f"x{number}" for number in range(4)]
# Long enough for an item to be interrupted, at its target's pace of 10 ms an event.
EVENTS = 60


async def add_runner(world: World, version: str, slots: int = 8) -> RunnerStandin:
    """Start a runner of a software version whose outputs are long."""
    runner = await world.add_runner(slots=slots, software_version=version)
    runner.events = EVENTS
    return runner


def _event(run: Run) -> int:
    """Return the number of the last event that a run has sent."""
    return run.resumed_after + run.sent


async def assert_whole(world: World, results: list) -> None:
    """Check that each result is the whole output of one version."""
    runners = world.runners + world.crashed_runners
    for result in results:
        texts = ["\n".join(runner.text(result["id"])) for runner in runners]
        assert result["message"] in texts


# Guards against items that go on at another version after their target has left: as it
# crashed, or as it drains and their lease is not renewed.
@pytest.mark.parametrize("how", ["crash", "drain"])
async def test_an_item_starts_over_where_its_software_version_has_left(
    world: World, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("caperridge.gateway.jobs.item_runs.RENEW_AFTER_S", 0.1)
    old = await add_runner(world, "v1")
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ITEMS)
    # Leases are renewed all the time, so a busy runner sends few events in one run.
    await until(lambda: {run.id for run in old.runs if _event(run) > 20} == set(ITEMS))
    new = await add_runner(world, NEW_VERSION)
    if how == "crash":
        await old.crash()
        world.store.remove("servers", old.id)
    else:
        world.list_runner(old, state="draining")
    results = await listed(world, instance, "j1", len(ITEMS))
    await assert_whole(world, results)
    assert {run.resumed_after for run in new.runs[: len(ITEMS)]} == {0}


# Guards against items that go on at another version after they gave way to online
# requests.
async def test_an_item_that_gave_way_goes_on_at_its_software_version(
    world: World,
) -> None:
    old = await add_runner(world, "v1", slots=4)
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ITEMS)
    await until(lambda: sum(run.sent > 10 for run in old.runs) >= len(ITEMS))
    new = await add_runner(world, NEW_VERSION, slots=4)
    await world.ready()
    for state in instance.keeper.held_by_id["j1"].running():
        state.cancel()
    results = await listed(world, instance, "j1", len(ITEMS))
    await assert_whole(world, results)
    assert any(run.resumed_after for run in old.runs)
    assert not any(run.resumed_after for run in new.runs)


# Guards against items that go on at another version at an instance that takes their job
# over, or that has just started and reads their progress from the store.
@pytest.mark.parametrize("taken_over_by", ["peer", "fresh"])
async def test_an_item_that_another_instance_takes_over_stays_at_its_software_version(
    world: World, taken_over_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("caperridge.gateway.jobs.keeper.PROGRESS_INTERVAL_S", 0.1)
    old = await add_runner(world, "v1")
    first = await world.add_instance()
    if taken_over_by == "peer":
        await world.add_instance()
    await world.ready()
    await world.submit(first, "j1", ITEMS)
    held = first.keeper.held_by_id
    await until(lambda: "j1" in held)
    states = held["j1"].states
    await until(lambda: all(state.stored_event > 5 for state in states))
    await world.kill(first)
    new = await add_runner(world, NEW_VERSION)
    if taken_over_by == "fresh":
        await world.add_instance()
        await world.ready()
    results = await listed(world, world.instances[0], "j1", len(ITEMS))
    await assert_whole(world, results)
    assert not any(run.resumed_after for run in new.runs)
    assert any(run.resumed_after for run in old.runs)


# Guards against progress of an earlier release, which does not name a version.
def test_progress_of_unknown_software_version_is_not_continued() -> None:
    fields = ItemProgress(3, b"a\nb\nc", 1, "model", "v1").to_map()
    del fields["service"], fields["software_version"]
    earlier = from_bytes(ItemProgress, pack(fields))
    assert (earlier.event, earlier.failures) == (3, 1)
    assert not earlier.goes_on_at(StreamOrigin("model", "v1"))
    later = ItemProgress(3, b"a\nb\nc", 1, "model", "v1")
    assert from_bytes(ItemProgress, to_bytes(later)).goes_on_at(
        StreamOrigin("model", "v1")
    )


# Guards against output that is dropped although the slot could go to another item.
async def test_a_slot_goes_first_to_an_item_that_need_not_start_over(
    world: World,
) -> None:
    await add_runner(world, "v1", slots=2)
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ITEMS)
    held = instance.keeper.held_by_id
    await until(lambda: "j1" in held and len(held["j1"].running()) == 2)
    begun = held["j1"].running()
    await until(lambda: all(state.progress.event > 10 for state in begun))
    target = instance.fleet.targets.find_by_name("i-0")
    other = target.replace(id="i-1", name="i-1", software_version=NEW_VERSION)
    instance.fleet.targets.put(other)
    for state in begun:
        state.cancel()
    await until(lambda: not any(state.target for state in begun))
    now = asyncio.get_running_loop().time()
    started = []
    instance.keeper._slots._runs.start = lambda ranked, route, target: started.append(
        (ranked.state, target.software_version)
    )
    assert instance.keeper._slots.start_item(held.values(), other, now)
    assert started[0][0] not in begun


# Guards against items that never finish: each slot granted to them was declined while a
# target of their version had a free one, and the granter granted the same slot again.
async def test_an_item_starts_over_rather_than_decline_its_slot(world: World) -> None:
    await add_runner(world, "v1", slots=4)
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    held = instance.keeper.held_by_id
    await until(lambda: "j1" in held and held["j1"].states[0].progress.event > 10)
    target = instance.fleet.targets.find_by_name("i-0")
    other = target.replace(id="i-1", name="i-1", software_version=NEW_VERSION)
    instance.fleet.targets.put(other)
    (state,) = held["j1"].states
    instance.granting.request_and_grant = lambda jobs, now: None
    state.cancel()
    await until(lambda: not state.target)
    now = asyncio.get_running_loop().time()
    assert instance.keeper._slots.start_item(held.values(), other, now)
    assert state.target == "i-1"
    assert state.progress.event == 0
