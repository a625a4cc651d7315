"""Handing out free slots to items: one instance does it for each target.

Were every instance to start an item where it sees a free slot, many would take the
same one at once and all but one would have to give way. So the live instances agree by
hashing on one that grants each target's slots, and each tells how many items it could
start and when the most urgent one is due. If views differ for a moment, two grant the
same slot, and an item gives way.

Online requests come and go faster than items. Where they fill much of a target, an item
in its last slot gives way to the next of them at once: a start, its prompt and a dozen
messages for nothing. So a slot stays free beside them unless the item is due soon.
"""

from collections.abc import Iterable

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.occupancy import Count, Occupancy
from caperridge.gateway.targets import Target
from caperridge.records import Record

# A grant that was not used by then was lost or came too late; messages take 2 ms, and
# in a large fleet up to 20 ms more for each of the peers that pass them on.
GRANT_S = 0.08
RELAYED_GRANT_S = 0.12
# Online requests that fill this share of a target's slots keep one of so many free
# beside them. By a model of 15 targets of 8 slots and 130 requests/s of 0.7 s:
# items give way 18 times a second instead of 73 and lose 5 in 100 of their time.
CROWDED_SHARE = 0.5
SLOTS_TO_A_SPARE = 8
# An item runs for about 5 s; one that is due sooner than this takes any free slot.
PRESSING_S = 6.0
# A target that was said to be full is not granted from for so long.
FULL_FOR_S = 0.25


class Want(Record):
    """Items of a service that an instance could start.

    Attributes:
        count: how many.
        due: by when the most urgent one is ordered, on the store's clock.
    """

    __slots__ = ("count", "due")

    def __init__(self, count: int, due: float) -> None:
        self.count = count
        self.due = due


class Grant(Record):
    """One slot of ``target`` for an item of ``instance``.

    Attributes:
        instance: that may use it.
        target: where the slot is.
        service: that the target serves.
        until: when it is void if it was not used, on the loop's clock.
    """

    __slots__ = ("instance", "service", "target", "until")

    def __init__(
        self, instance: str, target: str, service: str, until: float = 0.0
    ) -> None:
        self.instance = instance
        self.target = target
        self.service = service
        self.until = until


def spare_slots(target: Target, count: Count) -> int:
    """Return how many free slots of ``target`` are kept for online requests."""
    if count.online < target.slots * CROWDED_SHARE:
        return 0
    return target.slots // SLOTS_TO_A_SPARE


class Members(Record):
    """Who may grant: instances by availability zone, this one included."""

    __slots__ = ("by_zone",)

    def __init__(self, by_zone: dict[str, list[str]]) -> None:
        self.by_zone = by_zone

    def granter(self, target: Target) -> str | None:
        """Return who grants the slots of ``target``: one of its zone, if it has any."""
        near = self.by_zone.get(target.availability_zone)
        if near:
            return owner(target.id, near)
        return owner(target.id, [one for zone in self.by_zone.values() for one in zone])


class SlotBroker:
    """Grants the slots of the targets that fall to this instance.

    Args:
        own: id of this instance.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self._granters_key: tuple[Members, int] | None = None
        self._granter_by_target: dict[str, str | None] = {}
        self._granting: list[str] = []
        self._wants_by_instance: dict[str, dict[str, Want]] = {}
        self._grants: list[Grant] = []
        self._full_until_by_target: dict[str, float] = {}

    @property
    def wanted(self) -> bool:
        """Whether any instance could start an item."""
        return any(
            want.count > 0
            for wants in self._wants_by_instance.values()
            for want in wants.values()
        )

    def falls_here(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> list[str]:
        """Return the ids of the targets whose slots this instance grants.

        Args:
            members: who may grant.
            targets: all of them.
            changes: counts the changes of ``targets``.
        """
        self._work_out_granters(members, targets, changes)
        return self._granting

    def granters(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> dict[str, str | None]:
        """Return who grants the slots of each target; see :meth:`falls_here`."""
        self._work_out_granters(members, targets, changes)
        return self._granter_by_target

    def _work_out_granters(
        self, members: Members, targets: Iterable[Target], changes: int
    ) -> None:
        key = (members, changes)
        if key == self._granters_key:
            return
        self._granters_key = key
        self._granter_by_target = {
            target.id: members.granter(target) for target in targets
        }
        self._granting = [
            id for id, granter in self._granter_by_target.items() if granter == self.own
        ]

    def wants(self, instance: str, wants_by_service: dict[str, Want]) -> None:
        """Take what ``instance`` could start."""
        self._wants_by_instance[instance] = wants_by_service

    def forget(self, instance: str) -> None:
        """Drop what an instance said that is not heard from any more."""
        self._wants_by_instance.pop(instance, None)
        self._grants = [grant for grant in self._grants if grant.instance != instance]

    def used(self, instance: str, target: str) -> None:
        """Note that an instance started an item; it then wants one slot less."""
        grant = self._settle(instance, target)
        want = self._want(instance, grant.service) if grant is not None else None
        if want is not None:
            want.count -= 1

    def declined(self, instance: str, target: str) -> None:
        """Note that an instance had no item for a grant, whatever it said it wants."""
        grant = self._settle(instance, target)
        if grant is not None:
            self._wants_by_instance.get(instance, {}).pop(grant.service, None)

    def declined_as_full(self, instance: str, target: str, now: float) -> None:
        """Note that an instance found no free slot where it was granted one."""
        self._settle(instance, target)
        self._full_until_by_target[target] = now + FULL_FOR_S

    def _settle(self, instance: str, target: str) -> Grant | None:
        for grant in self._grants:
            if grant.instance == instance and grant.target == target:
                self._grants.remove(grant)
                return grant
        return None

    def _want(self, instance: str, service: str) -> Want | None:
        return self._wants_by_instance.get(instance, {}).get(service)

    def grant(
        self,
        targets: Iterable[Target],
        occupancy: Occupancy,
        store_now: float,
        now: float,
        grant_s: float = GRANT_S,
    ) -> list[Grant]:
        """Return grants of free slots, the most urgent items first.

        Args:
            targets: whose slots fall to this instance, as far as they can be used.
            occupancy: counts at them.
            store_now: the store's clock, which items are due by.
            now: the loop's clock.
            grant_s: how long a grant may be used.
        """
        self._grants = [grant for grant in self._grants if grant.until > now]
        free_by_id, targets_by_id = self._free(targets, occupancy, now)
        granted: list[Grant] = []
        while free_by_id:
            id = max(free_by_id, key=lambda one: free_by_id[one])
            target = targets_by_id[id]
            service = target.service
            instance = self._most_urgent(service, store_now)
            if instance is None:
                del free_by_id[id]
                continue
            pressing = self._is_pressing(instance, service, store_now)
            spare = 0 if pressing else spare_slots(target, occupancy.total_at(id))
            if free_by_id[id] <= spare:
                del free_by_id[id]
                continue
            grant = Grant(instance, id, service, now + grant_s)
            self._grants.append(grant)
            granted.append(grant)
            free_by_id[id] -= 1
            if free_by_id[id] <= 0:
                del free_by_id[id]
        return granted

    def _free(
        self, targets: Iterable[Target], occupancy: Occupancy, now: float
    ) -> tuple[dict[str, int], dict[str, Target]]:
        free_by_id: dict[str, int] = {}
        targets_by_id: dict[str, Target] = {}
        for target in targets:
            if self._full_until_by_target.get(target.id, 0.0) > now:
                continue
            promised = sum(1 for grant in self._grants if grant.target == target.id)
            free = target.slots - occupancy.total_at(target.id).total - promised
            if free > 0:
                free_by_id[target.id] = free
                targets_by_id[target.id] = target
        return free_by_id, targets_by_id

    def _most_urgent(self, service: str, store_now: float) -> str | None:
        best: str | None = None
        best_rank: tuple[bool, float, str] | None = None
        for instance, wants in self._wants_by_instance.items():
            want = wants.get(service)
            if want is None or want.count <= self._promised_to(instance, service):
                continue
            rank = (want.due < store_now, want.due, instance)
            if best_rank is None or rank < best_rank:
                best, best_rank = instance, rank
        return best

    def _is_pressing(self, instance: str, service: str, store_now: float) -> bool:
        """Whether the most urgent item may come late if it waits for a calm target."""
        want = self._want(instance, service)
        return want is not None and 0.0 <= want.due - store_now < PRESSING_S

    def _promised_to(self, instance: str, service: str) -> int:
        return sum(
            1
            for grant in self._grants
            if grant.instance == instance and grant.service == service
        )
