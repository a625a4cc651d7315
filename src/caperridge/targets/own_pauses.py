"""Timeouts that don't count the time in which this process was paused.

A paused process reads nothing, so silence during the pause is no evidence against the
other side.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Ticks detect pauses; each pause is counted too short by at most one interval.
TICK_INTERVAL_S = 0.05
# Shortest gap between ticks that counts as a pause; iterations of a busy event loop
# are shorter.
MIN_PAUSE_S = 0.2


class PauseMonitor:
    """Measures pauses of the process while at least one timeout is active.

    Attributes:
        paused_s: total length of the pauses detected so far, in seconds.
    """

    def __init__(self) -> None:
        self.paused_s = 0.0
        self._last_tick_at = 0.0
        self._active = 0
        self._timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def timeout(
        self, timeout_s: float, max_wait_s: float
    ) -> AsyncIterator["PauseAwareTimeout"]:
        """Limit the time that the block may take.

        Args:
            timeout_s: longest duration from now, in seconds, pauses not counted.
            max_wait_s: longest duration, in seconds, pauses included; at least
                ``timeout_s`` is allowed.

        Raises:
            TimeoutError: in the block, when one of them is exceeded.
        """
        loop = asyncio.get_running_loop()
        if not self._active:
            self._last_tick_at = loop.time()
            self._timer = loop.call_later(TICK_INTERVAL_S, self._tick, loop)
        self._active += 1
        try:
            async with asyncio.timeout(None) as timeout:
                adjusted = PauseAwareTimeout(self, loop, timeout, timeout_s, max_wait_s)
                try:
                    yield adjusted
                finally:
                    adjusted.close()
        finally:
            self._active -= 1
            if not self._active:
                self.close()

    def check(self, now: float) -> None:
        """Add the time since the last tick to ``paused_s`` if it was a pause."""
        gap_s = now - self._last_tick_at
        if gap_s >= MIN_PAUSE_S:
            self.paused_s += gap_s - TICK_INTERVAL_S
            self._last_tick_at = now

    def close(self) -> None:
        """Stop detecting pauses."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        self.check(now)
        self._last_tick_at = now
        self._timer = loop.call_at(now + TICK_INTERVAL_S, self._tick, loop)


class PauseAwareTimeout:
    """The timeout of one block, extended by each pause of the process."""

    def __init__(
        self,
        pauses: PauseMonitor,
        loop: asyncio.AbstractEventLoop,
        timeout: asyncio.Timeout,
        timeout_s: float,
        max_wait_s: float,
    ) -> None:
        now = loop.time()
        self._pauses = pauses
        self._loop = loop
        self._timeout = timeout
        self._due = now + timeout_s
        self._max_due = now + max(timeout_s, max_wait_s)
        pauses.check(now)
        self._paused_before_s = pauses.paused_s
        self._timer = loop.call_at(self._due, self._check)

    @property
    def due(self) -> float:
        """Loop time at which it expires, given the pauses detected so far."""
        paused_s = self._pauses.paused_s - self._paused_before_s
        return min(self._due + paused_s, self._max_due)

    def close(self) -> None:
        """Cancel the timeout."""
        self._timer.cancel()

    def _check(self) -> None:
        now = self._loop.time()
        # This timer may run before the tick that would detect the pause.
        self._pauses.check(now)
        if now < self.due:
            self._timer = self._loop.call_at(self.due, self._check)
            return
        self._timeout.reschedule(now)
