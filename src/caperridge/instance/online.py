"""Online requests: from the caller to an engine and back, moved where one fails."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any

import orjson

from caperridge.config.model import Caller, Configuration, Service
from caperridge.decisions.routing import TargetBook
from caperridge.instance.messages import OnlineLoad
from caperridge.instance.metrics import Metrics
from caperridge.instance.traces import Trace, Traces
from caperridge.log import logger
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.events import text_of
from caperridge.targets.outcomes import NotSent, TargetRefused
from caperridge.targets.prompt import prompt_of

log = logger(__name__)
MOST_ATTEMPTS = 4
STREAM_FIELDS = ("stream", "stream_options")


class OnlineRequest:
    """One request on its way.

    Attributes:
        id: unique, also towards the engine.
        caller: who asks.
        service: what answers.
        path: of the endpoint.
        body: as sent, without the fields that concern the stream.
        trace: its steps.
    """

    __slots__ = ("body", "caller", "id", "path", "service", "trace")

    def __init__(
        self,
        id: str,
        caller: Caller,
        service: Service,
        path: str,
        body: dict[str, Any],
        trace: Trace,
    ) -> None:
        self.id = id
        self.caller = caller
        self.service = service
        self.path = path
        self.body = body
        self.trace = trace


class OnlineFront:
    """Answers online requests of one instance.

    Args:
        book: the targets; owned by this front.
        engines: client of the engines.
        traces: where steps are kept.
        metrics: of the instance.
        clock: monotonic seconds.
        load_changed: told of each online start and end.
    """

    def __init__(
        self,
        book: TargetBook,
        engines: EngineClient,
        traces: Traces,
        metrics: Metrics,
        clock: Callable[[], float],
        load_changed: Callable[[OnlineLoad], None],
    ) -> None:
        self.book = book
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._engines = engines
        self._traces = traces
        self._metrics = metrics
        self._clock = clock
        self._load_changed = load_changed
        self._cancels: set[asyncio.Task[None]] = set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    def admit(
        self,
        configuration: Configuration,
        caller: Caller,
        path: str,
        body: Any,
    ) -> OnlineRequest:
        """Return the request if it may go on.

        Raises:
            RefusedError: with the reason.
        """
        request_id = "req-" + secrets.token_hex(10)
        trace = self._traces.open(request_id, caller.name, "online")
        if not isinstance(body, dict) or not isinstance(body.get("model"), str):
            raise self._refuse(
                trace, "bad_request", "the body must be an object with a model", 400
            )
        service = configuration.service_for_model(body["model"])
        if service is None or not caller.may_use(service.name):
            text = f"there is no model {body['model']!r} for this caller"
            raise self._refuse(trace, "model_not_found", text, 404)
        try:
            prompt_of(body)
        except (AttributeError, TypeError):
            raise self._refuse(
                trace, "bad_request", "messages must be a list of objects", 400
            ) from None
        trace.add("admitted", "within the caller's limits", service=service.name)
        plain = {k: v for k, v in body.items() if k not in STREAM_FIELDS}
        return OnlineRequest(request_id, caller, service, path, plain, trace)

    async def events(self, request: OnlineRequest) -> AsyncIterator[list[bytes]]:
        """Yield the checked events of the whole answer, each token once.

        Raises:
            RefusedError: no target could answer.
        """
        started = self._clock()
        first_at = last_at = 0.0
        tokens = 0
        self.in_flight += 1
        self._idle.clear()
        try:
            async with aclosing(self._attempts(request)) as batches:
                async for events in batches:
                    last_at = self._clock()
                    if not tokens:
                        first_at = last_at
                        self._metrics.ttft.labels(request.service.name).observe(
                            first_at - started
                        )
                    tokens += len(events)
                    yield events
            if tokens > 1:
                pause = (last_at - first_at) / (tokens - 1)
                self._metrics.between_tokens.labels(request.service.name).observe(pause)
            request.trace.add("answered", "whole", tokens=tokens)
            self._metrics.requests.labels(request.service.name, "answered").inc()
        except RefusedError:
            self._metrics.requests.labels(request.service.name, "refused").inc()
            raise
        except (asyncio.CancelledError, GeneratorExit):
            request.trace.add("cancelled", "the caller hung up", tokens=tokens)
            self._metrics.requests.labels(request.service.name, "hung_up").inc()
            raise
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    async def _attempts(self, request: OnlineRequest) -> AsyncIterator[list[bytes]]:
        excluded: set[str] = set()
        offset = 0
        may_have_run = False
        for number in range(MOST_ATTEMPTS):
            target = self._choose(request, excluded, may_have_run)
            attempt = Attempt(
                request.id,
                f"{request.id}.{number}",
                self.book.states_by_id[target].member.address,
                request.path,
                request.body,
                offset,
            )
            try:
                async with aclosing(self._one(request, attempt, target)) as batches:
                    async for events in batches:
                        offset += len(events)
                        yield events
                return
            except AttemptFailed as failed:
                excluded.add(target)
                may_have_run |= self._judge(request, target, failed, offset)
        raise self._refuse(
            request.trace,
            "attempts_used_up",
            f"{MOST_ATTEMPTS} targets failed",
            502,
            run=UNKNOWN if may_have_run else NOT_RUN,
            retry_after_s=1.0,
        )

    def _choose(
        self, request: OnlineRequest, excluded: set[str], may_have_run: bool
    ) -> str:
        weighed = self.book.weigh(request.service.name, excluded)
        if not weighed:
            raise self._refuse(
                request.trace,
                "no_target",
                f"no target of {request.service.name} can take it",
                503,
                run=UNKNOWN if may_have_run else NOT_RUN,
                retry_after_s=1.0,
            )
        scores = {item.target: item.score for item in weighed[:8]}
        request.trace.add("sent", "least expected wait", scores=scores)
        return weighed[0].target

    async def _one(
        self, request: OnlineRequest, attempt: Attempt, target: str
    ) -> AsyncIterator[list[bytes]]:
        self.book.started(target)
        self._tell(target)
        whole = False
        sent_at = self._clock()
        first_at = last_at = 0.0
        tokens = 0
        try:
            async with aclosing(self._engines.stream(attempt)) as batches:
                async for events in batches:
                    last_at = self._clock()
                    first_at = first_at or last_at
                    tokens += len(events)
                    yield events
            whole = True
            self._metrics.attempts.labels(request.service.name, "whole").inc()
        finally:
            self.book.ended(target)
            first_token_s = max(0.0, first_at - sent_at)
            pause = (last_at - first_at) / (tokens - 1) if tokens > 1 else 0.0
            self._tell(target, first_token_s, pause)
            if not whole:
                self._cancel_later(attempt)

    def _cancel_later(self, attempt: Attempt) -> None:
        cancel = self._engines.cancel(attempt.address, attempt.attempt)
        task = asyncio.get_running_loop().create_task(cancel)
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _judge(
        self, request: OnlineRequest, target: str, failed: AttemptFailed, offset: int
    ) -> bool:
        """Note a failed attempt; return whether the target may have run it.

        Raises:
            RefusedError: the request would fail the same way anywhere.
        """
        error = failed.error
        kind = type(error).__name__
        self._metrics.attempts.labels(request.service.name, kind).inc()
        request.trace.add("moved", error.reason, target=target, kind=kind, at=offset)
        if isinstance(error, NotSent):
            return False
        if isinstance(error, TargetRefused):
            if error.leaving:
                self.book.mark_leaving(target)
            not_run = error.run == NOT_RUN and request.service.believes_not_run
            if error.permanent:
                raise self._refuse(
                    request.trace,
                    "target_refused",
                    error.reason,
                    error.status,
                    run=NOT_RUN if not_run else UNKNOWN,
                )
            return not not_run
        return True

    def _refuse(
        self,
        trace: Trace,
        code: str,
        reason: str,
        status: int,
        run: str = NOT_RUN,
        retry_after_s: float = 0.0,
    ) -> RefusedError:
        trace.add("refused", reason, code=code, run=run)
        return RefusedError(
            Refusal(code, reason, status, run, retry_after_s, trace.request)
        )

    def _tell(
        self, target: str, first_token_s: float = 0.0, between_tokens_s: float = 0.0
    ) -> None:
        state = self.book.states_by_id.get(target)
        in_flight = state.in_flight if state else 0
        self._load_changed(
            OnlineLoad(target, in_flight, first_token_s, between_tokens_s)
        )


def whole_answer(request: OnlineRequest, events: list[bytes]) -> dict[str, Any]:
    """Return the answer in one piece, of the events of its stream."""
    text = "".join(text_of(event) for event in events)
    last = orjson.loads(events[-1][len(b"data: ") :])
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last["choices"][0].get("finish_reason"),
    }
    chat = "messages" in request.body
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.id,
        "object": "chat.completion" if chat else "text_completion",
        "created": last.get("created", 0),
        "model": request.body["model"],
        "choices": [choice],
        "usage": {
            "prompt_tokens": last.get("prompt_tokens", 0),
            "completion_tokens": len(events),
            "total_tokens": last.get("prompt_tokens", 0) + len(events),
        },
    }
