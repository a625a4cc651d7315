"""Settling a transaction whose answer was lost.

The same transaction is sent again. If the first one had not taken effect the second
one does, or conflicts for a true reason; if it had, its rows carry the write token,
which a read shows. Either way the writes happen at most once, provided that each
transaction has a condition that its own effect makes false.
"""

import asyncio

from result import Err, Ok, Result

from caperridge.store.interface import (
    Committed,
    Condition,
    Conflict,
    DeleteRow,
    Platform,
    ReadError,
    Unknown,
    Write,
    WriteError,
)

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.05


async def transact_settled(
    platform: Platform,
    conditions: list[Condition],
    writes: list[Write],
    token: str,
    tries: int = MAX_ATTEMPTS,
) -> Result[Committed, WriteError]:
    """Transact, and turn an unknown outcome into a known one where possible.

    Args:
        platform: where to.
        conditions: at least one must be made false by ``writes``.
        writes: at least one must leave its row in place, to carry the token.
        token: unique to this change.
        tries: how often the platform is asked before the outcome stays unknown.
    """
    outcome = await platform.transact(conditions, writes, token)
    doubtful = isinstance(outcome, Err) and isinstance(outcome.err_value, Unknown)
    for number in range(tries - 1):
        if not doubtful:
            return outcome
        await asyncio.sleep(RETRY_DELAY_S * 2**number)
        outcome = await platform.transact(conditions, writes, token)
        if isinstance(outcome, Ok):
            return outcome
        if isinstance(outcome.err_value, Conflict):
            return await _read_back(platform, writes, token, outcome)
        # A refusal now says nothing of the first try, which is still in doubt.
        outcome = Err(Unknown("the platform's answer was lost"))
    return outcome


async def put_settled(
    platform: Platform, name: str, data: bytes, tries: int = MAX_ATTEMPTS
) -> Result[None, ReadError]:
    """Put an object, again if the answer was lost: the same bytes may be put twice.

    Args:
        platform: where to.
        name: of the object, which only this content is ever put under.
        data: its bytes.
        tries: how often the platform is asked before the outcome stays unknown.
    """
    outcome = await platform.put_object(name, data)
    for number in range(tries - 1):
        if isinstance(outcome, Ok) or not isinstance(outcome.err_value, Unknown):
            return outcome
        await asyncio.sleep(RETRY_DELAY_S * 2**number)
        outcome = await platform.put_object(name, data)
    return outcome


async def _read_back(
    platform: Platform,
    writes: list[Write],
    token: str,
    conflict: Result[Committed, WriteError],
) -> Result[Committed, WriteError]:
    keys = [write.key for write in writes if not isinstance(write, DeleteRow)]
    found = await platform.read(keys)
    if isinstance(found, Err):
        return Err(Unknown("the platform's answer was lost and cannot be read back"))
    versions_by_key = {
        key: row.version for key, row in found.ok_value.items() if row.token == token
    }
    if not versions_by_key:
        return conflict
    return Ok(Committed(versions_by_key))
