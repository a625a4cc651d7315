"""What admission costs with all callers active, and how exact its limits are."""

import time
import tracemalloc
from typing import Any

from caperridge.config.model import Caller
from caperridge.decisions.limit_share import LimitShare
from caperridge.decisions.limits import RateLimiter

CALLERS = 14_000
REQUESTS_A_CALLER = 4
DIGEST = "0" * 64
BURSTS_S = 60.0


def admission_cost() -> dict[str, float]:
    """Return memory and time of one instance's limits with all callers active."""
    callers = [
        Caller(f"team-{n}", DIGEST, requests_per_s=1000.0, tokens_per_s=1e6)
        for n in range(CALLERS)
    ]
    tracemalloc.start()
    limits = RateLimiter()
    for caller in callers:
        limits.admit(caller, 100, LimitShare(23), 0.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    for turn in range(REQUESTS_A_CALLER):
        for number, caller in enumerate(callers):
            limits.admit(caller, 100, LimitShare(23), turn + number / CALLERS)
    took_s = time.perf_counter() - began
    return {
        "callers": CALLERS,
        "mb": round(used / 1e6, 2),
        "us_per_admission": round(took_s / (REQUESTS_A_CALLER * CALLERS) * 1e6, 2),
    }


def limit_error(instances: int) -> dict[str, float]:
    """Return what a greedy caller gets of each limit, as a multiple of it.

    It asks every instance as often as it may, for a minute of simulated time.
    """
    found: dict[str, float] = {}
    for limit in (2, 10, 100):
        caller = Caller("greedy", DIGEST, most_running=limit)
        running = 0
        for place in range(instances):
            limits = RateLimiter()
            while limits.admit(caller, 1, LimitShare(instances, place), 0.0) is None:
                running += 1
        found[f"running_{limit}"] = round(running / limit, 2)
        caller = Caller("greedy", DIGEST, requests_per_s=limit)
        admitted = 0
        for _ in range(instances):
            limits, now = RateLimiter(), 0.0
            while now < BURSTS_S:
                over = limits.admit(caller, 1, LimitShare(instances), now)
                admitted += over is None
                now += over.retry_after_s if over is not None else 0.0
        found[f"rate_{limit}"] = round(admitted / (limit * BURSTS_S), 2)
    return found


def admission() -> dict[str, Any]:
    """Return all figures of this module."""
    figures: dict[str, Any] = dict(admission_cost())
    for instances in (3, 23):
        figures[f"limit_used_{instances}_instances"] = limit_error(instances)
    return figures
