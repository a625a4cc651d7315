"""One timer, for the soonest moment that was asked for."""

import asyncio
from collections.abc import Callable


class Wake:
    """Calls once, at the soonest of the moments asked for since the last call.

    Args:
        woken: what is called.
    """

    def __init__(self, woken: Callable[[], None]) -> None:
        self._woken = woken
        self._timer: asyncio.TimerHandle | None = None

    def after(self, seconds: float) -> None:
        """Call in ``seconds``, unless that is due sooner already."""
        loop = asyncio.get_running_loop()
        at = loop.time() + seconds
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._due)

    def _due(self) -> None:
        self._timer = None
        self._woken()
