"""Calls to plain services; those that may not be repeated run at most once."""

import secrets
import time
from collections.abc import Callable, Mapping

from result import Err, Result

from caperridge.config.model import Caller, Service
from caperridge.decisions.plain_calls import (
    RETRY_AFTER_S,
    CallAttempts,
    RefuseCall,
    RetryElsewhere,
    ReturnAnswer,
)
from caperridge.decisions.retry_budget import RetryBudget
from caperridge.decisions.routing import TargetPool
from caperridge.instance.messages import OnlineLoad
from caperridge.instance.plain_headers import target_word, towards_target
from caperridge.instance.traces import Trace, Traces
from caperridge.records import Record
from caperridge.refusals import NOT_RUN, Refusal, RefusedError
from caperridge.targets.outcomes import NotSent
from caperridge.targets.plain import (
    AnswerTooLarge,
    PlainAnswer,
    PlainCall,
    PlainClient,
    PlainError,
)


class PlainRequest(Record):
    """One call on its way.

    Attributes:
        id: unique, also towards the target.
        caller: who asks.
        service: what answers.
        key: the caller's idempotency key; empty for none.
        call: what goes to the target.
        trace: its steps.
    """

    __slots__ = ("call", "caller", "id", "key", "service", "trace")

    def __init__(
        self,
        id: str,
        caller: Caller,
        service: Service,
        key: str,
        call: PlainCall,
        trace: Trace,
    ) -> None:
        self.id = id
        self.caller = caller
        self.service = service
        self.key = key
        self.call = call
        self.trace = trace

    def refuse(
        self, code: str, reason: str, status: int, run: str, retry_after_s: float = 0.0
    ) -> RefusedError:
        """Return the refusal of this request, noted in its trace."""
        self.trace.add("refused", reason, code=code, run=run)
        return RefusedError(Refusal(code, reason, status, run, retry_after_s, self.id))


class PlainFront:
    """Sends calls to the targets of plain services, within what may be repeated.

    Args:
        book: the targets, shared with the online front.
        client: of the services.
        traces: where steps are kept.
        leaving: told of a target that says it is leaving.
        load_changed: told of each call's start and end, as batch gives way to them.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        book: TargetPool,
        client: PlainClient,
        traces: Traces,
        leaving: Callable[[str], object],
        load_changed: Callable[[OnlineLoad], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self.client = client
        self._traces = traces
        self._leaving = leaving
        self._load_changed = load_changed
        self._clock = clock
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def open(
        self,
        caller: Caller,
        service: Service,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> PlainRequest:
        """Return a new request with what the target gets of it."""
        request_id = "req-" + secrets.token_hex(10)
        trace = self._traces.open(request_id, caller.name, "plain")
        passed = towards_target(headers, request_id, caller.name)
        key = headers.get("Idempotency-Key", "")
        call = PlainCall(method, path, passed, body)
        return PlainRequest(request_id, caller, service, key, call, trace)

    async def send(self, request: PlainRequest) -> PlainAnswer:
        """Return the answer of one target.

        Raises:
            RefusedError: none answered; says whether one may have run it.
        """
        service = request.service
        budget = self._budgets_by_service.setdefault(service.name, RetryBudget())
        budget.deposit()
        course = CallAttempts(service.repeatable, service.believes_not_run, budget)
        excluded: set[str] = set()
        refusal: PlainAnswer | None = None
        while True:
            weighed = self._book.rank(service.name, excluded, now=self._clock())
            if not weighed and refusal is not None:
                # The service is overloaded; its own word says more than ours.
                return refusal
            if not weighed:
                raise _given_up(request, course.refuse_no_target())
            target = weighed[0].target
            excluded.add(target)
            request.trace.add("sent", "least expected wait", target=target)
            outcome = await self._attempt(target, request.call)
            action = self._judge(course, target, outcome)
            if isinstance(action, RefuseCall):
                raise _given_up(request, action)
            if isinstance(action, ReturnAnswer):
                answer = outcome.ok_value
                request.trace.add("answered", f"status {answer.status}")
                return answer
            request.trace.add("moved", action.reason, target=target)
            refusal = _own_word(outcome)

    async def _attempt(
        self, target: str, call: PlainCall
    ) -> Result[PlainAnswer, PlainError]:
        state = self._book.states_by_id[target]
        self._book.record_start(target)
        self._load_changed(OnlineLoad(target, state.in_flight))
        try:
            return await self.client.call(state.member.address, call)
        finally:
            self._book.record_finish(target)
            self._load_changed(OnlineLoad(target, state.in_flight))

    def _judge(
        self,
        course: CallAttempts,
        target: str,
        outcome: Result[PlainAnswer, PlainError],
    ) -> ReturnAnswer | RetryElsewhere | RefuseCall:
        if isinstance(outcome, Err):
            error = outcome.err_value
            if not isinstance(error, AnswerTooLarge):
                self._book.record_failure(target, error, self._clock())
            return _judge_error(course, error)
        answer = outcome.ok_value
        self._book.record_success(target, self._clock())
        word = target_word(answer.status, answer.body)
        if word.leaving:
            self._leaving(target)
        return course.record_answer(answer.status, word.run)


def _judge_error(
    course: CallAttempts, error: PlainError
) -> RetryElsewhere | RefuseCall:
    if isinstance(error, NotSent):
        return course.record_not_sent(error.reason)
    if isinstance(error, AnswerTooLarge):
        return course.refuse_too_large(error.reason)
    return course.record_lost(error.reason)


def _given_up(request: PlainRequest, action: RefuseCall) -> RefusedError:
    retry_after_s = RETRY_AFTER_S if action.run == NOT_RUN else 0.0
    return request.refuse(
        action.code, action.reason, action.status, action.run, retry_after_s
    )


def _own_word(
    outcome: Result[PlainAnswer, PlainError],
) -> PlainAnswer | None:
    """Return a refusal that may be passed on: one that does not say ``not_run``."""
    if isinstance(outcome, Err):
        return None
    answer = outcome.ok_value
    said = target_word(answer.status, answer.body)
    return None if said.run == NOT_RUN else answer
