"""One soak: real processes, faults and callers, and what was broken.

By hand, from the folder ``tests``:

    ../.venv/bin/python -m soak.soak --seeds 50 --first 1000 --seconds 12
"""

import asyncio
import logging
import random
import shutil
import tempfile
from pathlib import Path

import typer

from soak.callers import NOT_RUN, Callers, Tally
from soak.diary import now
from soak.fatal import FatalCaller, FatalPartCaller
from soak.faults import inject, release_slowly
from soak.kept import KeptCallers, KeptRequest
from soak.overlap import happen as happen_overlapped
from soak.overlap import late_runs_of_ended_jobs
from soak.sound import happen
from soak.stops import check_stops, series
from soak.town import Town
from soak.unsteady import happen as happen_unsteadily
from soak.unsteady import short_routes

SETTLE_S = 20.0
# Share of a soak in which nothing comes but planned work.
PLANNED_SHARE = 0.7
SLOTS = 3
# Kept connections send streams of 0.8 s, some five at a time for each instance.
SLOTS_WITH_STOPS = 8
INSTANCES_PER_RUNNER = 4
# Between the events of streams that are long enough to be broken off.
RELEASE_PAUSE_S = 0.1
# Streams whose callers close their connection and come back for the rest.
DROP_RATIO = 0.3


def check_runs(town: Town, tally: Tally) -> None:
    """Check what the runners saw against what callers sent and were told."""
    runs: dict[str, int] = {}
    for runner in town.all_runners:
        for run in runner.runs:
            runs[run.id] = runs.get(run.id, 0) + 1
            if run.id not in tally.sent:
                tally.broken.append(f"{run.id} ran and nobody sent it")
            if run.path.startswith("/once/") and runs[run.id] > 1:
                tally.broken.append(f"request {run.id} ran {runs[run.id]} times")
    for id in sorted(tally.refused & set(runs)):
        tally.broken.append(f"request {id} was said not to run, and ran")


def count_kept(town: Town, requests: list[KeptRequest], tally: Tally) -> None:
    """Count what was sent on kept connections, and check what was answered."""
    for request in requests:
        tally.sent.add(request.id)
        tally.asked += 1
        if not request.whole:
            continue
        if request.status in NOT_RUN:
            tally.refused.add(request.id)
        if request.status == 200:
            tally.answered += 1
            if request.words not in town.texts(request.id):
                tally.broken.append(f"request {request.id}: wrong {request.words}")


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    instances: int = 4,
    stops: bool = False,
    grace_s: float = 4.0,
    fatal: bool = False,
    release: bool = False,
    fatal_part: bool = False,
    sound: bool = False,
    overlap: bool = False,
    unsteady: bool = False,
) -> tuple[Tally, list[str]]:
    """Run one soak; return what callers saw and which faults came.

    Args:
        seed: that draws everything.
        seconds: for which callers and faults come.
        folder: for settings and logs.
        instances: how many.
        stops: whether planned work comes in series, alone at first and then with the
            faults, while callers use kept connections.
        grace_s: that instances have to stop.
        fatal: whether a request that ends targets comes again and again.
        fatal_part: whether different requests with a part that ends targets come.
        release: whether targets are replaced by ones of other software versions, in
            slow steps.
        sound: whether targets send answers without a length and fall silent for a
            while, and most callers come to one instance.
        overlap: whether peers are turned away by the store, frozen and killed at once.
        unsteady: whether instances are out of step while versions join, targets restart
            in place, and another writer leaves odd entries.
    """
    chance = random.Random(seed)
    runners = 3 + (instances - 1) // INSTANCES_PER_RUNNER if stops else 3
    slots = SLOTS_WITH_STOPS if stops or release or unsteady else SLOTS
    town = Town(folder, instances, runners, slots, grace_s)
    if release or unsteady:
        for runner in town.runners:
            runner.pause_s = RELEASE_PAUSE_S
    if unsteady:
        town.tells_starts = True
    if unsteady and not stops:
        town.routes = short_routes()
    tally = Tally()
    await town.start()
    callers = Callers(
        town,
        tally,
        random.Random(seed + 1),
        random.Random(seed + 5),
        DROP_RATIO if release or unsteady else 0.0,
    )
    kept = KeptCallers(town, random.Random(seed + 2))
    try:
        await asyncio.sleep(1.5)
        beside: list[asyncio.Future[None]] = []
        if fatal or fatal_part:
            kind = FatalPartCaller if fatal_part else FatalCaller
            caller = kind(town, tally, random.Random(seed + 3))
            beside.append(asyncio.ensure_future(caller.use(seconds)))
        if release:
            steps = release_slowly(town, random.Random(seed + 4), seconds)
            beside.append(asyncio.ensure_future(steps))
        if sound:
            events = happen(town, callers, random.Random(seed + 6), seconds, stops)
            beside.append(asyncio.ensure_future(events))
        if unsteady:
            steps = happen_unsteadily(town, callers, random.Random(seed + 8), seconds)
            beside.append(asyncio.ensure_future(steps))
        if overlap:
            work = happen_overlapped(town, callers, random.Random(seed + 7), seconds)
            faults = ["overlapped"]
            await asyncio.gather(callers.use(seconds), work)
        elif unsteady and not stops:
            await callers.use(seconds)
            faults = ["unsteady"]
        elif stops:
            faults = await _with_stops(town, callers, kept, chance, seconds)
        else:
            _, faults = await asyncio.gather(
                callers.use(seconds), inject(town, chance, seconds)
            )
        await asyncio.gather(*beside)
        town.store.lose_answers = 0
        settled_at = now()
        await callers.finish(SETTLE_S)
        await callers.read_everywhere()
        tally.broken += late_runs_of_ended_jobs(town, callers, settled_at)
        ran = {run.id for runner in town.all_runners for run in runner.runs}
        check_stops(town.diary, grace_s, kept.requests, ran, tally)
        tally.late_s = max(late for _, late in town.diary.late)
        count_kept(town, kept.requests, tally)
        check_runs(town, tally)
    finally:
        await callers.close()
        await town.stop()
    return tally, faults


async def _with_stops(
    town: Town,
    callers: Callers,
    kept: KeptCallers,
    chance: random.Random,
    seconds: float,
) -> list[str]:
    """Have planned work come alone, and then with the faults."""
    await town.ready()
    planned_s = seconds * PLANNED_SHARE

    async def faults() -> list[str]:
        await asyncio.sleep(planned_s)
        return await inject(town, chance, seconds - planned_s)

    done = await asyncio.gather(
        faults(),
        series(town, random.Random(chance.random()), seconds),
        callers.use(seconds),
        kept.use(seconds),
    )
    return done[0]


def main(
    seeds: int = 10,
    first: int = 1,
    seconds: float = 12.0,
    instances: int = 4,
    stops: bool = True,
    grace_s: float = 4.0,
    fatal: bool = False,
    release: bool = False,
    fatal_part: bool = False,
    sound: bool = False,
    overlap: bool = False,
    unsteady: bool = False,
    keep: Path = Path("out/soak"),
) -> None:
    """Run many seeds; keep the logs of those that failed."""
    # The stand-ins' library logs each connection that a fault ended.
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        tally, faults = asyncio.run(
            soak(
                seed,
                seconds,
                folder,
                instances,
                stops,
                grace_s,
                fatal,
                release,
                fatal_part,
                sound,
                overlap,
                unsteady,
            )
        )
        word = "broken" if tally.broken else "kept"
        typer.echo(
            f"seed {seed}: {word}; {tally.answered} of {tally.asked} answered, "
            f"{len(tally.accepted)} jobs, {len(faults)} faults; {tally.met_stops} "
            f"requests met {tally.stops} stops at which nothing else was wrong; "
            f"{tally.targets_ended} targets ended under one request; "
            f"{tally.went_on} of {tally.taken_up} streams taken up went on; "
            f"the soak itself was {tally.late_s:.2f} s late at most"
        )
        if tally.broken:
            failed += 1
            kept = keep / str(seed)
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            lines = [*tally.broken, "faults:", *faults]
            (kept / "broken.txt").write_text("\n".join(lines))
            typer.echo("\n".join(f"  {what}" for what in tally.broken[:8]))
        shutil.rmtree(folder, ignore_errors=True)
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
