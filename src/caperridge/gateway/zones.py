"""Availability zones that may have been cut off, known before any try tells."""

from typing import Protocol

from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import SILENCE_TIMEOUT_S

# A near peer says something at least every 0.7 s.
SUSPECT_AFTER_S = 0.8
# A far peer tells two contacts in turn, which pass that on with their own beats.
SUSPECT_FAR_AFTER_S = 1.5
# Not for good: a zone may have lost its instances while its targets are well.
SUSPECT_FOR_S = 2.5
# Of many instances each finds out for itself that the targets of a zone are cut off.
SUSPECT_FAR_FOR_S = 5.0


class Peers(Protocol):
    """What of the mesh is asked here."""

    zone: str
    large: bool
    members_by_id: dict[str, Member]


def silent_zones(peers: Peers, now: float) -> frozenset[str]:
    """Return the zones of which every peer fell silent a moment ago.

    Where there are many peers a zone is heard through many contacts, so that its
    silence shows as soon, though that of one far peer does not. The silence of
    everybody says too little: it is more likely this instance's own.
    """
    heard: set[str] = set()
    silent: set[str] = set()
    suspect_after_s = SUSPECT_FAR_AFTER_S if peers.large else SUSPECT_AFTER_S
    suspect_for_s = SUSPECT_FAR_FOR_S if peers.large else SUSPECT_FOR_S
    for member in peers.members_by_id.values():
        silence_s = now - member.last_received_at
        if silence_s <= suspect_after_s:
            heard.add(member.zone)
        elif silence_s <= suspect_for_s and not _ended(member):
            silent.add(member.zone)
    return frozenset(silent - heard - {peers.zone}) if heard else frozenset()


def _ended(member: Member) -> bool:
    """Whether a member's stream ended, which a zone that is cut off does not cause."""
    return (
        member.lost_at is not None
        and member.lost_at - member.last_received_at < SILENCE_TIMEOUT_S
    )
