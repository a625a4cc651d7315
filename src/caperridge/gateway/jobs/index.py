"""Local copy of the index of all jobs, with decoded entries."""

from collections.abc import Callable

from caperridge.gateway.jobs.codec import UnreadableError, from_bytes
from caperridge.gateway.jobs.keys import INDEX, entry_key, gate_key, job_of_entry
from caperridge.gateway.jobs.model import JobEntry
from caperridge.gateway.rows import ABSENT, StoredRow
from caperridge.gateway.table_copy import TableCopy
from caperridge.log import logger

log = logger(__name__)


class JobIndex:
    """Decodes the entries of the copied index, each once per change."""

    def __init__(self) -> None:
        self.copy = TableCopy(INDEX)
        self.entries_by_job: dict[str, JobEntry] = {}
        self._changed: list[Callable[[], None]] = []
        self._removed: list[Callable[[str], None]] = []

    def on_change(self, call: Callable[[], None]) -> None:
        """Register ``call`` to be called when entries have changed."""
        self._changed.append(call)

    def on_removed(self, call: Callable[[str], None]) -> None:
        """Register ``call`` to be called with each job whose entry was removed."""
        self._removed.append(call)

    def apply_rows(self, rows: list[StoredRow]) -> None:
        """Decode rows that have changed in the copy."""
        for row in rows:
            job = job_of_entry(row.key)
            if job is None:
                continue
            if row.removed:
                self.entries_by_job.pop(job, None)
                for call in self._removed:
                    call(job)
                continue
            try:
                self.entries_by_job[job] = from_bytes(JobEntry, row.value)
            except UnreadableError as error:
                log.error("entry of a job skipped", job=job, reason=str(error))
        for call in self._changed:
            call()

    def apply_row(self, row: StoredRow) -> None:
        """Apply one row that was just written or read, if it is newer."""
        if self.copy.apply_row(row):
            self.apply_rows([row])

    def version_of(self, job: str) -> int:
        """Return the version of a job's entry; ``ABSENT`` if it has none."""
        row = self.copy.rows_by_key.get(entry_key(job))
        return row.version if row is not None else ABSENT

    def gate_version(self, route: str, team: str = "") -> int:
        """Return the version of the gate of a team's jobs; ``ABSENT`` if none."""
        row = self.copy.rows_by_key.get(gate_key(route, team))
        return row.version if row is not None else ABSENT

    def waiting_tokens(self, route: str, team: str = "") -> int:
        """Return an upper bound of a team's tokens of unfinished items on ``route``."""
        return sum(
            entry.waiting_tokens
            for entry in self.entries_by_job.values()
            if entry.route == route and entry.team == team and entry.open
        )
