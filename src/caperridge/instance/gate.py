"""The gate before a service: requests wait here while its targets are full."""

import asyncio
from collections.abc import Callable

from caperridge.decisions.fair_queue import FairQueue, QueuedRequest
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.turn_rate import DequeueRate
from caperridge.instance.metrics import Metrics
from caperridge.instance.online_request import OnlineRequest
from caperridge.records import Record

LOOK_EVERY_S = 0.1

NO_TARGET = "no_target"
QUEUE_FULL = "queue_full"
QUEUE_TOO_LONG = "queue_too_long"
DEADLINE_PASSED = "deadline_passed"


class TurnedAway(Record):
    """Why the gate does not let a request pass.

    Attributes:
        code: one of this module's.
        reason: a sentence for a person.
        retry_after_s: when to ask again.
    """

    __slots__ = ("code", "reason", "retry_after_s")

    def __init__(self, code: str, reason: str, retry_after_s: float) -> None:
        self.code = code
        self.reason = reason
        self.retry_after_s = retry_after_s


class ServiceGate:
    """The queue of one service.

    Attributes:
        queue: who waits.
        waking: a request was let through but has not started yet.
        rate: of those who are let through.
    """

    __slots__ = ("queue", "rate", "waking")

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.waking = False
        self.rate = DequeueRate()

    def let_through(self, now: float) -> None:
        """Note that one of those who wait has its turn."""
        self.waking = True
        self.rate.record_dequeue(now, waiting=len(self.queue) > 0)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return how long a request behind ``ahead`` others would wait."""
        return self.rate.interval_s(now) * (ahead + 1)


class Gate:
    """The queues of one instance.

    Args:
        book: says which targets have room.
        metrics: of the instance.
        clock: monotonic seconds.
    """

    def __init__(
        self, book: TargetPool, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._book = book
        self._metrics = metrics
        self._clock = clock
        self._gates_by_service: dict[str, ServiceGate] = {}

    def waiting(self) -> dict[str, int]:
        """Return how many wait, by service."""
        return {name: len(gate.queue) for name, gate in self._gates_by_service.items()}

    async def enter(self, request: OnlineRequest) -> TurnedAway | None:
        """Wait for room; return why the request may not pass, or None if it may.

        Whoever passes calls :meth:`started` once its place at a target is counted,
        or has given up.
        """
        service = request.service
        now = self._clock()
        gate = self._gates_by_service.setdefault(service.name, ServiceGate())
        free = not len(gate.queue) and not gate.waking
        if free and self._book.has_capacity(service.name, service.most_running, now):
            return None
        if not self._book.has_usable(service.name):
            return self._no_target(service.name)
        away = self._too_long(gate, request, now)
        if away is not None:
            return away
        future: asyncio.Future[TurnedAway | None]
        future = asyncio.get_running_loop().create_future()
        caller = request.caller
        waiting = QueuedRequest(
            request.id, caller.name, caller.share, request.deadline, future
        )
        dropped = gate.queue.push(waiting)
        if dropped is not None:
            away = TurnedAway(
                QUEUE_FULL,
                f"too many requests of {dropped.caller} wait for its share",
                max(1.0, gate.wait_s(len(gate.queue), now)),
            )
            if dropped is waiting:
                return away
            _settle(dropped, away)
        gate.rate.observe(now, waiting=True)
        request.trace.add("queued", "all targets are full", ahead=len(gate.queue) - 1)
        try:
            return await self._wait(gate, request, waiting, now)
        except asyncio.CancelledError:
            gate.queue.remove(waiting)
            if future.done() and not future.cancelled() and future.result() is None:
                self.started(service.name, service.most_running)
            raise
        finally:
            gate.rate.observe(self._clock(), waiting=len(gate.queue) > 0)

    async def _wait(
        self,
        gate: ServiceGate,
        request: OnlineRequest,
        waiting: QueuedRequest,
        began: float,
    ) -> TurnedAway | None:
        service = request.service
        future: asyncio.Future[TurnedAway | None] = waiting.context
        while not future.done():
            self.pump(service.name, service.most_running)
            now = self._clock()
            left_s = waiting.deadline - now
            if left_s > 0:
                await asyncio.wait([future], timeout=min(left_s, LOOK_EVERY_S))
                now = self._clock()
            if future.done():
                break
            if waiting.deadline <= now:
                gate.queue.remove(waiting)
                _settle(waiting, _too_late(gate, now))
            elif not self._book.has_usable(service.name):
                gate.queue.remove(waiting)
                _settle(waiting, self._no_target(service.name))
        waited_s = self._clock() - began
        self._metrics.queue_wait.labels(service.name).observe(waited_s)
        away = future.result()
        if away is None:
            request.trace.add("let_through", "a target has room", waited_s=waited_s)
        return away

    def started(self, service: str, most_running: int) -> None:
        """Note that the request let through last is counted, or gave up."""
        gate = self._gates_by_service.get(service)
        if gate is not None:
            gate.waking = False
            self.pump(service, most_running)

    def pump(self, service: str, most_running: int) -> None:
        """Let the next request through if a target has room."""
        gate = self._gates_by_service.get(service)
        if gate is None or gate.waking or not len(gate.queue):
            return
        now = self._clock()
        if not self._book.has_capacity(service, most_running, now):
            return
        best, late = gate.queue.pop(now)
        for waiting in late:
            _settle(waiting, _too_late(gate, now))
        if best is not None:
            gate.let_through(now)
            _settle(best, None)

    def _too_long(
        self, gate: ServiceGate, request: OnlineRequest, now: float
    ) -> TurnedAway | None:
        """Refuse at once what would wait past its deadline, by the rate of late."""
        ahead = gate.queue.requests_ahead(request.caller.name, request.caller.share)
        wait_s = gate.wait_s(ahead, now)
        # With nobody ahead the rate of turns is of old, and only trying renews it.
        if not ahead or now + wait_s <= request.deadline:
            return None
        text = f"it would wait {wait_s:.1f} s behind {ahead} others"
        return TurnedAway(QUEUE_TOO_LONG, text, max(1.0, wait_s))

    def _no_target(self, service: str) -> TurnedAway:
        return TurnedAway(NO_TARGET, f"no target of {service} can take it", 1.0)


def _too_late(gate: ServiceGate, now: float) -> TurnedAway:
    return TurnedAway(
        DEADLINE_PASSED,
        "its deadline passed while all targets were full",
        max(1.0, gate.wait_s(len(gate.queue), now)),
    )


def _settle(waiting: QueuedRequest, away: TurnedAway | None) -> None:
    if not waiting.context.done():
        waiting.context.set_result(away)
