"""When an instance takes a job from another, by what it hears and what it reads."""

import asyncio
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.decisions.rendezvous import owner
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.jobs.claims import JobClaimer
from caperridge.gateway.jobs.codec import from_bytes, job_to_bytes, to_bytes
from caperridge.gateway.jobs.holders import TAKEOVER_AFTER_S
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keeper import ORPHAN_CHECK_INTERVAL_S, JobKeeper
from caperridge.gateway.jobs.keeping import JobWriter
from caperridge.gateway.jobs.keys import head_key
from caperridge.gateway.jobs.model import JobEntry, JobHead, JobItem, JobRequest
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import JobNews
from caperridge.gateway.rows import StoredRow
from caperridge.gateway.watcher import StoreReachability
from gateway.conftest import HOST
from gateway.memory_rows import MemoryRows

PEERS = ["e-1", "e-2"]
OWN = "e-0.0"
# One that falls to the instance under test, whoever of the others is heard.
JOB = next(
    id
    for id in (f"j{number}" for number in range(100))
    if owner(id, ["e-0", *PEERS]) == "e-0"
)
ENTRY = JobEntry(JOB, "work", HOST, 1, 0.0, 1, "items")
TURNS = 40


class NoSlots:
    """Grants nothing; only who holds the job matters here."""

    has_requests = False

    def on_news(self, call: Any) -> None:
        pass


class Keeping:
    """One keeper on a clock that goes only when it is told to."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now = loop.time()
        loop.time = lambda: self.now
        self.rows = MemoryRows([], [])
        item = JobItem("x0", "/work/x0", [], b"", 1)
        self.rows.objects["items"] = job_to_bytes(JobRequest([item]))
        self.mesh = Mesh("e-0", OWN, "a", "", [], random.Random(1))
        index = JobIndex()
        index.copy.apply_snapshot([], 1)
        index.entries_by_job[JOB] = ENTRY
        reach = StoreReachability()
        reach.reached = True
        self.keeper = JobKeeper(
            self.rows,
            index,
            ConfigurationInForce(),
            self.mesh,
            reach,
            JobWriter(self.rows, OWN, 65536),
            JobClaimer(self.rows, self.mesh),
            NoSlots(),
            NoSlots(),
        )
        self._version = 100

    def store_says(self, holder: str) -> None:
        """Write the head as ``holder`` does when it claims the job."""
        self._version += 1
        key = head_key(JOB)
        value = to_bytes(JobHead(holder, 1))
        self.rows.rows_by_key[key] = StoredRow(key, value, self._version)

    @property
    def holder(self) -> str:
        """Who holds the job as the store says."""
        return from_bytes(JobHead, self.rows.rows_by_key[head_key(JOB)].value).holder

    def hears(self, incarnation: str) -> None:
        """Hear from a life of a peer."""
        id = incarnation.partition(".")[0]
        members = self.mesh.members_by_id
        member = members.setdefault(id, Member(id, id, "a", self.now))
        if member.lost_at is None and member.incarnation != incarnation:
            self.mesh.mark_lost(member, "it was started again")
        member.incarnation = incarnation
        self.mesh.roster.changes += 1
        self.mesh._handle(member, None)

    def loses(self, incarnation: str) -> None:
        """Find that a life of a peer is silent."""
        member = self.mesh.members_by_id.get(incarnation.partition(".")[0])
        if member is not None and member.lost_at is None:
            self.mesh.mark_lost(member, "it is silent")

    def told(self, holder: str) -> None:
        """Hear that ``holder`` has the job."""
        self.keeper._told("e-1", JobNews(JOB, holder, 0))

    async def check(self) -> bool:
        """Look for orphans; return whether the job is held here after it."""
        self.keeper._claim_orphans(self.now)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        return JOB in self.keeper.held_by_id

    async def check_for(self, seconds: float) -> bool:
        """Look as often as a keeper does, for so long; stop when the job is held."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + ORPHAN_CHECK_INTERVAL_S)
            if await self.check():
                return True
        return False

    async def end(self) -> None:
        """End the tasks."""
        for task in self.keeper._tasks:
            task.cancel()
        await asyncio.gather(*self.keeper._tasks, return_exceptions=True)


@pytest.fixture
async def keeping() -> Any:
    made = Keeping(asyncio.get_running_loop())
    yield made
    await made.end()


async def test_a_job_found_held_is_left_alone_when_its_holder_falls_silent_then(
    keeping: Keeping,
) -> None:
    """The time in which the holder before was not heard is none of the new one's."""
    keeping.hears("e-1.1")
    keeping.told("e-1.1")
    keeping.loses("e-1.1")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    keeping.hears("e-2.1")
    keeping.store_says("e-2.1")
    assert not await keeping.check_for(0.2)  # it finds the job held
    keeping.loses("e-2.1")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await keeping.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_a_holder_that_only_the_store_knows_of_has_its_time(
    keeping: Keeping,
) -> None:
    keeping.hears("e-1.1")
    keeping.hears("e-2.1")
    keeping.told("e-1.1")
    keeping.loses("e-1.1")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    keeping.loses("e-2.1")
    keeping.store_says("e-2.1")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await keeping.check_for(3 * ORPHAN_CHECK_INTERVAL_S)


async def test_late_news_that_a_job_was_given_up_takes_nothing_from_who_has_it(
    keeping: Keeping,
) -> None:
    keeping.hears("e-2.1")
    keeping.store_says("e-2.1")
    keeping.told("e-2.1")
    assert not await keeping.check_for(ORPHAN_CHECK_INTERVAL_S)
    keeping.loses("e-2.1")
    keeping.told("")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await keeping.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_a_life_that_is_over_is_taken_at_once(keeping: Keeping) -> None:
    """A later life of the same instance has said hello."""
    keeping.hears("e-1.1")
    keeping.store_says("e-1.1")
    keeping.told("e-1.1")
    assert not await keeping.check_for(ORPHAN_CHECK_INTERVAL_S)
    keeping.hears("e-1.2")
    assert await keeping.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_after_all_were_lost_jobs_are_taken_as_soon_as_they_are_back(
    keeping: Keeping,
) -> None:
    """Nobody knows the holder, and the store names one that has started again."""
    keeping.store_says("e-1.1")
    keeping.hears("e-1.2")
    assert await keeping.check_for(TAKEOVER_AFTER_S - ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_the_own_life_before_is_taken_at_once(keeping: Keeping) -> None:
    keeping.store_says("e-0.old")
    assert await keeping.check_for(TAKEOVER_AFTER_S - ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_who_is_never_heard_is_taken_no_later_than_before(
    keeping: Keeping,
) -> None:
    keeping.store_says("e-1.1")
    assert not await keeping.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await keeping.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


LIVES = ["e-1.1", "e-1.2", "e-2.1", "e-2.2"]
# Looks of the keeper in a row; with five a holder has almost been silent for too long.
MOST_LOOKS = 5
moves = st.lists(
    st.tuples(
        st.sampled_from(["hears", "loses", "told", "store_says"]),
        st.sampled_from([*LIVES, ""]),
        st.integers(0, MOST_LOOKS),
    ),
    max_size=20,
)


@given(moves)
@settings(max_examples=1000, derandomize=True, deadline=None)
def test_no_job_is_taken_from_a_life_that_was_heard_lately(
    moves: list[tuple[str, str, int]],
) -> None:
    """Unless a later life of the same instance is heard by then."""
    asyncio.run(_play(moves))


async def _play(moves: list[tuple[str, str, int]]) -> None:
    keeping = Keeping(asyncio.get_running_loop())
    heard_at: dict[str, float] = {}
    speaking: dict[str, str] = {}
    keeping.store_says("e-1.1")
    for move, life, looks in moves:
        peer = life.partition(".")[0]
        if move in ("told", "store_says") or life:
            getattr(keeping, move)(life)
        if move == "loses":
            speaking.pop(peer, None)
        elif move == "hears" and life:
            speaking[peer] = life
        for _ in range(looks):
            heard_at |= dict.fromkeys(speaking.values(), keeping.now)
            keeping.now += ORPHAN_CHECK_INTERVAL_S
            before = keeping.holder
            if not await keeping.check():
                continue
            replaced = speaking.get(before.partition(".")[0], before) != before
            silent_s = keeping.now - heard_at.get(before, float("-inf"))
            assert before == "" or replaced or silent_s >= TAKEOVER_AFTER_S
            await keeping.end()
            return
    await keeping.end()
