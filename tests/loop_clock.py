"""The clock of an event loop, which a test moves ahead instead of waiting."""

import asyncio
from collections.abc import Callable

# Less than a sweep for silent streams may be late (see targets/silence.py).
STEP_S = 0.1
# Longer than anything waits for a target that hangs.
MOST_S = 120.0
# In a step timers go off, a connection is closed, and its other end hears of it.
TURNS = 10


async def turns(count: int = TURNS) -> None:
    """Let the event loop turn ``count`` times."""
    for _ in range(count):
        await asyncio.sleep(0)


class LoopClock:
    """The running loop's clock; what the test adds comes on top of real time.

    Args:
        still: real time does not count from now on.
        turns: of the loop after each step; where the clock stands still, all that
            happens between two steps has to fit in.
    """

    def __init__(self, still: bool = False, turns: int = TURNS) -> None:
        loop = asyncio.get_running_loop()
        self._time = loop.time
        self._since = loop.time() if still else None
        self._ahead_s = 0.0
        self._turns = turns
        loop.time = self.time

    def time(self) -> float:
        real = self._time() if self._since is None else self._since
        return real + self._ahead_s

    async def ahead(self, seconds: float) -> None:
        """Move the clock ahead in small steps, by ``seconds`` in all."""
        for _ in range(round(seconds / STEP_S)):
            self._ahead_s += STEP_S
            await turns(self._turns)

    async def pause(self, seconds: float) -> None:
        """Let the process stand for ``seconds``: its timers are late by as much."""
        self._ahead_s += seconds
        await turns(self._turns)

    async def ahead_until(self, holds: Callable[[], bool]) -> None:
        """Move the clock ahead in small steps until ``holds()`` is true."""
        for _ in range(int(MOST_S / STEP_S)):
            if holds():
                return
            self._ahead_s += STEP_S
            await turns(self._turns)
        raise AssertionError(f"not within {MOST_S} s of the loop's clock")
