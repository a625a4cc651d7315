"""A bounded queue that is fair between callers by weight and knows deadlines.

Start-time fair queueing: each request is stamped with the virtual time at which its
caller's share lets it start, and the least stamp goes first. When the queue is full,
the caller with the most waiting for its weight loses its newest request.
"""

from collections import deque
from typing import Any

from caperridge.records import Record

MAX_WAITING = 256
MAX_FINISH_STAMPS = 1024


class QueuedRequest(Record):
    """One request that waits.

    Attributes:
        id: of the request.
        caller: whose share it uses.
        weight: of the caller.
        deadline: when waiting longer makes no sense.
        context: the owner's own; returned untouched.
        start: its stamp in virtual time.
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
    """What waits for one service."""

    def __init__(self, most_waiting: int = MAX_WAITING) -> None:
        self._most_waiting = most_waiting
        self._waiting_by_caller: dict[str, deque[QueuedRequest]] = {}
        self._finish_by_caller: dict[str, float] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Queue a request; return the one that has to go if there is no room.

        That may be ``waiting`` itself.
        """
        dropped: QueuedRequest | None = None
        if self._length >= self._most_waiting:
            dropped = self._to_drop(waiting)
            if dropped is waiting:
                return dropped
            self.remove(dropped)
        finish = self._finish_by_caller.get(waiting.caller, 0.0)
        waiting.start = max(self._virtual, finish)
        self._finish_by_caller[waiting.caller] = waiting.start + 1.0 / waiting.weight
        self._waiting_by_caller.setdefault(waiting.caller, deque()).append(waiting)
        self._length += 1
        return dropped

    def pop(self, now: float) -> tuple[QueuedRequest | None, list[QueuedRequest]]:
        """Return who is next, and those whose deadline passed while they waited."""
        late = self.expire(now)
        best: QueuedRequest | None = None
        for queue in self._waiting_by_caller.values():
            if best is None or queue[0].start < best.start:
                best = queue[0]
        if best is None:
            return None, late
        self._virtual = max(self._virtual, best.start)
        finish = self._finish_by_caller[best.caller]
        self.remove(best)
        if self._length:
            self._finish_by_caller[best.caller] = finish
        self._prune()
        return best, late

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return those whose deadline has passed."""
        late: list[QueuedRequest] = []
        for queue in self._waiting_by_caller.values():
            late.extend(waiting for waiting in queue if waiting.deadline <= now)
        for waiting in late:
            self.remove(waiting)
        return late

    def remove(self, waiting: QueuedRequest) -> bool:
        """Take a request out, e.g. because its caller hung up."""
        queue = self._waiting_by_caller.get(waiting.caller)
        if queue is None:
            return False
        for index, found in enumerate(queue):
            if found is waiting:
                del queue[index]
                break
        else:
            return False
        if index == len(queue):
            # The newest gives its stamp back: its caller did not use it.
            self._finish_by_caller[waiting.caller] = waiting.start
        self._length -= 1
        if not queue:
            del self._waiting_by_caller[waiting.caller]
        if not self._length:
            self._finish_by_caller.clear()
            self._virtual = 0.0
        return True

    def requests_ahead(self, caller: str, weight: float) -> int:
        """Return about how many would go before a new request of ``caller``."""
        finish = self._finish_by_caller.get(caller, 0.0)
        start = max(self._virtual, finish)
        ahead = 0
        for queue in self._waiting_by_caller.values():
            for waiting in queue:
                if waiting.start > start:
                    break
                ahead += 1
        return ahead

    def _prune(self) -> None:
        if len(self._finish_by_caller) <= MAX_FINISH_STAMPS:
            return
        for caller, finish in list(self._finish_by_caller.items()):
            if finish <= self._virtual and caller not in self._waiting_by_caller:
                del self._finish_by_caller[caller]

    def _to_drop(self, waiting: QueuedRequest) -> QueuedRequest:
        own = self._waiting_by_caller.get(waiting.caller, ())
        most = (len(own) + 1) / waiting.weight
        dropped = waiting
        for queue in self._waiting_by_caller.values():
            excess = len(queue) / queue[0].weight
            if excess > most:
                most = excess
                dropped = queue[-1]
        return dropped
