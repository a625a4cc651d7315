"""Which requests end the targets that run them, and are sent to no other for a time.

A request that crashes whatever runs it does so at every try. When a target ends, all
that ran there is suspect, and most of it is not to blame. What tells them apart: the
one to blame is there at every end and never ends well, and it has just begun.

Three ends without a good run between them put a request in quarantine. From then on one
instance of all tries it again, ever more seldom, and one good run clears it.
"""

from collections.abc import Iterable

from caperridge.records import Record

# Ends under a request that are enough. Two happen to requests that are moved while
# targets end by themselves; each one more costs a target for some seconds.
ENOUGH_ENDS = 3
# One that ran well so lately can hardly be to blame. Only if as many targets end under
# it as would if all of a small fleet failed at once, something has changed.
SOUND_FOR_S = 10.0
ENOUGH_ENDS_THOUGH_SOUND = 6
# All instances tell of one end within some milliseconds, also while it is judged who
# of two that were at the same ends is to blame.
SETTLE_S = 0.05
# Reports of one target that come within this time are of one end. A target takes
# seconds to start again.
ONE_END_S = 1.5
# Until a request in quarantine is tried again, from the first time to the last, which
# is kept to. Each try may cost a target, so there are three in two minutes at most.
TRIAL_PAUSES_S = (1.0, 10.0, 60.0, 900.0, 3600.0)
# The first try is for requests that are in demand: were one held that is not to blame,
# its callers would be refused for a second instead of ten. One that nobody has sent
# again by then has time.
EARLY_FOR_S = 1.0
# Ends that are older say nothing of today's targets.
FORGET_S = 900.0
# What is remembered at most, some 0.5 KB each: requests, and ends of each.
MOST_SUSPECTS = 1000
MOST_ENDS = 12
MOST_CALLERS = 12


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


class End(Record):
    """A target ended while a request was there.

    Attributes:
        target: its id.
        caller: of the run that was there.
        age_s: of that run.
        events: that the run had made.
        at: when.
        told_by: instance that saw it.
    """

    __slots__ = ("age_s", "at", "caller", "events", "target", "told_by")

    def __init__(
        self,
        target: str,
        caller: str,
        age_s: float,
        events: int,
        at: float,
        told_by: str,
    ) -> None:
        self.target = target
        self.caller = caller
        self.age_s = age_s
        self.events = events
        self.at = at
        self.told_by = told_by

    def is_of(self, target: str, at: float) -> bool:
        """Whether a report of ``target`` at that time is of this end."""
        return self.target == target and abs(self.at - at) < ONE_END_S


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
    def _early_until(self) -> float:
        """Until when the first try may be made at once; it is over after one."""
        return float("-inf") if self.trials else self.trial_at + EARLY_FOR_S

    def is_due(self, now: float) -> bool:
        """Whether the request may be tried again."""
        return self.next_due(now) <= now

    def next_due(self, now: float) -> float:
        """Return from when on the request may be tried again, as of ``now``."""
        if self.trials or now < self._early_until:
            return self.trial_at
        return self.since + TRIAL_PAUSES_S[1]

    def after_trial(self, now: float) -> "Hold":
        """Return the hold from the moment on in which somebody tries again."""
        early = now < self._early_until
        trials = self.trials + (1 if early or self.trials else 2)
        return Hold(self.callers, self.since, trials, now + pause_s(trials))


class Suspect:
    """What is known of one content that was at an end.

    Attributes:
        content: what is asked for.
        ends: oldest first.
        hold: it is in quarantine; else None.
    """

    __slots__ = ("_cleared_at", "_sound_at_by_caller", "content", "ends", "hold")

    def __init__(self, content: str) -> None:
        self.content = content
        self._cleared_at = float("-inf")
        self.ends: list[End] = []
        self.hold: Hold | None = None
        self._sound_at_by_caller: dict[str, float] = {}

    def add(self, end: End) -> bool:
        """Take an end; False if it is known."""
        if any(one.is_of(end.target, end.at) for one in self.ends):
            return False
        self.ends.append(end)
        del self.ends[:-MOST_ENDS]
        return True

    def drop(self, shared: list[End]) -> None:
        """Forget the ends that another request is to blame for."""
        self.ends = [
            end
            for end in self.ends
            if not any(other.is_of(end.target, end.at) for other in shared)
        ]

    @property
    def sound_at(self) -> float:
        """When it last ran well, for whomever."""
        return max([self._cleared_at, *self._sound_at_by_caller.values()])

    def sound_at_for(self, caller: str) -> float:
        """When it last ran well for ``caller``."""
        return self._sound_at_by_caller.get(caller, float("-inf"))

    def clear(self, at: float) -> None:
        """Hold nothing against it that was known by then."""
        self._cleared_at = at
        self.hold = None
        self.ends = [end for end in self.ends if end.at > at]

    def sound(self, caller: str, at: float, now: float) -> None:
        """Note that it ran well for ``caller``, now or a while ago."""
        covered = self.is_held_for(caller)
        before = self._sound_at_by_caller.pop(caller, at)
        self._sound_at_by_caller[caller] = max(at, before)
        if len(self._sound_at_by_caller) > MOST_CALLERS:
            del self._sound_at_by_caller[next(iter(self._sound_at_by_caller))]
        for_all = self.hold is not None and not self.hold.callers
        if covered and for_all:
            self.ends = [end for end in self.ends if end.at > at]
        self.ends = [end for end in self.ends if end.caller != caller or end.at > at]
        if covered and self.blamed_callers(now, now) is None:
            self.hold = None

    def restore(self, ends: list[End], hold: Hold | None) -> bool:
        """Take what was kept elsewhere, unless it ran well since; whether it was news.

        Of two holds that with more trials is the later one.
        """
        news = False
        for end in ends:
            if end.at > self.sound_at:
                news = self.add(end) or news
        self.ends.sort(key=_by_time)
        if hold is None or hold.since <= self.sound_at:
            return news
        if self.hold is not None and self.hold.trials >= hold.trials:
            return news
        self.hold = hold
        return True

    def is_held_for(self, caller: str) -> bool:
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
        ends = [end for end in self.ends if end.at <= by]
        since = [end for end in ends if end.at > self.sound_at]
        several = len({end.caller for end in since}) > 1
        if several and len(since) >= _enough_ends(now - self.sound_at):
            return frozenset()
        blamed: set[str] = set()
        for caller in {end.caller for end in ends}:
            count = sum(1 for end in ends if end.caller == caller)
            if count >= _enough_ends(now - self.sound_at_for(caller)):
                blamed.add(caller)
        return frozenset(blamed) if blamed else None

    @property
    def innocence(self) -> tuple[float, float]:
        """Of two at the same ends, the one with less of it is to blame.

        One that ends targets had hardly begun at each; others were at any point.
        """
        events = sum(end.events for end in self.ends)
        age_s = sum(end.age_s for end in self.ends)
        return events / len(self.ends), age_s / len(self.ends)


class Quarantine:
    """All suspects; times are of one clock that the caller chooses.

    Attributes:
        by_content: suspects, by what they ask for; longest without news first.
    """

    def __init__(self) -> None:
        self.by_content: dict[str, Suspect] = {}
        # Of the ends that are not judged yet.
        self._newest_at: float | None = None

    def ended(
        self, target: str, runs: Iterable[LostRun], at: float, told_by: str
    ) -> list[str]:
        """Take note of what was at a target that ended; return what was news."""
        news: list[str] = []
        for run in runs:
            if self._is_explained(target, at, run.content):
                continue
            suspect = self.by_content.pop(run.content, None) or Suspect(run.content)
            self.by_content[run.content] = suspect
            end = End(target, run.caller, run.age_s, run.events, at, told_by)
            if suspect.add(end):
                news.append(run.content)
        if news:
            self._newest_at = at
        self._bound()
        return news

    def _is_explained(self, target: str, at: float, content: str) -> bool:
        """Whether another request is in quarantine that was at the same end."""
        return any(
            end.is_of(target, at)
            for suspect in self.by_content.values()
            if suspect.hold is not None and suspect.content != content
            for end in suspect.ends
        )

    def sound(self, content: str, caller: str, at: float, now: float) -> bool:
        """Note a good run; False if nothing was held against it."""
        suspect = self.by_content.get(content)
        if suspect is None:
            return False
        suspicious = bool(suspect.ends) or suspect.hold is not None
        suspect.sound(caller, at, now)
        return suspicious

    def judge(self, now: float) -> list[Suspect]:
        """Put in quarantine what is to blame by now; return what was added.

        Who began last is judged first, and what others share with it speaks no more
        against them.
        """
        if self._newest_at is None:
            return []
        if now >= self._newest_at + SETTLE_S:
            self._newest_at = None
        held: list[Suspect] = []
        suspects = [one for one in self.by_content.values() if one.ends]
        for suspect in sorted(suspects, key=_by_innocence):
            callers = suspect.blamed_callers(now, now - SETTLE_S)
            if callers is None or self._is_held(suspect, callers):
                continue
            since = suspect.hold.since if suspect.hold is not None else now
            trials = suspect.hold.trials if suspect.hold is not None else 0
            suspect.hold = Hold(callers, since, trials, now + pause_s(trials))
            held.append(suspect)
            for other in self.by_content.values():
                if other is not suspect and other.hold is None:
                    other.drop(suspect.ends)
        return held

    @property
    def unjudged(self) -> bool:
        """Whether there is news that is not judged yet."""
        return self._newest_at is not None

    def _is_held(self, suspect: Suspect, callers: frozenset[str]) -> bool:
        hold = suspect.hold
        return hold is not None and (not hold.callers or callers == hold.callers)

    def hold_of(self, content: str, caller: str) -> Hold | None:
        """Return the hold on a request; None if it may be sent."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.is_held_for(caller):
            return None
        return suspect.hold

    def restore(self, content: str, ends: list[End], hold: Hold | None) -> bool:
        """Take what was kept elsewhere; return whether it was news."""
        suspect = self.by_content.setdefault(content, Suspect(content))
        news = suspect.restore(ends, hold)
        if news and suspect.ends:
            newest_at = suspect.ends[-1].at
            self._newest_at = max(newest_at, self._newest_at or newest_at)
        self._bound()
        return news

    def clear(self, content: str, at: float) -> bool:
        """Drop what was held against a content; False if that was nothing."""
        suspect = self.by_content.get(content)
        if suspect is None or (suspect.hold is None and not suspect.ends):
            return False
        suspect.clear(at)
        return True

    def forget(self, now: float) -> None:
        """Drop suspects of which nothing was heard for long."""
        for content, suspect in list(self.by_content.items()):
            suspect.ends = [end for end in suspect.ends if now - end.at < FORGET_S]
            held = suspect.hold is not None and now < suspect.hold.trial_at + FORGET_S
            if not suspect.ends and not held and now - suspect.sound_at > FORGET_S:
                del self.by_content[content]

    def held(self) -> list[Suspect]:
        """Return what is in quarantine."""
        return [one for one in self.by_content.values() if one.hold is not None]

    def _bound(self) -> None:
        """Keep to the most suspects; those that are held go last."""
        if len(self.by_content) <= MOST_SUSPECTS:
            return
        order = sorted(self.by_content.values(), key=_by_need)
        for suspect in order[: len(order) - MOST_SUSPECTS]:
            del self.by_content[suspect.content]


def _enough_ends(sound_ago_s: float) -> int:
    """Return how many ends are enough for one that ran well so long ago."""
    return ENOUGH_ENDS_THOUGH_SOUND if sound_ago_s < SOUND_FOR_S else ENOUGH_ENDS


def pause_s(trials: int) -> float:
    """Return how long a request is held that was tried again so often.

    >>> [pause_s(trials) for trials in (0, 1, 9)]
    [1.0, 10.0, 3600.0]
    """
    return TRIAL_PAUSES_S[min(trials, len(TRIAL_PAUSES_S) - 1)]


def _by_innocence(suspect: Suspect) -> tuple[float, float]:
    return suspect.innocence


def _by_time(end: End) -> float:
    return end.at


def _by_need(suspect: Suspect) -> tuple[bool, int]:
    """Order by what is missed least: not held, few ends; else oldest news first."""
    return suspect.hold is not None, len(suspect.ends)
