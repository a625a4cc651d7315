"""Sessions: one lease row for each instance, which keeps all of its claims alive."""

import secrets

from result import Result

from caperridge import keys
from caperridge.store.interface import (
    Committed,
    FieldEquals,
    Platform,
    PutRow,
    RowAbsent,
    RowVersion,
    SetFields,
    WriteError,
)
from caperridge.store.settle import transact_settled

ALIVE = "alive"
LAPSED = "lapsed"
CLOSED = "closed"


async def open_session(
    platform: Platform, session_id: str, instance: str, lease_s: float
) -> Result[Committed, WriteError]:
    """Insert the session's row; ``session_id`` is new with each start."""
    key = keys.session(session_id)
    value = {"state": ALIVE, "instance": instance, "lease_s": lease_s, "renewals": 0}
    return await transact_settled(
        platform, [RowAbsent(key)], [PutRow(key, value)], secrets.token_hex(8)
    )


async def renew_session(
    platform: Platform, session_id: str, renewals: int, configuration_version: int = 0
) -> Result[Committed, WriteError]:
    """Renew the lease of the session; refused once it was declared lapsed.

    The renewal also reports the configuration in force at its holder, for operators who
    wait for a version.
    """
    key = keys.session(session_id)
    fields = {"renewals": renewals, "configuration_version": configuration_version}
    return await platform.transact(
        [FieldEquals(key, "state", ALIVE)],
        [SetFields(key, fields)],
        secrets.token_hex(8),
    )


async def lapse_session(
    platform: Platform, session_id: str, seen_version: int
) -> Result[Committed, WriteError]:
    """Declare the session of another instance lapsed.

    Refused if it was renewed since ``seen_version``, which the caller must have
    observed unchanged for the whole lease on its own clock.
    """
    key = keys.session(session_id)
    return await transact_settled(
        platform,
        [RowVersion(key, seen_version)],
        [SetFields(key, {"state": LAPSED})],
        secrets.token_hex(8),
    )


async def close_session(
    platform: Platform, session_id: str
) -> Result[Committed, WriteError]:
    """Close the own session, so that its claims are free immediately."""
    key = keys.session(session_id)
    return await transact_settled(
        platform,
        [FieldEquals(key, "state", ALIVE)],
        [SetFields(key, {"state": CLOSED})],
        secrets.token_hex(8),
    )
