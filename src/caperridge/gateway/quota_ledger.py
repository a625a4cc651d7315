"""The buckets of the teams that this instance owns."""

import asyncio
from collections.abc import Callable
from typing import Any

from caperridge.decisions.quota import QuotaLimit, Reach, TeamBucket
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.records import Record

# After a change of the members, buckets that are new here may have a history elsewhere.
SETTLING_S = 10.0
# A bucket that nobody reported for this long is full.
IDLE_EXPIRY_S = 60.0
MAX_DUMPED_TEAMS = 10


class Verdict(Record):
    """The owner's answer for one team; see :class:`QuotaVerdict`."""

    __slots__ = ("granted", "level", "scarce", "step_s", "wait_s")

    def __init__(
        self, granted: int, scarce: bool, level: float, wait_s: float, step_s: float
    ) -> None:
        self.granted = granted
        self.scarce = scarce
        self.level = level
        self.wait_s = wait_s
        self.step_s = step_s


class QuotaLedger:
    """Settles reports on the buckets of teams.

    Args:
        mesh: of peers; says which part of them is alive.
        limit_of: returns the limit of a team; None if it has none.
        seeds: number of instances that were known before any was heard.
    """

    def __init__(
        self, mesh: Mesh, limit_of: Callable[[str], QuotaLimit | None], seeds: int
    ) -> None:
        self._mesh = mesh
        self._limit_of = limit_of
        self._seeds = seeds
        self._buckets_by_team: dict[str, TeamBucket] = {}
        self._changed_at: float | None = None
        mesh.on_appear(lambda member: self._members_changed())
        mesh.on_lost(lambda member: self._members_changed())

    def settle(
        self, reporter: str, team: str, spent: int, wanted: int, usual_per_s: float
    ) -> Verdict:
        """Charge what was served, and grant what is wanted as far as there is any."""
        limit = self._limit_of(team)
        if limit is None:
            return Verdict(wanted, False, 0.0, 0.0, 0.0)
        now = asyncio.get_running_loop().time()
        bucket = self._bucket(team, limit, now)
        granted = bucket.settle(reporter, spent, wanted, usual_per_s, now)
        refused = wanted - granted
        wait_s = bucket.take_turn(refused, now) if refused else 0.0
        step_s = 1 / bucket.rate if bucket.rate > 0 else 0.0
        return Verdict(granted, bucket.scarce, bucket.level, wait_s, step_s)

    @property
    def is_minority(self) -> bool:
        """Whether most instances are out of reach."""
        return self._reach(asyncio.get_running_loop().time()).is_minority

    def expire(self, now: float) -> None:
        """Drop the buckets that nobody uses."""
        for team, bucket in list(self._buckets_by_team.items()):
            if now - bucket.updated_at > IDLE_EXPIRY_S:
                del self._buckets_by_team[team]

    def state(self) -> dict[str, Any]:
        """Return the emptiest buckets, for operators."""
        buckets = sorted(
            self._buckets_by_team.items(),
            key=lambda one: one[1].level / one[1].capacity,
        )
        return {
            "buckets": len(buckets),
            "emptiest": {
                team: {
                    "level": round(bucket.level, 1),
                    "capacity": bucket.capacity,
                    "rate_per_s": round(bucket.rate, 2),
                }
                for team, bucket in buckets[:MAX_DUMPED_TEAMS]
            },
        }

    def _bucket(self, team: str, limit: QuotaLimit, now: float) -> TeamBucket:
        reach = self._reach(now)
        bucket = self._buckets_by_team.get(team)
        if bucket is None:
            bucket = self._buckets_by_team[team] = TeamBucket(limit, reach, now)
        bucket.update(limit, reach, now)
        return bucket

    def _reach(self, now: float) -> Reach:
        if self._changed_at is None:
            self._changed_at = now
        known = max(len(self._mesh.members_by_id) + 1, self._seeds)
        alive = len(self._mesh.alive()) + 1
        return Reach(alive / known, now - self._changed_at > SETTLING_S)

    def _members_changed(self) -> None:
        self._changed_at = asyncio.get_running_loop().time()
