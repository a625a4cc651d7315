"""Table copies from peers: requested when behind, and from one peer at a time."""

import asyncio

import pytest
import pytest_asyncio

from caperridge.gateway.mesh.messages import (
    Counts,
    Heartbeat,
    TableAsk,
    TableWhole,
)
from caperridge.gateway.news import PEER_COPY_DELAY_S, REQUEST_RETRY_DELAY_S
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.table_watchers import INDEX_READ_INTERVAL_S
from gateway.conftest import World, until
from loop_clock import LoopClock

TABLE = "servers"
PEERS = [f"peer-{number}" for number in range(20)]


class CopyRequests(list):
    """Peers that were asked for a copy, in order."""

    def send(self, peer: str, message: object) -> bool:
        if isinstance(message, TableAsk):
            self.append(peer)
        return True


@pytest_asyncio.fixture
async def instance(world: World) -> GatewayInstance:
    await world.add_runner()
    made = await world.add_instance()
    await world.ready()
    return made


def heartbeat(version: int) -> Heartbeat:
    return Heartbeat([], {TABLE: version}, store_reached=True)


async def test_a_version_that_was_read_past_is_not_asked_for(
    instance: GatewayInstance,
) -> None:
    """A peer gives a row that its snapshot lacks the version of that snapshot."""
    requests = CopyRequests()
    instance.mesh.send = requests.send
    copy = instance.updates.copy_of(TABLE)
    copy.read_version = copy.version + 10
    instance.updates._receive_heartbeat(PEERS[0], heartbeat(copy.version + 5))
    await asyncio.sleep(PEER_COPY_DELAY_S * 3)
    assert requests == []


async def test_one_peer_at_a_time_is_asked_for_a_copy(
    instance: GatewayInstance,
) -> None:
    requests = CopyRequests()
    instance.mesh.send = requests.send
    newer = instance.updates.copy_of(TABLE).read_version + 100
    for peer in PEERS:
        instance.updates._receive_heartbeat(peer, heartbeat(newer))
    await until(lambda: requests)
    assert len(requests) == 1
    await asyncio.sleep(REQUEST_RETRY_DELAY_S * 2.5)
    assert 2 <= len(requests) <= 4  # the first did not answer
    rows = [
        ["", row.key.key, row.value, row.version]
        for row in instance.updates.copy_of(TABLE).rows_by_key.values()
    ]
    instance.updates._receive_table_whole(requests[-1], TableWhole(TABLE, newer, rows))
    sent = len(requests)
    await asyncio.sleep(REQUEST_RETRY_DELAY_S * 2.5)
    assert len(requests) == sent


async def test_a_version_told_while_a_copy_is_on_its_way_is_asked_for_at_once(
    instance: GatewayInstance,
) -> None:
    requests = CopyRequests()
    instance.mesh.send = requests.send
    newer = instance.updates.copy_of(TABLE).read_version + 100
    instance.updates._receive_heartbeat(PEERS[0], heartbeat(newer))
    await until(lambda: requests)
    instance.updates._receive_heartbeat(PEERS[1], heartbeat(newer + 1))
    instance.updates._receive_table_whole(PEERS[0], TableWhole(TABLE, newer, []))
    assert requests == [PEERS[0], PEERS[1]]


async def test_a_table_that_is_watched_now_and_then_is_left_to_the_store(
    instance: GatewayInstance,
) -> None:
    requests = CopyRequests()
    instance.mesh.send = requests.send
    clock = LoopClock(still=True)
    index = instance.index.copy
    newer = Heartbeat([], {index.table: index.read_version + 100})
    instance.updates._receive_heartbeat(PEERS[0], newer)
    await clock.ahead(INDEX_READ_INTERVAL_S)
    assert requests == []
    await clock.ahead_until(lambda: bool(requests))


async def test_without_the_store_any_table_is_asked_for_soon(
    instance: GatewayInstance,
) -> None:
    requests = CopyRequests()
    instance.mesh.send = requests.send
    instance.reachability.record_failure("it is away")
    index = instance.index.copy
    newer = Heartbeat([], {index.table: index.read_version + 100})
    instance.updates._receive_heartbeat(PEERS[0], newer)
    await until(lambda: requests, INDEX_READ_INTERVAL_S)


async def test_what_a_peer_counts_is_not_told_on(instance: GatewayInstance) -> None:
    """It does not even cost an iteration of the event loop."""
    flushed: list[None] = []
    instance.updates._flush = lambda: flushed.append(None)
    instance.updates._receive_counts(PEERS[0], Counts([["i-0", 1, 0, 0.0]]))
    await asyncio.sleep(0)
    assert instance.fleet.occupancy.total_at("i-0").online == 1
    assert flushed == []
    instance.fleet.occupancy.add("i-0", online=1)
    instance.fleet.notify_changed()
    await asyncio.sleep(0)
    assert flushed == [None]


async def test_lengths_are_told_once_to_each_of_many_peers(
    instance: GatewayInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each learns them itself; every heartbeat would carry 45 bytes a service."""
    instance.fleet.run_lengths("model").online_s = 0.7
    sent: list[object] = []
    monkeypatch.setattr(instance.mesh, "send_all", sent.append)
    monkeypatch.setattr(instance.mesh, "send_near", sent.append)
    instance.updates._sent_state = ()
    instance.updates.send_heartbeat()
    monkeypatch.setattr(type(instance.mesh), "large", True)
    instance.updates._sent_state = ()
    instance.updates.send_heartbeat()
    assert [bool(heartbeat.lengths) for heartbeat in sent] == [True, False]
    assert instance.updates._first_heartbeat().lengths
