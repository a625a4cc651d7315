"""Run-time statistics of requests and items, as exponentially weighted moving averages.

The size that a caller declares for an item is a bound, not its length. The number of
events per declared token and their pace differ between services and with the load of
their targets, so both are estimated from completed runs, newer ones weighing more.
"""

from typing import Any

from caperridge.decisions.answer_time import AnswerTimes
from caperridge.records import Record

# Weight of the newest run. Ten runs determine two thirds of an average; they take some
# seconds, during which targets of a service may be added or removed.
NEWEST_WEIGHT = 0.1
# Weight of a run that is shorter than the longest recent one; small enough to remember
# the longest over about fifty runs.
LONGEST_DECAY = 0.02
# The time of runs with fewer events depends more on the prompt than on the pace.
MIN_EVENTS = 5
# Fields that are sent to peers, in this order, before those of ``answers``.
SHARED_FIELDS = ("online_s", "events_per_token", "event_s", "stretch", "longest_s")


class RunStatistics(Record):
    """Statistics of the runs of one service; fields are 0 while unknown.

    Attributes:
        online_s: seconds that an online request occupies a slot.
        events_per_token: events of a complete item per declared token.
        event_s: seconds between two events of an item.
        stretch: ratio of the time from an item's first start to its completion to its
            run time; it was preempted for the rest.
        longest_s: seconds of the longest recent online request, including its wait at
            the target.
        answers: size and pace of answers to online requests.
    """

    __slots__ = (
        "answers",
        "event_s",
        "events_per_token",
        "longest_s",
        "online_s",
        "stretch",
    )

    def __init__(
        self,
        online_s: float = 0.0,
        events_per_token: float = 0.0,
        event_s: float = 0.0,
        stretch: float = 0.0,
        longest_s: float = 0.0,
        answers: AnswerTimes | None = None,
    ) -> None:
        self.answers = answers or AnswerTimes()
        self.online_s = online_s
        self.events_per_token = events_per_token
        self.event_s = event_s
        self.stretch = stretch
        self.longest_s = longest_s

    def record_answer(self, events: int, took_s: float, queued: bool = False) -> None:
        """Record an online request that completed.

        Args:
            events: number of its events.
            took_s: seconds from sending it to its completion.
            queued: whether it may have waited for a slot at its target.
        """
        if events < MIN_EVENTS:
            return
        if not queued:
            self.online_s = _moving_average(self.online_s, took_s)
        decayed_s = self.longest_s + LONGEST_DECAY * (took_s - self.longest_s)
        self.longest_s = max(took_s, decayed_s)

    def record_run(self, events: int, took_s: float) -> None:
        """Record a run of an item that produced ``events`` events."""
        if events >= MIN_EVENTS and took_s > 0:
            self.event_s = _moving_average(self.event_s, took_s / events)

    def record_item(self, tokens: int, events: int, since_start_s: float) -> None:
        """Record an item whose output is complete.

        Args:
            tokens: number of declared tokens.
            events: number of events of its output.
            since_start_s: seconds since its first run started; 0 if that was at another
                instance.
        """
        if tokens > 0 and events > 0:
            self.events_per_token = _moving_average(
                self.events_per_token, events / tokens
            )
        ran_s = events * self.event_s
        if since_start_s and ran_s:
            self.stretch = _moving_average(
                self.stretch, max(1.0, since_start_s / ran_s)
            )

    def remaining_s(self, tokens: int, events: int) -> float:
        """Return the expected remaining seconds of an item; 0 while unknown.

        Args:
            tokens: number of declared tokens.
            events: number of events produced so far.

        >>> statistics = RunStatistics(events_per_token=0.1, event_s=0.025, stretch=1.2)
        >>> [statistics.remaining_s(2000, events) for events in (0, 150, 250)]
        [6.0, 1.5, 0.0]
        """
        remaining = max(0.0, tokens * self.events_per_token - events)
        return remaining * self.event_s * max(1.0, self.stretch)

    def merge(self, fields: list[Any]) -> None:
        """Take over a peer's values of fields that are unknown here.

        A peer of another release may send more, fewer or other fields.
        """
        for name, value in zip(SHARED_FIELDS, fields, strict=False):
            if not getattr(self, name) and type(value) is float and value > 0:
                setattr(self, name, value)
        self.answers.merge(fields[len(SHARED_FIELDS) :])

    def to_fields(self) -> list[float]:
        """Return the fields that :meth:`merge` takes."""
        fields = [getattr(self, name) for name in SHARED_FIELDS]
        return fields + self.answers.to_fields()


def _moving_average(known: float, newest: float) -> float:
    """Return the moving average updated with ``newest``; 0 means no average yet."""
    if not known:
        return newest
    return known + NEWEST_WEIGHT * (newest - known)
