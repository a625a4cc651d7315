"""Quarantine (a circuit breaker per request) for requests that crash their targets.

A request that crashes its target does so at every attempt. When a target crashes, every
request that ran there is a suspect, and most of them are innocent. The cause is the one
that is present at every crash, never completes, and has just started each time.

Three crashes without a good run in between put a request in quarantine. From then on a
single instance retries it at growing delays, and one good run clears it.

The cause may also be one part of a prompt, shared by requests that are otherwise
different. Each shared part is a suspect like a request. Of several suspects at the same
crashes the narrowest is the cause, as the others would have crashed more targets.
"""

import bisect
from collections import Counter
from collections.abc import Sequence

from caperridge.decisions.suspect_keys import is_part
from caperridge.decisions.suspects import Crash, Hold, LostRun, Suspect

# All instances report one crash within some milliseconds. Blame is assigned only after
# that, when all requests at the same crashes are known.
SETTLE_S = 0.05
# Good runs of parts are known to other instances, which may be in distant zones.
PART_SETTLE_S = 0.15
# Older crashes say nothing about the present targets.
RETENTION_S = 900.0
# About 0.5 KB each.
MAX_SUSPECTS = 1000
# So many crashes within this time of each other have a common cause. It is no part of a
# prompt that was at less than this share of them, as popular parts are at some.
MASS_CRASHES = 8
MASS_CRASH_WINDOW_S = 0.5
MIN_SHARE_OF_MASS_CRASH = 0.25


class Quarantine:
    """The suspects of one instance; all times are of one clock chosen by the caller.

    Attributes:
        by_content: suspects by content key, least recently reported first.
    """

    def __init__(self) -> None:
        self.by_content: dict[str, Suspect] = {}
        # The newest crash that is not evaluated yet.
        self._newest_at: float | None = None

    def record_crash(
        self, target: str, runs: Sequence[LostRun], at: float, reported_by: str
    ) -> list[str]:
        """Record the runs lost in a crash; return the contents with a new crash.

        Args:
            target: id of the target.
            runs: each once for every key by which it is suspected, its parts in the
                order of their keys.
            at: time of the crash.
            reported_by: instance that observed it.
        """
        changed: list[str] = []
        depths_by_part = _depths_by_part(runs)
        # Held ones first, as they explain the crash for the others.
        for run in sorted(runs, key=self._is_not_held):
            if self._is_explained(target, at, run.content):
                continue
            suspect = self.by_content.pop(run.content, None) or Suspect(run.content)
            self.by_content[run.content] = suspect
            suspect.depth = max(suspect.depth, depths_by_part.get(run.content, 0))
            crash = Crash(target, run.caller, run.age_s, run.events, at, reported_by)
            if suspect.add_crash(crash):
                changed.append(run.content)
        if changed:
            self._newest_at = at
        self._evict_excess()
        return changed

    def _is_not_held(self, run: LostRun) -> bool:
        suspect = self.by_content.get(run.content)
        return suspect is None or suspect.hold is None

    def _is_explained(self, target: str, at: float, content: str) -> bool:
        """Whether a quarantined suspect that explains the crash was at it, too."""
        of_part = is_part(content)
        return any(
            crash.matches(target, at)
            for suspect in self.by_content.values()
            if suspect.hold is not None
            and suspect.content != content
            and (suspect.is_part or not of_part)
            for crash in suspect.crashes
        )

    def record_good_run(self, content: str, caller: str, at: float, now: float) -> bool:
        """Record a good run; return False if the request was no suspect."""
        suspect = self.by_content.get(content)
        if suspect is None:
            return False
        suspicious = bool(suspect.crashes) or suspect.hold is not None
        suspect.record_good_run(caller, at, now)
        return suspicious

    def evaluate(self, now: float) -> list[Suspect]:
        """Quarantine the requests that reach the crash threshold; return these.

        The narrowest suspect with the least progress is evaluated first. Crashes that
        it explains no longer count against others. Contents are not evaluated before a
        part that may explain their crashes.
        """
        if self._newest_at is None:
            return []
        if now >= self._newest_at + PART_SETTLE_S:
            self._newest_at = None
        self._remove_explained()
        self._discount_mass_crashes()
        quarantined: list[Suspect] = []
        suspects = [one for one in self.by_content.values() if one.crashes]
        waits = any(
            one.is_unproven_part and one.is_near_threshold(now) for one in suspects
        )
        for suspect in sorted(suspects, key=_evaluation_order):
            settle_s = PART_SETTLE_S if suspect.is_part or waits else SETTLE_S
            callers = suspect.blamed_callers(now, now - settle_s)
            if callers is None or self._is_covered(suspect, callers):
                continue
            hold = suspect.hold or Hold(callers, now, 0, now)
            suspect.hold = hold.replace(callers=callers).with_delay(now)
            quarantined.append(suspect)
            self._remove_explained_by(suspect)
        return quarantined

    def _remove_explained(self) -> None:
        """Remove crashes that were reported before those of the held ones."""
        for suspect in self.quarantined():
            self._remove_explained_by(suspect)

    def _remove_explained_by(self, suspect: Suspect) -> None:
        for other in self.by_content.values():
            if other.hold is None and suspect.explains(other):
                other.remove_crashes(suspect.crashes)

    def _discount_mass_crashes(self) -> None:
        """Remove the crashes of parts that were at few of many crashes at once."""
        suspects = [one for one in self.by_content.values() if one.hold is None]
        at_by_target = {
            crash.target: crash.at for suspect in suspects for crash in suspect.crashes
        }
        if len(at_by_target) < MASS_CRASHES:
            return
        all_at = sorted(at_by_target.values())
        for suspect in suspects:
            if not suspect.is_part:
                continue
            own_at = sorted(crash.at for crash in suspect.crashes)
            suspect.crashes = [
                crash
                for crash in suspect.crashes
                if not _is_by_chance(crash.at, own_at, all_at)
            ]

    @property
    def evaluation_pending(self) -> bool:
        """Whether there are crashes that are not evaluated yet."""
        return self._newest_at is not None

    def _is_covered(self, suspect: Suspect, callers: frozenset[str]) -> bool:
        hold = suspect.hold
        return hold is not None and (not hold.callers or callers == hold.callers)

    def hold_for(self, content: str, caller: str) -> Hold | None:
        """Return the quarantine of a request; None if it may be sent."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.is_quarantined_for(caller):
            return None
        return suspect.hold

    def merge(self, content: str, crashes: list[Crash], hold: Hold | None) -> bool:
        """Merge crashes and a hold known elsewhere; return whether any is new.

        What is known elsewhere may be from before the cause of its crashes was found.
        """
        suspect = self.by_content.setdefault(content, Suspect(content))
        unexplained = [
            one
            for one in crashes
            if not self._is_explained(one.target, one.at, content)
        ]
        changed = suspect.merge(unexplained, hold)
        if changed and suspect.crashes:
            newest_at = suspect.crashes[-1].at
            self._newest_at = max(newest_at, self._newest_at or newest_at)
        self._evict_excess()
        return changed

    def clear(self, content: str, at: float) -> bool:
        """Discard the crashes and hold of a content; return False if it has none."""
        suspect = self.by_content.get(content)
        if suspect is None or (suspect.hold is None and not suspect.crashes):
            return False
        suspect.clear(at)
        return True

    def expire(self, now: float) -> None:
        """Discard suspects without reports for :data:`RETENTION_S`."""
        for content, suspect in list(self.by_content.items()):
            suspect.crashes = [
                crash for crash in suspect.crashes if now - crash.at < RETENTION_S
            ]
            quarantined = (
                suspect.hold is not None and now < suspect.hold.trial_at + RETENTION_S
            )
            if (
                not suspect.crashes
                and not quarantined
                and now - suspect.last_good_run_at > RETENTION_S
            ):
                del self.by_content[content]

    def quarantined(self) -> list[Suspect]:
        """Return the quarantined suspects."""
        return [one for one in self.by_content.values() if one.hold is not None]

    def _evict_excess(self) -> None:
        """Evict suspects above :data:`MAX_SUSPECTS`, quarantined ones last."""
        if len(self.by_content) <= MAX_SUSPECTS:
            return
        order = sorted(self.by_content.values(), key=_eviction_order)
        for suspect in order[: len(order) - MAX_SUSPECTS]:
            del self.by_content[suspect.content]


def _depths_by_part(runs: Sequence[LostRun]) -> dict[str, int]:
    """Return how many wider parts stand beside each part; narrow ones come first."""
    depths: dict[str, int] = {}
    wider_by_content: Counter[str] = Counter()
    for run in reversed(runs):
        if not is_part(run.content):
            continue
        depth = wider_by_content[run.caller]
        depths[run.content] = max(depth, depths.get(run.content, 0))
        wider_by_content[run.caller] += 1
    return depths


def _is_by_chance(at: float, own_at: list[float], all_at: list[float]) -> bool:
    """Whether a crash at ``at`` is one of many at once of which few are own."""
    count = _count_near(at, all_at)
    if count < MASS_CRASHES:
        return False
    return _count_near(at, own_at) < count * MIN_SHARE_OF_MASS_CRASH


def _count_near(at: float, times: list[float]) -> int:
    """Return how many of the sorted ``times`` are close to ``at``."""
    first = bisect.bisect_left(times, at - MASS_CRASH_WINDOW_S)
    return bisect.bisect_right(times, at + MASS_CRASH_WINDOW_S) - first


def _evaluation_order(suspect: Suspect) -> tuple[bool, bool, int, float, float]:
    return suspect.evaluation_order


def _eviction_order(suspect: Suspect) -> tuple[bool, int]:
    """Return the sort key of evictions: unquarantined first, then fewest crashes.

    Suspects with the same key are evicted by age, the least recently reported first.
    """
    return suspect.hold is not None, len(suspect.crashes)
