"""The members of the mesh: who is known, who is heard from, who is near."""

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh.member import Member

# Up to so many peers form a full mesh. Beyond, streams lead to all peers of the own
# availability zone and to a few contacts in each other one, so that what an instance
# sends and hears grows with its zone and not with the whole system.
MAX_FULL_MESH_PEERS = 16


class Roster:
    """All other instances that are known.

    Attributes:
        members_by_id: all of them, also those that are not heard from.
        changes: counts what changes who is heard from, who leaves and who is where.

    Args:
        instance: own id.
        zone: own availability zone.
    """

    def __init__(self, instance: str, zone: str) -> None:
        self.members_by_id: dict[str, Member] = {}
        self.changes = 0
        self._instance = instance
        self._zone = zone
        self._alive_key = -1
        self._alive: list[Member] = []
        self._alive_incarnations: frozenset[str] = frozenset()
        self._near_key: tuple[int, bool] | None = None
        self._near: list[Member] = []

    @property
    def large(self) -> bool:
        """Whether there are too many peers for a full mesh."""
        return len(self.members_by_id) > MAX_FULL_MESH_PEERS

    def is_near(self, member: Member) -> bool:
        """Whether a stream leads to a peer whatever its rank, for all there is."""
        return member.zone == self._zone or not self.large

    def near(self) -> list[Member]:
        """Return the peers that are near."""
        key = self.changes, self.large
        if key != self._near_key:
            self._near_key = key
            members = self.members_by_id.values()
            self._near = [one for one in members if self.is_near(one)]
        return self._near

    def far(self) -> list[Member]:
        """Return the peers that are not near."""
        members = self.members_by_id.values()
        return [one for one in members if not self.is_near(one)]

    def alive(self) -> list[Member]:
        """Return the members that are heard from."""
        self._look_who_is_alive()
        return self._alive

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this life of a peer is heard from."""
        self._look_who_is_alive()
        return incarnation in self._alive_incarnations

    def _look_who_is_alive(self) -> None:
        if self._alive_key == self.changes:
            return
        self._alive_key = self.changes
        members = self.members_by_id.values()
        self._alive = [member for member in members if member.lost_at is None]
        self._alive_incarnations = frozenset(one.incarnation for one in self._alive)

    def learn(self, id: str, address: str, zone: str, now: float) -> bool:
        """Take note of an instance that is listed somewhere; return if that was news.

        Where a member is said to be is believed only while it is not heard from.
        """
        member = self.members_by_id.get(id)
        if member is None:
            affinity = score(id, self._instance)
            self.members_by_id[id] = Member(id, address, zone, now, affinity)
            self.changes += 1
            return True
        member.listed_at = now
        if member.address == address or member.lost_at is None:
            return False
        member.address = address
        member.zone = zone
        self.changes += 1
        return True

    def set_leaving(self, id: str, leaving: bool) -> None:
        """Note whether a member takes no new work."""
        member = self.members_by_id.get(id)
        if member is not None and member.leaving != leaving:
            member.leaving = leaving
            self.changes += 1

    def reaches_store(self, id: str, reached: bool) -> bool:
        """Note whether the store answers a member; return if that was news."""
        member = self.members_by_id.get(id)
        if member is None or member.store_reached == reached:
            return False
        member.store_reached = reached
        self.changes += 1
        return True

    def remove(self, member: Member) -> None:
        """Drop a member that is long gone."""
        del self.members_by_id[member.id]
        self.changes += 1
