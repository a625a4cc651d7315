"""Ends of jobs: no item is delivered long after its job was ended.

The end is in the store. A holder that no message reaches heeds it all the same.
"""

import asyncio

import pytest

from caperridge.gateway.jobs.edge import JobsEdge
from caperridge.gateway.jobs.keys import INDEX, JOBS
from caperridge.gateway.mesh.messages import JobNews
from caperridge.gateway.process import GatewayInstance
from gateway.conftest import World, until
from gateway.runner_standin import RunnerStandin
from gateway.test_jobs import ITEMS

# After the end of a job is acknowledged none of its items may be delivered.
CANCEL_S = 3.0
JOB = "j1"


@pytest.fixture
async def runner(world: World) -> RunnerStandin:
    """A runner whose only slot is taken, in a fleet whose news of ends are lost."""
    runner = await world.add_runner(slots=1)
    runner.events = 1000
    runner.pause_s = 0.05
    for _ in range(3):
        instance = await world.add_instance()
        lose_news_of_ends(instance)
    await world.ready()
    await world.submit(world.instances[2], "j0", ["y0"])
    await until(lambda: runner.busy == 1)
    return runner


def lose_news_of_ends(instance: GatewayInstance) -> None:
    send_all = instance.mesh.send_all

    def send(message) -> None:
        if not isinstance(message, JobNews) or not message.cancelled:
            send_all(message)

    instance.mesh.send_all = send


async def end(world: World, instance: GatewayInstance, job: str = JOB) -> None:
    answer = await world.call(instance, "DELETE", f"/lots/{job}")
    assert answer.status == 200


async def assert_not_run(world: World, runner: RunnerStandin) -> None:
    """Free the slot after the bound and check that no item of the job takes it."""
    await asyncio.sleep(CANCEL_S)
    runner.pause_s = 0.0
    await end(world, world.instances[-1], "j0")
    await asyncio.sleep(1.0)
    assert [run.id for run in runner.runs if run.id in ITEMS] == []


async def test_a_job_is_ended_though_its_holder_is_sent_no_news(
    world: World, runner: RunnerStandin
) -> None:
    """Guards against items that wait at a full fleet and run long after the end."""
    holder, other, _ = world.instances
    await world.submit(holder, JOB, ITEMS)
    await until(lambda: JOB in holder.keeper.held_by_id)
    await end(world, other)
    await until(lambda: JOB not in holder.keeper.held_by_id, CANCEL_S)
    await assert_not_run(world, runner)


async def test_a_job_that_is_ended_during_its_claim_is_not_held(
    world: World, runner: RunnerStandin
) -> None:
    """Guards against a claim that was done before the end and is answered after it."""
    holder, other, _ = world.instances
    claim = holder.keeper._claimer.claim
    claimed, answered = asyncio.Event(), asyncio.Event()

    async def answered_late(*arguments):
        result = await claim(*arguments)
        claimed.set()
        await answered.wait()
        return result

    holder.keeper._claimer.claim = answered_late
    await world.submit(holder, JOB, ITEMS)
    await claimed.wait()
    await end(world, other)
    holder.keeper._handle_update("e-1", JobNews(JOB, "", 0, cancelled=True))
    await until(lambda: not holder.index.entries_by_job[JOB].open, CANCEL_S)
    answered.set()
    await assert_not_run(world, runner)
    assert JOB not in holder.keeper.held_by_id


async def test_an_end_is_heeded_though_its_instance_is_lost_before_it_answers(
    world: World, runner: RunnerStandin, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an end that only the instance that was asked knows of."""
    holder, other, _ = world.instances
    await world.submit(holder, JOB, ITEMS)
    await until(lambda: JOB in holder.keeper.held_by_id)
    wrote = asyncio.Event()

    async def lost(self, entry) -> bool:
        wrote.set()
        await asyncio.Event().wait()
        return False

    monkeypatch.setattr(JobsEdge, "_write_cancellation", lost)
    ending = asyncio.create_task(world.call(other, "DELETE", f"/lots/{JOB}"))
    await wrote.wait()
    ending.cancel()
    await until(lambda: JOB not in holder.keeper.held_by_id, CANCEL_S)
    monkeypatch.undo()
    await assert_not_run(world, runner)


@pytest.mark.parametrize("table", [INDEX, JOBS])
async def test_an_end_whose_write_is_not_answered_is_heeded(
    world: World, runner: RunnerStandin, table: str
) -> None:
    """Guards against an end that is repeated and taken for the first one."""
    holder, other, _ = world.instances
    await world.submit(holder, JOB, ITEMS)
    await until(lambda: JOB in holder.keeper.held_by_id)
    world.store.lose_table = table
    world.store.lose_answers = 1
    await end(world, other)
    await end(world, world.instances[2])
    await until(lambda: JOB not in holder.keeper.held_by_id, CANCEL_S)
    await assert_not_run(world, runner)


async def test_a_job_whose_claim_is_not_answered_is_ended(
    world: World, runner: RunnerStandin
) -> None:
    """Guards against a claim that is settled after the end."""
    holder, other, _ = world.instances
    claim = holder.keeper._claimer._write_claim
    tried = asyncio.Event()

    async def unanswered(job):
        holder.keeper._claimer._write_claim = claim
        world.store.lose_table = JOBS
        world.store.lose_answers = 1
        result = await claim(job)
        tried.set()
        return result

    holder.keeper._claimer._write_claim = unanswered
    await world.submit(holder, JOB, ITEMS)
    await tried.wait()
    await end(world, other)
    await assert_not_run(world, runner)
    assert JOB not in holder.keeper.held_by_id


@pytest.mark.parametrize("then", ["handed over", "lost"])
async def test_nobody_takes_over_a_job_that_is_ended_as_its_holder_goes(
    world: World, runner: RunnerStandin, then: str
) -> None:
    """Guards against an ended job that goes on at the next holder."""
    holder, other, _ = world.instances
    await world.submit(holder, JOB, ITEMS)
    await until(lambda: JOB in holder.keeper.held_by_id)
    ending = asyncio.create_task(end(world, other))
    if then == "handed over":
        await holder.keeper.hand_over()
    else:
        await world.kill(holder)
    await ending
    if then == "lost":
        lose_news_of_ends(await world.add_instance("e-0"))
    await assert_not_run(world, runner)
    assert all(JOB not in one.keeper.held_by_id for one in world.instances)
