"""Retry policy of online requests: the progress of a request over its attempts."""

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
    """The refusal of a request that gets no further attempt."""

    __slots__ = ("code", "reason", "status")

    def __init__(self, code: str, reason: str, status: int) -> None:
        self.code = code
        self.reason = reason
        self.status = status


class Progress:
    """The progress of one request.

    Attributes:
        offset: index of the next token.
        alone: whether the last choice of a target had no alternative.
        attempts: number of failed attempts.
        excluded: targets that failed it.
        timed_out_early: those of them that timed out while there was an alternative.
        may_have_run: whether a target may have run it.
        streaming: whether a token was sent to the caller.
        last_event: the newest token event; empty if there is none.
        software_version: of the targets that may continue; None before the first token.
    """

    __slots__ = (
        "alone",
        "attempts",
        "excluded",
        "last_event",
        "may_have_run",
        "offset",
        "software_version",
        "streaming",
        "timed_out_early",
    )

    def __init__(self, offset: int = 0, software_version: str | None = None) -> None:
        self.offset = offset
        self.software_version = software_version
        self.alone = False
        self.attempts = 0
        self.excluded: set[str] = set()
        self.timed_out_early: set[str] = set()
        self.may_have_run = False
        self.streaming = False
        self.last_event = b""

    @property
    def run(self) -> str:
        """The ``run`` field of a refusal at this point."""
        return UNKNOWN if self.may_have_run else NOT_RUN

    def record_tokens(self, events: list[bytes], software_version: str = "") -> None:
        """Record tokens that are sent to the caller.

        Args:
            events: with a token each.
            software_version: of the target that sent them.
        """
        if self.software_version is None:
            self.software_version = software_version
        self.offset += len(events)
        self.streaming = True
        self.last_event = events[-1]

    def record_failure(
        self, target: str, error: AttemptError, believes_not_run: bool
    ) -> None:
        """Record a failed attempt.

        Args:
            target: id of the target.
            error: of the attempt.
            believes_not_run: whether a target's "not run" is trusted.
        """
        self.attempts += 1
        self.excluded.add(target)
        if timed_out(error) and not self.alone:
            self.timed_out_early.add(target)
        if isinstance(error, NotSent):
            return
        reported_not_run = isinstance(error, TargetRefused) and error.run == NOT_RUN
        if reported_not_run and believes_not_run and not self.streaming:
            return
        self.may_have_run = True

    def readmit_timed_out(self) -> bool:
        """Allow targets that timed out early again; False if there are none.

        They may only have exceeded the shorter time-out that applies while there is
        another target to try. Without one, the time-out of the last resort applies.
        """
        readmitted = bool(self.timed_out_early)
        self.excluded -= self.timed_out_early
        self.timed_out_early.clear()
        return readmitted

    def stop_reason(
        self, error: AttemptError, repeatable: bool, deadline: float, now: float
    ) -> Stop | None:
        """Return the refusal after ``error``; None if the request may be retried.

        Args:
            error: of the last attempt.
            repeatable: whether it may be sent again after it may have run.
            deadline: of the request, on the same clock as ``now``.
            now: monotonic seconds.
        """
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
