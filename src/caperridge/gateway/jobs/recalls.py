"""Having items of far holders give way where a target has more than its slots.

Where there are many instances, who sends an online request to another availability
zone need not know who has items there, nor does that holder hear of the request. Who
grants the target's slots hears of both.
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

# A recall, and the count of the item it ended, pass at most five peers, 20 ms each.
MIN_RECALL_INTERVAL_S = 0.1


class SlotRecalls:
    """Sends recalls for the targets that fall to this instance, and obeys others'.

    Args:
        mesh: of peers.
        fleet: targets and counts.
        granting: knows which targets fall to this instance.
        slots: cancels items.
        jobs: returns the jobs held here.
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
        self._again_at: dict[tuple[str, str], float] = {}
        mesh.register(SlotRecall, self._recalled)

    def check(self, id: str) -> None:
        """Recall slots of a target whose counts changed, if they are too few."""
        target = self._fleet.targets.by_id.get(id)
        occupancy = self._fleet.occupancy
        if target is None or occupancy.total_at(id).total <= target.slots:
            return
        if not self._mesh.large or not self._granting.grants(id):
            return
        now = asyncio.get_running_loop().time()
        for instance, count in items_to_cancel_by_instance(target, occupancy).items():
            member = self._mesh.members_by_id.get(instance)
            if member is None or self._mesh.is_near(member):
                continue  # it hears of all requests here by itself
            if now < self._again_at.get((id, instance), 0.0):
                continue
            self._again_at[id, instance] = now + MIN_RECALL_INTERVAL_S
            log.info("slots recalled", target=id, peer=instance, count=count)
            self._mesh.send(instance, SlotRecall(id, count))

    def expire(self, now: float) -> None:
        """Drop what is known of recalls that may be sent again."""
        for key, again_at in list(self._again_at.items()):
            if again_at <= now:
                del self._again_at[key]

    def _recalled(self, peer: str, recall: SlotRecall) -> None:
        self._slots.recall(self._jobs(), recall.target, recall.count)
