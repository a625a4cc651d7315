"""Which target gets a request: least expected wait, the own zone first.

The book knows every target of every service from the platform's list, and counts
what this instance has in flight at each.
"""

from collections.abc import Iterable

from caperridge.platform.interface import ListedMember
from caperridge.records import Record

OTHER_ZONE_PENALTY = 2.0  # requests in flight that the way to another zone is worth
LEAVING = "leaving"


class TargetState(Record):
    """What one instance knows of a target.

    Attributes:
        member: its entry in the platform's list.
        in_flight: online requests of this instance now at it.
        leaving: sticky for its incarnation, whoever said it first.
    """

    __slots__ = ("in_flight", "leaving", "member")

    def __init__(
        self, member: ListedMember, in_flight: int = 0, leaving: bool = False
    ) -> None:
        self.member = member
        self.in_flight = in_flight
        self.leaving = leaving


class Weighed(Record):
    """One target as it was weighed; kept for the explanation of a request."""

    __slots__ = ("score", "target")

    def __init__(self, target: str, score: float) -> None:
        self.target = target
        self.score = score


class TargetBook:
    """The targets of all services, by id."""

    def __init__(self, availability_zone: str) -> None:
        self.states_by_id: dict[str, TargetState] = {}
        self._availability_zone = availability_zone

    def apply_list(self, members: Iterable[ListedMember]) -> None:
        """Take over the platform's list; what is known of a target is kept."""
        listed_by_id = {m.id: m for m in members if m.kind == "target"}
        for target_id in list(self.states_by_id):
            if target_id not in listed_by_id:
                del self.states_by_id[target_id]
        for target_id, member in listed_by_id.items():
            state = self.states_by_id.get(target_id)
            if state is None or state.member.incarnation < member.incarnation:
                state = TargetState(member)
                self.states_by_id[target_id] = state
            state.member = member
            state.leaving = state.leaving or member.state == LEAVING

    def mark_leaving(self, target_id: str) -> None:
        """Send nothing new to this incarnation of the target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.leaving = True

    def weigh(self, service: str, excluded: Iterable[str] = ()) -> list[Weighed]:
        """Return the usable targets of ``service``, the best first."""
        weighed: list[Weighed] = []
        for target_id, state in self.states_by_id.items():
            if state.member.service != service or state.leaving:
                continue
            if target_id in excluded:
                continue
            score = float(state.in_flight)
            if state.member.availability_zone != self._availability_zone:
                score += OTHER_ZONE_PENALTY
            weighed.append(Weighed(target_id, score))
        weighed.sort(key=lambda item: (item.score, item.target))
        return weighed

    def started(self, target_id: str) -> None:
        """Count a request sent to the target."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.in_flight += 1

    def ended(self, target_id: str) -> None:
        """Count a request that left the target."""
        state = self.states_by_id.get(target_id)
        if state is not None and state.in_flight > 0:
            state.in_flight -= 1
