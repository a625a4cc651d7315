"""Confirmation of a plan: appends a version to the log by compare-and-swap.

This is the only way in which the configuration changes.
"""

import asyncio
import secrets

import xxhash
from result import Err, Ok, Result

from caperridge import keys
from caperridge.config.model import FORMAT, Configuration
from caperridge.decisions.configuration_order import PackedDelta, make_delta
from caperridge.decisions.plans import Plan, base_version_of, make_plan
from caperridge.queries.configuration import Head, LogEntry, read_entry, read_head
from caperridge.records import Record, pack
from caperridge.store.interface import (
    Conflict,
    NotDone,
    Platform,
    PutRow,
    RowAbsent,
    RowVersion,
    Unknown,
    WriteError,
)
from caperridge.store.settle import transact_settled

# A new instance reads at most this many deltas.
SNAPSHOT_INTERVAL_VERSIONS = 50
MAX_INLINE_BYTES = 32 * 1024  # a larger delta is stored as a separate object
MAX_PUT_ATTEMPTS = 3


class HeadMoved(Record):
    """Refused: the configuration changed since the plan; ``plan`` is a new one."""

    __slots__ = ("plan",)

    def __init__(self, plan: Plan) -> None:
        self.plan = plan


class Confirmed(Record):
    """The plan was confirmed as a version, by this call or by an earlier one.

    Attributes:
        version: number of the version.
        operator: who confirmed it.
        already: this call added no version, since an earlier call confirmed the plan
            (its answer may have been lost) or the plan is empty.
        configuration: the version itself; None if ``already``.
        delta: delta from the version before; None if ``already`` or if peers have to
            read the whole version.
    """

    __slots__ = ("already", "configuration", "delta", "operator", "version")

    def __init__(
        self,
        version: int,
        operator: str,
        already: bool = False,
        configuration: Configuration | None = None,
        delta: PackedDelta | None = None,
    ) -> None:
        self.version = version
        self.operator = operator
        self.already = already
        self.configuration = configuration
        self.delta = delta


ConfirmError = WriteError | HeadMoved


class Intent(Record):
    """What an operator confirms.

    Attributes:
        wanted: the declared configuration; its version is ignored.
        digest: digest of the plan that the operator saw.
        operator: who confirms it; stored in the log.
        at: now, in seconds since the epoch; stored in the log.
        rollback_to: the version whose content ``wanted`` is; 0 if it was declared.
    """

    __slots__ = ("at", "digest", "operator", "rollback_to", "wanted")

    def __init__(
        self,
        wanted: Configuration,
        digest: str,
        operator: str,
        at: float = 0.0,
        rollback_to: int = 0,
    ) -> None:
        self.wanted = wanted
        self.digest = digest
        self.operator = operator
        self.at = at
        self.rollback_to = rollback_to


async def confirm_intent(
    platform: Platform, intent: Intent, known: Configuration | None = None
) -> Result[Confirmed, ConfirmError]:
    """Make the intent the next version if its plan is still valid.

    A repeated call after a lost answer returns the outcome of the first one: the log
    stores the plan's digest, and a digest names exactly one base version.

    Args:
        platform: where the log of versions is stored.
        intent: the plan's declaration and digest.
        known: a version that this instance already has, so that less has to be read.
    """
    earlier = await _confirmed_before(platform, intent)
    if isinstance(earlier, Err):
        return earlier
    if earlier.ok_value is not None:
        return Ok(earlier.ok_value)
    read = await read_head(platform, known)
    if isinstance(read, Err):
        return Err(_nothing_written(read.err_value))
    head = read.ok_value
    # Takes tenths of a second for thousands of callers, too long for the event loop.
    plan = await asyncio.to_thread(make_plan, head.configuration, intent.wanted)
    if plan.digest != intent.digest:
        return Err(HeadMoved(plan))
    if not plan.changes and head.row_version:
        # An empty plan creates no version, so that a pipeline can run repeatedly.
        return Ok(Confirmed(head.configuration.version, intent.operator, True))
    entry = await _prepare_entry(platform, head, intent, len(plan.changes))
    if isinstance(entry, Err):
        return entry
    entry_row, delta = entry.ok_value
    outcome = await _commit(platform, head, entry_row)
    if isinstance(outcome, Ok):
        configuration = intent.wanted.replace(version=entry_row.version)
        return Ok(
            Confirmed(entry_row.version, intent.operator, False, configuration, delta)
        )
    if not isinstance(outcome.err_value, Conflict):
        return outcome
    return await _after_conflict(platform, intent)


async def _confirmed_before(
    platform: Platform, intent: Intent
) -> Result[Confirmed | None, ConfirmError]:
    base = base_version_of(intent.digest)
    if base is None:
        return Ok(None)
    found = await read_entry(platform, base + 1)
    if isinstance(found, Err):
        # This call wrote nothing; the outcome of an earlier one is still unknown.
        return Err(_nothing_written(found.err_value))
    entry = found.ok_value
    if entry is None or entry.plan != intent.digest:
        return Ok(None)
    return Ok(Confirmed(entry.version, entry.operator, already=True))


async def _prepare_entry(
    platform: Platform, head: Head, intent: Intent, changes: int
) -> Result[tuple[LogEntry, PackedDelta | None], WriteError]:
    """Store the objects of the new version; return its log entry and its delta."""
    version = head.configuration.version + 1
    confirmed = intent.wanted.replace(version=version)
    entry = LogEntry(
        version,
        intent.digest,
        intent.operator,
        head.snapshot,
        head.snapshot_version,
        await asyncio.to_thread(_pack_delta, head.configuration, confirmed),
        at=intent.at,
        changes=changes,
        rollback_to=intent.rollback_to,
        format=FORMAT,
    )
    packed = PackedDelta(version - 1, version, entry.delta)
    if len(entry.delta) > MAX_INLINE_BYTES:
        digest = xxhash.xxh3_128_hexdigest(entry.delta)
        entry.delta_object = keys.configuration_delta(version, digest)
        stored = await _put(platform, entry.delta_object, entry.delta)
        if isinstance(stored, Err):
            return stored
        entry.delta = b""
    newer = head.format > FORMAT
    due = (
        not head.snapshot
        or version - head.snapshot_version >= SNAPSHOT_INTERVAL_VERSIONS
    )
    if not due and not newer:
        return Ok((entry, packed))
    data = await asyncio.to_thread(pack, confirmed)
    digest = xxhash.xxh3_128_hexdigest(data)
    entry.snapshot = keys.configuration_snapshot(version, digest)
    entry.snapshot_version = version
    stored = await _put(platform, entry.snapshot, data)
    if isinstance(stored, Err):
        return stored
    # The delta lacks the fields that only the newer release knows, and instances of
    # that release must not keep them: every instance has to load this snapshot.
    return Ok((entry, None if newer else packed))


def _pack_delta(before: Configuration, after: Configuration) -> bytes:
    return pack(make_delta(before, after))


async def _put(platform: Platform, name: str, data: bytes) -> Result[None, NotDone]:
    """Store an object that nothing refers to yet, named by a digest of its content.

    An unknown outcome is therefore harmless: the put is retried, and after the last
    attempt it is reported as not done.
    """
    error: NotDone | Unknown = NotDone("the object store was not asked")
    for _ in range(MAX_PUT_ATTEMPTS):
        stored = await platform.put_object(name, data)
        if isinstance(stored, Ok):
            return stored
        error = stored.err_value
    return Err(_nothing_written(error))


def _nothing_written(error: NotDone | Unknown) -> NotDone:
    return error if isinstance(error, NotDone) else NotDone(error.reason)


async def _commit(
    platform: Platform, head: Head, entry: LogEntry
) -> Result[object, WriteError]:
    condition = (
        RowVersion(keys.CONFIGURATION_HEAD, head.row_version)
        if head.row_version
        else RowAbsent(keys.CONFIGURATION_HEAD)
    )
    row = entry.to_map()
    # The head is only a pointer; the delta itself is stored in the log.
    pointer = {**row, "delta": b""}
    return await transact_settled(
        platform,
        [condition],
        [
            PutRow(keys.CONFIGURATION_HEAD, pointer),
            PutRow(keys.configuration_version(entry.version), row),
        ],
        token=secrets.token_hex(8),
    )


async def _after_conflict(
    platform: Platform, intent: Intent
) -> Result[Confirmed, ConfirmError]:
    """Return the winner: the same plan confirmed elsewhere, or another change."""
    earlier = await _confirmed_before(platform, intent)
    if isinstance(earlier, Err):
        return earlier
    if earlier.ok_value is not None:
        return Ok(earlier.ok_value)
    read = await read_head(platform)
    if isinstance(read, Err):
        return Err(_nothing_written(read.err_value))
    return Err(HeadMoved(make_plan(read.ok_value.configuration, intent.wanted)))
