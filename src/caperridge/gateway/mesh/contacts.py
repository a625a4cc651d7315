"""Choice of contacts, the few peers in each other zone that a stream leads to.

Each instance chooses its own by rendezvous hashing, so that no election is needed and
the contacts of a zone's instances are spread over the other zone.
"""

import heapq
from collections.abc import Iterable

from caperridge.gateway.mesh.member import Member

# With only one, losing it cuts an instance off from that zone until another connects.
CONTACTS_PER_ZONE = 2


def choose_contacts(members: Iterable[Member], now: float) -> dict[str, list[Member]]:
    """Return the contacts by availability zone, the best first.

    Args:
        members: of other zones; those that could not be connected, are lost or are
            leaving are chosen last. They are still chosen, or zones that were cut off
            from each other would not reconnect.
        now: on the loop's clock.
    """
    members_by_zone: dict[str, list[Member]] = {}
    for member in members:
        members_by_zone.setdefault(member.zone, []).append(member)

    def rank(member: Member) -> tuple[bool, bool, bool, int, str]:
        avoided = member.avoid_until > now
        lost = member.lost_at is not None
        return avoided, lost, member.leaving, member.affinity, member.id

    return {
        zone: heapq.nsmallest(CONTACTS_PER_ZONE, zone_members, key=rank)
        for zone, zone_members in members_by_zone.items()
    }
