"""Runs of items at targets under renewable leases, resumed after the last event."""

import asyncio
import functools
from collections.abc import Callable, Container

from result import Err

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.answer import Answer, BrokenAnswerError, OverlongAnswerError
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.incarnations import IncarnationCheck
from caperridge.gateway.jobs.held_job import (
    DONE,
    LISTED,
    PENDING,
    RUNNING,
    HeldJob,
    ItemState,
)
from caperridge.gateway.jobs.item_requests import item_request
from caperridge.gateway.jobs.model import ItemProgress
from caperridge.gateway.jobs.schedule import RankedItem
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.routes import Route
from caperridge.gateway.target_ends import CrashDetector
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import TargetClient
from caperridge.log import logger
from caperridge.records import Record
from caperridge.refusals import NOT_RUN
from caperridge.targets.outcomes import (
    AttemptError,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)

log = logger(__name__)

# Longer than the wait in any queue; a target that is silent for so long has most likely
# lost power or its network.
FIRST_EVENT_TIMEOUT_S = 3.0
EVENT_TIMEOUT_S = 1.2
# Only the whole output of an item is used, and its progress every 1.5 s. Events arrive
# some 33 ms apart; batches wake each run 4 times a second instead of 30. The events of
# one batch are generated again if the connection breaks.
EVENT_BATCH_S = 0.25
RETRY_DELAY_S = 0.05
FAILED_RETRY_DELAY_S = 0.3
UNPROCESSABLE_STATUS = 422
# From a target that hangs until the lease of a run ends; not a failure of the item.
LEASE_ENDED_STATUS = 504
# The target ends a run after this time unless its lease was renewed. Nothing else ends
# it when its holder lost power: without leases slots stayed occupied for up to the 5 s
# of a whole run. An instance that lost power is back after some 2 s.
LEASE_S = 2.2
# A lease is renewed this long after it started. The new run resumes after the last
# event and reads the prompt and the output so far again, which takes 20 to 50 ms.
RENEW_AFTER_S = 1.7


class Renewal(Record):
    """A run was ended so that the item resumes under a new lease, at any target."""

    __slots__ = ()


class ItemRuns:
    """Runs items at targets.

    Items are not quarantined: callers submit no items that crash targets, so a crash
    under an item says nothing about the item, and it is tried until it is done.

    Attributes:
        may_resume: returns whether the configuration allows an item to resume at a
            target.

    Args:
        fleet: targets and counts.
        client: of targets.
        dialect: names of headers.
        metrics: of the instance.
        detector: told of lost runs, as their targets may have crashed.
        incarnations: confirms what writes the parts of an output.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: TargetClient,
        dialect: Dialect,
        metrics: GatewayMetrics,
        detector: CrashDetector,
        incarnations: IncarnationCheck,
    ) -> None:
        self._fleet = fleet
        self._incarnations = incarnations
        self._detector = detector
        self._client = client
        self._dialect = dialect
        self._metrics = metrics
        self.may_resume: Callable[[RankedItem, Target], bool] = lambda one, target: True
        self._orders_by_target: dict[str, dict[ItemState, float]] = {}

    @property
    def targets(self) -> Container[str]:
        """Ids of the targets at which items of this instance run."""
        return self._orders_by_target.keys()

    def start(self, ranked: RankedItem, route: Route, target: Target) -> None:
        """Run an item at ``target``."""
        job, state = ranked.job, ranked.state
        if not state.progress.goes_on_at(target.origin):
            self._start_over(ranked, target)
        state.status = RUNNING
        state.target = target.id
        if not state.progress.event and not state.started_at:
            state.started_at = asyncio.get_running_loop().time()
        self._orders_by_target.setdefault(target.id, {})[state] = ranked.order
        self._update_occupancy(target.id, 1)
        self._fleet.notify_changed()
        lengths = self._fleet.run_lengths(target.service)
        log.info(
            "item started",
            job=job.entry.id,
            item=state.item.id,
            target=target.id,
            software_version=target.software_version,
            after_event=state.progress.event,
            due_s=round(ranked.due, 2),
            late=ranked.late,
            left_s=round(
                lengths.remaining_s(state.item.tokens, state.progress.event), 2
            ),
            stretch=round(lengths.stretch, 2),
        )
        attempt = self._attempt(ranked, target)
        state.task = asyncio.get_running_loop().create_task(attempt)
        # A callback, because a task cancelled before its first step runs none of its
        # own code.
        state.task.add_done_callback(
            functools.partial(
                self._run_done, ranked, route, target, state.progress.event
            )
        )

    def _start_over(self, ranked: RankedItem, target: Target) -> None:
        """Drop output that ``target`` cannot continue."""
        state = ranked.state
        self._metrics.items.labels("started_over").inc()
        log.info(
            "item starts over",
            job=ranked.job.entry.id,
            item=state.item.id,
            target=target.id,
            software_version=target.software_version,
            began_at=state.progress.software_version,
            events_dropped=state.progress.event,
        )
        state.start_over()

    def update_order(self, state: ItemState, order: float) -> None:
        """Change the effective due time of a running item."""
        orders = self._orders_by_target.get(state.target, {})
        if orders.get(state, order) != order:
            orders[state] = order
            self._update_occupancy(state.target, 0)

    def _update_occupancy(self, target: str, items: int) -> None:
        """Add to the items at ``target``, and update the latest due time there."""
        orders = self._orders_by_target[target]
        self._fleet.occupancy.add(target, items=items)
        self._fleet.occupancy.set_latest_due(target, max(orders.values(), default=0.0))
        if not orders:
            del self._orders_by_target[target]

    def _run_done(
        self,
        ranked: RankedItem,
        route: Route,
        target: Target,
        from_event: int,
        task: "asyncio.Task[AttemptError | Renewal | None]",
    ) -> None:
        state = ranked.state
        del self._orders_by_target[target.id][state]
        self._update_occupancy(target.id, -1)
        state.target = ""
        state.task = None
        if state.status == RUNNING:
            state.status = PENDING
        error: AttemptError | None = None
        resumes = task.cancelled()
        if not task.cancelled():
            exception = task.exception()
            outcome = Lost(repr(exception)) if exception is not None else task.result()
            resumes = isinstance(outcome, Renewal)
            error = None if resumes else outcome
        self._record_outcome(ranked, route, target, error, resumes, from_event)
        self._fleet.notify_changed()

    def _record_outcome(
        self,
        ranked: RankedItem,
        route: Route,
        target: Target,
        error: AttemptError | None,
        resumes: bool,
        from_event: int,
    ) -> None:
        """Record how a run ended; ``resumes`` if the item continues later."""
        job, state = ranked.job, ranked.state
        now = asyncio.get_running_loop().time()
        outcome = _outcome_label(error, resumes)
        self._metrics.items.labels(outcome).inc()
        log.info(
            "item run ended",
            job=job.entry.id,
            item=state.item.id,
            target=target.id,
            outcome=outcome,
            reason=error.reason if error is not None else "",
            from_event=from_event,
            event=state.progress.event,
            failures=state.progress.failures,
        )
        if resumes or state.status in (DONE, LISTED):
            return
        if error is None:
            self._fleet.record_success(target.id, now)
            since_s = now - state.started_at if state.started_at else 0.0
            self._fleet.run_lengths(target.service).record_item(
                state.item.tokens, state.progress.event, since_s
            )
            job.complete(state)
            return
        self._delay_start(state, RETRY_DELAY_S)
        if isinstance(error, TargetRefused) and _is_failure(error):
            self._record_failure(job, state, route, error.status)
            return
        if isinstance(error, TargetRefused) and error.replaced:
            self._fleet.mark_replaced(target.id, now)
        elif isinstance(error, TargetRefused) and error.run == NOT_RUN:
            self._fleet.record_item_refusal(target.id, now)
        else:
            self._fleet.record_failure(target, error, now)

    def _record_failure(
        self, job: HeldJob, state: ItemState, route: Route, status: int
    ) -> None:
        """Count an attempt that the target reported as failed."""
        failures = state.progress.failures + 1
        state.progress = state.progress.replace(failures=failures)
        self._delay_start(state, FAILED_RETRY_DELAY_S)
        if status == UNPROCESSABLE_STATUS or failures >= route.max_attempts:
            job.mark_dead(state)

    def _delay_start(self, state: ItemState, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        state.not_before = loop.time() + delay_s
        loop.call_at(state.not_before, self._fleet.notify_changed)

    async def _attempt(
        self, ranked: RankedItem, target: Target
    ) -> AttemptError | Renewal | None:
        """Run the item at one target; None if its output is complete."""
        progress = ranked.state.progress
        if progress.target != target.id and not await self._may_continue(progress):
            self._start_over(ranked, target)
        while True:
            outcome = await self._run_one_lease(ranked, target)
            if not isinstance(outcome, Renewal):
                return outcome
            now = asyncio.get_running_loop().time()
            usable = self._fleet.is_usable(target.id, now)
            if not usable or not self.may_resume(ranked, target):
                return outcome  # a new run there would be new work
            event = ranked.state.progress.event
            log.info("lease renewed", item=ranked.state.item.id, event=event)

    async def _may_continue(self, progress: ItemProgress) -> bool:
        """Whether an output is of the version that its progress names."""
        if not progress.event or not progress.target:
            return True
        origin = StreamOrigin(progress.service, progress.software_version)
        return await self._incarnations.may_have_written(progress.target, origin)

    async def _run_one_lease(
        self, ranked: RankedItem, target: Target
    ) -> AttemptError | Renewal | None:
        """Run the item until its output is complete or its lease has to be renewed."""
        job, state = ranked.job, ranked.state
        loop = asyncio.get_running_loop()
        started_at, from_event = loop.time(), state.progress.event
        outbound = item_request(self._dialect.headers, job, state, target, LEASE_S)
        opened = await self._client.open(target, outbound, FIRST_EVENT_TIMEOUT_S)
        if isinstance(opened, Err):
            self._report_lost(target, opened.err_value)
            return opened.err_value
        answer = opened.ok_value
        try:
            if answer.status != 200:
                return TargetRefused(answer.status, "it failed", "ran")
            if from_event and not await self._incarnations.is_running(target):
                return WrongAnswer("its incarnation is not confirmed")
            outcome = await self._collect_output(
                state, answer, target, started_at + RENEW_AFTER_S
            )
            self._report_lost(target, outcome)
            return outcome
        finally:
            answer.close()
            self._fleet.run_lengths(target.service).record_run(
                state.progress.event - from_event, loop.time() - started_at
            )

    def _report_lost(
        self, target: Target, outcome: AttemptError | Renewal | None
    ) -> None:
        """Report a run whose answer broke off: its target may have crashed."""
        if isinstance(outcome, Lost):
            self._detector.record_lost_run(target, [])

    async def _collect_output(
        self, state: ItemState, answer: Answer, target: Target, renew_at: float
    ) -> AttemptError | Renewal | None:
        loop = asyncio.get_running_loop()
        try:
            async for events in answer.events(
                FIRST_EVENT_TIMEOUT_S, EVENT_TIMEOUT_S, EVENT_BATCH_S
            ):
                if not state.append_events(events, target):
                    return WrongAnswer("an event out of order")
                if events and loop.time() >= renew_at and not answer.at_end:
                    return Renewal()
        except OverlongAnswerError as error:
            return WrongAnswer(str(error))
        except BrokenAnswerError as error:
            return Lost(str(error))
        except asyncio.CancelledError:
            state.append_events(answer.buffered_events(), target)
            raise
        return None if state.progress.event else Lost("it ended before an event")


def _is_failure(error: TargetRefused) -> bool:
    """Whether the target ran the item and reported that it failed."""
    return error.run != NOT_RUN and error.status != LEASE_ENDED_STATUS


def _outcome_label(error: AttemptError | None, resumes: bool) -> str:
    if resumes:
        return "cancelled"
    if error is None:
        return "completed"
    if isinstance(error, TargetRefused):
        return "not_run" if error.run == NOT_RUN else f"failed_{error.status}"
    if isinstance(error, NotSent):
        return "not_sent"
    return "lost"
