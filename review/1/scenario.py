"""A long job and an outage of the store: are all of its items listed in the end?"""

import asyncio
import os
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from callers import call, job_body
from runner import Run
from town import CaseError, Record, Town, batch_route, run_case

ITEMS = 200  # the most that a job may list
TOKENS = 800
EVENTS = (70, 130)
EVENT_S = 0.033
OUTAGE_AT_S = 5.0
OUTAGE_S = 4.5
TRAFFIC_S = 25.0  # the job is read by its client for so long
FINISH_S = 18.0  # the bound finishS
CALM_S = 5.0
QUIET_S = 3.0


async def main() -> int:
    """Play the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    town = Town(6, 6, 8, EVENT_S, {"work": EVENTS}, [batch_route("work")])
    try:
        await town.start()
        return await play(town, record, trouble)
    except (CaseError, OSError) as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        await town.stop()
        record.close()


async def play(town: Town, record: Record, trouble: bool) -> int:
    """Send the job, break the store, and check the rule at the end."""
    job = secrets.token_hex(8)
    ids = [secrets.token_hex(8) for _ in range(ITEMS)]
    first = town.instances[0]
    started = time.monotonic()
    status, _ = await call(
        first,
        "POST",
        f"/work/{job}",
        job_body(ids, "/work/", TOKENS),
        {"X-Request-Id": job},
    )
    record.write(f"job {job} with {ITEMS} items sent to {first.id}: {status}")
    if status != 202:
        raise CaseError(f"the job was answered {status}")
    outage = asyncio.create_task(break_store(town, record)) if trouble else None
    listed: dict[str, str] = {}
    while time.monotonic() - started < TRAFFIC_S:
        await read(town, record, job, listed)
        await asyncio.sleep(0.5)
    if outage is not None:
        await outage
    end = time.monotonic() + FINISH_S
    record.write(f"the traffic ends; {len(listed)} of {ITEMS} items are listed")
    while time.monotonic() < end and len(listed) < ITEMS:
        await read(town, record, job, listed)
        await asyncio.sleep(0.5)
    return await verdict(town, record, job, ids, listed)


async def break_store(town: Town, record: Record) -> None:
    """Have the store answer 503 for a while."""
    await asyncio.sleep(OUTAGE_AT_S)
    town.store.down = True
    record.write("the store is down: every call is answered 503")
    await asyncio.sleep(OUTAGE_S)
    town.store.down = False
    record.write("the store is back")


async def read(town: Town, record: Record, job: str, listed: dict[str, str]) -> None:
    """Read results from the first position that is not known yet, at any instance."""
    for one in town.instances:
        status, page = await call(one, "GET", f"/lots/{job}?sinceRev={len(listed)}")
        if status != 200:
            record.write(f"results from {len(listed)} on at {one.id}: {status}")
            continue
        for result in page["results"]:
            listed[result["id"]] = result["state"]
        if page["results"]:
            record.write(f"read at {one.id}: {len(listed)} of {page['total']} listed")
        return


async def verdict(
    town: Town, record: Record, job: str, ids: list[str], listed: dict[str, str]
) -> int:
    """Check LOST at the end of ``finishS``; write down what ran."""
    now = time.monotonic()
    for one in town.instances:
        status, page = await call(one, "GET", f"/lots/{job}?sinceRev=0")
        count = len(page["results"]) if page else "no"
        record.write(f"last read at {one.id}: {status}, {count} results in one page")
    for event in town.store.events[:3] + town.store.events[-1:]:
        fields = {name: value for name, value in event.items() if name != "at"}
        record.write(f"store: {fields}", event["at"])
    record.write(f"store: {len(town.store.events)} transactions over the limit refused")
    runs = sorted(
        (run for runner in town.runners for run in runner.runs), key=lambda r: r.began
    )
    for run in runs:
        ended = run.ended if run.ended is not None else now
        record.write(
            f"run of {run.id} at {run.runner} for {ended - run.began:.2f} s: events"
            f" {run.after + 1} to {run.sent}{', whole' if run.whole else ''}",
            run.began,
        )
    missing = [id for id in ids if id not in listed]
    if not missing:
        record.write("LOST holds: every item is listed")
        return 0
    return judge_missing(town, record, missing, runs, now)


def judge_missing(
    town: Town, record: Record, missing: list[str], runs: list[Run], now: float
) -> int:
    """Apply the excuses of the rule to the items that are not listed."""
    unlisted = set(missing)
    held = [
        run.id
        for run in runs
        if run.id in unlisted and (run.ended is None or run.ended > now - CALM_S)
    ]
    finished = [
        run.id for run in runs if run.whole and (run.ended or 0) > now - QUIET_S
    ]
    busy = sum(runner.busy for runner in town.runners)
    slots = sum(runner.slots for runner in town.runners)
    whole = {run.id for run in runs if run.whole}
    record.write(
        f"{len(missing)} items are not listed, {len(unlisted & whole)} of them were run"
        f" to their end; of these items runners had {len(held)} in the last {CALM_S} s;"
        f" {len(finished)} items finished in the last {QUIET_S} s;"
        f" {busy} of {slots} slots are taken"
    )
    if held or finished or busy * 2 >= slots:
        record.write("LOST is excused at this moment")
        return 2
    record.write("LOST is broken")
    return 1


if __name__ == "__main__":
    sys.exit(run_case(main))
