"""Scheduling of items: which start in granted slots, and which are preempted."""

from collections.abc import Iterable

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.broker import SlotRequest
from caperridge.gateway.jobs.held_job import HeldJob, ItemState
from caperridge.gateway.jobs.item_runs import ItemRuns
from caperridge.gateway.jobs.model import JobEntry, JobItem
from caperridge.gateway.jobs.schedule import (
    RankedItem,
    by_urgency,
    effective_due,
    preemption_order,
)
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.placement import items_to_cancel
from caperridge.gateway.routes import Route
from caperridge.gateway.targets import Target
from caperridge.log import logger

log = logger(__name__)

# An item is marked dead only this long after its retention ends, to allow for clock
# skew.
RETENTION_MARGIN_S = 1.0


class ItemSlots:
    """Starts and stops items of the jobs that this instance holds.

    Args:
        configuration: in force.
        fleet: targets and counts.
        clock: of the store, in which jobs' times are given.
        runs: starts items.
        metrics: of the instance.
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        fleet: Fleet,
        clock: StoreClock,
        runs: ItemRuns,
        metrics: GatewayMetrics,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._runs = runs
        self._metrics = metrics
        runs.may_resume = self._still_routed_to

    def is_over_capacity(self, target: str) -> bool:
        """Whether ``target`` has more runs than slots, and items of this instance."""
        return target in self._runs.targets and not self._within_slots(target)

    def preempt_excess(self, jobs: Iterable[HeldJob]) -> None:
        """Preempt items at targets that have more runs than slots."""
        running_by_target: dict[str, list[RankedItem]] = {}
        for job in jobs:
            for state in job.running():
                if self._within_slots(state.target):
                    continue
                ranked = self._ranked(job, state)
                running_by_target.setdefault(state.target, []).append(ranked)
        occupancy = self._fleet.occupancy
        for id, items in running_by_target.items():
            target = self._fleet.targets.by_id.get(id)
            if target is None:
                continue
            self._cancel(items, items_to_cancel(target, occupancy), id)

    def preempt(self, jobs: Iterable[HeldJob], target: str, count: int) -> None:
        """Preempt ``count`` items at ``target``, as its granter requests."""
        items = [
            self._ranked(job, state)
            for job in jobs
            for state in job.running()
            if state.target == target
        ]
        self._cancel(items, count, target)

    def _cancel(self, items: list[RankedItem], count: int, target: str) -> None:
        """Preempt ``count`` of these items, counting those being cancelled already."""
        at_target = self._fleet.occupancy.total_at(target)
        count -= sum(1 for ranked in items if ranked.state.cancelling)
        remaining = [ranked for ranked in items if not ranked.state.cancelling]
        for ranked in preemption_order(remaining)[: max(0, count)]:
            log.info(
                "item preempted",
                item=ranked.state.item.id,
                target=target,
                online=at_target.online,
                items=at_target.items,
            )
            ranked.state.cancel()

    def is_full(self, target: Target) -> bool:
        """Whether ``target`` has no free slot, as far as this instance knows."""
        return self._fleet.occupancy.total_at(target.id).total >= target.slots

    def _within_slots(self, id: str) -> bool:
        target = self._fleet.targets.by_id.get(id)
        return (
            target is None or self._fleet.occupancy.total_at(id).total <= target.slots
        )

    def slot_requests(
        self, jobs: Iterable[HeldJob], now: float
    ) -> dict[str, SlotRequest]:
        """Return requests for the items that could start at ``now``, by service.

        Marks items that can never run as dead.
        """
        requests: dict[str, SlotRequest] = {}
        for ranked in self._pending_items(jobs, now):
            service = self._service(ranked)
            if service is None:
                continue
            request = requests.get(service)
            if request is None:
                requests[service] = SlotRequest(1, ranked.order)
                continue
            request.count += 1
            request.due = min(request.due, ranked.order)
        self._metrics.waiting_items.set(
            sum(request.count for request in requests.values())
        )
        return requests

    def start_item(self, jobs: Iterable[HeldJob], target: Target, now: float) -> bool:
        """Start the most urgent item for ``target``; False if there is none.

        Output of another software version is dropped only if no other item can use the
        slot. It is dropped then even if a target that can continue it has a free slot:
        a granter that does not know versions would grant the wrong slot again.
        """
        fallback: RankedItem | None = None
        for ranked in by_urgency(self._pending_items(jobs, now)):
            if self._service(ranked) != target.service:
                continue
            if not self._can_go_on_elsewhere(ranked, target):
                return self._start(ranked, target)
            fallback = fallback or ranked
        return fallback is not None and self._start(fallback, target)

    def _start(self, ranked: RankedItem, target: Target) -> bool:
        route = self._route(ranked.job.entry, ranked.state.item)
        if route is not None:
            self._runs.start(ranked, route, target)
        return route is not None

    def _can_go_on_elsewhere(self, ranked: RankedItem, target: Target) -> bool:
        """Whether an item would start over here and can go on at a listed target."""
        progress = ranked.state.progress
        if progress.goes_on_at(target.origin):
            return False
        listed = self._fleet.targets.of_service(target.service)
        return any(progress.goes_on_at(one.origin) for one in listed)

    def _pending_items(self, jobs: Iterable[HeldJob], now: float) -> list[RankedItem]:
        pending: list[RankedItem] = []
        for job in jobs:
            pending += [self._ranked(job, state) for state in job.pending(now)]
        return pending

    def _ranked(self, job: HeldJob, state: ItemState) -> RankedItem:
        due = self._due(job)
        remaining_s = self._remaining_s(job, state)
        return RankedItem(
            job, state, due, effective_due(due, remaining_s, self._clock.now())
        )

    def _still_routed_to(self, ranked: RankedItem, target: Target) -> bool:
        """Whether the configuration in force still routes an item to ``target``."""
        if self._configuration.table is None:
            return False
        route = self._route(ranked.job.entry, ranked.state.item)
        return route is not None and (
            route.service_for(ranked.state.item.id) == target.service
        )

    def _remaining_s(self, job: HeldJob, state: ItemState) -> float:
        """Return the expected time until an item is done, in seconds."""
        table = self._configuration.table
        route = table.batch_route(job.entry.route) if table is not None else None
        if route is None:
            return 0.0
        lengths = self._fleet.run_lengths(route.service_for(state.item.id))
        return lengths.remaining_s(state.item.tokens, state.progress.event)

    def refresh_ranks(self, jobs: Iterable[HeldJob]) -> None:
        """Update the ranks of running items: some can no longer be in time."""
        for job in jobs:
            for state in job.running():
                self._runs.update_order(state, self._ranked(job, state).order)

    def _service(self, ranked: RankedItem) -> str | None:
        """Return the service that runs an item; None if there is none at present.

        Marks the item dead if it has no route or its retention is over. Without a
        configuration it stays pending.
        """
        if self._configuration.table is None:
            return None
        route = self._route(ranked.job.entry, ranked.state.item)
        if route is None:
            log.info("item without a route", item=ranked.state.item.id)
            ranked.job.mark_dead(ranked.state)
            return None
        assert route.batch is not None
        age_s = self._clock.now() - ranked.job.entry.sent_s
        if age_s > route.batch.retention_s + RETENTION_MARGIN_S:
            log.info(
                "item is too old", item=ranked.state.item.id, age_s=round(age_s, 1)
            )
            ranked.job.mark_dead(ranked.state)
            return None
        return route.service_for(ranked.state.item.id)

    def _route(self, entry: JobEntry, item: JobItem) -> Route | None:
        table = self._configuration.table
        assert table is not None
        route = table.find(entry.host, item.path)
        return route if route is not None and route.batch is not None else None

    def _due(self, job: HeldJob) -> float:
        table = self._configuration.table
        route = table.batch_route(job.entry.route) if table is not None else None
        if route is None or route.batch is None:
            return job.entry.sent_s
        return job.entry.sent_s + route.batch.due_s
