"""Decides which instance writes the row of a suspect, and when.

All instances come to the same conclusion about a suspect. In a large fleet hundreds of
them would write the same row, so at first only those write it that saw the crashes or
the good run; the others do so only if the row has not appeared by then.
"""

import asyncio
from collections.abc import Callable, Iterable

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import Suspect
from caperridge.elapsed import elapsed_s
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.held_rows import QuarantineTable, is_stored
from caperridge.gateway.mesh.mesh import Mesh

# Until another instance stores a quarantine that its reporters have not stored.
MIN_BACKUP_WRITE_DELAY_S = 1.0
# Between two of them; reading what the first has written takes up to half a second.
BACKUP_WRITE_INTERVAL_S = 0.05


class SuspectWrites:
    """Schedules the writes of one instance.

    Args:
        quarantine: the suspects.
        rows: their rows in the store.
        mesh: of peers.
        fleet: whose source of randomness is used.
    """

    def __init__(
        self, quarantine: Quarantine, rows: QuarantineTable, mesh: Mesh, fleet: Fleet
    ) -> None:
        self._quarantine = quarantine
        self._rows = rows
        self._mesh = mesh
        self._fleet = fleet
        # Keys of suspects with a crash that was reported here and is not settled yet.
        self._unsettled: set[str] = set()

    def crash_reported_here(self, keys: Iterable[str]) -> None:
        """Store these suspects once it is settled who is to blame."""
        self._unsettled.update(keys)

    def settled(self) -> None:
        """Store the suspects of settled crashes unless they were exonerated."""
        now = elapsed_s()
        for key in self._unsettled:
            suspect = self._quarantine.by_content.get(key)
            if suspect is not None and is_stored(suspect, now):
                self._rows.schedule_write(key)
        self._unsettled.clear()

    def quarantined(self, suspect: Suspect) -> None:
        """Store a quarantine."""
        here = self._mesh.instance
        reported_here = any(crash.reported_by == here for crash in suspect.crashes)
        if reported_here or not self._mesh.large:
            self._rows.schedule_write(suspect.content)
            return
        self._call_later(self._rows.schedule_missing_write, suspect.content)

    def ran_well(self, key: str, reported_by: str) -> None:
        """Store, or remove, a suspect with a good run."""
        if reported_by == self._mesh.instance or not self._mesh.large:
            self._rows.schedule_write(key)
            return
        self._call_later(self._rows.schedule_write, key)

    def _call_later(self, write: Callable[[str], None], key: str) -> None:
        spread_s = BACKUP_WRITE_INTERVAL_S * (1 + len(self._mesh.alive()))
        delay_s = MIN_BACKUP_WRITE_DELAY_S + spread_s * self._fleet.rng.random()
        asyncio.get_running_loop().call_later(delay_s, write, key)
