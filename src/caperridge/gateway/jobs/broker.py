"""Admission control for batch items: one instance grants the slots of each target.

If every instance started an item wherever it sees a free slot, many would use the same
slot at once and all but one item would be preempted. So rendezvous hashing over the
live instances assigns each target a granter, and each instance reports how many items
it could start and when the most urgent one is due. While views of the members differ,
two instances may grant the same slot; one item is then preempted.

Online requests start and end more often than items. Where they fill much of a target,
an item in its last slot would be preempted by the next of them at once, which wastes a
start, a read of the prompt and a dozen messages. So a slot is reserved beside them,
unless the item is due soon.
"""

from collections.abc import Iterable

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.occupancy import Count, Occupancy
from caperridge.gateway.targets import Target
from caperridge.records import Record

# An unused grant expires then: it was lost or came too late. Messages take 2 ms, and
# in a large fleet up to 20 ms more for each peer that relays them.
GRANT_LIFETIME_S = 0.08
RELAYED_GRANT_LIFETIME_S = 0.12
# Where online requests fill this ratio of a target's slots, one slot of each
# SLOTS_PER_RESERVED_SLOT is reserved for them. In a model of 15 targets of 8 slots and
# 130 requests/s of 0.7 s, items are preempted 18 instead of 73 times a second, and lose
# 5 % of their run time.
BUSY_ONLINE_RATIO = 0.5
SLOTS_PER_RESERVED_SLOT = 8
# An item runs for about 5 s; one that is due sooner than this may use a reserved slot.
URGENT_DUE_S = 6.0
# No slots are granted for this long at a target that an instance reported as full.
FULL_TARGET_PAUSE_S = 0.25


class SlotRequest(Record):
    """Slots that an instance requests for its items of one service.

    Attributes:
        count: number of items that it could start.
        due: effective due time of the most urgent one, in seconds of the store's
            clock.
    """

    __slots__ = ("count", "due")

    def __init__(self, count: int, due: float) -> None:
        self.count = count
        self.due = due


class Grant(Record):
    """Permission of ``instance`` to use one slot of ``target``.

    Attributes:
        instance: id of the instance that may use it.
        target: id of the target.
        service: name of the service of the target.
        until: when it expires if unused, in seconds of the loop's clock.
    """

    __slots__ = ("instance", "service", "target", "until")

    def __init__(
        self, instance: str, target: str, service: str, until: float = 0.0
    ) -> None:
        self.instance = instance
        self.target = target
        self.service = service
        self.until = until


def reserved_slots(target: Target, count: Count) -> int:
    """Return how many free slots of ``target`` are reserved for online requests."""
    if count.online < target.slots * BUSY_ONLINE_RATIO:
        return 0
    return target.slots // SLOTS_PER_RESERVED_SLOT


class Members(Record):
    """Candidates for granters: instances by availability zone, this one included."""

    __slots__ = ("by_zone",)

    def __init__(self, by_zone: dict[str, list[str]]) -> None:
        self.by_zone = by_zone

    def granter(self, target: Target) -> str | None:
        """Return the granter of ``target``, one of its zone if there is any."""
        near = self.by_zone.get(target.availability_zone)
        if near:
            return owner(target.id, near)
        return owner(target.id, [one for zone in self.by_zone.values() for one in zone])


class SlotBroker:
    """Grants the slots of the targets whose granter is this instance.

    Args:
        own: id of this instance.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self._granters_key: tuple[Members, int] | None = None
        self._granter_by_target: dict[str, str | None] = {}
        self._granted_target_ids: list[str] = []
        self._requests_by_instance: dict[str, dict[str, SlotRequest]] = {}
        self._grants: list[Grant] = []
        self._full_until_by_target: dict[str, float] = {}

    @property
    def has_requests(self) -> bool:
        """Whether any instance requests a slot."""
        return any(
            request.count > 0
            for requests in self._requests_by_instance.values()
            for request in requests.values()
        )

    def granted_target_ids(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> list[str]:
        """Return the ids of the targets whose granter is this instance.

        Args:
            members: candidates for granters.
            targets: all targets.
            changes: number of changes of ``targets`` so far; the cache's key.
        """
        self._update_granters(members, targets, changes)
        return self._granted_target_ids

    def granter_by_target(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> dict[str, str | None]:
        """Return the granter of each target; see :meth:`granted_target_ids`."""
        self._update_granters(members, targets, changes)
        return self._granter_by_target

    def _update_granters(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> None:
        key = (members, changes)
        if key == self._granters_key:
            return
        self._granters_key = key
        self._granter_by_target = {
            target.id: members.granter(target) for target in targets
        }
        self._granted_target_ids = [
            id for id, granter in self._granter_by_target.items() if granter == self.own
        ]

    def set_requests(
        self, instance: str, requests_by_service: dict[str, SlotRequest]
    ) -> None:
        """Replace the requests of ``instance``."""
        self._requests_by_instance[instance] = requests_by_service

    def remove_instance(self, instance: str) -> None:
        """Remove requests and grants of an instance that was lost."""
        self._requests_by_instance.pop(instance, None)
        self._grants = [grant for grant in self._grants if grant.instance != instance]

    def record_used(self, instance: str, target: str) -> None:
        """Record that an instance started an item, and so requests one slot less."""
        grant = self._pop_grant(instance, target)
        request = self._request(instance, grant.service) if grant is not None else None
        if request is not None:
            request.count -= 1

    def record_declined(self, instance: str, target: str) -> None:
        """Record that an instance had no item for a grant.

        Its requests for the service of the target are dropped, whatever their count.
        """
        grant = self._pop_grant(instance, target)
        if grant is not None:
            self._requests_by_instance.get(instance, {}).pop(grant.service, None)

    def record_full(self, instance: str, target: str, now: float) -> None:
        """Record that an instance found no free slot where it was granted one."""
        self._pop_grant(instance, target)
        self._full_until_by_target[target] = now + FULL_TARGET_PAUSE_S

    def _pop_grant(self, instance: str, target: str) -> Grant | None:
        for grant in self._grants:
            if grant.instance == instance and grant.target == target:
                self._grants.remove(grant)
                return grant
        return None

    def _request(self, instance: str, service: str) -> SlotRequest | None:
        return self._requests_by_instance.get(instance, {}).get(service)

    def grant(
        self,
        targets: Iterable[Target],
        occupancy: Occupancy,
        store_now: float,
        now: float,
        grant_s: float = GRANT_LIFETIME_S,
    ) -> list[Grant]:
        """Return grants of free slots, the most urgent items first.

        Args:
            targets: usable targets whose granter is this instance.
            occupancy: counts of runs at them.
            store_now: time on the store's clock, in which due times are given.
            now: time on the loop's clock.
            grant_s: lifetime of a grant, in seconds.
        """
        self._grants = [grant for grant in self._grants if grant.until > now]
        free_by_id, target_by_id = self._free_slots(targets, occupancy, now)
        granted: list[Grant] = []
        while free_by_id:
            id = max(free_by_id, key=lambda one: free_by_id[one])
            target = target_by_id[id]
            service = target.service
            instance = self._most_urgent(service, store_now)
            if instance is None:
                del free_by_id[id]
                continue
            urgent = self._is_urgent(instance, service, store_now)
            reserved = 0 if urgent else reserved_slots(target, occupancy.total_at(id))
            if free_by_id[id] <= reserved:
                del free_by_id[id]
                continue
            grant = Grant(instance, id, service, now + grant_s)
            self._grants.append(grant)
            granted.append(grant)
            free_by_id[id] -= 1
            if free_by_id[id] <= 0:
                del free_by_id[id]
        return granted

    def _free_slots(
        self, targets: Iterable[Target], occupancy: Occupancy, now: float
    ) -> tuple[dict[str, int], dict[str, Target]]:
        free_by_id: dict[str, int] = {}
        target_by_id: dict[str, Target] = {}
        for target in targets:
            if self._full_until_by_target.get(target.id, 0.0) > now:
                continue
            granted = sum(1 for grant in self._grants if grant.target == target.id)
            free = target.slots - occupancy.total_at(target.id).total - granted
            if free > 0:
                free_by_id[target.id] = free
                target_by_id[target.id] = target
        return free_by_id, target_by_id

    def _most_urgent(self, service: str, store_now: float) -> str | None:
        best: str | None = None
        best_rank: tuple[bool, float, str] | None = None
        for instance, requests in self._requests_by_instance.items():
            request = requests.get(service)
            if request is None or request.count <= self._granted_to(instance, service):
                continue
            rank = (request.due < store_now, request.due, instance)
            if best_rank is None or rank < best_rank:
                best, best_rank = instance, rank
        return best

    def _is_urgent(self, instance: str, service: str, store_now: float) -> bool:
        """Whether the most urgent item may be late unless it uses a reserved slot."""
        request = self._request(instance, service)
        return request is not None and 0.0 <= request.due - store_now < URGENT_DUE_S

    def _granted_to(self, instance: str, service: str) -> int:
        return sum(
            1
            for grant in self._grants
            if grant.instance == instance and grant.service == service
        )
