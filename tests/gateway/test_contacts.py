"""Streams of a large mesh: all in the own zone, two contacts in each other zone."""

import asyncio

import pytest

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh import mesh
from caperridge.gateway.mesh.contacts import CONTACTS_PER_ZONE, choose_contacts
from caperridge.gateway.mesh.dialers import TEMPORARY_STREAM_S
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import (
    Counts,
    JobNews,
    MemberLost,
    Relay,
    RelayedHeartbeats,
)
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.mesh.streams import encode_body
from caperridge.gateway.process import HEARTBEAT_INTERVAL_S, GatewayInstance
from gateway.conftest import World, until

NOW = 100.0
OWN = "own"


@pytest.fixture
def members() -> list[Member]:
    made: list[Member] = []
    for number in range(390):
        id = f"e-{number}"
        member = Member(id, id, "bcdef"[number % 5], NOW, score(id, OWN))
        member.lost_at = None
        made.append(member)
    return made


def _zones(chosen: dict[str, list[Member]]) -> dict[str, int]:
    return {zone: len(contacts) for zone, contacts in chosen.items()}


def test_there_are_as_many_contacts_in_each_zone_whatever_its_size(
    members: list[Member],
) -> None:
    expected = dict.fromkeys("bcdef", CONTACTS_PER_ZONE)
    assert _zones(choose_contacts(members, NOW)) == expected
    assert _zones(choose_contacts(members[:20], NOW)) == expected


@pytest.mark.parametrize("fault", ["lost", "leaving", "not reached"])
def test_a_contact_that_cannot_serve_is_replaced(
    members: list[Member], fault: str
) -> None:
    first, second = choose_contacts(members, NOW)["b"]
    if fault == "lost":
        first.lost_at = NOW
    if fault == "leaving":
        first.leaving = True
    if fault == "not reached":
        first.avoid_until = NOW + 1.0
    chosen = choose_contacts(members, NOW)["b"]
    assert chosen[0] is second
    assert first not in chosen


def test_contacts_of_a_zone_that_is_cut_off_are_tried_in_turn(
    members: list[Member],
) -> None:
    """Otherwise the zones would not reconnect."""
    cut_off = [member for member in members if member.zone == "b"]
    for member in cut_off:
        member.lost_at = NOW
    tried: set[str] = set()
    for _ in range(len(cut_off) // CONTACTS_PER_ZONE):
        for contact in choose_contacts(members, NOW)["b"]:
            tried.add(contact.id)
            contact.avoid_until = NOW + 10.0
    assert tried == {member.id for member in cut_off}


def test_contacts_of_many_instances_are_spread(members: list[Member]) -> None:
    zone_members = [member for member in members if member.zone == "b"]
    chosen_by: dict[str, int] = {}
    for number in range(78):
        for member in zone_members:
            member.affinity = score(member.id, f"other-{number}")
        for contact in choose_contacts(zone_members, NOW)["b"]:
            chosen_by[contact.id] = chosen_by.get(contact.id, 0) + 1
    assert max(chosen_by.values()) <= 4 * CONTACTS_PER_ZONE


def test_what_is_listed_moves_only_those_that_are_not_heard() -> None:
    known = Roster(OWN, "a")
    assert known.learn("e-1", "e-1:1", "b", NOW)
    known.members_by_id["e-1"].lost_at = None
    assert not known.learn("e-1", "e-1:2", "c", NOW)
    assert known.members_by_id["e-1"].address == "e-1:1"
    known.members_by_id["e-1"].lost_at = NOW
    assert known.learn("e-1", "e-1:2", "c", NOW)
    assert known.members_by_id["e-1"].zone == "c"


def _streams(instance: GatewayInstance) -> int:
    return len(instance.mesh._dialers.streams_by_address)


async def test_a_stream_leads_to_each_near_peer_and_two_of_each_other_zone(
    world: World, many_peers: None
) -> None:
    instances = [await world.add_instance(zone=zone) for zone in "aabbbbcccc"]
    await world.ready()
    near, contacts = 1, 2 * CONTACTS_PER_ZONE
    await until(
        lambda: _streams(instances[0]) == near + contacts, TEMPORARY_STREAM_S + 3.0
    )


async def test_all_hear_of_each_other_and_all_news_through_contacts(
    world: World, many_peers: None
) -> None:
    instances = [await world.add_instance(zone=zone) for zone in "aaabbbccc"]
    await world.ready()
    instances[0].mesh.send_all(JobNews("j1", "somebody", 7))
    for instance in instances[1:]:
        await until(lambda one=instance: one.keeper.listed_by_id.get("j1") == 7, 1.0)


async def test_an_instance_that_is_killed_is_lost_elsewhere_at_once(
    world: World, many_peers: None
) -> None:
    """Its near peers see their connections close; far ones have none."""
    instances = [await world.add_instance(zone=zone) for zone in "aabbbb"]
    await world.ready()
    killed = instances[-1]
    id = killed.settings.instance
    await world.kill(killed)
    for instance in instances[:-1]:
        member = instance.mesh.members_by_id[id]
        await until(
            lambda one=member: one.lost_at is not None, mesh.SILENCE_TIMEOUT_S / 2
        )


async def test_signs_of_life_that_were_on_their_way_bring_nobody_back(
    world: World, many_peers: None
) -> None:
    near = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    relay = near.mesh._relay
    member = near.mesh.members_by_id[far.settings.instance]
    heartbeat = (member.id, member.incarnation, member.address, member.zone)
    relay._member_lost("", MemberLost(member.id, member.incarnation))
    assert member.lost_at is not None
    assert relay._record_alive(*heartbeat) is None
    assert member.lost_at is not None
    later = (member.id, f"{member.id}.later", member.address, member.zone)
    assert relay._record_alive(*later) is member
    assert member.lost_at is None
    # Relayed heartbeats of the earlier incarnation are ignored.
    assert relay._record_alive(*heartbeat) is None
    assert member.incarnation == f"{member.id}.later"


async def test_a_message_of_a_life_that_is_over_is_not_handled(
    world: World, many_peers: None
) -> None:
    near = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    id = far.settings.instance
    body = encode_body(JobNews("j1", "somebody", 7))
    near.mesh._relay._deliver([id, f"{id}.earlier", body])
    assert "j1" not in near.keeper.listed_by_id
    near.mesh._relay._deliver([id, far.mesh.incarnation, body])
    assert near.keeper.listed_by_id["j1"] == 7


async def test_what_was_passed_on_is_not_passed_on_again(
    world: World, many_peers: None
) -> None:
    """Sent repeatedly and out of order, among contacts of each other."""
    instances = [await world.add_instance(zone=zone) for zone in "aabb"]
    await world.ready()
    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    before = sum(_sent(one, "Relayed") for one in instances)
    for listed in (5, 7, 6):
        instances[0].mesh.send_all(JobNews("j1", "somebody", listed))
    await until(lambda: instances[3].keeper.listed_by_id.get("j1") == 7, 1.0)
    await asyncio.sleep(0.3)
    relayed = sum(_sent(one, "Relayed") for one in instances) - before
    assert relayed <= 3 * CONTACTS_PER_ZONE


def _sent(instance: GatewayInstance, kind: str) -> int:
    totals = instance.mesh.traffic.totals_by_kind
    return sum(counts[0] for (name, _), counts in totals.items() if name == kind)


async def test_a_contact_that_stands_still_is_not_asked_while_another_is_heard(
    world: World, many_peers: None
) -> None:
    asking = await world.add_instance(zone="a")
    for _ in range(2):
        await world.add_instance(zone="b")
    await world.ready()
    relay = asking.mesh._relay
    await until(lambda: len(relay._connected_contacts("b")) == CONTACTS_PER_ZONE)
    first = relay._best_contact("b")
    first.last_received_at -= 10.0
    assert relay._best_contact("b") is not first


async def test_a_relay_for_an_instance_that_is_gone_harms_nobody(
    world: World, many_peers: None
) -> None:
    asking = await world.add_instance(zone="a")
    contact = await world.add_instance(zone="b")
    await world.ready()
    sender = asking.settings.instance
    body = encode_body(JobNews("j1", "somebody", 7))
    contact.mesh._relay._relay_requested(sender, Relay("nobody", body))
    contact.mesh._relay._relay_requested(sender, Relay("", b"no message"))
    assert "j1" not in contact.keeper.listed_by_id


async def test_a_sign_of_life_corrects_counts_that_were_told_since_the_last(
    world: World, many_peers: None
) -> None:
    """A repeated heartbeat is only skipped if nothing came in between."""
    near = await world.add_instance(zone="a")
    far = await world.add_instance(zone="b")
    await world.ready()
    far.updates.send_heartbeat = lambda: None
    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    member = near.mesh.members_by_id[far.settings.instance]
    location = [member.id, member.incarnation, member.address, member.zone]
    heartbeat = RelayedHeartbeats([[*location, False, True, [["i-0", 1, 0, 0.0]]]])
    relay = near.mesh._relay
    relay._receive_heartbeats("", heartbeat)
    relay._deliver(
        [member.id, member.incarnation, encode_body(Counts([["i-0", 3, 0]]))]
    )
    assert near.fleet.occupancy.count_of(member.id, "i-0").online == 3
    relay._receive_heartbeats("", heartbeat)
    assert near.fleet.occupancy.count_of(member.id, "i-0").online == 1
    received_at = member.last_received_at
    relay._receive_heartbeats("", heartbeat)
    assert member.last_received_at > received_at
