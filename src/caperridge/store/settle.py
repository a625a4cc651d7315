"""Idempotent retries of transactions and object writes whose answer was lost.

The same transaction is sent again. If the first attempt had no effect, the second is
applied or has a genuine conflict. If the first was applied, the second conflicts, and a
read finds the write token in its rows. The writes are applied at most once, provided
that each transaction has a condition that its own writes make false.
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
    """Transact, and resolve an unknown outcome where possible.

    Args:
        platform: the platform to write to.
        conditions: at least one must be made false by ``writes``.
        writes: at least one must not delete its row, which then has the token.
        token: unique to this change.
        tries: maximum number of attempts before the outcome stays unknown.
    """
    outcome = await platform.transact(conditions, writes, token)
    in_doubt = isinstance(outcome, Err) and isinstance(outcome.err_value, Unknown)
    for number in range(tries - 1):
        if not in_doubt:
            return outcome
        await asyncio.sleep(RETRY_DELAY_S * 2**number)
        outcome = await platform.transact(conditions, writes, token)
        if isinstance(outcome, Ok):
            return outcome
        if isinstance(outcome.err_value, Conflict):
            return await _read_back(platform, writes, token, outcome)
        # A refusal of this attempt leaves the outcome of the first one unknown.
        outcome = Err(Unknown("the platform's answer was lost"))
    return outcome


async def put_settled(
    platform: Platform, name: str, data: bytes, tries: int = MAX_ATTEMPTS
) -> Result[None, ReadError]:
    """Put an object, and retry if the answer was lost.

    Args:
        platform: the platform to write to.
        name: of the object; never used for other content, so that putting it twice
            is harmless.
        data: its bytes.
        tries: maximum number of attempts before the outcome stays unknown.
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
