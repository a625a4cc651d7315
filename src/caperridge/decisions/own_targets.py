"""Which targets this instance dispatches batch for, and what changed about that.

Each target has one dispatcher: the owner by rendezvous hash among the live instances
of its availability zone, as this instance sees them. Two views that differ for a
moment mean two dispatchers, or none, for that moment; see
:class:`~caperridge.decisions.headroom.Headroom` for what bounds the harm.
"""

from collections.abc import Mapping

from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetState
from caperridge.records import Record


class OwnershipChanges(Record):
    """Targets that came to this instance or went from it, and peers that went."""

    __slots__ = ("gained", "lost", "removed_peers")

    def __init__(
        self,
        gained: list[str] | None = None,
        lost: list[str] | None = None,
        removed_peers: list[str] | None = None,
    ) -> None:
        self.gained = gained or []
        self.lost = lost or []
        self.removed_peers = removed_peers or []


class OwnTargets:
    """The own targets by service.

    Owners are worked out anew only when the live instances change: at 112 targets
    and 23 instances in a zone that is 2,576 hashes.

    Args:
        membership: the view of the live instances.
    """

    def __init__(self, membership: Membership) -> None:
        self.by_service: dict[str, list[str]] = {}
        self._membership = membership
        self._live: list[str] = []
        self._owners_by_target: dict[str, str | None] = {}
        self._own: set[str] = set()
        self._alone = True

    @property
    def is_only_instance(self) -> bool:
        """Whether no other instance is live, here or in another zone."""
        return self._alone

    def refresh(self, states_by_id: Mapping[str, TargetState]) -> OwnershipChanges:
        """Work out the own targets; return what changed."""
        zone = self._membership.availability_zone
        live = self._membership.live(zone)
        others = set(self._membership.members_by_id) - {self._membership.instance}
        self._alone = not others and len(live) <= 1
        gone = sorted(set(self._live) - set(live))
        if live != self._live:
            self._live = live
            self._owners_by_target.clear()
        self.by_service = {}
        own: set[str] = set()
        for target_id, state in states_by_id.items():
            member = state.member
            if state.leaving or member.availability_zone != zone:
                continue
            if self._owner(target_id, zone) != self._membership.instance:
                continue
            own.add(target_id)
            self.by_service.setdefault(member.service, []).append(target_id)
        gained = sorted(own - self._own)
        lost = sorted(self._own - own)
        self._own = own
        return OwnershipChanges(gained, lost, gone)

    def _owner(self, target: str, zone: str) -> str | None:
        if target not in self._owners_by_target:
            self._owners_by_target[target] = self._membership.owner(target, zone)
        return self._owners_by_target[target]

    def owns(self, target: str) -> bool:
        """Return whether this instance dispatches batch for ``target``."""
        return target in self._own
