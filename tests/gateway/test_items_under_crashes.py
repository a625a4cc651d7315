"""Items that ran at targets when these crashed: they are owed like all others.

Callers submit no items that crash targets, so a crash says nothing about the items that
it interrupts. No number of crashes may delay their next run, at any instance.
"""

import asyncio

import pytest

from caperridge.decisions.suspects import MAX_CRASHES
from caperridge.gateway import held_rows
from caperridge.gateway.fingerprint import fingerprint_of
from caperridge.gateway.held_rows import HeldRow
from caperridge.gateway.jobs.codec import to_bytes
from caperridge.platform.dialect import PlatformDialect
from gateway.conftest import HOST, World, job_body, until
from gateway.test_jobs import listed
from gateway.test_requests_that_end_targets import (
    CRASH_THRESHOLD,
    all_crashed,
    busy,
    crash_count,
    fleet,
    stored_suspects,
)

__all__ = ["fleet"]

# Far more than the crashes that put an online request in quarantine.
CRASHES = 2 * MAX_CRASHES
# From the moment at which all targets are well.
DONE_WITHIN_S = 5.0


async def crash_under_item(world: World, crashes: int) -> None:
    """Submit a job of one item, have targets crash under it, then replace them."""
    await world.submit(world.instances[0], "job", ["fatal"])
    for number in range(1, crashes + 1):
        await until(lambda many=number: crash_count(world) >= many)
        await world.replace_crashed()
    for runner in world.runners:
        runner.fatal = lambda run: False


# Guards against a sound item that is held for good, as targets crashed while it ran.
@pytest.mark.parametrize("crashes", [CRASH_THRESHOLD, CRASHES])
async def test_an_item_under_which_targets_crashed_is_done_when_they_are_well(
    fleet: World, crashes: int
) -> None:
    await crash_under_item(fleet, crashes)
    async with asyncio.timeout(DONE_WITHIN_S):
        results = await listed(fleet, fleet.instances[1], "job", 1)
    assert [one["state"] for one in results] == ["completed"]
    assert not any(one.guard.has_suspects for one in fleet.instances)
    assert stored_suspects(fleet) == 0


# Guards against a crash that costs the last run an item gets: the target of a trial may
# crash anyway.
async def test_an_item_whose_next_target_crashes_as_well_goes_on_elsewhere(
    fleet: World,
) -> None:
    await crash_under_item(fleet, CRASH_THRESHOLD)
    for runner in fleet.runners:
        runner.pause_s = 0.2
    await until(lambda: busy(fleet))
    await next(one for one in fleet.runners if one.busy).crash()
    async with asyncio.timeout(DONE_WITHIN_S):
        results = await listed(fleet, fleet.instances[1], "job", 1)
    assert [one["state"] for one in results] == ["completed"]


# Guards against an item that its next holder keeps back for crashes it did not see.
async def test_an_item_under_which_targets_crashed_is_done_by_another_holder(
    fleet: World,
) -> None:
    await crash_under_item(fleet, CRASH_THRESHOLD)
    await fleet.kill(fleet.instances[0])
    results = await listed(fleet, fleet.instances[0], "job", 1)
    assert [one["state"] for one in results] == ["completed"]


# Guards against items kept back by what an earlier release stored about them.
async def test_a_stored_hold_of_an_item_does_not_delay_it(fleet: World) -> None:
    (item,) = job_body(["held"])["requests"]
    headers = [("Host", HOST), *item["headers"].items()]
    changing = PlatformDialect().per_attempt_headers
    fingerprint = fingerprint_of(
        "POST", HOST, item["path"], b"body of held", headers, changing
    )
    holder = fleet.instances[0]
    now = holder.clock.now()
    ends = [[f"t-{n}", fingerprint.caller, 0.1, 0, now, "e-9"] for n in range(3)]
    row = HeldRow(ends, [], now, 4, now + 3600.0)
    fleet.store.put_bytes(held_rows.TABLE, fingerprint.content, to_bytes(row))
    await until(lambda: holder.guard.is_quarantined(fingerprint))
    await fleet.submit(holder, "job", ["held"])
    async with asyncio.timeout(DONE_WITHIN_S):
        results = await listed(fleet, holder, "job", 1)
    assert [one["state"] for one in results] == ["completed"]


# Guards against requests that peers still send to a target that crashed under an item.
async def test_peers_stop_using_a_target_that_crashed_under_an_item(
    fleet: World,
) -> None:
    await fleet.submit(fleet.instances[0], "job", ["fatal"])
    await until(lambda: crash_count(fleet) >= CRASH_THRESHOLD)
    crashed = {one.id for one in all_crashed(fleet)}
    for instance in fleet.instances:
        await until(lambda one=instance: crashed <= one.fleet.unreachable.keys())
