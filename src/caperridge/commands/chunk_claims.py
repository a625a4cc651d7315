"""Conditional transactions that claim, split, commit and return several chunks."""

import secrets
from functools import singledispatch

from result import Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.claims import (
    Action,
    ChunkRow,
    ClaimNew,
    Split,
    TakeOver,
    count_deaths,
)
from caperridge.decisions.jobs import CLAIMED, DONE, FREE, OPEN, ChunkState
from caperridge.records import Record
from caperridge.store.interface import (
    Committed,
    Condition,
    FieldEquals,
    Platform,
    PutRow,
    RowAbsent,
    RowVersion,
    Write,
    WriteError,
)
from caperridge.store.settle import transact_settled


class FinishedChunk(Record):
    """A chunk whose results are stored, and its row with state ``done``."""

    __slots__ = ("chunk", "done")

    def __init__(self, chunk: Chunk, done: ChunkState) -> None:
        self.chunk = chunk
        self.done = done

    @property
    def key(self) -> str:
        """The key of its row."""
        return keys.chunk(self.chunk.job, self.chunk.start)


async def claim_chunks(
    platform: Platform, actions: list[Action], session_id: str
) -> Result[Committed, WriteError]:
    """Apply all planned actions or none; durable before any item starts.

    Refused if one of the chunks changed since it was read, a job is no longer open,
    or the own session was declared lapsed.

    Args:
        platform: where the claims are stored.
        actions: planned actions on one or more jobs.
        session_id: the own session.
    """
    conditions: list[Condition] = [
        FieldEquals(keys.session(session_id), "state", ALIVE)
    ]
    for job_id in sorted({action.chunk.job for action in actions}):
        conditions.append(FieldEquals(keys.job(job_id), "state", OPEN))
    writes: list[Write] = []
    for action in actions:
        conditions.extend(_conditions(action))
        writes.extend(_writes(action, session_id))
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))


async def commit_chunks(
    platform: Platform, finished: list[FinishedChunk], session_id: str
) -> Result[Committed, WriteError]:
    """Commit the results of all chunks or none.

    Refused if a claim is no longer held by the session, the session was declared
    lapsed, or a job was cancelled.

    Args:
        platform: where the claims are stored.
        finished: the chunks, each with its new row.
        session_id: the own session.
    """
    conditions: list[Condition] = [
        FieldEquals(keys.session(session_id), "state", ALIVE)
    ]
    for job_id in sorted({chunk.chunk.job for chunk in finished}):
        conditions.append(FieldEquals(keys.job(job_id), "state", OPEN))
    writes: list[Write] = []
    for chunk in finished:
        assert chunk.done.state == DONE
        conditions.append(FieldEquals(chunk.key, "session", session_id))
        conditions.append(FieldEquals(chunk.key, "state", CLAIMED))
        conditions.append(FieldEquals(chunk.key, "attempts", chunk.done.attempts))
        writes.append(PutRow(chunk.key, chunk.done.to_map()))
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))


class ReturnedChunk(Record):
    """A chunk that its holder returns, with the row that its claim wrote."""

    __slots__ = ("chunk", "claimed")

    def __init__(self, chunk: Chunk, claimed: ChunkState) -> None:
        self.chunk = chunk
        self.claimed = claimed

    @property
    def key(self) -> str:
        """The key of its row."""
        return keys.chunk(self.chunk.job, self.chunk.start)


async def return_chunks(
    platform: Platform, returned: list[ReturnedChunk], session_id: str
) -> Result[Committed, WriteError]:
    """Return all claims or none; other instances may then claim the chunks.

    Refused if one of the claims is no longer held by the session.

    Args:
        platform: where the claims are stored.
        returned: the chunks, each with its row as claimed.
        session_id: the own session.
    """
    conditions: list[Condition] = []
    writes: list[Write] = []
    for chunk in returned:
        conditions.append(FieldEquals(chunk.key, "session", session_id))
        conditions.append(FieldEquals(chunk.key, "state", CLAIMED))
        conditions.append(FieldEquals(chunk.key, "attempts", chunk.claimed.attempts))
        free = chunk.claimed.replace(state=FREE, session="", previous=session_id)
        writes.append(PutRow(chunk.key, free.to_map()))
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))


def claimed_state(action: Action, session_id: str) -> ChunkState | None:
    """Return the row of a claim by ``session_id``; None for a split."""
    if isinstance(action, ClaimNew):
        return ChunkState(action.chunk.end, CLAIMED, session_id)
    if isinstance(action, TakeOver):
        before = action.row.state
        return ChunkState(
            action.chunk.end,
            CLAIMED,
            session_id,
            attempts=before.attempts + 1,
            deaths=count_deaths(action.row, action.holder_died),
            previous=_previous(action.row),
        )
    return None


@singledispatch
def _conditions(action: Action) -> list[Condition]:
    raise NotImplementedError(type(action).__name__)


@_conditions.register
def _(action: ClaimNew) -> list[Condition]:
    return [RowAbsent(keys.chunk(action.chunk.job, action.chunk.start))]


@_conditions.register
def _(action: TakeOver) -> list[Condition]:
    key = keys.chunk(action.chunk.job, action.chunk.start)
    return [RowVersion(key, action.row.version)]


@_conditions.register
def _(action: Split) -> list[Condition]:
    first, *rest = action.parts
    conditions: list[Condition] = [
        RowVersion(keys.chunk(first.job, first.start), action.row.version)
    ]
    conditions.extend(RowAbsent(keys.chunk(part.job, part.start)) for part in rest)
    return conditions


def _writes(action: Action, session_id: str) -> list[Write]:
    if not isinstance(action, Split):
        key = keys.chunk(action.chunk.job, action.chunk.start)
        state = claimed_state(action, session_id)
        assert state is not None
        return [PutRow(key, state.to_map())]
    writes: list[Write] = []
    for part in action.parts:
        # One death is carried over, so that the next death splits the part again.
        state = ChunkState(
            part.end,
            FREE,
            attempts=action.row.state.attempts,
            deaths=1,
            previous=_previous(action.row),
        )
        writes.append(PutRow(keys.chunk(part.job, part.start), state.to_map()))
    return writes


def _previous(row: ChunkRow) -> str:
    if row.state.state == FREE:
        return row.state.previous
    return row.state.session
