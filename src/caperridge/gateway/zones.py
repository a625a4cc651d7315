"""Failure detection for availability zones, by the silence of all their peers.

A zone that may be cut off is detected before an attempt at one of its targets fails.
"""

from typing import Protocol

from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import SILENCE_TIMEOUT_S

# In a small mesh every peer sends something at least every 0.7 s.
SUSPECT_AFTER_S = 0.8
# In a large mesh a peer of another zone sends to two contacts in turn, which relay that
# with their own heartbeats.
SUSPECT_FAR_AFTER_S = 1.5
# Limited, because a zone may have lost its instances while its targets are healthy.
SUSPECT_FOR_S = 2.5
# In a large mesh each instance has to find out by itself that the targets of a zone are
# cut off.
SUSPECT_FAR_FOR_S = 5.0


class Peers(Protocol):
    """The part of the mesh that is used here."""

    zone: str
    large: bool
    members_by_id: dict[str, Member]


def silent_zones(peers: Peers, now: float) -> frozenset[str]:
    """Return the zones whose peers have all recently fallen silent.

    In a large mesh messages of a zone arrive through many contacts, so the silence of
    the whole zone is noticed as soon as in a small one, though that of a single remote
    peer is not. If all peers are silent, no zone is returned: more likely this instance
    is cut off.
    """
    responsive: set[str] = set()
    silent: set[str] = set()
    suspect_after_s = SUSPECT_FAR_AFTER_S if peers.large else SUSPECT_AFTER_S
    suspect_for_s = SUSPECT_FAR_FOR_S if peers.large else SUSPECT_FOR_S
    for member in peers.members_by_id.values():
        silence_s = now - member.last_received_at
        if silence_s <= suspect_after_s:
            responsive.add(member.zone)
        elif silence_s <= suspect_for_s and not _stream_closed(member):
            silent.add(member.zone)
    return frozenset(silent - responsive - {peers.zone}) if responsive else frozenset()


def _stream_closed(member: Member) -> bool:
    """Whether a member's stream was closed; a zone being cut off does not do that."""
    return (
        member.lost_at is not None
        and member.lost_at - member.last_received_at < SILENCE_TIMEOUT_S
    )
