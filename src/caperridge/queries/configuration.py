"""Reads of the configuration log: its head, deltas and snapshots.

The head names the newest version and the newest snapshot. A reader that already has a
version at or above that snapshot reads only the log's rows above its version; any
other reader reads the snapshot and the rows above it.
"""

from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.config.model import Configuration
from caperridge.decisions.configuration_order import Delta, PackedDelta, apply_delta
from caperridge.queries.rows import read_record
from caperridge.records import Record, unpack
from caperridge.store.interface import NotDone, Platform, ReadError, Row


class Head(Record):
    """The newest version; ``row_version`` is 0 if no version was ever confirmed.

    Attributes:
        configuration: the newest version itself.
        row_version: version of the head's row, the condition of the next confirmation.
        snapshot: name of the object with the newest stored snapshot.
        snapshot_version: version of that snapshot.
        format: format number of the release that confirmed the newest version.
        deltas: the deltas that were read, in order.
    """

    __slots__ = (
        "configuration",
        "deltas",
        "format",
        "row_version",
        "snapshot",
        "snapshot_version",
    )

    def __init__(
        self,
        configuration: Configuration,
        row_version: int,
        snapshot: str = "",
        snapshot_version: int = 0,
        deltas: list[PackedDelta] | None = None,
        format: int = 0,
    ) -> None:
        self.configuration = configuration
        self.format = format
        self.row_version = row_version
        self.snapshot = snapshot
        self.snapshot_version = snapshot_version
        self.deltas = deltas or []


class LogEntry(Record):
    """One version in the log.

    Attributes:
        version: its number.
        plan: digest of the plan that was confirmed.
        operator: who confirmed it.
        snapshot: name of the object with the newest snapshot at that time.
        snapshot_version: version of that snapshot.
        delta: msgpack of the delta from the version before; empty if in an object.
        delta_object: name of the object with a large delta; empty for none.
        at: when it was confirmed, in seconds since the epoch.
        changes: number of entries that it changed.
        rollback_to: the version that it restored; 0 if it was declared.
        format: format number of the release that confirmed it.
    """

    __slots__ = (
        "at",
        "changes",
        "delta",
        "delta_object",
        "format",
        "operator",
        "plan",
        "rollback_to",
        "snapshot",
        "snapshot_version",
        "version",
    )

    def __init__(
        self,
        version: int,
        plan: str,
        operator: str,
        snapshot: str,
        snapshot_version: int,
        delta: bytes = b"",
        delta_object: str = "",
        at: float = 0.0,
        changes: int = 0,
        rollback_to: int = 0,
        format: int = 0,
    ) -> None:
        self.version = version
        self.format = format
        self.plan = plan
        self.operator = operator
        self.snapshot = snapshot
        self.snapshot_version = snapshot_version
        self.delta = delta
        self.delta_object = delta_object
        self.at = at
        self.changes = changes
        self.rollback_to = rollback_to

    def summary(self) -> dict[str, Any]:
        """Return the fields that are shown to operators."""
        return {
            "version": self.version,
            "operator": self.operator,
            "at": self.at,
            "changes": self.changes,
            "plan": self.plan,
            "rollback_to": self.rollback_to,
        }


async def read_head(
    platform: Platform, known: Configuration | None = None
) -> Result[Head, ReadError]:
    """Return the head; where possible, read only the versions above ``known``."""
    found = await platform.read([keys.CONFIGURATION_HEAD])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(keys.CONFIGURATION_HEAD)
    if row is None:
        return Ok(Head(Configuration(), 0))
    entry = LogEntry.from_map(row.value)
    read = await _build(platform, entry, known)
    if isinstance(read, Err):
        return read
    configuration, deltas = read.ok_value
    return Ok(
        Head(
            configuration,
            row.version,
            entry.snapshot,
            entry.snapshot_version,
            deltas,
            entry.format,
        )
    )


async def read_entry(
    platform: Platform, version: int
) -> Result[LogEntry | None, ReadError]:
    """Return the log's entry of ``version``, or None if there is none."""
    return await read_record(platform, keys.configuration_version(version), LogEntry)


async def read_version(
    platform: Platform, version: int
) -> Result[Configuration | None, ReadError]:
    """Return one version of the log, or None if it was never confirmed."""
    if version == 0:
        return Ok(Configuration())
    entry = await read_entry(platform, version)
    if isinstance(entry, Err):
        return entry
    if entry.ok_value is None:
        return Ok(None)
    read = await _build(platform, entry.ok_value, None)
    return read.map(lambda found: found[0])


async def read_history(
    platform: Platform, newest: int, limit: int
) -> Result[list[LogEntry], ReadError]:
    """Return up to ``limit`` entries of the log from ``newest`` downwards."""
    versions = range(newest, max(0, newest - limit), -1)
    found = await platform.read([keys.configuration_version(v) for v in versions])
    if isinstance(found, Err):
        return found
    entries: list[LogEntry] = []
    for version in versions:
        row = found.ok_value.get(keys.configuration_version(version))
        if row is not None:
            entries.append(LogEntry.from_map(row.value))
    return Ok(entries)


async def _build(
    platform: Platform, entry: LogEntry, known: Configuration | None
) -> Result[tuple[Configuration, list[PackedDelta]], ReadError]:
    """Return the version of ``entry`` and the deltas that were read for it."""
    base = known
    if base is None or not entry.snapshot_version <= base.version <= entry.version:
        snapshot = await platform.get_object(entry.snapshot)
        if isinstance(snapshot, Err):
            return snapshot
        if snapshot.ok_value is None:
            return Err(NotDone("the snapshot of the configuration is missing"))
        base = Configuration.from_bytes(snapshot.ok_value)
    versions = range(base.version + 1, entry.version + 1)
    if not versions:
        return Ok((base, []))
    rows = await platform.read([keys.configuration_version(v) for v in versions])
    if isinstance(rows, Err):
        return rows
    deltas: list[PackedDelta] = []
    for version in versions:
        row = rows.ok_value.get(keys.configuration_version(version))
        data = await _delta_data(platform, version, row)
        if isinstance(data, Err):
            return data
        base = apply_delta(base, Delta.from_map(unpack(data.ok_value)))
        deltas.append(PackedDelta(version - 1, version, data.ok_value))
    return Ok((base, deltas))


async def _delta_data(
    platform: Platform, version: int, row: Row | None
) -> Result[bytes, ReadError]:
    missing = Err(NotDone(f"the delta of version {version} is missing"))
    if row is None:
        return missing
    entry = LogEntry.from_map(row.value)
    if not entry.delta_object:
        return Ok(entry.delta)
    data = await platform.get_object(entry.delta_object)
    if isinstance(data, Err):
        return data
    return missing if data.ok_value is None else Ok(data.ok_value)
