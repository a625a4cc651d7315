"""Accepting jobs within the limit of a route, whatever the index of jobs holds."""

import asyncio
import random

from caperridge.gateway.clock import StoreClock
from caperridge.gateway.jobs.acceptance import Accepted, JobAcceptance, NotAccepted
from caperridge.gateway.jobs.codec import to_bytes
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.keys import entry_key, gate_key
from caperridge.gateway.jobs.model import JobEntry, JobItem, JobRequest
from caperridge.gateway.routes import BATCH, BatchTerms, Route
from caperridge.gateway.rows import Transaction
from caperridge.platform.store import HttpRowStore
from gateway.conftest import HOST, World

# The store answers 500 rows at a time, and takes 100 in one transaction.
JOBS = 620
AT_A_TIME = 90
LIMIT = 700


def batch_route(limit: int) -> Route:
    return Route(
        name="work",
        host=HOST,
        path_prefix="/work/",
        kind=BATCH,
        shares=[],
        most_attempts=3,
        timeout_s=15.0,
        batch=BatchTerms(due_s=18.0, retention_s=60.0, most_waiting_tokens=limit),
    )


def job(tokens: int) -> JobRequest:
    return JobRequest([JobItem("x", "/work/x", [], b"", tokens)])


async def fill(store: HttpRowStore, jobs: int) -> None:
    """Keep open jobs of one token each, and the gate as the last of them left it."""
    keys = [f"j{number:04d}" for number in range(jobs)]
    for first in range(0, jobs, AT_A_TIME):
        some = keys[first : first + AT_A_TIME]
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
    clock.told(1.0)
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
