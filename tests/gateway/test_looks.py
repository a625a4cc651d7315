"""Looking at what could start, which nearly all news leaves as it was.

Seen on a deployment of 63 instances: an instance that held jobs looked 80 times a
second at what its items could start, which was 16 % of its time, though some twenty
items a second started in the whole fleet.

Each count that was heard from any peer, also of a request that began, woke the look,
and changes were gathered for 1 ms only, so that each had a look of its own. A profile
and a count of looks told it.
"""

import asyncio

import pytest

from caperridge.gateway.jobs import keeper
from caperridge.gateway.mesh.messages import Counts
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import World, until

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
    await until(lambda: instance.keeper.held())
    looks = Looks(instance)
    loop = asyncio.get_running_loop()
    began = loop.time()
    for change in range(CHANGES):
        _tell_online(instance, runner.id, SLOTS + change % 2)
        await asyncio.sleep(CHANGE_S)
    took_s = loop.time() - began
    assert 0 < looks.count <= took_s / LONGEST_LOOKS_S + OTHER_LOOKS


async def test_an_item_gives_way_at_once_also_right_after_a_look(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    runner = await world.add_runner(slots=SLOTS)
    runner.silent_after = 2
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: runner.busy == 1)
    monkeypatch.setattr(keeper, "LOOK_S", NEVER_S, raising=False)
    monkeypatch.setattr(keeper, "CHECK_S", NEVER_S)
    looks = Looks(instance)
    instance.keeper.poke()
    await until(lambda: looks.count > 0)
    _tell_online(instance, runner.id, SLOTS)
    await until(lambda: runner.runs[0].cut, within_s=1.0)


def _tell_online(instance: GatewayInstance, target: str, online: int) -> None:
    """Have the instance hear of online requests that others have at ``target``."""
    instance.news._counts("others", Counts([[target, online, 0, 0.0]]))
