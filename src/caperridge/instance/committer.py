"""The task that stores results and commits finished chunks, many at a time."""

import asyncio
import random
from collections.abc import Callable
from functools import singledispatchmethod

from result import Err, Ok

from caperridge import keys
from caperridge.commands.chunk_claims import (
    FinishedChunk,
    ReturnedChunk,
    commit_chunks,
    return_chunks,
)
from caperridge.decisions.jobs import DONE
from caperridge.instance.actor import Actor
from caperridge.instance.batch_messages import (
    CheckpointWanted,
    ChunkSettled,
    CommitWanted,
    ReturnWanted,
)
from caperridge.instance.session import SessionKeeper
from caperridge.log import logger
from caperridge.records import Record
from caperridge.store.interface import Conflict, Platform
from caperridge.store.settle import put_settled

log = logger(__name__)
MOST_AT_ONCE = 16
FIRST_PAUSE_S = 0.2
MOST_PAUSE_S = 2.0


class ChunkCommitter(Actor):
    """Holds finished chunks until they are committed or refused for good.

    While the platform is away they stay in memory; claims stop then too, so they are
    no more than what was claimed before.

    Args:
        platform: where results and claims are.
        session: whose claims they are.
        instance: seeds the jitter.
        clock: monotonic seconds.
        tell: takes what became of each chunk.
    """

    idle_s = 0.05

    def __init__(
        self,
        platform: Platform,
        session: SessionKeeper,
        instance: str,
        clock: Callable[[], float],
        tell: Callable[[Record], bool],
    ) -> None:
        super().__init__()
        self.waiting_by_key: dict[str, CommitWanted] = {}
        self._returns_by_key: dict[str, ReturnWanted] = {}
        self._stored: dict[str, FinishedChunk] = {}
        self._checkpoints_by_slot: dict[int, CheckpointWanted] = {}
        self._platform = platform
        self._session = session
        self._clock = clock
        self._tell = tell
        self._random = random.Random(instance)
        self._next_at = 0.0
        self._pause_s = FIRST_PAUSE_S

    @singledispatchmethod
    async def handle(self, message: Record) -> None:
        """Keep what came until the next tick."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: CheckpointWanted) -> None:
        if message.slot == 0:
            # A whole one stands for all before it.
            self._checkpoints_by_slot.clear()
        self._checkpoints_by_slot[message.slot] = message

    @handle.register
    async def _(self, message: CommitWanted) -> None:
        key = keys.chunk(message.chunk.job, message.chunk.start)
        self.waiting_by_key[key] = message
        self._stored.pop(key, None)

    @handle.register
    async def _(self, message: ReturnWanted) -> None:
        key = keys.chunk(message.chunk.job, message.chunk.start)
        self._returns_by_key[key] = message

    async def idle(self) -> None:
        """Store and commit what there is."""
        if self._clock() < self._next_at:
            return
        for key, wanted in list(self.waiting_by_key.items()):
            if wanted.session != self._session.session_id:
                self._settle(key, False, "the session is over")
        batch = list(self.waiting_by_key)[:MOST_AT_ONCE]
        if batch and self._session.left_s() > 0:
            await self._commit(batch)
        for wanted in list(self._checkpoints_by_slot.values()):
            # In order: a slot may be written over only after the whole one is there.
            if not await self._write_checkpoint(wanted):
                return
        if self._returns_by_key:
            # Only now: whoever claims them next reads what was saved of them.
            await self._return()

    def platform_is_back(self) -> None:
        """Try again soon: what is held here is lost if the instance is lost now."""
        self._pause_s = FIRST_PAUSE_S
        self._next_at = self._clock() + FIRST_PAUSE_S * self._random.random()

    async def flush(self) -> None:
        """Try once more to commit what is finished and to save the rest."""
        self._next_at = 0.0
        while self.waiting_by_key and self._clock() >= self._next_at:
            await self.idle()
        await self.idle()

    async def _commit(self, batch: list[str]) -> None:
        stored = await asyncio.gather(*[self._store(key) for key in batch])
        ready = [
            self._stored[key] for key, done in zip(batch, stored, strict=True) if done
        ]
        if not ready:
            self._wait()
            return
        if not self._session.holds(self.waiting_by_key[ready[0].key].session):
            return
        outcome = await commit_chunks(
            self._platform, ready, self.waiting_by_key[ready[0].key].session
        )
        if isinstance(outcome, Ok):
            self._pause_s = FIRST_PAUSE_S
            for chunk in ready:
                self._settle(chunk.key, True, "")
            return
        if isinstance(outcome.err_value, Conflict):
            self._sort_out(ready, outcome.err_value)
            return
        self._wait()

    async def _return(self) -> None:
        wanted_by_key = dict(list(self._returns_by_key.items())[:MOST_AT_ONCE])
        session = self._session.session_id
        returned = [
            ReturnedChunk(wanted.chunk, wanted.state)
            for wanted in wanted_by_key.values()
            if wanted.session == session
        ]
        if returned:
            if self._session.left_s() <= 0:
                # In hand until it is certain whose they are: forgotten now, they would
                # stay claimed for as long as the session lives.
                return
            outcome = await return_chunks(self._platform, returned, session)
            if isinstance(outcome, Err):
                error = outcome.err_value
                if not isinstance(error, Conflict):
                    self._wait()
                    return
                # The others are given back with the next tick.
                failed = set(error.failed_keys)
                wanted_by_key = {k: w for k, w in wanted_by_key.items() if k in failed}
        for key, wanted in wanted_by_key.items():
            del self._returns_by_key[key]
            log.info("chunk given back", job=wanted.chunk.job, start=wanted.chunk.start)
            self._tell(ChunkSettled(wanted.chunk, None, "given back"))

    async def _store(self, key: str) -> bool:
        if key in self._stored:
            return True
        wanted = self.waiting_by_key[key]
        state = wanted.state
        name = keys.chunk_result(
            wanted.chunk.job, wanted.chunk.start, f"{wanted.session}-{state.attempts}"
        )
        outcome = await put_settled(self._platform, name, wanted.data)
        if isinstance(outcome, Err):
            return False
        done = state.replace(
            state=DONE, result=name, completed=wanted.completed, failed=wanted.failed
        )
        self._stored[key] = FinishedChunk(wanted.chunk, done)
        return True

    def _sort_out(self, ready: list[FinishedChunk], conflict: Conflict) -> None:
        """Settle those whose condition failed; the others are tried again."""
        failed = set(conflict.failed_keys)
        session_key = keys.session(self.waiting_by_key[ready[0].key].session)
        for chunk in ready:
            row = conflict.rows_by_key.get(chunk.key)
            if row is not None and row.value.get("result") == chunk.done.result:
                self._settle(chunk.key, True, "")
            elif session_key in failed:
                self._settle(chunk.key, False, "the session lapsed")
            elif chunk.key in failed:
                self._settle(chunk.key, False, "the claim is no longer ours")
            elif keys.job(chunk.chunk.job) in failed:
                self._settle(chunk.key, False, "the job has ended")

    def _settle(self, key: str, committed: bool, reason: str) -> None:
        wanted = self.waiting_by_key.pop(key)
        finished = self._stored.pop(key, None)
        state = finished.done if finished is not None and committed else None
        log.info(
            "chunk committed" if committed else "chunk refused",
            job=wanted.chunk.job,
            start=wanted.chunk.start,
            reason=reason,
        )
        self._tell(ChunkSettled(wanted.chunk, state, reason))

    async def _write_checkpoint(self, wanted: CheckpointWanted) -> bool:
        name = keys.checkpoint(wanted.session, wanted.slot)
        outcome = await put_settled(self._platform, name, wanted.data)
        if isinstance(outcome, Err):
            self._wait()
            return False
        if self._checkpoints_by_slot.get(wanted.slot) is wanted:
            del self._checkpoints_by_slot[wanted.slot]
        return True

    def _wait(self) -> None:
        # Jitter: all instances find the platform back at the same time.
        self._next_at = self._clock() + self._pause_s * (0.5 + self._random.random())
        self._pause_s = min(MOST_PAUSE_S, self._pause_s * 2)
