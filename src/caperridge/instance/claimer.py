"""The task that claims chunks: reads a job's rows, plans, transacts, reads items."""

import random
import time
from collections import OrderedDict
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands.chunk_claims import claim_chunks, claimed_state
from caperridge.commands.complete_job import complete_job
from caperridge.commands.sessions import ALIVE, CLOSED
from caperridge.decisions.chunks import chunk_items
from caperridge.decisions.claims import (
    Action,
    ChunkRow,
    JobView,
    Split,
    TakeOver,
    plan_claims,
)
from caperridge.decisions.jobs import CLAIMED, CheckpointedItems, Job
from caperridge.instance.actor import Actor
from caperridge.instance.batch_messages import (
    ChunkClaimed,
    ChunkSettled,
    ClaimEnded,
    ClaimWanted,
    JobEnded,
    SessionsLapsed,
)
from caperridge.instance.job_items import JobItems
from caperridge.queries.jobs import read_session_states, read_view
from caperridge.records import Record
from caperridge.store.interface import Conflict, Platform

MOST_VIEWS = 16
MOST_TRIES = 3
FIRST_REFRESH_S = 1.0
MOST_REFRESH_S = 10.0
PLATFORM_AWAY = "the platform is away"
ITEMS_AWAY = "its items cannot be read"
OTHERS_FIRST = "other jobs go first, by caller, slack and turn"
ALL_CLAIMED = "every chunk is claimed or done"


class CachedView:
    """A view with when to read it again, in monotonic seconds."""

    __slots__ = ("pause_s", "refresh_at", "view")

    def __init__(self, view: JobView) -> None:
        self.view = view
        self.pause_s = FIRST_REFRESH_S
        self.refresh_at = float("inf")


class Claims:
    """What was asked for, and what was read of the chunks before claiming them."""

    __slots__ = ("job", "lines_by_start", "saved_by_start", "wanted")

    def __init__(
        self,
        job: Job,
        wanted: ClaimWanted,
        lines_by_start: dict[int, list[bytes]],
        saved_by_start: dict[int, CheckpointedItems],
    ) -> None:
        self.job = job
        self.wanted = wanted
        self.lines_by_start = lines_by_start
        self.saved_by_start = saved_by_start


class ChunkClaimer(Actor):
    """Claims chunks when it is told that there is room.

    It works from its last view of a job and reads the rows again only when a claim
    conflicts, nothing is left to claim, or a session lapsed.

    Args:
        platform: where jobs and claims are.
        instance: the claim order is drawn from it.
        clock: monotonic seconds.
        tell: takes claims and what ended.
    """

    idle_s = 0.5

    def __init__(
        self,
        platform: Platform,
        instance: str,
        clock: Callable[[], float],
        tell: Callable[[Record], bool],
    ) -> None:
        super().__init__()
        self._platform = platform
        self._instance = instance
        self._clock = clock
        self._tell = tell
        self._items = JobItems(platform)
        self._views_by_job: OrderedDict[str, CachedView] = OrderedDict()
        self._states_by_session: OrderedDict[str, str] = OrderedDict()
        self._random = random.Random(instance)

    @singledispatchmethod
    async def handle(self, message: Record) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: ClaimWanted) -> None:
        ended = ClaimEnded(message.service, {}, {})
        try:
            await self._claim(message, ended)
        finally:
            # Without this the dispatcher would wait for it for good.
            self._tell(ended)

    @handle.register
    async def _(self, message: SessionsLapsed) -> None:
        for cached in self._views_by_job.values():
            # Jitter: every instance hears of it at once.
            cached.refresh_at = self._clock() + self._random.random()

    async def _claim(self, wanted: ClaimWanted, ended: ClaimEnded) -> None:
        left = wanted.want.items
        for load in wanted.want.loads:
            if left <= 0:
                ended.reasons_by_job[load.job.id] = OTHERS_FIRST
                continue
            job_id = load.job.id
            claimed, reason = await self._claim_of(load.job, wanted, left)
            left -= claimed
            if reason:
                ended.reasons_by_job[job_id] = reason
            cached = self._views_by_job.get(job_id)
            if cached is not None:
                done = cached.view.done_items()
                ended.remaining_by_job[job_id] = load.job.items - done
            if reason == PLATFORM_AWAY:
                return

    async def _claim_of(
        self, job: Job, wanted: ClaimWanted, left: int
    ) -> tuple[int, str]:
        """Return how many items were claimed, and why no more were."""
        claimed = 0
        for _ in range(MOST_TRIES):
            found = await self._view(job, wanted.session)
            if isinstance(found, Err):
                return claimed, PLATFORM_AWAY
            cached = found.ok_value
            if cached.view.complete():
                await self._complete(cached.view)
                return claimed, ""
            actions = self._plan(cached.view, wanted, left - claimed)
            if not actions:
                self._refresh_later(cached)
                return claimed, ALL_CLAIMED
            lines = await self._lines(job, actions)
            if isinstance(lines, Err):
                return claimed, ITEMS_AWAY
            saved = await self._saved(actions)
            if isinstance(saved, Err):
                return claimed, PLATFORM_AWAY
            outcome = await claim_chunks(self._platform, actions, wanted.session)
            if isinstance(outcome, Err):
                cached.refresh_at = 0.0
                error = outcome.err_value
                if not isinstance(error, Conflict):
                    return claimed, PLATFORM_AWAY
                if keys.job(job.id) in error.failed_keys:
                    self._forget(job.id)
                    return claimed, ""
                continue
            cached.pause_s = FIRST_REFRESH_S
            claims = Claims(job, wanted, lines.ok_value, saved.ok_value)
            claimed += self._hand_over(
                cached, actions, claims, outcome.ok_value.versions_by_key
            )
            if claimed >= left:
                break
        return claimed, ""

    def _hand_over(
        self,
        cached: CachedView,
        actions: list[Action],
        claims: Claims,
        versions_by_key: dict[str, int],
    ) -> int:
        """Tell of the chunks that are ours now; return how many items they have."""
        wanted = claims.wanted
        items = 0
        for action in actions:
            if isinstance(action, Split):
                # Its parts are free: they are seen with the next look at the rows.
                cached.refresh_at = 0.0
                continue
            self._took(
                cached.view, action, wanted.session, versions_by_key, wanted.in_hand
            )
            chunk = action.chunk
            items += chunk.items
            self._tell(
                ChunkClaimed(
                    claims.job,
                    chunk,
                    cached.view.rows_by_start[chunk.start].state,
                    wanted.session,
                    claims.lines_by_start[chunk.start],
                    claims.saved_by_start.get(chunk.start, CheckpointedItems()),
                )
            )
        return items

    def _plan(self, view: JobView, wanted: ClaimWanted, left: int) -> list[Action]:
        def abandoned(seen: ChunkRow, start: int) -> bool | None:
            session = seen.state.session
            if session == wanted.session:
                # A claim whose answer was lost for good: ours, but not worked on.
                ours = keys.chunk(view.job.id, start) in wanted.in_hand
                return None if ours else False
            state = self._states_by_session.get(session, ALIVE)
            if state == ALIVE:
                return None
            return state != CLOSED

        gaps = view.unclaimed_ranges()
        remaining = sum(gap.items for gap in gaps)
        sharers = len(view.holders() | {wanted.session})
        size = chunk_items(
            wanted.want.items_per_s, wanted.want.slots, remaining, sharers
        )
        return plan_claims(view, self._instance, left, size, abandoned)

    def _took(
        self,
        view: JobView,
        action: Action,
        session: str,
        versions_by_key: dict[str, int],
        in_hand: set[str],
    ) -> None:
        state = claimed_state(action, session)
        assert state is not None
        key = keys.chunk(view.job.id, action.chunk.start)
        version = versions_by_key.get(key, 0)
        view.rows_by_start[action.chunk.start] = ChunkRow(state, version)
        in_hand.add(key)

    async def _lines(
        self, job: Job, actions: list[Action]
    ) -> Result[dict[int, list[bytes]], Any]:
        lines_by_start: dict[int, list[bytes]] = {}
        for action in actions:
            if isinstance(action, Split):
                continue
            lines = await self._items.lines(job, action.chunk)
            if isinstance(lines, Err):
                return lines
            lines_by_start[action.chunk.start] = lines.ok_value
        return Ok(lines_by_start)

    async def _saved(
        self, actions: list[Action]
    ) -> Result[dict[int, CheckpointedItems], Any]:
        saved_by_start: dict[int, CheckpointedItems] = {}
        for action in actions:
            if not isinstance(action, TakeOver):
                continue
            state = action.row.state
            previous = state.session if state.state == CLAIMED else state.previous
            if not previous:
                continue
            saved = await self._items.saved(previous, action.chunk)
            if isinstance(saved, Err):
                return saved
            saved_by_start[action.chunk.start] = saved.ok_value
        return Ok(saved_by_start)

    async def _view(self, job: Job, own: str) -> Result[CachedView, Any]:
        cached = self._views_by_job.get(job.id)
        if cached is not None and self._clock() < cached.refresh_at:
            self._views_by_job.move_to_end(job.id)
            return Ok(cached)
        view = await read_view(self._platform, job)
        if isinstance(view, Err):
            return view
        holders = {
            session
            for session in view.ok_value.holders()
            if session != own and self._states_by_session.get(session, ALIVE) == ALIVE
        }
        if holders:
            states = await read_session_states(self._platform, holders)
            if isinstance(states, Err):
                return states
            self._states_by_session.update(states.ok_value)
            while len(self._states_by_session) > 1000:
                self._states_by_session.popitem(last=False)
        if cached is None:
            cached = CachedView(view.ok_value)
            self._views_by_job[job.id] = cached
            if len(self._views_by_job) > MOST_VIEWS:
                self._views_by_job.popitem(last=False)
        cached.view = view.ok_value
        cached.refresh_at = float("inf")
        return Ok(cached)

    def _refresh_later(self, cached: CachedView) -> None:
        if cached.refresh_at != float("inf"):
            return
        jitter = 0.75 + self._random.random() / 2
        cached.refresh_at = self._clock() + cached.pause_s * jitter
        cached.pause_s = min(MOST_REFRESH_S, cached.pause_s * 1.5)

    @handle.register
    async def _(self, settled: ChunkSettled) -> None:
        cached = self._views_by_job.get(settled.chunk.job)
        if cached is None:
            return
        if settled.state is None:
            cached.refresh_at = 0.0
            return
        cached.view.rows_by_start[settled.chunk.start] = ChunkRow(settled.state, 0)
        if cached.view.unclaimed_ranges():
            return
        # Perhaps the last chunk of the job: whoever commits that must see it.
        cached.refresh_at = 0.0
        view = await self._view(cached.view.job, settled.state.session)
        if isinstance(view, Ok) and view.ok_value.view.complete():
            await self._complete(view.ok_value.view)

    async def _complete(self, view: JobView) -> None:
        completed, failed = view.counts()
        outcome = await complete_job(
            self._platform, view.job.id, time.time(), completed, failed
        )
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, Conflict):
            self._forget(view.job.id)

    def _forget(self, job_id: str) -> None:
        self._views_by_job.pop(job_id, None)
        self._tell(JobEnded(job_id))
