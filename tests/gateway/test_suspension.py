"""Instances on a suspended machine: time passes that the monotonic clock misses.

The tests advance the event loop's clock at once but not the monotonic one, as on a
resume. Targets and the store are given the same time.
"""

import asyncio
import time

import orjson
import pytest

from caperridge import elapsed
from caperridge.gateway import process
from caperridge.platform import serve
from gateway.conftest import World, until
from gateway.test_jobs import listed
from loop_clock import LoopClock

SPANS_S = [0.35, 2.0, 5.0, 10.0]
ITEMS = ["i1", "i2", "i3", "i4"]


class Suspension:
    """Suspends everything that runs on the event loop."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.clock = LoopClock()

    async def of(self, seconds: float) -> None:
        """Suspend for ``seconds``; the clock of the store continues."""
        self._world.store.ahead_s += seconds
        await self.clock.pause(seconds)


@pytest.fixture
async def suspension(world: World) -> Suspension:
    """Two instances and two targets, with the means to suspend them."""
    made = Suspension(world)
    for _ in range(2):
        await world.add_runner()
    for _ in range(2):
        await world.add_instance()
    await world.ready()
    return made


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict]:
    """Warnings that instances log."""
    warnings: list[dict] = []
    monkeypatch.setattr(
        process.log,
        "warning",
        lambda message, **fields: warnings.append({"message": message} | fields),
    )
    return warnings


def runs_by_id(world: World) -> dict[str, int]:
    """Return how often each request was started, by id."""
    runs: dict[str, int] = {}
    for runner in world.runners:
        for run in runner.runs:
            runs[run.id] = runs.get(run.id, 0) + 1
    return runs


async def test_the_loop_of_an_instance_counts_suspensions() -> None:
    loop = elapsed.InstanceLoop()
    try:
        assert abs(loop.time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 1.0
    finally:
        loop.close()
    assert serve.elapsed.run is elapsed.run


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_one_line_tells_how_long_an_instance_was_suspended(
    world: World, suspension: Suspension, lines: list[dict], seconds: float
) -> None:
    await suspension.of(seconds)
    warnings = lambda: [  # noqa: E731
        one for one in lines if one["message"] == "instance stood still"
    ]
    await until(lambda: len(warnings()) == 2)
    assert all(abs(one["suspended_s"] - seconds) < 0.2 for one in warnings())


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_the_store_s_clock_is_right_on_waking(
    world: World, suspension: Suspension, seconds: float
) -> None:
    """Retention and due times of jobs and trials of requests depend on this clock."""
    (instance, _) = world.instances
    before = instance.clock.now()
    await suspension.of(seconds)
    assert abs(instance.clock.now() - before - seconds) < 0.3


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_a_job_goes_on_and_lists_each_item_once(
    world: World, suspension: Suspension, seconds: float
) -> None:
    for runner in world.runners:
        runner.pause_s = 0.1
    await world.submit(world.instances[0], "job", ITEMS)
    await until(lambda: sum(runner.busy for runner in world.runners) == len(ITEMS))
    await suspension.of(seconds)
    await until(lambda: _listed_at(world, "job") == len(ITEMS))
    answers = [await world.results(one, "job") for one in world.instances]
    first, second = (orjson.loads(answer.body)["results"] for answer in answers)
    assert first == second
    assert sorted(result["id"] for result in first) == ITEMS
    assert {result["state"] for result in first} == {"completed"}


def _listed_at(world: World, job: str) -> int:
    return max(one.keeper.listed_by_id.get(job, 0) for one in world.instances)


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_a_request_that_may_not_be_repeated_runs_once(
    world: World, suspension: Suspension, seconds: float
) -> None:
    for runner in world.runners:
        runner.hold_head = True
    asking = [
        asyncio.ensure_future(world.ask(instance, f"/once/{n}", f"r{n}"))
        for n, instance in enumerate(world.instances * 3)
    ]
    await until(lambda: len(runs_by_id(world)) == len(asking))
    await suspension.of(seconds)
    for runner in world.runners:
        runner.hold_head = False
    answers = await asyncio.gather(*asking)
    assert set(runs_by_id(world).values()) == {1}
    # Callers wait for 5 s. After that they get a time-out, not "not run".
    expected = {200} if seconds < 5 else {200, 504}
    assert {answer.status for answer in answers} <= expected


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_no_target_is_given_more_time_than_its_caller_has(
    world: World, suspension: Suspension, seconds: float
) -> None:
    """A stream that moves after a resume gets its caller's remaining time."""
    first, second = world.runners
    for runner in (first, second):
        runner.silent_after = 2
    asking = asyncio.ensure_future(world.ask(world.instances[0], "/ask/1", "r1"))
    await until(lambda: any(run.silent for one in world.runners for run in one.runs))
    for runner in (first, second):
        runner.silent_after = None
    await suspension.of(seconds)
    answer = await asking
    runs = [run for one in world.runners for run in one.runs]
    assert answer.status == 200
    for run in [one for one in runs if one.resumed_after]:
        assert int(run.headers["X-Deadline-Ms"]) <= 5000 - seconds * 1000 + 100
    if seconds >= 5:
        assert not answer.whole
        assert len(runs) == 1


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_peers_are_not_lost_and_instances_are_ready_on_waking(
    world: World, suspension: Suspension, seconds: float
) -> None:
    lost: list[str] = []
    for instance in world.instances:
        instance.mesh.on_lost(lambda member: lost.append(member.id))
    await suspension.of(seconds)
    assert all(instance.ready for instance in world.instances)
    for number, instance in enumerate(world.instances):
        answer = await world.ask(instance, "/once/1", f"r{number}")
        assert (answer.status, answer.whole) == (200, True)
    assert lost == []


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_the_limit_of_a_route_holds(
    world: World, suspension: Suspension, seconds: float
) -> None:
    for runner in world.runners:
        runner.hold_head = True
    tokens = 100
    accepted = 0
    for number in range(6):
        answer = await world.submit(
            world.instances[number % 2], f"a{number}", ["x1", "x2"], tokens
        )
        accepted += answer.status == 202
    await suspension.of(seconds)
    for number in range(6):
        answer = await world.submit(
            world.instances[number % 2], f"b{number}", ["x1", "x2"], tokens
        )
        accepted += answer.status == 202
    # The limit of the route is 1,000 tokens, and each job has 200.
    assert accepted == 5


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_a_stop_ends_within_its_grace_period(
    world: World, suspension: Suspension, seconds: float
) -> None:
    (instance, _) = world.instances
    for runner in world.runners:
        runner.hold_head = True
    asking = asyncio.ensure_future(world.ask(instance, "/once/1", "r1"))
    await until(lambda: runs_by_id(world) == {"r1": 1})
    started_at = asyncio.get_running_loop().time()
    stopping = asyncio.ensure_future(instance.stop(8.0))
    await asyncio.sleep(0.05)
    await suspension.of(seconds)
    await suspension.clock.ahead_until(stopping.done)
    assert asyncio.get_running_loop().time() - started_at < max(8.0, seconds) + 1.0
    answer = (await asyncio.gather(asking, return_exceptions=True))[0]
    assert isinstance(answer, Exception) or answer.status in (502, 504)
    assert runs_by_id(world) == {"r1": 1}


@pytest.mark.parametrize("seconds", SPANS_S)
async def test_a_job_is_finished_though_the_store_was_away_meanwhile(
    world: World, suspension: Suspension, seconds: float
) -> None:
    await world.submit(world.instances[0], "job", ITEMS)
    world.store.refuse = 503
    await until(lambda: not any(one.reachability.reached for one in world.instances))
    await suspension.of(seconds)
    world.store.refuse = None
    await until(lambda: _listed_at(world, "job") == len(ITEMS))
    results = await listed(world, world.instances[1], "job", len(ITEMS))
    assert len(results) == len(ITEMS)
