"""Reverse proxying of online requests, with retries and resumed streams.

A request that must not run twice is retried only while it has certainly not run. An
idempotent one is retried at another target when its target breaks off, falls silent or
fails; a stream resumes after the last event that its caller received.
"""

import asyncio
import math
from collections.abc import Callable

from result import Err

from caperridge.decisions.admission import (
    finishes_in_time,
    max_queued,
    retry_delay_s,
)
from caperridge.decisions.suspects import QUARANTINE_THRESHOLD
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.answer_relay import FIRST_EVENT_SILENCE_S, AnswerRelay
from caperridge.gateway.dialect import Dialect, end_to_end_headers
from caperridge.gateway.fingerprint import Fingerprint, fingerprint_of
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.inbound import (
    ForwardingFailure,
    ForwardingState,
    InboundRequest,
    Reply,
)
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.placement import place_online, place_online_zone_first
from caperridge.gateway.request_guard import RequestGuard
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import Outbound, TargetClient
from caperridge.gateway.waiting_runs import WaitingRuns
from caperridge.log import logger
from caperridge.refusals import NOT_RUN
from caperridge.targets.outcomes import (
    AttemptError,
    Lost,
    NotSent,
    TargetRefused,
    Withdrawn,
    WrongAnswer,
)

log = logger(__name__)

# A request is sent to a target at most this often, refusals without a run included.
MOST_OFFERS = 8
NO_TARGET_RETRY_AFTER_S = 0.5
AT_ONCE_S = 0.05


class Forwarder:
    """Forwards online requests to targets; an instance has one.

    Attributes:
        on_placed: called with the id of the target that a request is sent to.

    Args:
        fleet: the targets.
        client: sends attempts.
        dialect: names of headers.
        metrics: counted into.
        limits: deadlines of answers.
        guard: refuses quarantined requests.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: TargetClient,
        dialect: Dialect,
        metrics: GatewayMetrics,
        limits: AnswerLimits,
        guard: RequestGuard,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._dialect = dialect
        self._guard = guard
        self._waiting = WaitingRuns(guard)
        self._metrics = metrics
        self._limits = limits
        self._answers = AnswerRelay(metrics)
        self.on_placed: Callable[[str], None] = lambda target: None
        names = dialect.headers
        self._own_headers = frozenset(
            {names.deadline.lower(), names.incarnation.lower(), names.resume.lower()}
        )

    async def forward(
        self, request: InboundRequest, reply: Reply
    ) -> ForwardingFailure | None:
        """Answer ``request`` through ``reply``; return the failure if there was one.

        After a failure nothing has been sent to the caller unless ``reply.started``.
        """
        carriage = ForwardingState(request.resume_after)
        try:
            async with self._limits.within(request.deadline):
                return await self._carry(request, reply, carriage)
        except TimeoutError:
            reason = "its time is over"
            return ForwardingFailure(
                reason, not carriage.sent_at_least_once, timed_out=True
            )

    async def _carry(
        self, request: InboundRequest, reply: Reply, carriage: ForwardingState
    ) -> ForwardingFailure | None:
        while True:
            target = self._place(request, carriage)
            if isinstance(target, ForwardingFailure):
                return target
            held_back = await self._held_back(request, carriage)
            if held_back is not None:
                return held_back
            error = await self._offer(request, reply, carriage, target)
            if error is None:
                return None
            self._note(request, target, carriage, error)
            given_up = self._after(request, reply, carriage, error)
            if given_up is not None:
                return given_up

    async def _held_back(
        self, request: InboundRequest, carriage: ForwardingState
    ) -> ForwardingFailure | None:
        """Return the failure of a request that is in quarantine; else None.

        The guard is asked once for each run: an attempt that a target refused without
        running it does not use up the right to a trial.
        """
        if carriage.admitted_runs == carriage.runs:
            return None
        if carriage.runs >= QUARANTINE_THRESHOLD:
            # This request alone may have crashed that many, faster than the crashes
            # are evaluated.
            await self._guard.wait_until_judged()
        carriage.admitted_runs = carriage.runs
        if not self._guard.has_suspects:
            return None
        held = await self._guard.admit(self._mark(request, carriage), request.id)
        if held is None:
            return None
        not_run = not carriage.sent_at_least_once
        return ForwardingFailure(held.reason, not_run, held.retry_after_s)

    def _mark(self, request: InboundRequest, carriage: ForwardingState) -> Fingerprint:
        if carriage.mark is None:
            carriage.mark = fingerprint_of(
                request.method,
                request.headers.get("Host", ""),
                request.path,
                request.body,
                end_to_end_headers(request.headers, frozenset()).items(),
                self._dialect.per_attempt_headers,
            )
        return carriage.mark

    def _place(
        self, request: InboundRequest, carriage: ForwardingState
    ) -> Target | ForwardingFailure:
        now = asyncio.get_running_loop().time()
        service = request.route.service_for(request.id)
        refused = frozenset(carriage.refused_by)
        targets = self._fleet.usable(service, now, refused)
        targets = targets or self._fleet.usable(service, now)
        not_run = not carriage.sent_at_least_once
        if not targets:
            return ForwardingFailure(
                "no target of its service", not_run, NO_TARGET_RETRY_AFTER_S
            )
        if carriage.offers >= MOST_OFFERS:
            retry_after_s = self._return_after_s(request, now)
            return ForwardingFailure("too many refusals", not_run, retry_after_s)
        online_s = self._fleet.run_lengths(service).online_s
        if not_run and self._would_be_cut(service, now):
            # Another instance can send the complete answer.
            return ForwardingFailure(
                "its answer would be cut by the stop", not_run, AT_ONCE_S
            )
        left_s = request.objective - now
        if carriage.last_event or not not_run:
            # It has started or may have, so its caller cannot be told to retry.
            left_s = max(left_s, request.route.objective_s)
        place = (
            place_online_zone_first if self._fleet.remote_counts_stale else place_online
        )
        target = place(
            targets,
            self._fleet.occupancy,
            self._fleet.zone,
            self._fleet.rng,
            lambda one: max_queued(online_s, one.slots, left_s),
        )
        if target is not None:
            return target
        retry_after_s = self._return_after_s(request, now)
        online = sum(self._fleet.occupancy.total_at(one.id).online for one in targets)
        log.info(
            "no room",
            request=request.id,
            targets=len(targets),
            slots=sum(one.slots for one in targets),
            online=online,
            run_s=round(online_s, 3),
            objective_in_s=round(left_s, 3),
            retry_after_s=round(retry_after_s, 2),
        )
        return ForwardingFailure("no slot in time", not_run, retry_after_s)

    def _would_be_cut(self, service: str, now: float) -> bool:
        """Whether a planned stop would cut off an answer that starts now."""
        lengths = self._fleet.run_lengths(service)
        careful = now >= self._limits.reject_long_from
        longest_s = lengths.longest_s if careful else 0.0
        return not finishes_in_time(
            lengths.online_s, longest_s, self._limits.deadline - now
        )

    def _return_after_s(self, request: InboundRequest, now: float) -> float:
        return retry_delay_s(request.deadline - now, self._fleet.rng.random())

    async def _offer(
        self,
        request: InboundRequest,
        reply: Reply,
        carriage: ForwardingState,
        target: Target,
    ) -> AttemptError | None:
        """Send the request to ``target``; None if its answer was relayed completely."""
        carriage.offers += 1
        count = self._fleet.occupancy.total_at(target.id)
        log.info(
            "request placed",
            request=request.id,
            route=request.route.name,
            target=target.id,
            online=count.online,
            items=count.items,
            slots=target.slots,
            offer=carriage.offers,
            after_event=carriage.last_event,
            left_s=round(request.deadline - asyncio.get_running_loop().time(), 3),
        )
        at_once = count.online < target.slots
        sent_events = carriage.last_event
        began = asyncio.get_running_loop().time()
        self._fleet.occupancy.add(target.id, online=1)
        self._fleet.notify_changed()
        self.on_placed(target.id)
        try:
            error = await self._attempt_unless_held(request, reply, carriage, target)
        except asyncio.CancelledError:
            if carriage.last_event == sent_events:
                age_s = asyncio.get_running_loop().time() - began
                self._guard.record_cancelled_run(
                    target, self._mark(request, carriage), age_s
                )
            raise
        finally:
            self._fleet.occupancy.add(target.id, online=-1)
            self._fleet.notify_changed()
        took_s = asyncio.get_running_loop().time() - began
        events = carriage.last_event - sent_events
        if isinstance(error, Lost):
            self._guard.record_lost_run(
                target, self._mark(request, carriage), took_s, events
            )
        if isinstance(error, Withdrawn):
            self._guard.record_cancelled_run(
                target, self._mark(request, carriage), took_s
            )
        if error is not None:
            return error
        self._guard.record_good_run(self._mark(request, carriage))
        lengths = self._fleet.run_lengths(target.service)
        lengths.answered(events, took_s, queued=not at_once)
        return None

    async def _attempt_unless_held(
        self,
        request: InboundRequest,
        reply: Reply,
        carriage: ForwardingState,
        target: Target,
    ) -> AttemptError | None:
        """Have ``target`` run the request; cancel it when it gets quarantined."""
        mark = self._mark(request, carriage)
        limit: asyncio.Timeout | None = None
        try:
            async with self._waiting.within(request.id, mark, carriage) as limit:
                return await self._attempt(request, reply, carriage, target)
        except TimeoutError:
            if limit is None or not limit.expired():
                raise
            # Ask the guard again, even if the target has not started to answer.
            carriage.admitted_runs = -1
            return Withdrawn("its request is in quarantine")

    async def _attempt(
        self,
        request: InboundRequest,
        reply: Reply,
        carriage: ForwardingState,
        target: Target,
    ) -> AttemptError | None:
        """Have ``target`` run the request and relay its answer."""
        sent_before = carriage.sent_at_least_once
        # Assume that it runs until the outcome is known.
        carriage.sent_at_least_once = True
        outbound = self._outbound(request, carriage, target)
        begin_s = FIRST_EVENT_SILENCE_S if request.route.idempotent else math.inf
        opened = await self._client.open(target, outbound, begin_s)
        if isinstance(opened, Err):
            error = opened.err_value
            _count_unanswered(carriage, error, sent_before)
            return error
        carriage.runs += 1
        answer = opened.ok_value
        try:
            return await self._answers.relay(request, reply, carriage, answer)
        finally:
            answer.close()

    def _outbound(
        self, request: InboundRequest, carriage: ForwardingState, target: Target
    ) -> Outbound:
        names = self._dialect.headers
        headers = end_to_end_headers(request.headers, self._own_headers)
        left_s = request.deadline - asyncio.get_running_loop().time()
        headers[names.deadline] = str(max(1, int(left_s * 1000)))
        headers[names.incarnation] = target.name
        if carriage.last_event:
            headers[names.resume] = str(carriage.last_event)
        return Outbound(request.id, request.method, request.path, headers, request.body)

    def _note(
        self,
        request: InboundRequest,
        target: Target,
        carriage: ForwardingState,
        error: AttemptError,
    ) -> None:
        now = asyncio.get_running_loop().time()
        carriage.refused_by.add(target.id)
        self._metrics.attempts.labels(type(error).__name__).inc()
        asked = {}
        if isinstance(error, Lost):
            # Each try has another id; these identify repeats of a lost request.
            mark = self._mark(request, carriage)
            asked = {"content": mark.content, "caller": mark.caller}
        log.info(
            "attempt failed",
            request=request.id,
            target=target.id,
            error=type(error).__name__,
            reason=error.reason,
            status=getattr(error, "status", 0),
            offer=carriage.offers,
            last_event=carriage.last_event,
            **asked,
        )
        if isinstance(error, TargetRefused) and error.replaced:
            self._fleet.mark_replaced(target.id, now)
        if isinstance(error, Withdrawn):
            return
        if not _certainly_not_run(error) or isinstance(error, NotSent):
            self._fleet.record_failure(target, error, now)

    def _after(
        self,
        request: InboundRequest,
        reply: Reply,
        carriage: ForwardingState,
        error: AttemptError,
    ) -> ForwardingFailure | None:
        """Return the failure of the request; None to try another target."""
        if _certainly_not_run(error):
            return None
        if not request.route.idempotent:
            return ForwardingFailure(
                f"lost at its target: {error.reason}", not_run=False
            )
        if not carriage.may_retry(request.route):
            return ForwardingFailure(f"out of attempts: {error.reason}", not_run=False)
        return None


def _certainly_not_run(error: AttemptError) -> bool:
    if isinstance(error, TargetRefused):
        return error.run == NOT_RUN
    return isinstance(error, NotSent)


def _count_unanswered(
    carriage: ForwardingState, error: AttemptError, sent_before: bool
) -> None:
    """Count an attempt that ended before the head of an answer."""
    if _certainly_not_run(error):
        carriage.sent_at_least_once = sent_before
        return
    carriage.runs += 1
    if isinstance(error, WrongAnswer) or (isinstance(error, Lost) and error.broken_off):
        carriage.attempts += 1
