"""Reverse proxying of online requests, with retries and resumed streams.

A request that must not run twice is retried only while it has certainly not run. An
idempotent one is retried at another target when its target breaks off, falls silent or
fails; a stream resumes after the last event that its caller received.
"""

import asyncio
import functools
import math
from collections.abc import Callable

from result import Err

from caperridge.decisions.suspects import QUARANTINE_THRESHOLD
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.answer_relay import FIRST_EVENT_SILENCE_S, AnswerRelay
from caperridge.gateway.dialect import Dialect, end_to_end_headers
from caperridge.gateway.fingerprint import Fingerprint, fingerprint_of
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.inbound import (
    Failure,
    InboundRequest,
    Reply,
    RequestState,
)
from caperridge.gateway.incarnations import IncarnationCheck
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.request_guard import RequestGuard
from caperridge.gateway.resumption import StreamResumption
from caperridge.gateway.routes import STREAMING
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.gateway.target_choice import TargetChoice
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import Outbound, TargetClient
from caperridge.gateway.waiting_runs import WaitingRuns
from caperridge.log import logger
from caperridge.refusals import NOT_RUN
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    NotSent,
    TargetRefused,
    Withdrawn,
    WrongAnswer,
    is_inconclusive,
)

log = logger(__name__)


class Forwarder:
    """Forwards online requests to targets; an instance has one.

    Attributes:
        on_placed: called with the id of the target that a request is sent to.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: TargetClient,
        dialect: Dialect,
        metrics: GatewayMetrics,
        limits: AnswerLimits,
        guard: RequestGuard,
        origins: StreamOrigins,
        resumption: StreamResumption,
        incarnations: IncarnationCheck,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._dialect = dialect
        self._guard = guard
        self._waiting = WaitingRuns(guard)
        self._metrics = metrics
        self._limits = limits
        self._choice = TargetChoice(fleet, limits)
        self._resumption = resumption
        self._answers = AnswerRelay(metrics, origins, incarnations)
        self.on_placed: Callable[[str], None] = lambda target: None
        names = dialect.headers
        self._own_headers = frozenset(
            {names.deadline.lower(), names.incarnation.lower(), names.resume.lower()}
        )

    async def forward(self, request: InboundRequest, reply: Reply) -> Failure | None:
        """Answer ``request`` through ``reply``; return the failure if there was one.

        After a failure nothing has been sent to the caller unless ``reply.started``.
        """
        state = RequestState(request.resume_after)
        try:
            async with self._limits.within(request.deadline):
                return await self._forward(request, reply, state)
        except TimeoutError:
            reason = "its time is over"
            return Failure(reason, not state.sent_at_least_once, timed_out=True)
        finally:
            self._release_reserved(state)
            self._guard.run_interrupted(request.id)

    async def _forward(
        self, request: InboundRequest, reply: Reply, state: RequestState
    ) -> Failure | None:
        if request.resume_after and request.route.kind == STREAMING:
            failure = await self._resumption.bind(request, state)
            if failure is not None:
                return failure
        while True:
            target = self._reserved(state) or self._choice.choose(request, state)
            if isinstance(target, Failure):
                return target
            refusal = await self._check_quarantine(request, state)
            if refusal is not None:
                return refusal
            error = await self._offer(request, reply, state, target)
            if error is None:
                return None
            self._record_failure(request, target, state, error)
            failure = self._failure_after(request, state, error)
            if failure is None and state.began_at:
                failure = await self._resumption.confirm(request, state)
            if failure is not None:
                return failure

    async def _check_quarantine(
        self, request: InboundRequest, state: RequestState
    ) -> Failure | None:
        """Return the failure of a request that is in quarantine; else None.

        The guard is asked once for each run: an attempt that a target refused without
        running it does not use up the right to a trial.
        """
        if state.admitted_runs == state.runs:
            return None
        if state.runs >= QUARANTINE_THRESHOLD or (
            state.runs
            and self._guard.is_near_threshold(self._fingerprint(request, state))
        ):
            # This request alone may have crashed that many, faster than the crashes
            # are evaluated.
            await self._guard.wait_until_evaluated()
        state.admitted_runs = state.runs
        if not self._guard.has_suspects:
            return None
        refusal = await self._guard.admit(self._fingerprint(request, state), request.id)
        if refusal is None:
            return None
        not_run = not state.sent_at_least_once
        return Failure(refusal.reason, not_run, refusal.retry_after_s)

    def _fingerprint(self, request: InboundRequest, state: RequestState) -> Fingerprint:
        if state.fingerprint is None:
            state.fingerprint = fingerprint_of(
                request.method,
                request.headers.get("Host", ""),
                request.path,
                request.body,
                end_to_end_headers(request.headers, frozenset()).items(),
                self._dialect.per_attempt_headers,
                self._dialect.prompt_parts(request.headers),
            )
        return state.fingerprint

    async def _offer(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        target: Target,
    ) -> AttemptError | None:
        """Send the request to ``target``; None if its answer was relayed completely."""
        state.offers += 1
        self._release_reserved(state)
        count = self._fleet.occupancy.total_at(target.id)
        log.info(
            "request placed",
            request=request.id,
            route=request.route.name,
            target=target.id,
            software_version=target.software_version,
            online=count.online,
            items=count.items,
            slots=target.slots,
            offer=state.offers,
            after_event=state.last_event,
            left_s=round(request.deadline - asyncio.get_running_loop().time(), 3),
        )
        immediate = count.online < target.slots
        events_before = state.last_event
        started_at = asyncio.get_running_loop().time()
        self._fleet.occupancy.add(target.id, online=1)
        self._fleet.notify_changed()
        self.on_placed(target.id)
        try:
            error = await self._attempt_unless_quarantined(
                request, reply, state, target
            )
        except asyncio.CancelledError:
            if state.last_event == events_before:
                age_s = asyncio.get_running_loop().time() - started_at
                self._guard.record_cancelled_run(
                    target, self._fingerprint(request, state), age_s
                )
            raise
        finally:
            self._fleet.occupancy.add(target.id, online=-1)
            self._fleet.notify_changed()
        took_s = asyncio.get_running_loop().time() - started_at
        events = state.last_event - events_before
        if error is None or not is_inconclusive(error):
            self._guard.run_concluded(request.id)
        if isinstance(error, Lost):
            self._guard.record_lost_run(
                target, self._fingerprint(request, state), took_s, events
            )
        if isinstance(error, Withdrawn):
            self._guard.record_cancelled_run(
                target, self._fingerprint(request, state), took_s
            )
        if error is not None:
            return error
        fingerprint = self._fingerprint(request, state)
        self._guard.record_good_run(fingerprint, took_s, state.wrote)
        self._fleet.record_answer(target, events, took_s, queued=not immediate)
        lengths = self._fleet.run_lengths(target.service)
        lengths.answers.record_size(request.max_tokens, state.last_event)
        return None

    async def _attempt_unless_quarantined(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        target: Target,
    ) -> AttemptError | None:
        """Have ``target`` run the request; cancel it when it gets quarantined."""
        fingerprint = self._fingerprint(request, state)
        limit: asyncio.Timeout | None = None
        try:
            async with self._waiting.within(request.id, fingerprint, state) as limit:
                return await self._attempt(request, reply, state, target)
        except TimeoutError:
            if limit is None or not limit.expired():
                raise
            # Ask the guard again, even if the target has not started to answer.
            state.admitted_runs = -1
            return Withdrawn("its request is in quarantine")

    async def _attempt(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        target: Target,
    ) -> AttemptError | None:
        """Have ``target`` run the request and relay its answer."""
        sent_before = state.sent_at_least_once
        # Assume that it runs until the outcome is known.
        state.begin_run(request.route)
        outbound = self._outbound(request, state, target)
        head_timeout_s = FIRST_EVENT_SILENCE_S if state.movable else math.inf
        may_end = functools.partial(self._reserve_other, request, state, target)
        opened = await self._client.open(target, outbound, head_timeout_s, may_end)
        if isinstance(opened, Err):
            error = opened.err_value
            _count_unanswered(state, error, sent_before)
            return error
        state.runs += 1
        answer = opened.ok_value
        try:
            return await self._answers.relay(
                request, reply, state, answer, target, may_end
            )
        finally:
            answer.close()

    def _reserve_other(
        self, request: InboundRequest, state: RequestState, current: Target
    ) -> bool:
        """Reserve a slot at another target, so that ``current`` can be left.

        A stream that is cut before it has a slot elsewhere may find none.
        """
        other = self._choice.choose_other(request, state, current)
        if other is None:
            return False
        state.reserved = other
        self._fleet.occupancy.add(other.id, online=1)
        self.on_placed(other.id)
        return True

    def _reserved(self, state: RequestState) -> Target | None:
        """Return the target with a slot for the next run, if it can still be used."""
        now = asyncio.get_running_loop().time()
        if state.reserved is None or self._fleet.is_usable(state.reserved.id, now):
            return state.reserved
        self._release_reserved(state)
        return None

    def _release_reserved(self, state: RequestState) -> None:
        if state.reserved is not None:
            self._fleet.occupancy.add(state.reserved.id, online=-1)
            state.reserved = None

    def _outbound(
        self, request: InboundRequest, state: RequestState, target: Target
    ) -> Outbound:
        names = self._dialect.headers
        headers = end_to_end_headers(request.headers, self._own_headers)
        remaining_s = request.deadline - asyncio.get_running_loop().time()
        headers[names.deadline] = str(max(1, int(remaining_s * 1000)))
        headers[names.incarnation] = target.name
        if state.last_event:
            headers[names.resume] = str(state.last_event)
        return Outbound(request.id, request.method, request.path, headers, request.body)

    def _record_failure(
        self,
        request: InboundRequest,
        target: Target,
        state: RequestState,
        error: AttemptError,
    ) -> None:
        now = asyncio.get_running_loop().time()
        state.tried_targets.add(target.id)
        self._metrics.attempts.labels(type(error).__name__).inc()
        identity = {}
        if isinstance(error, Lost):
            # Each try has another id; these identify repeats of a lost request.
            identity = self._fingerprint(request, state).log_fields()
        log.info(
            "attempt failed",
            request=request.id,
            target=target.id,
            error=type(error).__name__,
            reason=error.reason,
            status=getattr(error, "status", 0),
            offer=state.offers,
            last_event=state.last_event,
            **identity,
        )
        if isinstance(error, TargetRefused) and error.replaced:
            self._fleet.mark_replaced(target.id, now)
        if isinstance(error, Withdrawn):
            return
        if not _certainly_not_run(error) or isinstance(error, NotSent):
            self._fleet.record_failure(target, error, now)

    def _failure_after(
        self,
        request: InboundRequest,
        state: RequestState,
        error: AttemptError,
    ) -> Failure | None:
        """Return the failure of the request; None to try another target."""
        if _certainly_not_run(error):
            return None
        if not request.route.idempotent:
            return Failure(f"lost at its target: {error.reason}", not_run=False)
        if not state.may_retry(request.route):
            return Failure(f"out of attempts: {error.reason}", not_run=False)
        return None


def _certainly_not_run(error: AttemptError) -> bool:
    if isinstance(error, TargetRefused):
        return error.run == NOT_RUN
    return isinstance(error, NotSent)


def _count_unanswered(
    state: RequestState, error: AttemptError, sent_before: bool
) -> None:
    """Count an attempt that ended before the head of an answer."""
    if _certainly_not_run(error):
        state.sent_at_least_once = sent_before
        return
    state.runs += 1
    answered_wrongly = isinstance(error, WrongAnswer | InvalidAnswer)
    if answered_wrongly or (isinstance(error, Lost) and error.broken_off):
        state.attempts += 1
