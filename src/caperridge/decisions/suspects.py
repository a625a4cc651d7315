"""Crash history and circuit breaking per suspect: when one is quarantined.

A suspect is one requested content, or all requests that share one part of a prompt.
"""

from caperridge.decisions.suspect_keys import is_first_part, is_part
from caperridge.records import Record

# Two crashes can be coincidence; each further one costs a target for seconds.
QUARANTINE_THRESHOLD = 3
# A request that completed this recently is unlikely to be the cause, even if a small
# fleet crashes as a whole.
GOOD_RUN_TTL_S = 10.0
QUARANTINE_THRESHOLD_AFTER_GOOD_RUN = 6
# Most requests of a route share their first part, so holding it by mistake would refuse
# all of them. No part needs more: a small fleet has few targets left by then, and the
# next crash may come much later.
FIRST_PART_QUARANTINE_THRESHOLD = 5
PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN = 5
SIMULTANEOUS_CRASHES_S = 0.1
# A part of a prompt crashes targets as they begin to write; a run that wrote more
# events than this shows that its parts were not the cause.
MAX_EVENTS_BEFORE_CRASH = 2
# Reports about one target within this time describe the same crash, since a target
# takes seconds to restart.
SAME_CRASH_WINDOW_S = 1.5
# Delays before the first and each further trial of a quarantined request; the last one
# repeats. Each trial may cost a target, so there are at most three in two minutes.
TRIAL_DELAYS_S = (1.0, 10.0, 60.0, 900.0, 3600.0)
# The early first trial is for requests in demand: if a request is quarantined wrongly,
# its callers are refused for one second instead of ten. A request that no caller has
# repeated within this window can wait for the second delay.
FIRST_TRIAL_WINDOW_S = 1.0
# Bounds on the history of each request; entries take about 100 bytes.
MAX_CRASHES = 12
MAX_CALLERS = 12


class LostRun(Record):
    """A run that was active at a target when the target crashed.

    Attributes:
        content: key of the suspect: the requested content, or one of its parts.
        caller: identity of the caller, from the request headers; for a part, the
            content that has it.
        age_s: seconds that the run had been at the target.
        events: number of events that it had produced there.
    """

    __slots__ = ("age_s", "caller", "content", "events")

    def __init__(self, content: str, caller: str, age_s: float, events: int) -> None:
        self.content = content
        self.caller = caller
        self.age_s = age_s
        self.events = events


class Crash(Record):
    """A crash of a target while it ran a request.

    Attributes:
        target: id of the target.
        caller: caller of the lost run; for a part, the content of that run.
        age_s: seconds that the run had been at the target.
        events: number of events that the run had produced.
        at: time of the crash.
        reported_by: instance that observed it.
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
        """Whether a report about ``target`` at time ``at`` describes this crash."""
        return self.target == target and abs(self.at - at) < SAME_CRASH_WINDOW_S


class Hold(Record):
    """The quarantine of a request.

    Attributes:
        callers: callers it applies to; empty for all callers without a good run.
        since: when the request was quarantined.
        trials: number of trials so far; one that was given back counts twice.
        trial_at: earliest time of the next trial.
        given_back: how many were given back; messages between peers leave it out.
    """

    __slots__ = ("callers", "given_back", "since", "trial_at", "trials")

    def __init__(
        self,
        callers: frozenset[str],
        since: float,
        trials: int,
        trial_at: float,
        given_back: int = 0,
    ) -> None:
        self.callers = callers
        self.since = since
        self.trials = trials
        self.trial_at = trial_at
        self.given_back = given_back

    @property
    def _first_trial_until(self) -> float:
        """When the early first trial expires; in the past once a trial was made."""
        return float("-inf") if self.trials else self.trial_at + FIRST_TRIAL_WINDOW_S

    def is_due(self, now: float) -> bool:
        """Whether a trial is allowed at ``now``."""
        return self.next_due(now) <= now

    def next_due(self, now: float) -> float:
        """Return the earliest time of the next trial, as of ``now``."""
        if self.trials or now < self._first_trial_until:
            return self.trial_at
        return self.since + TRIAL_DELAYS_S[1]

    def after_trial(self, now: float) -> "Hold":
        """Return the hold that applies once a trial starts at ``now``."""
        early = now < self._first_trial_until
        trials = self.trials + (1 if early or self.trials else 2)
        return self.replace(trials=trials).with_delay(now)

    def is_later_than(self, hold: "Hold") -> bool:
        """Whether this hold follows from ``hold``."""
        return (self.trials, self.given_back) > (hold.trials, hold.given_back)

    def with_delay(self, now: float) -> "Hold":
        """Return this hold with the next trial as late as its trials require."""
        delay_s = trial_delay_s(self.trials - 2 * self.given_back)
        return self.replace(trial_at=now + delay_s)

    def with_trial_given_back(self, now: float) -> "Hold":
        """Return the hold that applies when a trial ended without an outcome."""
        returned = self.replace(trials=self.trials + 1, given_back=self.given_back + 1)
        return returned.replace(trial_at=now)


class Suspect:
    """The crash history of one content, or of one part of a prompt.

    Attributes:
        content: key of the requested content or of the part.
        is_part: whether it is a part of prompts.
        is_first_part: whether it is a part at their beginning.
        depth: the most parts that were before it in a prompt.
        crashes: oldest first.
        hold: its quarantine; None if it is not quarantined.
    """

    __slots__ = (
        "_cleared_at",
        "_good_run_at_by_caller",
        "content",
        "crashes",
        "depth",
        "hold",
        "is_first_part",
        "is_part",
    )

    def __init__(self, content: str) -> None:
        self.content = content
        self.is_part = is_part(content)
        self.is_first_part = is_first_part(content)
        self.depth = 0
        self._cleared_at = float("-inf")
        self.crashes: list[Crash] = []
        self.hold: Hold | None = None
        self._good_run_at_by_caller: dict[str, float] = {}

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash; return False if it was reported before.

        Of several runs with a part at one crash, the one that wrote most counts.
        """
        for one in self.crashes:
            if one.matches(crash.target, crash.at):
                if self.is_part:
                    one.events = max(one.events, crash.events)
                return False
        self.crashes.append(crash)
        del self.crashes[:-MAX_CRASHES]
        return True

    def remove_crashes(self, shared: list[Crash]) -> None:
        """Remove crashes that are attributed to another request."""
        self.crashes = [
            crash
            for crash in self.crashes
            if not any(other.matches(crash.target, crash.at) for other in shared)
        ]

    @property
    def last_good_run_at(self) -> float:
        """When it last completed for any caller, or was cleared."""
        return max([self._cleared_at, *self._good_run_at_by_caller.values()])

    def last_good_run_at_for(self, caller: str) -> float:
        """Return when it last completed for ``caller``."""
        return self._good_run_at_by_caller.get(caller, float("-inf"))

    def clear(self, at: float) -> None:
        """Discard the hold and all crashes up to ``at``."""
        self._cleared_at = at
        self.hold = None
        self.crashes = [crash for crash in self.crashes if crash.at > at]

    def explains(self, other: "Suspect") -> bool:
        """Whether crashes that both share say nothing more about ``other``.

        A content does not explain the crashes of its parts: other contents with the
        same part may follow.
        """
        return self.is_part or not other.is_part

    def record_good_run(self, caller: str, at: float, now: float) -> None:
        """Record that it completed for ``caller`` at time ``at``."""
        if self.is_part:
            self._record_good_run_of_part(at, now)
            return
        covered = self.is_quarantined_for(caller)
        before = self._good_run_at_by_caller.pop(caller, at)
        self._good_run_at_by_caller[caller] = max(at, before)
        if len(self._good_run_at_by_caller) > MAX_CALLERS:
            del self._good_run_at_by_caller[next(iter(self._good_run_at_by_caller))]
        for_all_callers = self.hold is not None and not self.hold.callers
        if covered and for_all_callers:
            self.crashes = [crash for crash in self.crashes if crash.at > at]
        self.crashes = [
            crash for crash in self.crashes if crash.caller != caller or crash.at > at
        ]
        if covered and self.blamed_callers(now, now) is None:
            self.hold = None

    def _record_good_run_of_part(self, at: float, now: float) -> None:
        """Record that a request with this part completed; it clears all of them."""
        self._cleared_at = max(self._cleared_at, at)
        self.crashes = [crash for crash in self.crashes if crash.at > at]
        if self.hold is None:
            return
        if at >= self.hold.since or self.blamed_callers(now, now) is None:
            self.hold = None

    def merge(self, crashes: list[Crash], hold: Hold | None) -> bool:
        """Merge crashes and a hold from the store or a peer; return whether any is new.

        Entries older than the last good run are ignored.
        """
        changed = False
        for crash in crashes:
            if crash.at > self.last_good_run_at:
                changed = self.add_crash(crash) or changed
        self.crashes.sort(key=_by_time)
        if hold is None or hold.since <= self.last_good_run_at:
            return changed
        if self.hold is not None and not hold.is_later_than(self.hold):
            return changed
        self.hold = hold
        return True

    def is_quarantined_for(self, caller: str) -> bool:
        """Whether the quarantine applies to ``caller``."""
        return self.hold is not None and self._covers(self.hold, caller)

    def _covers(self, hold: Hold, caller: str) -> bool:
        if hold.callers:
            return caller in hold.callers
        return caller not in self._good_run_at_by_caller

    def blamed_callers(self, now: float, by: float) -> frozenset[str] | None:
        """Return the callers whose crashes up to time ``by`` reach the threshold.

        An empty set means all callers, None means no caller.

        A caller whose headers differ in each attempt never appears twice. So crashes of
        several callers are counted together, unless the request completed for any of
        them in between.
        """
        crashes = [crash for crash in self.crashes if crash.at <= by]
        since = [crash for crash in crashes if self._counts(crash)]
        several_callers = len({crash.caller for crash in since}) > 1
        if several_callers and self._count(since, now) >= self._threshold(now):
            return frozenset()
        if self.is_part:
            return None  # a single content is blamed as such
        blamed: set[str] = set()
        for caller in {crash.caller for crash in crashes}:
            count = sum(1 for crash in crashes if crash.caller == caller)
            if count >= _crash_threshold(now - self.last_good_run_at_for(caller)):
                blamed.add(caller)
        return frozenset(blamed) if blamed else None

    def is_near_threshold(self, now: float) -> bool:
        """Whether one more crash may put it in quarantine."""
        since = [crash for crash in self.crashes if self._counts(crash)]
        return self._count(since, now) + 1 >= self._threshold(now)

    def _count(self, crashes: list[Crash], now: float) -> int:
        """Count crashes; of a part that ran well lately, those at once are one.

        Popular parts are at all of many targets that crash in the same moment.
        """
        if not self.is_part or now - self.last_good_run_at >= GOOD_RUN_TTL_S:
            return len(crashes)
        count, began_at = 0, float("-inf")
        for at in sorted(crash.at for crash in crashes):
            if at - began_at < SIMULTANEOUS_CRASHES_S:
                continue
            count, began_at = count + 1, at
        return count

    def _counts(self, crash: Crash) -> bool:
        """Whether a crash counts against all callers."""
        if self.is_part and crash.events > MAX_EVENTS_BEFORE_CRASH:
            return False
        return crash.at > self.last_good_run_at

    def _threshold(self, now: float) -> int:
        """Return the number of crashes at which all callers are refused."""
        if self.is_first_part:
            return FIRST_PART_QUARANTINE_THRESHOLD
        threshold = _crash_threshold(now - self.last_good_run_at)
        if not self.is_part:
            return threshold
        return min(threshold, PART_QUARANTINE_THRESHOLD_AFTER_GOOD_RUN)

    @property
    def evaluation_order(self) -> tuple[bool, bool, int, float, float]:
        """Sort key of evaluations: the narrowest first, then the least progress.

        A part that never ran well comes before contents. If it is to blame at all, it
        was lost with several of them, and one of them alone explains less.
        """
        return (not self.is_unproven_part, *self.width, *self.mean_progress)

    @property
    def is_unproven_part(self) -> bool:
        """Whether it is a part, not a first one, of which no good run is known."""
        unproven = self.last_good_run_at == float("-inf")
        return self.is_part and not self.is_first_part and unproven

    @property
    def width(self) -> tuple[bool, int]:
        """Sort key by width, the narrowest first.

        A later part of a prompt is shared by fewer requests than an earlier one.
        """
        return self.is_part, -self.depth

    @property
    def mean_progress(self) -> tuple[float, float]:
        """Mean events and mean age in seconds of its runs at their crashes.

        Of two requests at the same crashes, the one with less progress is the cause: it
        has just started at each of them, while others are at any point.
        """
        events = sum(crash.events for crash in self.crashes)
        age_s = sum(crash.age_s for crash in self.crashes)
        return events / len(self.crashes), age_s / len(self.crashes)


def _crash_threshold(good_run_age_s: float) -> int:
    """Return the threshold for a request whose last good run is this long ago."""
    return (
        QUARANTINE_THRESHOLD_AFTER_GOOD_RUN
        if good_run_age_s < GOOD_RUN_TTL_S
        else QUARANTINE_THRESHOLD
    )


def trial_delay_s(trials: int) -> float:
    """Return the seconds until the next trial after ``trials`` trials.

    >>> [trial_delay_s(trials) for trials in (0, 1, 9)]
    [1.0, 10.0, 3600.0]
    """
    return TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]


def _by_time(crash: Crash) -> float:
    return crash.at
