"""Running items at targets: output is gathered and goes on behind its last event."""

import asyncio
import functools
from collections.abc import Callable, Container

from multidict import CIMultiDict
from result import Err

from caperridge.gateway.dialect import Dialect
from caperridge.gateway.fingerprint import Fingerprint, fingerprint_of
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.jobs.held_job import (
    DONE,
    LISTED,
    PENDING,
    RUNNING,
    HeldJob,
    ItemState,
)
from caperridge.gateway.jobs.model import ItemProgress
from caperridge.gateway.jobs.schedule import RankedItem
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.request_guard import QuarantineRefusal, RequestGuard
from caperridge.gateway.routes import Route
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import (
    Answer,
    BrokenAnswerError,
    Outbound,
    TargetClient,
)
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

# Longer than any queue an item may meet; a target that says nothing for so long has
# most likely gone dark.
FIRST_EVENT_S = 3.0
EVENT_S = 1.2
# Of an item's events only the whole output is used, and progress every 1.5 s. Events
# come some 33 ms apart, so each run is woken 4 times a second instead of 30; what a
# target has sent for so long is made again if its connection breaks.
GATHER_EVENTS_S = 0.25
AGAIN_AFTER_S = 0.05
FAILED_AGAIN_AFTER_S = 0.3
UNPROCESSABLE = 422
# Of a target that hangs until the lease of a run ends; the item is not to blame.
LEASE_ENDED = 504
# A run holds its slot for so long; then the target ends it unless it was renewed. When
# its holder has lost power nothing else ends it, and slots stayed taken for up to the
# 5 s of a whole run. An instance that lost power is back after some 2 s.
LEASE_S = 2.2
# Renewed so long after it began. A new run goes on behind the last event; it reads the
# prompt and what was generated again, 20 to 50 ms.
RENEW_S = 1.7


class Renewal(Record):
    """A run was ended so that the item goes on under a new lease, here or elsewhere."""

    __slots__ = ()


class ItemRuns:
    """Starts and ends runs of items.

    Attributes:
        may_go_on: whether the configuration lets an item go on at a target.

    Args:
        fleet: counts and targets.
        client: of targets.
        dialect: names of headers.
        metrics: counted into.
        guard: says which items may be sent.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: TargetClient,
        dialect: Dialect,
        metrics: GatewayMetrics,
        guard: RequestGuard,
    ) -> None:
        self._fleet = fleet
        self._guard = guard
        self._client = client
        self._dialect = dialect
        self._metrics = metrics
        self.may_go_on: Callable[[RankedItem, Target], bool] = lambda one, target: True
        self._orders_by_target: dict[str, dict[ItemState, float]] = {}

    @property
    def targets(self) -> Container[str]:
        """Ids of the targets at which items of this instance run."""
        return self._orders_by_target.keys()

    def is_held(self, one: RankedItem) -> bool:
        """Whether an item is kept from targets, as others ended under it."""
        return self._guard.has_suspects and self._guard.is_quarantined(self._mark(one))

    def _mark(self, one: RankedItem) -> Fingerprint:
        entry, item = one.job.entry, one.state.item
        if one.state.mark is None:
            headers = [("Host", entry.host)]
            headers += [(name, value) for name, value in item.headers]
            changing = self._dialect.per_attempt_headers
            one.state.mark = fingerprint_of(
                "POST", entry.host, item.path, item.body, headers, changing
            )
        return one.state.mark

    def start(self, one: RankedItem, route: Route, target: Target) -> None:
        """Run an item at ``target``."""
        job, state = one.job, one.state
        state.status = RUNNING
        state.target = target.id
        if not state.progress.event and not state.started_at:
            state.started_at = asyncio.get_running_loop().time()
        self._orders_by_target.setdefault(target.id, {})[state] = one.order
        self._count(target.id, 1)
        self._fleet.notify_changed()
        lengths = self._fleet.run_lengths(target.service)
        log.info(
            "item started",
            job=job.entry.id,
            item=state.item.id,
            target=target.id,
            after_event=state.progress.event,
            due_s=round(one.due, 2),
            late=one.late,
            left_s=round(
                lengths.remaining_s(state.item.tokens, state.progress.event), 2
            ),
            stretch=round(lengths.stretch, 2),
        )
        attempt = self._attempt(one, target)
        state.task = asyncio.get_running_loop().create_task(attempt)
        # A task that is cancelled before its first step runs nothing of its own.
        state.task.add_done_callback(
            functools.partial(self._run_ended, one, route, target, state.progress.event)
        )

    def ordered_by(self, state: ItemState, order: float) -> None:
        """Note by when a running item is ordered from now on."""
        orders = self._orders_by_target.get(state.target, {})
        if orders.get(state, order) != order:
            orders[state] = order
            self._count(state.target, 0)

    def _count(self, target: str, items: int) -> None:
        """Change the number of items at ``target``, and tell what is due last there."""
        orders = self._orders_by_target[target]
        self._fleet.occupancy.add(target, items=items)
        self._fleet.occupancy.set_latest_due(target, max(orders.values(), default=0.0))
        if not orders:
            del self._orders_by_target[target]

    def _run_ended(
        self,
        one: RankedItem,
        route: Route,
        target: Target,
        from_event: int,
        task: "asyncio.Task[AttemptError | QuarantineRefusal | Renewal | None]",
    ) -> None:
        state = one.state
        del self._orders_by_target[target.id][state]
        self._count(target.id, -1)
        state.target = ""
        state.task = None
        if state.status == RUNNING:
            state.status = PENDING
        error: AttemptError | None = None
        moves = task.cancelled()
        if not task.cancelled():
            failed = task.exception()
            outcome = Lost(repr(failed)) if failed is not None else task.result()
            moves = isinstance(outcome, Renewal | QuarantineRefusal)
            error = None if moves else outcome
        self._settle(one, route, target, error, moves, from_event)
        self._fleet.notify_changed()

    def _settle(
        self,
        one: RankedItem,
        route: Route,
        target: Target,
        error: AttemptError | None,
        moves: bool,
        from_event: int,
    ) -> None:
        """Take note of how a run ended; ``moves`` if the item goes on later."""
        job, state = one.job, one.state
        now = asyncio.get_running_loop().time()
        outcome = _outcome(error, moves)
        self._metrics.items.labels(outcome).inc()
        asked = {}
        if isinstance(error, Lost):
            mark = self._mark(one)
            asked = {"content": mark.content, "caller": mark.caller}
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
            **asked,
        )
        if moves or state.status in (DONE, LISTED):
            return
        if error is None:
            self._fleet.record_success(target.id, now)
            self._guard.record_good_run(self._mark(one))
            since_s = now - state.started_at if state.started_at else 0.0
            self._fleet.run_lengths(target.service).record_item(
                state.item.tokens, state.progress.event, since_s
            )
            job.complete(state)
            return
        self._start_after(state, AGAIN_AFTER_S)
        if isinstance(error, TargetRefused) and _is_failure(error):
            self._failed(job, state, route, error.status)
            return
        if isinstance(error, TargetRefused) and error.replaced:
            self._fleet.mark_replaced(target.id, now)
        elif isinstance(error, TargetRefused) and error.run == NOT_RUN:
            self._fleet.record_item_refusal(target.id, now)
        else:
            self._fleet.record_failure(target, error, now)

    def _failed(
        self,
        job: HeldJob,
        state: ItemState,
        route: Route,
        status: int,
    ) -> None:
        """Count an attempt that the target says failed."""
        failures = state.progress.failures + 1
        state.progress = ItemProgress(
            state.progress.event, state.progress.text, failures
        )
        self._start_after(state, FAILED_AGAIN_AFTER_S)
        if status == UNPROCESSABLE or failures >= route.max_attempts:
            job.bury(state)

    def _start_after(self, state: ItemState, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        state.not_before = loop.time() + pause_s
        loop.call_at(state.not_before, self._fleet.notify_changed)

    async def _attempt(
        self, one: RankedItem, target: Target
    ) -> AttemptError | QuarantineRefusal | Renewal | None:
        """Run the item at one target; None if its output is whole."""
        if self._guard.has_suspects:
            held = await self._guard.admit(self._mark(one), one.state.item.id)
            if held is not None:
                self._start_after(one.state, held.retry_after_s)
                return held
        while True:
            outcome = await self._leased(one, target)
            if not isinstance(outcome, Renewal):
                return outcome
            now = asyncio.get_running_loop().time()
            usable = self._fleet.is_usable(target.id, now)
            if not usable or not self.may_go_on(one, target):
                return outcome  # a new run would be new work there
            event = one.state.progress.event
            log.info("lease renewed", item=one.state.item.id, event=event)

    async def _leased(
        self, one: RankedItem, target: Target
    ) -> AttemptError | Renewal | None:
        """Run the item until its output is whole or its lease has to be renewed."""
        job, state = one.job, one.state
        loop = asyncio.get_running_loop()
        began, from_event = loop.time(), state.progress.event
        outbound = self._outbound(job, state, target)
        opened = await self._client.open(target, outbound, FIRST_EVENT_S)
        if isinstance(opened, Err):
            self._lost(one, target, opened.err_value, began, from_event)
            return opened.err_value
        answer = opened.ok_value
        try:
            if answer.status != 200:
                return TargetRefused(answer.status, "it failed", "ran")
            outcome = await self._gather(state, answer, began + RENEW_S)
            self._lost(one, target, outcome, began, from_event)
            return outcome
        finally:
            answer.close()
            self._fleet.run_lengths(target.service).record_run(
                state.progress.event - from_event, loop.time() - began
            )

    def _lost(
        self,
        one: RankedItem,
        target: Target,
        outcome: AttemptError | Renewal | None,
        began: float,
        from_event: int,
    ) -> None:
        """Tell of a run whose answer broke off: its target may have ended."""
        if isinstance(outcome, Lost):
            age_s = asyncio.get_running_loop().time() - began
            events = one.state.progress.event - from_event
            self._guard.record_lost_run(target, self._mark(one), age_s, events)

    async def _gather(
        self, state: ItemState, answer: Answer, renew_at: float
    ) -> AttemptError | Renewal | None:
        loop = asyncio.get_running_loop()
        try:
            async for events in answer.events(FIRST_EVENT_S, EVENT_S, GATHER_EVENTS_S):
                if not state.take(events):
                    return WrongAnswer("an event out of order")
                if events and loop.time() >= renew_at and not answer.at_end:
                    return Renewal()
        except BrokenAnswerError as error:
            return Lost(str(error))
        except asyncio.CancelledError:
            state.take(answer.buffered_events())
            raise
        return None if state.progress.event else Lost("it ended before an event")

    def _outbound(self, job: HeldJob, state: ItemState, target: Target) -> Outbound:
        names = self._dialect.headers
        headers: CIMultiDict[str] = CIMultiDict(
            [(name, value) for name, value in state.item.headers]
        )
        headers["Host"] = job.entry.host
        headers[names.request] = state.item.id
        headers[names.incarnation] = target.name
        headers[names.deadline] = str(int(LEASE_S * 1000))
        headers.pop(names.resume, None)
        if state.progress.event:
            headers[names.resume] = str(state.progress.event)
        return Outbound(
            state.item.id, "POST", state.item.path, headers, state.item.body
        )


def _is_failure(error: TargetRefused) -> bool:
    """Whether the target ran the item and says that it failed."""
    return error.run != NOT_RUN and error.status != LEASE_ENDED


def _outcome(error: AttemptError | None, moves: bool) -> str:
    if moves:
        return "cancelled"
    if error is None:
        return "completed"
    if isinstance(error, TargetRefused):
        return "not_run" if error.run == NOT_RUN else f"failed_{error.status}"
    if isinstance(error, NotSent):
        return "not_sent"
    return "lost"
