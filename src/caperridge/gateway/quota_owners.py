"""Which instance owns the window of each team."""

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.mesh.mesh import Mesh


class WindowOwners:
    """The owners of windows, by rendezvous hashing of the instances that don't leave.

    Args:
        mesh: of peers.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._leaving = False
        self._owners_by_team: dict[str, str] = {}
        self._owners_key = -1
        # Peers that leave, by what they have sent, with their incarnation.
        self._left_by_id: dict[str, str] = {}

    def set_leaving(self, leaving: bool) -> None:
        """Record whether this instance leaves its windows to others."""
        self._leaving = leaving
        self._owners_by_team.clear()

    def window_received(self, peer: str, team: str) -> None:
        """Record that a peer has handed a window over to this instance.

        If that peer owns it by what is known here, it leaves, and its message that
        says so is still to come.
        """
        if self.of(team) != peer:
            return
        self._left_by_id[peer] = self._mesh.incarnation_of(peer)
        self._owners_by_team.clear()

    def of(self, team: str) -> str:
        """Return the instance that keeps the window of ``team``."""
        if self._owners_key != self._mesh.changes:
            self._owners_key = self._mesh.changes
            self._owners_by_team.clear()
        found = self._owners_by_team.get(team)
        if found is None:
            found = owner(team, self._staying()) or self._mesh.instance
            self._owners_by_team[team] = found
        return found

    def _staying(self) -> list[str]:
        """Return the instances that are alive and don't leave."""
        staying = [] if self._leaving else [self._mesh.instance]
        for member in self._mesh.alive():
            left = self._left_by_id.get(member.id)
            if member.leaving or left not in (None, member.incarnation):
                self._left_by_id.pop(member.id, None)
                left = None
            if not member.leaving and left is None:
                staying.append(member.id)
        return staying
