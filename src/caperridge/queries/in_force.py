"""Where a version is in force: what each instance's session row says."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.queries.rows import scan_all
from caperridge.records import Record
from caperridge.store.interface import Platform, ReadError


class InForce(Record):
    """Who has a version in force.

    Attributes:
        version: which is asked for.
        in_force: instances that have it or a higher one.
        behind: the version of each that said a lower one.
        not_reached: instances that are listed, but nobody has heard of their version.
    """

    __slots__ = ("behind", "in_force", "not_reached", "version")

    def __init__(
        self,
        version: int,
        in_force: list[str],
        behind: dict[str, int],
        not_reached: list[str],
    ) -> None:
        self.version = version
        self.in_force = in_force
        self.behind = behind
        self.not_reached = not_reached


def merge_versions(
    version: int, listed: set[str], versions_by_instance: dict[str, int]
) -> InForce:
    """Return who has ``version``, of what was heard from whom.

    >>> merge_versions(5, {"a", "b", "c"}, {"a": 5, "b": 4, "gone": 5})
    InForce(behind={'b': 4}, in_force=['a'], not_reached=['c'], version=5)
    """
    found = InForce(version, [], {}, [])
    for instance in sorted(listed):
        heard = versions_by_instance.get(instance)
        if heard is None:
            found.not_reached.append(instance)
        elif heard >= version:
            found.in_force.append(instance)
        else:
            found.behind[instance] = heard
    return found


async def read_versions(platform: Platform) -> Result[dict[str, int], ReadError]:
    """Return the version that each live session's last renewal told, by instance."""
    rows = await scan_all(platform, keys.SESSIONS)
    if isinstance(rows, Err):
        return rows
    versions_by_instance: dict[str, int] = {}
    for row in rows.ok_value:
        told = row.value.get("configuration_version")
        if row.value["state"] != ALIVE or told is None:
            continue
        instance = row.value["instance"]
        versions_by_instance[instance] = max(
            told, versions_by_instance.get(instance, 0)
        )
    return Ok(versions_by_instance)
