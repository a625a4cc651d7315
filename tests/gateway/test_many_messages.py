"""How often peers' messages wake an instance of a large fleet.

Each start and end of a request or item is sent to all 20 peers of a zone. When each of
these messages cost an iteration of the event loop, 63 instances needed more processor
time than they had, and batch results were not read in time: a profile of ten instances
showed 8,364 messages in 8,396 reads and 21,468 iterations. Two thirds and more of the
time of a receiver remained when the messages were dropped unread.
"""

import asyncio
import random
import selectors
import socket
from collections.abc import Iterator

import pytest

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import Counts, Hello, TableWhole
from caperridge.gateway.mesh.paced_reading import READ_INTERVAL_S
from caperridge.gateway.mesh.streams import encode
from caperridge.gateway.news import PeerUpdates
from caperridge.gateway.watcher import StoreReachability
from gateway.conftest import free_address

PEERS = 20
TARGETS = 15
MODELLED_S = 10.0
LARGE_BYTES = 4 * 2**20
# Messages that one of 63 instances receives at 207 online requests and 25 items a
# second, and twice that, as in the peaks of a day.
USUAL_CHANGES_PER_S = 188
PEAK_CHANGES_PER_S = 376
# 63 instances may use 515 s of processor time in 60 s, 0.136 s a second each. An
# iteration of the loop for one message costs some 0.1 ms, and a tenth of the time is
# for them.
MAX_ITERATIONS_PER_S = 136


class SteppingSelector(selectors.DefaultSelector):
    """Never waits: without events the modelled clock advances instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.iterations = 0

    def select(self, timeout=None):
        self.iterations += 1
        events = super().select(0)
        if not events:
            self.now += 0.001 if timeout is None else max(0.0, timeout)
        return events


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop on a modelled clock."""

    def __init__(self) -> None:
        self.stepping = SteppingSelector()
        super().__init__(self.stepping)

    def time(self) -> float:
        return self.stepping.now


class Zone:
    """One instance with a connection from each of its peers."""

    def __init__(self, loop: SteppedLoop) -> None:
        self.loop = loop
        self.fleet = Fleet("e-0", "a", random.Random(1))
        self.mesh = Mesh("e-0", "e-0.1", "a", free_address(), [], random.Random(1))
        self.news = PeerUpdates(self.mesh, self.fleet, [], StoreReachability())
        self.fleet.on_change(self.news.counts_changed)
        self.peers: list[socket.socket] = []

    async def start(self) -> None:
        """Have all peers connect and send their hello."""
        await self.mesh.start()
        host, _, port = self.mesh.address.rpartition(":")
        for number in range(1, PEERS + 1):
            peer = socket.create_connection((host, int(port)))
            self.peers.append(peer)
            # With the instance's own address it dials no peer.
            hello = Hello(f"e-{number}", f"e-{number}.1", "a", self.mesh.address, [])
            peer.sendall(encode(hello))
        await self.until(lambda: len(self.mesh.alive()) == PEERS)

    async def until(self, condition) -> None:
        """Wait for a condition on the modelled clock."""
        for _ in range(10_000):
            if condition():
                return
            await asyncio.sleep(0.001)
        raise AssertionError("it did not come to that")

    async def play(self, changes_per_s: int) -> float:
        """Have peers send counts; return iterations a second beyond the sending."""
        chance = random.Random(changes_per_s)
        count = int(changes_per_s * MODELLED_S)
        started_at = self.loop.time()
        for at in sorted(chance.uniform(0.0, MODELLED_S) for _ in range(count)):
            peer = chance.choice(self.peers)
            target = f"i-{chance.randrange(TARGETS)}"
            message = Counts([[target, chance.randrange(3), 0, 0.0]])
            self.loop.call_at(started_at + at, peer.sendall, encode(message))
        iterations = self.loop.stepping.iterations
        await asyncio.sleep(MODELLED_S)
        return (self.loop.stepping.iterations - iterations - count) / MODELLED_S

    async def stop(self) -> None:
        """Close all connections."""
        for peer in self.peers:
            peer.close()
        await self.mesh.stop()


@pytest.fixture
def stepped_runner() -> Iterator[asyncio.Runner]:
    """Run coroutines on a modelled clock."""
    with asyncio.Runner(loop_factory=SteppedLoop) as runner:
        yield runner


@pytest.fixture
def zone(stepped_runner: asyncio.Runner) -> Iterator[Zone]:
    """Start one instance and its peers."""
    made = Zone(stepped_runner.get_loop())
    stepped_runner.run(made.start())
    yield made
    stepped_runner.run(made.stop())


def test_what_peers_count_wakes_an_instance_within_its_budget(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    for changes_per_s in (USUAL_CHANGES_PER_S, PEAK_CHANGES_PER_S):
        iterations_per_s = stepped_runner.run(zone.play(changes_per_s))
        assert iterations_per_s <= MAX_ITERATIONS_PER_S


def _received(zone: Zone, target: str) -> bool:
    return zone.fleet.occupancy.total_at(target).online > 0


async def _send_counts(zone: Zone, *targets: str) -> None:
    """Have one peer for each target report that a request started there."""
    for peer, target in zip(zone.peers, targets, strict=False):
        peer.sendall(encode(Counts([[target, 1, 0, 0.0]])))


async def _wait_idle(zone: Zone) -> None:
    await asyncio.sleep(READ_INTERVAL_S * 3)


def test_what_comes_after_a_rest_is_heard_at_once(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> float:
        await _wait_idle(zone)
        started_at = zone.loop.time()
        await _send_counts(zone, "i-0")
        await zone.until(lambda: _received(zone, "i-0"))
        return zone.loop.time() - started_at

    assert stepped_runner.run(play()) < READ_INTERVAL_S / 4


def test_what_comes_soon_after_is_heard_within_the_pace(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> list[float]:
        await _wait_idle(zone)
        took_s: list[float] = []
        for number in range(5):
            started_at = zone.loop.time()
            await _send_counts(zone, f"i-{number}")
            await zone.until(lambda of=number: _received(zone, f"i-{of}"))
            took_s.append(zone.loop.time() - started_at)
        return took_s

    assert max(stepped_runner.run(play())) <= READ_INTERVAL_S + 0.002


def test_who_is_about_to_act_hears_what_has_come(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> None:
        await _wait_idle(zone)
        for number in range(2):  # the second and later ones are delayed
            await _send_counts(zone, f"i-{number}")
            await zone.until(lambda of=number: _received(zone, f"i-{of}"))
        await _send_counts(zone, "i-2", "i-3")
        assert not _received(zone, "i-2")
        zone.mesh.receive_now()
        assert _received(zone, "i-2") and _received(zone, "i-3")

    stepped_runner.run(play())


def test_a_large_message_is_not_kept_waiting_for_its_parts(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    """An object in a call that a peer relays has megabytes."""
    received: list[float] = []

    async def play() -> float:
        await _wait_idle(zone)
        zone.mesh.register(TableWhole, lambda peer, whole: received.append(0.0))
        for number in range(2):  # the second and later ones are delayed
            await _send_counts(zone, f"i-{number}")
            await zone.until(lambda of=number: _received(zone, f"i-{of}"))
        large = encode(TableWhole("t", 1, [["", "k", bytes(LARGE_BYTES), 1]]))
        zone.peers[0].setblocking(False)
        started_at = zone.loop.time()
        await zone.loop.sock_sendall(zone.peers[0], large)
        await zone.until(lambda: received)
        return zone.loop.time() - started_at

    assert stepped_runner.run(play()) <= 2 * READ_INTERVAL_S


def test_counts_that_are_heard_together_are_looked_at_once(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    notified_at: list[float] = []

    async def play() -> None:
        await _wait_idle(zone)
        zone.fleet.on_change(lambda: notified_at.append(zone.loop.time()))
        await _send_counts(zone, *(f"i-{number}" for number in range(TARGETS)))
        await zone.until(lambda: _received(zone, f"i-{TARGETS - 1}"))

    stepped_runner.run(play())
    assert len(notified_at) == 1


def test_a_message_that_fails_here_ends_its_own_stream_only(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> None:
        await _wait_idle(zone)
        failing = Counts([["i-0"], "no count"])
        zone.peers[0].sendall(encode(failing))
        zone.peers[1].sendall(encode(Counts([["i-1", 1, 0, 0.0]])))
        await zone.until(lambda: len(zone.mesh.alive()) == PEERS - 1)
        await zone.until(lambda: _received(zone, "i-1"))
        await _wait_idle(zone)
        await _send_counts(zone, "i-0", "i-2")
        await zone.until(lambda: _received(zone, "i-2"))
        assert not _received(zone, "i-0")

    stepped_runner.run(play())


def test_peers_are_heard_after_a_look_at_their_counts_failed(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> None:
        await _wait_idle(zone)
        failures = []
        zone.loop.set_exception_handler(lambda loop, context: failures.append(context))
        for number in range(TARGETS):
            if number == 2:  # messages are delayed from here on
                zone.fleet.on_change(lambda: 1 / 0)
            await _send_counts(zone, f"i-{number}")
            await zone.until(lambda of=number: _received(zone, f"i-{of}"))
        assert failures

    stepped_runner.run(play())


def test_a_peer_that_ends_its_stream_is_lost_at_once(
    stepped_runner: asyncio.Runner, zone: Zone
) -> None:
    async def play() -> float:
        await _wait_idle(zone)
        started_at = zone.loop.time()
        zone.peers.pop().close()
        await zone.until(lambda: len(zone.mesh.alive()) == PEERS - 1)
        return zone.loop.time() - started_at

    assert stepped_runner.run(play()) <= READ_INTERVAL_S + 0.002
