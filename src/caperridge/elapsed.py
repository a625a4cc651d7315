"""The clock for spans that others measure too: it counts while a machine is suspended.

The steady clock, which the event loop uses, stands still while a machine is suspended.
What is remembered for a time must not be younger afterwards than it is.
"""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def elapsed_s() -> float:
    """Return seconds since some moment, those of suspensions included."""
    return time.clock_gettime(_CLOCK)
