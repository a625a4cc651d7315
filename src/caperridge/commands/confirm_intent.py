"""Confirming a plan: the one way in which the configuration changes."""

import secrets

import xxhash
from result import Err, Ok, Result

from caperridge import keys
from caperridge.config.model import Configuration
from caperridge.decisions.plans import Plan, make_plan
from caperridge.platform.interface import (
    Conflict,
    Platform,
    PutRow,
    RowAbsent,
    RowVersion,
    WriteError,
)
from caperridge.platform.settle import transact_settled
from caperridge.queries.configuration import read_head
from caperridge.records import Record, pack


class HeadMoved(Record):
    """Not done: the configuration changed since the plan; ``plan`` is a new one."""

    __slots__ = ("plan",)

    def __init__(self, plan: Plan) -> None:
        self.plan = plan


async def confirm_intent(
    platform: Platform,
    wanted: Configuration,
    digest: str,
    operator: str,
) -> Result[Configuration, WriteError | HeadMoved]:
    """Make ``wanted`` the next version if the plan with ``digest`` still holds.

    Args:
        platform: where the log of versions is.
        wanted: the declared configuration; its version is ignored.
        digest: of the plan that the operator saw.
        operator: who confirms; kept in the log.
    """
    read = await read_head(platform)
    if isinstance(read, Err):
        return read
    head = read.ok_value
    plan = make_plan(head.configuration, wanted)
    if plan.digest != digest:
        return Err(HeadMoved(plan))
    version = head.configuration.version + 1
    confirmed = wanted.replace(version=version)
    data = pack(confirmed)
    content_digest = xxhash.xxh3_128_hexdigest(data)
    snapshot = keys.configuration_snapshot(version, content_digest)
    stored = await platform.put_object(snapshot, data)
    if isinstance(stored, Err):
        # Nothing refers to the object yet, so nothing has changed.
        return stored
    row = {"version": version, "snapshot": snapshot, "operator": operator}
    row["plan"] = digest
    condition = (
        RowVersion(keys.CONFIGURATION_HEAD, head.row_version)
        if head.row_version
        else RowAbsent(keys.CONFIGURATION_HEAD)
    )
    outcome = await transact_settled(
        platform,
        [condition],
        [
            PutRow(keys.CONFIGURATION_HEAD, row),
            PutRow(keys.configuration_version(version), row),
        ],
        token=secrets.token_hex(8),
    )
    if isinstance(outcome, Ok):
        return Ok(confirmed)
    if not isinstance(outcome.err_value, Conflict):
        return outcome
    return await _moved(platform, wanted)


async def _moved(
    platform: Platform, wanted: Configuration
) -> Result[Configuration, WriteError | HeadMoved]:
    read = await read_head(platform)
    if isinstance(read, Err):
        return read
    return Err(HeadMoved(make_plan(read.ok_value.configuration, wanted)))
