"""Ways to keep a team's quota over all instances, compared on the same demand."""

from collections.abc import Callable
from typing import Any

from caperridge.decisions.quota import QuotaLimit
from caperridge.measure.options import Options
from caperridge.measure.quota_model import (
    REPORT_BYTES,
    Arm,
    EqualShares,
    OwnedWindow,
    Scenario,
    ToldCounts,
    World,
)

SECONDS = 20.8
WINDOW_S = 5.0
OVERRUN_RATIO = 0.1
SLACK = 20
LIMITS = (QuotaLimit(2.0, 2.0), QuotaLimit(22.0, 22.0))
FLEETS = (10, 63, 390)
SEEDS = 2

ARMS_BY_NAME: dict[str, Callable[[World], Arm]] = {
    "equal shares": EqualShares,
    "told counts": ToldCounts,
    "owner, always": lambda world: OwnedWindow(world, always=True),
    "owner, near limit": lambda world: OwnedWindow(world, always=False),
}


def scenarios(instances: int) -> dict[str, Scenario]:
    """Return what is played with as many instances."""
    usual = 1 / 1.6
    return {
        "usual": Scenario(instances, usual),
        "zone cut": Scenario(instances, usual, cut=(8.0, 14.0)),
        "2 times": Scenario(instances, 2.0),
        "5 times": Scenario(instances, 5.0),
        "20 times": Scenario(instances, 20.0),
        "5 times, zone cut": Scenario(instances, 5.0, cut=(8.0, 14.0)),
        "5 times, owner lost": Scenario(instances, 5.0, owner_lost_at=8.0),
        "5 times, all lost": Scenario(instances, 5.0, all_lost_at=8.0),
        "5 times, one frozen": Scenario(instances, 5.0, frozen=(8.0, 11.0)),
    }


async def run(options: Options) -> dict[str, Any]:
    """Play all arms, fleets and scenarios."""
    seconds = SECONDS * min(1.0, options.scale(SECONDS))
    seeds = range(options.seed, options.seed + SEEDS)
    figures: dict[str, Any] = {}
    for instances in FLEETS:
        for name, scenario in scenarios(instances).items():
            rows = figures.setdefault(f"{instances} instances", {})
            rows[name] = {
                arm: _figures(scenario, make, seconds, seeds)
                for arm, make in ARMS_BY_NAME.items()
            }
    return figures


def _figures(
    scenario: Scenario, make: Callable[[World], Arm], seconds: float, seeds: range
) -> dict[str, float]:
    """Return the worst over limits and seeds, and means of what it costs."""
    over = refused = wanted = messages = 0.0
    waits_s: list[float] = []
    for limit in LIMITS:
        for seed in seeds:
            world = World(scenario, limit, seed)
            world.run(make(world), seconds)
            over = max(over, most_in_window(world.served_at) / allowed(limit))
            refused += world.refused
            wanted += world.refused + len(world.served_at)
            messages += world.messages / len(LIMITS) / len(seeds)
            waits_s += world.waits_s
    waits_s.sort()
    per_instance = messages / seconds / scenario.instances
    return {
        "most_of_allowed": round(over, 2),
        "refused_ratio": round(refused / wanted, 4),
        "added_p99_ms": round(waits_s[int(len(waits_s) * 0.99)] * 1e3, 1),
        "messages_per_s": round(per_instance, 3),
        "bytes_per_s": round(per_instance * REPORT_BYTES, 1),
    }


def allowed(limit: QuotaLimit) -> float:
    """Return how many requests any window may hold."""
    quota = limit.rate_per_s * WINDOW_S + limit.burst
    return quota * (1 + OVERRUN_RATIO) + SLACK


def most_in_window(times: list[float]) -> int:
    """Return how many of ``times`` fall into one window at most."""
    ordered = sorted(times)
    first = most = 0
    for last, time in enumerate(ordered):
        while time - ordered[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
