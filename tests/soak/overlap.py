"""Faults that overlap at two peers of one zone, and jobs that end meanwhile.

One instance is turned away by the store and calls it through its peer. The peer is
frozen, the first one is killed, and jobs come as the peer wakes.
"""

import asyncio
import random
import signal

from soak.callers import Callers
from soak.diary import now
from soak.proxy import PASS, RESET
from soak.town import SoakInstance, Town

JOBS_BEFORE = 3
JOBS_READ = 20
JOBS_AT_WAKING = 24
# The time that the rules give an end, and that an instance needs to be in touch again.
CANCEL_S = 3.0
CONTACT_S = 3.0


async def happen(
    town: Town, callers: Callers, chance: random.Random, seconds: float
) -> None:
    """Have it happen for a while, one time after the other."""
    end = now() + seconds
    while now() < end:
        one, peer = _two_of_a_zone(town, chance)
        await _relay_through_frozen(town, callers, chance, one, peer)
        await asyncio.sleep(chance.uniform(0.2, 0.8))


def _two_of_a_zone(
    town: Town, chance: random.Random
) -> tuple[SoakInstance, SoakInstance]:
    zone = chance.choice(town.instances).zone
    one, peer = chance.sample([it for it in town.instances if it.zone == zone], 2)
    return one, peer


async def _relay_through_frozen(
    town: Town,
    callers: Callers,
    chance: random.Random,
    one: SoakInstance,
    peer: SoakInstance,
) -> None:
    # Its calls of the store are numbered from the start of its process.
    one.send(signal.SIGKILL)
    await asyncio.sleep(chance.uniform(1.2, 1.8))
    troubles = [
        town.diary.begin(one.id, "way to the store"),
        town.diary.begin(peer.id, "paused"),
    ]
    one.store.set_mode(RESET)
    jobs = [callers.submit(it) for it in (one, peer) for _ in range(JOBS_BEFORE)]
    submitting = asyncio.ensure_future(asyncio.gather(*jobs))
    await asyncio.sleep(chance.uniform(0.0, 0.3))
    peer.send(signal.SIGSTOP)
    asking = asyncio.ensure_future(callers.read_some(one, JOBS_READ))
    await asyncio.sleep(chance.uniform(0.6, 1.0))
    one.send(signal.SIGKILL)
    others = [it for it in town.instances if it not in (one, peer)]
    ending = asyncio.ensure_future(
        callers.end_some(chance.choice(others), chance.randint(1, 4))
    )
    await asyncio.sleep(chance.uniform(1.4, 2.4))
    peer.send(signal.SIGCONT)
    burst = [callers.submit(one) for _ in range(JOBS_AT_WAKING)]
    await asyncio.gather(*burst, submitting, ending, asking)
    one.store.set_mode(PASS)
    for trouble in troubles:
        trouble.end()


def late_runs_of_ended_jobs(
    town: Town, callers: Callers, settled_at: float
) -> list[str]:
    """Return the runs of items that were delivered long after their job had ended.

    Args:
        town: with the runs.
        callers: that ended the jobs.
        settled_at: when the last fault ended.
    """
    limits_by_item: dict[str, float] = {}
    for job, ended_at in callers.ended_at_by_job.items():
        limit = max(ended_at, settled_at + CONTACT_S) + CANCEL_S
        for item in callers.items_by_job[job]:
            limits_by_item[item] = limit
    late: list[str] = []
    for runner in town.all_runners:
        for run in runner.runs:
            if run.arrived > limits_by_item.get(run.id, float("inf")):
                late.append(f"item {run.id} ran after the end of its job")
    return late
