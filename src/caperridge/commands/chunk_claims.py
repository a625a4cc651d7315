"""Claiming, committing and releasing chunks."""

import secrets

from result import Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.jobs import CLAIMED, DONE, OPEN, ChunkState
from caperridge.platform.interface import (
    Committed,
    Condition,
    FieldEquals,
    Platform,
    PutRow,
    Row,
    RowAbsent,
    RowVersion,
    WriteError,
)
from caperridge.platform.settle import transact_settled


async def claim_chunk(
    platform: Platform, chunk: Chunk, seen: Row | None, session_id: str
) -> Result[Committed, WriteError]:
    """Claim a chunk that nobody holds; durable before any of its items starts.

    Args:
        platform: where the claim is kept.
        chunk: which one.
        seen: its row as read, free or of a session that ended; None if there is none.
        session_id: the own session.
    """
    key = keys.chunk(chunk.job, chunk.index)
    attempts = 1 if seen is None else seen.value["attempts"] + 1
    free: Condition = RowAbsent(key) if seen is None else RowVersion(key, seen.version)
    conditions = [
        free,
        FieldEquals(keys.job(chunk.job), "state", OPEN),
        FieldEquals(keys.session(session_id), "state", ALIVE),
    ]
    state = ChunkState(CLAIMED, session_id, attempts)
    return await transact_settled(
        platform, conditions, [PutRow(key, state.to_map())], secrets.token_hex(8)
    )


async def commit_chunk(
    platform: Platform,
    chunk: Chunk,
    session_id: str,
    done: ChunkState,
) -> Result[Committed, WriteError]:
    """Make the results of a chunk the ones that count.

    Refused if the claim is no longer ours, our session was declared lapsed, or the
    job was cancelled.
    """
    key = keys.chunk(chunk.job, chunk.index)
    conditions: list[Condition] = [
        FieldEquals(key, "session", session_id),
        FieldEquals(key, "state", CLAIMED),
        FieldEquals(key, "attempts", done.attempts),
        FieldEquals(keys.job(chunk.job), "state", OPEN),
        FieldEquals(keys.session(session_id), "state", ALIVE),
    ]
    assert done.state == DONE
    return await transact_settled(
        platform, conditions, [PutRow(key, done.to_map())], secrets.token_hex(8)
    )
