"""Fault injection settings, counters and rate limits of the platform stand-in."""

from caperridge.records import Record


class Faults(Record):
    """Faults of the platform, each of which can be switched on or off at any time.

    Attributes:
        outage: all calls are refused, or hang if ``silent``.
        silent: calls during an outage hang instead of being refused.
        slow_s: delay added to each call, in seconds.
        lose_answers: ratio of writes that take effect but whose answer is lost.
        cut_zones: availability zones whose calls do not arrive.
        list_lag_s: delay of changes to the list of members, in seconds.
        writes_per_s: rate limit of row writes; 0 for none.
        reads_per_s: rate limit of row reads; 0 for none.
    """

    __slots__ = (
        "cut_zones",
        "list_lag_s",
        "lose_answers",
        "outage",
        "reads_per_s",
        "silent",
        "slow_s",
        "writes_per_s",
    )

    def __init__(
        self,
        outage: bool = False,
        silent: bool = False,
        slow_s: float = 0.0,
        lose_answers: float = 0.0,
        cut_zones: list[str] | None = None,
        list_lag_s: float = 0.0,
        writes_per_s: float = 0.0,
        reads_per_s: float = 0.0,
    ) -> None:
        self.outage = outage
        self.silent = silent
        self.slow_s = slow_s
        self.lose_answers = lose_answers
        self.cut_zones = cut_zones or []
        self.list_lag_s = list_lag_s
        self.writes_per_s = writes_per_s
        self.reads_per_s = reads_per_s


class Counters(Record):
    """Numbers of calls and row and object accesses, for measurements."""

    __slots__ = ("calls", "object_reads", "object_writes", "row_reads", "row_writes")

    def __init__(
        self,
        calls: int = 0,
        row_writes: int = 0,
        row_reads: int = 0,
        object_writes: int = 0,
        object_reads: int = 0,
    ) -> None:
        self.calls = calls
        self.row_writes = row_writes
        self.row_reads = row_reads
        self.object_writes = object_writes
        self.object_reads = object_reads


class TokenBucket:
    """A token bucket with a capacity of one second; callers pass the time."""

    __slots__ = ("_level", "_updated_at")

    def __init__(self) -> None:
        self._level = 0.0
        self._updated_at = float("-inf")

    def take(self, amount: float, rate: float, now: float) -> bool:
        """Take ``amount`` tokens if available; return whether it did.

        Args:
            amount: tokens to take; a full bucket allows any amount.
            rate: tokens added per second, and the capacity; 0 for no limit.
            now: current time in seconds.
        """
        if rate <= 0:
            return True
        self._level = min(rate, self._level + (now - self._updated_at) * rate)
        self._updated_at = now
        if self._level < amount and self._level < rate:
            return False
        self._level -= amount
        return True
