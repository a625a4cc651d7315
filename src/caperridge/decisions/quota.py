"""Quotas of teams over all instances: one bucket for each team, kept by an owner.

Far below its quota a team is served without asking; what was served is reported to the
owner of its bucket afterwards. Near the quota each request is granted by the owner
first. While instances are lost or cut off from each other, the owners on all sides
together must not grant more than the quota: the larger side keeps most of it, and the
smaller one what it used before. Weighed in docs/design/tenants.md.
"""

import math

from caperridge.records import Record

# Below this level, in bursts, the owner is asked before each request.
SCARCE_LEVEL_RATIO = 0.5
# A bucket whose history is unknown starts with this, so that a loss of all instances
# gives no team a second burst.
START_TOKENS = 8.0
START_RATIO = 0.04
START_WINDOW_S = 5.0
# Share of the quota that may be used where a part of the instances is lost: those may
# go on unheard, with what they used before.
LOST_USE_RATIO = 0.6
MINORITY_USE_RATIO = 1.1
# Time constant of the rate that a team usually has at an instance.
USUAL_RATE_S = 5.0
# Instances that report a team are forgotten after this time without a report.
REPORTER_EXPIRY_S = 20.0
MAX_RETRY_AFTER_S = 5.0


class QuotaLimit(Record):
    """Limit of a team over all instances.

    Attributes:
        rate_per_s: requests per second.
        burst: requests beyond the rate that may come at once.
    """

    __slots__ = ("burst", "rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst

    @property
    def capacity(self) -> float:
        """Size of the bucket; at least one request fits."""
        return max(1.0, self.burst)

    @property
    def start_tokens(self) -> float:
        """Level of a bucket whose history is unknown."""
        window = self.rate_per_s * START_WINDOW_S + self.burst
        return min(self.capacity, START_TOKENS + START_RATIO * window)


class Reach(Record):
    """Which part of the instances takes part in the decisions of this one.

    Attributes:
        ratio: of the known instances, this one included, those that are alive.
        settled: no instance has appeared or been lost for a while.
    """

    __slots__ = ("ratio", "settled")

    def __init__(self, ratio: float, settled: bool) -> None:
        self.ratio = ratio
        self.settled = settled

    @property
    def is_minority(self) -> bool:
        """Whether most instances are out of reach."""
        return self.ratio < 0.5

    def rate_of(self, limit: QuotaLimit, usual_per_s: float) -> float:
        """Return the rate that the instances in reach may use together.

        Args:
            limit: of the team.
            usual_per_s: what they used before.

        >>> limit = QuotaLimit(10.0, 10.0)
        >>> Reach(1.0, True).rate_of(limit, 2.0), Reach(0.3, True).rate_of(limit, 2.0)
        (10.0, 2.2)
        """
        if not self.is_minority:
            return limit.rate_per_s * (1 - LOST_USE_RATIO * (1 - self.ratio))
        usual = min(limit.rate_per_s / 2, usual_per_s * MINORITY_USE_RATIO)
        return max(usual, limit.rate_per_s * self.ratio / 2)

    def start_tokens(self, limit: QuotaLimit) -> float:
        """Return the level that a new bucket starts with."""
        if self.is_minority:
            return 1.0
        return limit.capacity if self.settled else limit.start_tokens


class TeamBucket:
    """The bucket of one team at its owner.

    Its level is negative after requests that were reported once they had been served.

    Attributes:
        level: tokens that are left.
        rate: tokens per second that are added.
        capacity: level at which none are added.
        updated_at: when ``level`` was right, in seconds.
    """

    __slots__ = (
        "_next_turn",
        "_usual_by_reporter",
        "capacity",
        "level",
        "rate",
        "updated_at",
    )

    def __init__(self, limit: QuotaLimit, reach: Reach, now: float) -> None:
        self.level = reach.start_tokens(limit)
        self.rate = limit.rate_per_s
        self.capacity = limit.capacity
        self.updated_at = now
        self._next_turn = now
        self._usual_by_reporter: dict[str, tuple[float, float]] = {}

    def update(self, limit: QuotaLimit, reach: Reach, now: float) -> None:
        """Add the tokens since the last update; the limit applies from now on."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.rate = reach.rate_of(limit, self._usual_per_s(now))
        self.capacity = limit.capacity
        self.level = min(self.capacity, self.level + self.rate * elapsed_s)

    def settle(
        self, reporter: str, spent: int, wanted: int, usual_per_s: float, now: float
    ) -> int:
        """Charge what was served and return how many of the wanted are granted.

        Args:
            reporter: instance that reports.
            spent: requests served without asking; negative if some were given back.
            wanted: requests that wait for a grant.
            usual_per_s: rate of the team at the reporter.
            now: seconds, as of the last :meth:`update`.
        """
        self._usual_by_reporter[reporter] = (usual_per_s, now)
        self.level = min(self.capacity, self.level - spent)
        granted = max(0, min(wanted, math.floor(self.level)))
        self.level -= granted
        return granted

    @property
    def scarce(self) -> bool:
        """Whether requests have to be granted first."""
        return self.level < self.capacity * SCARCE_LEVEL_RATIO

    def take_turn(self, refused: int, now: float) -> float:
        """Return after how many seconds the first of the refused has its turn.

        Turns are dealt at the rate of the bucket, so that the refused return one after
        the other.
        """
        if self.rate <= 0:
            return MAX_RETRY_AFTER_S
        missing_s = max(0.0, 1.0 - self.level) / self.rate
        turn = max(self._next_turn, now + missing_s)
        self._next_turn = min(now + MAX_RETRY_AFTER_S, turn + refused / self.rate)
        return min(MAX_RETRY_AFTER_S, turn - now)

    def _usual_per_s(self, now: float) -> float:
        """Return the rate of the team at all instances that reported lately."""
        total = 0.0
        for reporter, (rate, at) in list(self._usual_by_reporter.items()):
            if now - at > REPORTER_EXPIRY_S:
                del self._usual_by_reporter[reporter]
                continue
            total += rate
        return total


class UsualRate:
    """Rate of a team's requests at one instance, smoothed over some seconds.

    Attributes:
        frozen: the rate is kept, because what is served now is limited by it.
    """

    __slots__ = ("_at", "_rate", "frozen")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now
        self.frozen = False

    def at(self, now: float) -> float:
        """Return the rate in requests per second."""
        if self.frozen:
            return self._rate
        return self._rate * math.exp(-max(0.0, now - self._at) / USUAL_RATE_S)

    def add(self, now: float) -> None:
        """Count a request."""
        if self.frozen:
            return
        self._rate = self.at(now) + 1 / USUAL_RATE_S
        self._at = now

    def freeze(self, now: float) -> None:
        """Keep the rate as it is now."""
        self._rate = self.at(now)
        self._at = now
        self.frozen = True

    def thaw(self, now: float) -> None:
        """Follow the requests again."""
        if self.frozen:
            self.frozen = False
            self._at = now


class LocalBucket:
    """A token bucket of one instance, for what it may serve without its peers."""

    __slots__ = ("_at", "_level")

    def __init__(self, level: float, now: float) -> None:
        self._level = level
        self._at = now

    def take(self, rate: float, capacity: float, now: float) -> bool:
        """Take one token if there is one.

        Args:
            rate: tokens per second since the last call.
            capacity: most tokens that it holds.
            now: seconds.
        """
        self._level = min(capacity, self._level + rate * max(0.0, now - self._at))
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
