"""Plans: the difference between the current and the declared configuration."""

from typing import Any

import xxhash

from caperridge.config.model import TYPES_BY_FIELD, Configuration
from caperridge.records import Record, pack


class Change(Record):
    """One entry that would be added, changed or removed.

    Attributes:
        action: ``add``, ``change`` or ``remove``.
        table: table of the configuration, e.g. ``services``.
        name: name of the entry.
        fields: for a change, ``[before, after]`` by field.
    """

    __slots__ = ("action", "fields", "name", "table")

    def __init__(
        self,
        action: str,
        table: str,
        name: str,
        fields: dict[str, list[Any]] | None = None,
    ) -> None:
        self.action = action
        self.table = table
        self.name = name
        self.fields = fields or {}


class Plan(Record):
    """The changes that a confirmation would apply.

    Attributes:
        base_version: the version that it was made against.
        digest: the base version and a digest of the declaration, ``17-5f…``;
            ``confirm`` sends it, and the log stores it.
        changes: in a fixed order.
        effects: sentences on the effects of the changes.
        warnings: sentences on effects that an operator may not want.
    """

    __slots__ = ("base_version", "changes", "digest", "effects", "warnings")

    def __init__(
        self,
        base_version: int,
        digest: str,
        changes: list[Change],
        effects: list[str] | None = None,
        warnings: list[str] | None = None,
    ) -> None:
        self.base_version = base_version
        self.digest = digest
        self.changes = changes
        self.effects = effects or []
        self.warnings = warnings or []


def make_plan(current: Configuration, wanted: Configuration) -> Plan:
    """Return the plan of the changes from ``current`` to ``wanted``."""
    changes = changes_between(current, wanted)
    content = xxhash.xxh3_128_hexdigest(pack(_canonical(wanted)))
    return Plan(current.version, f"{current.version}-{content}", changes)


def base_version_of(digest: str) -> int | None:
    """Return the version that the plan with ``digest`` was made against.

    >>> base_version_of("17-5f"), base_version_of("no digest")
    (17, None)
    """
    base, dash, _content = digest.partition("-")
    return int(base) if dash and base.isdecimal() else None


def _canonical(wanted: Configuration) -> list[Any]:
    """Return the content in an order independent of that of the declaration."""
    content: list[Any] = []
    for field in sorted(TYPES_BY_FIELD):
        items = getattr(wanted, field)
        content.append([field, [items[name] for name in sorted(items)]])
    return content


def changes_between(before: Configuration, after: Configuration) -> list[Change]:
    """Return the differences between two versions, in a fixed order."""
    changes: list[Change] = []
    for field in TYPES_BY_FIELD:
        table = field.removesuffix("_by_name")
        changes.extend(_changes(table, getattr(before, field), getattr(after, field)))
    return changes


def _changes(
    table: str, before: dict[str, Record], after: dict[str, Record]
) -> list[Change]:
    changes: list[Change] = []
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            changes.append(Change("remove", table, name))
            continue
        if name not in before:
            changes.append(Change("add", table, name))
            continue
        if before[name] == after[name]:
            continue
        old, new = before[name].to_map(), after[name].to_map()
        fields = {key: [old[key], new[key]] for key in new if old[key] != new[key]}
        changes.append(Change("change", table, name, fields))
    return changes
