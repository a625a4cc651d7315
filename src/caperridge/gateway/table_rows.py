"""Application of table rows to the configuration, the targets and the job index.

Rows of targets may come from any writer. An invalid one is skipped and logged with all
its faults; the others are applied.
"""

import asyncio
from collections.abc import Callable

from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.dialect import DecodeError, Dialect
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.rows import StoredRow
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import TargetClient
from caperridge.log import logger

log = logger(__name__)


class TableRows:
    """Applies changed rows; ``source`` is who sent them.

    Attributes:
        on_applied: called with a table's name after rows of it were applied.
        on_target_removed: called with a target that is no longer listed.
        on_target_replaced: called with a target whose later incarnation is listed.

    Args:
        dialect: decodes rows.
        configuration: offered new versions.
        fleet: whose targets are listed.
        client: ends runs at targets that were replaced.
        index: of jobs.
        metrics: exports the version in force.
    """

    def __init__(
        self,
        dialect: Dialect,
        configuration: ConfigurationInForce,
        fleet: Fleet,
        client: TargetClient,
        index: JobIndex,
        metrics: GatewayMetrics,
    ) -> None:
        self._dialect = dialect
        self._configuration = configuration
        self._fleet = fleet
        self._client = client
        self._index = index
        self._metrics = metrics
        self.on_applied: Callable[[str], None] = lambda table: None
        self.on_target_removed: Callable[[Target], None] = lambda target: None
        self.on_target_replaced: Callable[[Target], None] = lambda target: None

    def apply_configuration(self, rows: list[StoredRow], source: str) -> None:
        """Put a newer configuration in force."""
        for row in rows:
            if row.key.key != self._dialect.configuration_key or row.removed:
                continue
            try:
                table = self._dialect.configuration(row.value)
            except DecodeError as error:
                log.error("invalid configuration", reason=str(error), source=source)
                continue
            if self._configuration.offer(table, source):
                self._metrics.configuration_version.set(table.version)
        self.on_applied(self._dialect.configuration_table)

    def apply_targets(self, rows: list[StoredRow], source: str) -> None:
        """Add, update and remove targets."""
        now = asyncio.get_running_loop().time()
        for row in rows:
            if not row.removed:
                self._apply_target_alone(row, source, now)
                continue
            name = row.key.key
            target = self._fleet.targets.find_by_name(name)
            self._fleet.targets.remove(name, now)
            if target is not None:
                self._record_version(target, now)
            if target is not None and self._fleet.targets.find_by_name(name) is None:
                self.on_target_removed(target)
            log.info("target removed", target=name, source=source, version=row.version)
        self._fleet.targets_known = True
        self._fleet.discard_removed()
        self._fleet.notify_changed()
        self.on_applied(self._dialect.targets_table)

    def _apply_target_alone(self, row: StoredRow, source: str, now: float) -> None:
        """Apply an entry; an unforeseen error is logged and keeps no other from it."""
        try:
            self._apply_target(row, source, now)
        except Exception:
            log.exception("entry of a target not applied", target=row.key.key)

    def _apply_target(self, row: StoredRow, source: str, now: float) -> None:
        targets = self._fleet.targets
        name = row.key.key
        try:
            target = self._dialect.target(name, row.value)
        except DecodeError as error:
            log.error(
                "invalid target",
                target=name,
                version=row.version,
                source=source,
                named_one_before=targets.discard(name),
                reason=str(error),
            )
            return
        self._record_version(target, now)
        if targets.by_id.get(target.id) != target:
            log.info(
                "target listed",
                target=target.id,
                draining=target.draining,
                software_version=target.software_version,
                address=target.address,
                source=source,
                version=row.version,
            )
        replaced = targets.put(target)
        if replaced is None:
            return
        self._record_version(replaced, now)
        # A run that the later incarnation has begun can't go on at the version of the
        # earlier one, so it is left where it is; one of the earlier falls silent.
        resumable = replaced.origin == target.origin
        ended = self._client.abort_runs(replaced.id, begun=resumable)
        self.on_target_replaced(replaced)
        log.info(
            "target restarted", target=target.id, before=replaced.id, runs_ended=ended
        )

    def _record_version(self, target: Target, now: float) -> None:
        self._fleet.versions.record(target.service, target.software_version, now)

    def apply_index(self, rows: list[StoredRow], source: str) -> None:
        """Apply entries of jobs."""
        self._index.apply_rows(rows)
        self.on_applied(self._index.copy.table)
