"""What is known of a request that was at targets as they ended, and when to hold it."""

from caperridge.records import Record

# Two crashes can be coincidence; each further one costs a target for seconds.
QUARANTINE_THRESHOLD = 3
# A request that ran well so recently is hardly to blame, even if a small fleet crashes
# as a whole.
GOOD_RUN_TTL_S = 10.0
QUARANTINE_THRESHOLD_AFTER_GOOD_RUN = 6
# Reports of one target that come within this time are of one end. A target takes
# seconds to start again.
SAME_CRASH_WINDOW_S = 1.5
# Until a request in quarantine is tried again, from the first time to the last, which
# is kept to. Each try may cost a target, so there are three in two minutes at most.
TRIAL_DELAYS_S = (1.0, 10.0, 60.0, 900.0, 3600.0)
# The first try is for requests that are in demand: were one held that is not to blame,
# its callers would be refused for a second instead of ten. One that nobody has sent
# again by then has time.
FIRST_TRIAL_WINDOW_S = 1.0
# What is remembered of each request, some 100 bytes each.
MAX_CRASHES = 12
MAX_CALLERS = 12


class LostRun(Record):
    """A run that was at a target when that ended.

    Attributes:
        content: what was asked for.
        caller: for whom, by the headers that came with it.
        age_s: how long it had been there.
        events: that it had made there.
    """

    __slots__ = ("age_s", "caller", "content", "events")

    def __init__(self, content: str, caller: str, age_s: float, events: int) -> None:
        self.content = content
        self.caller = caller
        self.age_s = age_s
        self.events = events


class Crash(Record):
    """A target ended while a request was there.

    Attributes:
        target: its id.
        caller: of the run that was there.
        age_s: of that run.
        events: that the run had made.
        at: when.
        reported_by: instance that saw it.
    """

    __slots__ = ("age_s", "at", "caller", "events", "reported_by", "target")

    def __init__(
        self,
        target: str,
        caller: str,
        age_s: float,
        events: int,
        at: float,
        reported_by: str,
    ) -> None:
        self.target = target
        self.caller = caller
        self.age_s = age_s
        self.events = events
        self.at = at
        self.reported_by = reported_by

    def matches(self, target: str, at: float) -> bool:
        """Whether a report of ``target`` at that time is of this end."""
        return self.target == target and abs(self.at - at) < SAME_CRASH_WINDOW_S


class Hold(Record):
    """A request is in quarantine.

    Attributes:
        callers: for whom it is held; empty for all that it was not sound for.
        since: when that was found.
        trials: how often it was tried again.
        trial_at: when it may be tried again.
    """

    __slots__ = ("callers", "since", "trial_at", "trials")

    def __init__(
        self, callers: frozenset[str], since: float, trials: int, trial_at: float
    ) -> None:
        self.callers = callers
        self.since = since
        self.trials = trials
        self.trial_at = trial_at

    @property
    def _first_trial_until(self) -> float:
        """Until when the first try may be made at once; it is over after one."""
        return float("-inf") if self.trials else self.trial_at + FIRST_TRIAL_WINDOW_S

    def is_due(self, now: float) -> bool:
        """Whether the request may be tried again."""
        return self.next_due(now) <= now

    def next_due(self, now: float) -> float:
        """Return from when on the request may be tried again, as of ``now``."""
        if self.trials or now < self._first_trial_until:
            return self.trial_at
        return self.since + TRIAL_DELAYS_S[1]

    def after_trial(self, now: float) -> "Hold":
        """Return the hold from the moment on in which somebody tries again."""
        early = now < self._first_trial_until
        trials = self.trials + (1 if early or self.trials else 2)
        return Hold(self.callers, self.since, trials, now + trial_delay_s(trials))


class Suspect:
    """What is known of one content that was at an end.

    Attributes:
        content: what is asked for.
        ends: oldest first.
        hold: it is in quarantine; else None.
    """

    __slots__ = ("_cleared_at", "_sound_at_by_caller", "content", "crashes", "hold")

    def __init__(self, content: str) -> None:
        self.content = content
        self._cleared_at = float("-inf")
        self.crashes: list[Crash] = []
        self.hold: Hold | None = None
        self._sound_at_by_caller: dict[str, float] = {}

    def add_crash(self, end: Crash) -> bool:
        """Take an end; False if it is known."""
        if any(one.matches(end.target, end.at) for one in self.crashes):
            return False
        self.crashes.append(end)
        del self.crashes[:-MAX_CRASHES]
        return True

    def remove_crashes(self, shared: list[Crash]) -> None:
        """Forget the ends that another request is to blame for."""
        self.crashes = [
            end
            for end in self.crashes
            if not any(other.matches(end.target, end.at) for other in shared)
        ]

    @property
    def last_good_run_at(self) -> float:
        """When it last ran well, for whomever."""
        return max([self._cleared_at, *self._sound_at_by_caller.values()])

    def last_good_run_at_for(self, caller: str) -> float:
        """When it last ran well for ``caller``."""
        return self._sound_at_by_caller.get(caller, float("-inf"))

    def clear(self, at: float) -> None:
        """Hold nothing against it that was known by then."""
        self._cleared_at = at
        self.hold = None
        self.crashes = [end for end in self.crashes if end.at > at]

    def record_good_run(self, caller: str, at: float, now: float) -> None:
        """Note that it ran well for ``caller``, now or a while ago."""
        covered = self.is_quarantined_for(caller)
        before = self._sound_at_by_caller.pop(caller, at)
        self._sound_at_by_caller[caller] = max(at, before)
        if len(self._sound_at_by_caller) > MAX_CALLERS:
            del self._sound_at_by_caller[next(iter(self._sound_at_by_caller))]
        for_all = self.hold is not None and not self.hold.callers
        if covered and for_all:
            self.crashes = [end for end in self.crashes if end.at > at]
        self.crashes = [
            end for end in self.crashes if end.caller != caller or end.at > at
        ]
        if covered and self.blamed_callers(now, now) is None:
            self.hold = None

    def merge(self, ends: list[Crash], hold: Hold | None) -> bool:
        """Take what was kept elsewhere, unless it ran well since; whether it was news.

        Of two holds that with more trials is the later one.
        """
        news = False
        for end in ends:
            if end.at > self.last_good_run_at:
                news = self.add_crash(end) or news
        self.crashes.sort(key=_by_time)
        if hold is None or hold.since <= self.last_good_run_at:
            return news
        if self.hold is not None and self.hold.trials >= hold.trials:
            return news
        self.hold = hold
        return True

    def is_quarantined_for(self, caller: str) -> bool:
        """Whether it is in quarantine for ``caller``."""
        return self.hold is not None and self._covers(self.hold, caller)

    def _covers(self, hold: Hold, caller: str) -> bool:
        if hold.callers:
            return caller in hold.callers
        return caller not in self._sound_at_by_caller

    def blamed_callers(self, now: float, by: float) -> frozenset[str] | None:
        """Return for whom enough targets ended ``by`` then, as of ``now``.

        Empty for all callers, None for nobody.

        Whose headers change from try to try is never seen twice. So ends of several
        callers count together, unless it ran well for any of them meanwhile.
        """
        ends = [end for end in self.crashes if end.at <= by]
        since = [end for end in ends if end.at > self.last_good_run_at]
        several = len({end.caller for end in since}) > 1
        if several and len(since) >= _crash_threshold(now - self.last_good_run_at):
            return frozenset()
        blamed: set[str] = set()
        for caller in {end.caller for end in ends}:
            count = sum(1 for end in ends if end.caller == caller)
            if count >= _crash_threshold(now - self.last_good_run_at_for(caller)):
                blamed.add(caller)
        return frozenset(blamed) if blamed else None

    @property
    def mean_progress(self) -> tuple[float, float]:
        """Of two at the same ends, the one with less of it is to blame.

        One that ends targets had hardly begun at each; others were at any point.
        """
        events = sum(end.events for end in self.crashes)
        age_s = sum(end.age_s for end in self.crashes)
        return events / len(self.crashes), age_s / len(self.crashes)


def _crash_threshold(sound_ago_s: float) -> int:
    """Return how many ends are enough for one that ran well so long ago."""
    return (
        QUARANTINE_THRESHOLD_AFTER_GOOD_RUN
        if sound_ago_s < GOOD_RUN_TTL_S
        else QUARANTINE_THRESHOLD
    )


def trial_delay_s(trials: int) -> float:
    """Return how long a request is held that was tried again so often.

    >>> [trial_delay_s(trials) for trials in (0, 1, 9)]
    [1.0, 10.0, 3600.0]
    """
    return TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]


def _by_time(end: Crash) -> float:
    return end.at
