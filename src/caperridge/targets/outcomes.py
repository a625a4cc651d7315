"""What can become of one attempt at a target, as typed errors."""

from functools import singledispatch

from caperridge.records import Record


class NotSent(Record):
    """No byte of the request left for the target: it was certainly not run.

    Attributes:
        reason: why not.
        broken_off: this end gave up, for connecting took too long.
    """

    __slots__ = ("broken_off", "reason")

    def __init__(self, reason: str, broken_off: bool = False) -> None:
        self.reason = reason
        self.broken_off = broken_off


class TargetRefused(Record):
    """The target answered with an error.

    Attributes:
        status: of its answer.
        reason: its words.
        run: ``not_run``, ``ran`` or ``unknown``, as far as it said so.
        leaving: it said that it is leaving.
        replaced: another target answered, so the one that was meant has ended.
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
        """Whether the same request would be refused again anywhere."""
        return self.status in (400, 404, 413, 422)


class Lost(Record):
    """The connection ended, or the time, before the answer was whole.

    Attributes:
        reason: how it ended.
        broken_off: this end closed the connection, for nothing came for too long.
    """

    __slots__ = ("broken_off", "reason")

    def __init__(self, reason: str, broken_off: bool = False) -> None:
        self.reason = reason
        self.broken_off = broken_off


class WrongAnswer(Record):
    """The target answered another request than ours, or out of order."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Withdrawn(Record):
    """This end cancelled the attempt, which says nothing of the target."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


AttemptError = NotSent | TargetRefused | Lost | WrongAnswer | Withdrawn


@singledispatch
def timed_out(error: AttemptError) -> bool:
    """Return whether only a time limit of this end ended the attempt.

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
