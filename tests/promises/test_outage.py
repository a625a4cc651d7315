"""The platform is away for longer than a lease, and comes back."""

import asyncio
import time

from caperridge import keys
from caperridge.decisions.jobs import CANCELLED
from caperridge.instance.process import Instance
from caperridge.standins.engine_model import answer_text
from promises.conftest import LEASE_S, PATIENCE_S, Fleet, until

ITEMS = 40
MOST_CALLS_PER_S = 10.0  # of one instance in an outage; about 5 is usual
MOST_CALLS_AFTER_PER_S = 25.0  # just after it, with its work; about 13 is usual


def lapsed(instance: Instance) -> bool:
    return instance.session.left_s() <= 0


async def calls_per_s(fleet: Fleet, seconds: float) -> float:
    """Return how many calls a second one instance makes of the platform."""
    before, started = fleet.platform.counters.calls, time.monotonic()
    await asyncio.sleep(seconds)
    calls = fleet.platform.counters.calls - before
    return calls / (time.monotonic() - started) / len(fleet.instances_by_id)


async def test_leases_lapse_and_nothing_is_lost_doubled_or_stormed(
    fleet: Fleet,
) -> None:
    fleet.slow(10.0)
    job = await fleet.submit("entry-1", ITEMS)
    await fleet.holder()
    fleet.platform.faults.outage = True
    await until(lambda: all(map(lapsed, fleet.instances_by_id.values())))
    assert await calls_per_s(fleet, LEASE_S) < MOST_CALLS_PER_S
    # Online requests need nothing of the platform.
    for name in fleet.instances_by_id:
        assert await fleet.complete(name, "alarm?", 5) == answer_text("alarm?", 5)
    fleet.slow(1.0)
    fleet.platform.faults.outage = False
    assert await calls_per_s(fleet, 1.0) < MOST_CALLS_AFTER_PER_S
    await fleet.completed("entry-2", job)
    await fleet.check_each_once("entry-3", job, ITEMS)


async def test_a_job_that_was_accepted_is_never_said_not_to_be(fleet: Fleet) -> None:
    """The platform goes away right after it took the job."""
    file = await fleet.upload("entry-1", 4)
    body = {"input_file_id": file, "endpoint": "/v1/completions"}
    away_after(fleet, keys.JOBS)
    status, answer = await fleet.ask("entry-1", "/v1/batches", body)
    accepted = [key for key in fleet.platform.rows_by_key if key.startswith(keys.JOBS)]
    assert len(accepted) == 1
    assert status == 200, answer
    fleet.platform.faults.outage = False
    path = f"/v1/batches/{accepted[0].removeprefix(keys.JOBS)}"
    status, answer = await fleet.ask("entry-2", path)
    assert (status, answer["status"]) == (200, "in_progress")


async def test_a_cancel_in_an_outage_is_refused_truthfully_and_repeated(
    fleet: Fleet,
) -> None:
    fleet.slow(30.0)
    job = await fleet.submit("entry-1", ITEMS)
    await fleet.holder()
    path = f"/v1/batches/{job}/cancel"
    fleet.platform.faults.outage = True
    status, answer = await fleet.ask("entry-2", path, {})
    assert (status, answer["error"]["run"]) == (503, "not_run")
    assert answer["error"]["code"] == "platform_away"
    fleet.platform.faults.outage = False
    status, answer = await fleet.ask("entry-3", f"/v1/batches/{job}")
    assert (status, answer["status"]) == (200, "in_progress")
    # Every answer to a write is lost now, as it may be at the end of an outage.
    fleet.platform.faults.lose_answers = 1.0
    status, answer = await fleet.ask("entry-2", path, {})
    assert (status, answer["status"]) == (200, "cancelled")
    fleet.platform.faults.lose_answers = 0.0
    await until(
        lambda: (
            not any(
                instance.streams.state()["running"]
                for instance in fleet.instances_by_id.values()
            )
        )
    )
    status, answer = await fleet.ask("entry-3", path, {})
    assert (status, answer["status"]) == (200, "cancelled")
    assert answer["request_counts"]["completed"] < ITEMS


async def test_a_cancel_that_took_effect_is_never_said_not_to_have(
    fleet: Fleet,
) -> None:
    """The platform goes away right after it took the cancel."""
    fleet.slow(30.0)
    job = await fleet.submit("entry-1", ITEMS)
    away_after(fleet, keys.JOBS)
    status, answer = await fleet.ask("entry-2", f"/v1/batches/{job}/cancel", {})
    assert fleet.platform.rows_by_key[keys.job(job)].value["state"] == CANCELLED
    assert status == 200, answer
    fleet.platform.faults.outage = False
    async with asyncio.timeout(PATIENCE_S):
        status, answer = await fleet.ask("entry-3", f"/v1/batches/{job}")
    assert (status, answer["status"]) == (200, "cancelled")


def away_after(fleet: Fleet, prefix: str) -> None:
    """Let the platform go away after the next write of a row with ``prefix``."""
    platform = fleet.platform
    transact = platform.transact

    async def once(conditions, writes, token):
        outcome = await transact(conditions, writes, token)
        if any(write.key.startswith(prefix) for write in writes):
            platform.faults.outage = True
            platform.transact = transact
        return outcome

    platform.transact = once
