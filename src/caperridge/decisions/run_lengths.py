"""How long requests and items run, learnt from those that ran.

What a caller declares of an item's size is a bound, not its length: how many events
come of a declared token, and how fast they come, differs between services and with how
full their targets are. All is learnt here, and newer runs replace older ones.
"""

from typing import Any

from caperridge.records import Record

# Weight of the newest run. After ten runs two thirds of what is known is theirs: they
# take some seconds, in which a service's targets may come or go.
NEWEST_WEIGHT = 0.1
# Weight of a run that is shorter than the longest of late. So small that the longest is
# remembered over some fifty runs.
LONGEST_DECAY = 0.02
# Runs with fewer events tell more of the prompt than of the pace.
MIN_EVENTS = 5
# What peers tell each other, in this order.
SHARED_FIELDS = ("online_s", "events_per_token", "event_s", "stretch", "longest_s")


class RunStatistics(Record):
    """What is known of the runs of one service; 0 where nothing is yet.

    Attributes:
        online_s: that an online request takes its slot.
        events_per_token: events of a whole item for each token that it declared.
        event_s: between two events of an item.
        stretch: time from an item's first start to its end, over the time that it ran;
            the rest it gave way.
        longest_s: that an online request of late took, its wait at the target included.
    """

    __slots__ = ("event_s", "events_per_token", "longest_s", "online_s", "stretch")

    def __init__(
        self,
        online_s: float = 0.0,
        events_per_token: float = 0.0,
        event_s: float = 0.0,
        stretch: float = 0.0,
        longest_s: float = 0.0,
    ) -> None:
        self.online_s = online_s
        self.events_per_token = events_per_token
        self.event_s = event_s
        self.stretch = stretch
        self.longest_s = longest_s

    def record_answer(self, events: int, took_s: float, queued: bool = False) -> None:
        """Learn from an online request that ended well.

        Args:
            events: that it made.
            took_s: from its sending to its end.
            queued: it may have waited for a slot at its target.
        """
        if events < MIN_EVENTS:
            return
        if not queued:
            self.online_s = _moving_average(self.online_s, took_s)
        faded_s = self.longest_s + LONGEST_DECAY * (took_s - self.longest_s)
        self.longest_s = max(took_s, faded_s)

    def record_run(self, events: int, took_s: float) -> None:
        """Learn from a run of an item that made so many events."""
        if events >= MIN_EVENTS and took_s > 0:
            self.event_s = _moving_average(self.event_s, took_s / events)

    def record_item(self, tokens: int, events: int, since_start_s: float) -> None:
        """Learn from an item whose output is whole.

        Args:
            tokens: that it declared.
            events: of its output.
            since_start_s: since its first run began; 0 if that was elsewhere.
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
        """Return how long an item is likely to take; 0 as long as nothing is known.

        Args:
            tokens: that it declared.
            events: that it has made.

        >>> statistics = RunStatistics(events_per_token=0.1, event_s=0.025, stretch=1.2)
        >>> [statistics.remaining_s(2000, events) for events in (0, 150, 250)]
        [6.0, 1.5, 0.0]
        """
        left = max(0.0, tokens * self.events_per_token - events)
        return left * self.event_s * max(1.0, self.stretch)

    def merge(self, fields: list[Any]) -> None:
        """Take what a peer knows where nothing is known here.

        A peer of another release may tell more, less or something else.
        """
        for name, value in zip(SHARED_FIELDS, fields, strict=False):
            if not getattr(self, name) and type(value) is float and value > 0:
                setattr(self, name, value)

    def to_fields(self) -> list[float]:
        """Return what :meth:`told` takes."""
        return [getattr(self, name) for name in SHARED_FIELDS]


def _moving_average(known: float, newest: float) -> float:
    """Return a mean in which ``newest`` has its share; the first stands alone."""
    if not known:
        return newest
    return known + NEWEST_WEIGHT * (newest - known)
