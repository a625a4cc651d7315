"""Ending streams on which nothing came for too long, with one timer for them all.

The HTTP library's own limit cancels and sets a timer for each read, which costs more
than checking the event that was read. Here a read only notes the time.
"""

import asyncio
from collections.abc import Callable

SWEEP_S = 0.25


class Watched:
    """One stream under watch.

    Attributes:
        heard_at: when something last came, by the loop's clock.
        limit_s: longest silence from then on.
        end: called once when it lasts longer.
    """

    __slots__ = ("end", "heard_at", "limit_s")

    def __init__(
        self, heard_at: float, limit_s: float, end: Callable[[], None]
    ) -> None:
        self.heard_at = heard_at
        self.limit_s = limit_s
        self.end = end


class SilenceWatch:
    """Watches the streams of one client; late by at most ``SWEEP_S``."""

    def __init__(self) -> None:
        self._watched: set[Watched] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, limit_s: float, end: Callable[[], None]) -> Watched:
        """Watch a stream from now on."""
        loop = asyncio.get_running_loop()
        watched = Watched(loop.time(), limit_s, end)
        self._watched.add(watched)
        if self._timer is None:
            self._set_timer(loop)
        return watched

    def remove(self, watched: Watched) -> None:
        """Watch the stream no longer."""
        self._watched.discard(watched)

    def sweep(self, now: float, due: float) -> None:
        """End every stream that has been silent for too long at ``now``.

        A sweep that comes long after it was ``due`` ends none: the process was
        paused, and what came meanwhile has not been read yet.
        """
        if now - due > SWEEP_S:
            return
        for watched in list(self._watched):
            if now - watched.heard_at <= watched.limit_s:
                continue
            self._watched.discard(watched)
            watched.end()

    def close(self) -> None:
        """Watch nothing any more."""
        self._watched.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        due = loop.time() + SWEEP_S
        self._timer = loop.call_at(due, self._sweep, loop, due)

    def _sweep(self, loop: asyncio.AbstractEventLoop, due: float) -> None:
        self._timer = None
        self.sweep(loop.time(), due)
        if self._watched:
            self._set_timer(loop)
