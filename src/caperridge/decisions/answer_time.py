"""Expected time of an answer from its stated size and the pace of its target.

A caller states the most tokens that its answer may have. How many events come for each,
and how fast a target sends them, is observed; targets of one service differ in pace.
"""

from typing import Any

from caperridge.records import Record

# Weight of the newest value in an average and in its deviation.
NEWEST_WEIGHT = 0.1
# Upper values lie this many mean deviations above the average. For normally distributed
# values about one in a hundred exceeds that.
UPPER_DEVIATIONS = 3.0
# The time of answers with fewer events depends more on the prompt than on the pace.
MIN_EVENTS = 10


class Spread(Record):
    """Exponentially weighted moving average of a value, and its mean deviation.

    Attributes:
        usual: the average; 0 while unknown.
        deviation: mean distance of a value from the average.
    """

    __slots__ = ("deviation", "usual")

    def __init__(self, usual: float = 0.0, deviation: float = 0.0) -> None:
        self.usual = usual
        self.deviation = deviation

    def add(self, value: float) -> None:
        """Add the newest value.

        >>> spread = Spread()
        >>> for value in (1.0, 1.0, 2.0):
        ...     spread.add(value)
        >>> round(spread.usual, 2), round(spread.deviation, 2), round(spread.upper, 2)
        (1.1, 0.1, 1.4)
        """
        if not self.usual:
            self.usual = value
            return
        distance = value - self.usual
        self.usual += NEWEST_WEIGHT * distance
        self.deviation += NEWEST_WEIGHT * (abs(distance) - self.deviation)

    @property
    def upper(self) -> float:
        """A value that few exceed; 0 while unknown."""
        return self.usual + UPPER_DEVIATIONS * self.deviation


class AnswerTimes(Record):
    """Size and pace of the answers of one service.

    Attributes:
        events_per_token: events of a complete answer per stated token.
        event_s: seconds between two events, at whichever target.
    """

    __slots__ = ("event_s", "events_per_token")

    def __init__(
        self, events_per_token: Spread | None = None, event_s: Spread | None = None
    ) -> None:
        self.events_per_token = events_per_token or Spread()
        self.event_s = event_s or Spread()

    def record_size(self, tokens: int, events: int) -> None:
        """Record the size of a complete answer.

        Args:
            tokens: the most that its caller stated; 0 if it stated none.
            events: of the whole answer.
        """
        if tokens > 0 and events > 0:
            self.events_per_token.add(events / tokens)

    def longest_s(self, tokens: int, after_event: int, pace: Spread | None) -> float:
        """Return how long an answer may take; 0 while that is unknown.

        Args:
            tokens: the most that its caller stated; 0 if it stated none.
            after_event: number of the last event that its caller has.
            pace: seconds between two events of its target; None if it is unknown, for
                the slowest of the service.

        >>> times = AnswerTimes(Spread(0.2), Spread(0.05, 0.01))
        >>> [round(times.longest_s(300, 0, pace), 2) for pace in (Spread(0.03), None)]
        [1.8, 4.8]
        >>> round(times.longest_s(300, 50, Spread(0.03)), 2)
        0.3
        >>> times.longest_s(0, 0, Spread(0.03))
        0.0
        """
        event_s = pace.upper if pace is not None else self.event_s.upper
        events = max(0.0, tokens * self.events_per_token.upper - after_event)
        return events * event_s

    def merge(self, fields: list[Any]) -> None:
        """Take over what is unknown here from a peer's :meth:`to_fields`.

        A peer of an earlier release sends none.
        """
        for spread, values in (
            (self.events_per_token, fields[:2]),
            (self.event_s, fields[2:4]),
        ):
            if spread.usual or len(values) < 2:
                continue
            if all(type(value) is float and value >= 0 for value in values):
                spread.usual, spread.deviation = values

    def to_fields(self) -> list[float]:
        """Return the fields that :meth:`merge` takes."""
        return [
            self.events_per_token.usual,
            self.events_per_token.deviation,
            self.event_s.usual,
            self.event_s.deviation,
        ]
