"""Batch jobs through faults: what is lost, doubled or redone, and at what cost.

Arms in one run: engines driven directly (the best there is), jobs without faults,
jobs with instances killed and paused, an outage and lost answers, and a baseline
that claims each item by itself.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import orjson
from result import Err

from caperridge import keys
from caperridge.commands.accept_file import accept_file
from caperridge.commands.accept_job import accept_job, new_job_id
from caperridge.commands.announce_job import announce_job
from caperridge.decisions.chunks import LANE_ITEMS
from caperridge.decisions.jobs import COMPLETED, OPEN, Job
from caperridge.instance.messages import JobsChanged
from caperridge.measure.batch_bed import (
    CALLER,
    COSTS,
    ENGINES_A_ZONE,
    LEASE_S,
    ZONES,
    Bed,
)
from caperridge.measure.options import Options
from caperridge.queries.jobs import read_job, stream_results
from caperridge.records import Record
from caperridge.standins.engine import POISON
from caperridge.standins.engine_model import Sequence, answer_text
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import Platform

ITEMS = 20_000
JOBS = 5
BASELINE_ITEMS = 400
DIRECT_ITEMS = 2_400
CLEAN_ITEMS = 10_000
NEVER_EVERY = 1000
OUTAGE_S = 10.0
LIMIT_S = 60.0
OWN_SECONDS = 55.0  # of all arms together
# In a short run: the faulty arm has to outlast its faults, and a pause or an outage
# the lease that it is to end.
LEAST_SHARE = 0.2
LEAST_FAULTY_SHARE = 0.4
PAUSE_S = 6.0
LEAST_OUTAGE_S = LEASE_S + 1.0


class Arm(Record):
    """How one arm runs.

    Attributes:
        items: of all its jobs.
        lane_items: of one lane.
        faults: how long the faults take of their own length; 0 for none.
    """

    __slots__ = ("faults", "items", "lane_items")

    def __init__(self, items: int, lane_items: int, faults: float) -> None:
        self.items = items
        self.lane_items = lane_items
        self.faults = faults


async def run(options: Options) -> dict[str, Any]:
    """Run all arms; see the module."""
    whole = min(1.0, options.scale(OWN_SECONDS))
    share, faulty_share = max(LEAST_SHARE, whole), max(LEAST_FAULTY_SHARE, whole)
    best = await _direct(round(DIRECT_ITEMS * share))
    clean_items = round(CLEAN_ITEMS * share)
    clean = await _arm(Arm(clean_items, LANE_ITEMS, 0.0), options.seed, best)
    faulty_items = round(ITEMS * faulty_share)
    faulty = await _arm(Arm(faulty_items, LANE_ITEMS, faulty_share), options.seed, best)
    baseline_items = round(BASELINE_ITEMS * share)
    single = await _arm(Arm(baseline_items, 1, 0.0), options.seed, best)
    figures = dict(faulty)
    figures["capacity_share"] = clean["capacity_share"]
    figures["direct_items_per_s"] = round(best, 1)
    figures["arms"] = {
        "no_faults": clean,
        "faults": faulty,
        "one_claim_an_item": single,
    }
    return figures


async def _direct(items: int) -> float:
    """Return the items a second of the engines, kept full without the system."""
    bed = Bed(0)
    engines = []
    for zone in ZONES:
        for number in range(ENGINES_A_ZONE):
            engines.append(bed.new_engine(f"{zone}-{number}"))
    numbers = iter(range(items))

    async def slot(engine: Any) -> None:
        for number in numbers:
            name = str(number)
            queue = engine.submit(
                Sequence(name, name, _prompt(number), _tokens(number))
            )
            while await queue.get() is not None:
                pass

    started = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for engine in engines:
            for _ in range(COSTS.most_running):
                group.create_task(slot(engine))
    passed = time.monotonic() - started
    await bed.stop()
    return items / passed


async def _arm(arm: Arm, seed: int, best: float) -> dict[str, Any]:
    bed = Bed(seed)
    try:
        await bed.start()
        jobs = await _accept(bed.memory, arm)
        figures = await _run_arm(bed, arm, jobs, best)
    finally:
        await bed.stop()
    checked = await _check(bed.memory, jobs)
    needed = checked.pop("tokens")
    produced = figures.pop("produced")
    redone = round(produced / max(1, needed) - 1, 5)
    return checked | {"redone_share": redone} | figures


async def _run_arm(bed: Bed, arm: Arm, jobs: list[Job], best: float) -> dict[str, Any]:
    # As if they had been accepted over this instance; the others find them by polling.
    bed.instances_by_zone[ZONES[0]].dispatcher.tell(JobsChanged())
    before = bed.memory.counters.replace()
    started = time.monotonic()
    faults = asyncio.create_task(_faults(bed, arm.faults)) if arm.faults else None
    ended = await _wait(bed.memory, jobs)
    passed = time.monotonic() - started
    if faults is not None:
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        bed.memory.faults = bed.memory.faults.replace(outage=False, lose_answers=0.0)
    after = bed.memory.counters.replace()
    produced = sum(e.tokens_produced for e in bed.engines_by_address.values())
    thousands = arm.items / 1000
    return {
        "ended": ended,
        "produced": produced,
        "table_writes_per_1000_items": round(
            (after.row_writes - before.row_writes) / thousands, 2
        ),
        "table_reads_per_1000_items": round(
            (after.row_reads - before.row_reads) / thousands, 2
        ),
        "object_writes_per_1000_items": round(
            (after.object_writes - before.object_writes) / thousands, 2
        ),
        "seconds": round(passed, 2),
        "items_per_s": round(arm.items / passed, 1),
        "capacity_share": round(arm.items / passed / best, 3),
    }


async def _accept(memory: MemoryPlatform, arm: Arm) -> list[Job]:
    limits = memory.faults
    memory.faults = limits.replace(writes_per_s=0.0)
    jobs: list[Job] = []
    count = arm.items // JOBS
    for number in range(JOBS):
        blocks = _blocks(number * count, count)
        file = (await accept_file(memory, CALLER, blocks)).unwrap()
        now = time.time()
        job = Job(
            new_job_id(),
            CALLER,
            "chat",
            "/v1/completions",
            file.id,
            file.items,
            arm.lane_items,
            due=now + 3600,
            created=now,
        )
        (await accept_job(memory, job)).unwrap()
        await announce_job(memory, job.id, OPEN)
        jobs.append(job)
    memory.faults = limits
    return jobs


def _tokens(number: int) -> int:
    """Return the length of an answer: 2 to 6, so that items do not end in step."""
    return 2 + number * 7 % 5


def _prompt(number: int) -> str:
    if number % NEVER_EVERY == NEVER_EVERY // 2:
        return f"log {number} {POISON}"
    return f"log {number}"


async def _blocks(first: int, count: int) -> AsyncIterator[bytes]:
    for number in range(first, first + count):
        body = {
            "model": "chat",
            "prompt": _prompt(number),
            "max_tokens": _tokens(number),
        }
        item = {"custom_id": str(number), "url": "/v1/completions", "body": body}
        yield orjson.dumps(item) + b"\n"


async def _faults(bed: Bed, share: float) -> None:
    """Lose answers, kill, pause, and take the platform away, one after another."""
    memory = bed.memory
    memory.faults.lose_answers = 0.05
    await asyncio.sleep(3.0 * share)
    await bed.kill(ZONES[0])
    await asyncio.sleep(1.0)
    await bed.start_instance(ZONES[0])
    gate = bed.gates_by_zone[ZONES[1]]
    gate.close()
    await asyncio.sleep(max(LEAST_OUTAGE_S, PAUSE_S * share))
    gate.open()
    await asyncio.sleep(1.0)
    memory.faults.outage = True
    await asyncio.sleep(max(LEAST_OUTAGE_S, OUTAGE_S * share))
    memory.faults.outage = False
    await asyncio.sleep(1.5)
    await bed.kill(ZONES[2])
    await bed.start_instance(ZONES[2])


async def _wait(platform: Platform, jobs: list[Job]) -> bool:
    """Wait until every job has ended; False if that took too long."""
    left = {job.id for job in jobs}
    deadline = time.monotonic() + LIMIT_S
    while left and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        for job_id in [*left]:
            found = await read_job(platform, job_id)
            if isinstance(found, Err) or found.ok_value is None:
                continue
            if found.ok_value.state == COMPLETED:
                left.discard(job_id)
    return not left


async def _check(platform: MemoryPlatform, jobs: list[Job]) -> dict[str, Any]:
    """Compare the results with what was accepted."""
    times_by_id: dict[str, int] = {}
    completed = failed = wrong = tokens = 0
    for job in jobs:
        for want_failed in (False, True):
            async for piece in stream_results(platform, job, want_failed):
                for line in piece.unwrap().splitlines():
                    result = orjson.loads(line)
                    name = result["custom_id"]
                    times_by_id[name] = times_by_id.get(name, 0) + 1
                    if want_failed:
                        failed += 1
                        continue
                    completed += 1
                    tokens += _tokens(int(name))
                    text = result["response"]["body"]["choices"][0]["text"]
                    wrong += text != answer_text(_prompt(int(name)), _tokens(int(name)))
    accepted = sum(job.items for job in jobs)
    results = [name for name in platform.objects_by_name if name.startswith("result/")]
    done = {
        row.value["result"]
        for row in platform.rows_by_key.values()
        if row.key.startswith("chunk/")
    }
    return {
        "accepted": accepted,
        "completed": completed,
        "failed_items": failed,
        "lost": accepted - len(times_by_id),
        "doubled": sum(times - 1 for times in times_by_id.values()),
        "wrong": wrong,
        "tokens": tokens,
        "chunks": len(done),
        "orphaned_objects": len(set(results) - done),
        "open_rows": sum(
            row.key.startswith(keys.OPEN_JOBS) for row in platform.rows_by_key.values()
        ),
    }
