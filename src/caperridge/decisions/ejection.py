"""Ejecting targets that fail, for a while, and never too many of a service.

Failures of one target in a row weigh by how telling they are. Enough of them eject
the target; the time out doubles with each ejection. A returned target is on
probation: its next failure ejects it again.
"""

from functools import singledispatch

from caperridge.records import Record
from caperridge.targets.outcomes import (
    AttemptError,
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
def strikes_of(error: AttemptError) -> int:
    """Return how much a failed attempt says against its target."""
    raise NotImplementedError(type(error).__name__)


@strikes_of.register
def _(error: NotSent) -> int:
    return EJECTION_THRESHOLD  # nobody listens: the next one would find nobody either


@strikes_of.register
def _(error: Lost) -> int:
    return 2


@strikes_of.register
def _(error: WrongAnswer) -> int:
    return EJECTION_THRESHOLD


@strikes_of.register
def _(error: TargetRefused) -> int:
    if error.leaving or error.status == 429 or error.status < 500:
        return 0
    return 1


@strikes_of.register
def _(error: Withdrawn) -> int:
    return 0


class Health(Record):
    """What speaks against one target.

    Attributes:
        strikes: failures since its last success, weighed.
        ejections: ejections since it last recovered for good.
        out_until: when it may come back; 0 if it is not ejected.
        returned_at: when it last came back; 0 if it never was out.
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
        """Whether the target was ejected and has not answered since."""
        return bool(self.returned_at) and self.strikes >= EJECTION_THRESHOLD - 1

    def record_success(self, now: float) -> None:
        """Note a whole answer; it ends a probation."""
        self.strikes = 0
        if not self.is_ejected(now):
            self.ejections = 0

    def record_failure(self, error: AttemptError) -> bool:
        """Note a failure; return whether the target should be ejected."""
        self.strikes += strikes_of(error)
        return self.strikes >= EJECTION_THRESHOLD

    def eject(self, now: float) -> float:
        """Eject the target; return for how long."""
        out_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, 10)
        self.out_until = now + out_s
        self.returned_at = self.out_until
        self.strikes = EJECTION_THRESHOLD - 1
        return out_s


def may_eject(usable: int, out: int) -> bool:
    """Return whether one more of ``usable`` targets may go, ``out`` being out.

    >>> may_eject(1, 0), may_eject(2, 0), may_eject(2, 1), may_eject(6, 2)
    (False, True, False, True)
    """
    return out + 1 <= usable * MAX_EJECTED_RATIO
