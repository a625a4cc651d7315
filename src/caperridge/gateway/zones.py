"""Availability zones that may have been cut off, known before any try tells."""

from typing import Protocol

from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import SILENCE_S

# A near peer says something at least every 0.7 s.
SUSPECT_AFTER_S = 0.8
# Not for good: a zone may have lost its instances while its targets are well.
SUSPECT_FOR_S = 2.5


class Peers(Protocol):
    """What of the mesh is asked here."""

    zone: str
    large: bool
    members_by_id: dict[str, Member]


def silent_zones(peers: Peers, now: float) -> frozenset[str]:
    """Return the zones of which every peer fell silent a moment ago.

    Where there are too many peers for all to be near, silence says too little; so does
    the silence of everybody, which is more likely this instance's own.
    """
    if peers.large:
        return frozenset()
    heard: set[str] = set()
    silent: set[str] = set()
    for member in peers.members_by_id.values():
        silence_s = now - member.heard_at
        if silence_s <= SUSPECT_AFTER_S:
            heard.add(member.zone)
        elif silence_s <= SUSPECT_FOR_S and not _ended(member):
            silent.add(member.zone)
    return frozenset(silent - heard - {peers.zone}) if heard else frozenset()


def _ended(member: Member) -> bool:
    """Whether a member's stream ended, which a zone that is cut off does not cause."""
    return member.lost_at is not None and member.lost_at - member.heard_at < SILENCE_S
