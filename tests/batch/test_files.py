"""Uploaded files: kept while a job refers to them, then deleted after retention."""

from collections.abc import AsyncIterator

import pytest
from result import Err, Ok

from caperridge import keys
from caperridge.commands import accept_file as accepting
from caperridge.commands.accept_file import DELETING, MAX_UPLOAD_S, accept_file
from caperridge.commands.accept_job import accept_job
from caperridge.commands.sweep_job import mark_file_deleting
from caperridge.decisions.jobs import COMPLETED, OPEN, Job
from caperridge.decisions.membership import Membership
from caperridge.instance.sweeper import UPLOAD_KEPT_S, Sweeper
from caperridge.queries.jobs import read_file
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import Conflict, NotDone, PutRow

KEPT_S = 1000.0
PARTS = 45


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


class Upload:
    """A caller that sends a file of many parts, and may stop in the middle."""

    def __init__(self, stop_after: int = PARTS) -> None:
        self.stop_after = stop_after
        self.between = self._nothing

    async def _nothing(self, number: int) -> None:
        """Do nothing between two blocks."""

    async def blocks(self) -> AsyncIterator[bytes]:
        for number in range(PARTS):
            if number == self.stop_after:
                raise ConnectionError
            await self.between(number)
            yield b'{"custom_id":"%d","url":"/","body":{}}\n' % number


@pytest.fixture(autouse=True)
def small_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accepting, "PART_BYTES", 10)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def memory(clock: Clock) -> MemoryPlatform:
    return MemoryPlatform(clock)


async def upload(memory: MemoryPlatform, clock: Clock) -> str:
    stored = await accept_file(memory, "c", Upload().blocks(), wall=clock)
    return stored.unwrap().id


def job_of(file: str, created: float = 0.0) -> Job:
    return Job("j", "c", "s", "/", file, PARTS, 10, created=created)


async def sweep(memory: MemoryPlatform, clock: Clock, ticks: int = 8) -> None:
    sweeper = Sweeper(memory, Membership("i", "z"), KEPT_S, clock, clock)
    for _ in range(ticks):
        await sweeper.idle()


def left(memory: MemoryPlatform) -> tuple[int, int]:
    rows = [key for key in memory.rows_by_key if key.startswith(keys.FILES)]
    return len(rows), len(memory.objects_by_name)


@pytest.mark.parametrize(
    ("after_s", "kept"), [(0.0, True), (KEPT_S, True), (KEPT_S + 1, False)]
)
async def test_a_file_that_no_job_uses_goes_after_its_retention(
    memory: MemoryPlatform, clock: Clock, after_s: float, kept: bool
) -> None:
    await upload(memory, clock)
    clock.now += after_s
    await sweep(memory, clock)
    assert left(memory) == ((1, PARTS) if kept else (0, 0))


@pytest.mark.parametrize("state", [OPEN, COMPLETED])
async def test_a_file_is_kept_as_long_as_its_job_and_then_its_retention(
    memory: MemoryPlatform, clock: Clock, state: str
) -> None:
    file = await upload(memory, clock)
    clock.now += KEPT_S / 2
    job = job_of(file, clock.now)
    assert isinstance(await accept_job(memory, job), Ok)
    clock.now += 10 * KEPT_S
    ended = job.replace(state=state, ended=clock.now)
    await memory.transact([], [PutRow(keys.job("j"), ended.to_map())], "e")
    await sweep(memory, clock)
    assert left(memory) == (1, PARTS)
    clock.now += KEPT_S + 1
    await sweep(memory, clock)
    assert left(memory) == ((1, PARTS) if state == OPEN else (0, 0))
    if state == COMPLETED:
        assert not [key for key in memory.rows_by_key if key.startswith("file-job/")]


async def test_a_sweep_stops_in_the_middle_and_no_job_gets_half_a_file(
    memory: MemoryPlatform, clock: Clock
) -> None:
    file = await upload(memory, clock)
    clock.now += KEPT_S + 1
    await sweep(memory, clock, ticks=1)
    rows, parts = left(memory)
    assert rows == 1
    assert 0 < parts < PARTS
    assert (await read_file(memory, file)).unwrap() is None
    refused = await accept_job(memory, job_of(file, clock.now))
    assert isinstance(refused.err_value, Conflict)
    await sweep(memory, clock)
    assert left(memory) == (0, 0)


async def test_a_job_accepted_since_the_sweep_looked_keeps_the_file(
    memory: MemoryPlatform, clock: Clock
) -> None:
    file = await upload(memory, clock)
    seen = memory.rows_by_key[keys.file(file)].version
    assert isinstance(await accept_job(memory, job_of(file)), Ok)
    for row in [row for row in memory.rows_by_key if row.startswith("file-job/")]:
        del memory.rows_by_key[row]  # as a scan just before would have seen it
    refused = await mark_file_deleting(memory, file, seen)
    assert isinstance(refused.err_value, Conflict)
    assert memory.rows_by_key[keys.file(file)].value["state"] != DELETING


@pytest.mark.parametrize(
    ("after_s", "kept"), [(UPLOAD_KEPT_S, True), (UPLOAD_KEPT_S + 1, False)]
)
async def test_the_parts_of_an_upload_that_broke_off_go_after_a_day(
    memory: MemoryPlatform, clock: Clock, after_s: float, kept: bool
) -> None:
    with pytest.raises(ConnectionError):
        await accept_file(memory, "c", Upload(stop_after=30).blocks(), wall=clock)
    assert left(memory) == (1, 30)
    clock.now += after_s
    await sweep(memory, clock)
    assert left(memory) == ((1, 30) if kept else (0, 0))


async def test_an_upload_that_was_given_up_is_not_acknowledged(
    memory: MemoryPlatform, clock: Clock
) -> None:
    """The clock of the upload stands still, so only the row shows its age."""
    sending = Upload()

    async def between(number: int) -> None:
        if number == PARTS - 1:
            clock.now += UPLOAD_KEPT_S + 1
            await sweep(memory, clock)

    sending.between = between
    stored = await accept_file(memory, "c", sending.blocks(), wall=lambda: 100.0)
    assert isinstance(stored, Err)
    assert isinstance(stored.err_value, Conflict)


async def test_an_upload_stops_long_before_it_is_given_up(
    memory: MemoryPlatform, clock: Clock
) -> None:
    sending = Upload()

    async def between(number: int) -> None:
        clock.now += MAX_UPLOAD_S / (PARTS - 2)

    sending.between = between
    stored = await accept_file(memory, "c", sending.blocks(), wall=clock)
    assert isinstance(stored.err_value, NotDone)
    assert MAX_UPLOAD_S < UPLOAD_KEPT_S / 1.5
