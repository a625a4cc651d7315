"""Runs batch items at the targets of plain services, beside the online calls.

An item that may not be repeated is sent only after a row says that it is started. Some
are started ahead of their places, many with one write; those that are lost with this
instance before they were sent end as unknown as well, which is the price of it.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Ok, Result

from caperridge.commands.started_items import return_unsent_items
from caperridge.config.model import Service
from caperridge.decisions.plain_items import (
    STARTED_BEFORE,
    STARTED_HERE,
    FinalResult,
    batch_slots,
    classify_answer,
    classify_error,
    unknown_outcome,
)
from caperridge.instance.item_starts import ItemStarts
from caperridge.instance.item_work import ItemWork, PlainItemWork
from caperridge.instance.plain_headers import target_word
from caperridge.instance.plain_item_calls import call_of, result_body
from caperridge.refusals import UNKNOWN
from caperridge.store.interface import Platform
from caperridge.targets.outcomes import AttemptError, NotSent
from caperridge.targets.plain import (
    AnswerTooLarge,
    PlainAnswer,
    PlainCall,
    PlainClient,
    PlainError,
)

STARTED_AHEAD = 32
WAITING_ROUNDS = 4  # calls are short, and the next claim takes some time
FAILED_HOLD_S = 1.0
CLAIM_HOLD_S = 0.5
GIVE_BACK_S = 2.0
MOST_RESULT_BYTES = 16 * 1024

Finished = Callable[[ItemWork, AttemptError | None], None]


class PlainTargets(Protocol):
    """What is known of plain services and their targets."""

    def service(self, name: str) -> Service | None:
        """Return the declared plain service of that name."""

    def own(self, service: str) -> dict[str, str]:
        """Return the addresses of the targets that this instance dispatches for."""

    def online(self, target: str) -> int:
        """Return the online calls known to be at ``target``."""


class PlainItems:
    """The items of plain services in one instance.

    Args:
        platform: where items that may not be repeated are claimed.
        client: of the services; it limits the size of a result.
        targets: where items may go.
        may_start: whether the lease lasts and the instance is not stopping.
        clock: monotonic seconds.
        finished: told of each item that ended. Without an error it has its ``final``.
    """

    def __init__(
        self,
        platform: Platform,
        client: PlainClient,
        targets: PlainTargets,
        may_start: Callable[[], bool],
        clock: Callable[[], float],
        finished: Finished,
    ) -> None:
        self.client = client
        self._platform = platform
        self._targets = targets
        self._may_start = may_start
        self._clock = clock
        self._finished = finished
        self._waiting_by_service: dict[str, deque[PlainItemWork]] = {}
        self._ready_by_service: dict[str, deque[PlainItemWork]] = {}
        self._started_by_request: dict[str, PlainItemWork] = {}
        self._running_by_request: dict[str, asyncio.Task[None]] = {}
        self._works_by_request: dict[str, PlainItemWork] = {}
        self._count_by_target: dict[str, int] = {}
        self._not_before_by_target: dict[str, float] = {}
        self._claims_by_service: dict[str, asyncio.Task[None]] = {}
        self._claim_due = 0.0
        self._closed = False
        self._fill_handle: asyncio.Handle | None = None
        self._starts = ItemStarts(platform)

    @property
    def running(self) -> bool:
        """Whether an item runs at a target."""
        return bool(self._running_by_request)

    async def close(self) -> None:
        """End what runs, and start nothing more."""
        self._closed = True
        tasks = [*self._running_by_request.values(), *self._claims_by_service.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.client.close()

    def room(self, service: str) -> int:
        """Return how many more items are wanted: some rounds of what may run."""
        found = self._targets.service(service)
        if found is None:
            return 0
        places = sum(
            batch_slots(found.most_running, self._targets.online(target), 0)
            for target in self._targets.own(service)
        )
        return max(0, WAITING_ROUNDS * places - self._held(service))

    def submit(self, work: PlainItemWork) -> None:
        """Take an item; ``finished`` is told when it ends."""
        if work.request in self._running_by_request or work.final is not None:
            return  # It went on over a pause of the lease.
        call = call_of(work)
        if isinstance(call, FinalResult):
            self._end(work, call)
            return
        queues = self._waiting_by_service
        if work.row is not None:
            queues = self._ready_by_service
            self._started_by_request[work.request] = work
        queues.setdefault(work.service, deque()).append(work)
        if self._fill_handle is None:
            # Not now: items come one by one, and start with one write together.
            loop = asyncio.get_running_loop()
            self._fill_handle = loop.call_soon(self._fill_submitted)

    def cancel_job(self, job: str) -> None:
        """Stop and forget every item of ``job``, without telling ``finished``."""
        for queues in (self._waiting_by_service, self._ready_by_service):
            for queue in queues.values():
                kept = [work for work in queue if work.job != job]
                queue.clear()
                queue.extend(kept)
        for request, work in list(self._works_by_request.items()):
            if work.job == job:
                self._running_by_request[request].cancel()
        for request, work in list(self._started_by_request.items()):
            if work.job == job:
                del self._started_by_request[request]

    def drop_all(self) -> None:
        """Forget what waits. What was sent cannot be taken back, and goes on."""
        self._waiting_by_service.clear()
        self._ready_by_service.clear()
        self._started_by_request.clear()
        for task in self._claims_by_service.values():
            task.cancel()
        self._claims_by_service.clear()

    def fill(self) -> None:
        """Start what fits, and say durably what is to be started next."""
        if self._closed or not self._may_start():
            return
        now = self._clock()
        for name in {*self._waiting_by_service, *self._ready_by_service}:
            service = self._targets.service(name)
            if service is None:
                continue
            for target, address in self._targets.own(name).items():
                if now >= self._not_before_by_target.get(target, 0.0):
                    self._fill_target(target, address, service)
            if not service.repeatable:
                self._claim_ahead(name, now)

    async def release(self) -> None:
        """Give back what was started durably but not sent; nothing starts any more."""
        if self._claims_by_service:
            # What they start is given back as well; a platform that is away is not.
            await asyncio.wait(self._claims_by_service.values(), timeout=GIVE_BACK_S)
        started = list(self._started_by_request.values())
        self.drop_all()
        unsent_by_row: dict[str, list[PlainItemWork]] = {}
        for work in started:
            if work.row is not None and not work.sent:
                unsent_by_row.setdefault(work.row.key, []).append(work)
        for works in unsent_by_row.values():
            row = works[0].row
            assert row is not None
            unsent = {work.index for work in works}
            sent = [index for index in row.indexes if index not in unsent]
            await return_unsent_items(self._platform, row, sent)
            for work in works:
                work.row = None

    def state(self) -> dict[str, Any]:
        """Return what runs and waits, for the dump."""
        return {
            "running": [{"attempt": name} for name in self._running_by_request],
            "waiting_by_service": {
                name: len(queue) for name, queue in self._waiting_by_service.items()
            },
            "started_ahead_by_service": {
                name: len(queue) for name, queue in self._ready_by_service.items()
            },
        }

    def _fill_submitted(self) -> None:
        self._fill_handle = None
        self.fill()

    def _held(self, service: str) -> int:
        waiting = len(self._waiting_by_service.get(service, ()))
        return waiting + len(self._ready_by_service.get(service, ()))

    def _places(self, target: str, service: Service) -> int:
        running = self._count_by_target.get(target, 0)
        online = self._targets.online(target)
        return batch_slots(service.most_running, online, running)

    def _fill_target(self, target: str, address: str, service: Service) -> None:
        if service.repeatable:
            queue = self._waiting_by_service.get(service.name, deque())
        else:
            queue = self._ready_by_service.get(service.name, deque())
        places = self._places(target, service)
        while places > 0 and queue:
            work = queue.popleft()
            if work.request in self._running_by_request or work.final is not None:
                continue
            if work.sent and not service.repeatable:
                self._end(work, unknown_outcome(STARTED_HERE))
                continue
            places -= 1
            self._count_by_target[target] = self._count_by_target.get(target, 0) + 1
            run = self._run(work, target, address, service)
            self._works_by_request[work.request] = work
            task = asyncio.get_running_loop().create_task(run)
            self._running_by_request[work.request] = task

    async def _run(
        self, work: PlainItemWork, target: str, address: str, service: Service
    ) -> None:
        error: AttemptError | None = None
        try:
            error = await self._attempt(work, address, service)
        finally:
            del self._running_by_request[work.request]
            del self._works_by_request[work.request]
            self._count_by_target[target] -= 1
        if error is not None:
            # Another target may do; this one gets a moment to come back.
            self._not_before_by_target[target] = self._clock() + FAILED_HOLD_S
            self._finished(work, error)
        else:
            self._started_by_request.pop(work.request, None)
            self._finished(work, None)
        self.fill()

    async def _attempt(
        self, work: PlainItemWork, address: str, service: Service
    ) -> AttemptError | None:
        """Send the item once; return None if it has its ``final``."""
        if not self._may_start():
            return NotSent("the lease has ended")
        call = call_of(work)
        assert isinstance(call, PlainCall)
        work.sent = True
        outcome = await self.client.call(address, call)
        verdict = _judge(outcome, service)
        if isinstance(verdict, FinalResult):
            work.final = verdict
            if isinstance(outcome, Ok):
                work.answer = result_body(outcome.ok_value)
            return None
        if not service.repeatable:
            # Whatever is tried again was certainly not run.
            work.sent = False
        return verdict

    def _end(self, work: PlainItemWork, final: FinalResult) -> None:
        work.final = final
        self._started_by_request.pop(work.request, None)
        self._finished(work, None)

    def _claim_ahead(self, name: str, now: float) -> None:
        waiting = self._waiting_by_service.get(name)
        ready = self._ready_by_service.setdefault(name, deque())
        enough = len(ready) > STARTED_AHEAD // 2
        if not waiting or enough or now < self._claim_due:
            return
        if name in self._claims_by_service:
            return
        works = [waiting.popleft() for _ in range(min(STARTED_AHEAD, len(waiting)))]
        task = asyncio.get_running_loop().create_task(self._claim(name, works))
        self._claims_by_service[name] = task

    async def _claim(self, name: str, works: list[PlainItemWork]) -> None:
        outcome = await self._starts.start(works)
        # Not reached once dropped: the dispatcher hands the items over again.
        del self._claims_by_service[name]
        for work in outcome.started:
            self._started_by_request[work.request] = work
        ready = self._ready_by_service.setdefault(name, deque())
        ready.extend(outcome.started)
        if outcome.left:
            self._claim_due = self._clock() + CLAIM_HOLD_S
            waiting = self._waiting_by_service.setdefault(name, deque())
            waiting.extendleft(reversed(outcome.left))
        for work in outcome.started_before:
            self._end(work, unknown_outcome(STARTED_BEFORE))
        for work in outcome.not_ours:
            self._finished(work, NotSent("its chunk is no longer ours"))
        self.fill()


def _judge(
    outcome: Result[PlainAnswer, PlainError], service: Service
) -> FinalResult | AttemptError:
    if isinstance(outcome, Err):
        error = outcome.err_value
        if isinstance(error, AnswerTooLarge):
            return FinalResult(502, "answer_too_large", error.reason, UNKNOWN)
        return classify_error(error, service.repeatable)
    answer = outcome.ok_value
    run = target_word(answer.status, answer.body).run
    return classify_answer(
        answer.status, run, service.repeatable, service.believes_not_run
    )
