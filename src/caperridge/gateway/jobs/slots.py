"""Items in free slots: which start where, and which give way to online requests."""

from collections.abc import Iterable

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.broker import Want
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

# An item is given up this long after it may be, so that clocks cannot disagree.
RETENTION_SLACK_S = 1.0


class ItemSlots:
    """Starts and stops items of the jobs that this instance holds.

    Args:
        configuration: in force.
        fleet: targets and counts.
        clock: of the store, which jobs are dated by.
        runs: starts them.
        metrics: counted into.
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
        runs.may_go_on = self._leads_to

    def exceeded(self, target: str) -> bool:
        """Whether own items run at ``target`` and more runs there than it has slots."""
        return target in self._runs.targets and not self._within_slots(target)

    def give_way(self, jobs: Iterable[HeldJob]) -> None:
        """Cancel items where more runs than the target has slots."""
        running: dict[str, list[RankedItem]] = {}
        for job in jobs:
            for state in job.running():
                if self._within_slots(state.target):
                    continue
                one = self._ordered(job, state)
                running.setdefault(state.target, []).append(one)
        occupancy = self._fleet.occupancy
        for id, ones in running.items():
            target = self._fleet.targets.by_id.get(id)
            if target is None:
                continue
            self._cancel(ones, items_to_cancel(target, occupancy), id)

    def recall(self, jobs: Iterable[HeldJob], target: str, count: int) -> None:
        """Cancel ``count`` items at ``target``, as who grants its slots asks."""
        ones = [
            self._ordered(job, state)
            for job in jobs
            for state in job.running()
            if state.target == target
        ]
        self._cancel(ones, count, target)

    def _cancel(self, ones: list[RankedItem], count: int, target: str) -> None:
        """Have ``count`` of these items give way, with those that do already."""
        at_target = self._fleet.occupancy.total_at(target)
        count -= sum(1 for one in ones if one.state.cancelling)
        running_on = [one for one in ones if not one.state.cancelling]
        for one in preemption_order(running_on)[: max(0, count)]:
            log.info(
                "item gives way",
                item=one.state.item.id,
                target=target,
                online=at_target.online,
                items=at_target.items,
            )
            one.state.cancel()

    def is_full(self, target: Target) -> bool:
        """Whether ``target`` has no free slot, by what this instance knows."""
        return self._fleet.occupancy.total_at(target.id).total >= target.slots

    def _within_slots(self, id: str) -> bool:
        target = self._fleet.targets.by_id.get(id)
        return (
            target is None or self._fleet.occupancy.total_at(id).total <= target.slots
        )

    def wants(self, jobs: Iterable[HeldJob], now: float) -> dict[str, Want]:
        """Return what could start at ``now``, by service.

        Items that can never run are taken out of their jobs on the way.
        """
        wants: dict[str, Want] = {}
        for one in self._startable(jobs, now):
            service = self._service(one)
            if service is None or self._runs.is_held(one):
                continue
            want = wants.get(service)
            if want is None:
                wants[service] = Want(1, one.order)
                continue
            want.count += 1
            want.due = min(want.due, one.order)
        self._metrics.waiting_items.set(sum(want.count for want in wants.values()))
        return wants

    def start_at(self, jobs: Iterable[HeldJob], target: Target, now: float) -> bool:
        """Start the most urgent item that ``target`` serves; False if there is none."""
        for one in by_urgency(self._startable(jobs, now)):
            if self._service(one) != target.service or self._runs.is_held(one):
                continue
            route = self._route(one.job.entry, one.state.item)
            if route is None:
                continue
            self._runs.start(one, route, target)
            return True
        return False

    def _startable(self, jobs: Iterable[HeldJob], now: float) -> list[RankedItem]:
        startable: list[RankedItem] = []
        for job in jobs:
            startable += [self._ordered(job, state) for state in job.pending(now)]
        return startable

    def _ordered(self, job: HeldJob, state: ItemState) -> RankedItem:
        due = self._due(job)
        left_s = self._left_s(job, state)
        return RankedItem(
            job, state, due, effective_due(due, left_s, self._clock.now())
        )

    def _leads_to(self, one: RankedItem, target: Target) -> bool:
        """Whether an item that runs at ``target`` would be sent to its service now."""
        if self._configuration.table is None:
            return False
        route = self._route(one.job.entry, one.state.item)
        return route is not None and (
            route.service_for(one.state.item.id) == target.service
        )

    def _left_s(self, job: HeldJob, state: ItemState) -> float:
        """Return how long an item is likely to take until it is done."""
        table = self._configuration.table
        route = table.batch_route(job.entry.route) if table is not None else None
        if route is None:
            return 0.0
        lengths = self._fleet.run_lengths(route.service_for(state.item.id))
        return lengths.remaining_s(state.item.tokens, state.progress.event)

    def refresh_dues(self, jobs: Iterable[HeldJob]) -> None:
        """Say again by when running items are ordered: some cannot be in time now."""
        for job in jobs:
            for state in job.running():
                self._runs.ordered_by(state, self._ordered(job, state).order)

    def _service(self, one: RankedItem) -> str | None:
        """Return which service runs an item now; None if it cannot run."""
        if self._configuration.table is None:
            return None
        route = self._route(one.job.entry, one.state.item)
        if route is None:
            log.info("item without a route", item=one.state.item.id)
            one.job.bury(one.state)
            return None
        assert route.batch is not None
        age_s = self._clock.now() - one.job.entry.sent_s
        if age_s > route.batch.retention_s + RETENTION_SLACK_S:
            log.info("item is too old", item=one.state.item.id, age_s=round(age_s, 1))
            one.job.bury(one.state)
            return None
        return route.service_for(one.state.item.id)

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
