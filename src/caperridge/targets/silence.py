"""Read idle timeouts for many streams, checked by one periodic timer.

The HTTP library's own read timeout cancels and sets a timer for each read, which costs
more than checking the event that was read. Here a read only records the time.
"""

import asyncio
from collections.abc import Callable

SWEEP_INTERVAL_S = 0.25


class StreamTimeout:
    """The idle timeout of one stream.

    Attributes:
        last_received_at: when data last arrived, by the loop's clock.
        timeout_s: longest time without data from then on.
        callback: called once when that time is exceeded.
        may_end: asked before each time; the stream goes on if it returns False.
    """

    __slots__ = ("callback", "last_received_at", "may_end", "timeout_s")

    def __init__(
        self,
        last_received_at: float,
        timeout_s: float,
        callback: Callable[[], None],
        may_end: Callable[[], bool],
    ) -> None:
        self.last_received_at = last_received_at
        self.timeout_s = timeout_s
        self.callback = callback
        self.may_end = may_end


def always() -> bool:
    """Allow a stream to be ended."""
    return True


class IdleTimeouts:
    """Idle timeouts of one client's streams; late by at most ``SWEEP_INTERVAL_S``."""

    def __init__(self) -> None:
        self._timeouts: set[StreamTimeout] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(
        self,
        timeout_s: float,
        callback: Callable[[], None],
        may_end: Callable[[], bool] = always,
    ) -> StreamTimeout:
        """Start the timeout of a stream now; see :class:`StreamTimeout`."""
        loop = asyncio.get_running_loop()
        timeout = StreamTimeout(loop.time(), timeout_s, callback, may_end)
        self._timeouts.add(timeout)
        if self._timer is None:
            self._set_timer(loop)
        return timeout

    def remove(self, timeout: StreamTimeout) -> None:
        """Remove the timeout of a stream."""
        self._timeouts.discard(timeout)

    def sweep(self, now: float, due: float) -> None:
        """End each stream that has been idle for longer than its timeout at ``now``.

        A sweep that runs long after it was ``due`` ends none: the process was
        paused, and data that arrived meanwhile has not been read yet.
        """
        if now - due > SWEEP_INTERVAL_S:
            return
        for timeout in list(self._timeouts):
            if now - timeout.last_received_at <= timeout.timeout_s:
                continue
            if not timeout.may_end():
                continue
            self._timeouts.discard(timeout)
            timeout.callback()

    def close(self) -> None:
        """Remove all timeouts and stop the timer."""
        self._timeouts.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        due = loop.time() + SWEEP_INTERVAL_S
        self._timer = loop.call_at(due, self._sweep, loop, due)

    def _sweep(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        self._timer = None
        self.sweep(loop.time(), due)
        if self._timeouts:
            self._set_timer(loop)
