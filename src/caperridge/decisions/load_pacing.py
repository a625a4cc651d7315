"""Fleet-wide pacing of model loads to the rate of a weight store.

Runners that load concurrently share the store's rate, so more concurrent loads only
take more runners out of service at once. One row per store lists the active loads;
its version makes the check and the start of a load atomic for all orderers.
"""

from typing import Any

from caperridge.records import Record

MAX_LOAD_TIME_FACTOR = 4.0  # times the expected duration; slower loads are abandoned
LOAD_GRACE_S = 60.0
MAX_LOADS = 2  # one reads while the next runner drains


class Load(Record):
    """One active load.

    Attributes:
        target: id of the runner.
        service: service that it serves.
        gb: gigabytes that it reads.
        at: start time in seconds since the epoch.
        out: whether the runner serves no online requests meanwhile.
    """

    __slots__ = ("at", "gb", "out", "service", "target")

    def __init__(
        self, target: str, service: str, gb: float, at: float, out: bool = False
    ) -> None:
        self.target = target
        self.service = service
        self.gb = gb
        self.at = at
        self.out = out


def parse_loads(value: dict[str, Any] | None) -> list[Load]:
    """Return the loads listed in a row."""
    return [Load.from_map(fields) for fields in (value or {}).get("loads", [])]


def active_loads(loads: list[Load], gb_per_s: float, now: float) -> list[Load]:
    """Return ``loads`` without those whose orderer has presumably failed."""
    total = sum(load.gb for load in loads)
    max_age_s = LOAD_GRACE_S + MAX_LOAD_TIME_FACTOR * total / gb_per_s
    return [load for load in loads if now - load.at < max_age_s]


def blocked_reason(loads: list[Load], wanted: Load, serving: list[str]) -> str:
    """Return why ``wanted`` may not start now; empty if it may.

    Args:
        loads: active loads at the same store, except at the wanted target.
        wanted: the load to start.
        serving: other targets of its service that serve online requests now.
    """
    if len(loads) >= MAX_LOADS:
        return f"{len(loads)} loads share the weight store already"
    if not wanted.out:
        return ""
    loading = {load.target for load in loads if load.out}
    if any(load.service == wanted.service for load in loads if load.out):
        return f"another runner of {wanted.service} is away"
    if any(target not in loading for target in serving):
        return ""
    return f"it is the last runner of {wanted.service} that serves"
