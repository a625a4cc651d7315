"""Sound targets that send nothing for a second or so and go on.

Callers abandon a stream after two seconds without an event. Less than that is no loss.
"""

import asyncio

import pytest
import pytest_asyncio

from gateway.conftest import Answer, World
from gateway.runner_standin import RunnerStandin
from gateway.test_jobs import listed
from loop_clock import LoopClock

# Shorter than the callers' patience.
SILENCES_S = [0.5, 1.0, 1.5, 1.8]
SENT = 2
# What is sent on loopback arrives within these iterations of the event loop.
TURNS = 40
# Between two events of an answer that outlasts such a silence.
LONG_PAUSE_S = 0.3
# Longer than an answer, or a short ejection.
AFTER_S = 2.0


class Silences:
    """An instance before runners that fall silent, on a clock that the test moves."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.instance = world.instances[0]
        self.clock = LoopClock(still=True, turns=TURNS)

    async def begin(self, path: str, id: str) -> "asyncio.Future[Answer]":
        """Ask, and return once some runner has sent some events of the answer."""
        asking = asyncio.ensure_future(self.world.ask(self.instance, path, id))
        await self.clock.ahead_until(lambda: self._sent(id) >= SENT)
        return asking

    def _sent(self, id: str) -> int:
        runs = [run for one in self.world.runners for run in one.runs]
        return max((run.sent for run in runs if run.id == id), default=0)

    async def silence(self, runners: list[RunnerStandin], seconds: float) -> None:
        """Have runners send nothing for a while."""
        for runner in runners:
            runner.going.clear()
        await self.clock.ahead(seconds)
        for runner in runners:
            runner.going.set()

    async def end(self, asking: "asyncio.Future[Answer]") -> Answer:
        """Return an answer."""
        await self.clock.ahead_until(asking.done)
        return await asking


@pytest_asyncio.fixture
async def silences(world: World) -> Silences:
    """One instance before two runners; answers prefer the first one."""
    for zone in ("a", "b"):
        runner = await world.add_runner(zone=zone)
        runner.events = 12
    await world.add_instance()
    await world.ready()
    return Silences(world)


@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_a_stream_that_may_not_be_repeated_is_kept(
    silences: Silences, seconds: float
) -> None:
    first, second = silences.world.runners
    asking = await silences.begin("/once/slow", "r1")
    await silences.silence([first], seconds)
    answer = await silences.end(asking)
    assert (answer.data, answer.whole) == (first.text("r1"), True)
    assert len(first.runs) == 1
    assert second.runs == []


@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_a_request_without_a_head_that_may_not_be_repeated_is_kept(
    silences: Silences, seconds: float
) -> None:
    first, second = silences.world.runners
    first.going.clear()
    asking = asyncio.ensure_future(
        silences.world.ask(silences.instance, "/once/1", "r1")
    )
    await silences.clock.ahead_until(lambda: first.runs)
    await silences.silence([first], seconds)
    answer = await silences.end(asking)
    assert (answer.data, answer.whole) == (first.text("r1"), True)
    assert len(first.runs) == 1
    assert second.runs == []


@pytest.mark.parametrize("all_of_them", [False, True], ids=["one", "all"])
@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_a_stream_that_may_be_repeated_ends_whole_and_once(
    silences: Silences, seconds: float, all_of_them: bool
) -> None:
    first, second = silences.world.runners
    asking = await silences.begin("/ask/slow", "r1")
    await silences.silence([first, second] if all_of_them else [first], seconds)
    answer = await silences.end(asking)
    assert (answer.data, answer.whole) == (first.text("r1"), True)
    runs = first.runs + second.runs
    assert len(runs) <= 2
    assert [run.finished for run in runs].count(True) == 1
    assert all(run.cut or run.finished for run in runs)


async def test_a_stream_is_kept_at_its_last_target(silences: Silences) -> None:
    """Cutting a stream that may not go on elsewhere helps nobody."""
    first, second = silences.world.runners
    asking = await silences.begin("/ask/slow", "r1")
    first.going.clear()
    await silences.clock.ahead_until(lambda: second.runs and second.runs[0].sent)
    await silences.silence([second], 1.8)
    answer = await silences.end(asking)
    assert (answer.data, answer.whole) == (first.text("r1"), True)
    assert second.runs[0].finished


async def test_a_request_without_a_head_is_kept_at_its_last_target(
    silences: Silences,
) -> None:
    first, second = silences.world.runners
    for runner in (first, second):
        runner.going.clear()
    asking = asyncio.ensure_future(
        silences.world.ask(silences.instance, "/ask/1", "r1")
    )
    await silences.clock.ahead_until(lambda: second.runs)
    await silences.silence([second], 1.8)
    answer = await silences.end(asking)
    assert (answer.data, answer.whole) == (first.text("r1"), True)
    assert second.runs[0].finished


@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_silence_is_no_crash_and_ejects_nobody_for_long(
    silences: Silences, seconds: float
) -> None:
    first, _ = silences.world.runners
    askings = [await silences.begin("/ask/slow", f"r{n}") for n in range(3)]
    await silences.silence([first], seconds)
    for asking in askings:
        assert (await silences.end(asking)).whole
    await silences.clock.ahead(AFTER_S)
    fleet = silences.instance.fleet
    now = silences.clock.time()
    assert fleet.is_usable("i-0", now)
    assert fleet.is_usable("i-1", now)
    assert fleet.unreachable == {}
    assert not silences.instance.guard.has_suspects


@pytest.mark.parametrize("all_of_them", [False, True], ids=["one", "all"])
@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_an_item_is_done_whole(
    silences: Silences, seconds: float, all_of_them: bool
) -> None:
    world, clock = silences.world, silences.clock
    first, second = world.runners
    submitting = asyncio.ensure_future(world.submit(silences.instance, "j1", ["slow"]))
    await clock.ahead_until(submitting.done)
    await clock.ahead_until(lambda: first.runs and first.runs[0].sent >= SENT)
    await silences.silence([first, second] if all_of_them else [first], seconds)
    listing = asyncio.ensure_future(listed(world, silences.instance, "j1", 1))
    await clock.ahead_until(listing.done)
    (result,) = await listing
    assert result["message"] == "\n".join(first.text("slow"))
    runs = first.runs + second.runs
    assert [run.finished for run in runs].count(True) == 1


async def test_silence_in_a_planned_stop_ends_no_answer(silences: Silences) -> None:
    world = silences.world
    askings = [
        await silences.begin("/once/slow", "r1"),
        await silences.begin("/ask/slow", "r2"),
    ]
    stopping = asyncio.ensure_future(silences.instance.stop(8.0))
    await silences.silence(world.runners, 1.8)
    for asking in askings:
        assert (await silences.end(asking)).whole
    await silences.clock.ahead_until(stopping.done)
    assert await stopping == 0


@pytest_asyncio.fixture
async def peak(world: World) -> Silences:
    """One instance before a runner with three slots and one with a single slot."""
    for zone, slots in (("a", 3), ("b", 1)):
        runner = await world.add_runner(zone=zone, slots=slots)
        runner.events = 12
    await world.add_instance()
    await world.ready()
    return Silences(world)


async def fill(peak: Silences, last: str) -> list["asyncio.Future[Answer]"]:
    """Take all slots, the one of the second runner by a request on another path."""
    asking = [await peak.begin("/ask/slow", f"r{number}") for number in range(3)]
    asking.append(await peak.begin(last, "r3"))
    assert [runner.busy for runner in peak.world.runners] == [3, 1]
    return asking


# Guards against streams that are cut in a peak, as they were broken off at a silent
# target before another one had a slot for them.
@pytest.mark.parametrize("seconds", SILENCES_S)
async def test_a_stream_is_kept_while_no_other_target_has_a_slot(
    peak: Silences, seconds: float
) -> None:
    first, second = peak.world.runners
    second.slow_pause_s = LONG_PAUSE_S
    asking = await fill(peak, "/once/slow")
    await peak.silence([first], seconds)
    answers = [await peak.end(one) for one in asking]
    assert [(one.status, one.whole) for one in answers] == [(200, True)] * 4
    assert [one.data for one in answers] == [first.text(f"r{n}") for n in range(4)]
    assert (len(first.runs), len(second.runs)) == (3, 1)


# Guards against several streams that leave a silent target for one slot.
async def test_a_slot_that_becomes_free_is_used_by_one_stream(peak: Silences) -> None:
    first, second = peak.world.runners
    asking = await fill(peak, "/ask/slow")
    first.going.clear()
    await peak.end(asking[3])
    await peak.clock.ahead_until(lambda: len(second.runs) == 2)
    first.going.set()
    answers = [await peak.end(one) for one in asking]
    assert [(one.status, one.whole) for one in answers] == [(200, True)] * 4
    assert [one.data for one in answers] == [first.text(f"r{n}") for n in range(4)]
    assert second.max_busy == 1
    assert sum(run.cut for run in first.runs) == len(second.runs) - 1


# Guards against streams that stay at a target that is gone, as all others were full.
async def test_streams_of_a_target_that_is_gone_go_on_as_slots_become_free(
    peak: Silences,
) -> None:
    first, second = peak.world.runners
    asking = await fill(peak, "/ask/slow")
    first.going.clear()
    answers = [await peak.end(one) for one in reversed(asking)]
    whole = [one for one in answers if one.whole]
    assert len(whole) >= 2
    assert all(run.cut for run in first.runs)
    assert second.max_busy == 1
