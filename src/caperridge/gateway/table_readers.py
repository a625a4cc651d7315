"""Choice of reader: which instances poll a table for their availability zone.

Where there are many instances, two of each zone poll a table, chosen by rendezvous
hashing, and forward its changes; the others poll at long intervals. Two instances with
different views may both read, or neither for a moment.
"""

from caperridge.decisions.rendezvous import score
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.watcher import StoreReachability

# One may stall or be lost; its peers find out within 1.5 s.
READERS_PER_ZONE = 2


class TableReaders:
    """Chooses the tables that this instance reads for its zone.

    Args:
        mesh: of peers.
        reach: whether the store answers here.
    """

    __slots__ = ("_key", "_mesh", "_reach", "_reads_by_table")

    def __init__(self, mesh: Mesh, reach: StoreReachability) -> None:
        self._mesh = mesh
        self._reach = reach
        self._key = -1
        self._reads_by_table: dict[str, bool] = {}

    def reads(self, table: str) -> bool:
        """Whether this instance polls ``table`` continuously."""
        if not self._mesh.large or not self._reach.reached:
            return True
        if self._mesh.changes != self._key:
            self._key = self._mesh.changes
            self._reads_by_table.clear()
        known = self._reads_by_table.get(table)
        if known is None:
            known = self._reads_by_table[table] = self._is_chosen(table)
        return known

    def _is_chosen(self, table: str) -> bool:
        own = score(table, self._mesh.instance)
        ahead = 0
        for member in self._mesh.alive():
            if member.zone != self._mesh.zone or member.leaving:
                continue
            if member.store_reached and score(table, member.id) > own:
                ahead += 1
        return ahead < READERS_PER_ZONE
