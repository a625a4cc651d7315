"""What instances infer of streams while they or their peers are out of step."""

import asyncio
from typing import Any

import pytest
import pytest_asyncio

from caperridge.gateway import stream_origins
from caperridge.gateway.fresh_reads import READ_TIMEOUT_S
from caperridge.gateway.mesh.origin_messages import StreamAnswer, StreamAsk
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import Answer, World, route, until
from gateway.runner_standin import RunnerStandin
from loop_clock import LoopClock

NEW_VERSION = "v2"
# A route with this time-out, and no margin, so that a version is known soon.
TIMEOUT_MS = 400


@pytest.fixture
def short_window(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last only for a moment."""
    monkeypatch.setattr(stream_origins, "KEEP_MARGIN_S", 0.0)
    world.configure(1, [route("ask", timeoutMs=TIMEOUT_MS)])


@pytest_asyncio.fixture
async def following(world: World, short_window: None) -> GatewayInstance:
    """An instance that has followed a list of one version for the window."""
    await world.add_runner(slots=40)
    instance = await world.add_instance()
    await world.ready()
    await known_for_the_window(instance)
    return instance


def cut_from_store(world: World, instance: GatewayInstance) -> None:
    """Have the store never answer an instance again, without a reset."""

    async def silent(*_: object, **__: object) -> None:
        await asyncio.Event().wait()

    store = world.store_of(instance)
    for long_poll in store._long_polls:
        long_poll.cancel()
    store._call = silent


def cut_from_peers(instance: GatewayInstance) -> None:
    """Have an instance neither send to its peers nor hear them."""
    instance.mesh.send = lambda *_: False
    instance.mesh._handlers_by_kind.clear()


async def known_for_the_window(instance: GatewayInstance) -> None:
    """Wait until an instance has followed the list for as long as a stream lasts."""
    fleet = instance.fleet
    loop = asyncio.get_running_loop()
    await until(lambda: fleet.only_version("model", loop.time(), TIMEOUT_MS / 1000))


async def take_up(
    world: World, instance: GatewayInstance, id: str, stream: str = ""
) -> Answer:
    """Take up a stream after its second event; it is named if ``stream`` is given."""
    head = {"Last_Event_Id": "2"} | ({"Resumes": stream} if stream else {})
    return await world.ask(instance, "/ask/1", id, **head)


def runs_of(runner: RunnerStandin, id: str) -> int:
    """Return how often a runner ran a request."""
    return sum(run.id == id for run in runner.runs)


# Guards against a stream of a version that has just joined, taken up at an instance
# that is cut off: it infers from its old list that there is one version.
async def test_an_instance_out_of_step_joins_no_stream_that_it_does_not_know(
    world: World, short_window: None
) -> None:
    old = await world.add_runner(slots=20)
    first = await world.add_instance()
    cut_off = await world.add_instance()
    await world.ready()
    await known_for_the_window(cut_off)
    cut_from_store(world, cut_off)
    cut_from_peers(cut_off)
    await world.add_runner(slots=20, software_version=NEW_VERSION)
    await until(lambda: len(first.fleet.targets.by_id) == 2)
    old.refuse = True
    assert (await world.ask(first, "/ask/1", "r1")).data[0] == f"r1-1{NEW_VERSION}"
    old.refuse = False
    answers = [
        await take_up(world, cut_off, "named", "r1"),
        await take_up(world, cut_off, "unnamed"),
    ]
    await asyncio.sleep(0.5)
    answers.append(await take_up(world, cut_off, "later", "r1"))
    assert len(cut_off.fleet.targets.by_id) == 1  # it has not noticed
    assert not old.runs
    assert [answer.status for answer in answers] == [503] * 3


# Guards against a stream of a version that has come and gone: an instance that started
# since is told by a peer which missed both that there has been one version.
async def test_what_a_peer_out_of_step_infers_joins_no_stream(
    world: World, short_window: None
) -> None:
    old = await world.add_runner(slots=20)
    peer = await world.add_instance()
    await world.ready()
    await known_for_the_window(peer)
    cut_from_store(world, peer)
    newer = await world.add_runner(software_version=NEW_VERSION)
    world.store.remove("servers", newer.id)
    world.runners.remove(newer)
    fresh = await world.add_instance()
    await world.ready()
    fresh.fleet.list_known_since = lambda: float("inf")
    answer = await take_up(world, fresh, "again", "r1")
    assert answer.status == 503
    assert not runs_of(old, "again")


# Guards against streams that are refused because one peer knows an old list, or is of a
# release that doesn't say which list it knows.
@pytest.mark.parametrize("list_version", [-1, 0])
async def test_what_a_peer_out_of_step_infers_keeps_no_stream_from_going_on(
    world: World, short_window: None, list_version: int
) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    old = await world.add_instance()
    await world.ready()
    await known_for_the_window(instance)
    # The store has no changes as old as those that the peer lacks.
    known_version = instance.updates.copy_of("servers").read_version
    world.store.history_start_version = known_version

    def infer(peer: str, ask: StreamAsk) -> None:
        answer = StreamAnswer(ask.number, "model", "v1", True, list_version)
        old.mesh.send(peer, answer)

    old.mesh.register(StreamAsk, infer)
    assert (await take_up(world, instance, "again", "r1")).status == 200


async def pause_polls(world: World, instance: GatewayInstance) -> asyncio.Event:
    """Hold an instance's reads of changes back until the returned event is set."""
    store = world.store_of(instance)
    going = asyncio.Event()
    changes = store.changes

    async def later(table: str, since: int, wait_s: float) -> Any:
        await going.wait()
        return await changes(table, since, wait_s)

    store.changes = later
    # Ends the poll under way.
    world.list_runner(world.runners[0])
    [watcher] = [one for one in instance._watchers if one.copy.table == "servers"]
    await until(lambda: watcher.copy.read_version >= world.store.version)
    return going


# Guards against a version that joined and left between two reads of the list: only its
# removal is read, which names no version.
async def test_a_version_that_came_and_went_unseen_is_not_ruled_out(
    world: World, following: GatewayInstance
) -> None:
    going = await pause_polls(world, following)
    newer = await world.add_runner(software_version=NEW_VERSION)
    world.store.remove("servers", newer.id)
    world.store._log = (
        [  # as the store does that tells the last state of a row only
            (at, row) for at, row in world.store._log if row["key"] != newer.id
        ]
        + world.store._log[-1:]
    )
    going.set()
    answer = await take_up(world, following, "again")
    assert answer.status == 503
    await known_for_the_window(following)
    assert (await take_up(world, following, "later")).status == 200


# Guards against an instance that stood still and infers as if it had followed the list
# in that time.
async def test_an_instance_that_stood_still_has_not_followed_the_list(
    world: World, following: GatewayInstance
) -> None:
    await LoopClock().pause(1.0)
    answer = await take_up(world, following, "again")
    assert answer.status == 503
    await known_for_the_window(following)
    assert (await take_up(world, following, "later")).status == 200


# Guards against a call of the store for each stream that is taken up.
async def test_streams_that_are_taken_up_together_share_a_read(
    world: World, following: GatewayInstance
) -> None:
    world.store.waits_ms.clear()
    world.store.delay_s = 0.05
    ids = [f"r{number}" for number in range(20)]
    answers = await asyncio.gather(*(take_up(world, following, id) for id in ids))
    assert {answer.status for answer in answers} == {200}
    assert 1 <= world.store.waits_ms.count(0) <= 4


# Guards against an answer that is held back while the store is silent.
async def test_a_stream_is_refused_soon_where_the_store_is_silent(
    world: World, following: GatewayInstance
) -> None:
    cut_from_store(world, following)
    async with asyncio.timeout(READ_TIMEOUT_S + 1.0):
        answer = await take_up(world, following, "again")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


# Guards against streams that wait for a read nobody makes, after an error in the one
# before it.
async def test_a_read_that_fails_leaves_nobody_waiting(
    world: World, following: GatewayInstance
) -> None:
    reads = following.origins._target_list
    begun, going = asyncio.Event(), asyncio.Event()

    async def fail(since: int) -> Any:
        begun.set()
        await going.wait()
        raise RuntimeError("unforeseen")

    reads._watcher.read_changes = fail
    first = asyncio.ensure_future(take_up(world, following, "first"))
    await begun.wait()
    second = asyncio.ensure_future(take_up(world, following, "second"))
    await until(lambda: reads._pending is not None)
    going.set()
    async with asyncio.timeout(2.0):
        answers = await asyncio.gather(first, second)
    assert [answer.status for answer in answers] == [503, 503]
