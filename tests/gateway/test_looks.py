"""Looking at what could start, which nearly all news leaves as it was.

Seen on a deployment of 63 instances: an instance that held jobs looked 80 times a
second at what its items could start, which was 16 % of its time, though some twenty
items a second started in the whole fleet.

Each count that was heard from any peer, also of a request that began, woke the look,
and changes were gathered for 1 ms only, so that each had a look of its own. A profile
and a count of looks told it.
"""

import asyncio
from collections.abc import Callable

import pytest

from caperridge.gateway.jobs import keeper
from caperridge.gateway.mesh.messages import Counts
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import World, until
from gateway.runner_standin import RunnerStandin

SLOTS = 8
CHANGES = 100
CHANGE_S = 0.002
# Looks that other things than counts ask for, such as the look now and then.
OTHER_LOOKS = 4
LONGEST_LOOKS_S = 0.02
# Longer than any test waits.
NEVER_S = 60.0


class Looks:
    """Counts the looks at what could start."""

    def __init__(self, instance: GatewayInstance) -> None:
        self.count = 0
        step = instance.granting.step

        def counted(jobs, now) -> None:
            self.count += 1
            step(jobs, now)

        instance.granting.step = counted


async def test_counts_that_come_in_a_row_are_looked_at_together(world: World) -> None:
    runner = await world.add_runner(slots=SLOTS)
    instance = await world.add_instance()
    await world.ready()
    _tell_online(instance, runner.id, SLOTS)
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: instance.keeper.held_jobs())
    looks = Looks(instance)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for change in range(CHANGES):
        _tell_online(instance, runner.id, SLOTS + change % 2)
        await asyncio.sleep(CHANGE_S)
    took_s = loop.time() - began
    assert 0 < looks.count <= took_s / LONGEST_LOOKS_S + OTHER_LOOKS


@pytest.fixture
def no_more_looks(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return what lets one more look come, and none after it."""

    def stop() -> None:
        monkeypatch.setattr(keeper, "LOOK_S", NEVER_S)
        monkeypatch.setattr(keeper, "ORPHAN_CHECK_INTERVAL_S", NEVER_S)

    return stop


async def test_an_item_gives_way_at_once_also_right_after_a_look(
    world: World, no_more_looks: Callable[[], None]
) -> None:
    runner, instance = await _with_an_item(world, SLOTS)
    no_more_looks()
    await _last_look(instance)
    _tell_online(instance, runner.id, SLOTS)
    await until(lambda: runner.runs[0].cut, within_s=1.0)


async def test_an_item_gives_way_to_an_own_request_without_a_look(
    world: World, no_more_looks: Callable[[], None]
) -> None:
    runner, instance = await _with_an_item(world, 1)
    no_more_looks()
    await _last_look(instance)
    runner.silent_after = None
    answer = await world.ask(instance, "/ask/1", "q1")
    assert answer.data == runner.text("q1")
    await until(lambda: runner.runs[0].cut, within_s=1.0)


async def _with_an_item(
    world: World, slots: int
) -> tuple[RunnerStandin, GatewayInstance]:
    """Return a runner of so many slots and the instance whose item runs there."""
    runner = await world.add_runner(slots=slots)
    runner.silent_after = 2
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: runner.busy == 1)
    return runner, instance


async def _last_look(instance: GatewayInstance) -> None:
    looks = Looks(instance)
    instance.keeper.schedule_check()
    await until(lambda: looks.count > 0)


def _tell_online(instance: GatewayInstance, target: str, online: int) -> None:
    """Have the instance hear of online requests that others have at ``target``."""
    instance.updates._receive_counts("others", Counts([[target, online, 0, 0.0]]))
