"""Targets that restart under their id and address with another software version."""

import asyncio
from typing import Any

import pytest

from caperridge.gateway.jobs.item_runs import ItemRuns, Renewal
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import Answer, World, until
from gateway.runner_standin import RunnerStandin
from gateway.test_jobs import listed

NEW_VERSION = "v2"
BORN_MS = 1_790_000_000_000
RESTARTED_MS = BORN_MS + 5_000


class Town:
    """Two targets of one version, both with the time of their start, and instances.

    Attributes:
        restarting: the target that tests restart.
        other: of the version that ``restarting`` has first.
    """

    def __init__(
        self, world: World, restarting: RunnerStandin, other: RunnerStandin
    ) -> None:
        self.world = world
        self.restarting = restarting
        self.other = other
        self.instance = world.instances[0]

    def restart(self) -> None:
        """Restart the target; its entry still tells of the incarnation before."""
        self.restarting.restart(NEW_VERSION, RESTARTED_MS)

    def list_restarted(self) -> None:
        """Write the entry of the later incarnation."""
        self.world.list_runner(self.restarting, born=RESTARTED_MS)

    async def begin(self, id: str = "r1") -> Answer:
        """Have the restarting target answer a request, or its beginning."""
        self.other.refuse = True
        asking = asyncio.ensure_future(self.world.ask(self.instance, "/ask/1", id))
        await until(lambda: any(run.id == id for run in self.restarting.runs))
        self.other.refuse = False
        return await asking

    async def take_up(self, instance: GatewayInstance, stream: str) -> Answer:
        """Take up a stream after its second event."""
        head = {"Last_Event_Id": "2", "Resumes": stream}
        return await self.world.ask(instance, "/ask/1", f"{stream}-again", **head)

    def is_of_one_version(self, id: str, data: list[str]) -> bool:
        """Whether events are the beginning of what one version writes."""
        suffixes = {text.removeprefix(f"{id}-")[1:] for text in data}
        return len(suffixes) <= 1


@pytest.fixture
async def town(world: World) -> Town:
    targets = [await world.add_runner(slots=20) for _ in range(2)]
    for target in targets:
        target.born = BORN_MS
        world.list_runner(target, born=BORN_MS)
    for _ in range(2):
        await world.add_instance()
    await world.ready()
    for instance in world.instances:
        await until(
            lambda one=instance: all("@" in id for id in one.fleet.targets.by_id)
        )
    return Town(world, *targets)


# Guards against a run of a restarted target that is credited to the version of the
# entry before: the target breaks off, and the stream goes on at that version.
async def test_a_stream_of_a_restarted_target_is_not_continued_at_the_version_before(
    town: Town,
) -> None:
    town.restart()
    town.restarting.break_after = 2
    answer = await town.begin()
    assert answer.data[:2] == [f"r1-1{NEW_VERSION}", f"r1-2{NEW_VERSION}"]
    assert town.is_of_one_version("r1", answer.data)
    assert not answer.whole
    assert not town.other.runs


# Guards against a run of a restarted target that is ended, and continued at the version
# before, when the entry that tells of its start comes.
async def test_a_stream_of_a_restarted_target_goes_on_when_its_entry_comes(
    town: Town,
) -> None:
    town.restart()
    town.restarting.pause_s = 0.1
    asking = asyncio.ensure_future(town.begin())
    await until(lambda: any(run.sent >= 2 for run in town.restarting.runs))
    town.list_restarted()
    answer = await asking
    assert answer.whole
    assert answer.data == town.restarting.text("r1")


# Guards against a stream of a restarted target that its caller takes up elsewhere, at
# the version of the entry before; also after the later entry has come.
@pytest.mark.parametrize("listed", [False, True])
async def test_a_stream_of_a_restarted_target_is_not_taken_up_at_the_version_before(
    town: Town, listed: bool
) -> None:
    town.restart()
    assert (await town.begin()).data[0] == f"r1-1{NEW_VERSION}"
    if listed:
        town.list_restarted()
        for instance in town.world.instances:
            targets = instance.fleet.targets
            await until(
                lambda one=targets: one.find_by_name(town.restarting.id).id.endswith(
                    str(RESTARTED_MS)
                )
            )
    for instance in town.world.instances:
        answer = await town.take_up(instance, "r1")
        assert answer.status == 503
    assert not town.other.runs


# Guards against a stream that goes on at a target which has restarted as another
# version since it was listed.
async def test_a_stream_does_not_go_on_at_a_restarted_target(town: Town) -> None:
    town.other.break_after = 2
    town.restart()
    town.restarting.refuse = True
    asking = asyncio.ensure_future(town.world.ask(town.instance, "/ask/1", "r1"))
    await until(lambda: town.other.runs)
    town.restarting.refuse = False
    answer = await asking
    assert answer.data[:2] == ["r1-1", "r1-2"]
    assert town.is_of_one_version("r1", answer.data)


# Guards against streams that are given up although their target has not restarted, has
# crashed, or has restarted as the same version.
@pytest.mark.parametrize("how", ["breaks off", "crashes", "restarts"])
async def test_a_stream_goes_on_where_its_version_is_certain(
    town: Town, how: str
) -> None:
    town.restarting.pause_s = 0.05
    if how == "breaks off":
        town.restarting.break_after = 2
    if how == "crashes":
        town.restarting.fatal = lambda run: True
        town.restarting.fatal_after = 2
    asking = asyncio.ensure_future(town.begin())
    if how == "restarts":
        await until(lambda: any(run.sent >= 2 for run in town.restarting.runs))
        # The machine lost power: the run's connection stays open.
        town.restarting.born = RESTARTED_MS
        town.list_restarted()
    answer = await asking
    assert answer.whole
    assert answer.data == town.other.text("r1")


# Guards against targets that are asked for their start where ids are not used again.
async def test_targets_with_a_new_id_at_each_start_are_not_asked(world: World) -> None:
    breaking = await world.add_runner(slots=20)
    other = await world.add_runner(slots=20)
    instance = await world.add_instance()
    await world.ready()
    breaking.break_after = other.break_after = 2
    instance.orphan_scan._scan_until = 0.0
    before = breaking.reports + other.reports
    answer = await world.ask(instance, "/ask/1", "r1")
    assert len(answer.data) > 2
    assert breaking.reports + other.reports == before


async def start_item(town: Town) -> None:
    """Have the restarting target begin an item, and write some of its output."""
    for runner in town.world.runners:
        runner.events = 40
    town.other.refuse = True
    await town.world.submit(town.instance, "j1", ["x1"])
    await until(lambda: any(run.sent >= 5 for run in town.restarting.runs))


async def assert_item_is_of_one_version(town: Town) -> None:
    """Check that the item's output is the whole output of one version."""
    [result] = await listed(town.world, town.instance, "j1", 1)
    texts = [runner.text("x1") for runner in town.world.runners]
    assert result["message"].split("\n") in texts


# Guards against an item that goes on at the version before after a run at a target that
# has restarted as another one.
async def test_an_item_of_a_restarted_target_starts_over_elsewhere(town: Town) -> None:
    town.restart()
    await start_item(town)
    town.other.refuse = False
    town.restarting.break_after = 10
    town.restarting.refuse = True
    [state] = town.instance.keeper.held_by_id["j1"].running()
    state.cancel()
    await assert_item_is_of_one_version(town)
    assert town.other.runs[-1].resumed_after == 0


# Guards against an item that goes on at a target which has restarted as another version
# since it was listed.
async def test_an_item_does_not_go_on_at_a_restarted_target(town: Town) -> None:
    await start_item(town)
    town.restarting.refuse = True
    town.restart()
    await until(lambda: not town.restarting.busy)
    town.restarting.refuse = False
    await assert_item_is_of_one_version(town)


# Guards against an item's output that is dropped although its target has not restarted.
async def test_an_item_goes_on_where_its_version_is_certain(town: Town) -> None:
    await start_item(town)
    town.other.refuse = False
    town.restarting.refuse = True
    [state] = town.instance.keeper.held_by_id["j1"].running()
    state.cancel()
    await assert_item_is_of_one_version(town)
    assert town.other.runs[-1].resumed_after


# Guards against an item that goes on under its next lease at a target which restarted
# while that lease was due.
async def test_an_item_does_not_go_on_under_its_next_lease_at_a_restarted_target(
    town: Town, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("caperridge.gateway.jobs.item_runs.RENEW_AFTER_S", 0.1)
    collect = ItemRuns._collect_output
    restarted = False

    async def restart_at_renewal(*args: Any) -> Any:
        nonlocal restarted
        outcome = await collect(*args)
        if isinstance(outcome, Renewal) and not restarted:
            restarted = True
            town.restart()
            town.other.refuse = False
        return outcome

    monkeypatch.setattr(ItemRuns, "_collect_output", restart_at_renewal)
    await start_item(town)
    await assert_item_is_of_one_version(town)
    assert restarted
