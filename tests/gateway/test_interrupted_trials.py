"""A trial of a quarantined item that is ended here says nothing about the item."""

import asyncio

import pytest

from caperridge.gateway.interrupted_trials import SURVIVAL_S
from caperridge.gateway.jobs.held_job import DONE, LISTED, PENDING, RUNNING, ItemState
from gateway.conftest import World, until
from gateway.test_jobs import listed
from gateway.test_requests_that_end_targets import (
    CRASH_THRESHOLD,
    TRIAL_DELAYS_S,
    all_know,
    busy,
    crash_count,
    fleet,
    stored_suspects,
)

__all__ = ["fleet"]


async def held_item(fleet: World) -> ItemState:
    """Submit a job of one item that crashes targets, and wait until it is held."""
    await fleet.submit(fleet.instances[0], "job", ["fatal"])
    for number in range(1, CRASH_THRESHOLD + 1):
        await until(lambda many=number: crash_count(fleet) >= many)
        await all_know(fleet)
        await fleet.replace_crashed()
    await until(
        lambda: all(one.guard.quarantine.quarantined() for one in fleet.instances)
    )
    return fleet.instances[0].keeper.held_by_id["job"].states[0]


def is_running(state: ItemState) -> bool:
    return state.status == RUNNING


@pytest.mark.parametrize("cuts", [1, 3])
async def test_an_item_whose_trials_are_preempted_is_done(
    fleet: World, ahead: list[float], cuts: int
) -> None:
    """Guards against a sound item that is held for good, as its trials were cut."""
    state = await held_item(fleet)
    for runner in fleet.runners:
        runner.fatal = lambda run: False
        runner.pause_s = 0.2
    ahead.append(TRIAL_DELAYS_S[1])
    for _ in range(cuts):
        await until(lambda: is_running(state) and busy(fleet))
        state.cancel()
        await until(lambda: not is_running(state))
    await until(lambda: state.status in (DONE, LISTED))
    assert crash_count(fleet) == CRASH_THRESHOLD
    await until(lambda: stored_suspects(fleet) == 0)


async def test_a_trial_that_is_given_back_outlasts_its_instance(
    fleet: World, ahead: list[float]
) -> None:
    """Guards against a delay of the next trial that other instances still apply."""
    state = await held_item(fleet)
    for runner in fleet.runners:
        runner.fatal = lambda run: False
        runner.pause_s = 0.2
    ahead.append(TRIAL_DELAYS_S[1])
    await until(lambda: is_running(state) and busy(fleet))
    first = fleet.instances[0]
    first.keeper.held_by_id["job"].releasing = True  # it starts no other trial
    state.cancel()
    content = next(iter(first.guard.quarantine.by_content))
    others = [one.guard.quarantine for one in fleet.instances[1:]]
    await until(lambda: all(one.by_content[content].hold.given_back for one in others))
    await fleet.kill(first)
    results = await listed(fleet, fleet.instances[0], "job", 1)
    assert [one["state"] for one in results] == ["completed"]


async def test_a_preempted_trial_that_crashes_its_target_is_used_up(
    fleet: World, ahead: list[float]
) -> None:
    """Guards against a fatal item that crashes one target after the other."""
    state = await held_item(fleet)
    for runner in fleet.runners:
        runner.fatal_after_disconnect = True
    ahead.append(TRIAL_DELAYS_S[1])
    await until(lambda: is_running(state) and busy(fleet))
    state.cancel()
    await until(lambda: crash_count(fleet) == CRASH_THRESHOLD + 1)
    await fleet.replace_crashed()
    await asyncio.sleep(2 * SURVIVAL_S)
    assert crash_count(fleet) == CRASH_THRESHOLD + 1
    assert state.status == PENDING
