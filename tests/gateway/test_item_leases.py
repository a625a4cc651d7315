"""Runs of items that end by themselves when their holder is gone.

Seen on a deployment of five targets of eight slots: after all instances had lost power
for 1.4 s, the items that had run went on at their targets for up to 5 s, the length of
a whole run, and nobody read them. A burst of 35 requests a second met 24 slots of which
some 20 were taken: of 71 requests 10 were in time, and the items, run again, were late.
The log shows it as `orphaned runs`, 224 lines in two seconds.

A target stops a request at the deadline that it is given. So a run is given a short
one and goes on behind its last event under the next.
"""

import asyncio

import pytest

from caperridge.gateway.jobs import item_runs
from caperridge.gateway.jobs.item_runs import LEASE_S, RENEW_S
from caperridge.measure.scarcity_model import Outcome, Play, Policy
from gateway.conftest import ROUTES, World, until
from gateway.test_jobs import listed

# The day that showed it: all lost power half a second before a burst.
SLOTS = 24
LOST_AT_S = 43.5
AFTER_S = 5.0
BURST_RATE = 1.45
SEEDS = range(8)


@pytest.fixture
def renewed_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have each run renew its lease as soon as it has events."""
    monkeypatch.setattr(item_runs, "RENEW_S", 0.0)
    monkeypatch.setattr(item_runs, "GATHER_EVENTS_S", 0.02)


async def test_a_run_ends_soon_after_it_was_last_renewed(world: World) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    await listed(world, instance, "j1", 1)
    given_ms = [int(run.headers["X-Deadline-Ms"]) for run in runner.runs]
    assert given_ms == [LEASE_S * 1000]
    assert RENEW_S < LEASE_S


@pytest.mark.usefixtures("renewed_often")
async def test_an_item_goes_on_behind_its_last_event_with_each_lease(
    world: World,
) -> None:
    runner = await world.add_runner()
    runner.events = 30
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    (result,) = await listed(world, instance, "j1", 1)
    assert result["message"] == "\n".join(runner.text("x1"))
    assert len(runner.runs) > 2
    begun = [run.resumed_after for run in runner.runs]
    assert begun == sorted(set(begun))
    assert runner.max_busy == 1


@pytest.mark.usefixtures("renewed_often")
async def test_no_lease_is_renewed_at_a_target_that_leaves(world: World) -> None:
    leaving = await world.add_runner()
    leaving.events = 1000
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    await until(lambda: len(leaving.runs) > 1)
    other = await world.add_runner()
    other.events = 1000
    other.pause_s = 0.0
    world.list_runner(leaving, state="draining")
    await until(lambda: bool(other.runs))
    begun = len(leaving.runs)
    assert other.runs[0].resumed_after > 0
    await asyncio.sleep(0.1)
    assert len(leaving.runs) == begun


@pytest.mark.usefixtures("renewed_often")
async def test_no_lease_is_renewed_where_the_route_leads_no_more(world: World) -> None:
    runner = await world.add_runner()
    runner.events = 1000
    instance = await world.add_instance()
    await world.ready()
    await world.submit(instance, "j1", ["x1"])
    await until(lambda: len(runner.runs) > 1)
    moved = [route | {"service": "elsewhere"} for route in ROUTES]
    world.configure(2, moved)
    await until(lambda: instance.configuration.table.version == 2)
    await until(lambda: runner.busy == 0)
    begun = len(runner.runs)
    await asyncio.sleep(0.1)
    assert len(runner.runs) == begun


def played(lease_s: float) -> Outcome:
    """Return what the seconds around the loss came to, at several seeds."""
    total = Outcome()
    for seed in SEEDS:
        policy = Policy(lease_s=lease_s)
        play = Play(policy, SLOTS, seed, LOST_AT_S, burst_rate=BURST_RATE)
        total.add(play.run(LOST_AT_S + AFTER_S))
    return total


def test_more_is_in_time_after_a_loss_where_runs_end_by_themselves() -> None:
    leased, whole_runs = played(LEASE_S), played(0.0)
    assert leased.asked == whole_runs.asked
    assert leased.in_time > whole_runs.in_time
    assert leased.refused < whole_runs.refused
