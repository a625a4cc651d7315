"""Which requests end the targets that run them, and are sent to no other for a time.

A request that crashes whatever runs it does so at every try. When a target ends, all
that ran there is suspect, and most of it is not to blame. What tells them apart: the
one to blame is there at every end and never ends well, and it has just begun.

Three ends without a good run between them put a request in quarantine. From then on one
instance of all tries it again, ever more seldom, and one good run clears it.
"""

from collections.abc import Iterable

from caperridge.decisions.suspects import Crash, Hold, LostRun, Suspect, trial_delay_s

# All instances tell of one end within some milliseconds, also while it is judged who
# of two that were at the same ends is to blame.
SETTLE_S = 0.05
# Ends that are older say nothing of today's targets.
RETENTION_S = 900.0
# Requests that are remembered at most, some 0.5 KB each.
MAX_SUSPECTS = 1000


class Quarantine:
    """All suspects; times are of one clock that the caller chooses.

    Attributes:
        by_content: suspects, by what they ask for; longest without news first.
    """

    def __init__(self) -> None:
        self.by_content: dict[str, Suspect] = {}
        # Of the ends that are not judged yet.
        self._newest_at: float | None = None

    def record_crash(
        self, target: str, runs: Iterable[LostRun], at: float, reported_by: str
    ) -> list[str]:
        """Take note of what was at a target that ended; return what was news."""
        news: list[str] = []
        for run in runs:
            if self._is_explained(target, at, run.content):
                continue
            suspect = self.by_content.pop(run.content, None) or Suspect(run.content)
            self.by_content[run.content] = suspect
            end = Crash(target, run.caller, run.age_s, run.events, at, reported_by)
            if suspect.add_crash(end):
                news.append(run.content)
        if news:
            self._newest_at = at
        self._evict_excess()
        return news

    def _is_explained(self, target: str, at: float, content: str) -> bool:
        """Whether another request is in quarantine that was at the same end."""
        return any(
            end.matches(target, at)
            for suspect in self.by_content.values()
            if suspect.hold is not None and suspect.content != content
            for end in suspect.crashes
        )

    def record_good_run(self, content: str, caller: str, at: float, now: float) -> bool:
        """Note a good run; False if nothing was held against it."""
        suspect = self.by_content.get(content)
        if suspect is None:
            return False
        suspicious = bool(suspect.crashes) or suspect.hold is not None
        suspect.record_good_run(caller, at, now)
        return suspicious

    def evaluate(self, now: float) -> list[Suspect]:
        """Put in quarantine what is to blame by now; return what was added.

        Who began last is judged first, and what others share with it speaks no more
        against them.
        """
        if self._newest_at is None:
            return []
        if now >= self._newest_at + SETTLE_S:
            self._newest_at = None
        held: list[Suspect] = []
        suspects = [one for one in self.by_content.values() if one.crashes]
        for suspect in sorted(suspects, key=_by_progress):
            callers = suspect.blamed_callers(now, now - SETTLE_S)
            if callers is None or self._is_covered(suspect, callers):
                continue
            since = suspect.hold.since if suspect.hold is not None else now
            trials = suspect.hold.trials if suspect.hold is not None else 0
            suspect.hold = Hold(callers, since, trials, now + trial_delay_s(trials))
            held.append(suspect)
            for other in self.by_content.values():
                if other is not suspect and other.hold is None:
                    other.remove_crashes(suspect.crashes)
        return held

    @property
    def evaluation_pending(self) -> bool:
        """Whether there is news that is not judged yet."""
        return self._newest_at is not None

    def _is_covered(self, suspect: Suspect, callers: frozenset[str]) -> bool:
        hold = suspect.hold
        return hold is not None and (not hold.callers or callers == hold.callers)

    def hold_for(self, content: str, caller: str) -> Hold | None:
        """Return the hold on a request; None if it may be sent."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.is_quarantined_for(caller):
            return None
        return suspect.hold

    def merge(self, content: str, ends: list[Crash], hold: Hold | None) -> bool:
        """Take what was kept elsewhere; return whether it was news."""
        suspect = self.by_content.setdefault(content, Suspect(content))
        news = suspect.merge(ends, hold)
        if news and suspect.crashes:
            newest_at = suspect.crashes[-1].at
            self._newest_at = max(newest_at, self._newest_at or newest_at)
        self._evict_excess()
        return news

    def clear(self, content: str, at: float) -> bool:
        """Drop what was held against a content; False if that was nothing."""
        suspect = self.by_content.get(content)
        if suspect is None or (suspect.hold is None and not suspect.crashes):
            return False
        suspect.clear(at)
        return True

    def expire(self, now: float) -> None:
        """Drop suspects of which nothing was heard for long."""
        for content, suspect in list(self.by_content.items()):
            suspect.crashes = [
                end for end in suspect.crashes if now - end.at < RETENTION_S
            ]
            held = (
                suspect.hold is not None and now < suspect.hold.trial_at + RETENTION_S
            )
            if (
                not suspect.crashes
                and not held
                and now - suspect.last_good_run_at > RETENTION_S
            ):
                del self.by_content[content]

    def quarantined(self) -> list[Suspect]:
        """Return what is in quarantine."""
        return [one for one in self.by_content.values() if one.hold is not None]

    def _evict_excess(self) -> None:
        """Keep to the most suspects; those that are held go last."""
        if len(self.by_content) <= MAX_SUSPECTS:
            return
        order = sorted(self.by_content.values(), key=_eviction_order)
        for suspect in order[: len(order) - MAX_SUSPECTS]:
            del self.by_content[suspect.content]


def _by_progress(suspect: Suspect) -> tuple[float, float]:
    return suspect.mean_progress


def _eviction_order(suspect: Suspect) -> tuple[bool, int]:
    """Order by what is missed least: not held, few ends; else oldest news first."""
    return suspect.hold is not None, len(suspect.crashes)
