"""When an instance takes over a job, by messages of peers and reads of the store."""

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
from caperridge.gateway.jobs.keeper import (
    ORPHAN_CHECK_INTERVAL_S,
    REJECTED_RETRY_DELAY_S,
    JobKeeper,
)
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
# A job that hashing assigns to the instance under test, whichever peers are alive.
JOB = next(
    id
    for id in (f"j{number}" for number in range(100))
    if owner(id, ["e-0", *PEERS]) == "e-0"
)
ENTRY = JobEntry(JOB, "work", HOST, 1, 0.0, 1, "items")
LOOP_ITERATIONS = 40


class NoSlots:
    """Grants nothing; these tests are only about the holder of the job."""

    has_requests = False

    def on_update(self, call: Any) -> None:
        pass


class KeeperHarness:
    """One keeper with a clock that the test advances."""

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
            JobWriter(self.rows, OWN),
            JobClaimer(self.rows, self.mesh),
            NoSlots(),
            NoSlots(),
        )
        self._version = 100

    def write_head(self, holder: str, head: JobHead | None = None) -> None:
        """Write the head as ``holder`` does when it claims the job, or ``head``."""
        self._version += 1
        key = head_key(JOB)
        value = to_bytes(head or JobHead(holder, 1))
        self.rows.rows_by_key[key] = StoredRow(key, value, self._version)

    @property
    def holder(self) -> str:
        """The holder of the job in the store."""
        return from_bytes(JobHead, self.rows.rows_by_key[head_key(JOB)].value).holder

    def receive(self, incarnation: str) -> None:
        """Receive from an incarnation of a peer."""
        id = incarnation.partition(".")[0]
        members = self.mesh.members_by_id
        member = members.setdefault(id, Member(id, id, "a", self.now))
        if member.lost_at is None and member.incarnation != incarnation:
            self.mesh.mark_lost(member, "it was started again")
        member.incarnation = incarnation
        self.mesh.roster.changes += 1
        self.mesh._handle(member, None)

    def lose(self, incarnation: str) -> None:
        """Detect that an incarnation of a peer is silent."""
        member = self.mesh.members_by_id.get(incarnation.partition(".")[0])
        if member is not None and member.lost_at is None:
            self.mesh.mark_lost(member, "it is silent")

    def report_holder(self, holder: str) -> None:
        """Receive an update that ``holder`` has the job."""
        self.keeper._handle_update("e-1", JobNews(JOB, holder, 0))

    async def check(self) -> bool:
        """Check for orphaned jobs; return whether the job is held here afterwards."""
        self.keeper._claim_orphans(self.now)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return JOB in self.keeper.held_by_id

    async def check_for(self, seconds: float) -> bool:
        """Check at the keeper's interval for ``seconds``, or until the job is held."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + ORPHAN_CHECK_INTERVAL_S)
            if await self.check():
                return True
        return False

    async def end(self) -> None:
        """Cancel the tasks."""
        for task in self.keeper._tasks:
            task.cancel()
        await asyncio.gather(*self.keeper._tasks, return_exceptions=True)


@pytest.fixture
async def harness() -> Any:
    made = KeeperHarness(asyncio.get_running_loop())
    yield made
    await made.end()


async def test_a_job_found_held_is_left_alone_when_its_holder_falls_silent_then(
    harness: KeeperHarness,
) -> None:
    """The silence of the previous holder does not count for the new one."""
    harness.receive("e-1.1")
    harness.report_holder("e-1.1")
    harness.lose("e-1.1")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    harness.receive("e-2.1")
    harness.write_head("e-2.1")
    assert not await harness.check_for(0.2)  # it learns that the job is held
    harness.lose("e-2.1")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await harness.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_a_holder_that_only_the_store_knows_of_has_its_time(
    harness: KeeperHarness,
) -> None:
    harness.receive("e-1.1")
    harness.receive("e-2.1")
    harness.report_holder("e-1.1")
    harness.lose("e-1.1")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    harness.lose("e-2.1")
    harness.write_head("e-2.1")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await harness.check_for(3 * ORPHAN_CHECK_INTERVAL_S)


async def test_late_news_that_a_job_was_given_up_takes_nothing_from_who_has_it(
    harness: KeeperHarness,
) -> None:
    harness.receive("e-2.1")
    harness.write_head("e-2.1")
    harness.report_holder("e-2.1")
    assert not await harness.check_for(ORPHAN_CHECK_INTERVAL_S)
    harness.lose("e-2.1")
    harness.report_holder("")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await harness.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_a_life_that_is_over_is_taken_at_once(
    harness: KeeperHarness,
) -> None:
    """A later incarnation of the same instance is alive."""
    harness.receive("e-1.1")
    harness.write_head("e-1.1")
    harness.report_holder("e-1.1")
    assert not await harness.check_for(ORPHAN_CHECK_INTERVAL_S)
    harness.receive("e-1.2")
    assert await harness.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


async def test_after_all_were_lost_jobs_are_taken_as_soon_as_they_are_back(
    harness: KeeperHarness,
) -> None:
    """No instance knows the holder; the store names one that has restarted."""
    harness.write_head("e-1.1")
    harness.receive("e-1.2")
    assert await harness.check_for(TAKEOVER_AFTER_S - ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_the_own_life_before_is_taken_at_once(
    harness: KeeperHarness,
) -> None:
    harness.write_head("e-0.old")
    assert await harness.check_for(TAKEOVER_AFTER_S - ORPHAN_CHECK_INTERVAL_S)


async def test_a_job_of_who_is_never_heard_is_taken_no_later_than_before(
    harness: KeeperHarness,
) -> None:
    harness.write_head("e-1.1")
    assert not await harness.check_for(TAKEOVER_AFTER_S - 0.1)
    assert await harness.check_for(2 * ORPHAN_CHECK_INTERVAL_S)


LIVES = ["e-1.1", "e-1.2", "e-2.1", "e-2.2"]
# Consecutive checks; after five a holder has almost been silent long enough.
MAX_CHECKS = 5
moves = st.lists(
    st.tuples(
        st.sampled_from(["receive", "lose", "report_holder", "write_head"]),
        st.sampled_from([*LIVES, ""]),
        st.integers(0, MAX_CHECKS),
    ),
    max_size=20,
)


REJECTED_HEADS = {
    "the claim": JobHead("e-1.1", 1),
    "the closing of a finished job": JobHead("e-1.1", 1, listed=1),
}


@pytest.mark.parametrize("rejected", REJECTED_HEADS)
async def test_a_write_of_a_job_that_is_refused_for_good_is_sent_once_a_minute(
    harness: KeeperHarness, rejected: str
) -> None:
    """Guards against several calls a second that the store never does."""
    harness.write_head("e-1.1", REJECTED_HEADS[rejected])
    harness.rows.rejects = True
    assert not await harness.check_for(TAKEOVER_AFTER_S + 10.0)
    assert harness.rows.transactions == 1
    harness.rows.rejects = False
    await harness.check_for(REJECTED_RETRY_DELAY_S)
    assert harness.rows.transactions > 1


@given(moves)
@settings(max_examples=1000, derandomize=True, deadline=None)
def test_no_job_is_taken_from_a_life_that_was_heard_lately(
    moves: list[tuple[str, str, int]],
) -> None:
    """Unless a later incarnation of the same instance is alive by then."""
    asyncio.run(_play(moves))


async def _play(moves: list[tuple[str, str, int]]) -> None:
    harness = KeeperHarness(asyncio.get_running_loop())
    received_at: dict[str, float] = {}
    alive_by_peer: dict[str, str] = {}
    harness.write_head("e-1.1")
    for move, life, checks in moves:
        peer = life.partition(".")[0]
        if move in ("report_holder", "write_head") or life:
            getattr(harness, move)(life)
        if move == "lose":
            alive_by_peer.pop(peer, None)
        elif move == "receive" and life:
            alive_by_peer[peer] = life
        for _ in range(checks):
            received_at |= dict.fromkeys(alive_by_peer.values(), harness.now)
            harness.now += ORPHAN_CHECK_INTERVAL_S
            before = harness.holder
            if not await harness.check():
                continue
            replaced = alive_by_peer.get(before.partition(".")[0], before) != before
            silent_s = harness.now - received_at.get(before, float("-inf"))
            assert before == "" or replaced or silent_s >= TAKEOVER_AFTER_S
            await harness.end()
            return
    await harness.end()
