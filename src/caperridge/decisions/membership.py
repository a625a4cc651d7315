"""Which instances live, as this instance sees it."""

from collections.abc import Iterable

from caperridge.decisions.rendezvous import owner
from caperridge.platform.interface import ListedMember


class Membership:
    """The view of one instance; it always counts itself as live.

    Args:
        instance: id of this instance.
        availability_zone: where it runs.
    """

    def __init__(self, instance: str, availability_zone: str) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.members_by_id: dict[str, ListedMember] = {}

    def apply_list(self, members: Iterable[ListedMember]) -> None:
        """Take over the platform's list of instances, which lags."""
        self.members_by_id = {m.id: m for m in members if m.kind == "instance"}

    def live(self, availability_zone: str) -> list[str]:
        """Return the live instances of a zone, sorted; the own one included."""
        found = {
            member.id
            for member in self.members_by_id.values()
            if member.availability_zone == availability_zone and member.state == "live"
        }
        if availability_zone == self.availability_zone:
            found.add(self.instance)
        return sorted(found)

    def owner(self, key: str, availability_zone: str) -> str | None:
        """Return the live instance of a zone that looks after ``key``."""
        return owner(key, self.live(availability_zone))
