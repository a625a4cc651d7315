"""A large mesh: not every change goes to every peer, yet items start at once."""

import asyncio
import collections

import pytest

from caperridge.gateway.mesh import mesh
from caperridge.gateway.mesh.contacts import CONTACTS_PER_ZONE
from caperridge.gateway.mesh.messages import (
    Alive,
    Counts,
    Heartbeat,
    RelayedHeartbeats,
)
from caperridge.gateway.news import FULL_HEARTBEAT_PERIOD_BEATS
from caperridge.gateway.process import HEARTBEAT_INTERVAL_S, GatewayInstance
from gateway.conftest import World, until
from gateway.test_jobs import ITEMS, listed


class ReceivedCounter(collections.Counter):
    """Messages that one instance received, by kind."""

    def __init__(self, instance: GatewayInstance) -> None:
        super().__init__()
        handle = instance.mesh._inbox._on_message

        def received(member, message) -> None:
            self[type(message)] += 1
            handle(member, message)

        instance.mesh._inbox._on_message = received


async def test_of_an_idle_peer_only_its_life_is_heard_between_whole_heartbeats(
    world: World, many_peers: None
) -> None:
    instances = [await world.add_instance(zone=zone) for zone in "aab"]
    await world.ready()
    await asyncio.sleep(
        HEARTBEAT_INTERVAL_S * 1.5
    )  # the first messages of the connections have been sent
    received = ReceivedCounter(instances[0])
    await asyncio.sleep(HEARTBEAT_INTERVAL_S * FULL_HEARTBEAT_PERIOD_BEATS * 2)
    near, far = (
        2,
        FULL_HEARTBEAT_PERIOD_BEATS,
    )  # the far one alternates between the two of this zone
    assert near + far - 2 <= received[Heartbeat] <= near + far + 2
    # A heartbeat that the near peer relays also shows that the near peer is alive.
    expected = (FULL_HEARTBEAT_PERIOD_BEATS - 1) * 2
    assert (
        expected - 1
        <= received[Alive] + received[RelayedHeartbeats]
        <= expected + near + 1
    )
    kinds = received[Heartbeat] + received[Alive] + received[RelayedHeartbeats]
    assert sum(received.values()) == kinds


async def test_a_peer_that_is_told_counts_needs_no_sign_of_life(
    world: World, many_peers: None
) -> None:
    receiver = await world.add_instance(zone="a")
    sender = await world.add_instance(zone="a")
    await world.ready()
    await asyncio.sleep(HEARTBEAT_INTERVAL_S * 1.5)
    received = ReceivedCounter(receiver)
    end = (
        asyncio.get_running_loop().time()
        + HEARTBEAT_INTERVAL_S * FULL_HEARTBEAT_PERIOD_BEATS * 2
    )
    while asyncio.get_running_loop().time() < end:
        sender.mesh.send_near(Counts([]))
        await asyncio.sleep(mesh.RECENTLY_SENT_S / 4)
    assert received[Counts] > 0
    assert received[Alive] <= 1  # one iteration of the loop may have been late


async def test_who_connects_hears_all_counts_without_waiting_for_a_heartbeat(
    world: World, many_peers: None
) -> None:
    await world.add_runner(zone="a")
    sender = await world.add_instance(zone="a")
    await world.ready()
    sender.fleet.occupancy.add("i-0", online=2)
    sender.fleet.notify_changed()
    sender.updates.send_heartbeat = lambda: None
    receiver = await world.add_instance(zone="b")
    own = sender.settings.instance
    await until(lambda: receiver.fleet.occupancy.count_of(own, "i-0").online == 2)


async def test_a_connection_that_is_made_again_begins_with_all_counts(
    world: World, many_peers: None
) -> None:
    await world.add_runner(zone="a")
    sender = await world.add_instance(zone="a")
    receiver = await world.add_instance(zone="b")
    await world.ready()
    sender.updates.send_heartbeat = lambda: None
    sender.fleet.occupancy.add("i-0", online=2)
    sender.fleet.occupancy.take_changed()
    for stream in list(receiver.mesh._inbox._streams):
        stream.close()
    own = sender.settings.instance
    await until(lambda: receiver.fleet.occupancy.count_of(own, "i-0").online == 2)


@pytest.mark.parametrize(
    ("zone", "silent_s", "lost"),
    [
        ("a", HEARTBEAT_INTERVAL_S + mesh.RECENTLY_SENT_S, False),
        ("a", 2 * HEARTBEAT_INTERVAL_S + mesh.RECENTLY_SENT_S, False),
        ("a", mesh.SILENCE_TIMEOUT_S + 0.01, True),
        ("b", 2 * CONTACTS_PER_ZONE * HEARTBEAT_INTERVAL_S, False),
        ("b", mesh.FAR_SILENCE_TIMEOUT_S + 0.01, True),
    ],
)
async def test_a_peer_is_lost_after_more_than_two_signs_of_life_stayed_out(
    world: World, many_peers: None, zone: str, silent_s: float, lost: bool
) -> None:
    instance = await world.add_instance(zone="a")
    peer = await world.add_instance(zone=zone)
    await world.ready()
    member = instance.mesh.members_by_id[peer.settings.instance]
    member.last_received_at = asyncio.get_running_loop().time() - silent_s
    instance.mesh.check_members()
    assert (member.lost_at is not None) == lost


async def test_that_an_instance_leaves_is_heard_everywhere_at_once(
    world: World, many_peers: None
) -> None:
    leaving = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    own = leaving.settings.instance
    leaving.updates.leaving = True
    leaving.updates.send_heartbeat()
    await until(lambda: far.mesh.members_by_id[own].leaving, HEARTBEAT_INTERVAL_S)


async def test_granters_elsewhere_forget_wants_that_were_met(
    world: World, many_peers: None
) -> None:
    await world.add_runner(zone="a")
    await world.add_runner(zone="b")
    holder = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    assert (await world.submit(holder, "j1", ITEMS)).status == 202
    await listed(world, far, "j1", len(ITEMS))
    await until(lambda: not far.granting.has_requests, within_s=1.0)


async def test_a_job_starts_at_once_while_others_elsewhere_were_done(
    world: World, many_peers: None
) -> None:
    """The runners are all in another zone than the instances that hold the jobs."""
    runner = await world.add_runner(zone="b", slots=3)
    holders = [await world.add_instance(zone="a") for _ in range(2)]
    await world.add_instance(zone="b")
    await world.ready()
    for number in range(2):
        for holder in holders:
            id = f"j{number}-{holder.settings.instance}"
            items = [f"{id}-{item}" for item in ITEMS]
            assert (await world.submit(holder, id, items)).status == 202
            await until(lambda of=items: _ended(runner, of), within_s=1.5)


async def test_an_item_of_a_third_zone_gives_way_to_an_online_request(
    world: World, many_peers: None
) -> None:
    """The requester does not know who runs the item; the granter does."""
    runner = await world.add_runner(zone="b", slots=1)
    asking = await world.add_instance(zone="a")
    await world.add_instance(zone="b")
    holder = await world.add_instance(zone="c")
    await world.ready()
    runner.pause_s = 1.0
    assert (await world.submit(holder, "j1", ["x1"])).status == 202
    await until(lambda: runner.busy == 1)
    answering = asyncio.ensure_future(world.ask(asking, "/ask/1", "r1"))
    await until(lambda: any(run.id == "x1" and run.cut for run in runner.runs), 0.5)
    answering.cancel()


def _ended(runner, items: list[str]) -> bool:
    return set(items) <= {run.id for run in runner.runs if run.finished}
