"""The switches, counters and limits of the platform stand-in."""

from caperridge.records import Record


class Faults(Record):
    """The switches; each may be flipped at any moment.

    Attributes:
        outage: every call is refused, or hangs if ``silent``.
        silent: during an outage nothing answers, rather than refusing.
        slow_s: added to each call, in seconds.
        lose_answers: share of writes that take effect and answer unknown.
        cut_zones: availability zones whose calls do not arrive.
        list_lag_s: how late the list of members follows.
        writes_per_s: row writes a second before calls are throttled; 0: no limit.
        reads_per_s: the same for reads.
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
    """What the platform was asked to do, for measurements."""

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


class Bucket:
    """A token bucket of one second's worth, filled by the clock it is given."""

    __slots__ = ("_level", "_seen")

    def __init__(self) -> None:
        self._level = 0.0
        self._seen = float("-inf")

    def take(self, amount: float, rate: float, now: float) -> bool:
        """Take ``amount`` at ``now`` if ``rate`` a second allows; 0: no limit."""
        if rate <= 0:
            return True
        self._level = min(rate, self._level + (now - self._seen) * rate)
        self._seen = now
        if self._level < amount and self._level < rate:
            return False
        self._level -= amount
        return True
