"""Runs batch items at the own runners, within the headroom that online leaves.

The dispatcher hands over items; each comes back finished, failed or dropped. An item
that is preempted keeps its tokens and goes on later, here or at another target.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import aclosing
from typing import Any

from caperridge.config.model import Configuration, Service
from caperridge.decisions.headroom import BatchStream, Headroom
from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetBook
from caperridge.instance.metrics import Metrics
from caperridge.log import logger
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.events import text_of
from caperridge.targets.outcomes import AttemptError

log = logger(__name__)


class ItemWork:
    """One batch item to be run.

    Attributes:
        request: unique for the item, e.g. ``batch_1.17``.
        job: id of its job.
        service: name of the service.
        path: of the endpoint.
        body: what is sent.
        texts: the tokens so far, kept over preemption and loss of a target.
        attempts: attempts at targets so far.
        context: the dispatcher's own; returned untouched.
    """

    __slots__ = (
        "attempts",
        "body",
        "context",
        "job",
        "path",
        "request",
        "service",
        "texts",
    )

    def __init__(
        self,
        request: str,
        job: str,
        service: str,
        path: str,
        body: dict[str, Any],
        context: Any = None,
    ) -> None:
        self.request = request
        self.job = job
        self.service = service
        self.path = path
        self.body = body
        self.context = context
        self.texts: list[str] = []
        self.attempts = 0


Finished = Callable[[ItemWork, AttemptError | None], None]


class BatchStreams:
    """The batch streams of one instance.

    Args:
        membership: says which targets this instance dispatches for.
        engines: client of the engines.
        metrics: of the instance.
        clock: monotonic seconds.
        finished: told of each item that ended; the error is None if it is whole.
    """

    def __init__(
        self,
        membership: Membership,
        engines: EngineClient,
        metrics: Metrics,
        clock: Callable[[], float],
        finished: Finished,
    ) -> None:
        self.headroom = Headroom()
        self.book = TargetBook(membership.availability_zone)
        self.configuration = Configuration()
        self._membership = membership
        self._engines = engines
        self._metrics = metrics
        self._clock = clock
        self._finished = finished
        self._waiting_by_service: dict[str, deque[ItemWork]] = {}
        self._running_by_attempt: dict[str, tuple[BatchStream, ItemWork]] = {}
        self._tasks_by_attempt: dict[str, asyncio.Task[None]] = {}
        self._cancels: set[asyncio.Task[None]] = set()

    def room(self, service: str) -> int:
        """Return how many more items of ``service`` could start now."""
        found = self.configuration.services_by_name.get(service)
        if found is None:
            return 0
        free = sum(self._free(target, found) for target in self._own_targets(service))
        return max(0, free - len(self._waiting_by_service.get(service, ())))

    def submit(self, work: ItemWork) -> None:
        """Take an item; ``finished`` is told when it ends."""
        self._waiting_by_service.setdefault(work.service, deque()).append(work)
        self.fill()

    def cancel_job(self, job: str) -> None:
        """Stop and forget every item of ``job``, without telling ``finished``."""
        for waiting in self._waiting_by_service.values():
            kept = [work for work in waiting if work.job != job]
            waiting.clear()
            waiting.extend(kept)
        for attempt, (_, work) in list(self._running_by_attempt.items()):
            if work.job == job:
                self._stop(attempt)

    def drop_all(self) -> None:
        """Stop and forget everything, e.g. when the lease is lost."""
        self._waiting_by_service.clear()
        for attempt in list(self._running_by_attempt):
            self._stop(attempt)

    def online_changed(self, target: str, sender: str, in_flight: int) -> None:
        """Note online load; preempt at once where it needs the room."""
        now = self._clock()
        self.headroom.online_changed(target, sender, in_flight, now)
        service = self._service_of(target)
        if service is None:
            return
        running = [
            s for s, _ in self._running_by_attempt.values() if s.target == target
        ]
        for stream in self.headroom.to_preempt(
            target, service.most_running, running, now
        ):
            _, work = self._running_by_attempt[stream.attempt]
            self._stop(stream.attempt)
            self._metrics.preempted.labels(work.service).inc()
            self._waiting_by_service.setdefault(work.service, deque()).appendleft(work)
        self.fill()

    def fill(self) -> None:
        """Start what fits."""
        for name, waiting in self._waiting_by_service.items():
            service = self.configuration.services_by_name.get(name)
            if service is None:
                continue
            for target in self._own_targets(name):
                while waiting and self._free(target, service) > 0:
                    self._start(waiting.popleft(), target)

    def state(self) -> dict[str, Any]:
        """Return what runs and waits, for the dump."""
        waiting = {name: len(items) for name, items in self._waiting_by_service.items()}
        running = [stream.to_map() for stream, _ in self._running_by_attempt.values()]
        return {"waiting_by_service": waiting, "running": running}

    def _service_of(self, target: str) -> Service | None:
        state = self.book.states_by_id.get(target)
        if state is None:
            return None
        return self.configuration.services_by_name.get(state.member.service)

    def _own_targets(self, service: str) -> list[str]:
        own: list[str] = []
        zone = self._membership.availability_zone
        for target_id, state in self.book.states_by_id.items():
            member = state.member
            if member.service != service or state.leaving:
                continue
            if member.availability_zone != zone:
                continue
            if self._membership.owner(target_id, zone) == self._membership.instance:
                own.append(target_id)
        return own

    def _free(self, target: str, service: Service) -> int:
        running = sum(
            1 for s, _ in self._running_by_attempt.values() if s.target == target
        )
        allowed = self.headroom.allowed(target, service.most_running, self._clock())
        return allowed - running

    def _start(self, work: ItemWork, target: str) -> None:
        work.attempts += 1
        attempt = f"{work.request}.{work.attempts}"
        stream = BatchStream(attempt, target, len(work.texts))
        self._running_by_attempt[attempt] = (stream, work)
        task = asyncio.get_running_loop().create_task(self._run(stream, work))
        self._tasks_by_attempt[attempt] = task

    async def _run(self, stream: BatchStream, work: ItemWork) -> None:
        attempt = Attempt(
            work.request,
            stream.attempt,
            self.book.states_by_id[stream.target].member.address,
            work.path,
            work.body,
            len(work.texts),
        )
        error: AttemptError | None = None
        try:
            async with aclosing(self._engines.stream(attempt)) as batches:
                async for events in batches:
                    work.texts.extend(text_of(event) for event in events)
                    stream.tokens = len(work.texts)
        except AttemptFailed as failed:
            error = failed.error
        if self._running_by_attempt.pop(stream.attempt, None) is None:
            return
        self._tasks_by_attempt.pop(stream.attempt, None)
        self._finished(work, error)
        self.fill()

    def _stop(self, attempt: str) -> None:
        stream, _ = self._running_by_attempt.pop(attempt)
        task = self._tasks_by_attempt.pop(attempt)
        task.cancel()
        state = self.book.states_by_id.get(stream.target)
        if state is None:
            return
        # Closing the connection ends the attempt too; the order only makes it sooner.
        cancel = self._engines.cancel(state.member.address, attempt)
        cancel_task = asyncio.get_running_loop().create_task(cancel)
        self._cancels.add(cancel_task)
        cancel_task.add_done_callback(self._cancels.discard)
