"""Keyed calls to services that may not be repeated: claimed, sent once, recorded.

The call goes on when its caller hangs up, so that a resend finds the answer. An
answer that cannot be recorded in time is given all the same, and recording is tried
again in the background; until it succeeds a resend is told what is known then.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from result import Err, Result

from caperridge import keys
from caperridge.commands.plain_claims import (
    Claimed,
    ClaimError,
    claim_call,
    record_answer,
    record_lost,
    release_call,
)
from caperridge.decisions.plain_calls import (
    DONE,
    RETRY_AFTER_S,
    RUNNING,
    UNREADABLE_CLAIM_RUN,
    AnswerRecorded,
    CallClaim,
    KeyReused,
    OutcomeUnknown,
    StillRunning,
    call_digest,
    on_resend,
)
from caperridge.instance.plain_calls import PlainFront, PlainRequest
from caperridge.instance.plain_headers import kept, of_pairs
from caperridge.instance.session import SessionKeeper
from caperridge.log import logger
from caperridge.queries.plain_calls import is_holder_alive, read_recorded_body
from caperridge.refusals import NOT_RUN, RAN, UNKNOWN, RefusedError
from caperridge.store.interface import (
    Committed,
    Conflict,
    NotDone,
    Platform,
    WriteError,
)
from caperridge.targets.plain import PlainAnswer

log = logger(__name__)
RECORD_S = 2.0
RETRY_S = 0.5
MOST_TRIES = 120

RowWrite = Callable[[], Awaitable[Result[Committed, WriteError]]]
"""Writes the outcome of a call to its row; may be tried again and again."""


class KeyedCalls:
    """Sends each keyed call of one instance at most once.

    Args:
        front: sends to the targets.
        platform: where claims and answers are kept.
        session: whose lease shows that this instance still works on its calls.
        clock: seconds since the epoch.
        record_s: how long an answer waits for its record before it is given anyway.
    """

    def __init__(
        self,
        front: PlainFront,
        platform: Platform,
        session: SessionKeeper,
        clock: Callable[[], float] = time.time,
        record_s: float = RECORD_S,
    ) -> None:
        self.record_s = record_s
        self._front = front
        self._platform = platform
        self._session = session
        self._clock = clock
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def pending(self) -> int:
        """How many calls are under way or not recorded yet."""
        return len(self._tasks)

    async def wait_idle(self) -> None:
        """Wait until every call is answered and recorded."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def call(self, request: PlainRequest) -> PlainAnswer:
        """Return the answer of the one run that the key may have.

        Raises:
            RefusedError: the call was not sent, or its outcome is not known.
        """
        task = asyncio.get_running_loop().create_task(self._call(request))
        self._keep(task)
        return await asyncio.shield(task)

    def _keep(self, task: asyncio.Task[object]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, RefusedError):
            log.error("a keyed call failed", error=repr(error))

    async def _call(self, request: PlainRequest) -> PlainAnswer:
        call = request.call
        row = keys.call(request.caller.name, request.service.name, request.key)
        claim = CallClaim(
            RUNNING,
            request.id,
            call_digest(call.method, call.path, call.body),
            self._session.session_id,
            self._clock(),
        )
        claimed = await claim_call(self._platform, row, claim)
        if isinstance(claimed, Err):
            return await self._not_claimed(request, row, claim, claimed.err_value)
        request.trace.add("claimed", "the key is new", session=claim.session)
        try:
            answer = await self._front.send(request)
        except RefusedError as refused:
            await self._record_refusal(row, claim, refused)
            raise
        done = claim.replace(
            state=DONE,
            ended=self._clock(),
            status=answer.status,
            headers=kept(answer.headers),
            body=answer.body,
        )
        await self._bounded(lambda: record_answer(self._platform, row, done))
        return answer

    async def _not_claimed(
        self, request: PlainRequest, row: str, claim: CallClaim, error: ClaimError
    ) -> PlainAnswer:
        if isinstance(error, Claimed):
            if error.claim is None:
                raise self._in_progress(request, "the key's first call just ended")
            return await self._resent(request, error.claim, claim.digest)
        if not isinstance(error, NotDone):
            # The claim may stand, but its one sender has given up: take it back.
            self._later(lambda: release_call(self._platform, row, claim.request))
        text = (
            "nothing was sent for this request, but whether the key's call ran "
            f"before cannot be looked up: {error.reason}"
        )
        retry_after_s = max(RETRY_AFTER_S, getattr(error, "retry_after_s", 0.0))
        raise request.refuse(
            "platform_away", text, 503, UNREADABLE_CLAIM_RUN, retry_after_s
        )

    async def _resent(
        self, request: PlainRequest, claim: CallClaim, digest: str
    ) -> PlainAnswer:
        alive = True
        if claim.state == RUNNING:
            found = await is_holder_alive(self._platform, claim)
            alive = isinstance(found, Err) or found.ok_value
        action = on_resend(claim, digest, alive, self._clock())
        match action:
            case KeyReused():
                text = "this idempotency key names another call"
                raise request.refuse("key_reused", text, 409, NOT_RUN)
            case StillRunning():
                raise self._in_progress(request, f"{claim.request} still runs")
            case OutcomeUnknown():
                raise request.refuse(
                    "outcome_unknown", _lost_text(action), 409, UNKNOWN
                )
            case AnswerRecorded():
                return await self._recorded(request, action.claim)

    async def _recorded(self, request: PlainRequest, claim: CallClaim) -> PlainAnswer:
        body = await read_recorded_body(self._platform, claim)
        if isinstance(body, Err):
            text = f"the call ran, its answer cannot be read now: {body.err_value}"
            raise request.refuse("platform_away", text, 503, RAN, RETRY_AFTER_S)
        request.trace.add("answered", "recorded before", request=claim.request)
        headers = of_pairs(claim.headers)
        headers["Idempotent-Replayed"] = "true"
        return PlainAnswer(claim.status, headers, body.ok_value)

    def _in_progress(self, request: PlainRequest, reason: str) -> RefusedError:
        return request.refuse("in_progress", reason, 409, UNKNOWN, RETRY_AFTER_S)

    async def _record_refusal(
        self, row: str, claim: CallClaim, refused: RefusedError
    ) -> None:
        refusal = refused.refusal
        if refusal.run == NOT_RUN:
            await self._bounded(
                lambda: release_call(self._platform, row, claim.request)
            )
            return
        now = self._clock()
        await self._bounded(
            lambda: record_lost(self._platform, row, claim.request, refusal.reason, now)
        )

    async def _bounded(self, write: RowWrite) -> None:
        """Try ``write`` for a while here, then on and on in the background."""
        task = self._later(write)
        await asyncio.wait({task}, timeout=self.record_s)

    def _later(self, write: RowWrite) -> asyncio.Task[object]:
        task = asyncio.get_running_loop().create_task(_until_settled(write))
        self._keep(task)
        return task


async def _until_settled(write: RowWrite) -> None:
    for _ in range(MOST_TRIES):
        outcome = await write()
        if not isinstance(outcome, Err):
            return
        if isinstance(outcome.err_value, Conflict):
            return
        await asyncio.sleep(RETRY_S)
    log.warning("the outcome of a keyed call was not recorded")


def _lost_text(action: OutcomeUnknown) -> str:
    return (
        f"request {action.request} under this key may have run, and it is not sent "
        f"again: {action.reason}"
    )
