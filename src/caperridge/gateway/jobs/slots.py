"""Items in free slots: which start where, and which give way to online requests."""

import random
from collections.abc import Iterable

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.held_job import HeldJob
from caperridge.gateway.jobs.item_runs import ItemRuns
from caperridge.gateway.jobs.model import JobEntry, JobItem
from caperridge.gateway.jobs.schedule import Startable, first_to_cancel, in_order
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.placement import items_to_cancel, place_item
from caperridge.gateway.routes import Route
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
        chance: breaks ties.
    """

    def __init__(
        self,
        configuration: ConfigurationInForce,
        fleet: Fleet,
        clock: StoreClock,
        runs: ItemRuns,
        metrics: GatewayMetrics,
        chance: random.Random,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._clock = clock
        self._runs = runs
        self._metrics = metrics
        self._chance = chance

    def give_way(self, jobs: Iterable[HeldJob]) -> None:
        """Cancel items where more runs than the target has slots."""
        running: dict[str, list[Startable]] = {}
        for job in jobs:
            for state in job.running():
                if state.task is None:
                    continue
                one = Startable(job, state, self._due(job))
                running.setdefault(state.target, []).append(one)
        occupancy = self._fleet.occupancy
        for id, ones in running.items():
            target = self._fleet.targets.by_id.get(id)
            if target is None:
                continue
            count = items_to_cancel(target, occupancy)
            for one in first_to_cancel(ones)[:count]:
                log.info(
                    "item gives way",
                    item=one.state.item.id,
                    target=id,
                    online=occupancy.at(id).online,
                    items=occupancy.at(id).items,
                )
                assert one.state.task is not None
                one.state.task.cancel()

    def start_some(self, jobs: Iterable[HeldJob], instances: int, now: float) -> bool:
        """Start items in free slots; return whether more might start.

        Args:
            jobs: that this instance holds.
            instances: that may start items, this one included.
            now: on the loop's clock.
        """
        startable: list[Startable] = []
        for job in jobs:
            due = self._due(job)
            startable += [Startable(job, state, due) for state in job.pending(now)]
        self._metrics.waiting_items.set(len(startable))
        most = max(1, self._free_slots() // instances)
        started = 0
        for one in in_order(startable, self._clock.now()):
            if started >= most:
                return True
            if self._start(one, now):
                started += 1
        return False

    def _free_slots(self) -> int:
        free = 0
        for target in self._fleet.targets.by_id.values():
            if not target.draining:
                total = self._fleet.occupancy.at(target.id).total
                free += max(0, target.slots - total)
        return free

    def _start(self, one: Startable, now: float) -> bool:
        if self._configuration.table is None:
            return False
        route = self._route(one.job.entry, one.state.item)
        if route is None:
            log.info("item without a route", item=one.state.item.id)
            one.job.bury(one.state)
            return False
        assert route.batch is not None
        age_s = self._clock.now() - one.job.entry.sent_s
        if age_s > route.batch.retention_s + RETENTION_SLACK_S:
            log.info("item is too old", item=one.state.item.id, age_s=round(age_s, 1))
            one.job.bury(one.state)
            return False
        service = route.service_for(one.state.item.id)
        targets = self._fleet.usable(service, now)
        target = place_item(
            targets, self._fleet.occupancy, self._fleet.zone, self._chance
        )
        if target is None:
            return False
        self._runs.start(one.job, one.state, route, target)
        return True

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
