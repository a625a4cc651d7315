"""Quotas of teams over all instances: one sliding window each, kept by an owner.

In any window a team may send its rate times the window, and its burst. Far below that
it is served without asking; what was served is reported to the owner of its window.
Near it each request is granted by the owner first. While instances are lost or cut off
from each other, the owners on all sides together must not grant more than the quota:
the larger side keeps most of it, and the smaller one what it used before. Weighed in
docs/design/tenants.md.
"""

import math
from collections import deque

from caperridge.records import Record

DEFAULT_WINDOW_S = 5.0
# Requests are counted at their arrival here; they were sent a moment before.
WINDOW_MARGIN_S = 0.15
# Above this share of the quota the owner is asked before each request.
SCARCE_USE_RATIO = 0.5
# A window whose history is unknown counts as used up, but for this much: after a loss
# of all instances nobody knows what was served before.
START_TOKENS = 12.0
START_RATIO = 0.06
# A process serves nothing for at least this long around its restart.
RESTART_S = 0.8
# Share of the quota that is left to lost instances, which may go on unheard with what
# they used before.
LOST_USE_RATIO = 0.8
# What the instances on the smaller side of a cut may use: more than before, as demand
# comes in bursts, but no more than their share.
MINORITY_USE_RATIO = 1.6
MINORITY_SHARE_RATIO = 1.0
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
        window_s: length of the window in which both hold.
    """

    __slots__ = ("burst", "rate_per_s", "window_s")

    def __init__(
        self, rate_per_s: float, burst: float, window_s: float = DEFAULT_WINDOW_S
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.window_s = window_s

    @property
    def quota(self) -> float:
        """Requests in one window; at least one."""
        return max(1.0, self.rate_per_s * self.window_s + self.burst)

    @property
    def start_tokens(self) -> float:
        """Requests that a window with an unknown history allows."""
        return min(self.quota, START_TOKENS + START_RATIO * self.quota)


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

    def quota_of(self, limit: QuotaLimit, usual_per_s: float) -> float:
        """Return what the instances in reach may use together in a window.

        Args:
            limit: of the team.
            usual_per_s: the rate that they used before.

        >>> limit = QuotaLimit(10.0, 10.0)
        >>> Reach(1.0, True).quota_of(limit, 2.0), Reach(0.3, True).quota_of(limit, 2.0)
        (60.0, 16.0)
        """
        if not self.is_minority:
            return limit.quota * (1 - LOST_USE_RATIO * (1 - self.ratio))
        usual = usual_per_s * limit.window_s * MINORITY_USE_RATIO
        share = limit.quota * self.ratio
        return max(1.0, min(share * MINORITY_SHARE_RATIO, usual), share / 2)

    def unknown_use(self, limit: QuotaLimit) -> float:
        """Return how much of a window that is new here may have been used elsewhere."""
        if self.settled:
            return 0.0
        return limit.quota - limit.start_tokens


class TeamWindow:
    """The sliding window of one team at its owner.

    More than the quota may be used by requests that were reported once they had been
    served; nothing is granted then until enough of them have left the window.

    Attributes:
        quota: requests that the window allows now.
        used: requests in it.
        updated_at: when it was last used, in seconds.
    """

    __slots__ = (
        "_counts",
        "_is_minority",
        "_next_turn",
        "_start_tokens",
        "_unknown",
        "_unknown_at",
        "_used_before",
        "_usual_by_reporter",
        "_window_s",
        "quota",
        "updated_at",
        "used",
    )

    def __init__(self, limit: QuotaLimit, reach: Reach, now: float) -> None:
        self.quota = limit.quota
        self._start_tokens = limit.start_tokens
        self.used = 0.0
        self.updated_at = now
        self._window_s = limit.window_s
        self._counts: deque[tuple[float, float]] = deque()
        self._next_turn = now
        self._is_minority = reach.is_minority
        self._usual_by_reporter: dict[str, tuple[float, float]] = {}
        # What each reporter used before this window began, and when that was assumed.
        self._used_before: list[tuple[float, float]] = []
        # Counted as used, because nobody knows what was served before.
        self._unknown = reach.unknown_use(limit)
        self._unknown_at = now - RESTART_S

    def update(self, limit: QuotaLimit, reach: Reach, now: float) -> None:
        """Drop what has left the window; the limit applies from now on."""
        self.updated_at = now
        self._window_s = limit.window_s
        self.quota = reach.quota_of(limit, self._usual_per_s(now))
        self._start_tokens = limit.start_tokens
        self._is_minority = reach.is_minority
        before = now - self._window_s - WINDOW_MARGIN_S
        while self._counts and self._counts[0][0] <= before:
            self.used -= self._counts.popleft()[1]
        if self._unknown_at <= before:
            self._unknown = 0.0
        while self._used_before and self._used_before[0][0] <= now - self._window_s:
            del self._used_before[0]

    def settle(
        self, reporter: str, spent: int, wanted: int, usual_per_s: float, now: float
    ) -> int:
        """Count what was served and return how many of the wanted are granted.

        Args:
            reporter: instance that reports.
            spent: requests served without asking; negative if some were given back.
            wanted: requests that wait for a grant.
            usual_per_s: rate of the team at the reporter.
            now: seconds, as of the last :meth:`update`.
        """
        if self._is_minority and reporter not in self._usual_by_reporter:
            self._used_before.append((now, usual_per_s * self._window_s))
        self._usual_by_reporter[reporter] = (usual_per_s, now)
        if spent > 0:
            self._add(now, spent)
        elif spent < 0:
            self._give_back(-spent)
        granted = max(0, min(wanted, math.floor(self.left)))
        if granted:
            self._add(now, granted)
        return granted

    @property
    def left(self) -> float:
        """Requests that the window still allows; may be negative."""
        # On the smaller side of a cut, what was used before leaves the window evenly.
        used_before = sum(
            count * (1 - (self.updated_at - since) / self._window_s)
            for since, count in self._used_before
        )
        # A quota that is reduced for lost instances still allows the start.
        unknown = min(self._unknown, max(0.0, self.quota - self._start_tokens))
        if self._is_minority:
            unknown = 0.0
        return self.quota - self.used - unknown - used_before

    @property
    def scarce(self) -> bool:
        """Whether requests have to be granted first."""
        return self.left < self.quota * (1 - SCARCE_USE_RATIO)

    def turn_interval_s(self) -> float:
        """Return the mean time between two requests that the quota allows."""
        return self._window_s / self.quota

    def take_turn(self, refused: int, now: float) -> float:
        """Return after how many seconds the first of the refused has its turn.

        Turns begin when the oldest requests leave the window, and follow each other at
        the rate of the quota, so that the refused return one after the other.
        """
        oldest = self._counts[0][0] if self._counts else now - self._window_s
        if self._unknown:
            oldest = min(oldest, self._unknown_at)
        free_at = oldest + self._window_s + WINDOW_MARGIN_S
        turn = max(self._next_turn, free_at, now)
        latest = now + MAX_RETRY_AFTER_S
        self._next_turn = min(latest, turn + refused * self.turn_interval_s())
        return min(MAX_RETRY_AFTER_S, turn - now)

    def history(self, now: float) -> list[list[float]]:
        """Return the age and the count of the requests in the window, for its heir."""
        return [[round(now - at, 3), count] for at, count in self._counts]

    @property
    def is_complete(self) -> bool:
        """Whether it holds all that was served, so that nothing is assumed."""
        return not self._unknown

    def inherit(self, history: list[list[float]], complete: bool, now: float) -> None:
        """Take over what another owner counted.

        If that is all that was served, nothing needs to be assumed any more. What the
        other one merely assumed is not taken over.
        """
        if complete:
            self._unknown = 0.0
        counts = [(now - age_s, count) for age_s, count in history]
        self.used += sum(count for _, count in counts)
        self._counts = deque(sorted([*self._counts, *counts]))

    def _add(self, at: float, count: float) -> None:
        self._counts.append((at, count))
        self.used += count

    def _give_back(self, count: float) -> None:
        """Remove the newest requests; they have not run."""
        while count > 0 and self._counts:
            at, newest = self._counts.pop()
            removed = min(count, newest)
            count -= removed
            self.used -= removed
            if newest > removed:
                self._counts.append((at, newest - removed))

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

    def empty(self, now: float) -> None:
        """Drop the tokens that it holds."""
        self._level = 0.0
        self._at = now
