"""Until when answers may take: each has its own time, and a stop ends them all."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator


class AnswerLimits:
    """Limits of what is being answered now, and of what will be.

    Attributes:
        until: when the last answer must have been given, on the loop's clock.
        careful_from: from when on nothing is begun that may last longer than that.
    """

    def __init__(self) -> None:
        self.deadline = math.inf
        self.reject_long_from = math.inf
        self._running: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def within(self, deadline: float = math.inf) -> AsyncIterator[None]:
        """End the block with :class:`TimeoutError` when its time is over.

        Args:
            deadline: its own, on the loop's clock.
        """
        async with asyncio.timeout(None) as limit:
            limit.reschedule(_when(min(deadline, self.deadline)))
            self._running.add(limit)
            try:
                yield
            finally:
                self._running.discard(limit)

    def cap(self, until: float, careful_from: float = -math.inf) -> None:
        """Bring forward whatever would end later, also what has begun already."""
        self.deadline = until
        self.reject_long_from = careful_from
        for limit in self._running:
            if limit.expired():
                continue
            when = limit.when()
            if when is None or when > until:
                limit.reschedule(until)


def _when(deadline: float) -> float | None:
    return None if math.isinf(deadline) else deadline
