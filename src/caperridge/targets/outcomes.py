"""Typed errors of one attempt at a target."""

from functools import singledispatch

from caperridge.records import Record
from caperridge.refusals import NOT_RUN


class NotSent(Record):
    """No byte of the request was sent, so the target certainly did not run it.

    Attributes:
        reason: why it was not sent.
        broken_off: whether the connect timeout of this end expired.
    """

    __slots__ = ("broken_off", "reason")

    def __init__(self, reason: str, broken_off: bool = False) -> None:
        self.reason = reason
        self.broken_off = broken_off


class TargetRefused(Record):
    """The target answered with an error.

    Attributes:
        status: HTTP status of the answer.
        reason: message of the answer.
        run: ``not_run``, ``ran`` or ``unknown``, as the target reported.
        leaving: whether the target reported that it is leaving.
        replaced: whether another target answered at the address, which shows that the
            intended one no longer runs.
    """

    __slots__ = ("leaving", "reason", "replaced", "run", "status")

    def __init__(
        self,
        status: int,
        reason: str,
        run: str = "unknown",
        leaving: bool = False,
        replaced: bool = False,
    ) -> None:
        self.status = status
        self.reason = reason
        self.run = run
        self.leaving = leaving
        self.replaced = replaced

    @property
    def permanent(self) -> bool:
        """Whether every target would refuse the same request."""
        return self.status in (400, 404, 413, 422)


class Lost(Record):
    """The connection was lost, or a timeout expired, before the answer was complete.

    Attributes:
        reason: how the connection was lost.
        broken_off: whether a timeout of this end expired.
    """

    __slots__ = ("broken_off", "reason")

    def __init__(self, reason: str, broken_off: bool = False) -> None:
        self.reason = reason
        self.broken_off = broken_off


class WrongAnswer(Record):
    """The answer is not that to the request: not its id, its events or its form."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class InvalidAnswer(Record):
    """What the target sent is no HTTP answer, so it says nothing about the request."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Withdrawn(Record):
    """This end cancelled the attempt, which is no evidence against the target."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


AttemptError = NotSent | TargetRefused | Lost | WrongAnswer | InvalidAnswer | Withdrawn


@singledispatch
def timed_out(error: AttemptError) -> bool:
    """Return whether the attempt ended only because a timeout of this end expired.

    >>> timed_out(Lost("no event in time", broken_off=True))
    True
    >>> timed_out(Lost("ClientPayloadError")), timed_out(WrongAnswer("crossed"))
    (False, False)
    """
    return False


@timed_out.register(Lost)
@timed_out.register(NotSent)
def _(error: Lost | NotSent) -> bool:
    return error.broken_off


@singledispatch
def is_inconclusive(error: AttemptError) -> bool:
    """Return whether an attempt that failed says nothing about its request.

    >>> is_inconclusive(NotSent("no connection")), is_inconclusive(Lost("reset"))
    (True, False)
    """
    return False


@is_inconclusive.register(NotSent)
@is_inconclusive.register(Withdrawn)
def _(error: NotSent | Withdrawn) -> bool:
    return True


@is_inconclusive.register
def _(error: TargetRefused) -> bool:
    return error.run == NOT_RUN
