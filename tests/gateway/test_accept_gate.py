"""New connections at an instance to which more come than it can serve."""

import asyncio
from collections.abc import Callable

import aiohttp
import pytest

from caperridge.gateway import accept_gate
from caperridge.gateway.accept_gate import ADMIT_EVERY, MIN_RUNNING, AcceptGate
from gateway.conftest import HOST, World
from loop_clock import LoopClock

LATE_S = 0.25
TICKS = 10
# What is sent on loopback arrives within these iterations of the event loop.
TURNS = 40


def observed(running: int, delays_s: list[float]) -> AcceptGate:
    gate = AcceptGate(lambda: running)
    for delay_s in delays_s:
        gate.observe(delay_s)
    return gate


@pytest.mark.parametrize(
    ("running", "delays_s", "overloaded"),
    [
        (MIN_RUNNING, [LATE_S] * TICKS, True),
        (MIN_RUNNING - 1, [LATE_S] * TICKS, False),
        (MIN_RUNNING, [LATE_S], False),
        (MIN_RUNNING, [LATE_S] * TICKS + [0.0] * TICKS, False),
        (MIN_RUNNING, [5.0] + [0.0] * TICKS, False),
    ],
    ids=["crowd", "few requests", "late once", "crowd is over", "after a suspension"],
)
async def test_only_many_requests_in_a_late_loop_are_overload(
    running: int, delays_s: list[float], overloaded: bool
) -> None:
    assert observed(running, delays_s).is_overloaded == overloaded


async def test_some_connections_are_served_in_overload() -> None:
    gate = observed(MIN_RUNNING, [LATE_S] * TICKS)
    served = [gate.admit() for _ in range(ADMIT_EVERY * 3)]
    assert served.count(True) == 3


async def _is_served(world: World, id: str, clock: LoopClock) -> bool:
    """Ask on a new connection; False if it is closed without an answer."""
    asking = asyncio.ensure_future(world.ask(world.instances[0], "/once/1", id))
    await clock.ahead_until(asking.done)
    try:
        return (await asking).whole
    except aiohttp.ClientError:
        return False


@pytest.fixture
def overload(monkeypatch: pytest.MonkeyPatch) -> Callable[[bool], None]:
    """Return a function that makes every instance overloaded, or not."""

    def overload(overloaded: bool) -> None:
        monkeypatch.setattr(accept_gate, "MIN_RUNNING", 0)
        delay_s = -1.0 if overloaded else accept_gate.MAX_OBSERVED_S
        monkeypatch.setattr(accept_gate, "MAX_LOOP_DELAY_S", delay_s)

    return overload


async def test_a_new_connection_is_closed_unread_and_a_kept_one_is_served(
    world: World, overload: Callable[[bool], None]
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    clock = LoopClock(still=True, turns=TURNS)
    url = f"http://{instance.settings.callers}/once/1"

    async def ask_again(session: aiohttp.ClientSession, id: str) -> int:
        head = {"Host": HOST, "X-Request-Id": id}
        async with session.post(url, headers=head) as response:
            await response.read()
            return response.status

    async with aiohttp.ClientSession() as session:
        for id, overloaded in (("k1", False), ("k2", True)):
            overload(overloaded)
            asking = asyncio.ensure_future(ask_again(session, id))
            await clock.ahead_until(asking.done)
            assert await asking == 200
    ids = [f"r{number}" for number in range(ADMIT_EVERY)]
    served = [await _is_served(world, id, clock) for id in ids]
    assert served == [False] * (ADMIT_EVERY - 1) + [True]
    overload(False)
    assert await _is_served(world, "last", clock)
    assert [run.id for run in runner.runs] == ["k1", "k2", ids[-1], "last"]
