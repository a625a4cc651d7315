"""Reads of the claims of keyed calls."""

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.plain_calls import CallClaim
from caperridge.store.interface import NotDone, Platform, ReadError


async def is_holder_alive(
    platform: Platform, claim: CallClaim
) -> Result[bool, ReadError]:
    """Return whether the session that may send the call is alive."""
    key = keys.session(claim.session)
    found = await platform.read([key])
    if isinstance(found, Err):
        return found
    row = found.ok_value.get(key)
    return Ok(row is not None and row.value["state"] == ALIVE)


async def read_recorded_body(
    platform: Platform, claim: CallClaim
) -> Result[bytes, ReadError]:
    """Return the body of a recorded answer, from its row or its object."""
    if not claim.stored:
        return Ok(claim.body)
    data = await platform.get_object(claim.stored)
    if isinstance(data, Err):
        return data
    if data.ok_value is None:
        return Err(NotDone(f"the object {claim.stored} is missing"))
    return Ok(data.ok_value)
