"""Who is served where slots are too few: the gateway's policy against parts of it.

Each arm plays the pattern of :mod:`caperridge.measure.scarcity_model` with the same
arrivals: bursts on two targets, on three and on thirty, and a loss of all instances
half a second before a burst.
"""

from typing import Any

from caperridge.measure.options import Options
from caperridge.measure.scarcity_model import (
    CONSTANTS,
    Outcome,
    Play,
    Policy,
)

SECONDS = 40.0
SEEDS = 4

ARMS = {
    "policy": Policy(),
    "constants": CONSTANTS,
    "queue of three": Policy(queue=3),
    "return after 0.6 s": Policy(return_s=0.6),
    "late requests wait": Policy(late_wait_s=1.5),
    "items by due time": Policy(feasible_first=False),
    "no leases": Policy(lease_s=0.0),
}

# Slots, requests a second in a burst for each slot, and when all are lost.
LOADS = {
    "two targets": (16, 2.0, -1.0),
    "three targets": (24, 1.6, -1.0),
    "thirty targets": (240, 1.6, -1.0),
    "all lost before a burst": (24, 1.45, 26.1),
}


async def run(options: Options) -> dict[str, Any]:
    """Play all arms under all loads; shares of what was asked for."""
    seconds = SECONDS * options.scale(SECONDS)
    figures: dict[str, Any] = {}
    for load, (slots, burst_rate, lost_at) in LOADS.items():
        figures[load] = {}
        for arm, policy in ARMS.items():
            total = Outcome()
            for seed in range(options.seed, options.seed + SEEDS):
                play = Play(policy, slots, seed, lost_at, burst_rate=burst_rate)
                total.add(play.run(seconds))
            figures[load][arm] = _shares(total)
    return figures


def _shares(total: Outcome) -> dict[str, float]:
    return {
        "in_time": round(total.in_time / total.asked, 4),
        "late": round(total.late / total.asked, 4),
        "refused": round(total.refused / total.asked, 4),
        "items_in_time": round(total.items_in_time / total.items, 4),
        "items_cancelled_each": round(total.cancelled / total.items, 2),
    }
