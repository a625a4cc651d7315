"""Requesting slots for this instance's items, and granting slots to other instances.

With few peers all requests are sent to all of them, and the granter of any free slot
grants it. With many peers the requests are split between granters; see
:mod:`caperridge.gateway.jobs.asking`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.asking import TargetCapacity, split_requests
from caperridge.gateway.jobs.broker import (
    GRANT_LIFETIME_S,
    RELAYED_GRANT_LIFETIME_S,
    Members,
    SlotBroker,
    SlotRequest,
    reserved_slots,
)
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SlotDecline, SlotGrant, SlotWants
from caperridge.gateway.targets import Target

# Messages may be lost with a stream, so requests are sent again periodically.
RESEND_INTERVAL_S = 1.2
# Slots not granted by then are requested from other granters; an answer takes 2 ms.
UNGRANTED_TIMEOUT_S = 0.3

RequestsByService = dict[str, SlotRequest]


class SlotGranting:
    """Exchanges slot requests and grants with peers.

    Args:
        mesh: of peers.
        fleet: targets and counts.
        clock: of the store, in which due times are given.
        slots: starts items.
        broker: grants the slots of the targets whose granter is this instance.
        chance: spreads requests between granters.
    """

    def __init__(
        self,
        mesh: Mesh,
        fleet: Fleet,
        clock: StoreClock,
        slots: ItemSlots,
        broker: SlotBroker,
        chance: random.Random,
    ) -> None:
        self._mesh = mesh
        self._fleet = fleet
        self._clock = clock
        self._slots = slots
        self._broker = broker
        self._chance = chance
        self._members = Members({})
        self._members_key = -1
        self._sent_requests: RequestsByService = {}
        self._resend_at = 0.0
        self._requests_by_granter: dict[str, RequestsByService] = {}
        self._split_again_at = 0.0
        self._updated: Callable[[], None] = lambda: None
        mesh.register(SlotWants, self._handle_requests)
        mesh.register(SlotDecline, self._handle_decline)
        mesh.on_lost(lambda member: self._remove_instance(member.id))

    def on_update(self, call: Callable[[], None]) -> None:
        """Have ``call`` called when there may be slots to grant."""
        self._updated = call

    @property
    def has_requests(self) -> bool:
        """Whether any instance requested slots from this one."""
        return self._broker.has_requests

    def slot_used(self, instance: str, target: str) -> None:
        """Record that ``instance`` started an item at ``target``."""
        self._broker.record_used(instance, target)

    def granted_targets(self) -> list[Target]:
        """Return the usable targets whose granter is this instance."""
        now = asyncio.get_running_loop().time()
        by_id = self._fleet.targets.by_id
        ids = self._broker.granted_target_ids(*self._granter_inputs())
        return [by_id[id] for id in ids if self._fleet.takes_items(id, now)]

    def is_granter_of(self, target: str) -> bool:
        """Whether this instance is the granter of ``target``."""
        granters = self._broker.granter_by_target(*self._granter_inputs())
        return granters.get(target) == self._mesh.instance

    def request_and_grant(self, jobs: list[HeldJob], now: float) -> None:
        """Request slots for this instance's items, and grant free slots."""
        self._send_requests(jobs, now)
        if not self._broker.has_requests:
            return
        targets = {target.id: target for target in self.granted_targets()}
        grants = self._broker.grant(
            targets.values(),
            self._fleet.occupancy,
            self._clock.now(),
            now,
            RELAYED_GRANT_LIFETIME_S if self._mesh.large else GRANT_LIFETIME_S,
        )
        for grant in grants:
            if grant.instance != self._mesh.instance:
                self._mesh.send(grant.instance, SlotGrant(grant.target))
                continue
            self._slots.start_item(jobs, targets[grant.target], now)
            self._broker.record_used(grant.instance, grant.target)
            self._count_grant(grant.instance, grant.service)
        if grants:
            self._send_requests(jobs, now)

    def use_grant(self, peer: str, grant: SlotGrant, jobs: list[HeldJob]) -> None:
        """Start an item in a slot that a peer granted, or decline the grant."""
        now = asyncio.get_running_loop().time()
        target = self._fleet.targets.by_id.get(grant.target)
        usable = target is not None and self._fleet.takes_items(target.id, now)
        if target is None or not usable or self._slots.is_full(target):
            self._mesh.send(peer, SlotDecline(grant.target, full=True))
            return
        self._count_grant(peer, target.service)
        if not self._slots.start_item(jobs, target, now):
            self._requests_by_granter.get(peer, {}).pop(target.service, None)
            self._mesh.send(peer, SlotDecline(grant.target))

    # Requests of this instance.

    def _send_requests(self, jobs: list[HeldJob], now: float) -> None:
        requests = self._slots.slot_requests(jobs, now)
        if self._mesh.large:
            self._split_requests(requests, now)
            return
        self._broker.set_requests(self._mesh.instance, requests)
        if not requests and not self._sent_requests:
            return
        resend = now >= self._resend_at
        if resend or requests != self._sent_requests:
            self._mesh.send_all(_message(requests))
        if resend:
            self._resend_at = now + RESEND_INTERVAL_S
        self._sent_requests = _copy(requests)

    def _split_requests(self, requests: RequestsByService, now: float) -> None:
        """Split the requests between granters, unless as many are pending already."""
        if not requests and not self._requests_by_granter:
            return
        timed_out = now >= self._split_again_at
        if not timed_out and self._are_requested(requests):
            return
        resend = now >= self._resend_at
        if resend:
            self._resend_at = now + RESEND_INTERVAL_S
        self._split_again_at = now + UNGRANTED_TIMEOUT_S
        before = self._requests_by_granter
        requests_by_granter = self._requests_to_granters(requests, now)
        for granter in before.keys() | requests_by_granter.keys():
            requested = requests_by_granter.get(granter, {})
            if not resend and requested == before.get(granter):
                continue
            if granter == self._mesh.instance:
                self._broker.set_requests(granter, _copy(requested))
            else:
                self._mesh.send(granter, _message(requested))
        self._requests_by_granter = requests_by_granter

    def _are_requested(self, requests: RequestsByService) -> bool:
        """Whether as many slots are requested from granters as are wanted."""
        count_by_service: dict[str, int] = dict.fromkeys(requests, 0)
        for pending in self._requests_by_granter.values():
            for service, request in pending.items():
                count_by_service[service] = (
                    count_by_service.get(service, 0) + request.count
                )
        return all(
            count == (requests[service].count if service in requests else 0)
            for service, count in count_by_service.items()
        )

    def _requests_to_granters(
        self, requests: RequestsByService, now: float
    ) -> dict[str, RequestsByService]:
        requests_by_granter: dict[str, RequestsByService] = {}
        for service, request in requests.items():
            capacities = self._capacities(service, now)
            for granter, count in split_requests(
                request.count, capacities, self._chance
            ).items():
                requests_by_granter.setdefault(granter, {})[service] = SlotRequest(
                    count, request.due
                )
        return requests_by_granter

    def _capacities(self, service: str, now: float) -> list[TargetCapacity]:
        granters = self._broker.granter_by_target(*self._granter_inputs())
        capacities: list[TargetCapacity] = []
        for target in self._fleet.targets.of_service(service):
            granter = granters[target.id]
            if granter is None or not self._fleet.takes_items(target.id, now):
                continue
            count = self._fleet.occupancy.total_at(target.id)
            free = target.slots - count.total - reserved_slots(target, count)
            near = target.availability_zone == self._mesh.zone
            capacities.append(TargetCapacity(granter, free, near))
        return capacities

    def _count_grant(self, granter: str, service: str) -> None:
        """Subtract a grant from the pending requests, as its granter does."""
        request = self._requests_by_granter.get(granter, {}).get(service)
        if request is not None:
            request.count -= 1

    # Requests of peers.

    def _granter_inputs(self) -> tuple[Members, Iterable[Target], int]:
        """Return what determines the granters: members, targets and their changes."""
        listed = self._fleet.targets
        return self._current_members(), listed.by_id.values(), listed.changes

    def _current_members(self) -> Members:
        if self._members_key != self._mesh.changes:
            self._members_key = self._mesh.changes
            by_zone = {self._mesh.zone: [self._mesh.instance]}
            for member in self._mesh.alive():
                if not member.leaving:
                    by_zone.setdefault(member.zone, []).append(member.id)
            self._members = Members(by_zone)
        return self._members

    def _handle_requests(self, peer: str, message: SlotWants) -> None:
        requests = {
            service: SlotRequest(count, due) for service, count, due in message.wants
        }
        self._broker.set_requests(peer, requests)
        self._updated()

    def _handle_decline(self, peer: str, decline: SlotDecline) -> None:
        if decline.full:
            # The peer knows of requests or refusals that this instance does not. The
            # target is not granted from for a while: the item gets a slot elsewhere.
            now = asyncio.get_running_loop().time()
            self._broker.record_full(peer, decline.target, now)
        else:
            self._broker.record_declined(peer, decline.target)
        self._updated()

    def _remove_instance(self, instance: str) -> None:
        self._broker.remove_instance(instance)
        self._requests_by_granter.pop(instance, None)


def _message(requests: RequestsByService) -> SlotWants:
    rows = [[name, request.count, request.due] for name, request in requests.items()]
    return SlotWants([row for row in rows if row[1] > 0])


def _copy(requests: RequestsByService) -> RequestsByService:
    """Return a copy, so that counts of either can change independently."""
    return {
        name: SlotRequest(request.count, request.due)
        for name, request in requests.items()
    }
