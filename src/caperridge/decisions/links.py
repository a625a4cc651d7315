"""Topology of the peer mesh: the peers to which an instance keeps a stream.

An instance links to all peers of its own availability zone, so that updates of online
load arrive in one hop. Links to other zones are chosen by rendezvous hashing: a fixed
number for each pair of zones, however many instances they have, so the links of one
instance shrink as its zone grows. Instances that seem dead rank last but are not
excluded; otherwise two zones that were partitioned would never reconnect.
"""

from collections.abc import Collection, Mapping

import xxhash

from caperridge.decisions.membership import Membership

LINKS_PER_ZONE = 2


def desired_links(
    instance: str,
    availability_zone: str,
    known_by_zone: Mapping[str, Collection[str]],
    live: Collection[str],
) -> set[str]:
    """Return the peers that ``instance`` should have a stream to.

    Args:
        instance: id of this instance.
        availability_zone: zone of this instance.
        known_by_zone: every instance that is not known to have left.
        live: ids of the instances that seem to be live.
    """
    own_zone = set(known_by_zone.get(availability_zone, ())) | {instance}
    live = set(live) | {instance}
    desired = own_zone - {instance}
    for zone, members in known_by_zone.items():
        if zone == availability_zone or not zone:
            continue
        if instance in linking_members(availability_zone, zone, own_zone, live):
            desired.update(linking_members(zone, availability_zone, members, live))
    return desired


def links_for(membership: Membership) -> set[str]:
    """Return the peers that the owner of this view should have a stream to."""
    return desired_links(
        membership.instance,
        membership.availability_zone,
        membership.known_by_zone(),
        {i for ids in membership.live_by_zone().values() for i in ids},
    )


def linking_members(
    zone: str, other: str, members: Collection[str], live: Collection[str]
) -> list[str]:
    """Return the members of ``zone`` that maintain the links to ``other``."""

    def rank(member: str) -> tuple[bool, int, str]:
        score = xxhash.xxh3_64_intdigest(f"{member}\x00{zone}\x00{other}".encode())
        return member in live, score, member

    return sorted(members, key=rank, reverse=True)[:LINKS_PER_ZONE]
