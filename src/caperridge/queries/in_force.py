"""Rollout status of a version, from the session rows of the instances."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.queries.rows import scan_all
from caperridge.records import Record
from caperridge.store.interface import Platform, ReadError


class InForce(Record):
    """The instances on which a version is in force.

    Attributes:
        version: the version that was asked for.
        in_force: instances with that version or a higher one.
        behind: the version of each instance that reported a lower one.
        not_reached: listed instances that have not reported a version.
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
    """Return the instances with ``version``, from the versions that they reported.

    >>> merge_versions(5, {"a", "b", "c"}, {"a": 5, "b": 4, "gone": 5})
    InForce(behind={'b': 4}, in_force=['a'], not_reached=['c'], version=5)
    """
    status = InForce(version, [], {}, [])
    for instance in sorted(listed):
        reported = versions_by_instance.get(instance)
        if reported is None:
            status.not_reached.append(instance)
        elif reported >= version:
            status.in_force.append(instance)
        else:
            status.behind[instance] = reported
    return status


async def read_versions(platform: Platform) -> Result[dict[str, int], ReadError]:
    """Return the version in the last renewal of each live session, by instance."""
    rows = await scan_all(platform, keys.SESSIONS)
    if isinstance(rows, Err):
        return rows
    versions_by_instance: dict[str, int] = {}
    for row in rows.ok_value:
        reported = row.value.get("configuration_version")
        if row.value["state"] != ALIVE or reported is None:
            continue
        instance = row.value["instance"]
        versions_by_instance[instance] = max(
            reported, versions_by_instance.get(instance, 0)
        )
    return Ok(versions_by_instance)
