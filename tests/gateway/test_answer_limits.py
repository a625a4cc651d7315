"""Deadlines of answers, and a stop that caps them."""

import asyncio
import math

import pytest

from caperridge.gateway.answer_limits import AnswerLimits


async def test_each_answer_has_its_own_time() -> None:
    limits = AnswerLimits()
    loop = asyncio.get_running_loop()
    async with limits.within():
        with pytest.raises(TimeoutError):
            async with limits.within(loop.time()):
                await asyncio.Event().wait()


@pytest.mark.parametrize("own_s", [60.0, math.inf])
async def test_a_stop_ends_what_runs_and_what_comes(own_s: float) -> None:
    limits = AnswerLimits()
    loop = asyncio.get_running_loop()
    loop.call_soon(limits.cap, loop.time())
    for _ in range(2):
        with pytest.raises(TimeoutError):
            async with limits.within(loop.time() + own_s):
                await asyncio.Event().wait()


async def test_a_stop_lengthens_nothing() -> None:
    limits = AnswerLimits()
    loop = asyncio.get_running_loop()
    loop.call_soon(limits.cap, loop.time() + 60.0)
    with pytest.raises(TimeoutError):
        async with limits.within(loop.time() + 0.01):
            await asyncio.Event().wait()


async def test_a_stop_may_come_in_the_turn_in_which_a_time_is_over() -> None:
    """``asyncio.Timeout`` raises if an expired deadline is rescheduled."""
    limits = AnswerLimits()
    loop = asyncio.get_running_loop()
    outcomes: list[BaseException | None] = []

    def cap_limits() -> None:
        try:
            limits.cap(loop.time() - 60.0)
        except RuntimeError as error:
            outcomes.append(error)
        else:
            outcomes.append(None)

    with pytest.raises(TimeoutError):
        async with limits.within(loop.time()):
            loop.call_soon(cap_limits)
            await asyncio.Event().wait()
    assert outcomes == [None]
