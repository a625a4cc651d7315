"""Tests that the sweeper deletes exactly what is past its retention."""

from collections.abc import Iterable

import pytest

from caperridge import keys
from caperridge.decisions.jobs import CANCELLED, COMPLETED, DONE, OPEN, ChunkState, Job
from caperridge.decisions.membership import Membership
from caperridge.instance.sweeper import SESSION_KEPT_S, Sweeper
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import PutRow

RETENTION_S = 1000.0


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


async def put_job(memory: MemoryPlatform, name: str, state: str) -> None:
    job = Job(name, "c", "s", "/", "f", 10, 10, state=state, ended=100.0)
    result = keys.chunk_result(name, 0, "first")
    chunk = ChunkState(10, DONE, result=result, completed=10)
    writes = [
        PutRow(keys.job(name), job.to_map()),
        PutRow(keys.chunk(name, 0), chunk.to_map()),
    ]
    await memory.transact([], writes, "t")
    await memory.put_object(result, b"kept")
    await memory.put_object(keys.chunk_result(name, 0, "lost"), b"orphan")


def of_job(names: Iterable[str], job: str) -> list[str]:
    return [name for name in names if f"/{job}" in name]


@pytest.mark.parametrize(
    ("state", "now", "objects", "rows"),
    [
        pytest.param(OPEN, 5000.0, 2, 2, id="open: untouched"),
        pytest.param(COMPLETED, 200.0, 1, 2, id="completed: orphans go"),
        pytest.param(CANCELLED, 200.0, 2, 2, id="cancelled: readable"),
        pytest.param(COMPLETED, 1101.0, 0, 0, id="completed, past retention"),
        pytest.param(CANCELLED, 1101.0, 0, 0, id="cancelled, past retention"),
    ],
)
async def test_a_job_is_swept_by_its_state_and_age(
    state: str, now: float, objects: int, rows: int
) -> None:
    clock = Clock()
    clock.now = now
    memory = MemoryPlatform(clock)
    await put_job(memory, "j", state)
    sweeper = Sweeper(memory, Membership("i", "z"), RETENTION_S, clock, clock)
    for _ in range(4):
        await sweeper.idle()
    assert len(of_job(memory.objects_by_name, "j")) == objects
    assert len(of_job(memory.rows_by_key, "j")) == rows


async def test_an_ended_session_and_its_checkpoints_go_later() -> None:
    clock = Clock()
    memory = MemoryPlatform(clock)
    await memory.transact([], [PutRow(keys.session("s"), {"state": "lapsed"})], "t")
    await memory.transact([], [PutRow(keys.session("a"), {"state": "alive"})], "t")
    await memory.put_object(keys.checkpoint("s", 0), b"saved")
    sweeper = Sweeper(memory, Membership("i", "z"), RETENTION_S, clock, clock)
    await sweeper.idle()
    assert keys.session("s") in memory.rows_by_key
    clock.now = SESSION_KEPT_S
    await sweeper.idle()
    assert [*memory.rows_by_key] == [keys.session("a")]
    assert not memory.objects_by_name
