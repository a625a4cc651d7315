"""Claiming a keyed call, recording its outcome, giving the claim back."""

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
    """Not claimed: the key names a call already. ``claim`` is None if it just went."""

    __slots__ = ("claim",)

    def __init__(self, claim: CallClaim | None) -> None:
        self.claim = claim


ClaimError = Claimed | NotDone | Unknown


async def claim_call(
    platform: Platform, key: str, claim: CallClaim
) -> Result[Committed, ClaimError]:
    """Make ``claim`` the only one that may send the call; durable before it is sent.

    Args:
        platform: where the row is kept.
        key: of the row.
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
    """Keep the call's answer for resends; a large body goes to an object first.

    Args:
        platform: where the row is kept.
        key: of the row.
        done: in state ``done``, its body in place.
    """
    if len(done.body) > MAX_ROW_BYTES:
        name = f"{key}/{done.request}"
        stored = await platform.put_object(name, done.body)
        if isinstance(stored, Err):
            return stored
        done = done.replace(body=b"", stored=name)
    assert done.state == DONE
    return await _end(platform, key, done.request, [PutRow(key, done.to_map())])


async def record_lost(
    platform: Platform, key: str, request: str, reason: str, now: float
) -> Result[Committed, WriteError]:
    """Note that the call may have run and its answer is lost for good."""
    fields = {"state": LOST, "reason": reason, "ended": now}
    return await _end(platform, key, request, [SetFields(key, fields)])


async def release_call(
    platform: Platform, key: str, request: str
) -> Result[Committed, WriteError]:
    """Give the claim back: the call was certainly not run, a resend may send it."""
    conditions = [
        FieldEquals(key, "request", request),
        FieldEquals(key, "state", RUNNING),
    ]
    # A lost answer needs no settling: whether the row stays or goes, no call is sent
    # twice, and a row that stays says no more than that the outcome is unknown.
    return await platform.transact(
        conditions, [DeleteRow(key)], token=secrets.token_hex(8)
    )


async def _end(
    platform: Platform, key: str, request: str, writes: list[Write]
) -> Result[Committed, WriteError]:
    conditions = [
        FieldEquals(key, "request", request),
        FieldEquals(key, "state", RUNNING),
    ]
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))
