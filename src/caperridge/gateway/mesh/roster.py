"""The roster of the mesh: which members are known, alive and near."""

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh.member import Member

# Up to this many peers form a full mesh. With more, streams lead to all peers of the
# own availability zone and to a few contacts in each other one, so that what an
# instance sends and receives grows with its zone and not with the whole system.
MAX_FULL_MESH_PEERS = 16


class Roster:
    """All other instances that are known.

    Attributes:
        members_by_id: all of them, lost ones included.
        changes: count of changes of who is alive, who is leaving and where members are.

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
        """Whether a peer has a stream in any case, and is sent every message."""
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
        """Return the members that are alive."""
        self._refresh_alive()
        return self._alive

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this incarnation of a peer is alive."""
        self._refresh_alive()
        return incarnation in self._alive_incarnations

    def _refresh_alive(self) -> None:
        if self._alive_key == self.changes:
            return
        self._alive_key = self.changes
        members = self.members_by_id.values()
        self._alive = [member for member in members if member.lost_at is None]
        self._alive_incarnations = frozenset(one.incarnation for one in self._alive)

    def learn(self, id: str, address: str, zone: str, now: float) -> bool:
        """Record an instance that is listed; return whether that changed anything.

        A member that is alive keeps the location that it sent itself.
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
        """Record whether a member takes no new work."""
        member = self.members_by_id.get(id)
        if member is not None and member.leaving != leaving:
            member.leaving = leaving
            self.changes += 1

    def set_store_reached(self, id: str, reached: bool) -> bool:
        """Record whether a member reaches the store; return whether that changed."""
        member = self.members_by_id.get(id)
        if member is None or member.store_reached == reached:
            return False
        member.store_reached = reached
        self.changes += 1
        return True

    def remove(self, member: Member) -> None:
        """Remove a member that has been lost for long."""
        del self.members_by_id[member.id]
        self.changes += 1
