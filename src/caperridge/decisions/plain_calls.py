"""Idempotency keys and retries of calls to plain services.

A call with an idempotency key to a service that is not repeatable is claimed by a row
before it is sent. Only the writer of the row ever sends the call; other requests with
the key only read the row, so the call runs at most once.
"""

import xxhash

from caperridge.decisions.retry_budget import RetryBudget
from caperridge.records import Record
from caperridge.refusals import NOT_RUN, UNKNOWN

RUNNING = "running"
DONE = "done"
LOST = "lost"

MAX_ATTEMPTS = 3
# Longer than any call takes, and than the clocks of two instances may differ.
MAX_RUNNING_S = 120.0
RETRY_AFTER_S = 1.0
KEY_RETENTION_S = 7 * 86400.0
# A call whose claim cannot be read may have run before under the same key.
UNREADABLE_CLAIM_RUN = UNKNOWN


class CallClaim(Record):
    """The row of a keyed call.

    Attributes:
        state: ``running``; ``done`` with its answer; ``lost`` without one.
        request: id of the only request that may send the call.
        digest: of method, path and body, to tell a resend from another call.
        session: session of the instance that sends it.
        started: seconds since the epoch.
        ended: seconds since the epoch; 0 while it runs.
        status: status of the answer.
        headers: headers of the answer, as ``[name, value]``.
        body: body of the answer, unless ``stored`` names an object with it.
        stored: name of that object.
        reason: why the answer was lost.
    """

    __slots__ = (
        "body",
        "digest",
        "ended",
        "headers",
        "reason",
        "request",
        "session",
        "started",
        "state",
        "status",
        "stored",
    )

    def __init__(
        self,
        state: str,
        request: str,
        digest: str,
        session: str,
        started: float,
        ended: float = 0.0,
        status: int = 0,
        headers: list[list[str]] | None = None,
        body: bytes = b"",
        stored: str = "",
        reason: str = "",
    ) -> None:
        self.state = state
        self.request = request
        self.digest = digest
        self.session = session
        self.started = started
        self.ended = ended
        self.status = status
        self.headers = headers or []
        self.body = body
        self.stored = stored
        self.reason = reason


class KeyReused(Record):
    """The key was used for a call with another method, path or body."""

    __slots__ = ()


class AnswerRecorded(Record):
    """The call ran; ``claim`` has its answer."""

    __slots__ = ("claim",)

    def __init__(self, claim: CallClaim) -> None:
        self.claim = claim


class StillRunning(Record):
    """The request that claimed the key is in progress."""

    __slots__ = ("request",)

    def __init__(self, request: str) -> None:
        self.request = request


class OutcomeUnknown(Record):
    """The call may have run; this stays unknown, and it is never sent again."""

    __slots__ = ("reason", "request")

    def __init__(self, request: str, reason: str) -> None:
        self.request = request
        self.reason = reason


ResendAction = KeyReused | AnswerRecorded | StillRunning | OutcomeUnknown


def call_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that two calls share only if they are the same request.

    >>> call_digest("PUT", "/a", b"b") == call_digest("PUT", "/ab", b"")
    False
    """
    head = f"{method}\n{path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def on_resend(
    claim: CallClaim, digest: str, holder_alive: bool, now: float
) -> ResendAction:
    """Return the outcome of a request whose key is already claimed; never a run.

    Args:
        claim: as read.
        digest: of the new request.
        holder_alive: whether the session of the claim is alive.
        now: seconds since the epoch.
    """
    if claim.digest != digest:
        return KeyReused()
    if claim.state == DONE:
        return AnswerRecorded(claim)
    if claim.state == LOST:
        return OutcomeUnknown(claim.request, claim.reason)
    if not holder_alive:
        return OutcomeUnknown(claim.request, "the instance that sent it is gone")
    if now - claim.started > MAX_RUNNING_S:
        return OutcomeUnknown(claim.request, "its outcome was never recorded")
    return StillRunning(claim.request)


def is_expired(claim: CallClaim, now: float) -> bool:
    """Return whether the retention of the key is over.

    Args:
        claim: as read.
        now: seconds since the epoch.
    """
    return now - max(claim.started, claim.ended) > KEY_RETENTION_S


class ReturnAnswer(Record):
    """Return the target's answer to the caller."""

    __slots__ = ()


class RetryElsewhere(Record):
    """Send the call to another target."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class RefuseCall(Record):
    """Refuse the call; ``run`` covers all of its attempts."""

    __slots__ = ("code", "reason", "run", "status")

    def __init__(self, code: str, reason: str, status: int, run: str) -> None:
        self.code = code
        self.reason = reason
        self.status = status
        self.run = run


class CallAttempts:
    """The attempts of one call, and what to do after each.

    Args:
        repeatable: whether it may be sent again after it may have run.
        believes_not_run: whether a target's ``not_run`` is trusted.
        budget: retry budget of the service on this instance, for attempts that may
            double the work of a target.

    Attributes:
        attempts: number of attempts so far.
        may_have_run: whether a target may have run the call.
    """

    __slots__ = (
        "_believes_not_run",
        "_budget",
        "_repeatable",
        "attempts",
        "may_have_run",
    )

    def __init__(
        self, repeatable: bool, believes_not_run: bool, budget: RetryBudget
    ) -> None:
        self.attempts = 0
        self.may_have_run = False
        self._repeatable = repeatable
        self._believes_not_run = believes_not_run
        self._budget = budget

    def record_not_sent(self, reason: str) -> RetryElsewhere | RefuseCall:
        """Record an attempt of which no byte was sent to the target."""
        self.attempts += 1
        return self._next(reason)

    def record_lost(self, reason: str) -> RetryElsewhere | RefuseCall:
        """Record an attempt that may have run, without a complete answer."""
        self.attempts += 1
        self.may_have_run = True
        if not self._repeatable:
            return self._lost(reason)
        if not self._budget.take():
            return self._lost(f"{reason}; too many calls fail to try again")
        return self._next(reason)

    def record_answer(
        self, status: int, run: str
    ) -> ReturnAnswer | RetryElsewhere | RefuseCall:
        """Record an answer of the target.

        Args:
            status: of the answer.
            run: the target's statement on a refusal, e.g. ``not_run``; empty for none.
        """
        self.attempts += 1
        if status not in (429, 503):
            return ReturnAnswer()
        if run == NOT_RUN and self._believes_not_run:
            return self._next("the target says not run")
        self.may_have_run = True
        last = self.attempts >= MAX_ATTEMPTS
        if self._repeatable and not last and self._budget.take():
            return RetryElsewhere(f"the target refused with {status}")
        if run == NOT_RUN:
            # The statement is not trusted, so it must not reach the caller either.
            text = f"the target refused with {status}"
            return RefuseCall("target_refused", text, status, UNKNOWN)
        return ReturnAnswer()

    def refuse_no_target(self) -> RefuseCall:
        """Return the refusal when no target remains to try."""
        if self.may_have_run:
            return self._lost("no other target can take it")
        return RefuseCall("no_target", "no target can take it now", 503, NOT_RUN)

    def refuse_too_large(self, reason: str) -> RefuseCall:
        """Record an answer that is larger than the limit for forwarding."""
        self.attempts += 1
        return RefuseCall("answer_too_large", reason, 502, UNKNOWN)

    def _next(self, reason: str) -> RetryElsewhere | RefuseCall:
        if self.attempts < MAX_ATTEMPTS:
            return RetryElsewhere(reason)
        if self.may_have_run:
            return self._lost(reason)
        text = f"{self.attempts} targets did not take it; the last: {reason}"
        return RefuseCall("attempts_used_up", text, 503, NOT_RUN)

    def _lost(self, reason: str) -> RefuseCall:
        return RefuseCall("answer_lost", reason, 502, UNKNOWN)
