"""Connections that go silent for good without a reset, while new ones work."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest_asyncio
from result import Ok

from caperridge.gateway.mesh.mesh import SILENCE_TIMEOUT_S, Mesh
from caperridge.gateway.mesh.messages import Heartbeat
from caperridge.gateway.process import TICK_INTERVAL_S
from caperridge.gateway.silent_sockets import KEEPALIVE_INTERVAL_S
from caperridge.gateway.store_connections import USER_TIMEOUT_MS
from caperridge.gateway.table_watchers import INDEX_READ_INTERVAL_S
from caperridge.gateway.watcher import LONG_POLL_S, MIN_RETRY_DELAY_S
from caperridge.platform.store import CALL_TIMEOUT_S, LONG_POLL_SLACK_S, HttpRowStore
from gateway.conftest import ROUTES, World, free_address, until
from gateway.silent_relay import SilentRelay

# As many concurrent calls as an instance makes that accepts and lists jobs.
CONCURRENT_CALLS = 6
SLACK_S = 0.5
# Time to detect a silent peer, report it, and open a new stream.
RECONNECT_S = 5.0

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
async def store_relay(world: World, relay_to: MakeRelay) -> SilentRelay:
    return await relay_to(world.store_address)


@pytest_asyncio.fixture
async def store(store_relay: SilentRelay) -> AsyncIterator[HttpRowStore]:
    made = HttpRowStore(store_relay.address)
    yield made
    await made.close()


async def read_concurrently(store: HttpRowStore, count: int) -> None:
    """Make concurrent calls, each of which leaves an idle connection."""
    answers = await asyncio.gather(*(store.read("op") for _ in range(count)))
    assert all(isinstance(answer, Ok) for answer in answers)


async def test_one_call_at_most_is_lost_to_silent_connections_of_the_store(
    store: HttpRowStore, store_relay: SilentRelay
) -> None:
    await read_concurrently(store, CONCURRENT_CALLS)
    assert store_relay.opened == CONCURRENT_CALLS
    store_relay.silence()
    async with asyncio.timeout(CALL_TIMEOUT_S + SLACK_S):
        while not isinstance(await store.read("op"), Ok):
            continue


async def test_a_call_under_way_is_answered_though_another_was_too_late(
    store: HttpRowStore, store_relay: SilentRelay
) -> None:
    """Idle connections are closed, but not those with a call in progress."""
    await read_concurrently(store, 1)
    store_relay.silence()
    lost = asyncio.ensure_future(store.read("op"))
    await asyncio.sleep(CALL_TIMEOUT_S / 2)
    poll = asyncio.ensure_future(store.changes("op", 1, CALL_TIMEOUT_S))
    assert not isinstance(await lost, Ok)
    assert isinstance(await poll, Ok)


async def test_a_watch_does_not_wait_on_what_another_found_silent(
    store: HttpRowStore, store_relay: SilentRelay
) -> None:
    """It is sent again, and answered at once, though it started later."""
    first = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await asyncio.sleep(LONG_POLL_S / 4)
    second = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_relay.opened == 2)
    store_relay.silence()
    assert not isinstance(await first, Ok)
    async with asyncio.timeout(LONG_POLL_S / 8):
        assert isinstance(await second, Ok)


async def test_a_watch_that_is_asked_again_bears_with_a_slow_store(
    world: World, store: HttpRowStore, store_relay: SilentRelay
) -> None:
    first = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await asyncio.sleep(LONG_POLL_S / 4)
    second = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_relay.opened == 2)
    store_relay.silence()
    world.store.delay_s = (LONG_POLL_SLACK_S + CALL_TIMEOUT_S) / 2
    assert not isinstance(await first, Ok)
    assert isinstance(await second, Ok)


async def test_a_watch_that_is_given_up_leaves_nothing_behind(
    store: HttpRowStore, store_relay: SilentRelay
) -> None:
    poll = asyncio.ensure_future(store.changes("op", 1, LONG_POLL_S))
    await until(lambda: store_relay.opened == 1)
    before = len(asyncio.all_tasks())
    poll.cancel()
    await asyncio.gather(poll, return_exceptions=True)
    assert poll.cancelled()
    await until(lambda: len(asyncio.all_tasks()) < before)


async def test_the_store_is_lost_once_at_most_when_its_connections_go_silent(
    world: World, store_relay: SilentRelay
) -> None:
    """Not at all if a call other than a long poll detects it."""
    world.store_address = store_relay.address
    instance = await world.add_instance()
    await world.ready()
    recoveries: list[float] = []
    instance.reachability.on_recovered(recoveries.append)
    store_relay.silence()
    # Every call from before the silence has timed out by then.
    await asyncio.sleep(
        LONG_POLL_S + LONG_POLL_SLACK_S + INDEX_READ_INTERVAL_S + SLACK_S
    )
    assert len(recoveries) <= 1
    assert instance.reachability.reached
    version = 2
    world.configure(version, ROUTES)
    await until(lambda: instance.configuration.table.version == version, SLACK_S)


async def test_the_system_is_asked_to_end_silent_connections_of_the_store(
    store: HttpRowStore,
) -> None:
    """Loopback loses no packets, so the socket options are checked."""
    await read_concurrently(store, 1)
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
    world: World, store_relay: SilentRelay
) -> None:
    """Not only when the first long poll after the loss has changes or times out."""
    world.store_address = store_relay.address
    instance = await world.add_instance()
    await world.ready()
    recoveries: list[float] = []
    instance.reachability.on_recovered(recoveries.append)
    # The library repeats a call once by itself if its connection was used before.
    while instance.reachability.reached and not recoveries:
        polls = len(world.store.waits_ms)
        store_relay.reset()
        await asyncio.sleep(0.01)
    await until(lambda: recoveries)
    assert instance.reachability.reached
    # The long poll that detected it asked for an answer at once, after a short pause;
    # real time would also include other load of the machine. Polls of other tables that
    # the library repeated may have come before it.
    assert 0 in world.store.waits_ms[polls:]
    assert MIN_RETRY_DELAY_S < SLACK_S


class MeshPair:
    """Two meshes, each behind its own relay, that send periodic heartbeats."""

    def __init__(self) -> None:
        self.meshes: list[Mesh] = []
        self.relays: list[SilentRelay] = []
        self.heartbeats: asyncio.Task[None] | None = None

    async def add(self, relay_to: MakeRelay) -> None:
        number = len(self.meshes)
        seeds = [relay.address for relay in self.relays]
        mesh = Mesh(
            f"e-{number}", f"e-{number}.1", "a", free_address(), seeds, random.Random(1)
        )
        relay = await relay_to(mesh.address)
        await mesh.start()
        mesh.address = relay.address
        self.meshes.append(mesh)
        self.relays.append(relay)

    def connected(self) -> bool:
        return all(len(mesh.alive()) == 1 for mesh in self.meshes)

    async def send_heartbeats(self) -> None:
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
    made.heartbeats = asyncio.ensure_future(made.send_heartbeats())
    await until(made.connected)
    yield made
    made.heartbeats.cancel()
    for mesh in made.meshes:
        await mesh.stop()


async def test_peers_hear_each_other_again_after_all_streams_went_silent(
    pair: MeshPair,
) -> None:
    for relay in pair.relays:
        relay.silence()
    await until(lambda: not pair.connected())
    await until(pair.connected, within_s=RECONNECT_S)
    assert [len(mesh._inbox._streams) for mesh in pair.meshes] == [1, 1]


async def test_a_peer_whose_stream_one_way_went_silent_is_heard_again(
    pair: MeshPair,
) -> None:
    """Its sender still receives from the other all the time."""
    pair.relays[1].silence()
    await until(lambda: not pair.meshes[1].alive())
    await until(pair.connected, within_s=RECONNECT_S)


async def test_streams_of_peers_that_are_heard_are_kept(pair: MeshPair) -> None:
    opened = [relay.opened for relay in pair.relays]
    await asyncio.sleep(SILENCE_TIMEOUT_S * 2)
    assert [relay.opened for relay in pair.relays] == opened
