"""How far one request has come over its attempts, and whether it may go on."""

from caperridge.records import Record
from caperridge.refusals import NOT_RUN, UNKNOWN
from caperridge.targets.outcomes import (
    AttemptError,
    NotSent,
    TargetRefused,
    timed_out,
)

MAX_ATTEMPTS = 4


class Stop(Record):
    """Why a request gets no further attempt."""

    __slots__ = ("code", "reason", "status")

    def __init__(self, code: str, reason: str, status: int) -> None:
        self.code = code
        self.reason = reason
        self.status = status


class Progress:
    """The course of one request.

    Attributes:
        offset: of the next token.
        alone: whether there was no other target to move to at the last choice.
        attempts: that failed.
        excluded: targets that failed it.
        given_up_early: targets of those that ran out of time while another was left.
        may_have_run: whether a target may have run it.
        began: whether the caller has seen a token.
        last_event: the newest token event; empty if there is none.
    """

    __slots__ = (
        "alone",
        "attempts",
        "excluded",
        "last_event",
        "may_have_run",
        "offset",
        "streaming",
        "timed_out_early",
    )

    def __init__(self, offset: int = 0) -> None:
        self.offset = offset
        self.alone = False
        self.attempts = 0
        self.excluded: set[str] = set()
        self.timed_out_early: set[str] = set()
        self.may_have_run = False
        self.streaming = False
        self.last_event = b""

    @property
    def run(self) -> str:
        """The ``run`` word of a refusal now."""
        return UNKNOWN if self.may_have_run else NOT_RUN

    def record_tokens(self, events: list[bytes]) -> None:
        """Note tokens that go to the caller."""
        self.offset += len(events)
        self.streaming = True
        self.last_event = events[-1]

    def record_failure(
        self, target: str, error: AttemptError, believes_not_run: bool
    ) -> None:
        """Note a failed attempt.

        Args:
            target: where.
            error: how.
            believes_not_run: whether a target's own "not run" counts.
        """
        self.attempts += 1
        self.excluded.add(target)
        if timed_out(error) and not self.alone:
            self.timed_out_early.add(target)
        if isinstance(error, NotSent):
            return
        said_not_run = isinstance(error, TargetRefused) and error.run == NOT_RUN
        if said_not_run and believes_not_run and not self.streaming:
            return
        self.may_have_run = True

    def readmit_timed_out(self) -> bool:
        """Allow targets that were given up early once more; False if there are none.

        They may only have been slower than the limit that holds while another target
        can be tried. Without another they get the patience of a last resort.
        """
        reconsidered = bool(self.timed_out_early)
        self.excluded -= self.timed_out_early
        self.timed_out_early.clear()
        return reconsidered

    def stop_reason(
        self, error: AttemptError, repeatable: bool, deadline: float, now: float
    ) -> Stop | None:
        """Return why the request must end after ``error``; None if it may go on."""
        reason = error.reason
        if isinstance(error, TargetRefused) and error.permanent:
            return Stop("target_refused", reason, error.status)
        if self.may_have_run and not repeatable:
            return Stop("answer_lost", reason, 502)
        if not self.streaming and now >= deadline:
            text = f"its deadline passed; last: {reason}"
            return Stop("deadline_passed", text, 504)
        if self.attempts < MAX_ATTEMPTS:
            return None
        if self.may_have_run:
            text = f"{self.attempts} targets failed; last: {reason}"
            return Stop("attempts_used_up", text, 502)
        text = f"{self.attempts} targets did not take it; last: {reason}"
        return Stop("targets_refused", text, 503)
