"""The one clock of an instance: it counts while the machine is suspended.

The steady clock stands still while a machine is suspended, and what others measure goes
on: leases, deadlines, silence, ages. So the event loop of an instance runs by the clock
that counts, and a suspension is to all parts what a pause of the process is: timers
are late, and what is due is seen to be due.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from caperridge.records import Record

T = TypeVar("T")

# Not every system has it.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)
_CLOCK = time.CLOCK_MONOTONIC if _BOOT_CLOCK is None else _BOOT_CLOCK
COUNTS_SUSPENSIONS = _BOOT_CLOCK is not None
# Two clocks are read one after the other; a busy machine comes between.
SMALLEST_S = 0.05


class InstanceLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock counts suspensions of the machine."""

    def time(self) -> float:
        """Return seconds since some moment, those of suspensions included."""
        return time.clock_gettime(_CLOCK)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` as :func:`asyncio.run` does, by the clock that counts."""
    with asyncio.Runner(loop_factory=InstanceLoop) as runner:
        return runner.run(main)


def elapsed_s() -> float:
    """Return what the running loop's clock shows, or would show, in seconds."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return time.clock_gettime(_CLOCK)


class Standstill(Record):
    """A time in which this process did nothing.

    Attributes:
        stood_s: how long.
        suspended_s: part of it in which the machine was suspended.
    """

    __slots__ = ("stood_s", "suspended_s")

    def __init__(self, stood_s: float, suspended_s: float) -> None:
        self.stood_s = stood_s
        self.suspended_s = suspended_s


class StandstillWatch:
    """Finds out how late a timer was, and how much of that the steady clock missed."""

    def __init__(self) -> None:
        self._ahead_s = self._ahead()

    def look(self, late_s: float) -> Standstill:
        """Return what the lateness of a timer tells, since the last look."""
        ahead_s = self._ahead()
        suspended_s = ahead_s - self._ahead_s
        self._ahead_s = ahead_s
        if suspended_s < SMALLEST_S:
            suspended_s = 0.0
        return Standstill(max(late_s, suspended_s), suspended_s)

    def _ahead(self) -> float:
        """Return by how much the loop's clock is ahead of the steady one."""
        return elapsed_s() - time.monotonic()
