"""Pacing loads to the weight store's rate, fleet-wide through one row a store.

Runners that load at once share the store's rate, so that more of them at once only
means more of them away at once. The row lists the loads under way; its version makes
the check and the start of a load one step for all orderers.
"""

from typing import Any

from caperridge.records import Record

MAX_LOAD_TIME_FACTOR = (
    4.0  # a load that takes so many times its share of the rate is given up
)
LOAD_GRACE_S = 60.0
MAX_LOADS = 2  # one reads while the next one drains


class Load(Record):
    """One load under way.

    Attributes:
        target: which runner.
        service: what it serves.
        gb: how much it reads.
        at: when it began, in seconds since the epoch.
        out: it is away from online meanwhile.
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
    """Return the loads that a row's fields list."""
    return [Load.from_map(fields) for fields in (value or {}).get("loads", [])]


def active_loads(loads: list[Load], gb_per_s: float, now: float) -> list[Load]:
    """Return ``loads`` without those whose orderer must have been lost."""
    total = sum(load.gb for load in loads)
    most_s = LOAD_GRACE_S + MAX_LOAD_TIME_FACTOR * total / gb_per_s
    return [load for load in loads if now - load.at < most_s]


def blocked_reason(loads: list[Load], wanted: Load, serving: list[str]) -> str:
    """Return why ``wanted`` may not begin now; empty if it may.

    Args:
        loads: under way at the same store, without that of the wanted target.
        wanted: which would begin.
        serving: other targets of its service that answer online callers now.
    """
    if len(loads) >= MAX_LOADS:
        return f"{len(loads)} loads share the weight store already"
    if not wanted.out:
        return ""
    busy = {load.target for load in loads if load.out}
    if any(load.service == wanted.service for load in loads if load.out):
        return f"another runner of {wanted.service} is away"
    if any(target not in busy for target in serving):
        return ""
    return f"it is the last runner of {wanted.service} that serves"
