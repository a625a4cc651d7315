"""Connections that go silent for good, without a reset, while new ones work."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest_asyncio
from result import Ok

from caperridge.gateway.mesh.mesh import SILENCE_TIMEOUT_S, Mesh
from caperridge.gateway.mesh.messages import Heartbeat
from caperridge.gateway.process import INDEX_READ_INTERVAL_S, TICK_INTERVAL_S
from caperridge.gateway.silent_sockets import KEEPALIVE_INTERVAL_S
from caperridge.gateway.watcher import LONG_POLL_S, MIN_RETRY_DELAY_S
from caperridge.platform.connections import USER_TIMEOUT_MS
from caperridge.platform.store import CALL_TIMEOUT_S, LONG_POLL_SLACK_S, HttpRowStore
from gateway.conftest import ROUTES, World, free_address, until
from gateway.silent_relay import SilentRelay

# As many calls at once as an instance makes that accepts and lists jobs.
KEPT = 6
SLACK_S = 0.5
# A peer is found silent, told so, and a new stream opened.
AGAIN_S = 5.0

MakeRelay = Callable[[str], Awaitable[SilentRelay]]


@pytest_asyncio.fixture
async def relay_to() -> AsyncIterator[MakeRelay]:
    relays: list[SilentRelay] = []

    async def make(address: str) -> SilentRelay:
        relay = SilentRelay(address)
        await relay.start()
        relays.append(relay)
        return relay

    yield make
    for relay in relays:
        await relay.stop()


@pytest_asyncio.fixture
async def store_way(world: World, relay_to: MakeRelay) -> SilentRelay:
    return await relay_to(world.store_address)


@pytest_asyncio.fixture
async def store(store_way: SilentRelay) -> AsyncIterator[HttpRowStore]:
    made = HttpRowStore(store_way.address)
    yield made
    await made.close()


async def read_at_once(store: HttpRowStore, count: int) -> None:
    """Read so often at the same time; keeps as many connections."""
    answers = await asyncio.gather(*(store.read("op") for _ in range(count)))
    assert all(isinstance(answer, Ok) for answer in answers)


async def test_one_call_at_most_is_lost_to_silent_connections_of_the_store(
    store: HttpRowStore, store_way: SilentRelay
) -> None:
    await read_at_once(store, KEPT)
    assert store_way.opened == KEPT
    store_way.silence()
    async with asyncio.timeout(CALL_TIMEOUT_S + SLACK_S):
        while not isinstance(await store.read("op"), Ok):
            continue


async def test_a_call_under_way_is_answered_though_another_was_too_late(
    store: HttpRowStore, store_way: SilentRelay
) -> None:
    """Kept connections are given up, not those that somebody waits on."""
    await read_at_once(store, 1)
    store_way.silence()
    lost = asyncio.ensure_future(store.read("op"))
    await asyncio.sleep(CALL_TIMEOUT_S / 2)
    watch = asyncio.ensure_future(store.changes("op", 1, CALL_TIMEOUT_S))
    assert not isinstance(await lost, Ok)
    assert isinstance(await watch, Ok)


async def test_a_watch_does_not_wait_on_what_another_found_silent(
    store: HttpRowStore, store_way: SilentRelay
) -> None:
    """It is asked again, and answered at once, though it began later."""
    first = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await asyncio.sleep(LONG_POLL_S / 4)
    second = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_way.opened == 2)
    store_way.silence()
    assert not isinstance(await first, Ok)
    async with asyncio.timeout(LONG_POLL_S / 8):
        assert isinstance(await second, Ok)


async def test_a_watch_that_is_asked_again_bears_with_a_slow_store(
    world: World, store: HttpRowStore, store_way: SilentRelay
) -> None:
    first = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await asyncio.sleep(LONG_POLL_S / 4)
    second = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_way.opened == 2)
    store_way.silence()
    world.store.delay_s = (LONG_POLL_SLACK_S + CALL_TIMEOUT_S) / 2
    assert not isinstance(await first, Ok)
    assert isinstance(await second, Ok)


async def test_a_watch_that_is_given_up_leaves_nothing_behind(
    store: HttpRowStore, store_way: SilentRelay
) -> None:
    watch = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_way.opened == 1)
    before = len(asyncio.all_tasks())
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    assert watch.cancelled()
    await until(lambda: len(asyncio.all_tasks()) < before)


async def test_the_store_is_lost_once_at_most_when_its_connections_go_silent(
    world: World, store_way: SilentRelay
) -> None:
    """Not at all if a call other than a watch finds it."""
    world.store_address = store_way.address
    instance = await world.add_instance()
    await world.ready()
    returns: list[float] = []
    instance.reachability.on_recovered(returns.append)
    store_way.silence()
    # Whatever was asked before the silence has had its time by then.
    await asyncio.sleep(
        LONG_POLL_S + LONG_POLL_SLACK_S + INDEX_READ_INTERVAL_S + SLACK_S
    )
    assert len(returns) <= 1
    assert instance.reachability.reached
    version = 2
    world.configure(version, ROUTES)
    await until(lambda: instance.configuration.table.version == version, SLACK_S)


async def test_the_system_is_asked_to_end_silent_connections_of_the_store(
    store: HttpRowStore,
) -> None:
    """Loopback loses nothing, so what the system was asked to do is looked at."""
    await read_at_once(store, 1)
    async with store._connections.acquire() as session:
        assert session.connector is not None
        ((protocol, _),) = next(iter(session.connector._conns.values()))
        connection = protocol.transport.get_extra_info("socket")
        level = socket.IPPROTO_TCP
        limit_ms = connection.getsockopt(level, socket.TCP_USER_TIMEOUT)
        assert limit_ms == USER_TIMEOUT_MS
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert connection.getsockopt(level, socket.TCP_KEEPIDLE) == KEEPALIVE_INTERVAL_S


async def test_an_instance_knows_at_once_that_the_store_answers_again(
    world: World, store_way: SilentRelay
) -> None:
    """Not only when the first watch after the loss has news or its time is over."""
    world.store_address = store_way.address
    instance = await world.add_instance()
    await world.ready()
    returns: list[float] = []
    instance.reachability.on_recovered(returns.append)
    watches = len(world.store.waits_ms)
    store_way.reset()
    await until(lambda: returns)
    assert instance.reachability.reached
    # The watch that told it asked for an answer at once, and the pause before it is
    # short; real time would also count what else the machine does.
    assert world.store.waits_ms[watches] == 0
    assert MIN_RETRY_DELAY_S < SLACK_S


class MeshPair:
    """Two meshes, each reached by a way of its own, that beat like instances."""

    def __init__(self) -> None:
        self.meshes: list[Mesh] = []
        self.ways: list[SilentRelay] = []
        self.beating: asyncio.Task[None] | None = None

    async def add(self, relay_to: MakeRelay) -> None:
        number = len(self.meshes)
        seeds = [way.address for way in self.ways]
        mesh = Mesh(
            f"e-{number}", f"e-{number}.1", "a", free_address(), seeds, random.Random(1)
        )
        way = await relay_to(mesh.address)
        await mesh.start()
        mesh.address = way.address
        self.meshes.append(mesh)
        self.ways.append(way)

    def hear_each_other(self) -> bool:
        return all(len(mesh.alive()) == 1 for mesh in self.meshes)

    async def beat(self) -> None:
        while True:
            for mesh in self.meshes:
                mesh.check_members()
                mesh.send_all(Heartbeat([], {}))
            await asyncio.sleep(TICK_INTERVAL_S)


@pytest_asyncio.fixture
async def pair(relay_to: MakeRelay) -> AsyncIterator[MeshPair]:
    made = MeshPair()
    await made.add(relay_to)
    await made.add(relay_to)
    made.beating = asyncio.ensure_future(made.beat())
    await until(made.hear_each_other)
    yield made
    made.beating.cancel()
    for mesh in made.meshes:
        await mesh.stop()


async def test_peers_hear_each_other_again_after_all_streams_went_silent(
    pair: MeshPair,
) -> None:
    for way in pair.ways:
        way.silence()
    await until(lambda: not pair.hear_each_other())
    await until(pair.hear_each_other, within_s=AGAIN_S)
    assert [len(mesh._streams) for mesh in pair.meshes] == [1, 1]


async def test_a_peer_whose_stream_one_way_went_silent_is_heard_again(
    pair: MeshPair,
) -> None:
    """The one that speaks into it hears the other all the time."""
    pair.ways[1].silence()
    await until(lambda: not pair.meshes[1].alive())
    await until(pair.hear_each_other, within_s=AGAIN_S)


async def test_streams_of_peers_that_are_heard_are_kept(pair: MeshPair) -> None:
    opened = [way.opened for way in pair.ways]
    await asyncio.sleep(SILENCE_TIMEOUT_S * 2)
    assert [way.opened for way in pair.ways] == opened
