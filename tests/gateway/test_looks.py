"""Checks for items that could start, coalesced over many changes of counts.

Guards against a check for each count received from a peer, also for each start of a
request: changes were coalesced over 1 ms only. With 63 instances, one that held jobs
checked 80 times a second, 16 % of its time, though only some twenty items a second
started in the whole fleet.
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
# Checks with other causes than counts, such as the periodic check.
OTHER_CHECKS = 4
MIN_MEAN_INTERVAL_S = 0.02
# Longer than any test waits.
NEVER_S = 60.0


class Checks:
    """Counts the checks for items that could start."""

    def __init__(self, instance: GatewayInstance) -> None:
        self.count = 0
        step = instance.granting.request_and_grant

        def counted(jobs, now) -> None:
            self.count += 1
            step(jobs, now)

        instance.granting.request_and_grant = counted


async def test_counts_that_come_in_a_row_are_looked_at_together(world: World) -> None:
    runner = await world.add_runner(slots=SLOTS)
    instance = await world.add_instance()
    await world.ready()
    _tell_online(instance, runner.id, SLOTS)
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: instance.keeper.held_jobs())
    checks = Checks(instance)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for change in range(CHANGES):
        _tell_online(instance, runner.id, SLOTS + change % 2)
        await asyncio.sleep(CHANGE_S)
    took_s = loop.time() - started_at
    assert 0 < checks.count <= took_s / MIN_MEAN_INTERVAL_S + OTHER_CHECKS


@pytest.fixture
def no_more_checks(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function after which at most one more check runs."""

    def stop() -> None:
        monkeypatch.setattr(keeper, "MIN_CHECK_INTERVAL_S", NEVER_S)
        monkeypatch.setattr(keeper, "ORPHAN_CHECK_INTERVAL_S", NEVER_S)

    return stop


async def test_an_item_gives_way_at_once_also_right_after_a_look(
    world: World, no_more_checks: Callable[[], None]
) -> None:
    runner, instance = await _with_an_item(world, SLOTS)
    no_more_checks()
    await _last_check(instance)
    _tell_online(instance, runner.id, SLOTS)
    await until(lambda: runner.runs[0].cut, within_s=1.0)


async def test_an_item_gives_way_to_an_own_request_without_a_look(
    world: World, no_more_checks: Callable[[], None]
) -> None:
    runner, instance = await _with_an_item(world, 1)
    no_more_checks()
    await _last_check(instance)
    runner.silent_after = None
    answer = await world.ask(instance, "/ask/1", "q1")
    assert answer.data == runner.text("q1")
    await until(lambda: runner.runs[0].cut, within_s=1.0)


async def _with_an_item(
    world: World, slots: int
) -> tuple[RunnerStandin, GatewayInstance]:
    """Return a runner with ``slots`` slots and the instance whose item runs there."""
    runner = await world.add_runner(slots=slots)
    runner.silent_after = 2
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: runner.busy == 1)
    return runner, instance


async def _last_check(instance: GatewayInstance) -> None:
    checks = Checks(instance)
    instance.keeper.schedule_check()
    await until(lambda: checks.count > 0)


def _tell_online(instance: GatewayInstance, target: str, online: int) -> None:
    """Receive a count of online requests of other instances at ``target``."""
    instance.updates._receive_counts("others", Counts([[target, online, 0, 0.0]]))
