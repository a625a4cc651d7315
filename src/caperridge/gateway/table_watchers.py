"""The watchers of the tables that each instance keeps a copy of."""

import random
from collections.abc import Callable

from caperridge.gateway.dialect import Dialect
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.request_guard import RequestGuard
from caperridge.gateway.rows import RowStore, StoredRow
from caperridge.gateway.table_copy import TableCopy
from caperridge.gateway.table_rows import TableRows
from caperridge.gateway.watcher import Changed, StoreReachability, TableWatcher

# The copy of the index may lag, because no decision rests on it alone.
INDEX_READ_INTERVAL_S = 0.7
# Peers announce quarantined requests at once. An instance without peers reads them from
# the store, well within the seconds in which it has to learn of them.
QUARANTINE_READ_INTERVAL_S = 0.5


class TableWatchers:
    """The watchers of an instance.

    Attributes:
        all: of every table.
        targets: of the list of targets.

    Args:
        store: called directly.
        reach: gets the outcome of each call.
        reads: whether this instance polls a table continuously.
        rng: spreads polls.
        dialect: names the tables.
        rows: applies changed rows.
        index: of jobs.
        guard: of requests in quarantine.
    """

    __slots__ = ("all", "targets")

    def __init__(
        self,
        store: RowStore,
        reach: StoreReachability,
        reads: Callable[[str], bool],
        rng: random.Random,
        dialect: Dialect,
        rows: TableRows,
        index: JobIndex,
        guard: RequestGuard,
    ) -> None:
        def watcher(copy: TableCopy, apply: Changed, interval_s: float) -> TableWatcher:
            return TableWatcher(store, copy, reach, apply, interval_s, reads, rng)

        def apply_quarantine(changed: list[StoredRow], source: str) -> None:
            guard.apply_rows(changed, source)
            rows.on_applied(guard.rows.copy.table)

        configuration = TableCopy(dialect.configuration_table)
        self.targets = watcher(
            TableCopy(dialect.targets_table), rows.apply_targets, 0.0
        )
        self.all = [
            watcher(configuration, rows.apply_configuration, 0.0),
            self.targets,
            watcher(index.copy, rows.apply_index, INDEX_READ_INTERVAL_S),
            watcher(guard.rows.copy, apply_quarantine, QUARANTINE_READ_INTERVAL_S),
        ]
