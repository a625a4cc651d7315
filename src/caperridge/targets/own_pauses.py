"""Time limits that leave out the time in which the own process stood still.

While a process stands still it reads nothing, so the silence of that time is its own
and says nothing against the other side.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Of the ticks that notice a pause; it is counted too short by at most as much.
TICK_INTERVAL_S = 0.05
# A gap between ticks from which on it is a pause; turns of a busy loop are shorter.
MIN_PAUSE_S = 0.2


class PauseMonitor:
    """Counts the pauses of the process while somebody waits."""

    def __init__(self) -> None:
        self.paused_s = 0.0
        self._ticked_at = 0.0
        self._waiting = 0
        self._timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def timeout(
        self, limit_s: float, latest_s: float
    ) -> AsyncIterator["PauseAwareTimeout"]:
        """Raise TimeoutError in the block after ``limit_s`` without the pauses.

        Args:
            limit_s: for the block, from now on.
            latest_s: the same with the pauses.
        """
        loop = asyncio.get_running_loop()
        if not self._waiting:
            self._ticked_at = loop.time()
            self._timer = loop.call_later(TICK_INTERVAL_S, self._tick, loop)
        self._waiting += 1
        try:
            async with asyncio.timeout(None) as timeout:
                limit = PauseAwareTimeout(self, loop, timeout, limit_s, latest_s)
                try:
                    yield limit
                finally:
                    limit.close()
        finally:
            self._waiting -= 1
            if not self._waiting:
                self.close()

    def check(self, now: float) -> None:
        """Count the time since the last look if it was a pause."""
        gap_s = now - self._ticked_at
        if gap_s >= MIN_PAUSE_S:
            self.paused_s += gap_s - TICK_INTERVAL_S
            self._ticked_at = now

    def close(self) -> None:
        """Notice nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        self.check(now)
        self._ticked_at = now
        self._timer = loop.call_at(now + TICK_INTERVAL_S, self._tick, loop)


class PauseAwareTimeout:
    """The limit of one wait."""

    def __init__(
        self,
        pauses: PauseMonitor,
        loop: asyncio.AbstractEventLoop,
        timeout: asyncio.Timeout,
        limit_s: float,
        latest_s: float,
    ) -> None:
        now = loop.time()
        self._pauses = pauses
        self._loop = loop
        self._timeout = timeout
        self._due = now + limit_s
        self._max_due = now + max(limit_s, latest_s)
        pauses.check(now)
        self._paused_before_s = pauses.paused_s
        self._timer = loop.call_at(self._due, self._check)

    @property
    def due(self) -> float:
        """When it runs out, by the loop's clock and the pauses so far."""
        lost_s = self._pauses.paused_s - self._paused_before_s
        return min(self._due + lost_s, self._max_due)

    def close(self) -> None:
        """End nothing any more."""
        self._timer.cancel()

    def _check(self) -> None:
        now = self._loop.time()
        # This timer may come before the tick that would notice the pause.
        self._pauses.check(now)
        if now < self.due:
            self._timer = self._loop.call_at(self.due, self._check)
            return
        self._timeout.reschedule(now)
