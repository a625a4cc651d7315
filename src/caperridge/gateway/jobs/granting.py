"""Asking for slots for the own items, and granting those of the targets that fall here.

With few peers each is told all wants, and whoever has a free slot grants it. With many
the wants are split between granters; see :mod:`caperridge.gateway.jobs.asking`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.asking import Opening, split
from caperridge.gateway.jobs.broker import (
    GRANT_S,
    RELAYED_GRANT_S,
    Members,
    SlotBroker,
    Want,
    spare_slots,
)
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import SlotDecline, SlotGrant, SlotWants
from caperridge.gateway.targets import Target

# News may be lost with a stream, so wants are told again now and then.
TELL_AGAIN_S = 1.2
# Slots that were not granted by then are asked for elsewhere; an answer takes 2 ms.
ASK_ELSEWHERE_S = 0.3

Wants = dict[str, Want]


class SlotGranting:
    """One instance's part in who gets free slots.

    Args:
        mesh: of peers.
        fleet: targets and counts.
        clock: of the store, which items are due by.
        slots: starts items.
        broker: decides who gets the slots that fall to this instance.
        chance: spreads what is asked.
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
        self._told_wants: Wants = {}
        self._tell_again_at = 0.0
        self._asked_by_granter: dict[str, Wants] = {}
        self._ask_elsewhere_at = 0.0
        self._news: Callable[[], None] = lambda: None
        mesh.register(SlotWants, self._peer_wants)
        mesh.register(SlotDecline, self._declined)
        mesh.on_lost(lambda member: self._forget(member.id))

    def on_news(self, call: Callable[[], None]) -> None:
        """Have ``call`` called when there may be slots to grant."""
        self._news = call

    @property
    def has_requests(self) -> bool:
        """Whether any instance asked this one for slots."""
        return self._broker.wanted

    def slot_used(self, instance: str, target: str) -> None:
        """Note that ``instance`` started an item at ``target``."""
        self._broker.used(instance, target)

    def granted_targets(self) -> list[Target]:
        """Return the targets in use whose slots this instance grants."""
        now = asyncio.get_running_loop().time()
        by_id = self._fleet.targets.by_id
        here = self._broker.falls_here(*self._granter_inputs())
        return [by_id[id] for id in here if self._fleet.takes_items(id, now)]

    def grants(self, target: str) -> bool:
        """Whether this instance grants the slots of ``target``."""
        granters = self._broker.granters(*self._granter_inputs())
        return granters.get(target) == self._mesh.instance

    def step(self, jobs: list[HeldJob], now: float) -> None:
        """Ask for what the own items want, and grant what is free."""
        self._tell(jobs, now)
        if not self._broker.wanted:
            return
        targets = {target.id: target for target in self.granted_targets()}
        grants = self._broker.grant(
            targets.values(),
            self._fleet.occupancy,
            self._clock.now(),
            now,
            RELAYED_GRANT_S if self._mesh.large else GRANT_S,
        )
        for grant in grants:
            if grant.instance != self._mesh.instance:
                self._mesh.send(grant.instance, SlotGrant(grant.target))
                continue
            self._slots.start_at(jobs, targets[grant.target], now)
            self._broker.used(grant.instance, grant.target)
            self._count_answer(grant.instance, grant.service)
        if grants:
            self._tell(jobs, now)

    def take(self, peer: str, grant: SlotGrant, jobs: list[HeldJob]) -> None:
        """Use a slot that a peer granted, or tell it why not."""
        now = asyncio.get_running_loop().time()
        target = self._fleet.targets.by_id.get(grant.target)
        usable = target is not None and self._fleet.takes_items(target.id, now)
        if target is None or not usable or self._slots.is_full(target):
            self._mesh.send(peer, SlotDecline(grant.target, full=True))
            return
        self._count_answer(peer, target.service)
        if not self._slots.start_at(jobs, target, now):
            self._asked_by_granter.get(peer, {}).pop(target.service, None)
            self._mesh.send(peer, SlotDecline(grant.target))

    # What this instance wants.

    def _tell(self, jobs: list[HeldJob], now: float) -> None:
        wants = self._slots.wants(jobs, now)
        if self._mesh.large:
            self._ask(wants, now)
            return
        self._broker.wants(self._mesh.instance, wants)
        if not wants and not self._told_wants:
            return
        again = now >= self._tell_again_at
        if again or wants != self._told_wants:
            self._mesh.send_all(_message(wants))
        if again:
            self._tell_again_at = now + TELL_AGAIN_S
        self._told_wants = _copy(wants)

    def _ask(self, wants: Wants, now: float) -> None:
        """Split the wants between granters, unless those asked already will do."""
        if not wants and not self._asked_by_granter:
            return
        elsewhere = now >= self._ask_elsewhere_at
        if not elsewhere and self._is_asked(wants):
            return
        again = now >= self._tell_again_at
        if again:
            self._tell_again_at = now + TELL_AGAIN_S
        self._ask_elsewhere_at = now + ASK_ELSEWHERE_S
        before = self._asked_by_granter
        asks = self._asks(wants, now)
        for granter in before.keys() | asks.keys():
            ask = asks.get(granter, {})
            if not again and ask == before.get(granter):
                continue
            if granter == self._mesh.instance:
                self._broker.wants(granter, _copy(ask))
            else:
                self._mesh.send(granter, _message(ask))
        self._asked_by_granter = asks

    def _is_asked(self, wants: Wants) -> bool:
        """Whether as much is asked for as is wanted."""
        asked: dict[str, int] = dict.fromkeys(wants, 0)
        for ask in self._asked_by_granter.values():
            for service, want in ask.items():
                asked[service] = asked.get(service, 0) + want.count
        return all(
            count == (wants[service].count if service in wants else 0)
            for service, count in asked.items()
        )

    def _asks(self, wants: Wants, now: float) -> dict[str, Wants]:
        asks: dict[str, Wants] = {}
        for service, want in wants.items():
            openings = self._openings(service, now)
            for granter, count in split(want.count, openings, self._chance).items():
                asks.setdefault(granter, {})[service] = Want(count, want.due)
        return asks

    def _openings(self, service: str, now: float) -> list[Opening]:
        granters = self._broker.granters(*self._granter_inputs())
        openings: list[Opening] = []
        for target in self._fleet.targets.of_service(service):
            granter = granters[target.id]
            if granter is None or not self._fleet.takes_items(target.id, now):
                continue
            count = self._fleet.occupancy.total_at(target.id)
            free = target.slots - count.total - spare_slots(target, count)
            near = target.availability_zone == self._mesh.zone
            openings.append(Opening(granter, free, near))
        return openings

    def _count_answer(self, granter: str, service: str) -> None:
        """Count a grant off what was asked, as its granter does."""
        want = self._asked_by_granter.get(granter, {}).get(service)
        if want is not None:
            want.count -= 1

    # What others want.

    def _granter_inputs(self) -> tuple[Members, Iterable[Target], int]:
        """Return what decides who grants: members, targets and their changes."""
        listed = self._fleet.targets
        return self._who_may_grant(), listed.by_id.values(), listed.changes

    def _who_may_grant(self) -> Members:
        if self._members_key != self._mesh.changes:
            self._members_key = self._mesh.changes
            by_zone = {self._mesh.zone: [self._mesh.instance]}
            for member in self._mesh.alive():
                if not member.leaving:
                    by_zone.setdefault(member.zone, []).append(member.id)
            self._members = Members(by_zone)
        return self._members

    def _peer_wants(self, peer: str, news: SlotWants) -> None:
        wants = {service: Want(count, due) for service, count, due in news.wants}
        self._broker.wants(peer, wants)
        self._news()

    def _declined(self, peer: str, decline: SlotDecline) -> None:
        if decline.full:
            # It knows of requests or refusals that this instance does not. The target
            # is left alone for a while, so that the item gets a slot elsewhere.
            now = asyncio.get_running_loop().time()
            self._broker.declined_as_full(peer, decline.target, now)
        else:
            self._broker.declined(peer, decline.target)
        self._news()

    def _forget(self, instance: str) -> None:
        self._broker.forget(instance)
        self._asked_by_granter.pop(instance, None)


def _message(wants: Wants) -> SlotWants:
    told = [[name, want.count, want.due] for name, want in wants.items()]
    return SlotWants([one for one in told if one[1] > 0])


def _copy(wants: Wants) -> Wants:
    """Return wants whose counts may change apart from those given."""
    return {name: Want(want.count, want.due) for name, want in wants.items()}
