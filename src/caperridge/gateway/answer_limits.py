"""Deadlines of answers: each has its own, and a planned stop caps all of them."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator


class AnswerLimits:
    """The deadlines of answers in progress and of future ones.

    Attributes:
        deadline: when the last answer must be complete, on the event loop's clock.
        reject_long_from: from when on, by the same clock, no request is started that
            may take longer than that.
    """

    def __init__(self) -> None:
        self.deadline = math.inf
        self.reject_long_from = math.inf
        self._running: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def within(self, deadline: float = math.inf) -> AsyncIterator[None]:
        """End the block with :class:`TimeoutError` at its deadline.

        Args:
            deadline: of this answer, on the event loop's clock.
        """
        async with asyncio.timeout(None) as limit:
            limit.reschedule(_when(min(deadline, self.deadline)))
            self._running.add(limit)
            try:
                yield
            finally:
                self._running.discard(limit)

    def cap(self, deadline: float, reject_long_from: float = -math.inf) -> None:
        """Cap the deadlines of all answers, including those in progress."""
        self.deadline = deadline
        self.reject_long_from = reject_long_from
        for limit in self._running:
            if limit.expired():
                continue
            when = limit.when()
            if when is None or when > deadline:
                limit.reschedule(deadline)


def _when(deadline: float) -> float | None:
    return None if math.isinf(deadline) else deadline
