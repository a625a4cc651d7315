"""Preemption of other instances' items at targets that have more runs than slots.

In a large fleet, the sender of an online request to another availability zone may not
know whose items run there, and the holders of these items may not receive the count of
the request. The granter of the target receives both.
"""

import asyncio
from collections.abc import Callable

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.granting import SlotGranting
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SlotRecall
from caperridge.gateway.placement import items_to_cancel_by_instance
from caperridge.log import logger

log = logger(__name__)

# A recall, and the count after it, are relayed by at most five peers, 20 ms each.
MIN_RECALL_INTERVAL_S = 0.1


class SlotRecalls:
    """Sends recalls for targets granted by this instance, and follows those of peers.

    Args:
        mesh: of peers.
        fleet: targets and counts.
        granting: knows the targets whose granter is this instance.
        slots: preempts items.
        jobs: returns the jobs that this instance holds.
    """

    def __init__(
        self,
        mesh: Mesh,
        fleet: Fleet,
        granting: SlotGranting,
        slots: ItemSlots,
        jobs: Callable[[], list[HeldJob]],
    ) -> None:
        self._mesh = mesh
        self._fleet = fleet
        self._granting = granting
        self._slots = slots
        self._jobs = jobs
        self._next_recall_at: dict[tuple[str, str], float] = {}
        mesh.register(SlotRecall, self._handle_recall)

    def check(self, id: str) -> None:
        """Recall slots of a target whose counts changed, if it has too many runs."""
        target = self._fleet.targets.by_id.get(id)
        occupancy = self._fleet.occupancy
        if target is None or occupancy.total_at(id).total <= target.slots:
            return
        if not self._mesh.large or not self._granting.is_granter_of(id):
            return
        now = asyncio.get_running_loop().time()
        for instance, count in items_to_cancel_by_instance(target, occupancy).items():
            member = self._mesh.members_by_id.get(instance)
            if member is None or self._mesh.is_near(member):
                continue  # it receives the counts of all requests here itself
            if now < self._next_recall_at.get((id, instance), 0.0):
                continue
            self._next_recall_at[id, instance] = now + MIN_RECALL_INTERVAL_S
            log.info("slots recalled", target=id, peer=instance, count=count)
            self._mesh.send(instance, SlotRecall(id, count))

    def expire(self, now: float) -> None:
        """Remove the times of recalls that may be sent again."""
        for key, next_at in list(self._next_recall_at.items()):
            if next_at <= now:
                del self._next_recall_at[key]

    def _handle_recall(self, peer: str, recall: SlotRecall) -> None:
        self._slots.preempt(self._jobs(), recall.target, recall.count)
