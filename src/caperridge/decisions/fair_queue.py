"""Start-time fair queueing between weighted callers, bounded and with deadlines.

Each request is stamped with the virtual time at which its caller's share lets it start,
and the lowest stamp is dequeued first. When the queue is full, the caller with the most
waiting requests for its weight loses its newest one.
"""

from collections import deque
from typing import Any

from caperridge.records import Record

MAX_WAITING = 256
MAX_FINISH_STAMPS = 1024


class QueuedRequest(Record):
    """A request in the queue.

    Attributes:
        id: id of the request.
        caller: caller whose share it uses.
        weight: weight of the caller.
        deadline: time from which it is dropped.
        context: opaque to the queue.
        start: its start stamp in virtual time.
    """

    __slots__ = ("caller", "context", "deadline", "id", "start", "weight")

    def __init__(
        self,
        id: str,
        caller: str,
        weight: float,
        deadline: float,
        context: Any = None,
    ) -> None:
        self.id = id
        self.caller = caller
        self.weight = max(weight, 1e-6)
        self.deadline = deadline
        self.context = context
        self.start = 0.0


class FairQueue:
    """The queue of one service."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._waiting_by_caller: dict[str, deque[QueuedRequest]] = {}
        self._finish_stamp_by_caller: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the request dropped if the queue is full.

        That may be ``request`` itself.
        """
        dropped: QueuedRequest | None = None
        if self._length >= self._max_waiting:
            dropped = self._to_drop(request)
            if dropped is request:
                return dropped
            self.remove(dropped)
        finish_stamp = self._finish_stamp_by_caller.get(request.caller, 0.0)
        request.start = max(self._virtual_time, finish_stamp)
        self._finish_stamp_by_caller[request.caller] = (
            request.start + 1.0 / request.weight
        )
        self._waiting_by_caller.setdefault(request.caller, deque()).append(request)
        self._length += 1
        return dropped

    def pop(self, now: float) -> tuple[QueuedRequest | None, list[QueuedRequest]]:
        """Return the next request, and those whose deadline has passed."""
        expired = self.expire(now)
        best: QueuedRequest | None = None
        for queue in self._waiting_by_caller.values():
            if best is None or queue[0].start < best.start:
                best = queue[0]
        if best is None:
            return None, expired
        self._virtual_time = max(self._virtual_time, best.start)
        finish_stamp = self._finish_stamp_by_caller[best.caller]
        self.remove(best)
        if self._length:
            self._finish_stamp_by_caller[best.caller] = finish_stamp
        self._prune_stamps()
        return best, expired

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return those whose deadline has passed."""
        expired: list[QueuedRequest] = []
        for queue in self._waiting_by_caller.values():
            expired.extend(request for request in queue if request.deadline <= now)
        for request in expired:
            self.remove(request)
        return expired

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request, for example because its caller disconnected."""
        queue = self._waiting_by_caller.get(request.caller)
        if queue is None:
            return False
        for index, queued in enumerate(queue):
            if queued is request:
                del queue[index]
                break
        else:
            return False
        if index == len(queue):
            # The newest request returns its stamp, since its caller did not use it.
            self._finish_stamp_by_caller[request.caller] = request.start
        self._length -= 1
        if not queue:
            del self._waiting_by_caller[request.caller]
        if not self._length:
            self._finish_stamp_by_caller.clear()
            self._virtual_time = 0.0
        return True

    def requests_ahead(self, caller: str, weight: float) -> int:
        """Return approximately how many requests precede a new one of ``caller``."""
        finish_stamp = self._finish_stamp_by_caller.get(caller, 0.0)
        start = max(self._virtual_time, finish_stamp)
        ahead = 0
        for queue in self._waiting_by_caller.values():
            for request in queue:
                if request.start > start:
                    break
                ahead += 1
        return ahead

    def _prune_stamps(self) -> None:
        if len(self._finish_stamp_by_caller) <= MAX_FINISH_STAMPS:
            return
        for caller, finish_stamp in list(self._finish_stamp_by_caller.items()):
            if (
                finish_stamp <= self._virtual_time
                and caller not in self._waiting_by_caller
            ):
                del self._finish_stamp_by_caller[caller]

    def _to_drop(self, request: QueuedRequest) -> QueuedRequest:
        own = self._waiting_by_caller.get(request.caller, ())
        max_excess = (len(own) + 1) / request.weight
        dropped = request
        for queue in self._waiting_by_caller.values():
            excess = len(queue) / queue[0].weight
            if excess > max_excess:
                max_excess = excess
                dropped = queue[-1]
        return dropped
