"""Ways of finding a prompt part that crashes its targets.

The kept one is the code of the instances; the others change as little of it as they
need, so that all else is the same.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import (
    GOOD_RUN_TTL_S,
    Crash,
    Hold,
    LostRun,
    Suspect,
)
from caperridge.records import Record

# Hardly begun runs at one target, any of which may be the cause of its crash.
YOUNG_RUNS = 4
# Log odds against a part before the first crash, as there are some hundred parts.
PRIOR_LOG_ODDS = -math.log(300)
# A part that ran well a moment ago is one of ten that still do.
GOOD_RUN_LOG_ODDS = -math.log(10)
# Odds of 20 to 1.
HELD_LOG_ODDS = math.log(20)


class VariantQuarantine(Quarantine):
    """A quarantine with suspects of another class."""

    def new_suspect(self, content: str) -> Suspect:
        """Return a suspect without a crash."""
        return Suspect(content)

    def record_crash(
        self, target: str, runs: Iterable[LostRun], at: float, reported_by: str
    ) -> list[str]:
        """See :meth:`Quarantine.record_crash`."""
        runs = list(runs)
        for run in runs:
            self._add_unknown(run.content)
        return super().record_crash(target, runs, at, reported_by)

    def merge(self, content: str, crashes: list[Crash], hold: Hold | None) -> bool:
        """See :meth:`Quarantine.merge`."""
        self._add_unknown(content)
        return super().merge(content, crashes, hold)

    def _add_unknown(self, content: str) -> None:
        if content not in self.by_content:
            self.by_content[content] = self.new_suspect(content)


class EarlySuspect(Suspect):
    """Blamed one crash earlier, if it is a part."""

    __slots__ = ()

    def _threshold(self, now: float) -> int:
        threshold = super()._threshold(now)
        return threshold - 1 if self.is_part else threshold


class EarlyQuarantine(VariantQuarantine):
    """Holds parts one crash earlier."""

    def new_suspect(self, content: str) -> Suspect:
        """See :meth:`VariantQuarantine.new_suspect`."""
        return EarlySuspect(content)


class IsolatedSuspect(Suspect):
    """Blamed by the crash of a run that was alone, if it is a part."""

    __slots__ = ()
    isolated_from = 1

    def _threshold(self, now: float) -> int:
        if not self.is_part:
            return super()._threshold(now)
        recent = now - self.last_good_run_at < GOOD_RUN_TTL_S
        return self.isolated_from + (2 if recent or self.is_first_part else 1)

    def is_near_threshold(self, now: float) -> bool:
        """See :meth:`Suspect.is_near_threshold`; a good run also ends the isolation."""
        isolated = self.is_part and self.is_isolated()
        return isolated or super().is_near_threshold(now)

    def is_isolated(self) -> bool:
        """Whether its requests run one at a time."""
        since = [one for one in self.crashes if one.at > self.last_good_run_at]
        return len(since) >= self.isolated_from


class IsolatingQuarantine(VariantQuarantine):
    """Holds parts at the next crash once their requests run one at a time."""

    def new_suspect(self, content: str) -> Suspect:
        """See :meth:`VariantQuarantine.new_suspect`."""
        return IsolatedSuspect(content)


class LateIsolatedSuspect(IsolatedSuspect):
    """Isolated after a second crash."""

    __slots__ = ()
    isolated_from = 2


class LateIsolatingQuarantine(VariantQuarantine):
    """Isolates parts after a second crash."""

    def new_suspect(self, content: str) -> Suspect:
        """See :meth:`VariantQuarantine.new_suspect`."""
        return LateIsolatedSuspect(content)


class PartShares:
    """How often parts are in the runs of one instance."""

    def __init__(self) -> None:
        self._runs_by_part: Counter[str] = Counter()
        self._runs = 0

    def record(self, parts: Iterable[str]) -> None:
        """Record a run with these parts."""
        self._runs += 1
        self._runs_by_part.update(parts)

    def share(self, part: str) -> float:
        """Return the share of runs with a part; one half if no run is known."""
        return (self._runs_by_part[part] + 0.5) / (self._runs + 1)


class ScoredSuspect(Suspect):
    """Blamed by the log odds that it is the cause, if it is a part.

    Args:
        content: key of the suspect.
        shares: how often parts are in sound runs.
    """

    __slots__ = ("_shares",)

    def __init__(self, content: str, shares: PartShares) -> None:
        super().__init__(content)
        self._shares = shares

    def blamed_callers(self, now: float, by: float) -> frozenset[str] | None:
        """See :meth:`Suspect.blamed_callers`."""
        if not self.is_part:
            return super().blamed_callers(now, by)
        since = [one for one in self.crashes if self.last_good_run_at < one.at <= by]
        if len({one.caller for one in since}) < 2:
            return None
        return frozenset() if self._is_held(len(since), now) else None

    def is_near_threshold(self, now: float) -> bool:
        """See :meth:`Suspect.is_near_threshold`."""
        if not self.is_part:
            return super().is_near_threshold(now)
        since = [one for one in self.crashes if one.at > self.last_good_run_at]
        return self._is_held(len(since) + 1, now)

    def _is_held(self, crashes: int, now: float) -> bool:
        by_chance = 1 - (1 - self._shares.share(self.content)) ** YOUNG_RUNS
        log_odds = PRIOR_LOG_ODDS - crashes * math.log(by_chance)
        if now - self.last_good_run_at < GOOD_RUN_TTL_S:
            log_odds += GOOD_RUN_LOG_ODDS
        return log_odds >= HELD_LOG_ODDS


class ScoredQuarantine(VariantQuarantine):
    """Holds parts by a likelihood ratio over crashes and good runs.

    Attributes:
        shares: how often parts are in the runs of the instance.
    """

    def __init__(self) -> None:
        super().__init__()
        self.shares = PartShares()

    def new_suspect(self, content: str) -> Suspect:
        """See :meth:`VariantQuarantine.new_suspect`."""
        return ScoredSuspect(content, self.shares)


class Way(Record):
    """A way of finding the part.

    Attributes:
        quarantine: makes the quarantine of an instance.
        parts: parts are suspects, not only whole requests.
    """

    __slots__ = ("parts", "quarantine")

    def __init__(
        self, quarantine: Callable[[], Quarantine], parts: bool = True
    ) -> None:
        self.quarantine = quarantine
        self.parts = parts


KEPT = "counts"
WAYS_BY_NAME = {
    "whole request": Way(Quarantine, parts=False),
    KEPT: Way(Quarantine),
    "counts, one less": Way(EarlyQuarantine),
    "score": Way(ScoredQuarantine),
    "isolation": Way(IsolatingQuarantine),
    "isolation after two": Way(LateIsolatingQuarantine),
}
