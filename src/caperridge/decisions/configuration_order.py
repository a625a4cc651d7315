"""Delta replication of the configuration: versions are applied in ascending order.

A version is applied if it is higher than the one in force. A delta applies to exactly
one base version; if that version is not in force, there is a gap, and the missing
versions are requested.
"""

from collections import OrderedDict
from enum import Enum
from typing import Any

from caperridge.config.model import TYPES_BY_FIELD, Configuration
from caperridge.records import Record

MAX_DELTAS = 64  # held in memory to answer peers that are a few versions behind
MAX_DELTA_BYTES = 2**20


class Delta(Record):
    """The changes from one version to a later one.

    Attributes:
        base_version: the version that it applies to.
        version: the version that it results in.
        set_by_field: for each table of the configuration, the added and changed
            entries by name, as maps.
        removed_by_field: for each table, the names of removed entries.
    """

    __slots__ = ("base_version", "removed_by_field", "set_by_field", "version")

    def __init__(
        self,
        base_version: int,
        version: int,
        set_by_field: dict[str, dict[str, dict[str, Any]]] | None = None,
        removed_by_field: dict[str, list[str]] | None = None,
    ) -> None:
        self.base_version = base_version
        self.version = version
        self.set_by_field = set_by_field or {}
        self.removed_by_field = removed_by_field or {}


class PackedDelta(Record):
    """A delta as bytes, so that unknown fields of another release are forwarded."""

    __slots__ = ("base_version", "data", "version")

    def __init__(self, base_version: int, version: int, data: bytes) -> None:
        self.base_version = base_version
        self.version = version
        self.data = data


class OfferResult(Enum):
    """The result of offering a version: applied, not newer, or its base is missing."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"


def make_delta(before: Configuration, after: Configuration) -> Delta:
    """Return the changes from ``before`` to ``after``."""
    delta = Delta(before.version, after.version)
    for field in TYPES_BY_FIELD:
        old, new = getattr(before, field), getattr(after, field)
        changed = {
            name: item.to_map() for name, item in new.items() if old.get(name) != item
        }
        if changed:
            delta.set_by_field[field] = changed
        removed = sorted(old.keys() - new.keys())
        if removed:
            delta.removed_by_field[field] = removed
    return delta


def apply_delta(base: Configuration, delta: Delta) -> Configuration:
    """Return the version that ``delta`` results in; unchanged entries are shared.

    Tables that this release does not know are omitted.

    Raises:
        ValueError: ``base`` is not the version that the delta applies to.
    """
    if base.version != delta.base_version:
        text = f"a delta on {delta.base_version} does not apply to {base.version}"
        raise ValueError(text)
    tables: dict[str, Any] = {}
    for field, kind in TYPES_BY_FIELD.items():
        changed = delta.set_by_field.get(field, {})
        removed = delta.removed_by_field.get(field, [])
        if not changed and not removed:
            tables[field] = getattr(base, field)
            continue
        table = dict(getattr(base, field))
        for name in removed:
            table.pop(name, None)
        for name, item in changed.items():
            table[name] = kind.from_map(item)
        tables[field] = table
    return Configuration(version=delta.version, **tables)


class ConfigurationVersions:
    """The version in force at one instance, which never decreases, and recent deltas.

    Attributes:
        current: the version in force.
    """

    def __init__(self) -> None:
        self.current = Configuration()
        self._deltas_by_base: OrderedDict[int, PackedDelta] = OrderedDict()
        self._delta_bytes = 0

    def offer(self, configuration: Configuration) -> OfferResult:
        """Apply a whole version if it is higher than the one in force."""
        if configuration.version <= self.current.version:
            return OfferResult.OLD
        self.current = configuration
        return OfferResult.APPLIED

    def offer_delta(self, delta: Delta, packed: PackedDelta) -> OfferResult:
        """Apply ``delta`` if its result is higher and its base is in force."""
        if delta.version <= self.current.version:
            return OfferResult.OLD
        if delta.base_version != self.current.version:
            return OfferResult.GAP
        self.current = apply_delta(self.current, delta)
        self.add_delta(packed)
        return OfferResult.APPLIED

    def add_delta(self, packed: PackedDelta) -> None:
        """Store a delta for peers that are behind; the oldest are evicted."""
        if packed.base_version in self._deltas_by_base:
            return
        self._deltas_by_base[packed.base_version] = packed
        self._delta_bytes += len(packed.data)
        while (
            len(self._deltas_by_base) > MAX_DELTAS
            or self._delta_bytes > MAX_DELTA_BYTES
        ):
            _, dropped = self._deltas_by_base.popitem(last=False)
            self._delta_bytes -= len(dropped.data)

    def deltas_since(self, version: int) -> list[PackedDelta] | None:
        """Return the deltas from ``version`` to the one in force.

        Returns:
            The deltas in order; None if one of them is no longer stored.
        """
        deltas: list[PackedDelta] = []
        while version < self.current.version:
            packed = self._deltas_by_base.get(version)
            if packed is None:
                return None
            deltas.append(packed)
            version = packed.version
        return deltas
