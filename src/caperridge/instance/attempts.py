"""The attempts of one online request: chosen, watched, moved where one fails."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from caperridge.decisions.progress import Progress
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.service_policy import (
    UNREPEATABLE_FIRST_EVENT_S,
    UNREPEATABLE_INTER_EVENT_S,
    EventTimeouts,
    ServicePolicy,
)
from caperridge.decisions.suspects import QUARANTINE_THRESHOLD
from caperridge.decisions.target_state import RequestProfile
from caperridge.instance.attempt_log import log_failure
from caperridge.instance.attempt_watch import AttemptWatch
from caperridge.instance.gate import NO_TARGET, Gate
from caperridge.instance.held_requests import HeldRequests
from caperridge.instance.messages import OnlineLoad
from caperridge.instance.metrics import Metrics
from caperridge.instance.online_request import OnlineRequest
from caperridge.refusals import NOT_RUN, Refusal, RefusedError
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.events import finish_reason
from caperridge.targets.outcomes import AttemptError, Lost, NotSent, TargetRefused

SHOWN_SCORES = 4
LEAST_FIRST_S = 0.05
RETRY_AFTER_S = 1.0


class Attempts:
    """Runs requests at targets.

    Args:
        book: the targets.
        gate: told when a request has taken its place at a target.
        engines: client of the engines.
        metrics: of the instance.
        clock: monotonic seconds.
        load_changed: told of each online start and end.
        target_leaving: told of a target that says itself that it is leaving.
        held: says which requests may be sent.
    """

    def __init__(
        self,
        book: TargetPool,
        gate: Gate,
        engines: EngineClient,
        metrics: Metrics,
        clock: Callable[[], float],
        load_changed: Callable[[OnlineLoad], None],
        target_leaving: Callable[[str], None],
        held: HeldRequests,
    ) -> None:
        self._held = held
        self._book = book
        self._gate = gate
        self._engines = engines
        self._metrics = metrics
        self._clock = clock
        self._load_changed = load_changed
        self._target_leaving = target_leaving
        self._policies_by_service: dict[str, ServicePolicy] = {}
        self._cancels: set[asyncio.Task[None]] = set()

    def policy(self, service: str) -> ServicePolicy:
        """Return what is learnt of a service."""
        return self._policies_by_service.setdefault(service, ServicePolicy())

    def state(self) -> dict[str, dict[str, float]]:
        """Return the learnt figures by service, for the dump."""
        return {
            name: {
                "retry_budget": policy.retry_budget.level,
                "first_event_limit_s": policy.first_event.timeout_s(),
                "between_events_limit_s": policy.inter_event.timeout_s(),
            }
            for name, policy in self._policies_by_service.items()
        }

    async def run(self, request: OnlineRequest) -> AsyncIterator[list[bytes]]:
        """Yield the checked events of the whole answer, each token once.

        Raises:
            RefusedError: no target could answer.
        """
        policy = self.policy(request.service.name)
        policy.retry_budget.deposit()
        progress = Progress(request.resume_from, request.software_version)
        while True:
            self._held.check(request, progress.run)
            self._check_candidates(request, progress)
            if not progress.streaming:
                # A retry under overload waits for room like any other request.
                await self._enter(request, progress)
            try:
                target = self._choose(request, progress)
                self._book.record_start(target, request.blocks, self._clock())
                self._tell_load(target)
            finally:
                if not progress.streaming:
                    self._gate.started(
                        request.service.name, request.service.most_running
                    )
            began, from_offset = self._clock(), progress.offset
            try:
                attempt = self._attempt(request, policy, progress, target)
                async with aclosing(
                    self._one(request, policy, progress, attempt, target)
                ) as batches:
                    async for events in batches:
                        yield events
                self._held.ran_well(request)
                return
            except AttemptFailed as failed:
                error = failed.error
                log_failure(attempt, target, error)
            if _is_complete(error, progress):
                text = "the last token says why it ends"
                request.trace.add("complete", text, target=target)
                return
            self._note_failure(request, progress, target, error)
            if isinstance(error, Lost):
                age_s, made = self._clock() - began, progress.offset - from_offset
                self._held.lost(request, target, attempt.address, age_s, made)
            if progress.attempts >= QUARANTINE_THRESHOLD:
                # It may have ended as many by itself, faster than that is judged.
                await self._held.settle()
            self._check_retry(request, policy, progress, error)

    def _check_candidates(self, request: OnlineRequest, progress: Progress) -> None:
        """Refuse a request that every target has failed already."""
        excluded = self._excluded(request, progress)
        if not excluded:
            return  # the gate says whether there is any target
        name, now = request.service.name, self._clock()
        if self._book.usable(name, excluded, now):
            return
        if progress.readmit_timed_out() and self._book.usable(
            name, self._excluded(request, progress), now
        ):
            request.trace.add("reconsidered", "no target is left that did not fail it")
            return
        raise self._no_target(request, progress)

    def _excluded(self, request: OnlineRequest, progress: Progress) -> set[str]:
        """Return the targets that failed the request or cannot continue its answer."""
        if progress.software_version is None:
            return progress.excluded
        return progress.excluded | self._book.of_other_versions(
            request.service.name, progress.software_version
        )

    def _no_target(self, request: OnlineRequest, progress: Progress) -> RefusedError:
        text = f"no target of {request.service.name} can take it"
        if progress.excluded:
            text = f"no other target of {request.service.name} can take it"
        if progress.software_version:
            text += (
                f"; its answer began at software version {progress.software_version}"
            )
        return refuse(request, "no_target", text, 503, progress.run, RETRY_AFTER_S)

    async def _enter(self, request: OnlineRequest, progress: Progress) -> None:
        away = await self._gate.enter(request)
        if away is None:
            return
        status = 503 if away.code == NO_TARGET else 429
        raise refuse(
            request, away.code, away.reason, status, progress.run, away.retry_after_s
        )

    def _check_retry(
        self,
        request: OnlineRequest,
        policy: ServicePolicy,
        progress: Progress,
        error: AttemptError,
    ) -> None:
        """Raise the final refusal if there must not be another attempt."""
        stop = progress.stop_reason(
            error, request.service.repeatable, request.deadline, self._clock()
        )
        if stop is not None:
            again_s = 0.0 if stop.code == "target_refused" else RETRY_AFTER_S
            raise refuse(
                request, stop.code, stop.reason, stop.status, progress.run, again_s
            )
        if isinstance(error, NotSent):
            return  # it cost no target anything
        if policy.retry_budget.take(progress.streaming):
            return
        self._metrics.budget_spent.labels(request.service.name).inc()
        text = f"too many retries in this service; last: {error.reason}"
        raise refuse(
            request, "retry_budget_spent", text, 503, progress.run, RETRY_AFTER_S
        )

    def _choose(self, request: OnlineRequest, progress: Progress) -> str:
        service = request.service
        now = self._clock()
        wanted = RequestProfile(
            request.tokens,
            self._book.prefix_index.tokens_by_target(request.blocks),
            service.version,
            request.adapter,
            service.most_running,
        )
        weighed = self._book.choose(
            service.name,
            self._excluded(request, progress),
            wanted,
            now,
            request.blocks,
        )
        if not weighed:
            raise self._no_target(request, progress)
        best = weighed[0].target
        progress.alone = len(weighed) == 1 and self._is_only(best, request, progress)
        parts = self._book.score_parts(best, wanted, now)
        self._metrics.routed.labels(
            service.name, "cached" if parts["cached_tokens"] else "not_cached"
        ).inc()
        request.trace.add(
            "sent",
            "least expected delay",
            target=best,
            scores={w.target: round(w.score, 4) for w in weighed[:SHOWN_SCORES]},
            weighed=len(weighed),
            parts=parts,
        )
        return best

    def _is_only(self, target: str, request: OnlineRequest, progress: Progress) -> bool:
        wanted = RequestProfile(request.tokens)
        excluded = self._excluded(request, progress) | {target}
        name = request.service.name
        return not self._book.rank(name, excluded, wanted, self._clock())

    def _attempt(
        self,
        request: OnlineRequest,
        policy: ServicePolicy,
        progress: Progress,
        target: str,
    ) -> Attempt:
        state = self._book.states_by_id[target]
        number = progress.attempts
        limits = EventTimeouts(UNREPEATABLE_FIRST_EVENT_S, UNREPEATABLE_INTER_EVENT_S)
        if request.service.repeatable:
            limits = policy.timeouts(
                number,
                request.tokens + progress.offset,
                state.expected_wait_s(request.service.most_running, self._clock()),
                progress.alone,
            )
        latest_s = math.inf
        if not progress.streaming:
            left_s = request.deadline - self._clock()
            latest_s = max(LEAST_FIRST_S, left_s)
            limits.first_s = max(LEAST_FIRST_S, min(limits.first_s, left_s))
        return Attempt(
            request.id,
            f"{request.id}.{number}",
            state.member.address,
            request.path,
            request.body,
            progress.offset,
            limits.first_s,
            limits.between_s,
            latest_s,
        )

    async def _one(
        self,
        request: OnlineRequest,
        policy: ServicePolicy,
        progress: Progress,
        attempt: Attempt,
        target: str,
    ) -> AsyncIterator[list[bytes]]:
        watch = AttemptWatch(self._clock(), policy, attempt)
        software_version = self._book.states_by_id[target].member.software_version
        whole = False
        try:
            async with aclosing(self._engines.stream(attempt)) as batches:
                async for events in batches:
                    now = self._clock()
                    watch.events(len(events), now)
                    self._book.record_event(target, now)
                    progress.record_tokens(events, software_version)
                    request.software_version = progress.software_version
                    yield events
                    watch.resumed(self._clock())
            whole = True
            self._metrics.attempts.labels(request.service.name, "whole").inc()
            self._book.record_success(target, self._clock())
        except AttemptFailed as failed:
            if isinstance(failed.error, Lost):
                watch.lost(self._clock())
            raise
        finally:
            self._book.record_finish(target)
            self._tell_load(target, watch)
            self._gate.pump(request.service.name, request.service.most_running)
            self._note_latency(target, watch)
            if not whole:
                self._cancel_later(attempt)

    def _note_latency(self, target: str, watch: AttemptWatch) -> None:
        watch.note()
        state = self._book.states_by_id.get(target)
        if state is not None and watch.tokens:
            state.record_first_token(watch.first_s, self._clock())

    def _cancel_later(self, attempt: Attempt) -> None:
        cancel = self._engines.cancel(attempt.address, attempt.attempt)
        task = asyncio.get_running_loop().create_task(cancel)
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _note_failure(
        self,
        request: OnlineRequest,
        progress: Progress,
        target: str,
        error: AttemptError,
    ) -> None:
        kind = type(error).__name__
        service = request.service
        progress.record_failure(target, error, service.believes_not_run)
        self._metrics.attempts.labels(service.name, kind).inc()
        out_s = self._book.record_failure(target, error, self._clock())
        if out_s:
            self._metrics.ejected.labels(service.name).inc()
        request.trace.add(
            "failed",
            error.reason,
            target=target,
            kind=kind,
            at=progress.offset,
            ejected_s=out_s,
        )
        if isinstance(error, TargetRefused) and error.leaving:
            self._target_leaving(target)
            self._book.mark_leaving(target)

    def _tell_load(self, target: str, watch: AttemptWatch | None = None) -> None:
        state = self._book.states_by_id.get(target)
        in_flight = state.in_flight if state else 0
        first_s = watch.first_s if watch else 0.0
        between_s = watch.mean_between_s if watch else 0.0
        self._load_changed(OnlineLoad(target, in_flight, first_s, between_s))


def _is_complete(error: AttemptError, progress: Progress) -> bool:
    """Return whether only the closing mark is missing.

    The last token names the reason why the answer ends: it is whole, and there is
    nothing to resume.
    """
    if not isinstance(error, Lost) or not progress.last_event:
        return False
    return finish_reason(progress.last_event) is not None


def refuse(
    request: OnlineRequest,
    code: str,
    reason: str,
    status: int,
    run: str = NOT_RUN,
    retry_after_s: float = 0.0,
) -> RefusedError:
    """Return the refusal of ``request``, and note it in its trace."""
    request.trace.add("refused", reason, code=code, run=run)
    return RefusedError(Refusal(code, reason, status, run, retry_after_s, request.id))
