"""Rendezvous hashing: which targets this instance dispatches batch for, and changes.

Each target has one dispatcher: its owner by rendezvous hash among the live instances
of its availability zone, as seen by this instance. While the views of two instances
differ, a target may have two dispatchers or none;
:class:`~caperridge.decisions.headroom.Headroom` bounds the harm.
"""

from collections.abc import Mapping

from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetState
from caperridge.records import Record


class OwnershipChanges(Record):
    """Targets gained and lost by this instance, and live peers that were removed."""

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
    """The targets that this instance owns.

    Owners are recomputed only when the live instances change: with 112 targets and 23
    instances in a zone that takes 2,576 hashes.

    Args:
        membership: the view of the live instances.

    Attributes:
        by_service: ids of the owned targets by service.
    """

    def __init__(self, membership: Membership) -> None:
        self.by_service: dict[str, list[str]] = {}
        self._membership = membership
        self._live: list[str] = []
        self._owners_by_target: dict[str, str | None] = {}
        self._own: set[str] = set()
        self._is_only_instance = True

    @property
    def is_only_instance(self) -> bool:
        """Whether no other instance is live in any availability zone."""
        return self._is_only_instance

    def refresh(self, states_by_id: Mapping[str, TargetState]) -> OwnershipChanges:
        """Recompute the owned targets; return the changes."""
        zone = self._membership.availability_zone
        live = self._membership.live(zone)
        others = set(self._membership.members_by_id) - {self._membership.instance}
        self._is_only_instance = not others and len(live) <= 1
        removed = sorted(set(self._live) - set(live))
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
        return OwnershipChanges(gained, lost, removed)

    def _owner(self, target: str, zone: str) -> str | None:
        if target not in self._owners_by_target:
            self._owners_by_target[target] = self._membership.owner(target, zone)
        return self._owners_by_target[target]

    def owns(self, target: str) -> bool:
        """Return whether this instance dispatches batch for ``target``."""
        return target in self._own
