"""A local replica of one table of the store, monotonic in its versions.

It takes snapshots, changes and the copies of peers, in any order and repeatedly. Reads
may be stale, so a snapshot that is older than the copy removes nothing.
"""

from collections.abc import Iterable, Sequence

from caperridge.gateway.rows import RowKey, StoredRow

# Tombstones are some 150 bytes each. A peer's copy that still has an older row is some
# seconds old; at most a few hundred rows are removed in that time.
MAX_TOMBSTONES = 5000


class TableCopy:
    """Rows by key with the version that wrote each.

    Attributes:
        table: name of the table.
        version: of the newest change that the copy includes.
        read_version: up to which changes were read; the next are requested from here.
        settled_version: nothing changed after it up to ``read_version``.
    """

    def __init__(self, table: str) -> None:
        self.table = table
        self.version = 0
        self.read_version = -1
        self.settled_version = 0
        self.rows_by_key: dict[RowKey, StoredRow] = {}
        self._tombstone_versions_by_key: dict[RowKey, int] = {}

    @property
    def loaded(self) -> bool:
        """Whether the copy has had a snapshot."""
        return self.read_version >= 0

    def apply_snapshot(
        self, rows: Iterable[StoredRow], version: int
    ) -> list[StoredRow]:
        """Apply a snapshot as of ``version``; return what it changed.

        One that is older than the copy may still list rows that were written since, but
        its older rows and missing rows are ignored. Rows that were written after the
        snapshot stay in any case.
        """
        if version < self.read_version:
            return [row for row in rows if self.apply_row(row)]
        listed = {row.key: row for row in rows}
        changed = [row for row in listed.values() if self._put(row)]
        for key, row in list(self.rows_by_key.items()):
            if key in listed or row.version > version:
                continue
            removed_row = StoredRow(key, b"", version, removed=True)
            if self._put(removed_row):
                changed.append(removed_row)
        self.read_version = version
        self.settled_version = max(self.settled_version, version)
        return changed

    def apply_changes(
        self, rows: Sequence[StoredRow], since: int, version: int
    ) -> list[StoredRow]:
        """Apply all changes after ``since`` up to ``version``; return the new ones."""
        changed = [row for row in rows if self.apply_row(row)]
        if since <= self.read_version:
            self.read_version = max(self.read_version, version)
            newest = max((row.version for row in rows), default=0)
            self.settled_version = max(self.settled_version, newest)
        return changed

    def apply_row(self, row: StoredRow) -> bool:
        """Apply one row that was written or read by itself; return if it was new.

        A row that is unknown though the copy reaches beyond its version was removed.
        """
        if row.key not in self.rows_by_key and row.version <= self.read_version:
            return False
        return self._put(row)

    def rows_in_partition(self, part: str) -> list[StoredRow]:
        """Return the rows of partition ``part``."""
        return [row for key, row in self.rows_by_key.items() if key.part == part]

    def _put(self, row: StoredRow) -> bool:
        before = self.rows_by_key.get(row.key)
        known = (
            before.version if before else self._tombstone_versions_by_key.get(row.key)
        )
        if known is not None and row.version <= known:
            return False
        self.version = max(self.version, row.version)
        if row.removed:
            self._tombstone_versions_by_key.pop(row.key, None)
            self._tombstone_versions_by_key[row.key] = row.version
            if len(self._tombstone_versions_by_key) > MAX_TOMBSTONES:
                oldest = next(iter(self._tombstone_versions_by_key))
                del self._tombstone_versions_by_key[oldest]
            return self.rows_by_key.pop(row.key, None) is not None
        self._tombstone_versions_by_key.pop(row.key, None)
        self.rows_by_key[row.key] = row
        return True
