"""Acceptance of jobs: once, within the route's limit, and never after a refusal."""

import asyncio
import random
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.jobs import acceptance as module
from caperridge.gateway.jobs.acceptance import (
    AcceptanceUnknown,
    Accepted,
    JobAcceptance,
    NotAccepted,
)
from caperridge.gateway.jobs.codec import from_bytes, to_bytes
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keys import entry_key, gate_key, job_of_entry
from caperridge.gateway.jobs.model import JobEntry, JobItem, JobRequest
from caperridge.gateway.routes import BATCH, BatchTerms, Route
from caperridge.gateway.rows import Transaction
from caperridge.platform.store import HttpRowStore
from gateway.conftest import HOST, World
from gateway.memory_rows import (
    DONE,
    LOST_DONE,
    LOST_LATE,
    LOST_NEVER,
    NOT_DONE,
    MemoryRows,
)

# The store returns 500 rows per read and accepts 100 in one transaction.
JOBS = 620
ROWS_PER_WRITE = 90
LIMIT = 700
# A refusal that is repeated would hang the test instead of failing it.
HANG_S = 20.0


def batch_route(limit: int) -> Route:
    return Route(
        name="work",
        host=HOST,
        path_prefix="/work/",
        kind=BATCH,
        shares=[],
        max_attempts=3,
        timeout_s=15.0,
        batch=BatchTerms(due_s=18.0, retention_s=60.0, max_waiting_tokens=limit),
    )


def job(tokens: int) -> JobRequest:
    return JobRequest([JobItem("x", "/work/x", [], b"", tokens)])


async def fill(store: HttpRowStore, jobs: int) -> None:
    """Write open jobs of one token each, and the gate as the last of them wrote it."""
    keys = [f"j{number:04d}" for number in range(jobs)]
    for first in range(0, jobs, ROWS_PER_WRITE):
        some = keys[first : first + ROWS_PER_WRITE]
        writes = {
            entry_key(id): to_bytes(JobEntry(id, "work", HOST, 1, 0.0, 1, "o"))
            for id in some
        }
        writes[gate_key("work")] = some[-1].encode()
        assert (await store.transact(Transaction({}, writes))).is_ok()


async def test_the_limit_counts_jobs_beyond_the_first_page_of_the_index(
    world: World,
) -> None:
    store = HttpRowStore(world.store_address)
    await fill(store, JOBS)
    clock = StoreClock()
    clock.update(1.0)
    index = JobIndex()
    acceptance = JobAcceptance(store, index, clock, random.Random(1))
    deadline = asyncio.get_running_loop().time() + 5.0
    refused = await acceptance.accept(
        batch_route(LIMIT), HOST, "new", job(LIMIT - JOBS + 1), deadline
    )
    assert isinstance(refused, NotAccepted) and refused.full
    taken = await acceptance.accept(
        batch_route(LIMIT), HOST, "new", job(LIMIT - JOBS), deadline
    )
    assert isinstance(taken, Accepted)
    await store.close()


async def test_a_refusal_for_good_after_a_lost_answer_leaves_the_outcome_unknown() -> (
    None
):
    """Guards against a refused entry that is sent until the caller's deadline."""

    def lost_then_refused() -> Iterator[int]:
        rows.rejects = True
        yield LOST_NEVER

    rows = MemoryRows(lost_then_refused(), [])
    clock = StoreClock()
    clock.update(1.0)
    acceptance = JobAcceptance(rows, JobIndex(), clock, random.Random(1))
    deadline = asyncio.get_running_loop().time() + HANG_S * 2
    async with asyncio.timeout(HANG_S):
        outcome = await acceptance.accept(
            batch_route(LIMIT), HOST, "new", job(1), deadline
        )
    assert isinstance(outcome, AcceptanceUnknown)
    assert rows.transactions == 2


submissions = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from("abcd"), st.integers(1, 6)),
    min_size=2,
    max_size=8,
)
fates = st.lists(
    st.sampled_from([DONE, DONE, NOT_DONE, LOST_DONE, LOST_LATE, LOST_NEVER]),
    max_size=14,
)
pauses = st.lists(st.integers(0, 4), max_size=60)
SMALL_LIMIT = 10


@pytest.fixture(scope="module")
def no_pauses() -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "MIN_RETRY_DELAY_S", 0.0)
        patch.setattr(module, "MAX_RETRY_DELAY_S", 0.0)
        yield


@given(submissions, fates, pauses)
@settings(max_examples=400, derandomize=True, deadline=None)
def test_jobs_are_kept_once_within_the_limit_and_refusals_are_true(
    no_pauses: None,
    sent: list[tuple[int, str, int]],
    fates: list[int],
    pauses: list[int],
) -> None:
    """Instances accept concurrently with stale indexes and a faulty store."""
    asyncio.run(_play(sent, fates, pauses))


async def _play(
    sent: list[tuple[int, str, int]], fates: list[int], pauses: list[int]
) -> None:
    store = MemoryRows(fates, pauses)
    clock = StoreClock()
    clock.update(1.0)
    instances = [
        JobAcceptance(store, JobIndex(), clock, random.Random(1)) for _ in range(3)
    ]
    # A job has the same tokens whichever instance receives it.
    tokens_by_id = {id: tokens for _, id, tokens in sent}
    deadline = asyncio.get_running_loop().time() + 60.0
    route = batch_route(SMALL_LIMIT)
    outcomes = await asyncio.gather(
        *(
            instances[number].accept(route, HOST, id, job(tokens_by_id[id]), deadline)
            for number, id, _ in sent
        )
    )
    store.do_late()
    for rows in store.history:
        waiting = sum(
            from_bytes(JobEntry, row.value).waiting_tokens
            for key, row in rows.items()
            if job_of_entry(key) is not None
        )
        assert waiting <= SMALL_LIMIT
    kept = {job_of_entry(key) for key in store.rows_by_key}
    accepted = {
        id
        for (_, id, _), outcome in zip(sent, outcomes, strict=True)
        if isinstance(outcome, Accepted)
    }
    refused = {
        id
        for (_, id, _), outcome in zip(sent, outcomes, strict=True)
        if isinstance(outcome, NotAccepted)
    }
    assert accepted <= kept
    assert not (refused - accepted) & kept
    fresh = [outcome for outcome in outcomes if isinstance(outcome, Accepted)]
    own = [outcome.entry.id for outcome in fresh if not outcome.duplicate]
    assert len(own) == len(set(own))
