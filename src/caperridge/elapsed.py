"""Clock of an instance (``CLOCK_BOOTTIME``), which includes suspensions of the machine.

The monotonic clock stops while a machine is suspended, but what other machines measure
goes on: leases, deadlines, silence, ages. So the event loop of an instance uses the
clock that includes suspensions. All parts then see a suspension like a pause of the
process: timers are late, and what became due is processed.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from caperridge.records import Record

T = TypeVar("T")

# Not available on every system.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", None)
_CLOCK = time.CLOCK_MONOTONIC if _BOOT_CLOCK is None else _BOOT_CLOCK
COUNTS_SUSPENSIONS = _BOOT_CLOCK is not None
# Two clocks are read one after the other; on a busy machine time passes in between.
MIN_SUSPENSION_S = 0.05


class InstanceLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock includes suspensions of the machine."""

    def time(self) -> float:
        """Return seconds since an arbitrary start, including suspensions."""
        return time.clock_gettime(_CLOCK)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` as :func:`asyncio.run` does, on an :class:`InstanceLoop`."""
    with asyncio.Runner(loop_factory=InstanceLoop) as runner:
        return runner.run(main)


def elapsed_s() -> float:
    """Return the time of the running event loop, or of its clock without one, in s."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return time.clock_gettime(_CLOCK)


class Stall(Record):
    """Period in which this process did not run.

    Attributes:
        stood_s: its duration in seconds.
        suspended_s: part of it in which the machine was suspended, in seconds.
    """

    __slots__ = ("stood_s", "suspended_s")

    def __init__(self, stood_s: float, suspended_s: float) -> None:
        self.stood_s = stood_s
        self.suspended_s = suspended_s


class StallDetector:
    """Detects stalls from late timers, and which part of them were suspensions."""

    def __init__(self) -> None:
        self._ahead_s = self._ahead()

    def observe(self, late_s: float) -> Stall:
        """Return the stall since the last call; a timer was ``late_s`` too late."""
        ahead_s = self._ahead()
        suspended_s = ahead_s - self._ahead_s
        self._ahead_s = ahead_s
        if suspended_s < MIN_SUSPENSION_S:
            suspended_s = 0.0
        return Stall(max(late_s, suspended_s), suspended_s)

    def _ahead(self) -> float:
        """Return how far the event loop's clock is ahead of the monotonic clock."""
        return elapsed_s() - time.monotonic()
