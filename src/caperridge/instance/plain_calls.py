"""Calls to plain services; those that may not be repeated run at most once."""

import secrets

import orjson
from result import Err

from caperridge.config.model import Caller, Service
from caperridge.decisions.routing import TargetBook
from caperridge.instance.traces import Trace, Traces
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError
from caperridge.targets.outcomes import NotSent
from caperridge.targets.plain import PlainAnswer, PlainClient

MOST_ATTEMPTS = 3


class PlainFront:
    """Answers calls to plain services of one instance.

    Args:
        book: the targets, shared with the online front.
        client: of the services.
        traces: where steps are kept.
    """

    def __init__(self, book: TargetBook, client: PlainClient, traces: Traces) -> None:
        self._book = book
        self._client = client
        self._traces = traces

    async def call(
        self,
        caller: Caller,
        service: Service,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
    ) -> tuple[str, PlainAnswer]:
        """Return the request id and the answer of one target.

        Raises:
            RefusedError: none answered; says whether one may have run it.
        """
        request = "req-" + secrets.token_hex(10)
        trace = self._traces.open(request, caller.name, "plain")
        headers = {"X-Request-Id": request, "Content-Type": content_type}
        excluded: set[str] = set()
        for _ in range(MOST_ATTEMPTS):
            weighed = self._book.weigh(service.name, excluded)
            if not weighed:
                break
            target = weighed[0].target
            trace.add("sent", "least in flight", target=target)
            address = self._book.states_by_id[target].member.address
            self._book.started(target)
            try:
                answer = await self._client.call(address, method, path, body, headers)
            finally:
                self._book.ended(target)
            if not isinstance(answer, Err):
                refused = _refused_not_run(service, answer.ok_value)
                if not refused:
                    trace.add("answered", f"status {answer.ok_value.status}")
                    return request, answer.ok_value
                trace.add("moved", "the target says not run", target=target)
                excluded.add(target)
                continue
            error = answer.err_value
            excluded.add(target)
            trace.add("moved", error.reason, target=target, kind=type(error).__name__)
            if isinstance(error, NotSent):
                continue
            if not service.repeatable:
                raise self._refuse(trace, "answer_lost", error.reason, 502, UNKNOWN)
        raise self._refuse(trace, "no_target", "no target took it", 503, NOT_RUN)

    def _refuse(
        self, trace: Trace, code: str, reason: str, status: int, run: str
    ) -> RefusedError:
        trace.add("refused", reason, code=code, run=run)
        retry_after_s = 1.0 if run == NOT_RUN else 0.0
        return RefusedError(
            Refusal(code, reason, status, run, retry_after_s, trace.request)
        )


def _refused_not_run(service: Service, answer: PlainAnswer) -> bool:
    if answer.status not in (429, 503) or not service.believes_not_run:
        return False
    try:
        return orjson.loads(answer.body)["error"]["run"] == NOT_RUN
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return False
