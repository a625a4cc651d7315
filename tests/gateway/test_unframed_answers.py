"""Answers of targets with neither a length nor chunks, ended by their connection."""

import asyncio

import pytest
import pytest_asyncio

from gateway.conftest import World, until
from gateway.runner_standin import RunnerStandin
from gateway.test_jobs import listed

BROKEN_AFTER = 2
# How an answer breaks off: the bytes of the next event before it, and by a reset.
BREAKS = {
    "ended inside an event": (b"id: 3\ndata: part", False),
    "reset inside an event": (b"id: 3\ndata: part", True),
    "reset between events": (b"", True),
}


def break_off(runner: RunnerStandin, sent: bytes, resets: bool) -> None:
    """Have a runner break off its answers after some events."""
    runner.break_after = BROKEN_AFTER
    runner.break_bytes = sent
    runner.break_resets = resets


@pytest_asyncio.fixture
async def unframed(world: World) -> RunnerStandin:
    """A runner whose answers are unframed, listed before an instance is ready."""
    runner = await world.add_runner()
    runner.unframed = True
    await world.add_instance()
    await world.ready()
    return runner


@pytest.mark.parametrize("path", ["/ask/1", "/once/1"])
async def test_a_stream_that_ends_with_its_connection_is_complete(
    world: World, unframed: RunnerStandin, path: str
) -> None:
    answer = await world.ask(world.instances[0], path, "r1")
    assert (answer.status, answer.whole) == (200, True)
    assert answer.data == unframed.text("r1")
    assert len(unframed.runs) == 1


async def test_an_answer_in_one_piece_that_ends_with_its_connection_is_complete(
    world: World, unframed: RunnerStandin
) -> None:
    unframed.status = 500
    answer = await world.ask(world.instances[0], "/once/1", "r1")
    assert (answer.status, answer.body) == (500, b"failed")
    assert answer.headers["X-Response-Stamp"] == "stamp-i-0-r1"


async def test_an_answer_in_one_piece_that_is_reset_is_not_passed_on(
    world: World, unframed: RunnerStandin
) -> None:
    unframed.status = 500
    unframed.break_after = 0
    answer = await world.ask(world.instances[0], "/once/1", "r1")
    assert answer.status == 502
    assert "X-Response-Stamp" not in answer.headers


@pytest.mark.parametrize("framed", [False, True], ids=["unframed", "framed"])
@pytest.mark.parametrize("how", BREAKS.values(), ids=BREAKS)
async def test_a_stream_that_breaks_off_goes_on_after_the_last_whole_event(
    world: World, unframed: RunnerStandin, how: tuple[bytes, bool], framed: bool
) -> None:
    unframed.unframed = not framed
    break_off(unframed, *how)
    second = await world.add_runner(zone="b")
    second.unframed = True
    await world.ready()
    answer = await world.ask(world.instances[0], "/ask/1", "r1")
    assert (answer.data, answer.whole) == (unframed.text("r1"), True)
    assert [run.resumed_after for run in unframed.runs] == [0]
    assert [run.resumed_after for run in second.runs] == [BROKEN_AFTER]


@pytest.mark.parametrize("how", BREAKS.values(), ids=BREAKS)
async def test_a_stream_that_may_not_be_repeated_never_looks_complete(
    world: World, unframed: RunnerStandin, how: tuple[bytes, bool]
) -> None:
    break_off(unframed, *how)
    answer = await world.ask(world.instances[0], "/once/1", "r1")
    assert (answer.status, answer.whole) == (200, False)
    assert answer.data == unframed.text("r1")[:BROKEN_AFTER]
    assert len(unframed.runs) == 1


@pytest.mark.parametrize("how", BREAKS.values(), ids=BREAKS)
async def test_an_item_whose_answer_breaks_off_is_done_whole(
    world: World, unframed: RunnerStandin, how: tuple[bytes, bool]
) -> None:
    break_off(unframed, *how)
    instance = world.instances[0]
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    await until(lambda: len(unframed.runs) > 1)
    unframed.break_after = None
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(unframed.text("x1"))


async def test_a_stream_that_ends_before_its_first_event_is_not_complete(
    world: World, unframed: RunnerStandin
) -> None:
    break_off(unframed, b"", resets=False)
    unframed.break_after = 0
    answer = await world.ask(world.instances[0], "/once/1", "r1")
    assert answer.status == 502
    second = await world.add_runner(zone="b")
    await world.ready()
    answer = await world.ask(world.instances[0], "/ask/1", "r2")
    assert answer.data == second.text("r2")


async def crash_between_events(world: World, runner: RunnerStandin) -> None:
    """Have a runner crash under its next run; another one is in use then."""
    second = await world.add_runner(zone="b")
    second.unframed = True
    await world.ready()
    runner.fatal = lambda run: True
    runner.fatal_after = BROKEN_AFTER


async def test_a_stream_whose_target_crashes_between_events_goes_on_elsewhere(
    world: World, unframed: RunnerStandin
) -> None:
    """The system closes the connections of a process that crashes in good order."""
    await crash_between_events(world, unframed)
    answer = await world.ask(world.instances[0], "/ask/1", "r1")
    assert (answer.data, answer.whole) == (unframed.text("r1"), True)
    assert [run.resumed_after for run in world.runners[1].runs] == [BROKEN_AFTER]


async def test_a_stream_that_ends_in_a_crash_of_its_target_does_not_look_complete(
    world: World, unframed: RunnerStandin
) -> None:
    await crash_between_events(world, unframed)
    answer = await world.ask(world.instances[0], "/once/1", "r1")
    assert (answer.status, answer.whole) == (200, False)
    assert world.runners[1].runs == []


async def test_an_item_whose_target_crashes_between_events_is_done_whole(
    world: World, unframed: RunnerStandin
) -> None:
    await crash_between_events(world, unframed)
    instance = world.instances[0]
    assert (await world.submit(instance, "j1", ["x1"])).status == 202
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(unframed.text("x1"))


async def test_a_draining_target_that_has_closed_its_door_completes_its_answers(
    world: World, unframed: RunnerStandin
) -> None:
    instance = world.instances[0]
    asking = asyncio.ensure_future(world.ask(instance, "/once/slow", "r1"))
    await until(lambda: unframed.runs and unframed.runs[0].sent)
    world.list_runner(unframed, state="draining")
    await until(lambda: instance.fleet.targets.by_id["i-0"].draining)
    await unframed.stop_listening()
    answer = await asking
    assert (answer.data, answer.whole) == (unframed.text("r1"), True)
