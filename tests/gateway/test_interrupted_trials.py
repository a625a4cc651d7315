"""A trial that ends before its target has answered says nothing about its request."""

import asyncio

import pytest

from caperridge.gateway.interrupted_trials import SURVIVAL_S
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import Answer, World, until
from gateway.test_requests_that_end_targets import (
    CRASH_THRESHOLD,
    FATAL,
    TRIAL_DELAYS_S,
    all_know,
    busy,
    crash_count,
    fleet,
    repeat,
    stored_suspects,
)

__all__ = ["fleet"]

PATH = "/once/1"


async def start_trial(
    fleet: World, instance: GatewayInstance, id: str
) -> "asyncio.Task[Answer]":
    """Send the quarantined request until it is admitted; return the running call."""
    while True:
        asking = asyncio.ensure_future(fleet.ask(instance, PATH, id, FATAL))
        await until(lambda one=asking: busy(fleet) or one.done())
        if not asking.done():
            return asking
        assert asking.result().status == 503
        await asyncio.sleep(0.05)


async def leave(fleet: World, asking: "asyncio.Task[Answer]") -> None:
    """Have the caller of a trial leave, and wait until its run has ended."""
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    await until(lambda: not busy(fleet))


def heal(fleet: World) -> None:
    """Have targets survive the request; they answer only when they are released."""
    for runner in fleet.runners:
        runner.fatal = lambda run: False
        runner.hold_head = True


# Guards against a sound request that is held for good, as callers left its trials.
@pytest.mark.parametrize("cuts", [1, 3])
async def test_a_request_whose_trials_are_left_by_their_callers_is_served(
    fleet: World, ahead: list[float], cuts: int
) -> None:
    await repeat(fleet, PATH)
    heal(fleet)
    ahead.append(TRIAL_DELAYS_S[1])
    for number in range(cuts):
        await leave(fleet, await start_trial(fleet, fleet.instances[0], f"t{number}"))
    asking = await start_trial(fleet, fleet.instances[0], "last")
    for runner in fleet.runners:
        runner.hold_head = False
    answer = await asking
    assert (answer.status, answer.whole) == (200, True)
    assert crash_count(fleet) == CRASH_THRESHOLD
    await until(lambda: stored_suspects(fleet) == 0)


# Guards against a delay of the next trial that other instances still apply.
async def test_a_trial_that_is_given_back_outlasts_its_instance(
    fleet: World, ahead: list[float]
) -> None:
    await repeat(fleet, PATH)
    heal(fleet)
    ahead.append(TRIAL_DELAYS_S[1])
    first = fleet.instances[0]
    await leave(fleet, await start_trial(fleet, first, "left"))
    (suspect,) = first.guard.quarantine.quarantined()
    others = [one.guard.quarantine for one in fleet.instances[1:]]
    await until(
        lambda: all(one.by_content[suspect.content].hold.given_back for one in others)
    )
    await fleet.kill(first)
    asking = await start_trial(fleet, fleet.instances[0], "next")
    for runner in fleet.runners:
        runner.hold_head = False
    assert (await asking).status == 200


# Guards against a fatal request that crashes one target after the other.
async def test_a_trial_that_is_left_and_crashes_its_target_is_used_up(
    fleet: World, ahead: list[float]
) -> None:
    await repeat(fleet, PATH)
    for runner in fleet.runners:
        runner.fatal_after_disconnect = True
    ahead.append(TRIAL_DELAYS_S[1])
    asking = await start_trial(fleet, fleet.instances[0], "left")
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    await until(lambda: crash_count(fleet) == CRASH_THRESHOLD + 1)
    await all_know(fleet)
    await fleet.replace_crashed()
    await asyncio.sleep(2 * SURVIVAL_S)
    answers = await repeat(fleet, PATH, first=100)
    assert {answer.status for answer in answers} == {503}
    assert crash_count(fleet) == CRASH_THRESHOLD + 1
