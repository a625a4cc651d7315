"""Online requests of one instance: checked, limited, queued, run, explained."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import aclosing
from typing import Any

from caperridge.config.model import Caller, Configuration
from caperridge.decisions.limit_share import LimitShare
from caperridge.decisions.limits import CONCURRENCY_LIMIT, RateLimiter
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.target_state import TargetReport
from caperridge.instance.attempts import Attempts
from caperridge.instance.gate import Gate
from caperridge.instance.held_requests import HeldRequests
from caperridge.instance.messages import OnlineLoad
from caperridge.instance.metrics import Metrics
from caperridge.instance.online_request import (
    BadInputError,
    OnlineRequest,
    check_body,
    deadline_s,
)
from caperridge.instance.traces import Trace, Traces
from caperridge.peers.messages import LoadNews
from caperridge.refusals import NOT_RUN, Refusal, RefusedError
from caperridge.targets.engine import EngineClient


class OnlineFront:
    """Answers online requests of one instance.

    Args:
        book: the targets; owned by this front.
        engines: client of the engines.
        traces: where steps are kept.
        metrics: of the instance.
        clock: monotonic seconds.
        load_changed: told of each online start and end.
        target_leaving: told of a target that says itself that it is leaving.
        held: says which requests may be sent.
        seat: returns the place among the instances that share the limits.
    """

    def __init__(
        self,
        book: TargetPool,
        engines: EngineClient,
        traces: Traces,
        metrics: Metrics,
        clock: Callable[[], float],
        load_changed: Callable[[OnlineLoad], None],
        target_leaving: Callable[[str], None],
        held: HeldRequests,
        seat: Callable[[], LimitShare] = LimitShare,
    ) -> None:
        self.book = book
        self.in_flight = 0
        self.limits = RateLimiter()
        self.gate = Gate(book, metrics, clock)
        self.attempts = Attempts(
            book,
            self.gate,
            engines,
            metrics,
            clock,
            load_changed,
            target_leaving,
            held,
        )
        self._idle = asyncio.Event()
        self._idle.set()
        self._traces = traces
        self._metrics = metrics
        self._clock = clock
        self._seat = seat

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    def admit(
        self,
        configuration: Configuration,
        caller: Caller,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> OnlineRequest:
        """Return the request if it may go on; it counts from now on.

        The caller of this method must go on to :meth:`events` at once.

        Raises:
            RefusedError: with the reason.
        """
        request_id = "req-" + secrets.token_hex(10)
        trace = self._traces.open(request_id, caller.name, "online")
        try:
            resume_from = check_body(body)
            deadline = self._clock() + deadline_s(headers or {})
        except BadInputError as error:
            raise self._refuse(trace, "bad_request", str(error), 400) from None
        service = configuration.service_for_model(body["model"])
        if service is None or not caller.may_use(service.name):
            text = f"there is no model {body['model']!r} for this caller"
            raise self._refuse(trace, "model_not_found", text, 404)
        version = None
        if resume_from:
            version = self._version_to_resume(trace, service.name, body)
        request = OnlineRequest(
            request_id,
            caller,
            service,
            path,
            body,
            trace,
            resume_from,
            deadline,
            version,
        )
        over = self.limits.admit(
            caller, request.tokens_asked, self._seat(), self._clock()
        )
        if over is not None:
            self._metrics.requests.labels(service.name, "refused").inc()
            raise self._refuse(trace, over.code, over.reason, 429, over.retry_after_s)
        trace.add(
            "admitted",
            "within the caller's limits",
            service=service.name,
            tokens=request.tokens_asked,
            running=self.limits.running(caller.name),
        )
        return request

    def _version_to_resume(
        self, trace: Trace, service: str, body: dict[str, Any]
    ) -> str:
        """Return the software version that began the answer a caller comes back for.

        Raises:
            RefusedError: the caller does not name it, and targets name theirs.
        """
        named = body.get("resume_version")
        if named is not None:
            return named
        if self.book.software_versions(service) <= {""}:
            return ""
        text = "resume_from needs resume_version, the X-Software-Version of the answer"
        raise self._refuse(trace, "bad_request", text, 400)

    async def events(self, request: OnlineRequest) -> AsyncIterator[list[bytes]]:
        """Yield the checked events of the whole answer, each token once.

        Raises:
            RefusedError: no target could answer.
        """
        service = request.service.name
        started = self._clock()
        first_at = last_at = 0.0
        tokens = 0
        self.in_flight += 1
        self._idle.clear()
        try:
            async with aclosing(self.attempts.run(request)) as batches:
                async for events in batches:
                    last_at = self._clock()
                    if not tokens:
                        first_at = last_at
                        self._metrics.ttft.labels(service).observe(first_at - started)
                    tokens += len(events)
                    yield events
            if tokens > 1:
                pause = (last_at - first_at) / (tokens - 1)
                self._metrics.between_tokens.labels(service).observe(pause)
            request.trace.add("answered", "whole", tokens=tokens)
            self._metrics.requests.labels(service, "answered").inc()
        except RefusedError as refused:
            self._metrics.requests.labels(service, "refused").inc()
            self._metrics.refusals.labels(refused.refusal.code).inc()
            raise
        except (asyncio.CancelledError, GeneratorExit):
            request.trace.add("cancelled", "the caller hung up", tokens=tokens)
            self._metrics.requests.labels(service, "hung_up").inc()
            raise
        finally:
            self.limits.release(request.caller.name)
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    def _refuse(
        self,
        trace: Trace,
        code: str,
        reason: str,
        status: int,
        retry_after_s: float = 0.0,
    ) -> RefusedError:
        trace.add("refused", reason, code=code, run=NOT_RUN)
        self._metrics.refusals.labels(code).inc()
        if code == CONCURRENCY_LIMIT:
            reason += "; wait for one to end"
        return RefusedError(
            Refusal(code, reason, status, NOT_RUN, retry_after_s, trace.request)
        )

    def loads_told(self, message: LoadNews) -> None:
        """Take in what a peer knows of the load of its targets."""
        now = self._clock()
        for target, incarnation, waiting, online in message.loads:
            state = self.book.states_by_id.get(target)
            if state is None or state.member.incarnation != incarnation:
                continue
            self.book.record_report(target, TargetReport(waiting, online, at=now))

    def state(self) -> dict[str, Any]:
        """Return what is queued, limited and learnt, for the dump."""
        return {
            "waiting_by_service": self.gate.waiting(),
            "callers_tracked": len(self.limits.usage_by_caller),
            "prefixes_known": len(self.book.prefix_index),
            "policies": self.attempts.state(),
        }
