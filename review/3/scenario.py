"""Crashes of runners and the usual traffic: is every item of a job done in the end?"""

import asyncio
import os
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from callers import call, job_body
from kept import KeptConnection
from runner import Run, Runner
from town import CaseError, Record, Town, batch_route, route, run_case

ITEMS = 6
TOKENS = 1200
EVENT_S = 0.05
LENGTHS = {"ask": (16, 24), "work": (180, 215)}  # 0.8 to 1.2 s, and 9 to 10.7 s
CRASHES_AT_S = (0.8, 3.3, 5.8)
CRASH_S = 2.4
# The usual steps of the traffic: 3.8 s of little and 2.8 s of much.
LOW_S, HIGH_S = 3.8, 2.8
LOW_PER_S, HIGH_PER_S = 10.0, 58.0
FIRST_HIGH_AT_S = 5.5
DEADLINE_MS = 5000
TRAFFIC_S = 34.0
FINISH_S = 18.0  # the bound finishS
CALM_S, QUIET_S, FAILED_S = 5.0, 3.0, 20.0


async def main() -> int:
    """Play the case; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    routes = [route("ask"), batch_route("work")]
    town = Town(6, 6, 8, EVENT_S, LENGTHS, routes)
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
    """Send the job and the usual traffic, crash runners, and check the rule."""
    job = secrets.token_hex(8)
    ids = [secrets.token_hex(8) for _ in range(ITEMS)]
    first = town.instances[0]
    began = time.monotonic()
    answers: dict[str, int] = {}
    asking = asyncio.create_task(usual_traffic(town, answers, began))
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
    crashes = asyncio.create_task(crash_runners(town, record, ids, began, trouble))
    listed: dict[str, str] = {}
    while time.monotonic() - began < TRAFFIC_S:
        await read(town, record, job, listed)
        await asyncio.sleep(0.5)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    await crashes
    end = time.monotonic() + FINISH_S
    record.write(f"the traffic ends; {len(listed)} of {ITEMS} items are listed")
    while time.monotonic() < end and len(listed) < ITEMS:
        await read(town, record, job, listed)
        await asyncio.sleep(0.5)
    record.write(f"answers to online requests, by status: {answers}")
    return judge(town, record, ids, listed)


async def crash_runners(
    town: Town, record: Record, ids: list[str], began: float, trouble: bool
) -> None:
    """Crash one runner after the other: each one that runs the longest item then."""
    restarts: list[asyncio.Task[Runner]] = []
    chosen = ""
    for at in CRASHES_AT_S:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        runner = None
        while runner is None:
            running = {
                run.id: one
                for one in town.runners
                for run in one.runs
                if run.ended is None and run.id in ids
            }
            if not chosen and running:
                longest = town.runners[0].events_of
                chosen = max(running, key=lambda id: longest(id, "/work/"))
            runner = running.get(chosen)
            await asyncio.sleep(0.05)
        if not trouble:
            continue
        record.write(f"{runner.id} crashes; it runs the item {chosen}")
        restarts.append(asyncio.create_task(town.crash_runner(runner, CRASH_S)))
    for restart in restarts:
        record.write(f"{(await restart).id} has started")


async def usual_traffic(town: Town, answers: dict[str, int], began: float) -> None:
    """Send online requests in steps, each on a new connection."""
    chance = random.Random(7)
    asked: set[asyncio.Task[None]] = set()
    try:
        while True:
            since = time.monotonic() - began - FIRST_HIGH_AT_S
            high = since >= 0 and since % (LOW_S + HIGH_S) < HIGH_S
            await asyncio.sleep(chance.expovariate(HIGH_PER_S if high else LOW_PER_S))
            one = asyncio.create_task(ask(town, chance.randrange(6), answers))
            asked.add(one)
            one.add_done_callback(asked.discard)
    finally:
        await asyncio.gather(*asked, return_exceptions=True)


async def ask(town: Town, number: int, answers: dict[str, int]) -> None:
    """Send one online request and count its answer."""
    connection = await KeptConnection.open(town.instances[number])
    answer = await connection.ask(secrets.token_hex(8), "/ask/", DEADLINE_MS)
    name = str(answer.status) + ("" if answer.whole else " not whole")
    answers[name] = answers.get(name, 0) + 1
    connection.close()


async def read(town: Town, record: Record, job: str, listed: dict[str, str]) -> None:
    """Read results from the first position that is not known yet."""
    one = town.instances[1]
    status, page = await call(one, "GET", f"/lots/{job}?sinceRev={len(listed)}")
    if status != 200:
        record.write(f"results from {len(listed)} on at {one.id}: {status}")
        return
    for result in page["results"]:
        listed[result["id"]] = result["state"]
    if page["results"]:
        record.write(f"read at {one.id}: {len(listed)} of {page['total']} listed")


def judge(town: Town, record: Record, ids: list[str], listed: dict[str, str]) -> int:
    """Check LOST at the end of ``finishS``; write down what ran."""
    now = time.monotonic()
    runs = sorted(
        (run for runner in town.runners for run in runner.runs), key=lambda r: r.began
    )
    for run in runs:
        if run.id not in ids:
            continue
        ended = run.ended if run.ended is not None else now
        record.write(
            f"run of {run.id} at {run.runner} for {ended - run.began:.2f} s: events"
            f" {run.after + 1} to {run.sent}{', whole' if run.whole else ''}",
            run.began,
        )
    missing = [id for id in ids if id not in listed]
    if not missing:
        record.write(
            f"LOST holds: every item is listed, {sorted(set(listed.values()))}"
        )
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
    ended = [run.ended or now for run in runs if run.id in unlisted]
    finished = [
        run.id for run in runs if run.whole and (run.ended or 0) > now - QUIET_S
    ]
    busy = sum(runner.busy for runner in town.runners)
    record.write(
        f"{len(missing)} items are not listed: {missing}; runners had {len(held)} of"
        f" them in the last {CALM_S} s; the last run of one ended"
        f" {now - max(ended, default=0):.1f} s ago; {len(finished)} items finished in"
        f" the last {QUIET_S} s; {busy} slots are taken"
    )
    if held or finished or busy or max(ended, default=0) > now - FAILED_S:
        record.write("LOST is excused at this moment")
        return 2
    record.write("LOST is broken")
    return 1


if __name__ == "__main__":
    sys.exit(run_case(main))
