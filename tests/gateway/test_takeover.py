"""Successive holders of a job: listed results keep their positions."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.gateway.events import Event
from caperridge.gateway.jobs import keeping
from caperridge.gateway.jobs.claims import JobClaimer
from caperridge.gateway.jobs.codec import from_bytes, job_to_bytes
from caperridge.gateway.jobs.held_job import PENDING, HeldJob, ItemState
from caperridge.gateway.jobs.keeping import JobWriter
from caperridge.gateway.jobs.keys import head_key, is_result, number_of
from caperridge.gateway.jobs.model import (
    ItemResult,
    JobEntry,
    JobHead,
    JobItem,
    JobRequest,
)
from caperridge.gateway.rows import RowKey, StoredRow
from caperridge.gateway.targets import Target
from gateway.conftest import HOST
from gateway.memory_rows import (
    DONE,
    LOST_DONE,
    LOST_LATE,
    LOST_NEVER,
    NOT_DONE,
    MemoryRows,
)

JOB = "j1"
ITEMS = ["x0", "x1", "x2"]
EVENTS = 3
TARGET = Target("t", "model", "10.0.0.1:1", "a", 4, software_version="v1")
ENTRY = JobEntry(JOB, "work", HOST, len(ITEMS), 0.0, 1, "items")


def text_of(item: str) -> bytes:
    """Return the whole output of an item."""
    return b"\n".join(f"{item}.{number}".encode() for number in range(1, EVENTS + 1))


class Peers:
    """One instance's view of the others: all lost, or all alive."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.others_alive = False

    def incarnation_alive(self, incarnation: str) -> bool:
        return incarnation == self.incarnation or self.others_alive


class Instance:
    """Claims the job, runs its items and writes results, step by step."""

    def __init__(self, store: MemoryRows, incarnation: str) -> None:
        self.peers = Peers(incarnation)
        self._claimer = JobClaimer(store, self.peers)
        self._writer = JobWriter(store, incarnation)
        self.held: HeldJob | None = None

    async def do(self, step: str, item: int) -> None:
        if step == "claim":
            claim = await self._claimer.claim(ENTRY, None, self._may_replace)
            self.held = claim if isinstance(claim, HeldJob) else self.held
            return
        if step in ("hear", "lose"):
            self.peers.others_alive = step == "hear"
            return
        job = self.held
        if job is None or job.finished:
            return
        if step == "run":
            self._run(job, job.states[item])
        elif step == "finish":
            for _ in range(EVENTS):
                self._run(job, job.states[item])
        elif step == "write":
            await self._writer.write(job, self.peers.incarnation)
        else:
            job.releasing = True
            await self._writer.write(job, "")
            self.held = None

    def _may_replace(self, _: str, holder: str) -> bool:
        return not self.peers.incarnation_alive(holder)

    def _run(self, job: HeldJob, state: ItemState) -> None:
        if state.status != PENDING:
            return
        number = state.progress.event + 1
        raw = f"id: {number}\ndata: {state.item.id}.{number}\n\n".encode()
        assert state.append_events([Event(number, raw)], TARGET)
        if number == EVENTS:
            job.complete(state)


@pytest.fixture(scope="module")
def no_pauses() -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(keeping, "MIN_RETRY_DELAY_S", 0.0)
        patch.setattr(keeping, "MAX_RETRY_DELAY_S", 0.0)
        yield


# Repeated steps are more likely.
STEPS = [
    *("claim", "claim", "run", "finish", "finish", "write", "write", "write"),
    *("give up", "hear", "lose"),
]
steps = st.lists(
    st.tuples(
        st.sampled_from(STEPS),
        st.integers(0, len(ITEMS) - 1),
    ),
    min_size=4,
    max_size=16,
)
fates = st.lists(
    st.sampled_from([DONE, DONE, NOT_DONE, LOST_DONE, LOST_LATE, LOST_NEVER]),
    max_size=20,
)
pauses = st.lists(st.integers(0, 4), min_size=30, max_size=80)


@given(st.lists(steps, min_size=3, max_size=3), fates, pauses)
@settings(max_examples=600, derandomize=True, deadline=None)
def test_results_are_listed_once_and_stay(
    no_pauses: None,
    steps_by_instance: list[list[tuple[str, int]]],
    fates: list[int],
    pauses: list[int],
) -> None:
    """Three instances hold the job in turn, with arbitrary views of each other."""
    asyncio.run(_play(steps_by_instance, fates, pauses))


async def _play(
    steps_by_instance: list[list[tuple[str, int]]],
    fates: list[int],
    pauses: list[int],
) -> None:
    store = MemoryRows(fates, pauses)
    items = [JobItem(id, f"/work/{id}", [], b"", 1) for id in ITEMS]
    store.objects[ENTRY.object] = job_to_bytes(JobRequest(items))
    instances = [Instance(store, f"e{number}") for number in range(3)]

    async def follow(instance: Instance, steps: list[tuple[str, int]]) -> None:
        for step, item in steps:
            await instance.do(step, item)

    await asyncio.gather(
        *(
            follow(instance, steps)
            for instance, steps in zip(instances, steps_by_instance, strict=True)
        )
    )
    store.do_late()
    store.heal()
    last = Instance(store, "last")
    await last.do("claim", 0)
    for number in range(len(ITEMS)):
        await last.do("finish", number)
    await last.do("write", 0)
    store.do_late()
    _check(store.history)
    listed = _results(store.history[-1])
    assert {result.item: result.text for result in listed} == {
        id: text_of(id) for id in ITEMS
    }


def _check(history: list[dict[RowKey, StoredRow]]) -> None:
    before: list[ItemResult] = []
    for rows in history:
        results = _results(rows)
        assert results[: len(before)] == before
        assert len({result.item for result in results}) == len(results)
        head = from_bytes(JobHead, rows[head_key(JOB)].value)
        assert head.listed == len(results)
        before = results


def _results(rows: dict[RowKey, StoredRow]) -> list[ItemResult]:
    """Return the results in order; their positions leave no gap."""
    keys = sorted((key for key in rows if is_result(key)), key=number_of)
    assert [number_of(key) for key in keys] == list(range(len(keys)))
    return [from_bytes(ItemResult, rows[key].value) for key in keys]
