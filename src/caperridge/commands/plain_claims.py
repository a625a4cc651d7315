"""Claims of keyed calls: conditional rows that claim, record an outcome or release."""

import secrets

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.plain_calls import DONE, LOST, RUNNING, CallClaim
from caperridge.records import Record
from caperridge.store.interface import (
    Committed,
    Conflict,
    DeleteRow,
    FieldEquals,
    NotDone,
    Platform,
    PutRow,
    RowAbsent,
    SetFields,
    Unknown,
    Write,
    WriteError,
)
from caperridge.store.settle import transact_settled

MAX_ROW_BYTES = 16 * 1024


class Claimed(Record):
    """Refused: the key is claimed. ``claim`` is None if it was deleted meanwhile."""

    __slots__ = ("claim",)

    def __init__(self, claim: CallClaim | None) -> None:
        self.claim = claim


ClaimError = Claimed | NotDone | Unknown


async def claim_call(
    platform: Platform, key: str, claim: CallClaim
) -> Result[Committed, ClaimError]:
    """Insert ``claim``, whose request alone may send the call; durable before that.

    Args:
        platform: where the row is stored.
        key: key of the row.
        claim: in state ``running``.
    """
    session = keys.session(claim.session)
    outcome = await transact_settled(
        platform,
        [RowAbsent(key), FieldEquals(session, "state", ALIVE)],
        [PutRow(key, claim.to_map())],
        secrets.token_hex(8),
    )
    if isinstance(outcome, Ok) or not isinstance(outcome.err_value, Conflict):
        return outcome
    conflict = outcome.err_value
    if key not in conflict.failed_keys:
        return Err(NotDone("the own session is over", 1.0))
    row = conflict.rows_by_key.get(key)
    return Err(Claimed(CallClaim.from_map(row.value) if row else None))


async def record_answer(
    platform: Platform, key: str, done: CallClaim
) -> Result[Committed, WriteError]:
    """Store the call's answer for resends; a large body is first put in an object.

    Args:
        platform: where the row is stored.
        key: key of the row.
        done: in state ``done``, with its body.
    """
    if len(done.body) > MAX_ROW_BYTES:
        name = f"{key}/{done.request}"
        stored = await platform.put_object(name, done.body)
        if isinstance(stored, Err):
            return stored
        done = done.replace(body=b"", stored=name)
    assert done.state == DONE
    return await _record_outcome(
        platform, key, done.request, [PutRow(key, done.to_map())]
    )


async def record_lost(
    platform: Platform, key: str, request: str, reason: str, now: float
) -> Result[Committed, WriteError]:
    """Record that the call may have run and its answer is lost for good."""
    fields = {"state": LOST, "reason": reason, "ended": now}
    return await _record_outcome(platform, key, request, [SetFields(key, fields)])


async def release_call(
    platform: Platform, key: str, request: str
) -> Result[Committed, WriteError]:
    """Release the claim of a call that certainly did not run; a resend may send it."""
    conditions = [
        FieldEquals(key, "request", request),
        FieldEquals(key, "state", RUNNING),
    ]
    # A lost answer need not be resolved: whether the row is deleted or not, no call is
    # sent twice, and a remaining row only means that the outcome is unknown.
    return await platform.transact(
        conditions, [DeleteRow(key)], token=secrets.token_hex(8)
    )


async def _record_outcome(
    platform: Platform, key: str, request: str, writes: list[Write]
) -> Result[Committed, WriteError]:
    conditions = [
        FieldEquals(key, "request", request),
        FieldEquals(key, "state", RUNNING),
    ]
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))
