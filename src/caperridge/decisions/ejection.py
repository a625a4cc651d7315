"""Outlier ejection: failing targets are ejected temporarily, up to a share per service.

Consecutive failures of a target count strikes by severity. At the threshold the target
is ejected, and the ejection time doubles with each ejection. A returned target is on
probation: its next failure ejects it again.
"""

from functools import singledispatch

from caperridge.records import Record
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    NotSent,
    TargetRefused,
    Withdrawn,
    WrongAnswer,
)

EJECTION_THRESHOLD = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_RATIO = 0.5


@singledispatch
def strikes_for(error: AttemptError) -> int:
    """Return the number of strikes that a failed attempt counts for its target."""
    raise NotImplementedError(type(error).__name__)


@strikes_for.register
def _(error: NotSent) -> int:
    return EJECTION_THRESHOLD  # no listener, so the next attempt would fail as well


@strikes_for.register
def _(error: Lost) -> int:
    return 2


@strikes_for.register(WrongAnswer)
@strikes_for.register(InvalidAnswer)
def _(error: WrongAnswer | InvalidAnswer) -> int:
    return EJECTION_THRESHOLD


@strikes_for.register
def _(error: TargetRefused) -> int:
    if error.leaving or error.status == 429 or error.status < 500:
        return 0
    return 1


@strikes_for.register
def _(error: Withdrawn) -> int:
    return 0


class Health(Record):
    """Failures and ejections of one target.

    Attributes:
        strikes: weighted failures since its last success.
        ejections: ejections since it last recovered.
        out_until: end of its ejection; 0 if it was never ejected.
        returned_at: end of its last ejection; 0 if it was never ejected.
    """

    __slots__ = ("ejections", "out_until", "returned_at", "strikes")

    def __init__(
        self,
        strikes: int = 0,
        ejections: int = 0,
        out_until: float = 0.0,
        returned_at: float = 0.0,
    ) -> None:
        self.strikes = strikes
        self.ejections = ejections
        self.out_until = out_until
        self.returned_at = returned_at

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected at ``now``."""
        return self.out_until > now

    @property
    def on_probation(self) -> bool:
        """Whether the target was ejected and has had no success since."""
        return bool(self.returned_at) and self.strikes >= EJECTION_THRESHOLD - 1

    def record_success(self, now: float) -> None:
        """Record a complete answer, which ends a probation."""
        self.strikes = 0
        if not self.is_ejected(now):
            self.ejections = 0

    def record_failure(self, error: AttemptError) -> bool:
        """Record a failure; return whether the target should be ejected."""
        self.strikes += strikes_for(error)
        return self.strikes >= EJECTION_THRESHOLD

    def eject(self, now: float) -> float:
        """Eject the target; return the seconds of the ejection."""
        out_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.out_until = now + out_s
        self.returned_at = self.out_until
        self.strikes = EJECTION_THRESHOLD - 1
        return out_s


def may_eject(usable: int, ejected: int) -> bool:
    """Return whether one more of ``usable`` targets may be ejected.

    Args:
        usable: targets of the service.
        ejected: those of them that are ejected already.

    >>> may_eject(1, 0), may_eject(2, 0), may_eject(2, 1), may_eject(6, 2)
    (False, True, False, True)
    """
    return ejected + 1 <= usable * MAX_EJECTED_RATIO
