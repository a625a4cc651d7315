"""Write-ahead records of started items, for services that are not repeatable."""

import secrets

from result import Result

from caperridge import keys
from caperridge.commands.sessions import ALIVE
from caperridge.decisions.jobs import CLAIMED, OPEN
from caperridge.records import Record
from caperridge.store.interface import (
    Committed,
    Condition,
    DeleteRow,
    FieldEquals,
    Platform,
    PutRow,
    RowAbsent,
    Write,
    WriteError,
)
from caperridge.store.settle import transact_settled


class HeldChunk(Record):
    """A chunk as its holder claimed it.

    Attributes:
        job: id of the job.
        lane: first item of its lane.
        start: first item of the chunk.
        attempts: attempts of its row, which differ from claim to claim.
        session: session of the holder.
    """

    __slots__ = ("attempts", "job", "lane", "session", "start")

    def __init__(
        self, job: str, lane: int, start: int, attempts: int, session: str
    ) -> None:
        self.job = job
        self.lane = lane
        self.start = start
        self.attempts = attempts
        self.session = session

    @property
    def key(self) -> str:
        """The key of its row."""
        return keys.chunk(self.job, self.start)

    def conditions(self) -> list[Condition]:
        """Return the conditions under which its holder may start items."""
        return [
            FieldEquals(keys.session(self.session), "state", ALIVE),
            FieldEquals(keys.job(self.job), "state", OPEN),
            FieldEquals(self.key, "session", self.session),
            FieldEquals(self.key, "state", CLAIMED),
            FieldEquals(self.key, "attempts", self.attempts),
        ]


class StartedRow(Record):
    """The row for some items of one chunk that are started together."""

    __slots__ = ("chunk", "indexes", "key")

    def __init__(self, chunk: HeldChunk, indexes: list[int]) -> None:
        self.chunk = chunk
        self.indexes = indexes
        name = f"{indexes[0]:06d}-{secrets.token_hex(6)}"
        self.key = keys.started_row(chunk.job, chunk.lane, name)


async def record_started_items(
    platform: Platform, rows: list[StartedRow]
) -> Result[Committed, WriteError]:
    """Record durably that the items are started; only then may they be sent.

    Refused if a chunk is no longer held by its holder, or a job is no longer open.

    Args:
        platform: where the rows are stored.
        rows: rows of any chunks.
    """
    conditions: list[Condition] = []
    writes: list[Write] = []
    for row in rows:
        conditions.append(RowAbsent(row.key))
        for condition in row.chunk.conditions():
            if condition not in conditions:
                conditions.append(condition)
        writes.append(PutRow(row.key, {"indexes": row.indexes}))
    return await transact_settled(platform, conditions, writes, secrets.token_hex(8))


async def return_unsent_items(
    platform: Platform, row: StartedRow, sent: list[int]
) -> Result[Committed, WriteError]:
    """Withdraw the records of items that were never sent, for the next holder to send.

    Args:
        platform: where the row is stored.
        row: as it was written.
        sent: those of its items that may have been sent.
    """
    write: Write = PutRow(row.key, {"indexes": sent}) if sent else DeleteRow(row.key)
    # A lost answer need not be resolved: a remaining row only makes items unknown.
    return await platform.transact(
        row.chunk.conditions(), [write], secrets.token_hex(8)
    )
