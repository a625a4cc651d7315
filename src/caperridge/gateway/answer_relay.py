"""Relays a target's answer to the caller, buffered or event by event."""

import asyncio
import math
from collections.abc import Callable

from caperridge.gateway.answer import (
    Answer,
    BrokenAnswerError,
    OverlongAnswerError,
    SilentAnswerError,
)
from caperridge.gateway.dialect import end_to_end_headers
from caperridge.gateway.events import Event
from caperridge.gateway.inbound import InboundRequest, Reply, RequestState
from caperridge.gateway.incarnations import IncarnationCheck
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.gateway.targets import Target
from caperridge.targets.outcomes import (
    AttemptError,
    Lost,
    TargetRefused,
    WrongAnswer,
)
from caperridge.targets.reading import UnsizedBodies

# A target with a free slot sends its first event after about 50 ms, one with a full
# queue after about 500 ms; callers disconnect after 2 s of silence.
FIRST_EVENT_SILENCE_S = 1.2
EVENT_SILENCE_S = 0.7
EVENT_STREAM = "text/event-stream"


class AnswerRelay:
    """Relays answers; an instance has one.

    Args:
        metrics: counted into.
        origins: records what begins each stream.
        incarnations: confirms what goes on with a stream.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        origins: StreamOrigins,
        incarnations: IncarnationCheck,
    ) -> None:
        self._metrics = metrics
        self._origins = origins
        self._incarnations = incarnations
        self._bodies = UnsizedBodies()

    async def relay(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        answer: Answer,
        target: Target,
        may_end: Callable[[], bool],
    ) -> AttemptError | None:
        """Relay ``answer``; return None if it was relayed completely.

        Args:
            request: of the caller.
            reply: to the caller.
            state: progress of the request.
            answer: of a target.
            target: that sends it.
            may_end: returns whether a target that makes no progress may be left.
        """
        content_type = (
            answer.headers.get("Content-Type", "").partition(";")[0].strip().lower()
        )
        if answer.status == 200 and content_type == EVENT_STREAM:
            return await self._relay_events(
                request, reply, state, answer, target, may_end
            )
        return await self._relay_whole(request, reply, state, answer, may_end)

    async def _relay_whole(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        answer: Answer,
        may_end: Callable[[], bool],
    ) -> AttemptError | None:
        timeout_s = FIRST_EVENT_SILENCE_S if state.movable else math.inf
        try:
            body = await answer.body(self._bodies, timeout_s, may_end, reply.reserve)
        except BrokenAnswerError as error:
            return _broken(error, state)
        state.wrote = answer.status < 400 and bool(body)
        failed = answer.status >= 500
        if failed:
            state.attempts += 1
        retryable = request.route.idempotent and state.may_retry(request.route)
        if (failed and retryable) or reply.started:
            return TargetRefused(answer.status, "it failed", "ran")
        headers = end_to_end_headers(answer.headers, frozenset())
        await reply.send_whole(answer.status, headers, body)
        return None

    async def _relay_events(
        self,
        request: InboundRequest,
        reply: Reply,
        state: RequestState,
        answer: Answer,
        target: Target,
        may_end: Callable[[], bool],
    ) -> AttemptError | None:
        confirmed = not state.last_event
        first_s, next_s = math.inf, math.inf
        if state.movable:
            first_s, next_s = FIRST_EVENT_SILENCE_S, EVENT_SILENCE_S
        try:
            async for events in answer.events(first_s, next_s, may_end=may_end):
                if events and not confirmed:
                    running = await self._incarnations.is_running(target)
                    if not running:
                        return _unconfirmed(answer, running)
                    confirmed = True
                in_order, out_of_order = _events_in_order(events, state)
                if in_order:
                    state.wrote = True
                    self._note_origin(request, state, target)
                    await self._write_events(request, reply, answer, in_order)
                if out_of_order:
                    state.attempts += 1
                    return WrongAnswer("an event out of order")
        except BrokenAnswerError as error:
            return _broken(error, state)
        if answer.is_unframed and not (reply.started or state.last_event):
            # Nothing marks its end, and each stream has an event.
            return Lost("it ended before an event")
        if not reply.started:
            await reply.start(
                answer.status, end_to_end_headers(answer.headers, frozenset())
            )
        await reply.end()
        return None

    def _note_origin(
        self, request: InboundRequest, state: RequestState, target: Target
    ) -> None:
        """Bind a stream to the origin of its first event, and record it once here."""
        if state.origin is None:
            state.origin = target.origin
            state.began_at = target.id
        if state.origin_recorded or not request.route.idempotent:
            return
        state.origin_recorded = True
        stream = request.stream or request.id
        self._origins.record(stream, state.origin, request.route, state.began_at)

    async def _write_events(
        self, request: InboundRequest, reply: Reply, answer: Answer, data: bytes
    ) -> None:
        if not reply.started:
            loop = asyncio.get_running_loop()
            self._metrics.first_event.labels(request.route.kind).observe(
                loop.time() - request.arrived
            )
            await reply.start(
                answer.status, end_to_end_headers(answer.headers, frozenset())
            )
        await reply.write(data)


def _unconfirmed(answer: Answer, running: bool | None) -> TargetRefused:
    """Return the error of a run that may be of another incarnation than is listed."""
    replaced = running is False
    reason = "its incarnation is not confirmed"
    return TargetRefused(answer.status, reason, "ran", replaced=replaced)


def _broken(error: BrokenAnswerError, state: RequestState) -> Lost | WrongAnswer:
    """Return the error of an attempt; one that this end broke off counts."""
    if isinstance(error, OverlongAnswerError):
        state.attempts += 1
        return WrongAnswer(str(error))
    if isinstance(error, SilentAnswerError):
        state.attempts += 1
        return Lost(str(error), broken_off=True)
    return Lost(str(error))


def _events_in_order(events: list[Event], state: RequestState) -> tuple[bytes, bool]:
    """Return the events in sequence, joined, and whether one was out of sequence.

    Events without a number are relayed unchecked.
    """
    in_order: list[bytes] = []
    for event in events:
        expected = state.last_event + 1
        if event.id >= 0 and state.last_event and event.id != expected:
            return b"".join(in_order), True
        if event.id >= 0:
            state.last_event = event.id
        in_order.append(event.raw)
    return b"".join(in_order), False
